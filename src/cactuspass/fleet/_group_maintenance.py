"""Opens groups that are ready, and closes those that have lost a member."""

from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Close, Open, OrderOutcome
from cactuspass.fleet._planner_memory import Formation, Headless
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import SERVING_STATES, Group, MemberState, Upstream

UNREACHED_HEAD_SECONDS = 0.3
UNSEEN_HEAD_SECONDS = 2.5
SILENT_HEAD_SECONDS = 3.0
REGISTER_SECONDS = 2.2  # entries that lapsed are back about 2 s after the registry's return
SURE_OUTCOMES = frozenset({OrderOutcome.CONFLICT, OrderOutcome.OUTDATED})


def maintain_groups(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Tend the groups that upstreams report, and bind the members that are not free."""
    for group in _remember_groups(planning_round):
        yield from _maintain_group(group, planning_round)


def _remember_groups(planning_round: PlanningRound) -> list[Group]:
    """Return the service's groups, and remember who was in them."""
    planner_input, memory = planning_round.planner_input, planning_round.memory
    groups = planner_input.view.groups_of(planner_input.service)
    memory.history.observe(groups, planner_input.at)
    for group in groups:
        if group.head is not None:
            memory.headless_by_key.pop(group.key, None)
    memory.forget({group.key for group in groups}, planner_input.at)
    return groups


def _maintain_group(group: Group, planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    head = group.head
    if head is None or head.membership is None:
        yield from _maintain_headless(group, planning_round)
    elif head.membership.state in SERVING_STATES:
        yield from _maintain_serving(group, head, planning_round)
    elif head.membership.state is not MemberState.BROKEN:
        yield from _maintain_forming(group, head, planning_round)


def _maintain_serving(
    group: Group, head: Upstream, planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    assert head.membership is not None
    planning_round.bind(group.members)
    model = group.model
    spec = (
        planning_round.planner_input.engine.models_by_id.get(model) if model is not None else None
    )
    if model is None or spec is None:
        return
    planning_round.memory.formations_by_key.pop(group.key, None)
    reason, cut = _fault(group, spec, planning_round)
    if reason is None:
        planning_round.count_group(model, group.members)
    elif head.membership.state is MemberState.OPEN and not planning_round.any_unreachable((head,)):
        order = Close(group.key, cut)
        if planning_round.may_send(head, f"close {group.key}"):
            yield planning_round.order_to_close(head, order, reason)


def _fault(group: Group, spec: ModelSpec, planning_round: PlanningRound) -> tuple[str | None, bool]:
    """Return why a serving group must close, and whether what runs there is lost anyway."""
    history = planning_round.memory.history
    known = history.members_by_key[group.key]
    present = {member.upstream_id for member in group.members}
    for member in known:
        if member.upstream_id in planning_round.planner_input.unreachable_ids:
            return f"member {member.upstream_id} does not answer", True
        if member.upstream_id not in present and not _hidden(member, planning_round):
            return f"member {member.upstream_id} has left", True
    seen_for = planning_round.planner_input.at - history.first_seen_at[group.key]
    if len(known) < spec.size and seen_for >= REGISTER_SECONDS:
        return "members are missing", True
    draining = next((m for m in group.members if m.draining), None)
    if draining is not None:
        return f"member {draining.upstream_id} drains", False
    slow = next(filter(planning_round.is_slow, group.members), None)
    if slow is not None:
        return f"member {slow.upstream_id} is slow", False
    return None, False


def _hidden(member: Upstream, planning_round: PlanningRound) -> bool:
    """Return whether a member may only have lost its registry entry, and live on."""
    planner_input = planning_round.planner_input
    registered = member.upstream_id in planner_input.view.upstreams_by_id
    return not registered and member.upstream_id not in planner_input.unreachable_ids


def _maintain_forming(
    group: Group, head: Upstream, planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    """Open a group that this leader forms; members of others leave it once they are ready.

    What else was ordered there, and may still be carried out, is not known.
    """
    planner_input = planning_round.planner_input
    formation = planning_round.memory.formations_by_key.get(group.key)
    model = formation.model if formation is not None else group.model
    spec = planner_input.engine.models_by_id.get(model) if model is not None else None
    if spec is None or model is None:
        return
    sound = not planning_round.any_unreachable(group.members) and not any(
        map(planning_round.is_slow, group.members)
    )
    if not sound or not group.is_complete(spec.size):
        return
    if formation is None and group.all_ready():
        return
    planning_round.bind(group.members)
    planning_round.count_group(model, group.members)
    if formation is not None and _may_open(group, head, formation, planning_round):
        yield planning_round.order(head, Open(group.key), "all members ready")


def _may_open(
    group: Group, head: Upstream, formation: Formation, planning_round: PlanningRound
) -> bool:
    """Return whether the members are ready that this leader has told to join, and no others."""
    member_ids = tuple(member.upstream_id for member in group.members)
    return (
        formation.member_ids == member_ids
        and group.all_ready()
        and planning_round.memory.host_states.state_of(head) is not None
        and planning_round.may_send(head, f"open {group.key}")
    )


def _maintain_headless(group: Group, planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Tell a head whose entry has gone to close, and keep its members for as long as it may return.

    How long decides only what is lost if it does return: members that left are in no group.
    """
    memory, at = planning_round.memory, planning_round.planner_input.at
    if group.key in memory.formations_by_key:
        return
    head = memory.history.heads_by_key.get(group.key)
    headless = memory.headless_by_key.setdefault(group.key, Headless(head, at))
    if not _is_worth_leaving(group, headless, planning_round):
        planning_round.bind(group.members)
        if head is not None and planning_round.may_send(head, f"close {group.key}"):
            yield planning_round.order_to_close(head, Close(group.key, True), "head not registered")


def _is_worth_leaving(group: Group, headless: Headless, planning_round: PlanningRound) -> bool:
    """Return whether members had better leave a head that has no registry entry."""
    waited = planning_round.planner_input.at - headless.since
    if headless.head is None:
        return waited >= UNSEEN_HEAD_SECONDS
    if headless.head.upstream_id in planning_round.planner_input.view.upstreams_by_id:
        return True  # It is registered, and no longer in this group.
    outcome = planning_round.memory.close_outcomes_by_key.get(group.key)
    if outcome is None:
        return False
    if outcome in SURE_OUTCOMES:
        return True
    if outcome is OrderOutcome.NOT_REACHED:
        return waited >= UNREACHED_HEAD_SECONDS
    report = planning_round.planner_input.reports_by_id.get(headless.head.upstream_id)
    if report is None:
        return waited >= SILENT_HEAD_SECONDS
    membership = report.membership
    if membership is None or membership.key != group.key:
        return True
    return membership.state not in SERVING_STATES
