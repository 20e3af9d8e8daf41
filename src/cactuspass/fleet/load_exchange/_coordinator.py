"""What an instance does as the coordinator of its data centre: sums up and decides shares."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._coordinator_choice import (
    SILENCE_SECONDS,
    order_coordinators,
)
from cactuspass.fleet.load_exchange._fleet_load import DemandKey, ModelDemand, ModelKey, Shares
from cactuspass.fleet.load_exchange._instance_states import InstanceStates, StateSums
from cactuspass.fleet.load_exchange._known_fleet import KnownFleet
from cactuspass.fleet.load_exchange._known_loads import KnownLoads, ShareDecision
from cactuspass.fleet.load_exchange._known_sums import (
    KnownSums,
    demand_of,
    model_key,
    shares_of,
)
from cactuspass.fleet.load_exchange._messages import (
    MAX_MILLISECONDS,
    MAX_PER_SECOND_MILLI,
    MAX_REQUESTS,
    CustomerRateEntry,
    DemandEntry,
    FleetSums,
    InstanceState,
    LoadSums,
)
from cactuspass.fleet.load_exchange._sum_sources import ReceivedSums
from cactuspass.models import CustomerId, DataCentreId, EntryId

MILLI = 1000
# Time until enough states for rates have come; a new coordinator repeats the last demand before.
FIRST_RATES_SECONDS = 1.0
# Instances of another data centre that are tried while none has been heard.
TRIED_COORDINATORS = 2
# Only the customers with the most requests are named, so that sums stay small.
MAX_SUMMED_CUSTOMERS = 64


class Coordinator:
    """Sums up the states of the instances of a data centre.

    :param instance: id of this instance.
    :param known: what this instance has heard as one of its data centre.
    :param known_sums: the sums of the other data centres.
    :param decide: decides the shares of the data centre.
    """

    def __init__(
        self,
        instance: EntryId,
        data_centre: DataCentreId,
        known: KnownFleet,
        known_sums: KnownSums,
        decide: ShareDecision,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._decide = decide
        self._known = known
        self._known_sums = known_sums
        self._states = InstanceStates()
        self._ordered_by_place: Mapping[DataCentreId, list[Peer]] = {}
        self._others_by_place: dict[DataCentreId, tuple[Peer, float]] = {}

    def accept_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the registered instances."""
        places = {peer.data_centre for peer in peers} - {self._data_centre}
        self._ordered_by_place = {
            place: order_coordinators(peers, place) for place in sorted(places)
        }

    def record_state(self, sender: Peer, number: int, state: InstanceState, at: float) -> bool:
        """Record the state of another instance; return False if it is impossible."""
        if sender.data_centre != self._data_centre:
            return False
        return self._states.record(sender.instance, number, state, at)

    def record_own_state(self, number: int, state: InstanceState, at: float) -> None:
        """Record the state of this instance."""
        self._states.record(self._instance, number, state, at)

    def remove(self, instance: EntryId) -> None:
        """Remove the state of an instance."""
        self._states.remove(instance)

    def counted_number(self, instance: EntryId) -> int:
        """Return the number of the state of an instance that the sums include; 0 for none."""
        return self._states.counted_number(instance)

    def note_other(self, coordinator: Peer, at: float) -> None:
        """Note that the coordinator of another data centre was heard."""
        self._others_by_place[coordinator.data_centre] = coordinator, at

    def other_coordinators(self, at: float) -> Iterator[Peer]:
        """Yield the instances of other data centres to which sums are sent.

        This is the one that was heard last, or the first ones in order while none is heard.
        """
        for place, ordered in self._ordered_by_place.items():
            heard, heard_at = self._others_by_place.get(place, (None, 0.0))
            if heard in ordered and at - heard_at <= SILENCE_SECONDS:
                assert heard is not None
                yield heard
            else:
                yield from ordered[:TRIED_COORDINATORS]

    def sum_up(self, at: float, coordinating_for: float) -> LoadSums:
        """Return the sums of the present states.

        :param coordinating_for: seconds since this instance has become the coordinator.
        """
        sums = self._states.sum_up(at)
        last = self._known.last_entry_by_key
        demand_by_key = dict(sums.demand_by_key)
        if coordinating_for < FIRST_RATES_SECONDS and last:
            demand_by_key = {key: demand_of(entry) for key, entry in last.items()}
        previous = {key: shares_of(entry) for key, entry in last.items() if entry[6]}
        shares_by_key = self._decide(self._known_loads(sums, demand_by_key, at), previous, at)
        rates = sums.begun_per_second_by_customer
        return LoadSums(
            self._data_centre,
            self._instance,
            sums.instances,
            min(round(sums.age * MILLI), MAX_MILLISECONDS),
            tuple((h, min(n, MAX_REQUESTS)) for h, n in sums.requests_by_head.items()),
            tuple(
                _demand_entry(
                    key, demand_by_key.get(key, ModelDemand()), shares_by_key.get(key, {})
                )
                for key in demand_by_key.keys() | shares_by_key.keys()
            ),
            _largest(rates),
        )

    def merge(self, own: LoadSums, at: float) -> FleetSums:
        """Return the sums of all data centres.

        :param own: the sums of the own data centre.
        """
        others = self._known_sums.current(at)
        every = [(0, own), *_numbered(others.values())]
        places = [(own.data_centre, own.coordinator, own.instances, own.age_ms)]
        for parts in others.values():
            newest = max(parts, key=lambda part: part.at)
            age_ms = round(max(part.age(at) for part in parts) * MILLI)
            sums = newest.sums
            places.append((sums.data_centre, sums.coordinator, sums.instances, age_ms))
        requests: Counter[str] = Counter()
        oldest: dict[str, int] = {}
        rates: Counter[CustomerId] = Counter()
        for position, sums in every:
            for head, count in sums.heads:
                requests[head] += count
                if places[position][3] >= places[oldest.get(head, position)][3]:
                    oldest[head] = position
            for customer, rate in sums.customers:
                rates[CustomerId(customer)] += rate / MILLI  # type: ignore[assignment]
        return FleetSums(
            own.coordinator,
            own.instances,
            own.age_ms,
            tuple(places),
            tuple((h, min(n, MAX_REQUESTS), oldest[h]) for h, n in requests.items()),
            tuple((*entry, position) for position, sums in every for entry in sums.models),
            _largest(rates),
        )

    def _known_loads(
        self, sums: StateSums, demand_by_key: Mapping[ModelKey, ModelDemand], at: float
    ) -> KnownLoads:
        """Return what the shares are decided on."""
        others = self._known_sums.current(at)
        requests = Counter(sums.requests_by_head)
        for received in chain.from_iterable(others.values()):
            requests.update({UpstreamId(head): count for head, count in received.sums.heads})
        demand = {DemandKey(*key, self._data_centre): found for key, found in demand_by_key.items()}
        shares_by_place: dict[DataCentreId, dict[ModelKey, Shares]] = {}
        for place, parts in others.items():
            for entry in chain.from_iterable(received.sums.models for received in parts):
                demand[DemandKey(*model_key(entry), place)] = demand_of(entry)
                shares_by_place.setdefault(place, {})[model_key(entry)] = shares_of(entry)
        age_by_place = {
            place: max(received.age(at) for received in parts) for place, parts in others.items()
        }
        age_by_place[self._data_centre] = 0.0
        return KnownLoads(demand, age_by_place, requests, shares_by_place)


def _numbered(
    parts_by_place: Iterable[list[ReceivedSums[LoadSums]]],
) -> Iterator[tuple[int, LoadSums]]:
    """Yield all sums with the position of their data centre; the own one is the first."""
    for position, parts in enumerate(parts_by_place, 1):
        for received in parts:
            yield position, received.sums


def _largest(rates: Mapping[CustomerId, float]) -> tuple[CustomerRateEntry, ...]:
    """Return the customers with the most requests."""
    ordered = sorted(rates, key=lambda customer: -rates[customer])[:MAX_SUMMED_CUSTOMERS]
    return tuple((customer, _milli(rates[customer])) for customer in ordered)


def _demand_entry(key: ModelKey, demand: ModelDemand, shares: Shares) -> DemandEntry:
    service, model = key
    return (
        service,
        model,
        _milli(demand.arrivals_per_second),
        _milli(demand.refused_per_second),
        min(MILLI, round(demand.in_time_share * MILLI)),
        min(round(demand.mean_seconds * MILLI), MAX_MILLISECONDS),
        tuple((place, min(MILLI, round(share * MILLI))) for place, share in shares.items()),
    )


def _milli(rate: float) -> int:
    return min(round(rate * MILLI), MAX_PER_SECOND_MILLI)
