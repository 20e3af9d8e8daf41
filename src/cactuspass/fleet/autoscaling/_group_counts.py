"""Numbers of groups of each model that the demand needs."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import chain
from math import ceil

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet.autoscaling._capacity import can_form, rooms
from cactuspass.fleet.autoscaling._scaling_input import DataCentreHosts, ModelNeed
from cactuspass.models import DataCentreId, ModelId

MIN_GROUPS = 2
ROUNDING_TOLERANCE = 0.25  # of a group; less is not worth the price of a whole group
# A lost group of a model with few groups is a large share of them, but costs as much as the margin.
MAX_MARGIN_SHARE = 0.5
GROWTH_MARGIN_SHARE = 1 / 3  # of the margin for lost groups; half of it lets noise add groups


@dataclass(frozen=True, slots=True)
class GroupCounts:
    """Numbers of groups by model."""

    counts: tuple[tuple[ModelSpec, int], ...]

    @classmethod
    def at_peak(cls, needs: Iterable[ModelNeed], factor: float = 1.0) -> "GroupCounts":
        """Return the groups that the peak of the last wave fills.

        :param factor: how much higher the peak may be.
        """
        return cls(tuple((need.spec, _round_up(need.peak * factor)) for need in needs))

    @classmethod
    def to_keep(cls, needs: Iterable[ModelNeed], losses: int, factor: float = 1.0) -> "GroupCounts":
        """Return the groups to have, with a margin for lost ones.

        :param losses: groups of each model that may be lost.
        """
        return cls(
            tuple((n.spec, _with_margin(max(n.peak * factor, n.forecast), losses)) for n in needs)
        )

    @classmethod
    def to_grow(cls, needs: Iterable[ModelNeed], losses: int) -> "GroupCounts":
        """Return the groups below which upstreams are added."""
        share = GROWTH_MARGIN_SHARE
        return cls(tuple((n.spec, _with_margin(n.forecast, losses, share)) for n in needs))

    def plus_one_of_each(self) -> "GroupCounts":
        """Return one more group of each model."""
        return replace(self, counts=tuple((spec, count + 1) for spec, count in self.counts))

    def fit(
        self,
        data_centres: Iterable[DataCentreHosts],
        counts_by_data_centre: Mapping[DataCentreId, int],
        spares: int = 0,
    ) -> bool:
        """Return whether so many upstreams can form these groups.

        :param spares: upstreams of each fabric domain that stay without a group.
        """
        all_rooms = chain.from_iterable(
            rooms(hosts, counts_by_data_centre[hosts.data_centre], spares) for hosts in data_centres
        )
        return can_form(all_rooms, self.counts)

    def are_served_by(self, data_centres: Iterable[DataCentreHosts]) -> bool:
        """Return whether as many groups serve."""
        serving: Counter[ModelId] = Counter()
        for hosts in data_centres:
            serving.update(hosts.serving_by_model)
        return self.are_within(serving)

    def are_within(self, found: Mapping[ModelId, float], share: float = 1.0) -> bool:
        """Return whether there are as many groups, or a share of them."""
        return all(found.get(spec.model, 0) >= count * share for spec, count in self.counts)

    def __str__(self) -> str:
        return ", ".join(f"{count} groups of {spec.model}" for spec, count in self.counts)


def _round_up(groups: float) -> int:
    return max(MIN_GROUPS, ceil(groups - ROUNDING_TOLERANCE))


def _with_margin(groups: float, losses: int, share: float = 1.0) -> int:
    return _round_up(groups + share * min(losses, MAX_MARGIN_SHARE * groups))
