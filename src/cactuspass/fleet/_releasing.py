"""Orders hosts to leave groups that do not serve any more, before they join others."""

from collections.abc import Iterator
from itertools import groupby

from cactuspass.fleet._host_states import HostState
from cactuspass.fleet._log_descriptions import describe_release
from cactuspass.fleet._orders import AddressedOrder, Leave
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import SERVING_STATES, GroupKey, Upstream

LEAVE_ANSWER_SECONDS = 0.2
FIRST_REPORTS_SECONDS = 0.7
HEAD_LEAVE_TIMEOUT_SECONDS = 2.0


def release_hosts(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Order unreserved hosts to leave the groups that they are still members of.

    The planner's information on a group's head may be outdated or wrong. Once a host has answered
    that it has left, it is in no group, whatever the head does.
    """
    _hold_domains_without_reports(planning_round)
    for key, members in groupby(
        sorted(_unreserved_members(planning_round), key=_group_order), _group_key
    ):
        if not _has_serving_head(key, planning_round):
            yield from _release(key, dict(members), planning_round)


def _hold_domains_without_reports(planning_round: PlanningRound) -> None:
    """Hold back domains whose hosts have not all reported yet at the start of a term.

    Otherwise new groups would be formed out of a part of such a domain.
    """
    if (
        planning_round.planner_input.at - planning_round.memory.first_plan_at
        >= FIRST_REPORTS_SECONDS
    ):
        return
    for host in planning_round.unreserved_hosts():
        if planning_round.memory.host_states.state_of(host) is None:
            planning_round.releasing_domains.add(host.fabric_domain)


def _unreserved_members(planning_round: PlanningRound) -> Iterator[tuple[Upstream, HostState]]:
    """Yield the unreserved hosts whose last known state is a membership in a group."""
    host_states = planning_round.memory.host_states
    for host in planning_round.unreserved_hosts():
        known = host_states.state_of(host)
        if known is not None and known.membership is not None:
            yield host, known


def _group_key(member: tuple[Upstream, HostState]) -> GroupKey:
    membership = member[1].membership
    assert membership is not None
    return membership.key


def _group_order(member: tuple[Upstream, HostState]) -> tuple[str, int]:
    key = _group_key(member)
    return key.group_id, key.epoch


def _release(
    key: GroupKey, states_by_host: dict[Upstream, HostState], planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    """Order the head to leave, and the other members once it has left or has not left in time.

    The head refuses if it has accepted an order to open in the meantime. If the other members left
    before, the head would be open but unable to run requests without them.
    """
    head = next((host for host, known in states_by_host.items() if _is_head(known)), None)
    waits_for_head = head is not None and not _is_overdue(head, key, planning_round)
    for host in states_by_host:
        _record_release(host, key, planning_round)
        if host is not head and waits_for_head:
            continue
        refused = planning_round.memory.host_states.recently_refused(
            host, planning_round.planner_input.at
        )
        if not refused and planning_round.may_send(host, f"leave {key}"):
            yield planning_round.make_order(host, Leave(key), describe_release(key, planning_round))


def _is_head(known: HostState) -> bool:
    return known.membership is not None and known.membership.rank == 0


def _is_overdue(host: Upstream, key: GroupKey, planning_round: PlanningRound) -> bool:
    """Return whether a host has been due to leave for too long."""
    first_at = planning_round.memory.release_started_at.get(
        (host.upstream_id, key), planning_round.planner_input.at
    )
    return planning_round.planner_input.at - first_at >= HEAD_LEAVE_TIMEOUT_SECONDS


def _record_release(host: Upstream, key: GroupKey, planning_round: PlanningRound) -> None:
    at = planning_round.planner_input.at
    first_at = planning_round.memory.release_started_at.setdefault((host.upstream_id, key), at)
    if at - first_at < LEAVE_ANSWER_SECONDS:
        planning_round.releasing_domains.add(host.fabric_domain)


def _has_serving_head(key: GroupKey, planning_round: PlanningRound) -> bool:
    """Return whether the head of a group serves, even if not all members are registered."""
    group = planning_round.planner_input.view.groups_by_key.get(key)
    if group is None or group.head is None or group.head.membership is None:
        return False
    return group.head.membership.state in SERVING_STATES
