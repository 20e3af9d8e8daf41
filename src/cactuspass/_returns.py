"""Times at which refused callers were told to come back."""

import random
from dataclasses import dataclass, field

from cactuspass.models import CustomerId

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 600.0
RETRY_JITTER = 0.1
GRACE_SECONDS = 3.0
BOOKED_SHARE = 0.9
RETURN_SAMPLES = 50


@dataclass(slots=True)
class CustomerReturns:
    """Bookings of one customer for one model.

    :param cursor: time up to which the customer's share is booked.
    :param costs_by_second: booked cost by the second in which it is due.
    :param marks_returns: whether the customer has ever marked a request as returning.
    :param return_rate: share of the bookings that came back, as a moving mean.
    """

    cursor: float = 0.0
    costs_by_second: dict[int, float] = field(default_factory=dict)
    marks_returns: bool = False
    return_rate: float = 1.0


class ReturnBook:
    """Books a refused request into its customer's future share, so that it finds room."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._returns_by_key: dict[tuple[str, CustomerId], CustomerReturns] = {}

    def book(
        self,
        model: str,
        customer: CustomerId,
        cost: float,
        share: float,
        earliest: float,
        now: float,
    ) -> float:
        """Book a place and return the seconds after which the caller should come back.

        :param share: rate that the customer gets whatever others send, in tokens per second.
        :param earliest: time before which a return would not find room.
        """
        returns = self._returns_by_key.setdefault((model, customer), CustomerReturns())
        latest = now + MAX_RETRY_SECONDS
        start = max(returns.cursor, earliest, now + MIN_RETRY_SECONDS)
        if start >= latest:
            return MAX_RETRY_SECONDS * self.jitter()
        returns.cursor = start + cost / (BOOKED_SHARE * share)
        period = (start - now) * self.jitter()
        second = int(now + period)
        returns.costs_by_second[second] = returns.costs_by_second.get(second, 0.0) + cost
        return period

    def jitter(self) -> float:
        """Return a factor of at least 1 that spreads returns."""
        return 1.0 + RETRY_JITTER * self._rng.random()

    def redeem(
        self, model: str, customer: CustomerId, cost: float, marked: bool, now: float
    ) -> bool:
        """Return whether the request counts as the return of a refused one.

        A customer that marks its returns can't spend a booking on a new request.
        """
        returns = self._returns_by_key.get((model, customer))
        if returns is None:
            return marked
        returns.marks_returns = returns.marks_returns or marked
        if returns.marks_returns and not marked:
            return False
        due = [second for second in returns.costs_by_second if second <= now]
        if due:
            self._take(returns, min(due), cost)
        return marked or bool(due)

    def booked(self, model: str, customer: CustomerId, until: float) -> float:
        """Return the cost that is expected to come back up to a time."""
        returns = self._returns_by_key.get((model, customer))
        if returns is None:
            return 0.0
        costs = (cost for second, cost in returns.costs_by_second.items() if second <= until)
        return returns.return_rate * sum(costs)

    def forget_missed(self, now: float) -> None:
        """Drop bookings that nobody came back for, and learn how many do."""
        for key, returns in list(self._returns_by_key.items()):
            missed = [s for s in returns.costs_by_second if s + GRACE_SECONDS < now]
            for second in missed:
                del returns.costs_by_second[second]
                returns.return_rate *= 1 - 1 / RETURN_SAMPLES
            if not returns.costs_by_second and returns.cursor < now:
                del self._returns_by_key[key]

    @staticmethod
    def _take(returns: CustomerReturns, second: int, cost: float) -> None:
        """Count a booking as come back."""
        returns.costs_by_second[second] -= cost
        if returns.costs_by_second[second] <= 0:
            del returns.costs_by_second[second]
        returns.return_rate += (1 - returns.return_rate) / RETURN_SAMPLES
