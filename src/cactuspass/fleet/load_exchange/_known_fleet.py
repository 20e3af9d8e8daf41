"""The load of the fleet, as the coordinator of its data centre tells one instance."""

from collections.abc import Callable, Mapping

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._fleet_load import DemandKey, FleetLoad, HeadLoad, ModelKey
from cactuspass.fleet.load_exchange._known_sums import demand_of, model_key, shares_of
from cactuspass.fleet.load_exchange._messages import FleetDemandEntry, FleetSums
from cactuspass.fleet.load_exchange._sum_sources import MILLI, ReceivedSums, SumSources
from cactuspass.models import CustomerId, DataCentreId, EntryId

OwnRequests = Callable[[int], Mapping[UpstreamId, int]]


class KnownFleet:
    """The last sums of the fleet.

    :param data_centre: data centre of this instance.
    :ivar last_entry_by_key: the last entry on each model in the own data centre.
    """

    def __init__(self, data_centre: DataCentreId) -> None:
        self._data_centre = data_centre
        self._sources: SumSources[FleetSums] = SumSources()
        self.last_entry_by_key: dict[ModelKey, FleetDemandEntry] = {}

    def record(self, number: int, sums: FleetSums, at: float) -> None:
        """Record sums that were received.

        :param number: of this instance's own state that the sums include; 0 for none.
        """
        self._sources.record(number, sums, at)
        for entry in sums.models:
            if sums.places[entry[7]][0] == self._data_centre:
                self.last_entry_by_key[model_key(entry)] = entry

    def remove(self, coordinator: EntryId) -> None:
        """Remove the sums of a coordinator."""
        self._sources.remove(coordinator)

    def current(self, at: float) -> list[ReceivedSums[FleetSums]]:
        """Return the parts of the sums to use; none if all are too old."""
        return self._sources.current(at)

    def ages_by_place(self, at: float) -> dict[DataCentreId, float]:
        """Return the age in seconds of what is known of each data centre."""
        return {
            DataCentreId(place): at - received.at + age_ms / MILLI
            for received in self.current(at)
            for place, _, _, age_ms in received.sums.places
        }

    def fleet_load(self, at: float, own_requests: OwnRequests) -> FleetLoad | None:
        """Return the load of the fleet; None if all sums are too old.

        :param own_requests: returns what a state of this instance with a number has named.
        """
        parts = self.current(at)
        if not parts:
            return None
        return FleetLoad(
            at,
            {
                head: load
                for received in parts
                for head, load in _loads_elsewhere(received, at, own_requests).items()
            },
            {
                DemandKey(*model_key(entry), _place(received, entry)): demand_of(entry)
                for received in parts
                for entry in received.sums.models
            },
            {
                model_key(entry): shares_of(entry)
                for received in parts
                for entry in received.sums.models
                if _place(received, entry) == self._data_centre and any(s for _, s in entry[6])
            },
            {
                CustomerId(customer): rate / MILLI
                for received in parts
                for customer, rate in received.sums.customers
            },
        )


def _place(received: ReceivedSums[FleetSums], entry: FleetDemandEntry) -> DataCentreId:
    return DataCentreId(received.sums.places[entry[7]][0])


def _loads_elsewhere(
    received: ReceivedSums[FleetSums], at: float, own_requests: OwnRequests
) -> dict[UpstreamId, HeadLoad]:
    """Return the requests at each head without this instance's part, as it was included."""
    own = own_requests(received.number)
    held = at - received.at
    places = received.sums.places
    return {
        UpstreamId(head): HeadLoad(
            float(max(0, count - own.get(UpstreamId(head), 0))), held + places[oldest][3] / MILLI
        )
        for head, count, oldest in received.sums.heads
    }
