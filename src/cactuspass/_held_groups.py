"""Tracking of the groups held here: ramps, load reports and request counts."""

from collections.abc import Sequence

from cactuspass._forecast import Forecast
from cactuspass._group_capacity import (
    add_foreign_request,
    apply_load_report,
    clear_foreign_requests,
    count_own_requests,
)
from cactuspass._messages import CacheReported, HeartbeatReceived, Input, RequestFinished
from cactuspass._prefix_index import PrefixIndex
from cactuspass._ramp import RampTracker, increase_ramp
from cactuspass._tables import HeldGroupRow, RequestRow, Tables
from cactuspass.models import GroupId


class HeldGroupTracker:
    """Keeps the ramps and request counts of the held groups up to date."""

    def __init__(self, prefixes: PrefixIndex, forecast: Forecast) -> None:
        self._prefixes = prefixes
        self._forecast = forecast
        self._ramps = RampTracker()
        self._tracked_ids: set[GroupId] = set()

    def refresh(self, tables: Tables, inputs: Sequence[Input], now: float) -> None:
        """Update all held groups from the tables, heartbeats of peers and cache events."""
        for item in inputs:
            if isinstance(item, HeartbeatReceived):
                self._ramps.record_peer_ramps(item)
        for row in tables.held_groups_by_id.values():
            self._refresh_group(tables, row, now)
        for group_id in self._tracked_ids - tables.held_groups_by_id.keys():
            self._prefixes.remove_target(group_id)
            self._forecast.remove_group(group_id)
        self._tracked_ids = set(tables.held_groups_by_id)
        for item in inputs:
            if isinstance(item, CacheReported):
                self._apply_cache_event(tables, item, now)

    def record_dispatch(self, row: HeldGroupRow, request: RequestRow, now: float) -> None:
        """Record a request that is being sent to a group."""
        request.group_id = row.group_id
        request.dispatched_at = now
        request.ramp_boot_id = row.ramp_boot_id
        row.requests.add(request.request_id)
        row.reserved_tokens += request.tokens
        self._prefixes.record_sent(row.group_id, request.prefixes, now)
        self._forecast.record_dispatch(request, now)

    def record_end(self, tables: Tables, item: RequestFinished, now: float) -> None:
        """Remove a request that ended and record its outcome.

        A request that failed after its start may still be running, so it is counted as foreign.
        """
        request = tables.requests_by_id.pop(item.request_id, None)
        if request is None or request.group_id is None:
            return
        self._forecast.record_outcome(request.group_id, item.succeeded)
        if item.succeeded:
            self._forecast.record_completion(request, now)
        row = tables.held_groups_by_id.get(request.group_id)
        if row is None or request.request_id not in row.requests:
            return
        row.requests.remove(request.request_id)
        row.reserved_tokens -= request.tokens
        if item.succeeded:
            increase_ramp(tables, row, request.ramp_boot_id)
        elif item.started and request.ramp_boot_id == row.ramp_boot_id:
            add_foreign_request(row, request, now)
        if item.boot_id and item.boot_id != self._rank_zero_boot_id(tables, row):
            self._ramps.reset(tables, row)

    def _refresh_group(self, tables: Tables, row: HeldGroupRow, now: float) -> None:
        """Update the ramp and the request counts of one group."""
        if not row.own_requests_counted:
            count_own_requests(tables, row)
        restarted = bool(row.ramp_boot_id)
        if self._ramps.refresh(tables, row):
            self._prefixes.remove_target(row.group_id)
            self._forecast.remove_group(row.group_id)
            if restarted and row.reported_since_held:
                clear_foreign_requests(row)
        apply_load_report(tables, row, now)

    def _apply_cache_event(self, tables: Tables, item: CacheReported, now: float) -> None:
        """Apply a cache event to the prefix index of its instance's group."""
        instance = tables.instances_by_id.get(item.instance_id)
        if instance is not None and instance.group_id in tables.held_groups_by_id:
            target = instance.group_id
            self._prefixes.apply_cache_event(target, item.sequence, item.added, item.removed, now)

    @staticmethod
    def _rank_zero_boot_id(tables: Tables, row: HeldGroupRow) -> str:
        """Return the boot id that rank 0 last reported."""
        rank_zero = tables.instances_by_id.get(row.members[0]) if row.members else None
        return rank_zero.boot_id if rank_zero is not None else ""
