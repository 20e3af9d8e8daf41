"""Times at which refused callers were told to come back."""

import random
from dataclasses import dataclass, field

from cactuspass.models import CustomerId

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 600.0
RETRY_JITTER = 0.1
GRACE_SECONDS = 3.0
EARLY_SECONDS = 0.5
PROMPTS_PER_CUSTOMER = 4_096
BOOKED_SHARE = 0.9
RETURN_SAMPLES = 50


@dataclass(slots=True)
class CustomerReturns:
    """Bookings of one customer for one model.

    :param cursor: time up to which the customer's share is booked.
    :param costs_by_second: booked cost by the second in which it is due.
    :param is_told_apart: whether returns can be told apart from new requests.
    :param due_by_prompt: refused prompts and when they should return.
    :param return_rate: share of the bookings that came back, as a moving mean.
    """

    cursor: float = 0.0
    costs_by_second: dict[int, float] = field(default_factory=dict)
    is_told_apart: bool = False
    due_by_prompt: dict[str, float] = field(default_factory=dict)
    return_rate: float = 1.0

    def expect(self, prompt: str, due: float) -> None:
        """Remember a refused prompt, unless too many are remembered that are due before it."""
        if prompt and len(self.due_by_prompt) < PROMPTS_PER_CUSTOMER:
            self.due_by_prompt[prompt] = due

    def is_due(self, prompt: str, now: float) -> bool:
        """Return whether a refused prompt comes back when it should, and forget it then."""
        due = self.due_by_prompt.get(prompt)
        if due is None or now < due - EARLY_SECONDS:
            return False
        del self.due_by_prompt[prompt]
        return True

    def forget_prompts(self, before: float) -> None:
        """Forget prompts that should have come back before a time."""
        for prompt in [key for key, due in self.due_by_prompt.items() if due < before]:
            del self.due_by_prompt[prompt]

    def take(self, second: int, cost: float) -> None:
        """Count a booking as come back."""
        self.costs_by_second[second] -= cost
        if self.costs_by_second[second] <= 0:
            del self.costs_by_second[second]
        self.return_rate += (1 - self.return_rate) / RETURN_SAMPLES


@dataclass(frozen=True, slots=True)
class Booking:
    """What is booked for a refused request.

    :param prompt: hash of the prompt; empty when there is none.
    """

    model: str
    customer: CustomerId
    cost: float
    prompt: str

    @property
    def key(self) -> tuple[str, CustomerId]:
        """Key of the customer's bookings for the model."""
        return self.model, self.customer


class RetrySchedule:
    """Books a refused request into its customer's future share, so that it finds room."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._returns_by_key: dict[tuple[str, CustomerId], CustomerReturns] = {}

    def book(self, booking: Booking, share: float, earliest: float, now: float) -> float:
        """Book a place and return the seconds after which the caller should come back.

        :param share: rate that the customer gets whatever others send, in tokens per second.
        :param earliest: time before which a return would not find room.
        """
        returns = self._returns_by_key.setdefault(booking.key, CustomerReturns())
        latest = now + MAX_RETRY_SECONDS
        start = max(returns.cursor, earliest, now + MIN_RETRY_SECONDS)
        if start >= latest:
            return MAX_RETRY_SECONDS * self.jitter()
        returns.cursor = start + booking.cost / (BOOKED_SHARE * share)
        period = (start - now) * self.jitter()
        second = int(now + period)
        booked = returns.costs_by_second.get(second, 0.0)
        returns.costs_by_second[second] = booked + booking.cost
        returns.expect(booking.prompt, now + period)
        return period

    def jitter(self) -> float:
        """Return a factor of at least 1 that spreads returns."""
        return 1.0 + RETRY_JITTER * self._rng.random()

    def redeem(self, booking: Booking, marked: bool, now: float) -> bool:
        """Return whether the request counts as the return of a refused one.

        It does when the caller marked it, or when its prompt was refused and is due. Only a
        customer that was never told apart in one of these ways spends a booking on any request.
        """
        returns = self._returns_by_key.get(booking.key)
        if returns is None:
            return marked
        recognised = marked or returns.is_due(booking.prompt, now)
        returns.is_told_apart = returns.is_told_apart or recognised or bool(booking.prompt)
        if returns.is_told_apart and not recognised:
            return False
        due = [second for second in returns.costs_by_second if second <= now]
        if due:
            returns.take(min(due), booking.cost)
        return recognised or bool(due)

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
            returns.forget_prompts(now - GRACE_SECONDS)
            if not returns.costs_by_second and returns.cursor < now:
                del self._returns_by_key[key]
