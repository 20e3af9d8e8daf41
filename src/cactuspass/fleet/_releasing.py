"""Lets hosts leave groups that serve no more, before they join others."""

from collections.abc import Iterator
from itertools import groupby

from cactuspass.fleet._host_states import HostState
from cactuspass.fleet._inventory import describe_release
from cactuspass.fleet._orders import AddressedOrder, Leave
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import SERVING_STATES, GroupKey, Upstream

ANSWER_SECONDS = 0.2
FIRST_REPORTS_SECONDS = 0.7
HEAD_ANSWER_SECONDS = 2.0


def release_hosts(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Tell hosts that no group keeps to leave the groups that they are still members of.

    What is known of a group's head may be old or wrong. Once a host has answered that it left, it
    is in no group, whatever its head does.
    """
    _await_first_reports(planning_round)
    for key, members in groupby(sorted(_members(planning_round), key=_group_order), _key):
        if not _serves(key, planning_round):
            yield from _release(key, dict(members), planning_round)


def _await_first_reports(planning_round: PlanningRound) -> None:
    """Keep domains from being used in part while the reports of a new term come in."""
    if planning_round.planner_input.at - planning_round.memory.began_at >= FIRST_REPORTS_SECONDS:
        return
    for host in planning_round.unbound_hosts():
        if planning_round.memory.host_states.state_of(host) is None:
            planning_round.releasing.add(host.fabric_domain)


def _members(planning_round: PlanningRound) -> Iterator[tuple[Upstream, HostState]]:
    """Yield the hosts that no group keeps, though they know themselves to be in one."""
    host_states = planning_round.memory.host_states
    for host in planning_round.unbound_hosts():
        known = host_states.state_of(host)
        if known is not None and known.membership is not None:
            yield host, known


def _key(member: tuple[Upstream, HostState]) -> GroupKey:
    membership = member[1].membership
    assert membership is not None
    return membership.key


def _group_order(member: tuple[Upstream, HostState]) -> tuple[str, int]:
    key = _key(member)
    return key.group_id, key.epoch


def _release(
    key: GroupKey, states_by_host: dict[Upstream, HostState], planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    """Tell the head to leave, and the other members once it has.

    The head refuses if it has accepted an order to open, and would stand still alone.
    """
    head = next((host for host, known in states_by_host.items() if _is_head(known)), None)
    waits_for_head = head is not None and not _is_overdue(head, key, planning_round)
    for host in states_by_host:
        _note_release(host, key, planning_round)
        if host is not head and waits_for_head:
            continue
        refused = planning_round.memory.host_states.refused_lately(
            host, planning_round.planner_input.at
        )
        if not refused and planning_round.may_send(host, f"leave {key}"):
            yield planning_round.order(host, Leave(key), describe_release(key, planning_round))


def _is_head(known: HostState) -> bool:
    return known.membership is not None and known.membership.rank == 0


def _is_overdue(host: Upstream, key: GroupKey, planning_round: PlanningRound) -> bool:
    """Return whether a host was told to leave, and has not answered for long."""
    first_at = planning_round.memory.released_at.get(
        (host.upstream_id, key), planning_round.planner_input.at
    )
    return planning_round.planner_input.at - first_at >= HEAD_ANSWER_SECONDS


def _note_release(host: Upstream, key: GroupKey, planning_round: PlanningRound) -> None:
    at = planning_round.planner_input.at
    first_at = planning_round.memory.released_at.setdefault((host.upstream_id, key), at)
    if at - first_at < ANSWER_SECONDS:
        planning_round.releasing.add(host.fabric_domain)


def _serves(key: GroupKey, planning_round: PlanningRound) -> bool:
    """Return whether the head of a group is seen to serve, though not all members are seen."""
    group = planning_round.planner_input.view.groups_by_key.get(key)
    if group is None or group.head is None or group.head.membership is None:
        return False
    return group.head.membership.state in SERVING_STATES
