"""Forms new groups out of free upstreams of one fabric domain."""

from collections.abc import Iterator

from cactuspass.fleet._allotment import allot_models
from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Join
from cactuspass.fleet._planner_memory import Formation
from cactuspass.fleet._round import Round
from cactuspass.fleet._upstreams import GroupKey, Upstream
from cactuspass.models import GroupId, ModelId

SPARES_IN_DOMAIN = 2
OWN_MODEL_SUPPLY = 1.5  # declared shares are no sure guide to the demand
HOT_JOIN_SECONDS = 0.2
PLAN_SLACK_SECONDS = 3.0
LOAD_SLACK_FACTOR = 2.5


def tend_formations(current: Round) -> Iterator[AddressedOrder]:
    """Repeat joins that were not answered, and give up formations that cannot become whole."""
    situation = current.situation
    for key, formation in list(current.memory.formations_by_key.items()):
        members = [situation.view.upstreams_by_id.get(i) for i in formation.member_ids]
        present = [member for member in members if member is not None]
        fault = _fault(formation, present, current)
        if fault is not None:
            current.memory.give_up(key, fault)
            continue
        fresh = [m for m in present if m.upstream_id not in current.bound]
        if fresh:
            current.count_group(formation.model, fresh)
        current.bind(tuple(present))
        join = Join(key, formation.model, formation.member_ids)
        for member in present:
            if _has_joined(member, key, current):
                continue
            if current.memory.ledger.refused_lately(member, current.situation.at):
                continue
            if current.may_send(member, f"join {key}"):
                sequence = formation.sequences_by_id[member.upstream_id]
                reason = "join was not answered"
                yield current.order_in_state(member, join, reason, sequence)


def _has_joined(member: Upstream, key: GroupKey, current: Round) -> bool:
    known = current.memory.ledger.state(member)
    memberships = (member.membership, known.membership if known is not None else None)
    return any(membership is not None and membership.key == key for membership in memberships)


def _fault(formation: Formation, present: list[Upstream], current: Round) -> str | None:
    """Return why a formation cannot become whole, or None when it may."""
    if len(present) < len(formation.members):
        return "a member is not registered"
    if current.situation.at > formation.expected_by:
        return "it took too long"
    for member, before in zip(present, formation.members, strict=True):
        if current.any_unreachable((member,)):
            return f"{member.upstream_id} does not answer"
        if member.draining:
            return f"{member.upstream_id} drains"
        if member.born_ms != before.born_ms:
            return f"{member.upstream_id} was restarted"
        if _accepted_another_order(formation, member, current):
            return f"{member.upstream_id} has accepted another order"
    return None


def _accepted_another_order(formation: Formation, member: Upstream, current: Round) -> bool:
    """Return whether a member cannot join any more, since its order expects an older state."""
    known = current.memory.ledger.state(member)
    if known is None or known.sequence <= formation.sequences_by_id[member.upstream_id]:
        return False
    return not _has_joined(member, formation.key, current)


def form_groups(current: Round) -> Iterator[AddressedOrder]:
    """Order new groups, of the model that is shortest first."""
    model_by_domain = allot_models(current) if current.situation.lead_in else {}
    for domain, hosts in sorted(current.free_hosts_by_domain().items()):
        own_model = model_by_domain.get(domain)
        while (chosen := _choose_model(hosts, own_model, current)) is not None:
            spec, members = chosen
            to_load = sum(spec.model not in host.staged for host in members)
            if to_load > current.load_room():
                return
            hosts = [host for host in hosts if host not in members]
            yield from _begin_formation(spec, members, current)


def _choose_model(
    hosts: list[Upstream], own_model: ModelId | None, current: Round
) -> tuple[ModelSpec, list[Upstream]] | None:
    """Return the model for the next group of a domain, and its members.

    :param own_model: model that the domain serves before any other.
    """
    specs_by_id = current.situation.engine.models_by_id
    specs = list(specs_by_id.values())
    if own_model is not None and current.supply(specs_by_id[own_model]) < OWN_MODEL_SUPPLY:
        specs = [specs_by_id[own_model]]
    feasible: list[tuple[float, ModelSpec, list[Upstream]]] = []
    for spec in specs:
        members = _best_hosts(spec, hosts, current)
        if members is None:
            continue
        supply = current.supply(spec)
        spares_only = len(hosts) - spec.size < SPARES_IN_DOMAIN
        if current.situation.lead_in and supply >= 1 and spares_only:
            continue
        feasible.append((supply, spec, members))
    if not feasible:
        return None
    _, spec, members = min(feasible, key=lambda found: found[0])
    return spec, members


def _best_hosts(spec: ModelSpec, hosts: list[Upstream], current: Round) -> list[Upstream] | None:
    """Return the hosts that can form a group soonest, or None when too few can."""

    def seconds(host: Upstream) -> float:
        if host.loaded == spec.model:
            return HOT_JOIN_SECONDS
        if spec.model in host.staged:
            return spec.warm_seconds
        return spec.load_seconds

    usable = [host for host in hosts if not current.memory.schedule.is_loading(host.upstream_id)]
    chosen = sorted(usable, key=lambda host: (seconds(host), host.upstream_id))[: spec.size]
    if len(chosen) < spec.size:
        return None
    to_load = any(spec.model not in host.staged for host in chosen)
    return chosen if current.situation.lead_in or not to_load else None


def _begin_formation(
    spec: ModelSpec, members: list[Upstream], current: Round
) -> Iterator[AddressedOrder]:
    situation = current.situation
    epoch = max(current.memory.last_epoch, situation.first_epoch) + 1
    current.memory.last_epoch = epoch
    key = GroupKey(GroupId(f"{situation.service}-{epoch}"), epoch)
    to_load = [host for host in members if spec.model not in host.staged]
    duration = spec.load_seconds * LOAD_SLACK_FACTOR if to_load else spec.warm_seconds
    states = [current.memory.ledger.states_by_id[member.upstream_id] for member in members]
    formation = Formation(
        key,
        spec.model,
        tuple(members),
        situation.at + duration + PLAN_SLACK_SECONDS,
        {m.upstream_id: state.sequence for m, state in zip(members, states, strict=True)},
    )
    current.memory.formations_by_key[key] = formation
    current.bind(formation.members)
    current.count_group(spec.model, members)
    for host in to_load:
        current.memory.schedule.start(host.upstream_id, spec.model, situation.at)
    join = Join(key, spec.model, formation.member_ids)
    reason = f"{spec.model} has {current.supply(spec):.2f} of the wanted groups"
    for member in members:
        yield current.order(member, join, reason)
