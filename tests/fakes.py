"""Fakes at the package's interfaces, for the tests and the measurements."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum, auto

from cactuspass._platform import KeyValue, LeaseId, Platform, Snapshot, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformError, PlatformUnavailable


class Fault(Enum):
    """What happens to one call of the fake platform."""

    NONE = auto()
    UNAVAILABLE = auto()
    ANSWER_LOST = auto()
    REQUEST_LOST = auto()
    DELAYED = auto()


@dataclass
class CallCounts:
    """Calls that the fake platform received."""

    reads: int = 0
    writes: int = 0
    leases: int = 0


class MemoryPlatform(Platform):
    """A store in memory, whose faults are scripted call by call.

    A delayed write is reported as unknown and takes effect in :meth:`apply_delayed`.

    :ivar faults: faults of the next calls, oldest first; afterwards ``choose_fault`` is asked,
        which gives ``default_fault`` unless it is replaced.
    :ivar latency: seconds that each call takes; by default calls do not wait.
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
        """Read keys at one revision."""
        self.counts.reads += 1
        await self._wait()
        if self._next_fault() is not Fault.NONE:
            raise PlatformUnavailable("fake outage")
        snapshot = self.snapshot(keys)
        if not keys_only:
            return snapshot
        bare = {key: replace(item, value=None) for key, item in snapshot.values_by_key.items()}
        return Snapshot(bare, snapshot.revision)

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes or none, with the fault that is due."""
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
        """Return a new lease, which never ends by itself."""
        self.counts.leases += 1
        await self._wait()
        if self._next_fault() is not Fault.NONE:
            raise PlatformUnavailable("fake outage")
        lease = LeaseId(self.counts.leases)
        self.live_leases.add(lease)
        return lease

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Return a fixed remaining life."""
        return 60.0

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self.live_leases.discard(lease)
        keys = [key for key, owner in self.leases_by_key.items() if owner == lease]
        for key in keys:
            del self.stored_by_key[key]

    def snapshot(self, keys: Sequence[str]) -> Snapshot:
        """Return the keys as stored."""
        found = {key: self.stored_by_key.get(key, KeyValue(key, None, 0)) for key in keys}
        return Snapshot(found, self.revision)

    def apply(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes, or none when a key is not as expected."""
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
        """Let the oldest delayed write reach the store."""
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
