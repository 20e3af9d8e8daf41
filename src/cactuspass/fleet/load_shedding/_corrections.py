"""Corrects predictions by what was measured, within bounds."""

from collections import OrderedDict
from collections.abc import Hashable

MIN_FACTOR, MAX_FACTOR = 0.25, 4.0
WEIGHT_OF_LAST = 0.05
MAX_KEYS = 1024


class Corrections:
    """A factor for the predictions of each key, the mean of recent ones.

    It is bounded, so that a caller who states wrong figures shifts it only so far, and for its own
    key only.
    """

    def __init__(self) -> None:
        self._factors_by_key: OrderedDict[Hashable, float] = OrderedDict()

    def factor(self, key: Hashable) -> float:
        """Return the factor for a key; 1 before the first measurement."""
        return self._factors_by_key.get(key, 1.0)

    def note(self, key: Hashable, predicted: float, measured: float) -> None:
        """Record what was measured after an uncorrected prediction, both in seconds."""
        if predicted <= 0 or measured < 0:
            return
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, measured / predicted))
        known = self._factors_by_key.get(key, 1.0)
        self._factors_by_key[key] = known + WEIGHT_OF_LAST * (ratio - known)
        self._factors_by_key.move_to_end(key)
        if len(self._factors_by_key) > MAX_KEYS:
            self._factors_by_key.popitem(last=False)
