"""Turns groups of a model that has more than it needs into groups of one that has fewer.

Their hosts load the weights of the other model while the group still serves, so that the change
costs no more than the time to join.
"""

from collections import Counter
from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Stage
from cactuspass.fleet._planner_memory import Reallocation
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import Group, Upstream

MAX_REALLOCATIONS = 2  # at the same time; demand is known better when they are done
NEEDED_SECONDS = 3.0  # a shorter imbalance may be the end of a wave
# What the giving model keeps, relative to its target and to the receiving model.
MIN_DONOR_SUPPLY_RATIO = 1.1
MIN_RELATIVE_SUPPLY = 1.15
LOAD_SLACK_FACTOR = 2.5


def plan_reallocations(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Begin a reallocation if one is needed, and order the loads of those that have begun."""
    groups_by_key = planning_round.planner_input.view.groups_by_key
    reallocations_by_key = planning_round.memory.reallocations_by_key
    for key, reallocation in list(reallocations_by_key.items()):
        group = groups_by_key.get(key)
        is_expired = planning_round.planner_input.at > reallocation.expires_at
        if group is None or not group.serves or is_expired:
            del reallocations_by_key[key]
    _begin_if_needed(planning_round)
    for key, reallocation in reallocations_by_key.items():
        group = groups_by_key[key]
        if all(reallocation.model in member.staged for member in group.members):
            reallocation.is_prepared = True
        else:
            yield from _load(group, reallocation, planning_round)


def _load(
    group: Group, reallocation: Reallocation, planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    schedule, at = planning_round.memory.load_schedule, planning_round.planner_input.at
    order = Stage(reallocation.model)
    for member in group.members:
        is_under_way = schedule.is_loading(member.upstream_id)
        if reallocation.model in member.staged or is_under_way:
            continue
        if planning_round.load_capacity() > 0 and planning_round.may_send(member, "stage"):
            schedule.record_start(member.upstream_id, reallocation.model, at, True)
            reason = f"{reallocation.model} has too few groups"
            yield planning_round.make_order(member, order, reason)


def _begin_if_needed(planning_round: PlanningRound) -> None:
    memory, at = planning_round.memory, planning_round.planner_input.at
    if len(memory.reallocations_by_key) >= MAX_REALLOCATIONS:
        return
    found = _find(planning_round)
    if found is None:
        memory.reallocation_needed_since = None
        return
    if memory.reallocation_needed_since is None:
        memory.reallocation_needed_since = at
    if at - memory.reallocation_needed_since < NEEDED_SECONDS:
        return
    spec, group = found
    expires_at = at + LOAD_SLACK_FACTOR * spec.load_seconds
    memory.reallocations_by_key[group.key] = Reallocation(spec.model, expires_at)


def _find(planning_round: PlanningRound) -> tuple[ModelSpec, Group] | None:
    """Return the model that needs groups most, and the group that is turned into some of it."""
    specs = list(planning_round.planner_input.engine.models_by_id.values())
    expected = _expected_changes(planning_round)
    supply = {spec.model: planning_round.supply_ratio(spec, expected[spec.model]) for spec in specs}
    receiver = min(specs, key=lambda spec: supply[spec.model], default=None)
    if receiver is None:
        return None
    for donor in sorted(specs, key=lambda spec: -supply[spec.model]):
        left = planning_round.supply_ratio(donor, expected[donor.model] - 1)
        keeps_enough = left >= max(
            MIN_DONOR_SUPPLY_RATIO, MIN_RELATIVE_SUPPLY * supply[receiver.model]
        )
        if donor.size >= receiver.size and donor is not receiver and keeps_enough:
            group = _choose_group(donor, receiver, planning_round)
            if group is not None:
                return receiver, group
    return None


def _expected_changes(planning_round: PlanningRound) -> Counter[str]:
    """Return the groups that each model gains or loses by the reallocations that have begun."""
    expected: Counter[str] = Counter()
    groups_by_key = planning_round.planner_input.view.groups_by_key
    engine = planning_round.planner_input.engine
    for key, reallocation in planning_round.memory.reallocations_by_key.items():
        group = groups_by_key.get(key)
        if group is None or group.model is None:
            continue
        expected[group.model] -= 1
        expected[reallocation.model] += (
            len(group.members) // engine.model_spec(reallocation.model).size
        )
    return expected


def _choose_group(
    donor: ModelSpec, receiver: ModelSpec, planning_round: PlanningRound
) -> Group | None:
    """Return a group of the donor in the data centre with the fewest groups of the receiver."""
    planner_input = planning_round.planner_input
    serving = [
        group
        for group in planner_input.view.serving_groups(planner_input.service)
        if not planning_round.is_evacuated(group.members[0])
    ]
    counts = Counter(
        group.members[0].data_centre for group in serving if group.model == receiver.model
    )
    usable = [
        group
        for group in serving
        if group.model == donor.model
        and group.is_complete(donor.size)
        and group.key not in planning_round.memory.reallocations_by_key
        and not any(_is_loading(member, planning_round) for member in group.members)
    ]
    return min(usable, key=lambda group: counts[group.members[0].data_centre], default=None)


def _is_loading(host: Upstream, planning_round: PlanningRound) -> bool:
    return planning_round.memory.load_schedule.is_loading(host.upstream_id)
