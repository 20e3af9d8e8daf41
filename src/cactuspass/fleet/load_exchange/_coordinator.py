"""What an instance does as the coordinator of its data centre: sums up and decides shares."""

from collections.abc import Iterator, Mapping

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._peers import Peer
from cactuspass.fleet.load_exchange._coordinator_choice import (
    SILENCE_SECONDS,
    order_coordinators,
)
from cactuspass.fleet.load_exchange._fleet_load import ModelDemand, ModelKey
from cactuspass.fleet.load_exchange._instance_states import InstanceStates
from cactuspass.fleet.load_exchange._known_sums import KnownSums, demand_of
from cactuspass.fleet.load_exchange._messages import (
    MAX_MILLISECONDS,
    MAX_PER_SECOND_MILLI,
    MAX_REQUESTS,
    DemandEntry,
    InstanceState,
    LoadSums,
)
from cactuspass.models import DataCentreId, EntryId

MILLI = 1000
# Time until enough states for rates have come; a new coordinator repeats the last demand before.
FIRST_RATES_SECONDS = 1.0
# Instances of another data centre that are tried while none has been heard.
TRIED_COORDINATORS = 2
# Only customers with the most requests are named, so that sums stay small.
MAX_SUMMED_CUSTOMERS = 64


class Coordinator:
    """Sums up the states of the instances of a data centre.

    :param instance: id of this instance.
    :param known: the sums that this instance has received.
    """

    def __init__(
        self,
        instance: EntryId,
        data_centre: DataCentreId,
        cluster_state: ClusterState,
        known: KnownSums,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._cluster_state = cluster_state
        self._known = known
        self._states = InstanceStates()
        self._ordered_by_place: Mapping[DataCentreId, list[Peer]] = {}
        self._others_by_place: dict[DataCentreId, tuple[Peer, float]] = {}

    def accept_peers(self, peers: tuple[Peer, ...]) -> None:
        """Set the registered instances."""
        places = {peer.data_centre for peer in peers} - {self._data_centre}
        self._ordered_by_place = {place: order_coordinators(peers, place) for place in places}

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
        demand_by_key = dict(sums.demand_by_key)
        if coordinating_for < FIRST_RATES_SECONDS and self._known.last_entry_by_key:
            last = self._known.last_entry_by_key
            demand_by_key = {key: demand_of(entry) for key, entry in last.items()}
        rates = sums.begun_per_second_by_customer
        largest = sorted(rates, key=lambda customer: -rates[customer])[:MAX_SUMMED_CUSTOMERS]
        return LoadSums(
            self._data_centre,
            self._instance,
            sums.instances,
            min(round(sums.age * MILLI), MAX_MILLISECONDS),
            tuple((h, min(n, MAX_REQUESTS)) for h, n in sums.requests_by_head.items()),
            tuple(_demand_entry(key, demand) for key, demand in demand_by_key.items()),
            tuple((customer, _milli(rates[customer])) for customer in largest),
        )


def _demand_entry(key: ModelKey, demand: ModelDemand) -> DemandEntry:
    service, model = key
    return (
        service,
        model,
        _milli(demand.arrivals_per_second),
        _milli(demand.refused_per_second),
        min(MILLI, round(demand.in_time_share * MILLI)),
        min(round(demand.mean_seconds * MILLI), MAX_MILLISECONDS),
        (),
    )


def _milli(rate: float) -> int:
    return min(round(rate * MILLI), MAX_PER_SECOND_MILLI)
