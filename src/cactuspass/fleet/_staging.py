"""Loads weights onto free upstreams, for the groups that they will be needed in."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import AddressedOrder, Stage
from cactuspass.fleet._round import Round
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import FabricDomainId, ModelId


def stage_hosts(current: Round) -> Iterator[AddressedOrder]:
    """Load weights onto free hosts that carry none."""
    situation = current.situation
    for domain, hosts in sorted(current.free_hosts_by_domain().items()):
        for host in hosts:
            empty = not host.staged and current.memory.schedule.loads(host.upstream_id) is None
            if not empty or current.load_room() <= 0:
                continue
            spec = _model_to_stage(domain, hosts, current)
            current.memory.schedule.start(host.upstream_id, spec.model, situation.at)
            yield current.order(host, Stage(spec.model), "host has no weights")
        yield from _convert(hosts, current)


def _convert(hosts: list[Upstream], current: Round) -> Iterator[AddressedOrder]:
    """Load a model that is short of groups onto hosts that cannot form a group as they are."""
    situation = current.situation
    specs = sorted(situation.engine.models_by_id.values(), key=lambda spec: current.supply(spec))
    by_model = _prepared_hosts(hosts, current)
    for spec in specs:
        if current.supply(spec) >= 1:
            return
        missing = spec.size - len(by_model[spec.model]) % spec.size
        stranded = [
            host
            for other in specs
            if other is not spec
            for host in by_model[other.model][: len(by_model[other.model]) % other.size]
            if current.memory.schedule.loads(host.upstream_id) is None
        ]
        if len(stranded) < missing or current.load_room() < missing:
            continue
        for host in stranded[:missing]:
            current.memory.schedule.start(host.upstream_id, spec.model, situation.at)
            yield current.order(host, Stage(spec.model), f"{spec.model} is short")
        return


def _prepared_hosts(hosts: list[Upstream], current: Round) -> dict[ModelId, list[Upstream]]:
    """Return free hosts by the model that they carry or are loading."""
    by_model: dict[ModelId, list[Upstream]] = defaultdict(list)
    for host in hosts:
        model = current.memory.schedule.loads(host.upstream_id)
        if model is None and host.staged:
            model = host.staged[-1]
        if model is not None:
            by_model[model].append(host)
    return by_model


def _model_to_stage(domain: FabricDomainId, hosts: list[Upstream], current: Round) -> ModelSpec:
    """Return the model that a free host of a domain should carry.

    A host that completes a group comes first, then one that replaces a lost member.
    """
    specs = list(current.situation.engine.models_by_id.values())
    prepared = {model: len(found) for model, found in _prepared_hosts(hosts, current).items()}
    serving = _bound_hosts(domain, current)

    def rank(spec: ModelSpec) -> tuple[float, float]:
        count = prepared.get(spec.model, 0)
        missing = -count % spec.size
        if count and missing == 1:
            return (-1.0, current.supply(spec))
        return (0.0, (count + 0.5) / (serving[spec.model] + 0.5))

    return min(specs, key=rank)


def _bound_hosts(domain: FabricDomainId, current: Round) -> Counter[ModelId]:
    """Return how many members of groups a domain has for each model."""
    model_by_id = {
        member.upstream_id: formation.model
        for formation in current.memory.formations_by_key.values()
        for member in formation.members
    }
    models = (
        model_by_id.get(host.upstream_id, host.loaded)
        for host in current.hosts()
        if host.fabric_domain == domain and host.upstream_id in current.bound
    )
    return Counter(model for model in models if model is not None)
