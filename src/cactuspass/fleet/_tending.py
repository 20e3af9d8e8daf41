"""Opens groups that are ready, and closes those that have lost a member."""

from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Close, Open, OrderOutcome
from cactuspass.fleet._planner_memory import Formation, Headless
from cactuspass.fleet._round import Round
from cactuspass.fleet._upstreams import SERVING_STATES, Group, MemberState, Upstream

UNREACHED_HEAD_SECONDS = 0.3
UNSEEN_HEAD_SECONDS = 2.5
SILENT_HEAD_SECONDS = 3.0
REGISTER_SECONDS = 2.2  # entries that lapsed are back about 2 s after the registry's return
SURE_OUTCOMES = frozenset({OrderOutcome.CONFLICT, OrderOutcome.OUTDATED})


def tend_groups(current: Round) -> Iterator[AddressedOrder]:
    """Tend the groups that upstreams report, and bind the members that are not free."""
    for group in _remember_groups(current):
        yield from _tend_group(group, current)


def _remember_groups(current: Round) -> list[Group]:
    """Return the service's groups, and remember who was in them."""
    situation, memory = current.situation, current.memory
    groups = situation.view.groups_of(situation.service)
    memory.history.observe(groups, situation.at)
    for group in groups:
        if group.head is not None:
            memory.headless_by_key.pop(group.key, None)
    memory.forget({group.key for group in groups}, situation.at)
    return groups


def _tend_group(group: Group, current: Round) -> Iterator[AddressedOrder]:
    head = group.head
    if head is None or head.membership is None:
        yield from _tend_headless(group, current)
    elif head.membership.state in SERVING_STATES:
        yield from _tend_serving(group, head, current)
    elif head.membership.state is not MemberState.BROKEN:
        yield from _tend_forming(group, head, current)


def _tend_serving(group: Group, head: Upstream, current: Round) -> Iterator[AddressedOrder]:
    assert head.membership is not None
    current.bind(group.members)
    model = group.model
    spec = current.situation.engine.models_by_id.get(model) if model is not None else None
    if model is None or spec is None:
        return
    current.memory.formations_by_key.pop(group.key, None)
    reason, cut = _fault(group, spec, current)
    if reason is None:
        current.count_group(model, group.members)
    elif head.membership.state is MemberState.OPEN and not current.any_unreachable((head,)):
        order = Close(group.key, cut)
        if current.may_send(head, f"close {group.key}"):
            yield current.order_to_close(head, order, reason)


def _fault(group: Group, spec: ModelSpec, current: Round) -> tuple[str | None, bool]:
    """Return why a serving group must close, and whether what runs there is lost anyway."""
    history = current.memory.history
    known = history.members_by_key[group.key]
    present = {member.upstream_id for member in group.members}
    for member in known:
        if member.upstream_id in current.situation.unreachable:
            return f"member {member.upstream_id} does not answer", True
        if member.upstream_id not in present and not _hidden(member, current):
            return f"member {member.upstream_id} has left", True
    seen_for = current.situation.at - history.first_seen_at[group.key]
    if len(known) < spec.size and seen_for >= REGISTER_SECONDS:
        return "members are missing", True
    draining = next((m for m in group.members if m.draining), None)
    if draining is not None:
        return f"member {draining.upstream_id} drains", False
    slow = next(filter(current.is_slow, group.members), None)
    if slow is not None:
        return f"member {slow.upstream_id} is slow", False
    return None, False


def _hidden(member: Upstream, current: Round) -> bool:
    """Return whether a member may only have lost its registry entry, and live on."""
    situation = current.situation
    registered = member.upstream_id in situation.view.upstreams_by_id
    return not registered and member.upstream_id not in situation.unreachable


def _tend_forming(group: Group, head: Upstream, current: Round) -> Iterator[AddressedOrder]:
    """Open a group that this leader forms; members of others leave it once they are ready.

    What else was ordered there, and may still be carried out, is not known.
    """
    situation = current.situation
    formation = current.memory.formations_by_key.get(group.key)
    model = formation.model if formation is not None else group.model
    spec = situation.engine.models_by_id.get(model) if model is not None else None
    if spec is None or model is None:
        return
    sound = not current.any_unreachable(group.members) and not any(
        map(current.is_slow, group.members)
    )
    if not sound or not group.is_complete(spec.size):
        return
    if formation is None and group.all_ready():
        return
    current.bind(group.members)
    current.count_group(model, group.members)
    if formation is not None and _may_open(group, head, formation, current):
        yield current.order(head, Open(group.key), "all members ready")


def _may_open(group: Group, head: Upstream, formation: Formation, current: Round) -> bool:
    """Return whether the members are ready that this leader has told to join, and no others."""
    member_ids = tuple(member.upstream_id for member in group.members)
    return (
        formation.member_ids == member_ids
        and group.all_ready()
        and current.memory.ledger.state(head) is not None
        and current.may_send(head, f"open {group.key}")
    )


def _tend_headless(group: Group, current: Round) -> Iterator[AddressedOrder]:
    """Tell a head whose entry has gone to close, and keep its members for as long as it may return.

    How long decides only what is lost if it does return: members that left are in no group.
    """
    memory, at = current.memory, current.situation.at
    if group.key in memory.formations_by_key:
        return
    head = memory.history.heads_by_key.get(group.key)
    headless = memory.headless_by_key.setdefault(group.key, Headless(head, at))
    if not _is_worth_leaving(group, headless, current):
        current.bind(group.members)
        if head is not None and current.may_send(head, f"close {group.key}"):
            yield current.order_to_close(head, Close(group.key, True), "head not registered")


def _is_worth_leaving(group: Group, headless: Headless, current: Round) -> bool:
    """Return whether members had better leave a head that has no registry entry."""
    waited = current.situation.at - headless.since
    if headless.head is None:
        return waited >= UNSEEN_HEAD_SECONDS
    if headless.head.upstream_id in current.situation.view.upstreams_by_id:
        return True  # It is registered, and no longer in this group.
    outcome = current.memory.close_outcomes_by_key.get(group.key)
    if outcome is None:
        return False
    if outcome in SURE_OUTCOMES:
        return True
    if outcome is OrderOutcome.NOT_REACHED:
        return waited >= UNREACHED_HEAD_SECONDS
    report = current.situation.reports_by_id.get(headless.head.upstream_id)
    if report is None:
        return waited >= SILENT_HEAD_SECONDS
    membership = report.membership
    if membership is None or membership.key != group.key:
        return True
    return membership.state not in SERVING_STATES
