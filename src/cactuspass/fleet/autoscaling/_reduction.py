"""Finds by how much the number of upstreams of one data centre may fall in one step."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from cactuspass.fleet.autoscaling._capacity import groups_with_weights, serving_while_leaving
from cactuspass.fleet.autoscaling._group_counts import GroupCounts
from cactuspass.fleet.autoscaling._scaling_input import DataCentreHosts, ScalingInput
from cactuspass.models import DataCentreId, ModelId

# The upstreams that leave are members of nearly all groups of the data centre in any case, so few
# large steps break groups less often than many small ones.
MAX_STEP_GROUPS = 2
MIN_SERVING_SHARE = 0.85  # of the groups needed at the peak, while others form again
SPARES_IN_DOMAIN = 1


@dataclass(frozen=True, slots=True)
class Reduction:
    """Upstreams that a data centre can do without."""

    data_centre: DataCentreId
    removed: int


def find_reduction(
    scaling_input: ScalingInput,
    available: list[DataCentreHosts],
    counts: Mapping[DataCentreId, int],
    target: GroupCounts,
    needed: GroupCounts,
) -> Reduction | None:
    """Return the largest step that leaves enough, in the data centre with the most upstreams.

    :param counts: ordered upstreams of each data centre.
    :param target: groups that can still be formed afterwards, from any hosts.
    :param needed: groups that can still be formed afterwards without loading weights.
    """
    in_order = sorted(available, key=lambda hosts: (-counts[hosts.data_centre], hosts.data_centre))
    for step in _steps(scaling_input):
        for hosts in in_order:
            left = counts[hosts.data_centre] - step
            if left < scaling_input.limits.min_count:
                continue
            after = {**counts, hosts.data_centre: left}
            if not target.fit(available, after, SPARES_IN_DOMAIN):
                continue
            if _stays_served(hosts, step, scaling_input, available, needed):
                return Reduction(hosts.data_centre, step)
    return None


def _steps(scaling_input: ScalingInput) -> list[int]:
    """Return the sizes of steps, the largest first."""
    sizes = sorted({need.spec.size for need in scaling_input.needs}, reverse=True)
    return [MAX_STEP_GROUPS * sizes[0], *sizes] if sizes else []


def _stays_served(
    hosts: DataCentreHosts,
    step: int,
    scaling_input: ScalingInput,
    available: list[DataCentreHosts],
    needed: GroupCounts,
) -> bool:
    """Return whether enough groups serve while upstreams leave, and with the weights afterwards."""
    meanwhile: Counter[ModelId] = Counter()
    afterwards: Counter[ModelId] = Counter()
    for other in available:
        removed = step if other is hosts else 0
        meanwhile.update(serving_while_leaving(other, scaling_input.engine, removed))
        afterwards.update(groups_with_weights(other, scaling_input.engine, removed))
    return needed.are_within(meanwhile, MIN_SERVING_SHARE) and needed.are_within(afterwards)
