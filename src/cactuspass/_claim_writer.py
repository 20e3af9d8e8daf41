"""Writes claims to the platform's store in batches, within a budget of calls."""

import asyncio
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

from cactuspass._claim_lease import ClaimLease
from cactuspass._claim_writes import Failure, NextTry, PendingWrite
from cactuspass._claims import ClaimKey
from cactuspass._platform import Platform, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformError, PlatformUnavailable

MAX_BATCH_WRITES = 64
MAX_BATCH_BYTES = 512 * 1024
RETRY_SECONDS = 1.0
DOWN_SECONDS = 2.0
MAX_UNKNOWN_BATCHES = 2


@dataclass(slots=True)
class WriterCounts:
    """Totals since the start.

    :param calls: calls of the store, leases included.
    :param writes: changes of single claims, repeated ones counted again.
    """

    calls: int = 0
    writes: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class _Delayed:
    due: float
    write: PendingWrite


class ClaimWriter:
    """Makes one call of the store at a time; what arrives meanwhile shares the next one.

    A batch is made as a whole or not at all. When a key in it has changed, the writes of the
    other keys are repeated before any new ones.

    :param spacing: shortest time between two calls, in seconds.
    :param max_batch_writes: changes that share one call at most.
    """

    def __init__(
        self, platform: Platform, spacing: float, max_batch_writes: int = MAX_BATCH_WRITES
    ) -> None:
        self.counts = WriterCounts()
        self._platform = platform
        self._lease = ClaimLease(platform)
        self._spacing = spacing
        self._max_batch_writes = max_batch_writes
        self._new: deque[PendingWrite] = deque()
        self._repeated: deque[PendingWrite] = deque()
        self._delayed: deque[_Delayed] = deque()
        self._next_call_at = 0.0
        self._call_seconds = 0.0
        self._down_until = 0.0
        self._unknown_batches = 0
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Return the number of writes that are not in a call."""
        return len(self._new) + len(self._repeated) + len(self._delayed)

    @property
    def down_seconds(self) -> float:
        """Return for how long the store is taken to be away; 0 when it is not."""
        return max(0.0, self._down_until - _now())

    @property
    def seconds_to_send(self) -> float:
        """Return the time until a write submitted now is likely to be sent."""
        batches_before = (len(self._new) + len(self._repeated)) // self._max_batch_writes
        pace = max(self._spacing, self._call_seconds)
        return max(0.0, self._next_call_at - _now()) + batches_before * pace

    def start(self) -> None:
        """Begin to write."""
        self._task = asyncio.create_task(self._run())

    async def drain(self, seconds: float) -> bool:
        """Wait until everything is written.

        :return: False when the time was too short.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop at once; what waits is not written."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def submit(self, write: PendingWrite) -> None:
        """Queue a write for the next call."""
        self._new.append(write)
        self._idle.clear()
        self._wake.set()

    def take_back(self, write: PendingWrite) -> None:
        """Remove a write from the queue, unless it is in a call."""
        for queue in (self._new, self._repeated):
            if write in queue:
                queue.remove(write)

    def set_platform_available(self, is_available: bool) -> None:
        """Record whether the store answered the last call of another part of the process."""
        if is_available:
            self._down_until = 0.0
        else:
            self._note_down()

    async def _run(self) -> None:
        while True:
            await self._wait_for_work()
            await self._wait_for_turn()
            batch = self._take_batch()
            if batch:
                began = _now()
                await self._write(batch)
                self._call_seconds = _now() - began

    async def _wait_for_work(self) -> None:
        while not self._new and not self._repeated:
            if not self._delayed:
                self._idle.set()
            self._wake.clear()
            try:
                async with asyncio.timeout_at(self._next_due()):
                    await self._wake.wait()
            except TimeoutError:
                self._requeue_due()

    def _next_due(self) -> float | None:
        return self._delayed[0].due if self._delayed else None

    def _requeue_due(self) -> None:
        while self._delayed and self._delayed[0].due <= _now():
            self._new.append(self._delayed.popleft().write)

    async def _wait_for_turn(self) -> None:
        await asyncio.sleep(max(0.0, self._next_call_at - _now()))
        self._requeue_due()

    def _note_call(self) -> None:
        self.counts.calls += 1
        self._next_call_at = _now() + self._spacing

    def _take_batch(self) -> list[PendingWrite]:
        queue = self._repeated or self._new
        batch_by_key: dict[ClaimKey, PendingWrite] = {}
        left: list[PendingWrite] = []
        size = 0
        while queue and len(batch_by_key) < self._max_batch_writes:
            write = queue[0]
            if batch_by_key and size + len(write.value) > MAX_BATCH_BYTES:
                break
            queue.popleft()
            if write.key in batch_by_key:
                left.append(write)
                continue
            batch_by_key[write.key] = write
            size += len(write.value)
        queue.extendleft(reversed(left))
        return list(batch_by_key.values())

    async def _write(self, batch: Sequence[PendingWrite]) -> None:
        try:
            if self._lease.is_due:
                self._note_call()
                await self._lease.current()
                await self._wait_for_turn()
            self._note_call()
            self.counts.writes += len(batch)
            lease = await self._lease.current()
            result = await self._platform.write([write.to_write(lease) for write in batch])
        except PlatformError as error:
            self._note_failure(batch, error)
        else:
            self._down_until = 0.0
            self._unknown_batches = 0
            self._note_result(batch, result)

    def _note_result(self, batch: Sequence[PendingWrite], result: WriteResult) -> None:
        for write in batch:
            current = result.current.values_by_key[write.key]
            if result.accepted:
                write.accepted(current.mod_revision)
            elif current.mod_revision == write.expected_revision:
                self._repeated.append(write)
            else:
                self._queue_again(write, write.rejected(current))

    def _note_failure(self, batch: Sequence[PendingWrite], error: PlatformError) -> None:
        self.counts.failures += 1
        failure = _failure_of(error)
        if failure is Failure.REFUSED:
            self._lease.forget()
        if failure is Failure.UNKNOWN:
            self._unknown_batches += 1
        self._fail(batch, failure)
        if failure is Failure.UNREACHABLE or self._unknown_batches >= MAX_UNKNOWN_BATCHES:
            self._note_down()

    def _note_down(self) -> None:
        self._down_until = _now() + DOWN_SECONDS
        waiting = list(chain(self._repeated, self._new))
        self._repeated.clear()
        self._new.clear()
        self._fail(waiting, Failure.UNREACHABLE)

    def _fail(self, writes: Iterable[PendingWrite], failure: Failure) -> None:
        for write in writes:
            self._queue_again(write, write.failed(failure))

    def _queue_again(self, write: PendingWrite, next_try: NextTry) -> None:
        if next_try is NextTry.NOW:
            self._repeated.append(write)
        elif next_try is NextTry.LATER:
            self._delayed.append(_Delayed(_now() + RETRY_SECONDS, write))


def _failure_of(error: PlatformError) -> Failure:
    if isinstance(error, OutcomeUnknown):
        return Failure.UNKNOWN
    if isinstance(error, PlatformUnavailable):
        return Failure.UNREACHABLE
    return Failure.REFUSED


def _now() -> float:
    return asyncio.get_running_loop().time()
