"""Rates of arrivals, averaged with weights that fall with age."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

MAX_KEYS = 256


class AveragedRates(Generic[KeyT]):
    """Events per second by key.

    :param seconds: time constant; an event this old has a weight of 1/e.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._counts_by_key: dict[KeyT, float] = {}
        self._decayed_at: float | None = None

    def note(self, key: KeyT, at: float) -> None:
        """Count an event."""
        self._decay(at)
        if key not in self._counts_by_key and len(self._counts_by_key) >= MAX_KEYS:
            del self._counts_by_key[min(self._counts_by_key, key=self._counts_by_key.__getitem__)]
        self._counts_by_key[key] = self._counts_by_key.get(key, 0.0) + 1.0

    def _decay(self, at: float) -> None:
        before, self._decayed_at = self._decayed_at, at
        if before is not None and at > before:
            factor = math.exp((before - at) / self._seconds)
            for key in self._counts_by_key:
                self._counts_by_key[key] *= factor

    def rate(self, key: KeyT) -> float:
        """Return the events per second, as of the last event of any key."""
        return self._counts_by_key.get(key, 0.0) / self._seconds

    @property
    def rates_by_key(self) -> dict[KeyT, float]:
        """The events per second of all keys."""
        return {key: count / self._seconds for key, count in self._counts_by_key.items()}

    @property
    def total(self) -> float:
        """Events per second of all keys together."""
        return sum(self._counts_by_key.values()) / self._seconds
