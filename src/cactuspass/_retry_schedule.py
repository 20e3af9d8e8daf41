"""Times at which refused callers were told to come back."""

import random
from dataclasses import dataclass, field

from cactuspass.models import CustomerId

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 600.0
RETRY_JITTER_SHARE = 0.1
LATE_RETRY_SECONDS = 3.0
EARLY_RETRY_SECONDS = 0.5
MAX_PROMPTS_PER_CUSTOMER = 4_096
RESERVED_SHARE = 0.9
RETRY_SAMPLES = 50


@dataclass(slots=True)
class CustomerRetries:
    """Bookings of one customer for one model.

    :param cursor: time up to which the customer's share is booked.
    :param costs_by_second: booked cost by the second in which it is due.
    :param is_told_apart: whether returns can be told apart from new requests.
    :param due_by_prompt: refused prompts and when they should return.
    :param return_rate: share of the bookings that came back, as a moving mean.
    """

    reserved_until: float = 0.0
    costs_by_second: dict[int, float] = field(default_factory=dict)
    is_distinguishable: bool = False
    due_times_by_prompt: dict[str, float] = field(default_factory=dict)
    retry_rate: float = 1.0

    def add_prompt(self, prompt: str, due: float) -> None:
        """Remember a refused prompt, unless too many are remembered that are due before it."""
        if prompt and len(self.due_times_by_prompt) < MAX_PROMPTS_PER_CUSTOMER:
            self.due_times_by_prompt[prompt] = due

    def claim_prompt(self, prompt: str, now: float) -> bool:
        """Return whether a refused prompt comes back when it should, and forget it then."""
        due = self.due_times_by_prompt.get(prompt)
        if due is None or now < due - EARLY_RETRY_SECONDS:
            return False
        del self.due_times_by_prompt[prompt]
        return True

    def drop_prompts(self, before: float) -> None:
        """Forget prompts that should have come back before a time."""
        for prompt in [key for key, due in self.due_times_by_prompt.items() if due < before]:
            del self.due_times_by_prompt[prompt]

    def claim_cost(self, second: int, cost: float) -> None:
        """Count a booking as come back."""
        self.costs_by_second[second] -= cost
        if self.costs_by_second[second] <= 0:
            del self.costs_by_second[second]
        self.retry_rate += (1 - self.retry_rate) / RETRY_SAMPLES


@dataclass(frozen=True, slots=True)
class RetryReservation:
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
        self._retries_by_key: dict[tuple[str, CustomerId], CustomerRetries] = {}

    def reserve(
        self, reservation: RetryReservation, share: float, earliest: float, now: float
    ) -> float:
        """Book a place and return the seconds after which the caller should come back.

        :param share: rate that the customer gets whatever others send, in tokens per second.
        :param earliest: time before which a return would not find room.
        """
        retries = self._retries_by_key.setdefault(reservation.key, CustomerRetries())
        latest = now + MAX_RETRY_SECONDS
        start = max(retries.reserved_until, earliest, now + MIN_RETRY_SECONDS)
        if start >= latest:
            return MAX_RETRY_SECONDS * self.jitter()
        retries.reserved_until = start + reservation.cost / (RESERVED_SHARE * share)
        period = (start - now) * self.jitter()
        second = int(now + period)
        expected_cost = retries.costs_by_second.get(second, 0.0)
        retries.costs_by_second[second] = expected_cost + reservation.cost
        retries.add_prompt(reservation.prompt, now + period)
        return period

    def jitter(self) -> float:
        """Return a factor of at least 1 that spreads returns."""
        return 1.0 + RETRY_JITTER_SHARE * self._rng.random()

    def claim(self, reservation: RetryReservation, is_marked: bool, now: float) -> bool:
        """Return whether the request counts as the return of a refused one.

        It does when the caller marked it, or when its prompt was refused and is due. Only a
        customer that was never told apart in one of these ways spends a booking on any request.
        """
        retries = self._retries_by_key.get(reservation.key)
        if retries is None:
            return is_marked
        recognised = is_marked or retries.claim_prompt(reservation.prompt, now)
        retries.is_distinguishable = (
            retries.is_distinguishable or recognised or bool(reservation.prompt)
        )
        if retries.is_distinguishable and not recognised:
            return False
        due = [second for second in retries.costs_by_second if second <= now]
        if due:
            retries.claim_cost(min(due), reservation.cost)
        return recognised or bool(due)

    def expected_cost(self, model: str, customer: CustomerId, until: float) -> float:
        """Return the cost that is expected to come back up to a time."""
        retries = self._retries_by_key.get((model, customer))
        if retries is None:
            return 0.0
        costs = (cost for second, cost in retries.costs_by_second.items() if second <= until)
        return retries.retry_rate * sum(costs)

    def drop_missed(self, now: float) -> None:
        """Drop bookings that nobody came back for, and learn how many do."""
        for key, retries in list(self._retries_by_key.items()):
            missed = [s for s in retries.costs_by_second if s + LATE_RETRY_SECONDS < now]
            for second in missed:
                del retries.costs_by_second[second]
                retries.retry_rate *= 1 - 1 / RETRY_SAMPLES
            retries.drop_prompts(now - LATE_RETRY_SECONDS)
            if not retries.costs_by_second and retries.reserved_until < now:
                del self._retries_by_key[key]
