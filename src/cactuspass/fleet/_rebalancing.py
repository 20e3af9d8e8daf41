"""Closes a group of a model that has enough of them, where its hosts complete one of another model.

When a large group loses a member and its fabric domain has no spare host, its other members serve
nobody until enough hosts there have the weights of its model.
"""

from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._planner_memory import HostTransfer
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import Group, Upstream
from cactuspass.models import FabricDomainId

MAX_SUPPLY_RATIO = 0.5  # a model with more groups than that waits for hosts that become free
MIN_DONOR_SUPPLY_RATIO = 1.0  # what the other model keeps
MIN_PREPARED_SHARE = 0.5  # of the members that a group needs
NEEDED_SECONDS = 1.5  # hosts that are just being released may still complete a group
TRANSFER_SECONDS = 40.0


def plan_transfers(planning_round: PlanningRound) -> None:
    """Choose groups to close and the hosts that load another model after that, one at a time."""
    memory, at = planning_round.memory, planning_round.planner_input.at
    _drop_ended_transfers(planning_round)
    found = None if memory.transfers_by_id else _find_transfer(planning_round)
    if found is None:
        memory.transfer_needed_since = None
        return
    if memory.transfer_needed_since is None:
        memory.transfer_needed_since = at
    if at - memory.transfer_needed_since < NEEDED_SECONDS:
        return
    spec, group, missing = found
    for member in group.members[-missing:]:
        memory.transfers_by_id[member.upstream_id] = HostTransfer(
            group.key, spec.model, at + TRANSFER_SECONDS
        )
    memory.transfer_needed_since = None


def _drop_ended_transfers(planning_round: PlanningRound) -> None:
    memory, planner_input = planning_round.memory, planning_round.planner_input
    for upstream_id, transfer in list(memory.transfers_by_id.items()):
        host = planner_input.view.upstreams_by_id.get(upstream_id)
        is_done = host is None or transfer.model in host.staged
        if is_done or planner_input.at > transfer.expires_at:
            del memory.transfers_by_id[upstream_id]


def _find_transfer(planning_round: PlanningRound) -> tuple[ModelSpec, Group, int] | None:
    """Return a model with too few groups, the group that gives up hosts, and their number."""
    specs = planning_round.planner_input.engine.models_by_id.values()
    short = [spec for spec in specs if planning_round.supply_ratio(spec) <= MAX_SUPPLY_RATIO]
    for spec in sorted(short, key=planning_round.supply_ratio):
        for domain, missing in _incomplete_sets(spec, planning_round):
            donors = [g for g in _donors(spec, domain, planning_round) if len(g.members) >= missing]
            if donors:
                return spec, min(donors, key=lambda group: len(group.members)), missing
    return None


def _incomplete_sets(
    spec: ModelSpec, planning_round: PlanningRound
) -> Iterator[tuple[FabricDomainId, int]]:
    """Yield domains where too few free hosts can serve a model, and how many are missing."""
    for domain, hosts in sorted(planning_round.free_hosts_by_domain().items()):
        prepared = [host for host in hosts if _is_prepared(host, spec, planning_round)]
        missing = spec.size - len(prepared)
        others = len(hosts) - len(prepared)
        if others < missing <= spec.size * (1 - MIN_PREPARED_SHARE):
            yield domain, missing


def _is_prepared(host: Upstream, spec: ModelSpec, planning_round: PlanningRound) -> bool:
    schedule = planning_round.memory.load_schedule
    if schedule.is_loading(host.upstream_id):
        return schedule.model_of(host.upstream_id) == spec.model
    return spec.model in host.staged


def _donors(
    spec: ModelSpec, domain: FabricDomainId, planning_round: PlanningRound
) -> Iterator[Group]:
    """Yield the serving groups of a domain whose model has enough groups without them."""
    planner_input = planning_round.planner_input
    for group in planner_input.view.serving_groups(planner_input.service):
        other = planner_input.engine.models_by_id.get(group.model) if group.model else None
        if other is None or other is spec or group.members[0].fabric_domain != domain:
            continue
        left = planning_round.group_counts_by_model[other.model] - 1
        if left >= MIN_DONOR_SUPPLY_RATIO * planning_round.target_group_count(other):
            yield group
