"""Fixtures for the admission tests: tables with held groups and an admission system."""

import random
from dataclasses import dataclass, field

from cactuspass._admission import AdmissionSystem
from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast
from cactuspass._messages import GroupSummary, Input, LoadState, Order, RequestArrived
from cactuspass._tables import EntryRow, HeldGroupRow, InstanceRow, LocalRow, Tables
from cactuspass.models import (
    BootId,
    CustomerId,
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    InstanceId,
    KindId,
    Priority,
    RequestId,
    TakeOutKind,
    UpstreamKind,
)

KIND = UpstreamKind(KindId("draft"), cold_requests=1, full_requests=4, memory_tokens=1000)
MODEL = "m"


@dataclass(slots=True)
class FakeDispatchPolicy(DispatchPolicy):
    """Dispatch policy that a test controls.

    :param can_send: whether requests may be sent to serving groups.
    :param taken_out: names of data centres, groups and upstreams that are taken out.
    """

    can_send: bool = True
    taken_out: set[str] = field(default_factory=set)

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        return self.can_send and row.serving and row.may_send_from <= now

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        return target in self.taken_out


class AdmissionFixture:
    """Tables, a dispatch policy and an admission system with a simulated clock."""

    def __init__(self, kind: UpstreamKind = KIND, groups: int = 1, serving: bool = True) -> None:
        local = LocalRow(EntryId("e1"), Incarnation("i1"), DataCentreId("a"), "127.0.0.1:1")
        self.tables = Tables(local, {kind.kind: kind})
        self.policy = FakeDispatchPolicy()
        self.forecast = Forecast()
        self.system = AdmissionSystem(self.policy, random.Random(7), self.forecast)
        self.now = 0.0
        for index in range(groups):
            self.add_held_group(f"g{index}", kind, serving)

    def add_held_group(
        self, name: str, kind: UpstreamKind = KIND, serving: bool = True
    ) -> HeldGroupRow:
        """Add a held group of one instance that has just sent a status report."""
        instance = InstanceId(f"{name}-i")
        self.tables.instances_by_id[instance] = InstanceRow(instance, "127.0.0.1:2", kind.kind)
        row = HeldGroupRow(GroupId(name), MODEL, kind.kind, None, (instance,), serving=serving)
        row.may_send_from = self.now - 1.0
        self.tables.held_groups_by_id[row.group_id] = row
        self.report(name, "b1")
        return row

    def report(
        self, name: str, boot: str, running: int = 0, tokens: int = 0, lag: float = 0.6
    ) -> None:
        """Apply a status report of a group's only instance.

        :param lag: seconds since the load was measured.
        """
        row = self.tables.instances_by_id[InstanceId(f"{name}-i")]
        row.boot_id, row.connected, row.last_status_at = BootId(boot), True, self.now
        row.state = LoadState.READY
        row.running, row.memory_tokens, row.measured_at = running, tokens, self.now - lag

    def add_peer(self, name: str, free: int = 4, held: int = 0, data_centre: str = "a") -> EntryRow:
        """Add a peer that holds one group of the model."""
        boot = BootId("b1")
        group = GroupId(f"{name}-g")
        summary = GroupSummary(group, MODEL, boot, True, free, 0, free + held, held)
        data_centre_id = DataCentreId(data_centre)
        row = EntryRow(
            EntryId(name), Incarnation("i"), data_centre_id, "127.0.0.1:3", self.now, ready=True
        )
        row.groups_by_id[group] = summary
        self.tables.entries_by_id[row.entry_id] = row
        return row

    def row(self, name: str = "g0") -> HeldGroupRow:
        """Return a held group."""
        return self.tables.held_groups_by_id[GroupId(name)]

    def tick(self, *inputs: Input, after: float = 0.0) -> list[Order]:
        """Advance the clock by ``after`` seconds, run the system once and return its orders."""
        self.now += after
        return list(self.system.run(self.tables, inputs, self.now))


def arrival(name: str, **changes: object) -> RequestArrived:
    """Return an arriving request with default values except for the given ones."""
    values: dict[str, object] = {
        "request_id": RequestId(name),
        "customer": CustomerId("c1"),
        "model": MODEL,
        "tokens": 100,
        "priority": Priority.NORMAL,
        "deadline": 60.0,
    }
    return RequestArrived(**(values | changes))  # type: ignore[arg-type]
