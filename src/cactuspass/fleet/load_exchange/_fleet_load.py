"""What an instance knows of the load of all upstreams and of the demand in all data centres."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId

ModelKey = tuple[ServiceId, ModelId]
# Share of the requests of one data centre that goes to each data centre.
Shares = Mapping[DataCentreId, float]


@dataclass(frozen=True, slots=True)
class HeadLoad:
    """Requests of the other instances at the head of a group, running or waiting.

    :param requests: requests that have been sent and have not ended.
    :param age: seconds since the oldest of the sums that this consists of.
    """

    requests: float
    age: float


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model by the callers of one data centre.

    :param arrivals_per_second: requests that arrived, including those that were refused.
    :param refused_per_second: requests that were refused before they ran.
    :param in_time_share: share of the requests begun whose first event came within the objective.
    :param mean_seconds: mean time of a request at an engine, from sending to the last event.
    """

    arrivals_per_second: float = 0.0
    refused_per_second: float = 0.0
    in_time_share: float = 1.0
    mean_seconds: float = 0.0

    @property
    def offered_concurrency(self) -> float:
        """Requests that would run at the same time if none was refused."""
        return self.arrivals_per_second * self.mean_seconds


@dataclass(frozen=True, slots=True)
class DemandKey:
    """A model and the data centre whose callers ask for it."""

    service: ServiceId
    model: ModelId
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The load as far as this instance has heard of it lately.

    :param at: clock value at which this was computed.
    :param requests_elsewhere_by_head: load from the other instances, without this one's own; a
        head that is not listed has none in the data centres that have been heard of.
    :param demand_by_key: demand of the data centres that have been heard of.
    :param shares_by_model: share of the requests of this instance's data centre that goes to each
        data centre; the shares of a model add up to 1.
    :param begun_per_second_by_customer: requests of each customer that begin, in the whole fleet.
    """

    at: float
    requests_elsewhere_by_head: Mapping[UpstreamId, HeadLoad] = field(default_factory=dict)
    demand_by_key: Mapping[DemandKey, ModelDemand] = field(default_factory=dict)
    shares_by_model: Mapping[ModelKey, Shares] = field(default_factory=dict)
    begun_per_second_by_customer: Mapping[CustomerId, float] = field(default_factory=dict)
