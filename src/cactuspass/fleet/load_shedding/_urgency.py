"""Keeps room for requests of more urgent routes while capacity is short."""

import math
from dataclasses import dataclass, field

AVERAGING_SECONDS = 10.0
# Slots kept free, for each request of more urgent routes that is expected to arrive until the next
# slot becomes free.
RESERVE_FACTOR = 1.5
MIN_SERVED_SHARE = 0.25  # of the share of all requests that are served


@dataclass(slots=True)
class _Rates:
    """Arrivals and admissions of a class, averaged over ``AVERAGING_SECONDS``.

    :param arrivals: sum of the arrivals, each weighted by its age.
    :param admitted: likewise of those that were admitted.
    """

    arrivals: float = 0.0
    admitted: float = 0.0

    def decay(self, factor: float) -> None:
        """Reduce the weight of what was counted so far."""
        self.arrivals *= factor
        self.admitted *= factor

    @property
    def served_share(self) -> float:
        """Share of the requests that were admitted; 1 before the first one."""
        return self.admitted / self.arrivals if self.arrivals > 0 else 1.0


@dataclass(slots=True)
class ModelArrivals:
    """Requests for one model that arrived at this instance, by priority."""

    rates_by_priority: dict[int, _Rates] = field(default_factory=dict)
    decayed_at: float | None = None

    def note_arrival(self, priority: int, at: float) -> None:
        """Count a request."""
        if self.decayed_at is not None:
            factor = math.exp(min(0.0, self.decayed_at - at) / AVERAGING_SECONDS)
            for rates in self.rates_by_priority.values():
                rates.decay(factor)
        self.decayed_at = at
        self._rates(priority).arrivals += 1

    def note_admitted(self, priority: int) -> None:
        """Count a request that is served."""
        self._rates(priority).admitted += 1

    def _rates(self, priority: int) -> _Rates:
        return self.rates_by_priority.setdefault(priority, _Rates())

    def reserve(self, priority: int, slot_seconds: float) -> float:
        """Return the number of slots that a request must leave free for more urgent ones.

        It is 0 for requests that are served much less often than all.

        :param slot_seconds: seconds until the next slot becomes free.
        """
        rates = self.rates_by_priority.get(priority)
        if rates is not None and rates.served_share < MIN_SERVED_SHARE * self.served_share:
            return 0.0
        urgent = sum(r.arrivals for p, r in self.rates_by_priority.items() if p < priority)
        return RESERVE_FACTOR * urgent / AVERAGING_SECONDS * slot_seconds

    @property
    def served_share(self) -> float:
        """Share of all requests that were admitted; 1 before the first one."""
        arrivals = sum(rates.arrivals for rates in self.rates_by_priority.values())
        admitted = sum(rates.admitted for rates in self.rates_by_priority.values())
        return admitted / arrivals if arrivals > 0 else 1.0
