"""Forms new groups, each out of free hosts of one fabric domain."""

from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._model_allocation import allocate_models
from cactuspass.fleet._orders import AddressedOrder, Join
from cactuspass.fleet._planner_memory import Formation
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import GroupKey, Upstream
from cactuspass.models import GroupId, ModelId

SPARES_IN_DOMAIN = 2
OWN_MODEL_SUPPLY_RATIO = 1.5  # above 1, since the demand may differ from the declared shares
HOT_JOIN_SECONDS = 0.2  # for a host that runs the model already
FORMATION_SLACK_SECONDS = 3.0
LOAD_SLACK_FACTOR = 2.5


def maintain_formations(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Repeat unanswered orders to join, and abandon formations that cannot be completed."""
    planner_input = planning_round.planner_input
    for key, formation in list(planning_round.memory.formations_by_key.items()):
        members = [planner_input.view.upstreams_by_id.get(i) for i in formation.member_ids]
        present = [member for member in members if member is not None]
        abandon_reason = _find_abandon_reason(formation, present, planning_round)
        if abandon_reason is not None:
            planning_round.memory.abandon(key, abandon_reason)
            continue
        unreserved = [m for m in present if m.upstream_id not in planning_round.reserved_ids]
        if unreserved:
            planning_round.count_group(formation.model, unreserved)
        planning_round.reserve(tuple(present))
        join = Join(key, formation.model, formation.member_ids)
        for member in present:
            if _has_joined(member, key, planning_round):
                continue
            if planning_round.memory.host_states.recently_refused(
                member, planning_round.planner_input.at
            ):
                continue
            if planning_round.may_send(member, f"join {key}"):
                sequence = formation.sequences_by_id[member.upstream_id]
                reason = "join was not answered"
                yield planning_round.make_order_at_sequence(member, join, reason, sequence)


def _has_joined(member: Upstream, key: GroupKey, planning_round: PlanningRound) -> bool:
    known = planning_round.memory.host_states.state_of(member)
    memberships = (member.membership, known.membership if known is not None else None)
    return any(membership is not None and membership.key == key for membership in memberships)


def _find_abandon_reason(
    formation: Formation, present: list[Upstream], planning_round: PlanningRound
) -> str | None:
    """Return why a formation cannot be completed, or None when it still can."""
    if len(present) < len(formation.members):
        return "a member is not registered"
    if planning_round.planner_input.at > formation.expires_at:
        return "the members were not ready in time"
    for member, before in zip(present, formation.members, strict=True):
        if planning_round.any_unreachable((member,)):
            return f"{member.upstream_id} does not answer"
        if member.draining:
            return f"{member.upstream_id} drains"
        if member.born_ms != before.born_ms:
            return f"{member.upstream_id} was restarted"
        if _accepted_another_order(formation, member, planning_round):
            return f"{member.upstream_id} has accepted another order"
    return None


def _accepted_another_order(
    formation: Formation, member: Upstream, planning_round: PlanningRound
) -> bool:
    """Return whether a member cannot join any more, since its order expects an older sequence."""
    known = planning_round.memory.host_states.state_of(member)
    if known is None or known.sequence <= formation.sequences_by_id[member.upstream_id]:
        return False
    return not _has_joined(member, formation.key, planning_round)


def form_groups(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Form new groups, first of the model with the lowest supply ratio."""
    model_by_domain = (
        allocate_models(planning_round) if planning_round.planner_input.before_traffic else {}
    )
    transfers_by_id = planning_round.memory.transfers_by_id
    for domain, free_hosts in sorted(planning_round.free_hosts_by_domain().items()):
        hosts = [host for host in free_hosts if host.upstream_id not in transfers_by_id]
        own_model = model_by_domain.get(domain)
        while (chosen := _choose_model(hosts, own_model, planning_round)) is not None:
            spec, members = chosen
            to_load = sum(spec.model not in host.staged for host in members)
            if to_load > planning_round.load_capacity():
                return
            hosts = [host for host in hosts if host not in members]
            yield from _begin_formation(spec, members, planning_round)


def _choose_model(
    hosts: list[Upstream], own_model: ModelId | None, planning_round: PlanningRound
) -> tuple[ModelSpec, list[Upstream]] | None:
    """Return the model and the members of the next group in a domain, or None for no group.

    :param hosts: free hosts of the domain.
    :param own_model: model that the domain serves before any other, if it has one.
    """
    specs_by_id = planning_round.planner_input.engine.models_by_id
    specs = list(specs_by_id.values())
    if (
        own_model is not None
        and planning_round.supply_ratio(specs_by_id[own_model]) < OWN_MODEL_SUPPLY_RATIO
    ):
        specs = [specs_by_id[own_model]]
    feasible: list[tuple[float, ModelSpec, list[Upstream]]] = []
    for spec in specs:
        members = _fastest_hosts(spec, hosts, planning_round)
        if members is None:
            continue
        supply_ratio = planning_round.supply_ratio(spec)
        uses_spares = len(hosts) - spec.size < SPARES_IN_DOMAIN
        if planning_round.planner_input.before_traffic and supply_ratio >= 1 and uses_spares:
            continue
        feasible.append((supply_ratio, spec, members))
    if not feasible:
        return None
    _, spec, members = min(feasible, key=lambda found: found[0])
    return spec, members


def _fastest_hosts(
    spec: ModelSpec, hosts: list[Upstream], planning_round: PlanningRound
) -> list[Upstream] | None:
    """Return the hosts that can join a group soonest, or None when too few can.

    Once there is traffic, all of them must have the weights already.
    """

    def join_seconds(host: Upstream) -> float:
        if host.loaded == spec.model:
            return HOT_JOIN_SECONDS
        if spec.model in host.staged:
            return spec.warm_seconds
        return spec.load_seconds

    usable = [
        host
        for host in hosts
        if not planning_round.memory.load_schedule.is_loading(host.upstream_id)
    ]
    chosen = sorted(usable, key=lambda host: (join_seconds(host), host.upstream_id))[: spec.size]
    if len(chosen) < spec.size:
        return None
    to_load = any(spec.model not in host.staged for host in chosen)
    return chosen if planning_round.planner_input.before_traffic or not to_load else None


def _begin_formation(
    spec: ModelSpec, members: list[Upstream], planning_round: PlanningRound
) -> Iterator[AddressedOrder]:
    planner_input = planning_round.planner_input
    epoch = max(planning_round.memory.last_epoch, planner_input.first_epoch) + 1
    planning_round.memory.last_epoch = epoch
    key = GroupKey(GroupId(f"{planner_input.service}-{epoch}"), epoch)
    to_load = [host for host in members if spec.model not in host.staged]
    duration = spec.load_seconds * LOAD_SLACK_FACTOR if to_load else spec.warm_seconds
    states = [
        planning_round.memory.host_states.states_by_id[member.upstream_id] for member in members
    ]
    formation = Formation(
        key,
        spec.model,
        tuple(members),
        planner_input.at + duration + FORMATION_SLACK_SECONDS,
        {m.upstream_id: state.sequence for m, state in zip(members, states, strict=True)},
    )
    planning_round.memory.formations_by_key[key] = formation
    planning_round.reserve(formation.members)
    planning_round.count_group(spec.model, members)
    for host in to_load:
        planning_round.memory.load_schedule.record_start(
            host.upstream_id, spec.model, planner_input.at
        )
    join = Join(key, spec.model, formation.member_ids)
    reason = f"{spec.model} has {planning_round.supply_ratio(spec):.2f} of its target groups"
    for member in members:
        yield planning_round.make_order(member, join, reason)
