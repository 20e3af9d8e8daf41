"""Leader election while the store is unavailable, fails or loses responses."""

import asyncio
import itertools
import unittest
from collections.abc import Callable, Sequence
from unittest import mock

from cactuspass._platform import KeyValue, LeaseId, Snapshot, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.fleet import _presence
from cactuspass.fleet._catalog import Catalog
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._presence import LEADER_KEY, Presence
from cactuspass.fleet._store import Changes, SharedStore
from cactuspass.fleet._sync import no_feed
from cactuspass.models import EntryId
from tests.fleet_path import recording_log
from tests.virtual_time import virtual_time


def clock() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


class MemoryStore(SharedStore):
    """A store in memory with leases, shared by all instances of a test.

    :ivar down: whether every call fails.
    :ivar lose_next_write: whether the next write of the leader key is made but raises
        ``OutcomeUnknown``.
    :ivar leases_lapse: whether leases end and delete their keys.
    """

    def __init__(self) -> None:
        self.keys: dict[str, tuple[bytes, int, LeaseId | None]] = {}
        self.revision = 1
        self.down = False
        self.lose_next_write = False
        self.leases_lapse = True
        self._until: dict[LeaseId, float] = {}
        self._next_lease = 1

    def check(self) -> None:
        """End the leases that are due, then raise if the store is down."""
        for lease, until in list(self._until.items()):
            if clock() > until and self.leases_lapse:
                del self._until[lease]
                self.keys = {k: v for k, v in self.keys.items() if v[2] != lease}
        if self.down:
            raise PlatformUnavailable("down")

    def key_value(self, key: str) -> KeyValue:
        """Return one key with its revision."""
        found = self.keys.get(key)
        return KeyValue(key, None, 0) if found is None else KeyValue(key, found[0], found[1])

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys."""
        self.check()
        return Snapshot({key: self.key_value(key) for key in keys}, self.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read the keys under a prefix."""
        self.check()
        found = {key: self.key_value(key) for key in self.keys if key.startswith(prefix)}
        return Snapshot(found, self.revision)

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Wait and return no changes."""
        await asyncio.sleep(wait)
        self.check()
        return Changes((), after_revision)

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes or none."""
        self.check()
        current = {write.key: self.key_value(write.key) for write in writes}
        if any(current[w.key].mod_revision != w.expected_mod_revision for w in writes):
            return WriteResult(False, Snapshot(current, self.revision))
        self.revision += 1
        for write in writes:
            if write.value is not None:
                self.keys[write.key] = (write.value, self.revision, write.lease)
        if self.lose_next_write and any(w.key == LEADER_KEY for w in writes):
            self.lose_next_write = False
            raise OutcomeUnknown("the response was lost")
        found = {write.key: self.key_value(write.key) for write in writes}
        return WriteResult(True, Snapshot(found, self.revision))

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease."""
        self.check()
        lease = LeaseId(self._next_lease)
        self._next_lease += 1
        self._until[lease] = clock() + seconds
        return lease

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease."""
        self.check()
        if lease not in self._until:
            return 0.0
        self._until[lease] = clock() + 2
        return 2.0

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        self.check()
        self._until.pop(lease, None)
        self.keys = {k: v for k, v in self.keys.items() if v[2] != lease}


