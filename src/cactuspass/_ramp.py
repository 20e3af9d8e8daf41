"""Requests that a freshly started group bears, and how success lets that number grow."""

from dataclasses import dataclass

from cactuspass._messages import PeerHeard
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import BootId, GroupId, KindId, UpstreamKind

BOOT_SEPARATOR = "+"
UNKNOWN_KIND = UpstreamKind(KindId(""), cold_requests=1, full_requests=1)


@dataclass(frozen=True, slots=True)
class ObservedRamp:
    """Ramp that some holder observed under one boot of a group."""

    boot_id: BootId
    ramp: int


def upstream_kind(tables: Tables, row: HeldGroupRow) -> UpstreamKind:
    """Return the kind of the group's rank 0, or one that bears a single request."""
    first = tables.instances_by_id.get(row.members[0]) if row.members else None
    kind = first.kind if first is not None else row.kind
    return tables.kinds_by_id.get(kind, UNKNOWN_KIND)


def connected_boot_id(tables: Tables, row: HeldGroupRow) -> BootId:
    """Return the boot ids of all members as one id; empty while any of them is unknown."""
    rows = [tables.instances_by_id.get(member) for member in row.members]
    boots = [item.boot_id for item in rows if item is not None and item.connected and item.boot_id]
    if not boots or len(boots) < len(row.members):
        return BootId("")
    return BootId(BOOT_SEPARATOR.join(boots))


def concurrency_limit(tables: Tables, row: HeldGroupRow) -> int:
    """Return how many requests the group bears at present.

    The observed ramp counts only while every member is connected under the boot that it was
    observed under; otherwise the group counts as freshly started.
    """
    kind = upstream_kind(tables, row)
    boot = connected_boot_id(tables, row)
    if not boot or boot != row.ramp_boot:
        return kind.cold_requests
    return min(kind.full_requests, max(kind.cold_requests, int(row.ramp)))


def grow_ramp(tables: Tables, row: HeldGroupRow, dispatched_boot: BootId) -> None:
    """Count one success, if it was dispatched under the present boot."""
    if not dispatched_boot or dispatched_boot != row.ramp_boot:
        return
    kind = upstream_kind(tables, row)
    row.ramp = min(float(kind.full_requests), row.ramp + kind.warm_step)


class RampMemory:
    """Remembers the ramp of each group, our own and those that peers announce."""

    def __init__(self) -> None:
        self._ramps_by_group: dict[GroupId, ObservedRamp] = {}

    def hear(self, message: PeerHeard) -> None:
        """Keep what a holder says of its groups."""
        for summary in message.groups:
            if summary.boot_id:
                ramp = ObservedRamp(summary.boot_id, summary.ramp)
                self._ramps_by_group[summary.group_id] = ramp

    def refresh(self, tables: Tables, row: HeldGroupRow) -> bool:
        """Start the ramp again when the group's boot has changed.

        :return: whether the boot has changed since the last call.
        """
        boot = connected_boot_id(tables, row)
        if not boot:
            return False
        if boot == row.ramp_boot:
            self._ramps_by_group[row.group_id] = ObservedRamp(boot, int(row.ramp))
            return False
        known = self._ramps_by_group.get(row.group_id)
        cold = upstream_kind(tables, row).cold_requests
        passed_on = known.ramp if known is not None and known.boot_id == boot else cold
        row.ramp = float(max(cold, passed_on))
        row.ramp_boot = boot
        return True

    def distrust(self, tables: Tables, row: HeldGroupRow) -> None:
        """Count the group as freshly started, because an answer named an unknown boot."""
        cold = upstream_kind(tables, row).cold_requests
        row.ramp = float(cold)
        self._ramps_by_group[row.group_id] = ObservedRamp(row.ramp_boot, cold)
