"""The states of the instances of a data centre, as its coordinator knows and sums them."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import ge

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._fleet_load import ModelDemand, ModelKey
from cactuspass.fleet.load_exchange._messages import InstanceState
from cactuspass.fleet.load_exchange._request_meter import MAX_CUSTOMERS, MAX_MODELS
from cactuspass.models import CustomerId, EntryId, ModelId, ServiceId

STATE_VALID_SECONDS = 1.5
# An instance whose states were lost for a while has rates again with the next one.
COUNTERS_KEPT_SECONDS = 4.0
RATE_WINDOW_MS = 2000
# More arrivals at one instance than this are not believed.
MAX_ARRIVALS_PER_SECOND = 20_000
MAX_COUNTERS = 2 * (MAX_MODELS + MAX_CUSTOMERS)  # of one instance
MILLISECONDS = 1000.0

Counts = tuple[int, ...]


@dataclass(slots=True)
class RateWindow:
    """Counters of one instance in the last seconds, by the clock of that instance."""

    snapshots: deque[tuple[int, Counts]] = field(default_factory=deque)

    @classmethod
    def from_zero(cls, at_ms: int | None, size: int) -> "RateWindow":
        """Return a window of counters that were zero at a time; None if that is not known."""
        return cls(deque([(at_ms, (0,) * size)])) if at_ms is not None else cls()

    def accepts(self, elapsed_ms: int, counts: Counts) -> bool:
        """Return whether later counters of the same instance are possible."""
        if not self.snapshots:
            return True
        last_ms, last = self.snapshots[-1]
        seconds = 1.0 + (elapsed_ms - last_ms) / MILLISECONDS
        return (
            elapsed_ms > last_ms
            and all(map(ge, counts, last))
            and counts[0] - last[0] <= MAX_ARRIVALS_PER_SECOND * seconds
        )

    def add(self, elapsed_ms: int, counts: Counts) -> None:
        """Add the present counters, and remove those from before the window."""
        self.snapshots.append((elapsed_ms, counts))
        while elapsed_ms - self.snapshots[1 if len(self.snapshots) > 1 else 0][0] > RATE_WINDOW_MS:
            self.snapshots.popleft()

    def rates(self) -> tuple[float, ...]:
        """Return the increase per second; nothing while only one snapshot is known."""
        (first_ms, first), (last_ms, last) = self.snapshots[0], self.snapshots[-1]
        if last_ms <= first_ms:
            return ()
        scale = MILLISECONDS / (last_ms - first_ms)
        return tuple([(new - old) * scale for new, old in zip(last, first, strict=True)])


@dataclass(slots=True)
class _HeadPart:
    number: int
    elapsed_ms: int
    at: float
    requests_by_head: Mapping[UpstreamId, int]


@dataclass(slots=True)
class _Instance:
    lifetime: int
    parts: int
    at: float
    head_parts: dict[int, _HeadPart] = field(default_factory=dict)
    windows_by_key: dict[ModelKey, RateWindow] = field(default_factory=dict)
    windows_by_customer: dict[CustomerId, RateWindow] = field(default_factory=dict)

    def number(self) -> int:
        """Return the number of the oldest state that is counted."""
        return min((part.number for part in self.head_parts.values()), default=0)


@dataclass(frozen=True, slots=True)
class StateSums:
    """Sums of the states of all instances of a data centre.

    :param instances: number of instances whose states are counted.
    :param age: mean age of these states in seconds.
    """

    instances: int
    age: float
    requests_by_head: Mapping[UpstreamId, int]
    demand_by_key: Mapping[ModelKey, ModelDemand]
    begun_per_second_by_customer: Mapping[CustomerId, float]


class InstanceStates:
    """The last states of the instances of a data centre."""

    def __init__(self) -> None:
        self._instances_by_id: dict[EntryId, _Instance] = {}
        self._demand_by_key: dict[ModelKey, ModelDemand] = {}

    def record(self, instance: EntryId, number: int, state: InstanceState, at: float) -> bool:
        """Record a state; return False if it is impossible, which removes the instance.

        A state that was overtaken by a later one is ignored.
        """
        known = self._instances_by_id.get(instance)
        if known is None or known.lifetime != state.lifetime:
            known = _Instance(state.lifetime, state.parts, at)
            self._instances_by_id[instance] = known
        elif known.parts != state.parts:
            known.head_parts.clear()
            known.parts = state.parts
        part = known.head_parts.get(state.part)
        if part is not None and number <= part.number:
            return True
        if not _add_counts(known, state):
            self.remove(instance)
            return False
        known.at = at
        heads = {UpstreamId(head): requests for head, requests in state.heads}
        known.head_parts[state.part] = _HeadPart(number, state.elapsed_ms, at, heads)
        return True

    def remove(self, instance: EntryId) -> None:
        """Remove the state of an instance."""
        self._instances_by_id.pop(instance, None)

    def counted_number(self, instance: EntryId) -> int:
        """Return the number of the state of an instance that is counted; 0 for none."""
        known = self._instances_by_id.get(instance)
        return known.number() if known is not None else 0

    def sum_up(self, at: float) -> StateSums:
        """Return the sums of the states that are not too old, and remove the others."""
        self._remove_expired(at)
        found = [known for known in self._instances_by_id.values() if known.head_parts]
        requests: Counter[UpstreamId] = Counter()
        for instance in found:
            for part in instance.head_parts.values():
                requests.update(part.requests_by_head)
        age = sum(at - instance.at for instance in found) / len(found) if found else 0.0
        customer_rates: Counter[CustomerId] = Counter()
        for instance in found:
            for customer, window in instance.windows_by_customer.items():
                customer_rates[customer] += sum(window.rates())  # type: ignore[assignment]
        return StateSums(len(found), age, requests, self._sum_demand(found), customer_rates)

    def _remove_expired(self, at: float) -> None:
        for instance_id, instance in list(self._instances_by_id.items()):
            if at - instance.at > COUNTERS_KEPT_SECONDS:
                del self._instances_by_id[instance_id]
                continue
            instance.head_parts = {
                index: part
                for index, part in instance.head_parts.items()
                if at - part.at <= STATE_VALID_SECONDS
            }

    def _sum_demand(self, instances: Iterable[_Instance]) -> dict[ModelKey, ModelDemand]:
        """Return the demand by model; what is not known at present stays as it was last."""
        rates_by_key: dict[ModelKey, list[tuple[float, ...]]] = {}
        for instance in instances:
            for key, window in instance.windows_by_key.items():
                rates = window.rates()
                if rates:
                    rates_by_key.setdefault(key, []).append(rates)
        self._demand_by_key = {
            key: _demand(
                [sum(column) for column in zip(*rates, strict=True)],
                self._demand_by_key.get(key, ModelDemand()),
            )
            for key, rates in rates_by_key.items()
        }
        return self._demand_by_key


def _demand(rates: list[float], before: ModelDemand) -> ModelDemand:
    """Return the demand for a model.

    :param rates: increase of each counter per second, see ``CounterEntry``.
    """
    arrivals, refused, in_time, late, ended, engine_ms = rates
    begun = in_time + late
    return ModelDemand(
        arrivals,
        refused,
        in_time / begun if begun > 0 else before.in_time_share,
        engine_ms / ended / MILLISECONDS if ended > 0 else before.mean_seconds,
    )


def _add_counts(instance: _Instance, state: InstanceState) -> bool:
    """Add the counters of a state; return False if one of them is impossible."""
    if len(instance.windows_by_key) + len(instance.windows_by_customer) > MAX_COUNTERS:
        return False
    before_ms = _zero_until_ms(instance, state)
    for service, model, *counts in state.models:
        key = (ServiceId(service), ModelId(model))
        window = instance.windows_by_key.get(key)
        if window is None:
            window = instance.windows_by_key[key] = RateWindow.from_zero(before_ms, len(counts))
        if not window.accepts(state.elapsed_ms, tuple(counts)):
            return False
        window.add(state.elapsed_ms, tuple(counts))
    for name, count in state.customers:
        customer = CustomerId(name)
        window = instance.windows_by_customer.get(customer)
        if window is None:
            window = instance.windows_by_customer[customer] = RateWindow.from_zero(before_ms, 1)
        if not window.accepts(state.elapsed_ms, (count,)):
            return False
        window.add(state.elapsed_ms, (count,))
    return True


def _zero_until_ms(instance: _Instance, state: InstanceState) -> int | None:
    """Return the time at which counters were still zero that a state names for the first time."""
    part = instance.head_parts.get(state.part)
    if part is not None:
        return part.elapsed_ms
    return 0 if 0 < state.elapsed_ms <= RATE_WINDOW_MS else None
