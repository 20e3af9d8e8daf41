"""The sums of the other data centres, as the coordinator of one of them knows them."""

from collections.abc import Iterator, Mapping

from cactuspass.fleet.load_exchange._fleet_load import ModelDemand, ModelKey, Shares
from cactuspass.fleet.load_exchange._messages import DemandEntry, FleetDemandEntry, LoadSums
from cactuspass.fleet.load_exchange._sum_sources import MILLI, ReceivedSums, SumSources
from cactuspass.models import DataCentreId, EntryId, ModelId, ServiceId

# Older sums are not passed on, so that they end before they are too old for the receivers.
PASSED_ON_SECONDS = 1.25


class KnownSums:
    """The last sums of each other data centre."""

    def __init__(self) -> None:
        self._sources_by_place: dict[DataCentreId, SumSources[LoadSums]] = {}

    def record(self, sums: LoadSums, at: float) -> None:
        """Record sums that were received."""
        place = DataCentreId(sums.data_centre)
        self._sources_by_place.setdefault(place, SumSources()).record(0, sums, at)

    def remove(self, coordinator: EntryId) -> None:
        """Remove the sums of a coordinator."""
        for sources in self._sources_by_place.values():
            sources.remove(coordinator)

    def current(self, at: float) -> Mapping[DataCentreId, list[ReceivedSums[LoadSums]]]:
        """Return the parts of the sums of each data centre that is known."""
        return {place: parts for place, parts in self._recent(at) if parts}

    def _recent(self, at: float) -> Iterator[tuple[DataCentreId, list[ReceivedSums[LoadSums]]]]:
        for place, sources in self._sources_by_place.items():
            parts = sources.current(at)
            yield place, [part for part in parts if part.age(at) <= PASSED_ON_SECONDS]


def model_key(entry: DemandEntry | FleetDemandEntry) -> ModelKey:
    """Return the model that an entry is on."""
    return ServiceId(entry[0]), ModelId(entry[1])


def demand_of(entry: DemandEntry | FleetDemandEntry) -> ModelDemand:
    """Return the demand that an entry states."""
    arrivals, refused, in_time, mean_ms = entry[2:6]
    return ModelDemand(arrivals / MILLI, refused / MILLI, in_time / MILLI, mean_ms / MILLI)


def shares_of(entry: DemandEntry | FleetDemandEntry) -> Shares:
    """Return the shares that an entry states, which add up to 1 in spite of rounding."""
    total = sum(share for _, share in entry[6])
    return {DataCentreId(place): share / total for place, share in entry[6] if share}
