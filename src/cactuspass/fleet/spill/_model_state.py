"""What the shares of one model are decided on."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cactuspass.fleet.load_exchange import Shares
from cactuspass.models import DataCentreId


@dataclass(frozen=True, slots=True)
class PlaceState:
    """One data centre, as far as it concerns one model.

    :param capacity: requests that its groups can run at the same time.
    :param demand: requests of its own callers that would run at the same time if none was refused.
    :param present: requests of all callers at its groups.
    :param trust: 1 for recent sums, falling to 0 with their age.
    """

    capacity: float
    demand: float = 0.0
    present: float = 0.0
    trust: float = 1.0


@dataclass(frozen=True, slots=True)
class ModelState:
    """One model in all data centres.

    :param here: the data centre whose shares are decided.
    :param objective: seconds to the first event that the most urgent route aims at.
    :param delay_by_pair: seconds of one way between two data centres.
    :param shares_by_place: last known shares of the other data centres.
    """

    here: DataCentreId
    places_by_id: Mapping[DataCentreId, PlaceState]
    objective: float = 1.0
    delay_by_pair: Mapping[frozenset[DataCentreId], float] = field(default_factory=dict)
    shares_by_place: Mapping[DataCentreId, Shares] = field(default_factory=dict)

    def delay(self, place: DataCentreId, other: DataCentreId) -> float:
        """Return the seconds of one way between two data centres."""
        return self.delay_by_pair.get(frozenset((place, other)), 0.0)
