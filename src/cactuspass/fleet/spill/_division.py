"""Divides the room of each data centre among those whose demand exceeds their own capacity."""

from collections.abc import Mapping

from cactuspass.fleet.load_exchange import Shares
from cactuspass.fleet.spill._model_state import ModelState, PlaceState
from cactuspass.models import DataCentreId

# Shares of the slots, below 1 so that chance does not fill single groups: what a data centre runs
# itself before it sends requests elsewhere, and up to which it offers room. With more, requests
# wait for a slot here while slots elsewhere are free, and are late.
LOCAL_FILL = 0.7
OFFERED_FILL = 0.8
# A request and a new connection cross the link four times before the first event.
CROSSINGS = 4
# Shares of the objective: up to the first, a delay does not matter; from the second, no request
# that crosses the link is expected in time.
HARMLESS_DELAY_SHARE = 0.1
MAX_DELAY_SHARE = 0.5
ROUNDS = 3
MIN_REQUESTS = 1e-6

Flows = dict[tuple[DataCentreId, DataCentreId], float]


def link_value(state: ModelState, source: DataCentreId, target: DataCentreId) -> float:
    """Return how much a request keeps of its value on a link, between 0 and 1."""
    used = CROSSINGS * state.delay(source, target) / max(state.objective, MIN_REQUESTS)
    left = (MAX_DELAY_SHARE - used) / (MAX_DELAY_SHARE - HARMLESS_DELAY_SHARE)
    return min(1.0, max(0.0, left))


def excess(place: PlaceState) -> float:
    """Return the requests of a data centre's callers that its own groups cannot run."""
    return place.trust * max(0.0, place.demand - LOCAL_FILL * place.capacity)


def room(place: PlaceState, inflow: float) -> float:
    """Return the requests of others that a data centre can run besides those of its own callers.

    :param inflow: requests that the others send there by their last shares. Requests that run
        there beyond what is known of the demand leave less room.
    """
    by_demand = OFFERED_FILL * place.capacity - place.demand
    by_present = place.capacity - place.present + inflow
    return place.trust * max(0.0, min(by_demand, by_present))


def divide_room(state: ModelState, previous: Shares | None) -> Flows:
    """Return the requests that each data centre sends to each other one.

    Each offers its room to those with an excess, in proportion to it. All coordinators that know
    the same sums find the same division.

    :param previous: last shares of the data centre whose shares are decided.
    """
    places = state.places_by_id
    shares_by_place = dict(state.shares_by_place)
    if previous is not None:
        shares_by_place[state.here] = previous
    wanted = {place: excess(found) for place, found in places.items()}
    left = {
        place: room(found, _inflow(place, places, shares_by_place))
        for place, found in places.items()
    }
    flows: Flows = {}
    for _ in range(ROUNDS):
        for (source, target), offer in _offers(state, wanted, left).items():
            flows[source, target] = flows.get((source, target), 0.0) + offer
            wanted[source] -= offer
            left[target] -= offer
    return flows


def _inflow(
    target: DataCentreId,
    places: Mapping[DataCentreId, PlaceState],
    shares_by_place: Mapping[DataCentreId, Shares],
) -> float:
    return sum(
        found.demand * shares_by_place.get(place, {}).get(target, 0.0)
        for place, found in places.items()
        if place != target
    )


def _offers(
    state: ModelState, wanted: Mapping[DataCentreId, float], left: Mapping[DataCentreId, float]
) -> Flows:
    """Return what each data centre accepts from the offers of each other one."""
    offers: Flows = {}
    for target, target_room in left.items():
        weights = {
            source: amount * link_value(state, source, target)
            for source, amount in wanted.items()
            if source != target and amount > MIN_REQUESTS
        }
        total = sum(weights.values())
        if total > 0 and target_room > MIN_REQUESTS:
            offers |= {(s, target): target_room * weight / total for s, weight in weights.items()}
    offered = dict.fromkeys(wanted, 0.0)
    for (source, _), offer in offers.items():
        offered[source] += offer
    return {
        (source, target): offer * min(1.0, wanted[source] / offered[source])
        for (source, target), offer in offers.items()
        if offered[source] > 0
    }
