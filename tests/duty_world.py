"""Instances with duties in virtual time, with a simulated store, platform, network and lease.

The platform checks every call when it arrives. Instances can be paused at each call and killed, and
the store can lose its last changes.
"""

import asyncio
import copy
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any, cast
from unittest import mock

from cactuspass._platform import KeyValue, Snapshot, Write, WriteResult
from cactuspass._revisions import era_of, make_revision, number_of
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.fleet._catalog import ScalingLimits
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._presence import Term
from cactuspass.fleet._settings import DutySection
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties import (
    CallOutcome,
    Duties,
    MayCall,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)
from cactuspass.fleet.duties._usage_messages import CODEC, UsageDatagram
from cactuspass.models import CustomerId, DataCentreId, EntryId, ServiceId
from tests.fleet_path import recording_log
from tests.virtual_time import VirtualLoop

CLOCKED_MODULES = (
    "_cluster_state",
    "_decision_log",
    *(
        f"duties.{name}"
        for name in (
            "_count_orders",
            "_duties",
            "_holder",
            "_sender",
            "_true_time",
            "_usage_collector",
            "_usage_reporter",
        )
    ),
)
EPOCH = 1_767_000_000.0  # true time at the start, in Unix seconds
WINDOW_SECONDS = 5.0
LATE_SECONDS = 10.0
SETTINGS = DutySection(
    address="127.0.0.1:1", names=("usage", "scale"), calls_per_second=50.0, late_seconds=10.0
)
LEASE_SECONDS = 2.0
LEASE_MARGIN_SECONDS = 0.2
RENEW_SECONDS = 0.5
LATENCY_SECONDS = 0.003
HOLDER_CHANGE_SECONDS = 3.0  # no order A, B, A within
SERVICE = ServiceId("s1")
HERE = DataCentreId("here")
CUSTOMERS = [CustomerId("c1"), CustomerId("c2"), CustomerId("c3")]


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


class DutyInstance:
    """One instance; it renews or acquires the lease of the leader, and counts requests.

    :ivar gate_pauses: seconds of a pause for each of the next calls' gates; 0 for none.
    :ivar lease_overrun: seconds for which it believes to lead after its lease has ended.
    """

    def __init__(self, world: "DutyWorld", name: str, run: int, wall_offset: float) -> None:
        self.world = world
        self.name = EntryId(name)
        self.machine = f"{name}#{run}"
        self.wall_offset = wall_offset
        self.paused_until = 0.0
        self.gate_pauses: list[float] = []
        self.reaches_store = self.reaches_platform = self.reaches_peers = True
        self.lease_overrun = 0.0
        self._term: Term | None = None
        self._lease_until = 0.0
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        self.cluster_state.peers = world.peers
        self.metrics = Metrics()
        self.duties = Duties(
            self.name,
            SETTINGS,
            FakeCalls(world, self),
            cast(SharedStore, StoreClient(world, self)),
            self.cluster_state,
            self,
            lambda service: ScalingLimits(0, 100),
            lambda address, message: world.send(self, address, message),
            self.log,
            self.metrics,
            lambda: EPOCH + world.at + self.wall_offset,
        )
        self._lease_task = asyncio.create_task(self._keep_lease())

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self.world.at < self.paused_until

    async def pass_gate(self, is_connecting: bool = False) -> bool:
        """Wait while the process is paused; return whether it was cancelled meanwhile.

        :param is_connecting: whether the event that is waited for comes before a timeout that also
            ended during the pause, as when a connection was opened meanwhile.
        """
        was_cancelled = False
        if self.gate_pauses and (seconds := self.gate_pauses.pop(0)):
            self.paused_until = max(self.paused_until, self.world.at + seconds)
        while self.is_paused:
            try:
                await asyncio.sleep(self.paused_until - self.world.at)
            except asyncio.CancelledError:
                if not is_connecting:
                    raise
                was_cancelled = True
        return was_cancelled

    @property
    def term(self) -> Term | None:
        """The current term, which ends with the lease by the instance's own clock."""
        if self._term is not None and self.world.at > self._lease_until:
            self._term = None
        return self._term

    @property
    def term_seconds_left(self) -> float:
        """Seconds until the lease ends."""
        return self._lease_until - self.world.at if self.term is not None else 0.0

    async def _keep_lease(self) -> None:
        while True:
            await self.pass_gate()
            if self.reaches_store:
                self.cluster_state.note_era(self.world.store.era)
                revision = self.world.renew_lease(self)
                if revision is None:
                    if not self.lease_overrun:
                        self._term = None
                else:
                    until = self.world.at + LEASE_SECONDS - LEASE_MARGIN_SECONDS
                    self._lease_until = until + self.lease_overrun
                    if self._term != Term(revision):
                        self._term = Term(revision)
            self._order_counts()
            await asyncio.sleep(RENEW_SECONDS)

    def _order_counts(self) -> None:
        count_orders = self.duties.count_orders
        assert count_orders is not None
        count_orders.want(SERVICE, HERE, self.world.wanted_count, "test")

    async def stop(self) -> None:
        """End the process; what it knows is lost."""
        self._lease_task.cancel()
        await self.duties.stop()


