"""Decides the shares of the requests of a data centre that go to each data centre."""

from collections.abc import Mapping

from cactuspass.fleet.load_exchange import ModelKey, Shares
from cactuspass.fleet.spill._division import MIN_REQUESTS, divide_room, link_value, room
from cactuspass.fleet.spill._model_state import ModelState, PlaceState
from cactuspass.models import DataCentreId

# Part of the way to the target in one decision, four of which are taken per second.
SMOOTHING_FACTOR = 0.6
# Targets that differ less from the last shares do not change them, so that chance does not.
MIN_CHANGE = 0.02


def decide_shares(
    states_by_key: Mapping[ModelKey, ModelState], previous_by_key: Mapping[ModelKey, Shares]
) -> dict[ModelKey, Shares]:
    """Return the shares of each model, which add up to 1.

    :param previous_by_key: the last shares, from this or another instance.
    """
    return {
        key: decide_model_shares(state, previous_by_key.get(key))
        for key, state in states_by_key.items()
    }


def decide_model_shares(state: ModelState, previous: Shares | None) -> Shares:
    """Return the shares of one model.

    What its own groups cannot run goes to the room of others. With no group here, all goes there.
    """
    here = state.places_by_id.get(state.here, PlaceState(0.0))
    if here.capacity <= 0.0:
        target = _all_elsewhere(state, previous)
        was_elsewhere = previous is not None and not previous.get(state.here)
        shares = _approach(state, target, previous) if was_elsewhere else target
        total = sum(shares.values())
        return {p: s / total for p, s in shares.items()} if total else {state.here: 1.0}
    flows = divide_room(state, previous)
    shares_elsewhere = {
        place: flow / here.demand
        for (source, place), flow in flows.items()
        if source == state.here and here.demand > MIN_REQUESTS
    }
    return _with_rest(state.here, _approach(state, shares_elsewhere, previous))


def _all_elsewhere(state: ModelState, previous: Shares | None) -> Shares:
    """Return shares that send everything to other data centres, by room and else by capacity.

    They are empty if no data centre has a group.
    """
    others = {place: found for place, found in state.places_by_id.items() if place != state.here}
    flows = divide_room(state, previous)
    by_flow = {place: flows.get((state.here, place), 0.0) for place in others}
    by_room = {
        place: room(found, 0.0) * link_value(state, state.here, place)
        for place, found in others.items()
    }
    by_trust = {place: found.capacity * found.trust for place, found in others.items()}
    by_capacity = {place: found.capacity for place, found in others.items()}
    for weights in (by_flow, by_room, by_trust, by_capacity):
        total = sum(weights.values())
        if total > MIN_REQUESTS:
            return {place: weight / total for place, weight in weights.items() if weight > 0.0}
    return {}


def _approach(
    state: ModelState, target: Mapping[DataCentreId, float], previous: Shares | None
) -> dict[DataCentreId, float]:
    """Return shares of the other data centres between the last ones and the target.

    One that is not usable any more gets nothing at once.
    """
    if previous is None:
        return dict(target)
    usable = {
        place: previous.get(place, 0.0)
        for place, found in state.places_by_id.items()
        if place != state.here and found.capacity * found.trust > 0.0
    }
    if all(abs(target.get(place, 0.0) - share) < MIN_CHANGE for place, share in usable.items()):
        return {place: share for place, share in usable.items() if target.get(place)}
    return {
        place: share + SMOOTHING_FACTOR * (target.get(place, 0.0) - share)
        for place, share in usable.items()
    }


def _with_rest(here: DataCentreId, shares: Mapping[DataCentreId, float]) -> Shares:
    """Return the shares with that of the own data centre."""
    found = {place: share for place, share in shares.items() if share > 0.0}
    return {here: max(0.0, 1.0 - sum(found.values())), **found}
