"""How many groups can be formed from a number of upstreams, each within one fabric domain."""

from collections import Counter
from collections.abc import Iterable, Mapping

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet.autoscaling._scaling_input import DataCentreHosts
from cactuspass.models import ModelId


def rooms(hosts: DataCentreHosts, count: int, spares: int = 0) -> list[int]:
    """Return the upstreams of each fabric domain that can be members, if there were so many.

    Which upstreams leave is the platform's choice; each domain is taken to lose its share.

    :param count: upstreams in the data centre.
    :param spares: upstreams of each domain that are left over.
    """
    present = sorted(sum(counts.values()) for counts in hosts.counts_by_domain.values()) or [0]
    total = sum(present)
    if count < total:
        present = [room * count // total for room in present]
    for _ in range(count - total):
        present[present.index(min(present))] += 1
    return [max(0, room - spares) for room in present]


def can_form(all_rooms: Iterable[int], counts: Iterable[tuple[ModelSpec, int]]) -> bool:
    """Return whether so many groups of each model can be formed.

    :param all_rooms: upstreams of each fabric domain.
    """
    left = list(all_rooms)
    for spec, count in sorted(counts, key=lambda wanted: -wanted[0].size):
        for _ in range(count):
            largest = max(left, default=0)
            if largest < spec.size:
                return False
            left[left.index(largest)] -= spec.size
    return True


def groups_with_weights(
    hosts: DataCentreHosts, engine: EngineSpec, removed: int
) -> Counter[ModelId]:
    """Return the groups that can be formed without loading weights after upstreams have left."""
    total = hosts.count
    left = max(0, total - removed)
    found: Counter[ModelId] = Counter()
    for counts in hosts.counts_by_domain.values():
        for model, count in counts.items():
            if model is not None:
                found[model] += count * left // total // engine.model_spec(model).size
    return found


def serving_while_leaving(
    hosts: DataCentreHosts, engine: EngineSpec, removed: int
) -> Mapping[ModelId, float]:
    """Return how many groups are expected to serve on while any ``removed`` upstreams leave.

    A group closes when one of its members leaves.
    """
    total = hosts.count
    return {
        model: count * _share_without_loss(total, engine.model_spec(model).size, removed)
        for model, count in hosts.serving_by_model.items()
    }


def _share_without_loss(total: int, size: int, removed: int) -> float:
    """Return the probability that none of the upstreams that leave is a member of a group."""
    if total <= size:
        return 0.0
    return (1 - size / total) ** removed
