"""Keeps room for requests of more urgent routes while capacity is short."""

from cactuspass.fleet.load_shedding._rates import AveragedRates

AVERAGING_SECONDS = 10.0
# Slots kept free, for each request of more urgent routes that is expected to arrive until the next
# slot becomes free.
RESERVE_FACTOR = 1.5
MIN_SERVED_SHARE = 0.25  # of the share of all requests that are served


class ModelArrivals:
    """Requests for one model that arrived at this instance, by priority."""

    def __init__(self) -> None:
        self._arrivals: AveragedRates[int] = AveragedRates(AVERAGING_SECONDS)
        self._admitted: AveragedRates[int] = AveragedRates(AVERAGING_SECONDS)

    def note_arrival(self, priority: int, at: float) -> None:
        """Count a request."""
        self._arrivals.note(priority, at)

    def note_admitted(self, priority: int, at: float) -> None:
        """Count a request that is served."""
        self._admitted.note(priority, at)

    @property
    def rate(self) -> float:
        """Requests per second that arrive."""
        return self._arrivals.total

    @property
    def served_rate(self) -> float:
        """Requests per second that are served."""
        return self._admitted.total

    def reserve(self, priority: int, slot_seconds: float) -> float:
        """Return the number of slots that a request must leave free for more urgent ones.

        It is 0 for requests that are served much less often than all.

        :param slot_seconds: seconds until the next slot becomes free.
        """
        if self._served_share(priority) < MIN_SERVED_SHARE * self.served_share:
            return 0.0
        arrivals = self._arrivals.rates_by_key
        urgent = sum(rate for other, rate in arrivals.items() if other < priority)
        return RESERVE_FACTOR * urgent * slot_seconds

    def _served_share(self, priority: int) -> float:
        arrivals = self._arrivals.rate(priority)
        return self._admitted.rate(priority) / arrivals if arrivals > 0 else 1.0

    @property
    def served_share(self) -> float:
        """Share of all requests that were admitted; 1 before the first one."""
        arrivals = self._arrivals.total
        return min(1.0, self._admitted.total / arrivals) if arrivals > 0 else 1.0
