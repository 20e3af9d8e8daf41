"""Describes free hosts and released groups for the log."""

from collections import Counter

from cactuspass.fleet._orders import UpstreamReport
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import GroupKey, Upstream


def describe_free_hosts(planning_round: PlanningRound) -> str:
    """Return the number of free hosts in each fabric domain, by the model that they have.

    :return: for example ``d1: alpha x3, loading beta x1; d2: empty x2``.
    """
    return "; ".join(
        f"{domain}: {_count_by_state(hosts, planning_round)}"
        for domain, hosts in sorted(planning_round.free_hosts_by_domain().items())
    )


def _count_by_state(hosts: list[Upstream], planning_round: PlanningRound) -> str:
    counts = Counter(_state(host, planning_round) for host in hosts)
    return ", ".join(f"{state} x{count}" for state, count in sorted(counts.items()))


def _state(host: Upstream, planning_round: PlanningRound) -> str:
    schedule = planning_round.memory.load_schedule
    if schedule.is_loading(host.upstream_id):
        return f"loading {schedule.model_of(host.upstream_id) or 'an unknown model'}"
    return host.staged[-1] if host.staged else "empty"


def describe_release(key: GroupKey, planning_round: PlanningRound) -> str:
    """Return a text on the head of a group that its members are ordered to leave."""
    group = planning_round.planner_input.view.groups_by_key.get(key)
    registered_head = group.head if group is not None else None
    head = registered_head or planning_round.memory.history.heads_by_key.get(key)
    if head is None:
        return "head never seen"
    registered = planning_round.planner_input.view.upstreams_by_id.get(head.upstream_id)
    report = planning_round.planner_input.reports_by_id.get(head.upstream_id)
    closed = planning_round.memory.close_outcomes_by_key.get(key)
    return (
        f"head {head.upstream_id}: registry {_membership_text(registered)},"
        f" report {_membership_text(report)},"
        f" order to close {closed.value if closed is not None else 'not sent'}"
    )


def _membership_text(source: Upstream | UpstreamReport | None) -> str:
    if source is None:
        return "missing"
    if source.membership is None:
        return "no group"
    return f"{source.membership.key.group_id} {source.membership.state.value}"
