"""Blocks in the store: written by any instance, read by all, changed by operators."""

import asyncio
import json
import unittest
from collections.abc import Sequence
from unittest import mock

from cactuspass._platform import KeyValue, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformError, PlatformUnavailable
from cactuspass.fleet.prompt_parts import _block_store
from cactuspass.fleet.prompt_parts._block_store import (
    BlockStore,
    decode_block,
    encode_block,
    store_key,
)
from cactuspass.fleet.prompt_parts._block_table import MAX_BLOCKS, BlockTable
from cactuspass.fleet.prompt_parts._parts import Block
from tests.fleet_path import RecordingHandler, recording_log
from tests.part_world import block_of, prompt
from tests.test_fleet_presence import MemoryStore
from tests.virtual_time import virtual_time

KNOWN = block_of("bb")
STORE_KEY = store_key(KNOWN.key)


class FaultyStore(MemoryStore):
    """A store whose next writes fail, or are made before the response is lost.

    :ivar failures: writes that fail without effect.
    :ivar lost_answers: writes that take effect and raise ``OutcomeUnknown``.
    :ivar rival: a value that another instance writes just before the next write.
    """

    def __init__(self) -> None:
        super().__init__()
        self.failures = 0
        self.lost_answers = 0
        self.rival: bytes | None = None
        self.write_count = 0

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes or none."""
        self.write_count += 1
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("down")
        if self.rival is not None:
            self.revision += 1
            self.keys[writes[0].key] = (self.rival, self.revision, None)
            self.rival = None
        result = await super().write(writes)
        if self.lost_answers:
            self.lost_answers -= 1
            raise OutcomeUnknown("the response was lost")
        return result


class WriteTest(unittest.TestCase):
    """Changes that an instance makes."""

    def start(self, store: FaultyStore) -> tuple[BlockStore, list[Block], RecordingHandler]:
        """Return the component, the blocks that it has read, and its log."""
        read: list[Block] = []
        log, handler = recording_log()
        return BlockStore(store, read.append, log), read, handler

    def stored(self, store: FaultyStore) -> Block:
        """Return the block that the store holds."""
        return decode_block(STORE_KEY, store.keys[STORE_KEY][0])

    # Guards against blocks that are never stored because the store rejects another one.
    @virtual_time
    async def test_block_that_is_rejected_does_not_delay_the_others(self) -> None:
        store = FaultyStore()
        rejected = block_of("aa")
        write = store.write

        async def reject(writes: Sequence[Write]) -> WriteResult:
            if writes[0].key == store_key(rejected.key):
                raise PlatformError("the value is too large")
            return await write(writes)

        blocks, _, _ = self.start(store)
        blocks.write_later(rejected)
        blocks.write_later(KNOWN)
        with mock.patch.object(store, "write", reject):
            for _ in range(3):
                await blocks.step()
        self.assertEqual(self.stored(store), KNOWN)

    # Guards against a block that is lost because the store was away when it was made.
    @virtual_time
    async def test_block_is_written_once_the_store_is_back(self) -> None:
        store = FaultyStore()
        store.failures = 5
        blocks, _, handler = self.start(store)
        blocks.write_later(KNOWN)
        for _ in range(6):
            await blocks.step()
        self.assertEqual(self.stored(store), KNOWN)
        self.assertIn("block-not-stored", "".join(handler.lines))

    # Guards against a write that is repeated all the time, or undone, after its response was lost.
    @virtual_time
    async def test_write_with_a_lost_response_is_not_made_again(self) -> None:
        store = FaultyStore()
        store.lost_answers = 1
        blocks, _, _ = self.start(store)
        blocks.write_later(KNOWN)
        await blocks.step()
        await blocks.step()
        self.assertEqual((self.stored(store), store.revision), (KNOWN, 2))

    # Guards against an older state that replaces a later one of another instance.
    @virtual_time
    async def test_later_state_of_another_instance_is_kept_and_read(self) -> None:
        store = FaultyStore()
        later = block_of("bb", version=2, is_active=False)
        store.rival = encode_block(later)
        blocks, read, _ = self.start(store)
        blocks.write_later(KNOWN)
        await blocks.step()
        self.assertEqual((self.stored(store), read), (later, [later]))

    # Guards against a later state that gives way to an older one of another instance.
    @virtual_time
    async def test_older_state_of_another_instance_is_replaced(self) -> None:
        store = FaultyStore()
        store.rival = encode_block(KNOWN)
        blocks, _, _ = self.start(store)
        later = block_of("bb", version=2, is_active=False)
        blocks.write_later(later)
        await blocks.step()
        self.assertEqual(self.stored(store), later)

    # Guards against an unreadable value that prevents all later changes of a block.
    @virtual_time
    async def test_unreadable_value_is_reported_and_replaced(self) -> None:
        store = FaultyStore()
        store.rival = b"{not a block"
        blocks, _, handler = self.start(store)
        blocks.write_later(KNOWN)
        await blocks.step()
        self.assertEqual(self.stored(store), KNOWN)
        self.assertIn("document-unreadable", "".join(handler.lines))

    # Guards against memory that grows while the store is away.
    @virtual_time
    async def test_pending_changes_are_bounded(self) -> None:
        store = FaultyStore()
        blocks, _, _ = self.start(store)
        for number in range(3 * MAX_BLOCKS):
            blocks.write_later(block_of(f"{number:04x}"))
        for _ in range(MAX_BLOCKS):
            await blocks.step()
        self.assertEqual(len(store.keys), MAX_BLOCKS)

    # Guards against a change of a block that is lost because it was made during a write.
    @virtual_time
    async def test_change_during_a_write_is_written_next(self) -> None:
        store = FaultyStore()
        blocks, _, _ = self.start(store)
        later = block_of("bb", version=2, is_active=False)
        blocks.write_later(KNOWN)
        with mock.patch.object(_block_store, "WRITE_INTERVAL_SECONDS", 0.0):
            writing = asyncio.create_task(blocks.step())
            blocks.write_later(later)
            await writing
            if self.stored(store) != later:
                await blocks.step()
        self.assertEqual(self.stored(store), later)

    # Guards against an alarm for a key that an operator has deleted.
    @virtual_time
    async def test_key_that_was_deleted_meanwhile_is_written_again(self) -> None:
        store = FaultyStore()
        store.rival = encode_block(KNOWN)
        blocks, _, handler = self.start(store)
        later = block_of("bb", version=2)
        blocks.write_later(later)
        write = store.write

        async def write_and_delete(writes: Sequence[Write]) -> WriteResult:
            result = await write(writes)
            if not result.accepted:
                store.keys.pop(STORE_KEY, None)
            return result

        with mock.patch.object(store, "write", write_and_delete):
            await blocks.step()
        self.assertEqual(self.stored(store), later)
        self.assertNotIn("document-unreadable", "".join(handler.lines))


class ReadTest(unittest.TestCase):
    """Blocks that other instances or operators have written."""

    def setUp(self) -> None:
        log, self.handler = recording_log()
        self.table = BlockTable()
        self.reads = 0
        self.blocks = BlockStore(MemoryStore(), self.read, log)

    def read(self, block: Block) -> None:
        """Count and merge a block."""
        self.reads += 1
        self.table.merge(block)

    def accept(self, value: bytes, revision: int) -> None:
        """Let the keys of the instances be read."""
        other = KeyValue("cactuspass/other", b"x", 1)
        found = {STORE_KEY: KeyValue(STORE_KEY, value, revision), other.key: other}
        self.blocks.accept_keys(found)

    # Guards against an instance that has just started and sends what the others refuse.
    def test_block_is_in_force_after_the_first_read_of_the_keys(self) -> None:
        self.accept(encode_block(KNOWN), 5)
        self.assertIsNotNone(self.table.find(prompt("bb")))
        self.accept(encode_block(KNOWN), 5)
        self.assertEqual(self.reads, 1)

    # Guards against a block that an operator cannot end.
    def test_operator_ends_a_block_by_its_key(self) -> None:
        self.accept(encode_block(KNOWN), 5)
        document = json.loads(encode_block(KNOWN))
        document |= {"version": 2, "is_active": False, "reason": "ended by an operator"}
        self.accept(json.dumps(document).encode(), 6)
        self.assertIsNone(self.table.find(prompt("bb")))

    # Guards against an operator's mistake that stops the reading of all keys.
    def test_unreadable_value_is_reported_and_the_rest_is_read(self) -> None:
        bad = KeyValue(f"{_block_store.BLOCKS_PREFIX}a", b"{}", 3)
        good = KeyValue(STORE_KEY, encode_block(KNOWN), 4)
        self.blocks.accept_keys({bad.key: bad, good.key: good})
        self.assertIsNotNone(self.table.find(prompt("bb")))
        self.assertIn("document-unreadable", "".join(self.handler.lines))


class RepairTest(unittest.TestCase):
    """Blocks that the leader knows, and that the store does not have."""

    def start(self, store: FaultyStore, is_leader: bool = True) -> tuple[BlockStore, BlockTable]:
        """Return the component and the blocks that its instance knows."""
        table = BlockTable()
        log, _ = recording_log()
        return BlockStore(store, table.merge, log, lambda: table.snapshot, lambda: is_leader), table

    async def write_pending(self, blocks: BlockStore) -> None:
        """Write the changes that are pending."""
        while blocks.has_pending:
            await blocks.step()

    # Guards against a block, or its end, that is lost when all instances restart: the store was
    # away when it was made, and the instance that had made it ended before the store was back.
    @virtual_time
    async def test_leader_writes_what_no_other_instance_has_written(self) -> None:
        ended = block_of("bb", version=2, is_active=False)
        for known, stored in ((KNOWN, None), (ended, KNOWN)):
            with self.subTest(version=known.version):
                store = FaultyStore()
                blocks, table = self.start(store)
                table.merge(known)
                if stored is not None:
                    store.keys[STORE_KEY] = (encode_block(stored), 1, None)
                    store.revision = 1
                blocks.accept_keys((await store.read_prefix("")).values_by_key)
                await self.write_pending(blocks)
                self.assertEqual(decode_block(STORE_KEY, store.keys[STORE_KEY][0]), known)

    # Guards against writes of all instances, or again after each read of the keys.
    @virtual_time
    async def test_one_instance_writes_it_once(self) -> None:
        store = FaultyStore()
        leader, table = self.start(store)
        other, other_table = self.start(store, is_leader=False)
        table.merge(KNOWN)
        other_table.merge(KNOWN)
        for _ in range(3):
            keys = (await store.read_prefix("")).values_by_key
            leader.accept_keys(keys)
            other.accept_keys(keys)
            await self.write_pending(leader)
        self.assertEqual((store.write_count, other.has_pending), (1, False))

    # Guards against a later state in the store that the leader overwrites.
    @virtual_time
    async def test_later_state_in_the_store_is_kept(self) -> None:
        store = FaultyStore()
        later = block_of("bb", version=2, is_active=False)
        store.keys[STORE_KEY] = (encode_block(later), 1, None)
        blocks, table = self.start(store)
        table.merge(KNOWN)
        blocks.accept_keys((await store.read_prefix("")).values_by_key)
        self.assertEqual((blocks.has_pending, table.get(KNOWN.key)), (False, later))


if __name__ == "__main__":
    unittest.main()
