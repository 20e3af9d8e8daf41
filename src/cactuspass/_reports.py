"""Applies the status events of watched instances to the tables."""

from collections.abc import Sequence

from cactuspass._messages import Input, InstanceDisconnected, InstanceReported
from cactuspass._tables import InstanceRow, Tables

# A longer time between two ticks counts as a pause of this process.
PAUSE_SECONDS = 1.0
MAX_RETIRED_BOOT_IDS = 8


def apply_reports(
    tables: Tables, inputs: Sequence[Input], now: float, last_tick: float | None
) -> None:
    """Apply every status report and every broken connection, in order of arrival.

    After a pause of this process, the queued reports may be as old as the previous tick, so
    they are recorded with the time of that tick.

    :param last_tick: time of the previous tick; None at the first.
    """
    paused = last_tick is not None and now - last_tick > PAUSE_SECONDS
    received_at = last_tick if paused and last_tick is not None else now
    for item in inputs:
        if isinstance(item, InstanceReported):
            _apply_report(tables.instances_by_id.get(item.instance_id), item, received_at)
        elif isinstance(item, InstanceDisconnected):
            _apply_disconnect(tables.instances_by_id.get(item.instance_id), now)


def _apply_report(row: InstanceRow | None, report: InstanceReported, received_at: float) -> None:
    if row is None or report.boot_id in row.retired_boot_ids:
        return
    if row.boot_id and row.boot_id != report.boot_id:
        row.retired_boot_ids = (*row.retired_boot_ids, row.boot_id)[-MAX_RETIRED_BOOT_IDS:]
    row.boot_id = report.boot_id
    row.last_status_at = received_at
    row.connected = True
    row.disconnected_at = None
    row.group_id = report.group_id
    row.generation = report.generation
    row.rank = report.rank
    row.size = report.size
    row.state = report.state
    row.fence = report.fence
    row.running = report.running
    row.memory_tokens = report.memory_tokens
    row.measured_at = received_at - report.lag
    row.leaving = report.leaving
    row.model = report.model
    row.version = report.version


def _apply_disconnect(row: InstanceRow | None, now: float) -> None:
    if row is None:
        return
    row.connected = False
    row.disconnected_at = now if row.disconnected_at is None else row.disconnected_at
