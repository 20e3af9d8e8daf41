"""In-memory fakes of the package's interfaces, for tests and benchmarks."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum, auto

from cactuspass._platform import KeyValue, LeaseId, Platform, Snapshot, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformError, PlatformUnavailable


class Fault(Enum):
    """Simulated outcome of one call of the fake platform."""

    NONE = auto()
    UNAVAILABLE = auto()
    ANSWER_LOST = auto()
    REQUEST_LOST = auto()
    DELAYED = auto()


@dataclass
class CallCounts:
    """Number of calls that the fake platform received."""

    reads: int = 0
    writes: int = 0
    leases: int = 0


class MemoryPlatform(Platform):
    """In-memory store whose faults can be set for each call.

    The outcome of a delayed write is reported as unknown; :meth:`apply_delayed` executes it.

    :ivar faults: faults of the next calls, in order; when it is empty, ``choose_fault`` is
        called, which returns ``default_fault`` unless it is replaced.
    :ivar latency: duration of each call in seconds; 0 by default.
    :ivar before_write: called before each write is applied.
    :ivar before_timeout: called before a write is reported as unknown without being applied.
    """

    def __init__(self) -> None:
        self.stored_by_key: dict[str, KeyValue] = {}
        self.leases_by_key: dict[str, LeaseId | None] = {}
        self.live_leases: set[LeaseId | None] = {None}
        self.faults: deque[Fault] = deque()
        self.default_fault = Fault.NONE
        self.choose_fault: Callable[[], Fault] = lambda: self.default_fault
        self.delayed: list[tuple[Write, ...]] = []
        self.latency = 0.0
        self.counts = CallCounts()
        self.revision = 1
        self.before_write: Callable[[], object] = lambda: None
        self.before_timeout: Callable[[], object] = lambda: None

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Return the keys as of one revision."""
        self.counts.reads += 1
        await self._wait()
        if self._next_fault() is not Fault.NONE:
            raise PlatformUnavailable("fake outage")
        snapshot = self.snapshot(keys)
        if not keys_only:
            return snapshot
        without_values = {
            key: replace(item, value=None) for key, item in snapshot.values_by_key.items()
        }
        return Snapshot(without_values, snapshot.revision)

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Apply all writes or none, with the next fault."""
        self.counts.writes += 1
        assert len({write.key for write in writes}) == len(writes), "duplicate key in one call"
        await self._wait()
        fault = self._next_fault()
        if fault is Fault.UNAVAILABLE:
            raise PlatformUnavailable("fake outage")
        if fault is Fault.DELAYED:
            self.delayed.append(tuple(writes))
        if fault in (Fault.DELAYED, Fault.REQUEST_LOST):
            self.before_timeout()
            raise OutcomeUnknown("fake timeout")
        if any(write.lease not in self.live_leases for write in writes):
            raise PlatformError("fake lease not found")
        result = self.apply(writes)
        if fault is Fault.ANSWER_LOST:
            raise OutcomeUnknown("fake lost answer")
        return result

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Return a new lease, which never expires."""
        self.counts.leases += 1
        await self._wait()
        if self._next_fault() is not Fault.NONE:
            raise PlatformUnavailable("fake outage")
        lease = LeaseId(self.counts.leases)
        self.live_leases.add(lease)
        return lease

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Return a fixed remaining lifetime, in seconds."""
        return 60.0

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        self.live_leases.discard(lease)
        keys = [key for key, owner in self.leases_by_key.items() if owner == lease]
        for key in keys:
            del self.stored_by_key[key]

    def snapshot(self, keys: Sequence[str]) -> Snapshot:
        """Return the stored values of the keys."""
        found = {key: self.stored_by_key.get(key, KeyValue(key, None, 0)) for key in keys}
        return Snapshot(found, self.revision)

    def apply(self, writes: Sequence[Write]) -> WriteResult:
        """Apply all writes, or none if a key is not at its expected revision."""
        self.before_write()
        keys = [write.key for write in writes]
        before = self.snapshot(keys).values_by_key
        if any(before[write.key].mod_revision != write.expected_mod_revision for write in writes):
            return WriteResult(False, self.snapshot(keys))
        self.revision += 1
        for write in writes:
            self._put(write)
        return WriteResult(True, self.snapshot(keys))

    def apply_delayed(self) -> None:
        """Apply the oldest delayed write."""
        self.apply(self.delayed.pop(0))

    def _put(self, write: Write) -> None:
        if write.value is None:
            self.stored_by_key.pop(write.key, None)
            return
        self.stored_by_key[write.key] = KeyValue(write.key, write.value, self.revision)
        self.leases_by_key[write.key] = write.lease

    def _next_fault(self) -> Fault:
        return self.faults.popleft() if self.faults else self.choose_fault()

    async def _wait(self) -> None:
        await asyncio.sleep(self.latency)
