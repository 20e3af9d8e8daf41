"""Groups with known service times behind one decision layer, on a simulated clock."""

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


class OpenGate(DispatchPolicy):
    """Lets every serving group be sent to."""

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether the group serves."""
        return row.serving

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return False: nothing is taken out."""
        return False


@dataclass(slots=True)
class Upstream:
    """What one group truly runs.

    :param peak_excess: most requests that it ever had beyond what it bore.
    """

    kind: UpstreamKind
    fails: bool = False
    boot: int = 1
    completed: int = 0
    running: set[RequestId] = field(default_factory=set)
    peak_excess: int = 0
    peak_ratio: float = 0.0

    @property
    def bearable(self) -> int:
        """Requests that it bears at present."""
        grown = self.kind.cold_requests + int(self.completed * self.kind.warm_step)
        return min(self.kind.full_requests, grown)

    def start(self, request_id: RequestId) -> None:
        """Begin a request."""
        self.running.add(request_id)
        self.peak_excess = max(self.peak_excess, len(self.running) - self.bearable)
        self.peak_ratio = max(self.peak_ratio, len(self.running) / self.bearable)

    def finish(self, request_id: RequestId) -> None:
        """End a request."""
        self.running.discard(request_id)
        if not self.fails:
            self.completed += 1


class Schedule:
    """Future events by time."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Run an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action))

    def run_until(self, now: float) -> None:
        """Run every action that is due."""
        while self._events and self._events[0][0] <= now:
            time, _, action = heapq.heappop(self._events)
            action(time)


def make_tables(entry: str, kind: UpstreamKind) -> Tables:
    """Return the tables of an entry that holds nothing."""
    local = LocalRow(EntryId(entry), Incarnation("i"), DataCentreId("a"), "127.0.0.1:1")
    return Tables(local, {kind.kind: kind})


def hold_group(tables: Tables, name: str, model: str, kind: UpstreamKind) -> HeldGroupRow:
    """Let an entry hold a group of one instance that has reported."""
    instance = InstanceRow(InstanceId(name), "127.0.0.1:2", kind.kind, BootId("1"))
    instance.state = LoadState.READY
    tables.instances_by_id[instance.instance_id] = instance
    row = HeldGroupRow(GroupId(name), model, kind.kind, None, (instance.instance_id,))
    row.serving = True
    row.may_send_from = -REPORT_SECONDS
    tables.held_groups_by_id[row.group_id] = row
    report(tables, name, Upstream(kind), 0.0)
    return row


def report(tables: Tables, name: str, upstream: Upstream, now: float) -> None:
    """Let an entry see what an upstream ran some time ago, here taken as the present."""
    instance = tables.instances_by_id[InstanceId(name)]
    instance.boot_id = BootId(str(upstream.boot))
    instance.connected = True
    instance.last_status_at = now
    instance.running = len(upstream.running)
    instance.measured_at = now - REPORT_LAG_SECONDS
