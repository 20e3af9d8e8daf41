"""Memory use with slow readers and slow upstreams, and its effect on the other callers.

The benchmark runs the product's answer queues and memory budgets in virtual time.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from cactuspass._answer_memory import AnswerMemory
from cactuspass._byte_queue import ByteQueue, BytesAccount, UnboundedAccount
from cactuspass._counters import Counters as DaemonCounters
from cactuspass._memory import MemoryBudget, MemoryLedger
from cactuspass._requests import CallerRequest
from cactuspass.exceptions import AnswerCut
from cactuspass.models import CustomerId, Priority, RequestId
from tests.virtual_time import VirtualLoop

KIBIBYTE = 1024
TIGHT = MemoryBudget(node_bytes=2048 * KIBIBYTE, stream_bytes=256 * KIBIBYTE)
ROOMY = MemoryBudget(node_bytes=128 * 1024 * KIBIBYTE, stream_bytes=256 * KIBIBYTE)
CALLERS = 200
SLOW_EVERY = 10
STOPPED_EVERY = 3
UPSTREAMS = 10
CHUNK_BYTES = 8 * KIBIBYTE
SHORT_BYTES = 8 * KIBIBYTE
LONG_BYTES = 512 * KIBIBYTE
UPSTREAM_BYTES_PER_SECOND = 64 * KIBIBYTE
READER_BYTES_PER_SECOND = 512 * KIBIBYTE
SLOW_SHARE = 0.01
STOPPED_AFTER_BYTES = 16 * KIBIBYTE
SLOW_UPSTREAM_NUMBER = 0
LONG_SHARE = 0.5
SAMPLE_SECONDS = 0.05
UNBOUNDED_BYTES = 1 << 50


@dataclass(frozen=True, slots=True)
class Load:
    """Load profile of one run.

    :param has_slow_readers: whether a tenth of the callers read slowly or stop reading.
    :param has_slow_upstream: whether one upstream sends at a hundredth of the usual rate.
    :param is_bounded: whether queues have budgets.
    """

    name: str
    has_slow_readers: bool
    has_slow_upstream: bool
    budget: MemoryBudget = TIGHT
    is_bounded: bool = True


PLAIN = Load("all fast", has_slow_readers=False, has_slow_upstream=False)
SLOW_READERS = Load("a tenth of the readers slow", has_slow_readers=True, has_slow_upstream=False)
SLOW_UPSTREAM = Load("one upstream slow too", has_slow_readers=True, has_slow_upstream=True)
ROOMY_READERS = Load("a tenth of the readers slow, default budgets", True, False, ROOMY)
UNBOUNDED = Load("no budgets or pauses", True, True, is_bounded=False)


@dataclass(frozen=True, slots=True)
class MemoryFigures:
    """Figures of one run.

    :param peak_over_budget: most bytes held at once, over the budget.
    :param goodput: bytes/s read by the callers that are slow in no profile, and whose upstream
        is slow in no profile.
    :param cut_stopped: aborted answers of readers that stopped.
    :param cut_slow: aborted answers of slow readers that went on reading.
    :param cut_others: aborted answers of all other callers.
    """

    load: Load
    seconds: float
    peak_over_budget: float
    goodput: float
    cut_stopped: int
    cut_slow: int
    cut_others: int


class Pace(Enum):
    """Reading behaviour of a caller; one that stops does so in each answer."""

    FAST = "fast"
    SLOW = "slow"
    STOPS = "stops"


@dataclass(slots=True)
class Caller:
    """A caller, which sends the next request as soon as its answer has ended.

    :param is_counted: whether it counts for the goodput: neither it nor its upstream is slow in
        any profile.
    """

    number: int
    upstream: int
    pace: Pace
    is_counted: bool
    rng: random.Random = field(repr=False)


class MemorySimulation:
    """Simulation of all callers and upstreams of one run."""

    def __init__(self, load: Load, seconds: float, seed: int) -> None:
        self.load = load
        self.seconds = seconds
        loop = asyncio.get_running_loop()
        self.memory = AnswerMemory(MemoryLedger(load.budget), loop.time, DaemonCounters())
        self.queues_by_request: dict[RequestId, ByteQueue] = {}
        self.numbers = count()
        self.peak = 0
        self.good_bytes = 0
        self.cuts: Counter[Pace] = Counter()
        self.callers = list(self._callers(seed))

    def _callers(self, seed: int) -> Iterator[Caller]:
        """Return the callers; their numbers decide which of them are slow."""
        for number in range(CALLERS):
            may_be_slow = number % SLOW_EVERY == 0
            pace = Pace.FAST
            if may_be_slow and self.load.has_slow_readers:
                stops = number // SLOW_EVERY % STOPPED_EVERY == 0
                pace = Pace.STOPS if stops else Pace.SLOW
            upstream = number // SLOW_EVERY % UPSTREAMS
            is_counted = not may_be_slow and upstream != SLOW_UPSTREAM_NUMBER
            rng = random.Random(seed * CALLERS + number)
            yield Caller(number, upstream, pace, is_counted, rng)

    async def run(self) -> MemoryFigures:
        """Run for ``self.seconds`` and return the figures."""
        await self.memory.start()
        tasks = [asyncio.create_task(self._call_forever(caller)) for caller in self.callers]
        tasks.append(asyncio.create_task(self._sample_forever()))
        await asyncio.sleep(self.seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.memory.stop()
        return MemoryFigures(
            self.load,
            self.seconds,
            self.peak / self.load.budget.node_bytes,
            self.good_bytes / self.seconds,
            self.cuts[Pace.STOPS],
            self.cuts[Pace.SLOW],
            self.cuts[Pace.FAST],
        )

    async def _sample_forever(self) -> None:
        """Record the peak of the bytes held in all queues."""
        while True:
            held = sum(queue.held_bytes for queue in self.queues_by_request.values())
            self.peak = max(self.peak, held)
            await asyncio.sleep(SAMPLE_SECONDS)

    async def _call_forever(self, caller: Caller) -> None:
        """Request short and long answers at random, one after another."""
        await asyncio.sleep(caller.rng.random())
        while True:
            size = LONG_BYTES if caller.rng.random() < LONG_SHARE else SHORT_BYTES
            await self._call(caller, size)

    async def _call(self, caller: Caller, size: int) -> None:
        """Request one answer and read it."""
        request_id = RequestId(f"r{next(self.numbers)}")
        queue = self._queue(request_id, caller)
        self.queues_by_request[request_id] = queue
        sending = asyncio.create_task(self._send(caller, queue, size))
        queue.on_cancel(sending.cancel)
        try:
            await self._read(caller, queue)
        except AnswerCut:
            self.cuts[caller.pace] += 1
        finally:
            queue.cancel(AnswerCut("the caller has disconnected"))
            del self.queues_by_request[request_id]

    def _queue(self, request_id: RequestId, caller: Caller) -> ByteQueue:
        if not self.load.is_bounded:
            return ByteQueue(UNBOUNDED_BYTES, UnboundedAccount())
        return ByteQueue(self.load.budget.stream_bytes, self._account(request_id, caller))

    def _account(self, request_id: RequestId, caller: Caller) -> BytesAccount:
        request = CallerRequest(
            request_id,
            CustomerId(f"c{caller.number % SLOW_EVERY}"),
            "m",
            "POST",
            "/v1/completions",
            (),
            b"",
            tokens=1,
            priority=Priority.NORMAL,
            deadline=self.seconds,
            repeatable=True,
        )
        return self.memory.account_for(request)

    async def _send(self, caller: Caller, queue: ByteQueue, size: int) -> None:
        """Put an answer into its queue at the upstream's rate."""
        is_slow = self.load.has_slow_upstream and caller.upstream == SLOW_UPSTREAM_NUMBER
        bytes_per_second = UPSTREAM_BYTES_PER_SECOND * (SLOW_SHARE if is_slow else 1.0)
        for _ in range(size // CHUNK_BYTES):
            await asyncio.sleep(CHUNK_BYTES / bytes_per_second)
            await queue.put(bytes(CHUNK_BYTES))
        queue.finish()

    async def _read(self, caller: Caller, queue: ByteQueue) -> None:
        """Read an answer at the caller's rate."""
        is_fast = caller.pace is Pace.FAST
        bytes_per_second = READER_BYTES_PER_SECOND * (1.0 if is_fast else SLOW_SHARE)
        read_bytes = 0
        async for data in queue.chunks():
            read_bytes += len(data)
            if caller.pace is Pace.STOPS and read_bytes >= STOPPED_AFTER_BYTES:
                await _until_cancelled(queue)
            await asyncio.sleep(len(data) / bytes_per_second)
            if queue.cancelled:
                raise AnswerCut("the queue of the answer was cancelled")
            if caller.is_counted:
                self.good_bytes += len(data)


async def _until_cancelled(queue: ByteQueue) -> None:
    """Wait, without reading, until the queue is cancelled."""
    cancelled = asyncio.Event()
    queue.on_cancel(cancelled.set)
    await cancelled.wait()


def run(quick: bool) -> tuple[MemoryFigures, ...]:
    """Run each load profile.

    :param quick: whether to simulate 15 s instead of 30 s.
    """
    seconds = 15.0 if quick else 30.0
    loads = (PLAIN, SLOW_READERS, SLOW_UPSTREAM, ROOMY_READERS, UNBOUNDED)
    return tuple(_run(load, seconds) for load in loads)


def _run(load: Load, seconds: float) -> MemoryFigures:
    """Run one load profile in virtual time."""

    async def measure() -> MemoryFigures:
        return await MemorySimulation(load, seconds, seed=1).run()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(measure())


if __name__ == "__main__":
    for row in run(quick=False):
        print(row)
