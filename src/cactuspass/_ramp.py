"""Concurrency limit of a group, which starts low after a boot and grows with each success."""

from dataclasses import dataclass

from cactuspass._messages import HeartbeatReceived
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import BootId, GroupId, KindId, UpstreamKind

BOOT_SEPARATOR = "+"
UNKNOWN_KIND = UpstreamKind(KindId(""), cold_requests=1, full_requests=1)


@dataclass(frozen=True, slots=True)
class ObservedRamp:
    """Ramp that a holder observed for one boot of a group.

    :param ramp: requests that the group could run concurrently.
    """

    boot_id: BootId
    ramp: int


def upstream_kind(tables: Tables, row: HeldGroupRow) -> UpstreamKind:
    """Return the upstream kind of the group's rank 0.

    An unknown kind gets a concurrency limit of one request.
    """
    rank_zero = tables.instances_by_id.get(row.members[0]) if row.members else None
    kind = rank_zero.kind if rank_zero is not None else row.kind
    return tables.kinds_by_id.get(kind, UNKNOWN_KIND)


def connected_boot_id(tables: Tables, row: HeldGroupRow) -> BootId:
    """Return the joined boot ids of all members.

    :return: empty if any member is not connected or has not reported its boot id.
    """
    rows = [tables.instances_by_id.get(member) for member in row.members]
    boots = [item.boot_id for item in rows if item is not None and item.connected and item.boot_id]
    if not boots or len(boots) < len(row.members):
        return BootId("")
    return BootId(BOOT_SEPARATOR.join(boots))


def concurrency_limit(tables: Tables, row: HeldGroupRow) -> int:
    """Return how many requests the group can run concurrently at present.

    The observed ramp applies only while every member is connected with the boot id under which
    it was observed. Otherwise the group is treated as freshly started.
    """
    kind = upstream_kind(tables, row)
    boot = connected_boot_id(tables, row)
    if not boot or boot != row.ramp_boot_id:
        return kind.cold_requests
    return min(kind.full_requests, max(kind.cold_requests, int(row.ramp)))


def increase_ramp(tables: Tables, row: HeldGroupRow, dispatched_boot: BootId) -> None:
    """Raise the ramp after one successful request.

    :param dispatched_boot: boot id under which the request was dispatched. Successes of an
        earlier boot are ignored.
    """
    if not dispatched_boot or dispatched_boot != row.ramp_boot_id:
        return
    kind = upstream_kind(tables, row)
    row.ramp = min(float(kind.full_requests), row.ramp + kind.warm_step)


class RampTracker:
    """Tracks the ramps of the groups held here and of those that peers report."""

    def __init__(self) -> None:
        self._ramps_by_group: dict[GroupId, ObservedRamp] = {}

    def record_peer_ramps(self, message: HeartbeatReceived) -> None:
        """Store the ramps that a peer's heartbeat reports for the groups that it holds."""
        for summary in message.groups:
            if summary.boot_id:
                ramp = ObservedRamp(summary.boot_id, summary.ramp)
                self._ramps_by_group[summary.group_id] = ramp

    def refresh(self, tables: Tables, row: HeldGroupRow) -> bool:
        """Reset the ramp when the group's boot id has changed.

        A ramp that an earlier holder observed for the new boot id is taken over.

        :return: whether the boot id has changed since the last call.
        """
        boot = connected_boot_id(tables, row)
        if not boot:
            return False
        if boot == row.ramp_boot_id:
            self._ramps_by_group[row.group_id] = ObservedRamp(boot, int(row.ramp))
            return False
        known = self._ramps_by_group.get(row.group_id)
        cold = upstream_kind(tables, row).cold_requests
        start = known.ramp if known is not None and known.boot_id == boot else cold
        row.ramp = float(max(cold, start))
        row.ramp_boot_id = boot
        return True

    def reset(self, tables: Tables, row: HeldGroupRow) -> None:
        """Treat the group as freshly started because an answer named an unknown boot id."""
        cold = upstream_kind(tables, row).cold_requests
        row.ramp = float(cold)
        self._ramps_by_group[row.group_id] = ObservedRamp(row.ramp_boot_id, cold)
