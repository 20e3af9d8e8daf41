"""Shows the exchanged loads as rows."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cactuspass._output import as_table
from cactuspass._rows import RowSet, row_set
from cactuspass.fleet.load_exchange._fleet_load import FleetLoad
from cactuspass.fleet.load_exchange._messages import PlaceEntry
from cactuspass.models import DataCentreId, EntryId

LOAD_PATH = "/load"


@dataclass(frozen=True, slots=True)
class SumsRow:
    """The sums of one data centre.

    :param instances: instances whose states they count.
    """

    data_centre: str
    coordinator: str
    instances: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class DemandRow:
    """The demand for a model in one data centre.

    :param shares: where the requests of the own data centre go.
    """

    service: str
    model: str
    data_centre: str
    arrivals_per_second: float
    refused_per_second: float
    in_time_share: float
    mean_seconds: float
    shares: str | None


@dataclass(frozen=True, slots=True)
class HeadRow:
    """Requests of the other instances at the head of a group."""

    upstream: str
    requests_elsewhere: float
    age_seconds: float


def load_page(
    places: Sequence[PlaceEntry],
    ages_by_place: Mapping[DataCentreId, float],
    instance: EntryId,
    coordinator: EntryId | None,
    seconds: float,
    load: FleetLoad | None,
) -> bytes:
    """Return the page of an instance that shows the loads.

    :param places: the data centres that are known.
    :param instance: the instance itself.
    :param coordinator: the coordinator that the instance uses; None while nothing is exchanged.
    :param seconds: time since it does so.
    """
    if coordinator is None:
        return f"nothing is exchanged, since {seconds:.1f} s\n".encode()
    own = " (this instance)" if coordinator == instance else ""
    tables = [
        f"coordinator {coordinator}{own}, since {seconds:.1f} s",
        as_table(_sums(places, ages_by_place)),
    ]
    if load is not None:
        tables += [as_table(_demand(load)), as_table(_heads(load))]
    return ("\n\n".join(tables) + "\n").encode()


def _sums(places: Sequence[PlaceEntry], ages_by_place: Mapping[DataCentreId, float]) -> RowSet:
    return row_set(
        SumsRow,
        (
            SumsRow(place, coordinator, instances, round(ages_by_place[DataCentreId(place)], 2))
            for place, coordinator, instances, _ in sorted(places)
        ),
    )


def _demand(load: FleetLoad) -> RowSet:
    ordered = sorted(
        load.demand_by_key.items(),
        key=lambda item: (item[0].service, item[0].model, item[0].data_centre),
    )
    return row_set(
        DemandRow,
        (
            DemandRow(
                key.service,
                key.model,
                key.data_centre,
                demand.arrivals_per_second,
                demand.refused_per_second,
                demand.in_time_share,
                demand.mean_seconds,
                _shares_text(load.shares_by_model.get((key.service, key.model), {})),
            )
            for key, demand in ordered
        ),
    )


def _shares_text(shares: Mapping[DataCentreId, float]) -> str | None:
    return " ".join(f"{place}:{share:.2f}" for place, share in sorted(shares.items())) or None


def _heads(load: FleetLoad) -> RowSet:
    ordered = sorted(load.requests_elsewhere_by_head.items())
    return row_set(
        HeadRow,
        (HeadRow(head, found.requests, round(found.age, 2)) for head, found in ordered),
    )