class DutyWorld:
    """Instances, store, platform and network.

    :ivar loss: share of the messages between instances that are lost.
    """

    def __init__(self, names: Sequence[str], seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.loss = 0.0
        self.store = FakeStore()
        self.platform = FakePlatform()
        self.wanted_count = 3
        self.peers = tuple(Peer(EntryId(n), HERE, f"{n}:1") for n in names)
        self.truth_by_window: defaultdict[int, Counter[CustomerId]] = defaultdict(Counter)
        self._leader: tuple[DutyInstance, float, int] | None = None
        self._restored_at = float("-inf")
        self._write_delays: list[float] = []
        self._lost_writes = 0
        self.instances: dict[str, DutyInstance] = {}
        self._runs = 0

    @property
    def at(self) -> float:
        """Seconds since the start."""
        return self.loop.time()

    @property
    def leader(self) -> DutyInstance | None:
        """The instance that holds the lease in the store."""
        return self._leader[0] if self._leader is not None and self._leader[1] > self.at else None

    async def start(self, name: str, wall_offset: float | None = None) -> DutyInstance:
        """Start an instance, or replace one that was killed."""
        self._runs += 1
        offset = self.rng.uniform(-0.02, 0.02) if wall_offset is None else wall_offset
        self.instances[name] = instance = DutyInstance(self, name, self._runs, offset)
        await instance.duties.start()
        return instance

    async def kill(self, name: str) -> None:
        """End an instance; nothing that it sends any more arrives."""
        instance = self.instances.pop(name)
        instance.reaches_peers = instance.reaches_store = instance.reaches_platform = False
        await instance.stop()

    def renew_lease(self, instance: DutyInstance) -> int | None:
        """Renew or acquire the lease; return the revision of the term, None if another has it."""
        holder = self.leader
        if holder is instance and self._leader is not None:
            self._leader = (instance, self.at + LEASE_SECONDS, self._leader[2])
            return self._leader[2]
        if holder is not None or self.at - self._restored_at < LEASE_SECONDS:
            return None
        self._leader = (instance, self.at + LEASE_SECONDS, self.store.next_revision())
        return self._leader[2]

    def restore(self, older: StoreState) -> None:
        """Restore the store, which loses the lease."""
        self.store.restore(older)
        self._leader = None
        self._restored_at = self.at

    def delay_write(self, seconds: float) -> None:
        """Let the next write take effect late, after its sender has given up."""
        self._write_delays.append(seconds)

    def lose_write(self) -> None:
        """Let the next write take effect without an answer."""
        self._lost_writes += 1

    def take_write_delay(self) -> float:
        """Return the delay of a write, which is used up."""
        return self._write_delays.pop() if self._write_delays else 0.0

    def take_lost_write(self) -> bool:
        """Return whether the answer to a write is lost; it is used up."""
        was_lost = self._lost_writes > 0
        self._lost_writes -= was_lost
        return was_lost

    def send(self, sender: DutyInstance, address: str, message: UsageDatagram) -> None:
        """Deliver a message, unless it is lost; one to a paused instance waits."""
        datagram = CODEC.encode(message)
        assert datagram is not None
        if sender.is_paused or not sender.reaches_peers or self.rng.random() < self.loss:
            return
        self.loop.call_later(LATENCY_SECONDS, self._deliver, sender, address, datagram)

    def _deliver(self, sender: DutyInstance, address: str, datagram: bytes) -> None:
        target = self.instances.get(address.partition(":")[0])
        message = CODEC.decode(datagram)
        if target is None or not target.reaches_peers or message is None:
            return
        if target.is_paused:
            delay = target.paused_until - self.at
            self.loop.call_later(delay, self._deliver, sender, address, datagram)
            return
        target.duties.receive(message, sender.name)

    async def run(self, seconds: float, rate: float = 40.0) -> None:
        """Let upstreams begin requests at random times.

        :param rate: requests per second at all instances together.
        """
        until = self.at + seconds
        while (pause := self.rng.expovariate(rate)) < until - self.at:
            await asyncio.sleep(pause)
            awake = [i for i in self.instances.values() if not i.is_paused]
            if awake:
                customer = self.rng.choice(CUSTOMERS)
                self.rng.choice(awake).duties.count_begun(customer)
                self.truth_by_window[self.window][customer] += 1
        await asyncio.sleep(max(0.0, until - self.at))

    @property
    def window(self) -> int:
        """The present window."""
        return int((EPOCH + self.at) // WINDOW_SECONDS)

    def missing(self, first: int, last: int) -> list[int]:
        """Return the windows of a range whose reports were not accepted in time."""
        return [
            window
            for window in range(first, last + 1)
            if EPOCH + self.platform.accepted_at_by_window.get(window, float("inf"))
            > (window + 1) * WINDOW_SECONDS + LATE_SECONDS
        ]

    def error(self, window: int) -> float:
        """Return the relative error of the sum of the counts in a report."""
        counts = self.platform.reports_by_window[window].counts_by_customer
        truth = self.truth_by_window[window]
        return abs(sum(counts.values()) - truth.total()) / max(1, truth.total())

    def log_lines(self) -> list[str]:
        """Return the log lines of the running instances."""
        return [line for i in self.instances.values() for line in i.handler.lines]


@contextmanager
def virtual_runner() -> Iterator["asyncio.Runner"]:
    """Provide a runner in virtual time, which is the clock of the instances."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner, ExitStack() as patches:
        loop: Any = runner.get_loop()
        for module in CLOCKED_MODULES:
            patches.enter_context(mock.patch(f"cactuspass.fleet.{module}.now", loop.time))
        jitter = random.Random(1)
        patches.enter_context(
            mock.patch("cactuspass.fleet.duties._stored_counts.random.uniform", jitter.uniform)
        )
        yield runner
