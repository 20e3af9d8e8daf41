"""Maintains the groups that this entry holds: watches, repair, load orders and alarms."""

from collections.abc import Iterable, Iterator, Sequence
from functools import partial
from itertools import chain

from cactuspass._alarms import set_alarm
from cactuspass._confirmation import group_boot_id, has_recent_status, is_confirmed
from cactuspass._core import System
from cactuspass._held_rows import update_rows
from cactuspass._holding import holds
from cactuspass._in_force import is_taken_out
from cactuspass._load_scheduler import LOADS_AT_ONCE, LoadScheduler
from cactuspass._messages import (
    AlarmKind,
    ConfigurationRead,
    Input,
    InstanceDisconnected,
    InstanceReported,
    InstancesListed,
    Order,
    TakeOutsReceived,
)
from cactuspass._placement_writer import PlacementWriter
from cactuspass._repair import (
    adopt_reported_members,
    is_leaving,
    lost_instances,
    record_members,
    substitute,
)
from cactuspass._reports import apply_reports
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass._watches import assigned_instances, update_watches
from cactuspass.models import GroupId, Placement, TakeOutKind

# Time that the instances of a newly held group have to report before the group is repaired.
ADOPT_TIMEOUT_SECONDS = 1.5
CHECK_INTERVAL_SECONDS = 0.05

# Inputs that may change which groups are held, leaving or serving.
CHANGING_INPUTS = (
    InstanceReported,
    InstanceDisconnected,
    ConfigurationRead,
    TakeOutsReceived,
    InstancesListed,
)
GROUP_DOWN_ALARM_SECONDS = 3.0


class GroupSystem(System):
    """Repairs held groups, and marks a group as not serving in the tick that shows a failure.

    :param writer: writes changes of the data centre document.
    :param loads_at_once: number of members of the data centre that may load weights concurrently.
    """

    def __init__(
        self,
        writer: PlacementWriter,
        loads_at_once: int = LOADS_AT_ONCE,
    ) -> None:
        self._writer = writer
        self._scheduler = LoadScheduler(loads_at_once)
        self._last_tick: float | None = None
        self._last_run_at: float | None = None
        self._placement: Placement | None = None

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Update every held group, if anything may have changed since the last update.

        Return at once if no relevant input arrived, the placement is the same and less than
        ``CHECK_INTERVAL_SECONDS`` have passed.
        """
        last_tick, self._last_tick = self._last_tick, now
        if not self._is_due(tables, inputs, now):
            return ()
        self._last_run_at = now
        self._placement = tables.placement
        earlier_ids = set(tables.held_groups_by_id)
        apply_reports(tables, inputs, now, last_tick)
        update_rows(tables, now)
        orders: list[Order] = list(update_watches(tables, now))
        rows = [row for _, row in sorted(tables.held_groups_by_id.items())]
        for row in rows:
            _update_leaving(tables, row, now)
        ready = [row for row in rows if _may_repair(tables, row, now)]
        orders.extend(self._repair(tables, ready, now))
        for row in rows:
            _update_serving(tables, row, now)
        for row in ready:
            self._propose_changes(tables, row, now)
        return chain(orders, _group_alarms(tables, rows, earlier_ids, now))

    def _is_due(self, tables: Tables, inputs: Sequence[Input], now: float) -> bool:
        if self._last_run_at is None or now - self._last_run_at >= CHECK_INTERVAL_SECONDS:
            return True
        if self._placement is not tables.placement:
            return True
        return any(isinstance(item, CHANGING_INPUTS) for item in inputs)

    def _repair(self, tables: Tables, rows: Sequence[HeldGroupRow], now: float) -> Iterator[Order]:
        """Replace and load members of the groups that are not confirmed or are leaving."""
        to_repair = [row for row in rows if row.leaving or not is_confirmed(tables, row, now)]
        for row in to_repair:
            adopt_reported_members(tables, row, now)
            substitute(tables, row, now)
        for row in rows:
            row.members_without_weights = 0
        return self._scheduler.order(tables, to_repair, now)

    def _propose_changes(self, tables: Tables, row: HeldGroupRow, now: float) -> None:
        """Propose to write substitutions and lost or recovered instances to the document."""
        lost = lost_instances(tables, row, now)
        placed = row.placed
        if placed is None or not self._writer.is_ready(tables):
            return
        if (placed.generation, placed.members, placed.lost) != (row.generation, row.members, lost):
            change = partial(
                record_members,
                group_id=row.group_id,
                generation=row.generation,
                members=row.members,
                lost=lost,
            )
            self._writer.propose(change)


def _may_repair(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Return whether this entry may substitute and load members of the group now.

    The row must match the document, and its instances must have had time to report the members
    that an earlier holder chose.
    """
    if row.placed is None or not holds(tables, row.group_id, now):
        return False
    if not _follows_placement(tables, row):
        return False
    instances = map(tables.instances_by_id.get, assigned_instances(row))
    all_reported = all(has_recent_status(instance, now) for instance in instances)
    return all_reported or now - row.added_at >= ADOPT_TIMEOUT_SECONDS


def _update_serving(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Update whether requests may be sent to the group, and since when they may not."""
    may_send = holds(tables, row.group_id, now)
    if may_send:
        row.may_send_from = min(row.may_send_from, now)
    row.boot_id = group_boot_id(tables, row)
    row.serving = may_send and is_confirmed(tables, row, now)
    if row.serving:
        row.down_since = None
    elif row.down_since is None:
        row.down_since = now


def _follows_placement(tables: Tables, row: HeldGroupRow) -> bool:
    """Return whether the row matches the document, or the instance list for a plain service."""
    if row.placed is None:
        return row.members[0] in tables.records_by_id
    placement = tables.placement
    return placement is not None and placement.groups_by_id.get(row.group_id) == row.placed


def _update_leaving(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Update whether new requests must not be sent to the group."""
    row.leaving = (
        not _follows_placement(tables, row)
        or any(is_leaving(tables, member) for member in row.members)
        or is_taken_out(tables, TakeOutKind.GROUP, row.group_id)
        or is_taken_out(tables, TakeOutKind.DATA_CENTRE, tables.local.data_centre)
    )
    if not row.leaving:
        row.leaving_since = None
    elif row.leaving_since is None:
        row.leaving_since = now


def _group_alarms(
    tables: Tables, rows: Sequence[HeldGroupRow], earlier_ids: set[GroupId], now: float
) -> Iterator[Order]:
    """Raise an alarm for each group that has been down for long, and clear those of others.

    :param earlier_ids: groups that were held before this tick.
    """
    for row in rows:
        is_overdue = row.down_since is not None and now - row.down_since >= GROUP_DOWN_ALARM_SECONDS
        detail = _down_detail(tables, row, now) if is_overdue else ""
        yield from set_alarm(tables, AlarmKind.GROUP_DOWN, row.group_id, detail, now)
    for group_id in sorted(earlier_ids - set(tables.held_groups_by_id)):
        yield from set_alarm(tables, AlarmKind.GROUP_DOWN, group_id, "", now)


def _down_detail(tables: Tables, row: HeldGroupRow, now: float) -> str:
    """Return the alarm text that says why the group is down."""
    if not holds(tables, row.group_id, now):
        return "this entry has no right to hold it at present"
    instances = ((name, tables.instances_by_id.get(name)) for name in row.members)
    not_reporting = [name for name, instance in instances if not has_recent_status(instance, now)]
    if not_reporting:
        return "no word from " + ", ".join(not_reporting)
    if row.members_without_weights:
        return f"{row.members_without_weights} of {len(row.members)} members lack the weights"
    return "waits for the members' confirmation"
