"""Allocates one model to each fabric domain, where a data centre has enough domains.

Hosts that lose a member of their group can only form a group again with hosts of the same domain
that have the weights of the same model. A domain with one model has at most one incomplete set of
such hosts.
"""

from collections import defaultdict

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._planning_round import PlanningRound
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import DataCentreId, FabricDomainId, ModelId

HostsByDomain = dict[FabricDomainId, list[Upstream]]


def allocate_models(planning_round: PlanningRound) -> dict[FabricDomainId, ModelId]:
    """Return the model that each domain serves before any other.

    Domains of a data centre with fewer domains than models are left out, so that each data centre
    can serve every model.
    """
    specs = list(planning_round.planner_input.engine.models_by_id.values())
    allocated_groups: dict[ModelId, int] = defaultdict(int)
    model_by_domain: dict[FabricDomainId, ModelId] = {}
    for _, hosts_by_domain in sorted(_domains_by_data_centre(planning_round).items()):
        if len(hosts_by_domain) < len(specs):
            continue
        missing = {spec.model for spec in specs}
        for domain, hosts in sorted(hosts_by_domain.items()):
            spec = _scarcest_model(specs, missing, allocated_groups, planning_round)
            missing.discard(spec.model)
            missing = missing or {spec.model for spec in specs}
            allocated_groups[spec.model] += len(hosts) // spec.size
            model_by_domain[domain] = spec.model
    return model_by_domain


def _domains_by_data_centre(planning_round: PlanningRound) -> dict[DataCentreId, HostsByDomain]:
    found: dict[DataCentreId, HostsByDomain] = defaultdict(lambda: defaultdict(list))
    for host in planning_round.hosts():
        found[host.data_centre][host.fabric_domain].append(host)
    return found


def _scarcest_model(
    specs: list[ModelSpec],
    missing: set[ModelId],
    allocated_groups: dict[ModelId, int],
    planning_round: PlanningRound,
) -> ModelSpec:
    """Return the model with the fewest allocated groups relative to its target number.

    :param missing: models that the data centre has no domain for yet; only these are considered.
    """
    return min(
        (spec for spec in specs if spec.model in missing),
        key=lambda spec: (
            allocated_groups[spec.model] / planning_round.target_group_count(spec),
            -spec.size,
        ),
    )
