"""Loads weights onto free upstreams, for the groups that they will be needed in."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Stage
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import FabricDomainId, ModelId

URGENT_SHARE = 2.0
SHARE_BESIDE_URGENT = 0.5


@dataclass(frozen=True, slots=True)
class _Load:
    """A load that would help a domain.

    :param completes: whether a group can be formed as soon as it has ended.
    """

    host: Upstream
    spec: ModelSpec
    completes: bool
    supply: float
    reason: str


def stage_hosts(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Load weights onto free hosts; first those that complete a group which may get requests."""
    loads: list[_Load] = []
    for domain, hosts in sorted(planning_round.free_hosts_by_domain().items()):
        for_empty = list(_loads_for_empty(domain, hosts, planning_round))
        loads += for_empty
        loads += _loads_for_stranded(hosts, for_empty, planning_round)
    loads.sort(
        key=lambda load: (planning_round.is_evacuated(load.host), not load.completes, load.supply)
    )
    schedule, at = planning_round.memory.schedule, planning_round.planner_input.at
    for load in filter(lambda load: _may_begin(load.host, planning_round), loads):
        share = URGENT_SHARE if load.completes else 1.0
        if not load.completes and schedule.any_urgent:
            share = SHARE_BESIDE_URGENT
        if planning_round.load_capacity(share) > 0:
            schedule.record_start(load.host.upstream_id, load.spec.model, at, load.completes)
            yield planning_round.order(load.host, Stage(load.spec.model), load.reason)


def _may_begin(host: Upstream, planning_round: PlanningRound) -> bool:
    """Return whether a host is known to load nothing.

    A controller before may have ordered a load, which only the host's report shows.
    """
    planner_input = planning_round.planner_input
    return planner_input.before_traffic or host.upstream_id in planner_input.reachable_ids


def _loads_for_empty(
    domain: FabricDomainId, hosts: list[Upstream], planning_round: PlanningRound
) -> Iterator[_Load]:
    """Yield a load for each free host without weights."""
    prepared = _count_prepared(hosts, planning_round)
    serving = _bound_hosts(domain, planning_round)
    for host in hosts:
        if host.staged or planning_round.memory.schedule.is_loading(host.upstream_id):
            continue
        spec = _model_to_stage(serving, prepared, planning_round)
        prepared[spec.model] += 1
        completes = prepared[spec.model] % spec.size == 0
        yield _Load(host, spec, completes, planning_round.supply(spec), "host has no weights")


def _loads_for_stranded(
    hosts: list[Upstream], planned: list[_Load], planning_round: PlanningRound
) -> Iterator[_Load]:
    """Yield loads of a model that is short, for hosts that cannot form a group as they are.

    :param planned: loads that will begin for other hosts of the domain.
    """
    specs = sorted(
        planning_round.planner_input.engine.models_by_id.values(),
        key=lambda spec: planning_round.supply(spec),
    )
    by_model = _prepared_hosts(hosts, planning_round)
    for load in planned:
        by_model[load.spec.model].append(load.host)
    busy = {load.host.upstream_id for load in planned}
    for spec in specs:
        supply = planning_round.supply(spec)
        if supply >= 1:
            return
        missing = spec.size - len(by_model[spec.model]) % spec.size
        stranded = [
            host
            for other in specs
            if other is not spec
            for host in by_model[other.model][: len(by_model[other.model]) % other.size]
            if not planning_round.memory.schedule.is_loading(host.upstream_id)
            and host.upstream_id not in busy
        ]
        if len(stranded) >= missing:
            for host in stranded[:missing]:
                yield _Load(host, spec, missing == 1, supply, f"{spec.model} is short")
            return


def _count_prepared(hosts: list[Upstream], planning_round: PlanningRound) -> Counter[ModelId]:
    prepared = _prepared_hosts(hosts, planning_round)
    return Counter({model: len(found) for model, found in prepared.items()})


def _prepared_hosts(
    hosts: list[Upstream], planning_round: PlanningRound
) -> dict[ModelId, list[Upstream]]:
    """Return free hosts by the model that they carry or are loading."""
    by_model: dict[ModelId, list[Upstream]] = defaultdict(list)
    for host in hosts:
        schedule = planning_round.memory.schedule
        if schedule.is_loading(host.upstream_id):
            model = schedule.model_of(host.upstream_id) or _common_model(
                host.fabric_domain, planning_round
            )
        else:
            model = host.staged[-1] if host.staged else None
        if model is not None:
            by_model[model].append(host)
    return by_model


def _common_model(domain: FabricDomainId, planning_round: PlanningRound) -> ModelId | None:
    """Return the model that most hosts of a domain carry."""
    carried = Counter(
        host.staged[-1]
        for host in planning_round.hosts()
        if host.fabric_domain == domain and host.staged
    )
    return next((model for model, _ in carried.most_common(1)), None)


def _model_to_stage(
    serving: Counter[ModelId], prepared: Counter[ModelId], planning_round: PlanningRound
) -> ModelSpec:
    """Return the model that a free host of a domain should carry.

    A host that completes a group comes first, then one that replaces a lost member.

    :param serving: members of the domain's groups for each model.
    :param prepared: free hosts that carry or load each model.
    """

    def rank(spec: ModelSpec) -> tuple[float, float]:
        count = prepared[spec.model]
        missing = -count % spec.size
        if count and missing == 1:
            return (-1.0, planning_round.supply(spec))
        return (0.0, (count + 0.5) / (serving[spec.model] + 0.5))

    return min(planning_round.planner_input.engine.models_by_id.values(), key=rank)


def _bound_hosts(domain: FabricDomainId, planning_round: PlanningRound) -> Counter[ModelId]:
    """Return how many members of groups a domain has for each model."""
    model_by_id = {
        member.upstream_id: formation.model
        for formation in planning_round.memory.formations_by_key.values()
        for member in formation.members
    }
    models = (
        model_by_id.get(host.upstream_id, host.loaded)
        for host in planning_round.hosts()
        if host.fabric_domain == domain and host.upstream_id in planning_round.bound
    )
    return Counter(model for model in models if model is not None)
