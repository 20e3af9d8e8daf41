"""Schedule of the retries expected from refused callers."""

import random
from dataclasses import dataclass, field

from cactuspass.models import CustomerId

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 600.0
RETRY_JITTER_SHARE = 0.1
# A retry matches its reservation if it comes at most this much after or before the due time.
LATE_RETRY_SECONDS = 3.0
EARLY_RETRY_SECONDS = 0.5
MAX_PROMPTS_PER_CUSTOMER = 4_096
RESERVED_SHARE = 0.9
RETRY_SAMPLES = 50


@dataclass(slots=True)
class CustomerRetries:
    """Reservations of one customer for one model.

    :param reserved_until: time up to which the customer's capacity is reserved.
    :param costs_by_second: reserved tokens by the second in which the retry is due.
    :param is_distinguishable: whether the customer's retries differ from new requests.
    :param due_times_by_prompt: times at which retries are due, by hash of the refused prompt.
    :param retry_rate: share of the reservations that were claimed, as a moving mean.
    """

    reserved_until: float = 0.0
    costs_by_second: dict[int, float] = field(default_factory=dict)
    is_distinguishable: bool = False
    due_times_by_prompt: dict[str, float] = field(default_factory=dict)
    retry_rate: float = 1.0

    def add_prompt(self, prompt: str, due: float) -> None:
        """Store when a refused prompt is due, unless too many prompts are stored already."""
        if prompt and len(self.due_times_by_prompt) < MAX_PROMPTS_PER_CUSTOMER:
            self.due_times_by_prompt[prompt] = due

    def claim_prompt(self, prompt: str, now: float) -> bool:
        """Remove a refused prompt that is due, and return whether there was one."""
        due = self.due_times_by_prompt.get(prompt)
        if due is None or now < due - EARLY_RETRY_SECONDS:
            return False
        del self.due_times_by_prompt[prompt]
        return True

    def drop_prompts(self, before: float) -> None:
        """Remove prompts that were due before a time."""
        for prompt in [key for key, due in self.due_times_by_prompt.items() if due < before]:
            del self.due_times_by_prompt[prompt]

    def claim_cost(self, second: int, cost: float) -> None:
        """Remove reserved cost for a retry that came, and raise the retry rate."""
        self.costs_by_second[second] -= cost
        if self.costs_by_second[second] <= 0:
            del self.costs_by_second[second]
        self.retry_rate += (1 - self.retry_rate) / RETRY_SAMPLES


@dataclass(frozen=True, slots=True)
class RetryReservation:
    """Capacity to reserve for the retry of a refused request.

    :param cost: cost of the request, in tokens.
    :param prompt: hash of the prompt; empty if there is none.
    """

    model: str
    customer: CustomerId
    cost: float
    prompt: str

    @property
    def key(self) -> tuple[str, CustomerId]:
        """Key of the customer's reservations for the model."""
        return self.model, self.customer


class RetrySchedule:
    """Reserves a part of a customer's future capacity for the retry of a refused request."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._retries_by_key: dict[tuple[str, CustomerId], CustomerRetries] = {}

    def reserve(
        self, reservation: RetryReservation, rate: float, earliest: float, now: float
    ) -> float:
        """Reserve capacity and return the seconds after which the caller should retry.

        :param rate: rate that the customer gets whatever others send, in tokens per second.
        :param earliest: time before which there is no capacity for the retry.
        """
        retries = self._retries_by_key.setdefault(reservation.key, CustomerRetries())
        latest = now + MAX_RETRY_SECONDS
        start = max(retries.reserved_until, earliest, now + MIN_RETRY_SECONDS)
        if start >= latest:
            return MAX_RETRY_SECONDS * self.jitter()
        retries.reserved_until = start + reservation.cost / (RESERVED_SHARE * rate)
        period = (start - now) * self.jitter()
        second = int(now + period)
        reserved = retries.costs_by_second.get(second, 0.0)
        retries.costs_by_second[second] = reserved + reservation.cost
        retries.add_prompt(reservation.prompt, now + period)
        return period

    def jitter(self) -> float:
        """Return a random factor of at least 1 that spreads retries over time."""
        return 1.0 + RETRY_JITTER_SHARE * self._rng.random()

    def claim(self, reservation: RetryReservation, is_marked: bool, now: float) -> bool:
        """Return whether a request is the retry of a refused one, and claim its reservation.

        A request is a retry if it is marked as one, or if its prompt was refused and is due. As
        long as the customer's requests have neither marks nor prompts, retries can't be
        distinguished from new requests, and any request claims a reservation that is due.
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
        """Return the cost of the retries expected up to a time, in tokens."""
        retries = self._retries_by_key.get((model, customer))
        if retries is None:
            return 0.0
        costs = (cost for second, cost in retries.costs_by_second.items() if second <= until)
        return retries.retry_rate * sum(costs)

    def drop_missed(self, now: float) -> None:
        """Drop reservations that were not claimed in time, and lower the retry rate."""
        for key, retries in list(self._retries_by_key.items()):
            missed = [s for s in retries.costs_by_second if s + LATE_RETRY_SECONDS < now]
            for second in missed:
                del retries.costs_by_second[second]
                retries.retry_rate *= 1 - 1 / RETRY_SAMPLES
            retries.drop_prompts(now - LATE_RETRY_SECONDS)
            if not retries.costs_by_second and retries.reserved_until < now:
                del self._retries_by_key[key]
