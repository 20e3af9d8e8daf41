"""Decides the number of upstreams of one service in each data centre."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cactuspass.fleet._offered_load import WAVE_SECONDS
from cactuspass.fleet.autoscaling._group_counts import GroupCounts
from cactuspass.fleet.autoscaling._reduction import SPARES_IN_DOMAIN, find_reduction
from cactuspass.fleet.autoscaling._scaling_input import DataCentreHosts, ScalingInput
from cactuspass.models import DataCentreId

MIN_KNOWN_SECONDS = 3.0
# The rest of the first wave may be higher: with a swing of a fifth, a peak is 1.5 times a trough.
MAX_PEAK_FACTOR = 1.5
# A partition or an evacuation that ends sooner is over before an additional upstream would serve.
LOST_SECONDS = 5.0
STABLE_SECONDS = 3.0  # without a further upstream in a data centre
LOST_SHARE = 0.5  # of the upstreams that were registered before
# Time in which the platform replaces lost upstreams, in addition to the time that they boot.
REPLACEMENT_SECONDS = 10.0
SHORTAGE_SECONDS = 20.0  # longer than weights take to load
SETTLED_SECONDS = 0.5
# A group that closes lets its requests end before its hosts join another one.
MAX_CHANGING_SECONDS = 3.0
# Longer than additional upstreams usually take to boot and to load weights; what they cost until
# then is spent already.
KEPT_AFTER_GROWTH_SECONDS = 30.0
KEPT_AFTER_RETURN_SECONDS = 15.0  # a data centre that was out may be out again
LIMITS_REASON = "the limits have changed"


@dataclass(frozen=True, slots=True)
class CountChange:
    """A number of upstreams to order for a data centre.

    :param before: the number that was ordered before; None for the first order.
    :param covers_loss: whether the demand could be served after the loss of any one data centre.
    """

    data_centre: DataCentreId
    count: int
    before: int | None
    reason: str
    covers_loss: bool


@dataclass(frozen=True, slots=True)
class ScalingDecision:
    """The numbers to order now, and why there are no others.

    :param held_for: why the numbers were not changed further.
    """

    changes: tuple[CountChange, ...] = ()
    held_for: str = ""


class CountDecider:
    """Decides the number of upstreams of one service in each data centre.

    It keeps what was ordered, and when the upstreams and their groups last changed. A new leader
    begins with the numbers that are registered.
    """

    def __init__(self) -> None:
        self.wanted_by_data_centre: dict[DataCentreId, int] = {}
        self._ordered_by_data_centre: dict[DataCentreId, int] = {}
        self._seen_by_data_centre: dict[DataCentreId, int] = {}
        self._count_by_data_centre: dict[DataCentreId, int] = {}
        self._risen_at: dict[DataCentreId, float] = {}
        self._unknown_since: dict[DataCentreId, float] = {}
        self._out_since: dict[DataCentreId, float] = {}
        self._last_out_at = float("-inf")
        self._short_since: dict[DataCentreId, float] = {}
        self._groups_short_since: float | None = None
        self._grew_at = float("-inf")
        self._reduced: DataCentreId | None = None
        self._settled_since: float | None = None
        self._unsettled_since: float | None = None

    def decide(self, scaling_input: ScalingInput) -> ScalingDecision:
        """Return the numbers to order now."""
        if not scaling_input.is_view_fresh:
            self._settled_since = None
            return ScalingDecision(held_for="the registry is not read")
        if not self._ordered_by_data_centre:
            self.wanted_by_data_centre.clear()
        adopted = self._adopt(scaling_input)
        scaling_input = self._with_empty(scaling_input)
        self._observe(scaling_input)
        if scaling_input.known_seconds < MIN_KNOWN_SECONDS:
            return ScalingDecision(held_for="the demand is not known yet")
        if not self.wanted_by_data_centre:
            return ScalingDecision(held_for="upstreams are registering")
        available = self._available(scaling_input)
        reason = self._grow(scaling_input, available)
        held_for = "upstreams were added" if reason else ""
        if adopted and not reason:
            reason = held_for = "the registered number is kept"
        held_for = held_for or self._find_hold(scaling_input, available)
        if not held_for:
            reason, held_for = self._shrink(scaling_input, available)
        return ScalingDecision(self._changes(scaling_input, available, reason), held_for)

    def _changes(
        self, scaling_input: ScalingInput, available: list[DataCentreHosts], reason: str
    ) -> tuple[CountChange, ...]:
        """Return the numbers that differ from those that were ordered, and take them as ordered."""
        before = self._ordered_by_data_centre
        self._ordered_by_data_centre = dict(self.wanted_by_data_centre)
        covers_loss = self._covers_loss(scaling_input, available)
        return tuple(
            CountChange(
                data_centre, count, before.get(data_centre), reason or LIMITS_REASON, covers_loss
            )
            for data_centre, count in self.wanted_by_data_centre.items()
            if before.get(data_centre) != count
        )

    def _adopt(self, scaling_input: ScalingInput) -> bool:
        """Take the registered numbers as wanted, where none is; return whether there were any.

        Fewer than the limit are not all that the platform holds, and neither are those of a data
        centre whose upstreams are registering.
        """
        limits, at = scaling_input.limits, scaling_input.at
        adopted: dict[DataCentreId, int] = {}
        registered = {hosts.data_centre for hosts in scaling_input.data_centres}
        for data_centre in self._unknown_since.keys() - registered:
            del self._unknown_since[data_centre]
        for hosts in scaling_input.data_centres:
            data_centre, count = hosts.data_centre, hosts.count
            if count > self._seen_by_data_centre.get(data_centre, 0):
                self._seen_by_data_centre[data_centre] = count
                self._risen_at[data_centre] = at
            is_new = data_centre not in self.wanted_by_data_centre
            is_stable = at - self._risen_at.get(data_centre, at) >= STABLE_SECONDS
            _note_since(self._unknown_since, data_centre, is_new, at)
            if is_new and is_stable and count >= limits.min_count:
                adopted[data_centre] = count
        self.wanted_by_data_centre = {
            data_centre: max(limits.min_count, min(limits.max_count, count))
            for data_centre, count in (self.wanted_by_data_centre | adopted).items()
        }
        for data_centre in adopted:
            del self._unknown_since[data_centre]
        return bool(adopted)

    def _with_empty(self, scaling_input: ScalingInput) -> ScalingInput:
        """Add the data centres without any upstream, for which a number was ordered."""
        known = {hosts.data_centre for hosts in scaling_input.data_centres}
        empty = (DataCentreHosts(name) for name in self.wanted_by_data_centre if name not in known)
        return replace(scaling_input, data_centres=(*scaling_input.data_centres, *empty))

    def _observe(self, scaling_input: ScalingInput) -> None:
        """Note since when data centres are out or lack upstreams, and the last step is over."""
        at = scaling_input.at
        for hosts in scaling_input.data_centres:
            data_centre = hosts.data_centre
            seen = self._seen_by_data_centre.get(data_centre, 0)
            wanted = self.wanted_by_data_centre.get(data_centre, seen)
            self._seen_by_data_centre[data_centre] = min(wanted, seen)
            is_lost = hosts.count < LOST_SHARE * min(wanted, seen)
            _note_since(self._out_since, data_centre, hosts.is_evacuated or is_lost, at)
            if hosts.count > self._count_by_data_centre.get(data_centre, 0):
                self._short_since.pop(data_centre, None)  # the platform replaces lost ones
            self._count_by_data_centre[data_centre] = hosts.count
            _note_since(self._short_since, data_centre, hosts.count < wanted, at)
        if self._out_since:
            self._last_out_at = at
        # Elsewhere groups may be broken for other reasons, which would delay each step.
        is_settled = not any(
            hosts.is_changing
            for hosts in scaling_input.data_centres
            if hosts.data_centre == self._reduced
        )
        if is_settled:
            self._unsettled_since = None
            self._settled_since = at if self._settled_since is None else self._settled_since
        else:
            self._settled_since = None
            self._unsettled_since = at if self._unsettled_since is None else self._unsettled_since

    def _available(self, scaling_input: ScalingInput) -> list[DataCentreHosts]:
        """Return the data centres that count as capacity."""
        return [
            hosts
            for hosts in scaling_input.data_centres
            if self._seconds_out(hosts.data_centre, scaling_input.at) < LOST_SECONDS
        ]

    def _seconds_out(self, data_centre: DataCentreId, at: float) -> float:
        since = (self._out_since.get(data_centre, at), self._unknown_since.get(data_centre, at))
        return at - min(since)

    def _has_just_grown(self, scaling_input: ScalingInput) -> bool:
        return scaling_input.at - self._grew_at < KEPT_AFTER_GROWTH_SECONDS

    def _counted(self, scaling_input: ScalingInput, hosts: DataCentreHosts) -> int:
        """Return the upstreams of a data centre that count as capacity now or soon."""
        wanted = self.wanted_by_data_centre.get(hosts.data_centre, hosts.count)
        replacement_seconds = scaling_input.limits.boot_seconds + REPLACEMENT_SECONDS
        short_since = self._short_since.get(hosts.data_centre, scaling_input.at)
        is_replacing = scaling_input.at - short_since < replacement_seconds
        if is_replacing or self._has_just_grown(scaling_input):
            return wanted
        return hosts.count

    def _counts(
        self, scaling_input: ScalingInput, available: Iterable[DataCentreHosts]
    ) -> dict[DataCentreId, int]:
        return {hosts.data_centre: self._counted(scaling_input, hosts) for hosts in available}

    def _grow(self, scaling_input: ScalingInput, available: list[DataCentreHosts]) -> str:
        """Order more upstreams if the demand needs them; return why, or nothing."""
        required = GroupCounts.to_grow(scaling_input.needs, self._margin_count(available))
        counts = self._counts(scaling_input, available)
        fits = required.fit(available, counts, SPARES_IN_DOMAIN)
        if fits and not self._lacks_groups(scaling_input, available):
            return ""
        target = GroupCounts.to_keep(scaling_input.needs, self._margin_count(available))
        lost = ", ".join(sorted(self._out_since))
        reason = f"needed: {required}{f' without {lost}' if lost else ''}"
        if fits:
            reason = f"the groups serve too few, needed: {required}"
            target = target.plus_one_of_each()
        grown = self._raise_until(target, scaling_input, available, counts)
        if not any(grown.values()):
            return ""
        for data_centre in grown.keys() & self.wanted_by_data_centre.keys():
            self.wanted_by_data_centre[data_centre] += grown[data_centre]
        self._grew_at = scaling_input.at
        self._groups_short_since = None
        return reason

    def _raise_until(
        self,
        target: GroupCounts,
        scaling_input: ScalingInput,
        available: list[DataCentreHosts],
        counts: dict[DataCentreId, int],
    ) -> dict[DataCentreId, int]:
        """Return how many upstreams to add to each data centre, to the smallest one first."""
        added = dict.fromkeys(counts, 0)
        while not target.fit(
            available, {d: counts[d] + added[d] for d in counts}, SPARES_IN_DOMAIN
        ):
            below_limit = [
                data_centre
                for data_centre in counts.keys() & self.wanted_by_data_centre.keys()
                if self.wanted_by_data_centre[data_centre] + added[data_centre]
                < scaling_input.limits.max_count
            ]
            if not below_limit:
                break
            added[min(below_limit, key=lambda d: (counts[d] + added[d], d))] += 1
        return added

    def _lacks_groups(self, scaling_input: ScalingInput, available: list[DataCentreHosts]) -> bool:
        """Return whether too few groups have served for long, though upstreams are left over."""
        needed = GroupCounts.at_peak(scaling_input.needs)
        if needed.are_served_by(available) or self._has_just_grown(scaling_input):
            self._groups_short_since = None
            return False
        if self._groups_short_since is None:
            self._groups_short_since = scaling_input.at
        return scaling_input.at - self._groups_short_since >= SHORTAGE_SECONDS

    def _find_hold(self, scaling_input: ScalingInput, available: list[DataCentreHosts]) -> str:
        """Return why no upstreams may be given up now, or nothing."""
        at = scaling_input.at
        if self._unknown_since:
            return f"upstreams are registering in {', '.join(sorted(self._unknown_since))}"
        if self._out_since:
            return f"out: {', '.join(sorted(self._out_since))}"
        if at - self._last_out_at < KEPT_AFTER_RETURN_SECONDS:
            return "a data centre has just returned"
        if scaling_input.unheard_data_centres:
            unheard = ", ".join(sorted(scaling_input.unheard_data_centres))
            return f"the demand of {unheard} is not known"
        if self._has_just_grown(scaling_input):
            return "upstreams were added"
        if any(h.count > self.wanted_by_data_centre[h.data_centre] for h in available):
            return "upstreams are still to leave"
        if self._unsettled_since is not None and at - self._unsettled_since < MAX_CHANGING_SECONDS:
            return "groups are forming"
        if self._settled_since is not None and at - self._settled_since < SETTLED_SECONDS:
            return "groups have just formed"
        return ""

    def _shrink(
        self, scaling_input: ScalingInput, available: list[DataCentreHosts]
    ) -> tuple[str, str]:
        """Order fewer upstreams in one data centre if the demand allows it.

        :return: the reason, or why the numbers stay.
        """
        unknown_share = max(0.0, 1 - scaling_input.known_seconds / WAVE_SECONDS)
        factor = 1 + (MAX_PEAK_FACTOR - 1) * unknown_share
        target = GroupCounts.to_keep(scaling_input.needs, self._margin_count(available), factor)
        needed = GroupCounts.at_peak(scaling_input.needs, factor)
        counts = self._counts(scaling_input, available)
        reduction = find_reduction(scaling_input, available, counts, target, needed)
        if reduction is None:
            return "", "no step leaves enough groups"
        self.wanted_by_data_centre[reduction.data_centre] -= reduction.removed
        self._reduced = reduction.data_centre
        self._settled_since, self._unsettled_since = None, scaling_input.at
        return f"{reduction.removed} fewer, needed: {target}", ""

    def _margin_count(self, available: list[DataCentreHosts]) -> int:
        """Return the groups of each model to have for losses; none while a loss has occurred."""
        return 0 if self._out_since else len(available)

    def _covers_loss(self, scaling_input: ScalingInput, available: list[DataCentreHosts]) -> bool:
        """Return whether the others could serve the demand if any one data centre was lost."""
        needed = GroupCounts.at_peak(scaling_input.needs)
        counts = self._counts(scaling_input, available)
        return all(
            needed.fit([hosts for hosts in available if hosts is not lost], counts)
            for lost in available
        )


def _note_since(
    since: dict[DataCentreId, float], data_centre: DataCentreId, holds: bool, at: float
) -> None:
    """Note since when a condition holds."""
    if holds:
        since.setdefault(data_centre, at)
    else:
        since.pop(data_centre, None)
