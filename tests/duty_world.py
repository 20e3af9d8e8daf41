"""Instances with duties in virtual time, with a simulated network and lease of the leader.

Instances can be paused at each call and killed, and the store can lose its last changes.
"""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any, cast
from unittest import mock

from cactuspass.fleet._catalog import ScalingLimits
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._presence import Term
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties import (
    Duties,
)
from cactuspass.fleet.duties._usage_messages import CODEC, UsageDatagram
from cactuspass.models import CustomerId, DataCentreId, EntryId, ServiceId
from tests.duty_stand_ins import (
    LATENCY_SECONDS,
    SETTINGS,
    FakeCalls,
    FakePlatform,
    FakeStore,
    StoreClient,
    StoreState,
)
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
LEASE_SECONDS = 2.0
LEASE_MARGIN_SECONDS = 0.2
RENEW_SECONDS = 0.5
SERVICE = ServiceId("s1")
HERE = DataCentreId("here")
CUSTOMERS = [CustomerId("c1"), CustomerId("c2"), CustomerId("c3")]


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
