"""The sums of all data centres as one instance knows them."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._fleet_load import (
    DemandKey,
    FleetLoad,
    HeadLoad,
    ModelDemand,
    ModelKey,
)
from cactuspass.fleet.load_exchange._messages import DemandEntry, LoadSums
from cactuspass.models import CustomerId, DataCentreId, EntryId, ModelId, ServiceId

SUMS_VALID_SECONDS = 1.5
# Of two coordinators that are heard, the one that counts more instances is used.
RIVAL_SECONDS = 1.0
MILLI = 1000.0


@dataclass(frozen=True, slots=True)
class ReceivedSums:
    """One part of the sums of a data centre.

    :param number: number of this instance's own state that the sums include; 0 for none.
    :param at: clock value at which they were received.
    """

    sums: LoadSums
    number: int
    at: float

    def age(self, at: float) -> float:
        """Return the age of the content in seconds."""
        return at - self.at + self.sums.age_ms / MILLI


@dataclass(slots=True)
class _Source:
    """The last sums of a coordinator, by part."""

    parts: int
    received_by_part: dict[int, ReceivedSums] = field(default_factory=dict)

    def rank(self, at: float) -> tuple[bool, int, float]:
        """Return what to compare with rival coordinators of the same data centre."""
        newest = max(self.received_by_part.values(), key=lambda received: received.at)
        is_recent = at - newest.at <= RIVAL_SECONDS
        return is_recent, newest.sums.instances if is_recent else 0, newest.at


class KnownSums:
    """The last sums of each data centre.

    :ivar last_entry_by_key: the last entry on each model in sums of the own data centre.
    """

    def __init__(self, data_centre: DataCentreId) -> None:
        self._data_centre = data_centre
        self._sources_by_place: dict[DataCentreId, dict[EntryId, _Source]] = {}
        self.last_entry_by_key: dict[ModelKey, DemandEntry] = {}

    def record(self, number: int, sums: LoadSums, at: float) -> None:
        """Record sums that were received."""
        place, coordinator = DataCentreId(sums.data_centre), EntryId(sums.coordinator)
        sources = self._sources_by_place.setdefault(place, {})
        source = sources.get(coordinator)
        if source is None or source.parts != sums.parts:
            source = sources[coordinator] = _Source(sums.parts)
        source.received_by_part[sums.part] = ReceivedSums(sums, number, at)
        if place == self._data_centre:
            self.last_entry_by_key.update((model_key(entry), entry) for entry in sums.models)

    def remove(self, coordinator: EntryId) -> None:
        """Remove the sums of a coordinator."""
        for sources in self._sources_by_place.values():
            sources.pop(coordinator, None)

    def current(self, at: float) -> Iterator[tuple[DataCentreId, list[ReceivedSums]]]:
        """Yield the parts of the sums to use of each data centre that is known."""
        self._remove_expired(at)
        for place, sources in self._sources_by_place.items():
            if sources:
                best = max(sources.values(), key=lambda source: source.rank(at))
                yield place, list(best.received_by_part.values())

    def fleet_load(
        self, at: float, own_requests: Callable[[int], Mapping[UpstreamId, int]]
    ) -> FleetLoad | None:
        """Return the load of the fleet; None if the sums of the own data centre are too old.

        :param own_requests: returns what a state of this instance with a number has named.
        """
        current = dict(self.current(at))
        if self._data_centre not in current:
            return None
        requests: Counter[UpstreamId] = Counter()
        oldest: dict[UpstreamId, float] = {}
        for place, parts in current.items():
            for received in parts:
                own = own_requests(received.number) if place == self._data_centre else {}
                age = received.age(at)
                for name, count in received.sums.heads:
                    head = UpstreamId(name)
                    requests[head] += max(0, count - own.get(head, 0))
                    oldest[head] = max(oldest.get(head, 0.0), age)
        return FleetLoad(
            at,
            {head: HeadLoad(float(count), oldest[head]) for head, count in requests.items()},
            {
                DemandKey(*model_key(entry), place): demand_of(entry)
                for place, parts in current.items()
                for received in parts
                for entry in received.sums.models
            },
            {
                model_key(entry): shares_of(entry)
                for received in current[self._data_centre]
                for entry in received.sums.models
                if entry[6]
            },
            _customer_rates(current),
        )

    def _remove_expired(self, at: float) -> None:
        for sources in self._sources_by_place.values():
            for coordinator, source in list(sources.items()):
                source.received_by_part = {
                    part: received
                    for part, received in source.received_by_part.items()
                    if received.age(at) <= SUMS_VALID_SECONDS
                }
                if not source.received_by_part:
                    del sources[coordinator]


def model_key(entry: DemandEntry) -> ModelKey:
    """Return the model that an entry is on."""
    return ServiceId(entry[0]), ModelId(entry[1])


def demand_of(entry: DemandEntry) -> ModelDemand:
    """Return the demand that an entry states."""
    _, _, arrivals, refused, in_time, mean_ms, _ = entry
    return ModelDemand(arrivals / MILLI, refused / MILLI, in_time / MILLI, mean_ms / MILLI)


def shares_of(entry: DemandEntry) -> dict[DataCentreId, float]:
    """Return the shares that an entry states, which add up to 1 in spite of rounding."""
    total = sum(share for _, share in entry[6])
    return {DataCentreId(place): share / total for place, share in entry[6] if share}


def _customer_rates(
    current: Mapping[DataCentreId, list[ReceivedSums]],
) -> dict[CustomerId, float]:
    rates: dict[CustomerId, float] = {}
    for parts in current.values():
        for received in parts:
            for name, rate in received.sums.customers:
                customer = CustomerId(name)
                rates[customer] = rates.get(customer, 0.0) + rate / MILLI
    return rates
