"""Keeps room for requests of more urgent routes while capacity is short."""

from dataclasses import dataclass

from cactuspass.fleet.load_shedding._rates import AveragedRates

AVERAGING_SECONDS = 10.0
# Slots kept free, for each request of more urgent routes that is expected to arrive until the next
# slot becomes free.
RESERVE_FACTOR = 1.5
MIN_SERVED_SHARE = 0.25  # of the share of all requests that are served


@dataclass(frozen=True, order=True, slots=True)
class Urgency:
    """How urgent a request is; the most urgent one is the least.

    Of the same priority, requests with a shorter objective come first, since they cannot wait.

    :param priority: priority of the request, where 0 is the most urgent.
    :param objective: seconds within which its first event should come.
    """

    priority: int
    objective: float = 0.0


class ModelArrivals:
    """Requests for one model that arrived at this instance, by urgency."""

    def __init__(self) -> None:
        self._arrivals: AveragedRates[Urgency] = AveragedRates(AVERAGING_SECONDS)
        self._admitted: AveragedRates[Urgency] = AveragedRates(AVERAGING_SECONDS)

    def note_arrival(self, urgency: Urgency, at: float) -> None:
        """Count a request."""
        self._arrivals.note(urgency, at)

    def note_admitted(self, urgency: Urgency, at: float) -> None:
        """Count a request that is served."""
        self._admitted.note(urgency, at)

    @property
    def rate(self) -> float:
        """Requests per second that arrive."""
        return self._arrivals.total

    @property
    def served_rate(self) -> float:
        """Requests per second that are served."""
        return self._admitted.total

    def reserve(self, urgency: Urgency, slot_seconds: float) -> float:
        """Return the number of slots that a request must leave free for more urgent ones.

        It is 0 for requests that are served much less often than all.

        :param slot_seconds: seconds until the next slot becomes free.
        """
        if self._served_share(urgency) < MIN_SERVED_SHARE * self.served_share:
            return 0.0
        arrivals = self._arrivals.rates_by_key
        urgent = sum(rate for other, rate in arrivals.items() if other < urgency)
        return RESERVE_FACTOR * urgent * slot_seconds

    def _served_share(self, urgency: Urgency) -> float:
        arrivals = self._arrivals.rate(urgency)
        return self._admitted.rate(urgency) / arrivals if arrivals > 0 else 1.0

    @property
    def served_share(self) -> float:
        """Share of all requests that were admitted; 1 before the first one."""
        arrivals = self._arrivals.total
        return min(1.0, self._admitted.total / arrivals) if arrivals > 0 else 1.0
