"""The store and the platform as instances with duties call them in virtual time.

The platform checks every call when it arrives.
"""

import asyncio
import copy
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cactuspass._platform import KeyValue, Snapshot, Write, WriteResult
from cactuspass._revisions import era_of, make_revision, number_of
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.fleet._settings import DutySection
from cactuspass.fleet.duties import (
    CallOutcome,
    MayCall,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)

if TYPE_CHECKING:
    from tests.duty_world import DutyInstance, DutyWorld

SETTINGS = DutySection(
    address="127.0.0.1:1", names=("usage", "scale"), calls_per_second=50.0, late_seconds=10.0
)
LATENCY_SECONDS = 0.003
HOLDER_CHANGE_SECONDS = 3.0  # no order A, B, A within


@dataclass
class Call:
    """A call as it arrived at the platform."""

    at: float
    machine: str
    fence: int
    subject: str
    content: str


class FakePlatform:
    """Accepts calls and records each violation of the platform's rules.

    :ivar outcome: outcome of the calls that arrive; None for an answer that never comes.
    """

    def __init__(self) -> None:
        self.outcome: CallOutcome | None = CallOutcome.ACCEPTED
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.reports_by_window: dict[int, UsageReport] = {}
        self.accepted_at_by_window: dict[int, float] = {}
        self.counts_by_subject: dict[str, int] = {}

    def receive(self, call: Call) -> None:
        """Check a call against all earlier ones for its subject."""
        earlier = [c for c in self.calls if c.subject == call.subject]
        if any(c.fence > call.fence for c in earlier):
            self.violations.append(f"lower fence: {call}")
        if any(c.fence == call.fence and c.machine != call.machine for c in earlier):
            self.violations.append(f"two holders with one fence: {call}")
        recent = [c.machine for c in earlier if call.at - c.at < HOLDER_CHANGE_SECONDS]
        if call.machine in recent and recent[-1] != call.machine:
            self.violations.append(f"A, B, A: {call}")
        if sum(call.at - c.at < 1.0 for c in self.calls) >= SETTINGS.calls_per_second:
            self.violations.append(f"above the rate: {call}")
        self.calls.append(call)

    def receive_report(self, call: Call, report: UsageReport) -> None:
        """Check that a window has one content, and keep when it was accepted."""
        self.receive(call)
        known = self.reports_by_window.setdefault(report.window, report)
        if known != report:
            self.violations.append(f"two contents: {known}, {report}")
        if self.outcome is CallOutcome.ACCEPTED:
            self.accepted_at_by_window.setdefault(report.window, call.at)


@dataclass
class StoreState:
    """Keys of the store, as a copy keeps them."""

    number: int = 1
    items_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class FakeStore:
    """The store, which compares numbers without their era as the metadata store does."""

    def __init__(self) -> None:
        self.era = 0
        self.state = StoreState()

    def copy(self) -> StoreState:
        """Return a copy of the keys."""
        return copy.deepcopy(self.state)

    def restore(self, older: StoreState) -> None:
        """Lose all changes since a copy."""
        self.state = copy.deepcopy(older)
        self.era += 1

    def key_value(self, key: str) -> KeyValue:
        """Return a key with a revision of the present era."""
        value, number = self.state.items_by_key.get(key, (None, 0))
        return KeyValue(key, value, make_revision(self.era, number) if number else 0)

    def next_revision(self) -> int:
        """Return the revision of a new change."""
        self.state.number += 1
        return make_revision(self.era, self.state.number)

    def write(self, writes: Sequence[Write]) -> bool:
        """Make all writes, or none; return whether they were made."""
        items = self.state.items_by_key
        for write in writes:
            if items.get(write.key, (b"", 0))[1] != number_of(write.expected_mod_revision):
                return False
        self.next_revision()
        for write in writes:
            items.pop(write.key, None)
            if write.value is not None:
                items[write.key] = (write.value, self.state.number)
        return True


class StoreClient:
    """The store as one instance calls it, with the era that the instance has seen."""

    def __init__(self, world: "DutyWorld", instance: "DutyInstance") -> None:
        self._world = world
        self._instance = instance
        self._era = 0

    async def _begin(self) -> None:
        await self._instance.pass_gate()
        if not self._instance.reaches_store:
            await asyncio.sleep(0.5)
            raise PlatformUnavailable("cut off")
        await asyncio.sleep(LATENCY_SECONDS)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """List the keys under a prefix."""
        await self._begin()
        store = self._world.store
        keys = sorted(key for key in store.state.items_by_key if key.startswith(prefix))
        self._era = store.era
        found = {key: store.key_value(key) for key in keys}
        snapshot = Snapshot(found, make_revision(store.era, store.state.number))
        await self._instance.pass_gate()
        return snapshot

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes or none; the answer may be lost or the write late."""
        await self._begin()
        store, era = self._world.store, self._era
        if any(w.expected_mod_revision and era_of(w.expected_mod_revision) < era for w in writes):
            return self._result(False, writes)
        delay = self._world.take_write_delay()
        if delay:
            asyncio.get_running_loop().call_later(delay, store.write, list(writes))
            await asyncio.sleep(1.5)
            raise OutcomeUnknown("late")
        accepted = store.write(writes)
        self._era = store.era
        result = self._result(accepted, writes)
        await self._instance.pass_gate()
        if self._world.take_lost_write():
            raise OutcomeUnknown("the answer was lost")
        if accepted and self._era != era and any(w.expected_mod_revision for w in writes):
            raise OutcomeUnknown("restored")
        return result

    def _result(self, accepted: bool, writes: Sequence[Write]) -> WriteResult:
        store = self._world.store
        found = {write.key: store.key_value(write.key) for write in writes}
        return WriteResult(accepted, Snapshot(found, make_revision(store.era, store.state.number)))


class FakeCalls(PlatformDuties):
    """The platform as one instance calls it."""

    def __init__(self, world: "DutyWorld", instance: "DutyInstance") -> None:
        self._world = world
        self._instance = instance

    async def report_usage(self, report: UsageReport, fence: int, may_send: MayCall) -> CallOutcome:
        """Send a report."""
        platform = self._world.platform
        call = (fence, "usage", str(report))
        return await self._call(
            call, may_send, lambda arrived: platform.receive_report(arrived, report)
        )

    async def order_upstream_count(
        self, order: UpstreamCountOrder, fence: int, may_send: MayCall
    ) -> CallOutcome:
        """Send an order."""
        platform = self._world.platform
        subject = f"{order.service}/{order.data_centre}"

        def receive(arrived: Call) -> None:
            platform.receive(arrived)
            platform.counts_by_subject[subject] = order.count

        return await self._call((fence, subject, str(order.count)), may_send, receive)

    async def _call(
        self, call: tuple[int, str, str], may_send: MayCall, receive: Callable[[Call], None]
    ) -> CallOutcome:
        await asyncio.sleep(LATENCY_SECONDS)
        was_cancelled = await self._instance.pass_gate(is_connecting=True)
        if not self._instance.reaches_platform:
            await asyncio.sleep(0.5)
            return CallOutcome.NOT_SENT
        if not may_send():
            return CallOutcome.NOT_SENT
        receive(Call(self._world.at, self._instance.machine, *call))
        if was_cancelled:
            raise asyncio.CancelledError
        outcome = self._world.platform.outcome
        if outcome is None:
            await asyncio.sleep(60.0)
        await asyncio.sleep(LATENCY_SECONDS)
        await self._instance.pass_gate()
        return outcome or CallOutcome.UNKNOWN