class PresenceTest(unittest.TestCase):
    """At most one instance leads at any time, and a new one does soon after each failure."""

    async def start(
        self, store: MemoryStore, count: int, uses_feed: Callable[[], bool] = no_feed
    ) -> list[Presence]:
        self.patch = mock.patch.object(_presence, "now", clock)
        self.patch.start()
        self.addCleanup(self.patch.stop)
        instances = []
        for number in range(count):
            log, _ = recording_log()
            cluster_state = ClusterState(log)
            cluster_state.accept_catalog(Catalog(1))
            presence = Presence(
                store, EntryId(f"e{number}"), cluster_state, log, uses_feed=uses_feed
            )
            await presence.start()
            instances.append(presence)
        return instances

    async def stop(self, instances: list[Presence]) -> None:
        for presence in instances:
            await presence.stop()

    @staticmethod
    def leaders(instances: list[Presence]) -> list[Presence]:
        return [presence for presence in instances if presence.term is not None]

    @virtual_time
    async def test_one_of_three_leads(self) -> None:
        instances = await self.start(MemoryStore(), 3)
        await asyncio.sleep(12)
        self.assertEqual(len(self.leaders(instances)), 1)
        self.assertEqual(instances[0]._cluster_state.instance_count, 3)
        await self.stop(instances)

    @virtual_time
    async def test_instance_leads_only_when_it_reads_the_store_itself(self) -> None:
        uses_feed = True
        instances = await self.start(MemoryStore(), 2, lambda: uses_feed)
        await asyncio.sleep(6)
        self.assertEqual(self.leaders(instances), [])
        uses_feed = False
        await asyncio.sleep(6)
        self.assertEqual(len(self.leaders(instances)), 1)
        await self.stop(instances)

    @virtual_time
    async def test_another_instance_leads_after_the_leader_has_stopped(self) -> None:
        instances = await self.start(MemoryStore(), 3)
        await asyncio.sleep(2)
        [leader] = self.leaders(instances)
        assert leader.term is not None
        before = leader.term.first_epoch
        await leader.stop()
        others = [presence for presence in instances if presence is not leader]
        await asyncio.sleep(8)
        [successor] = self.leaders(others)
        assert successor.term is not None
        self.assertGreater(successor.term.first_epoch, before)
        await self.stop(others)

    @virtual_time
    async def test_another_instance_leads_although_keys_of_duties_change_all_the_time(self) -> None:
        # Guards against a missed end of the leader key that no listing of the keys shows, since
        # each watch returns changes.
        async def watch(prefix: str, after_revision: int, wait: float) -> Changes:
            await asyncio.sleep(1.0)
            store.check()
            changed = KeyValue("cactuspass/duties/usage-state", b"{}", after_revision + 1)
            return Changes((changed,), after_revision + 1)

        store = MemoryStore()
        with mock.patch.object(store, "watch", watch):
            instances = await self.start(store, 2)
            await asyncio.sleep(2)
            [leader] = self.leaders(instances)
            await leader.stop()
            others = [presence for presence in instances if presence is not leader]
            await asyncio.sleep(9)
            self.assertEqual(len(self.leaders(others)), 1)
            await self.stop(others)

    @virtual_time
    async def test_term_ends_by_the_own_clock_while_the_store_is_away(self) -> None:
        store = MemoryStore()
        instances = await self.start(store, 2)
        await asyncio.sleep(2)
        store.down = True
        await asyncio.sleep(2.1)
        self.assertEqual(self.leaders(instances), [])
        await self.stop(instances)

    @virtual_time
    async def test_holder_leads_again_when_its_key_outlived_the_outage(self) -> None:
        store = MemoryStore()
        store.leases_lapse = False
        instances = await self.start(store, 2)
        await asyncio.sleep(2)
        [leader] = self.leaders(instances)
        assert leader.term is not None
        before = leader.term.revision
        store.down = True
        await asyncio.sleep(4)
        self.assertEqual(self.leaders(instances), [])
        store.down = False
        await asyncio.sleep(2)
        [again] = self.leaders(instances)
        assert again.term is not None
        self.assertGreater(again.term.revision, before)
        await self.stop(instances)

    @virtual_time
    async def test_leader_key_is_read_after_the_response_to_its_write_is_lost(self) -> None:
        store = MemoryStore()
        store.lose_next_write = True
        instances = await self.start(store, 1)
        await asyncio.sleep(2)
        self.assertEqual(self.leaders(instances), instances)
        await self.stop(instances)

    @virtual_time
    async def test_watch_continues_after_an_unexpected_error(self) -> None:
        store = MemoryStore()
        read_prefix = store.read_prefix
        calls = itertools.count()

        async def fail_once(prefix: str) -> Snapshot:
            if next(calls) == 0:
                raise RuntimeError("unexpected")
            return await read_prefix(prefix)

        with mock.patch.object(store, "read_prefix", fail_once):
            instances = await self.start(store, 1)
            await asyncio.sleep(2)
        self.assertEqual(self.leaders(instances), instances)
        await self.stop(instances)

    @virtual_time
    async def test_drain_deletes_the_keys_at_once(self) -> None:
        store = MemoryStore()
        instances = await self.start(store, 1)
        await asyncio.sleep(2)
        await instances[0].drain()
        self.assertEqual(store.keys, {})
        await self.stop(instances)

    # Guards against an instance that has gone but stays registered for the length of its lease.
    @virtual_time
    async def test_drain_while_the_key_is_being_written_leaves_no_key(self) -> None:
        store = MemoryStore()
        write, is_written = store.write, asyncio.Event()

        async def write_slowly(writes: Sequence[Write]) -> WriteResult:
            result = await write(writes)
            is_written.set()
            await asyncio.sleep(0.5)
            return result

        with mock.patch.object(store, "write", write_slowly):
            instances = await self.start(store, 1)
            await is_written.wait()
            await instances[0].drain()
            await asyncio.sleep(1.0)
        self.assertEqual(store.keys, {})
        await self.stop(instances)


if __name__ == "__main__":
    unittest.main()
