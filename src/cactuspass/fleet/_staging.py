"""Orders free hosts to load the weights of models, for the groups that they could form."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._forming import SPARES_IN_DOMAIN
from cactuspass.fleet._orders import AddressedOrder, Stage
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import FabricDomainId, ModelId

# Factors on the number of loads that run together without slowing each other.
URGENT_LOAD_SHARE = 2.0
SHARE_DURING_URGENT_LOAD = 0.5
# A set waits for the hosts that it lacks if they are at most this part of those it would give up.
KEPT_SET_FACTOR = 4
KEPT_SET_SECONDS = 12.0
KEPT_SET_GAP_SECONDS = 2.0  # after a longer time the set counts as a new one
# Below this supply ratio, a model takes the spare hosts of larger groups too.
MIN_SUPPLY_RATIO_WITHOUT_SPARES = 0.8


@dataclass(frozen=True, slots=True)
class _PlannedLoad:
    """A load that a domain could use.

    :param completes: whether a group can be formed as soon as the load has ended.
    :param supply_ratio: supply ratio of the model when the load was planned.
    """

    host: Upstream
    spec: ModelSpec
    completes: bool
    supply_ratio: float
    reason: str


def stage_hosts(planning_round: PlanningRound) -> Iterator[AddressedOrder]:
    """Load weights onto free hosts, first where that completes a group.

    Loads in evacuated data centres come last.
    """
    loads: list[_PlannedLoad] = []
    transfers_by_id = planning_round.memory.transfers_by_id
    hosts_by_domain = planning_round.free_hosts_by_domain()
    expected_counts = _count_complete_sets(hosts_by_domain.values(), planning_round)
    for domain, free_hosts in sorted(hosts_by_domain.items()):
        hosts = [host for host in free_hosts if host.upstream_id not in transfers_by_id]
        loads += _loads_for_transfers(free_hosts, planning_round)
        loads_for_empty = list(_loads_for_empty(domain, hosts, planning_round))
        loads += loads_for_empty
        loads += _loads_for_incomplete_sets(hosts, loads_for_empty, expected_counts, planning_round)
    loads.sort(
        key=lambda load: (
            planning_round.is_evacuated(load.host),
            not load.completes,
            load.supply_ratio,
        )
    )
    schedule, at = planning_round.memory.load_schedule, planning_round.planner_input.at
    for load in filter(lambda load: _may_load(load.host, planning_round), loads):
        share = URGENT_LOAD_SHARE if load.completes else 1.0
        if not load.completes and schedule.any_urgent:
            share = SHARE_DURING_URGENT_LOAD
        if planning_round.load_capacity(share) > 0:
            schedule.record_start(load.host.upstream_id, load.spec.model, at, load.completes)
            yield planning_round.make_order(load.host, Stage(load.spec.model), load.reason)


def _may_load(host: Upstream, planning_round: PlanningRound) -> bool:
    """Return whether the reports of a host can show that it is loading nothing.

    An earlier controller may have ordered a load, which only the host's report shows.
    """
    planner_input = planning_round.planner_input
    return planner_input.before_traffic or host.upstream_id in planner_input.reachable_ids


def _loads_for_transfers(
    hosts: list[Upstream], planning_round: PlanningRound
) -> Iterator[_PlannedLoad]:
    """Yield the loads of hosts that have left their group to serve another model."""
    memory = planning_round.memory
    for host in hosts:
        transfer = memory.transfers_by_id.get(host.upstream_id)
        if transfer is None or memory.load_schedule.is_loading(host.upstream_id):
            continue
        spec = planning_round.planner_input.engine.models_by_id[transfer.model]
        supply_ratio = planning_round.supply_ratio(spec)
        yield _PlannedLoad(host, spec, True, supply_ratio, f"{spec.model} needs one more host")


def _loads_for_empty(
    domain: FabricDomainId, hosts: list[Upstream], planning_round: PlanningRound
) -> Iterator[_PlannedLoad]:
    """Yield a load for each free host without weights."""
    prepared_counts = _count_prepared(hosts, planning_round)
    member_counts = _count_reserved_hosts(domain, planning_round)
    empty_hosts = [
        host
        for host in hosts
        if not host.staged and not planning_round.memory.load_schedule.is_loading(host.upstream_id)
    ]
    for index, host in enumerate(empty_hosts):
        left = len(empty_hosts) - index
        spec = _choose_model_to_stage(member_counts, prepared_counts, left, planning_round)
        prepared_counts[spec.model] += 1
        completes = prepared_counts[spec.model] % spec.size == 0
        yield _PlannedLoad(
            host, spec, completes, planning_round.supply_ratio(spec), "host has no weights"
        )


def _count_complete_sets(
    host_lists: Iterable[list[Upstream]], planning_round: PlanningRound
) -> Counter[ModelId]:
    """Return how many groups the free hosts can form once their loads have ended, by model.

    :param host_lists: free hosts of each domain.
    """
    specs_by_id = planning_round.planner_input.engine.models_by_id
    counts: Counter[ModelId] = Counter()
    for hosts in host_lists:
        for model, prepared in _prepared_hosts_by_model(hosts, planning_round).items():
            if model in specs_by_id:
                counts[model] += len(prepared) // specs_by_id[model].size
    return counts


def _loads_for_incomplete_sets(
    hosts: list[Upstream],
    planned: list[_PlannedLoad],
    expected_counts: Counter[ModelId],
    planning_round: PlanningRound,
) -> Iterator[_PlannedLoad]:
    """Yield loads that turn hosts of incomplete sets into a group of a model that needs one.

    An incomplete set is what remains of the free hosts with one model when complete groups are
    taken out of them.

    :param planned: loads that are planned for other hosts of the domain.
    :param expected_counts: groups that can be formed once loads have ended; the group that is
        planned here is added, so that not all domains load for the same lack.
    """

    def supply_ratio(spec: ModelSpec) -> float:
        return planning_round.supply_ratio(spec, expected_counts[spec.model])

    specs = sorted(planning_round.planner_input.engine.models_by_id.values(), key=supply_ratio)
    hosts_by_model = _prepared_hosts_by_model(hosts, planning_round)
    for load in planned:
        hosts_by_model[load.spec.model].append(load.host)
    planned_ids = {load.host.upstream_id for load in planned}
    reserved_counts: Mapping[ModelId, int] = {}
    if hosts and planning_round.planner_input.knows_demand:
        reserved_counts = _count_reserved_hosts(hosts[0].fabric_domain, planning_round)
    for spec in specs:
        if supply_ratio(spec) >= 1:
            return
        missing = spec.size - len(hosts_by_model[spec.model]) % spec.size
        leftover_hosts = [
            host
            for other in specs
            if other is not spec
            and not _should_keep_set(other, hosts_by_model[other.model], missing, planning_round)
            for host in _incomplete_set(other, hosts_by_model[other.model])[
                _spare_count(other, spec, reserved_counts, planning_round) :
            ]
            if not planning_round.memory.load_schedule.is_loading(host.upstream_id)
            and host.upstream_id not in planned_ids
        ]
        if len(leftover_hosts) >= missing:
            ratio, reason = supply_ratio(spec), f"{spec.model} has too few groups"
            for host in leftover_hosts[:missing]:
                yield _PlannedLoad(host, spec, missing == 1, ratio, reason)
            expected_counts[spec.model] += 1
            return


def _incomplete_set(spec: ModelSpec, hosts: list[Upstream]) -> list[Upstream]:
    """Return the hosts that are left when complete groups are taken out of those of a model."""
    return hosts[: len(hosts) % spec.size]


def _spare_count(
    spec: ModelSpec,
    wanting: ModelSpec,
    reserved_counts: Mapping[ModelId, int],
    planning_round: PlanningRound,
) -> int:
    """Return how many free hosts of a domain stay spares for the groups of a model there.

    Without a spare, the loss of one member leaves all other members of a large group idle until a
    host has loaded the weights, which costs more than a smaller group of the spares would add.

    :param wanting: model that could use the hosts.
    :param reserved_counts: number of hosts in groups of the domain, by model.
    """
    if not planning_round.planner_input.knows_demand or wanting.size >= spec.size:
        return 0
    if planning_round.supply_ratio(wanting) < MIN_SUPPLY_RATIO_WITHOUT_SPARES:
        return 0
    return SPARES_IN_DOMAIN if reserved_counts.get(spec.model, 0) else 0


def _should_keep_set(
    spec: ModelSpec, hosts: list[Upstream], missing_elsewhere: int, planning_round: PlanningRound
) -> bool:
    """Return whether an incomplete set should wait for the few hosts that it lacks.

    :param hosts: hosts of one domain with the weights of the model.
    :param missing_elsewhere: number of hosts that another set would take.
    """
    missing = -len(hosts) % spec.size
    if not missing or missing * KEPT_SET_FACTOR > missing_elsewhere:
        return False
    if planning_round.supply_ratio(spec) >= 1:
        return False
    at, key = planning_round.planner_input.at, (hosts[0].fabric_domain, spec.model)
    first_at, last_at = planning_round.memory.kept_sets.get(key, (at, at))
    if at - last_at > KEPT_SET_GAP_SECONDS:
        first_at = at
    planning_round.memory.kept_sets[key] = (first_at, at)
    return at - first_at < KEPT_SET_SECONDS


def _count_prepared(hosts: list[Upstream], planning_round: PlanningRound) -> Counter[ModelId]:
    prepared_counts = _prepared_hosts_by_model(hosts, planning_round)
    return Counter({model: len(found) for model, found in prepared_counts.items()})


def _prepared_hosts_by_model(
    hosts: list[Upstream], planning_round: PlanningRound
) -> dict[ModelId, list[Upstream]]:
    """Return free hosts by the model whose weights they have or are loading."""
    hosts_by_model: dict[ModelId, list[Upstream]] = defaultdict(list)
    for host in hosts:
        schedule = planning_round.memory.load_schedule
        if schedule.is_loading(host.upstream_id):
            model = schedule.model_of(host.upstream_id) or _most_common_model(
                host.fabric_domain, planning_round
            )
        else:
            model = host.staged[-1] if host.staged else None
        if model is not None:
            hosts_by_model[model].append(host)
    return hosts_by_model


def _most_common_model(domain: FabricDomainId, planning_round: PlanningRound) -> ModelId | None:
    """Return the model whose weights most hosts of a domain have."""
    host_counts = Counter(
        host.staged[-1] for host in planning_round.hosts_of(domain) if host.staged
    )
    return next((model for model, _ in host_counts.most_common(1)), None)


def _choose_model_to_stage(
    member_counts: Counter[ModelId],
    prepared_counts: Counter[ModelId],
    empty_count: int,
    planning_round: PlanningRound,
) -> ModelSpec:
    """Return the model whose weights a free host of a domain should load.

    A model that lacks only one host for a group comes first, and then one with too few groups whose
    set lacks no more hosts than are empty. Otherwise, it is the model with the fewest prepared
    hosts relative to its members, so that a lost member can be replaced.

    :param member_counts: number of members of the domain's groups for each model.
    :param prepared_counts: number of free hosts that have or are loading each model's weights.
    :param empty_count: number of free hosts of the domain without weights.
    """

    def rank(spec: ModelSpec) -> tuple[float, float]:
        count = prepared_counts[spec.model]
        missing = -count % spec.size
        supply_ratio = planning_round.supply_ratio(spec)
        if count and missing == 1:
            return (-2.0, supply_ratio)
        if count and 0 < missing <= empty_count and supply_ratio < 1:
            return (-1.0, supply_ratio)
        return (0.0, (count + 0.5) / (member_counts[spec.model] + 0.5))

    return min(planning_round.planner_input.engine.models_by_id.values(), key=rank)


def _count_reserved_hosts(
    domain: FabricDomainId, planning_round: PlanningRound
) -> Counter[ModelId]:
    """Return the number of hosts of a domain that are reserved for groups of each model."""
    model_by_id = {
        member.upstream_id: formation.model
        for formation in planning_round.memory.formations_by_key.values()
        for member in formation.members
    }
    models = (
        model_by_id.get(host.upstream_id, host.loaded)
        for host in planning_round.hosts_of(domain)
        if host.upstream_id in planning_round.reserved_ids
    )
    return Counter(model for model in models if model is not None)
