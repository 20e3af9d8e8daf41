"""Rates of arrivals, averaged with weights that fall with age."""

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

MAX_KEYS = 256
MIN_COUNTED_SECONDS = 1.0


class AveragedRates(Generic[KeyT]):
    """Events per second by key.

    :param seconds: time constant; an event this old has a weight of 1/e.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._counts_by_key: dict[KeyT, float] = {}
        self._started_at = self._decayed_at = float("-inf")

    def note(self, key: KeyT, at: float, weight: float = 1.0) -> None:
        """Count an event."""
        self._decay(at)
        if key not in self._counts_by_key and len(self._counts_by_key) >= MAX_KEYS:
            del self._counts_by_key[min(self._counts_by_key, key=self._counts_by_key.__getitem__)]
        self._counts_by_key[key] = self._counts_by_key.get(key, 0.0) + weight

    def _decay(self, at: float) -> None:
        if math.isinf(self._started_at):
            self._started_at = self._decayed_at = at
        if at <= self._decayed_at:
            return
        factor = math.exp((self._decayed_at - at) / self._seconds)
        self._decayed_at = at
        for key in self._counts_by_key:
            self._counts_by_key[key] *= factor

    @property
    def _counted_seconds(self) -> float:
        """Sum of the weights of the time since the first event."""
        elapsed = max(MIN_COUNTED_SECONDS, self._decayed_at - self._started_at)
        return self._seconds * -math.expm1(-elapsed / self._seconds)

    @property
    def observed_seconds(self) -> float:
        """Seconds from the first event to the last one."""
        return self._decayed_at - self._started_at if self._counts_by_key else 0.0

    def rate(self, key: KeyT) -> float:
        """Return the events per second, as of the last event of any key."""
        return self._counts_by_key.get(key, 0.0) / self._counted_seconds

    @property
    def rates_by_key(self) -> dict[KeyT, float]:
        """The events per second of all keys."""
        seconds = self._counted_seconds
        return {key: count / seconds for key, count in self._counts_by_key.items()}

    @property
    def total(self) -> float:
        """Events per second of all keys together."""
        return sum(self._counts_by_key.values()) / self._counted_seconds
