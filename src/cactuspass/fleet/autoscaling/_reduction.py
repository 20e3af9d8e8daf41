"""Finds by how much the number of upstreams of one data centre may fall in one step."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from cactuspass.fleet.autoscaling._capacity import groups_with_weights, serving_while_leaving
from cactuspass.fleet.autoscaling._group_counts import GroupCounts
from cactuspass.fleet.autoscaling._scaling_input import DataCentreHosts, ScalingInput
from cactuspass.models import DataCentreId, ModelId

# Of the largest groups, where the step to an even number in all data centres is too large.
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

    The upstreams that leave are members of nearly all groups of the data centre in any case, so one
    large step breaks groups less often than many small ones.

    :param counts: ordered upstreams of each data centre.
    :param target: groups that can still be formed afterwards, from any hosts.
    :param needed: groups that can still be formed afterwards without loading weights.
    """
    in_order = sorted(available, key=lambda hosts: (-counts[hosts.data_centre], hosts.data_centre))
    if not in_order:
        return None
    even_count = _even_count(scaling_input, available, counts, target)
    excess = counts[in_order[0].data_centre] - even_count
    for step in _steps(scaling_input, excess):
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


def _even_count(
    scaling_input: ScalingInput,
    available: list[DataCentreHosts],
    counts: Mapping[DataCentreId, int],
    target: GroupCounts,
) -> int:
    """Return the number that is enough if no data centre has more upstreams."""
    most = max(counts[hosts.data_centre] for hosts in available)
    return next(
        (
            even
            for even in range(scaling_input.limits.min_count, most)
            if target.fit(
                available, {d: min(count, even) for d, count in counts.items()}, SPARES_IN_DOMAIN
            )
        ),
        most,
    )


def _steps(scaling_input: ScalingInput, excess: int) -> list[int]:
    """Return the sizes of steps, the largest first.

    :param excess: upstreams above the even number.
    """
    sizes = sorted({need.spec.size for need in scaling_input.needs}, reverse=True)
    if not sizes:
        return []
    usual = [MAX_STEP_GROUPS * sizes[0], *sizes]
    return [excess, *usual] if excess > usual[0] else usual


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
