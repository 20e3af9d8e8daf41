"""Simulated upstreams and a simulated clock, and tables of an entry that show these upstreams."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._messages import LoadState
from cactuspass._tables import HeldGroupRow, InstanceRow, LocalRow, Tables
from cactuspass.models import (
    BootId,
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    InstanceId,
    RequestId,
    TakeOutKind,
    UpstreamKind,
)

REPORT_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.6


class AlwaysSendPolicy(DispatchPolicy):
    """Allows sending to every serving group."""

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether the group serves."""
        return row.serving

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return False; nothing is taken out."""
        return False


@dataclass(slots=True)
class Upstream:
    """Actual state of an upstream, which entries see only through delayed reports.

    :param fails: whether every request fails.
    :param boot: number of the current process.
    :param completed: requests that the current process completed.
    :param peak_excess: most running requests above the concurrency limit.
    :param peak_ratio: largest ratio of running requests to the concurrency limit.
    """

    kind: UpstreamKind
    fails: bool = False
    boot: int = 1
    completed: int = 0
    running: set[RequestId] = field(default_factory=set)
    peak_excess: int = 0
    peak_ratio: float = 0.0

    @property
    def concurrency_limit(self) -> int:
        """Return the requests that it can run at once in its present state of warm-up."""
        grown = self.kind.cold_requests + int(self.completed * self.kind.warm_step)
        return min(self.kind.full_requests, grown)

    def start(self, request_id: RequestId) -> None:
        """Start a request."""
        self.running.add(request_id)
        self.peak_excess = max(self.peak_excess, len(self.running) - self.concurrency_limit)
        self.peak_ratio = max(self.peak_ratio, len(self.running) / self.concurrency_limit)

    def finish(self, request_id: RequestId) -> None:
        """End a request."""
        self.running.discard(request_id)
        if not self.fails:
            self.completed += 1


class Schedule:
    """Queue of actions ordered by time."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Schedule an action for a time."""
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action))

    def run_until(self, now: float) -> None:
        """Run every action that is due, in order of time."""
        while self._events and self._events[0][0] <= now:
            time, _, action = heapq.heappop(self._events)
            action(time)


def make_tables(entry: str, kind: UpstreamKind) -> Tables:
    """Return the tables of an entry that holds no groups."""
    local = LocalRow(EntryId(entry), Incarnation("i"), DataCentreId("a"), "127.0.0.1:1")
    return Tables(local, {kind.kind: kind})


def hold_group(tables: Tables, name: str, model: str, kind: UpstreamKind) -> HeldGroupRow:
    """Add a held group of one instance that has already reported; return its row."""
    instance = InstanceRow(InstanceId(name), "127.0.0.1:2", kind.kind, BootId("1"))
    instance.state = LoadState.READY
    tables.instances_by_id[instance.instance_id] = instance
    row = HeldGroupRow(GroupId(name), model, kind.kind, None, (instance.instance_id,))
    row.serving = True
    row.may_send_from = -REPORT_SECONDS
    tables.held_groups_by_id[row.group_id] = row
    record_report(tables, name, Upstream(kind), 0.0)
    return row


def record_report(tables: Tables, name: str, upstream: Upstream, now: float) -> None:
    """Record a report of an upstream's load in the tables of an entry.

    The load is the present one, but its time of measurement lies ``REPORT_LAG_SECONDS`` back.
    """
    instance = tables.instances_by_id[InstanceId(name)]
    instance.boot_id = BootId(str(upstream.boot))
    instance.connected = True
    instance.last_status_at = now
    instance.running = len(upstream.running)
    instance.measured_at = now - REPORT_LAG_SECONDS
