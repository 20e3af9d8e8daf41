"""Upkeep of the held groups: adoption, ramps, load reports and request counts."""

from collections.abc import Sequence

from cactuspass._forecast import Forecast
from cactuspass._group_capacity import add_foreign, adopt_group, forget_foreign, observe_report
from cactuspass._messages import CacheReported, Input, PeerHeard, RequestFinished
from cactuspass._prefix_index import PrefixIndex
from cactuspass._ramp import RampMemory, grow_ramp
from cactuspass._tables import HeldGroupRow, RequestRow, Tables
from cactuspass.models import GroupId


class HeldGroupTracker:
    """Keeps the counts of the held groups true."""

    def __init__(self, prefixes: PrefixIndex, forecast: Forecast) -> None:
        self._prefixes = prefixes
        self._forecast = forecast
        self._ramps = RampMemory()
        self._known: set[GroupId] = set()

    def refresh(self, tables: Tables, inputs: Sequence[Input], now: float) -> None:
        """Adopt new groups, restart ramps of restarted ones and read load reports."""
        for item in inputs:
            if isinstance(item, PeerHeard):
                self._ramps.hear(item)
        for row in tables.held_groups_by_id.values():
            self._refresh_group(tables, row, now)
        for group_id in self._known - tables.held_groups_by_id.keys():
            self._prefixes.forget(group_id)
            self._forecast.forget_group(group_id)
        self._known = set(tables.held_groups_by_id)
        for item in inputs:
            if isinstance(item, CacheReported):
                self._hear_cache(tables, item, now)

    def dispatch(self, row: HeldGroupRow, request: RequestRow, now: float) -> None:
        """Count a request that is being sent to a group."""
        request.group_id = row.group_id
        request.dispatched_at = now
        request.ramp_boot = row.ramp_boot
        row.requests.add(request.request_id)
        row.held_tokens += request.tokens
        self._prefixes.sent(row.group_id, request.prefixes, now)
        self._forecast.dispatched(request, now)

    def finish(self, tables: Tables, item: RequestFinished, now: float) -> None:
        """Stop counting a request that ended, and learn from its outcome."""
        request = tables.requests_by_id.pop(item.request_id, None)
        if request is None or request.group_id is None:
            return
        self._forecast.ended(request.group_id, item.succeeded)
        if item.succeeded:
            self._forecast.completed(request, now)
        row = tables.held_groups_by_id.get(request.group_id)
        if row is None or request.request_id not in row.requests:
            return
        row.requests.remove(request.request_id)
        row.held_tokens -= request.tokens
        if item.succeeded:
            grow_ramp(tables, row, request.ramp_boot)
        elif item.started and request.ramp_boot == row.ramp_boot:
            add_foreign(row, request, now)
        if item.boot_id and item.boot_id != self._first_boot(tables, row):
            self._ramps.distrust(tables, row)

    def _refresh_group(self, tables: Tables, row: HeldGroupRow, now: float) -> None:
        """Bring one group's counts up to date."""
        if not row.adopted:
            adopt_group(tables, row)
        restarted = bool(row.ramp_boot)
        if self._ramps.refresh(tables, row):
            self._prefixes.forget(row.group_id)
            self._forecast.forget_group(row.group_id)
            if restarted and row.foreign_known:
                forget_foreign(row)
        observe_report(tables, row, now)

    def _hear_cache(self, tables: Tables, item: CacheReported, now: float) -> None:
        """Apply a cache event to the group of its instance."""
        instance = tables.instances_by_id.get(item.instance_id)
        if instance is not None and instance.group_id in tables.held_groups_by_id:
            target = instance.group_id
            self._prefixes.report(target, item.sequence, item.added, item.removed, now)

    @staticmethod
    def _first_boot(tables: Tables, row: HeldGroupRow) -> str:
        """Return the boot id that rank 0 last reported."""
        first = tables.instances_by_id.get(row.members[0]) if row.members else None
        return first.boot_id if first is not None else ""
