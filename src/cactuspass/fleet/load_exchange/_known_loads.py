"""The exchanged loads as the coordinator of a data centre knows them when it decides shares."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.load_exchange._fleet_load import DemandKey, ModelDemand, ModelKey, Shares
from cactuspass.models import DataCentreId


@dataclass(frozen=True, slots=True)
class KnownLoads:
    """The loads of all data centres that have been heard of.

    :param age_by_place: age of the sums of each data centre in seconds.
    :param requests_by_head: requests of all instances at each head.
    :param shares_by_place: last shares of the other data centres.
    """

    demand_by_key: Mapping[DemandKey, ModelDemand]
    age_by_place: Mapping[DataCentreId, float]
    requests_by_head: Mapping[UpstreamId, float]
    shares_by_place: Mapping[DataCentreId, Mapping[ModelKey, Shares]] = field(default_factory=dict)


# Returns the next shares of a data centre by the loads, the last shares and the clock value.
ShareDecision = Callable[[KnownLoads, Mapping[ModelKey, Shares], float], Mapping[ModelKey, Shares]]


def keep_shares(
    _: KnownLoads, previous_by_key: Mapping[ModelKey, Shares], __: float
) -> Mapping[ModelKey, Shares]:
    """Return the last shares; the decision where nothing else decides."""
    return previous_by_key
