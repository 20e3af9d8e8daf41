"""Batched writing of claims to the platform's store, within a budget of calls."""

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
UNAVAILABLE_SECONDS = 2.0
MAX_UNKNOWN_BATCHES = 2


@dataclass(slots=True)
class WriterCounts:
    """Totals since the start.

    :param calls: calls of the store, including those that create leases.
    :param writes: writes of single claims, counted again each time they are repeated.
    :param failures: calls that failed.
    """

    calls: int = 0
    writes: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class _DelayedWrite:
    due: float
    write: PendingWrite


class ClaimWriter:
    """Sends batches of writes to the store, one call at a time.

    Writes that are submitted during a call go into the next one. The store accepts or rejects
    a batch as a whole. If a key in it has changed, the writes of the other keys are repeated
    before any new ones.

    :param min_call_interval: shortest time between two calls, in seconds.
    :param max_batch_writes: maximum number of writes in one call.
    """

    def __init__(
        self, platform: Platform, min_call_interval: float, max_batch_writes: int = MAX_BATCH_WRITES
    ) -> None:
        self.counts = WriterCounts()
        self._platform = platform
        self._lease = ClaimLease(platform)
        self._min_call_interval = min_call_interval
        self._max_batch_writes = max_batch_writes
        self._new_writes: deque[PendingWrite] = deque()
        self._retries: deque[PendingWrite] = deque()
        self._delayed_writes: deque[_DelayedWrite] = deque()
        self._next_call_at = 0.0
        self._call_seconds = 0.0
        self._unavailable_until = 0.0
        self._unknown_batches = 0
        self._work_queued = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting_count(self) -> int:
        """Number of writes that are not part of a call under way."""
        return len(self._new_writes) + len(self._retries) + len(self._delayed_writes)

    @property
    def unavailable_seconds(self) -> float:
        """Seconds for which the store is still regarded as unavailable; 0 if it is available."""
        return max(0.0, self._unavailable_until - _now())

    @property
    def expected_send_delay(self) -> float:
        """Expected time until a write submitted now is sent, in seconds."""
        batches_ahead = (len(self._new_writes) + len(self._retries)) // self._max_batch_writes
        seconds_per_call = max(self._min_call_interval, self._call_seconds)
        return max(0.0, self._next_call_at - _now()) + batches_ahead * seconds_per_call

    def start(self) -> None:
        """Start sending writes."""
        self._task = asyncio.create_task(self._run())

    async def drain(self, seconds: float) -> bool:
        """Wait until all submitted writes are done.

        :return: False if that took longer than the given time.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop at once; waiting writes are not sent."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    def submit(self, write: PendingWrite) -> None:
        """Queue a write for the next call."""
        self._new_writes.append(write)
        self._idle.clear()
        self._work_queued.set()

    def remove(self, write: PendingWrite) -> None:
        """Remove a write from the queues; a write in a call under way is not affected."""
        for queue in (self._new_writes, self._retries):
            if write in queue:
                queue.remove(write)

    def set_platform_available(self, is_available: bool) -> None:
        """Record whether the store answered the last call of another part of the process."""
        if is_available:
            self._unavailable_until = 0.0
        else:
            self._mark_unavailable()

    async def _run(self) -> None:
        while True:
            await self._wait_for_work()
            await self._wait_for_call_time()
            batch = self._next_batch()
            if batch:
                started_at = _now()
                await self._write(batch)
                self._call_seconds = _now() - started_at

    async def _wait_for_work(self) -> None:
        while not self._new_writes and not self._retries:
            if not self._delayed_writes:
                self._idle.set()
            self._work_queued.clear()
            try:
                async with asyncio.timeout_at(self._next_due()):
                    await self._work_queued.wait()
            except TimeoutError:
                self._queue_due_writes()

    def _next_due(self) -> float | None:
        return self._delayed_writes[0].due if self._delayed_writes else None

    def _queue_due_writes(self) -> None:
        while self._delayed_writes and self._delayed_writes[0].due <= _now():
            self._new_writes.append(self._delayed_writes.popleft().write)

    async def _wait_for_call_time(self) -> None:
        await asyncio.sleep(max(0.0, self._next_call_at - _now()))
        self._queue_due_writes()

    def _record_call(self) -> None:
        self.counts.calls += 1
        self._next_call_at = _now() + self._min_call_interval

    def _next_batch(self) -> list[PendingWrite]:
        queue = self._retries or self._new_writes
        batch_by_key: dict[ClaimKey, PendingWrite] = {}
        skipped: list[PendingWrite] = []
        size = 0
        while queue and len(batch_by_key) < self._max_batch_writes:
            write = queue[0]
            if batch_by_key and size + len(write.value) > MAX_BATCH_BYTES:
                break
            queue.popleft()
            if write.key in batch_by_key:
                skipped.append(write)
                continue
            batch_by_key[write.key] = write
            size += len(write.value)
        queue.extendleft(reversed(skipped))
        return list(batch_by_key.values())

    async def _write(self, batch: Sequence[PendingWrite]) -> None:
        try:
            if self._lease.needs_new_lease:
                self._record_call()
                await self._lease.get_lease()
                await self._wait_for_call_time()
            self._record_call()
            self.counts.writes += len(batch)
            lease = await self._lease.get_lease()
            result = await self._platform.write([write.to_write(lease) for write in batch])
        except PlatformError as error:
            self._handle_failure(batch, error)
        else:
            self._unavailable_until = 0.0
            self._unknown_batches = 0
            self._apply_result(batch, result)

    def _apply_result(self, batch: Sequence[PendingWrite], result: WriteResult) -> None:
        for write in batch:
            current = result.current.values_by_key[write.key]
            if result.accepted:
                write.on_accepted(current.mod_revision)
            elif current.mod_revision == write.expected_revision:
                self._retries.append(write)
            else:
                self._requeue(write, write.on_rejected(current))

    def _handle_failure(self, batch: Sequence[PendingWrite], error: PlatformError) -> None:
        self.counts.failures += 1
        failure = _failure_of(error)
        if failure is Failure.REFUSED:
            self._lease.discard()
        if failure is Failure.UNKNOWN:
            self._unknown_batches += 1
        self._fail(batch, failure)
        if failure is Failure.UNREACHABLE or self._unknown_batches >= MAX_UNKNOWN_BATCHES:
            self._mark_unavailable()

    def _mark_unavailable(self) -> None:
        self._unavailable_until = _now() + UNAVAILABLE_SECONDS
        waiting_writes = list(chain(self._retries, self._new_writes))
        self._retries.clear()
        self._new_writes.clear()
        self._fail(waiting_writes, Failure.UNREACHABLE)

    def _fail(self, writes: Iterable[PendingWrite], failure: Failure) -> None:
        for write in writes:
            self._requeue(write, write.on_failed(failure))

    def _requeue(self, write: PendingWrite, next_try: NextTry) -> None:
        if next_try is NextTry.NOW:
            self._retries.append(write)
        elif next_try is NextTry.LATER:
            self._delayed_writes.append(_DelayedWrite(_now() + RETRY_SECONDS, write))


def _failure_of(error: PlatformError) -> Failure:
    if isinstance(error, OutcomeUnknown):
        return Failure.UNKNOWN
    if isinstance(error, PlatformUnavailable):
        return Failure.UNREACHABLE
    return Failure.REFUSED


def _now() -> float:
    return asyncio.get_running_loop().time()
