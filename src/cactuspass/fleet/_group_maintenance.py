"""Opens groups that are ready, and closes those that have lost a member."""

from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Close, Open, OrderOutcome
from cactuspass.fleet._planner_memory import Formation, MissingHead
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import SERVING_STATES, Group, MemberState, Upstream

UNREACHABLE_HEAD_WAIT_SECONDS = 0.3
UNKNOWN_HEAD_WAIT_SECONDS = 2.5
UNRESPONSIVE_HEAD_WAIT_SECONDS = 3.0
REREGISTER_SECONDS = 2.2  # lapsed entries are back about 2 s after the registry is reachable again
# Outcomes of an order to close that show that the host does not serve as head of the group.
NOT_SERVING_OUTCOMES = frozenset({OrderOutcome.CONFLICT, OrderOutcome.OUTDATED})


def maintain_groups(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Open and close the groups that upstreams report, and reserve the members that stay."""
    for group in _record_groups(planning_round):
        yield from _maintain_group(group, planning_round)


def _record_groups(planning_round: PlanningRound) -> list[Group]:
    """Return the service's groups, and record their members in the history."""
    planner_input, memory = planning_round.planner_input, planning_round.memory
    groups = planner_input.view.groups_of(planner_input.service)
    memory.history.observe(groups, planner_input.at)
    for group in groups:
        if group.head is not None:
            memory.missing_heads_by_key.pop(group.key, None)
    memory.prune({group.key for group in groups}, planner_input.at)
    return groups


def _maintain_group(group: Group, planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    head = group.head
    if head is None or head.membership is None:
        yield from _maintain_without_head(group, planning_round)
    elif head.membership.state in SERVING_STATES:
        yield from _maintain_serving(group, head, planning_round)
    elif head.membership.state is not MemberState.BROKEN:
        yield from _maintain_forming(group, head, planning_round)


def _maintain_serving(
    group: Group, head: Upstream, planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    assert head.membership is not None
    planning_round.reserve(group.members)
    model = group.model
    spec = (
        planning_round.planner_input.engine.models_by_id.get(model) if model is not None else None
    )
    if model is None or spec is None:
        return
    planning_round.memory.formations_by_key.pop(group.key, None)
    reason, cut = _find_close_reason(group, spec, planning_round)
    if reason is None:
        planning_round.count_group(model, group.members)
    elif head.membership.state is MemberState.OPEN and not planning_round.any_unreachable((head,)):
        order = Close(group.key, cut)
        if planning_round.may_send(head, f"close {group.key}"):
            yield planning_round.make_close_order(head, order, reason)


def _find_close_reason(
    group: Group, spec: ModelSpec, planning_round: PlanningRound
) -> tuple[str | None, bool]:
    """Return why a serving group must close, and whether its running requests are lost anyway.

    :return: the reason, or None when the group can go on, and whether to abort running requests.
    """
    history = planning_round.memory.history
    known_members = history.members_by_key[group.key]
    present_ids = {member.upstream_id for member in group.members}
    for member in known_members:
        if member.upstream_id in planning_round.planner_input.unreachable_ids:
            return f"member {member.upstream_id} does not answer", True
        if member.upstream_id not in present_ids and not _may_still_run(member, planning_round):
            return f"member {member.upstream_id} has left", True
    seen_for = planning_round.planner_input.at - history.first_seen_at_by_key[group.key]
    if len(known_members) < spec.size and seen_for >= REREGISTER_SECONDS:
        return "members are missing", True
    draining = next((m for m in group.members if m.draining), None)
    if draining is not None:
        return f"member {draining.upstream_id} drains", False
    slow = next(filter(planning_round.is_slow, group.members), None)
    if slow is not None and planning_round.try_close_slow(group.key, spec.model):
        return f"member {slow.upstream_id} is slow", False
    for transfer in planning_round.memory.transfers_by_id.values():
        if transfer.source == group.key:
            return f"{transfer.model} needs its hosts", False
    reallocation = planning_round.memory.reallocations_by_key.get(group.key)
    if reallocation is not None and reallocation.is_prepared:
        return f"its hosts are to serve {reallocation.model}", False
    return None, False


def _may_still_run(member: Upstream, planning_round: PlanningRound) -> bool:
    """Return whether a member is not registered, but may still be running."""
    planner_input = planning_round.planner_input
    registered = member.upstream_id in planner_input.view.upstreams_by_id
    return not registered and member.upstream_id not in planner_input.unreachable_ids


def _maintain_forming(
    group: Group, head: Upstream, planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    """Open a group that this leader has formed.

    A group that another leader has formed is not reserved once all members are ready, so that they
    leave it. Which other orders that leader has sent, and may still be carried out, is not known.
    """
    planner_input = planning_round.planner_input
    formation = planning_round.memory.formations_by_key.get(group.key)
    model = formation.model if formation is not None else group.model
    spec = planner_input.engine.models_by_id.get(model) if model is not None else None
    if spec is None or model is None:
        return
    healthy = not planning_round.any_unreachable(group.members) and not any(
        map(planning_round.is_slow, group.members)
    )
    if not healthy or not group.is_complete(spec.size):
        return
    if formation is None and group.all_ready():
        return
    planning_round.reserve(group.members)
    planning_round.count_group(model, group.members)
    if formation is not None and _may_open(group, head, formation, planning_round):
        yield planning_round.make_order(head, Open(group.key), "all members ready")


def _may_open(
    group: Group, head: Upstream, formation: Formation, planning_round: PlanningRound
) -> bool:
    """Return whether exactly the members that this leader has ordered to join are ready."""
    member_ids = tuple(member.upstream_id for member in group.members)
    return (
        formation.member_ids == member_ids
        and group.all_ready()
        and planning_round.memory.host_states.state_of(head) is not None
        and planning_round.may_send(head, f"open {group.key}")
    )


def _maintain_without_head(group: Group, planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Order a head that is not registered to close, and reserve its members while it may return.

    The length of the wait affects only what is lost when the head returns later: members that have
    left are then in no group.
    """
    memory, at = planning_round.memory, planning_round.planner_input.at
    if group.key in memory.formations_by_key:
        return
    head = memory.history.heads_by_key.get(group.key)
    missing_head = memory.missing_heads_by_key.setdefault(group.key, MissingHead(head, at))
    if not _should_members_leave(group, missing_head, planning_round):
        planning_round.reserve(group.members)
        if head is not None and planning_round.may_send(head, f"close {group.key}"):
            yield planning_round.make_close_order(
                head, Close(group.key, True), "head not registered"
            )


def _should_members_leave(
    group: Group, missing_head: MissingHead, planning_round: PlanningRound
) -> bool:
    """Return whether members should leave a group whose head is not registered."""
    waited = planning_round.planner_input.at - missing_head.missing_since
    if missing_head.head is None:
        return waited >= UNKNOWN_HEAD_WAIT_SECONDS
    if missing_head.head.upstream_id in planning_round.planner_input.view.upstreams_by_id:
        return True  # The head is registered, but no longer in this group.
    outcome = planning_round.memory.close_outcomes_by_key.get(group.key)
    if outcome is None:
        return False
    if outcome in NOT_SERVING_OUTCOMES:
        return True
    if outcome is OrderOutcome.NOT_REACHED:
        return waited >= UNREACHABLE_HEAD_WAIT_SECONDS
    report = planning_round.planner_input.reports_by_id.get(missing_head.head.upstream_id)
    if report is None:
        return waited >= UNRESPONSIVE_HEAD_WAIT_SECONDS
    membership = report.membership
    if membership is None or membership.key != group.key:
        return True
    return membership.state not in SERVING_STATES
