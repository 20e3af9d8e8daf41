"""The table of blocks, which instances merge from states in any order."""

import itertools
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass.fleet.prompt_parts._block_table import MAX_BLOCKS, BlockTable
from cactuspass.fleet.prompt_parts._parts import Block
from cactuspass.models import CustomerId, EntryId, ModelId
from tests.part_world import UNIX_TIME, block_of, part_key, prompt

CUSTOMERS = st.sampled_from([(), (CustomerId("c1"),), (CustomerId("c2"),)])
STATES = st.builds(
    block_of,
    st.sampled_from(["aa", "bb", "cc"]),
    version=st.integers(1, 3),
    customers=CUSTOMERS,
    is_active=st.booleans(),
    since=st.sampled_from([UNIX_TIME, UNIX_TIME + 1]),
    seconds=st.sampled_from([600.0, 1200.0]),
    instances=st.sampled_from([(), (EntryId("i1"),)]),
    reason=st.sampled_from(["", "a trial"]),
)


def merged(blocks: list[Block]) -> dict[object, Block]:
    """Return the states that a table holds after some merges."""
    table = BlockTable()
    for block in blocks:
        table.merge(block)
    return {block.key: block for block in table.snapshot}


class MergeTest(unittest.TestCase):
    """Two tables that have received the same states are equal."""

    # Guards against two deciders after which instances hold different blocks.
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.lists(STATES, max_size=8), st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(self, blocks: list[Block], rng: object) -> None:
        other = blocks + blocks
        rng.shuffle(other)  # type: ignore[attr-defined]
        self.assertEqual(merged(blocks), merged(other))

    # Guards against instances that forget different blocks when there are too many.
    def test_full_tables_hold_the_same_blocks_whatever_the_order(self) -> None:
        blocks = [
            block_of(f"{number:04x}", since=UNIX_TIME + number) for number in range(MAX_BLOCKS + 50)
        ]
        expected = {block.key for block in blocks[50:]}
        self.assertEqual(set(merged(blocks)), expected)
        self.assertEqual(set(merged(blocks[::-1])), expected)

    # Guards against endless news of a block that a full table forgets as soon as it gets it.
    def test_block_that_a_full_table_does_not_keep_is_no_change(self) -> None:
        table = BlockTable()
        for number in range(MAX_BLOCKS):
            table.merge(block_of(f"{number:04x}", since=UNIX_TIME + number))
        before = table.snapshot
        self.assertFalse(table.merge(block_of("ffff", is_active=False, since=UNIX_TIME - 1)))
        self.assertIs(table.snapshot, before)

    # Guards against a block in force that is forgotten before one that has ended.
    def test_ended_blocks_are_forgotten_first(self) -> None:
        table = BlockTable()
        table.merge(block_of("aaaa", since=UNIX_TIME - 1))
        table.merge(block_of("bbbb", is_active=False, since=UNIX_TIME + 1000))
        for number in range(MAX_BLOCKS - 1):
            table.merge(block_of(f"{number:04x}", since=UNIX_TIME + number))
        parts = {"+".join(block.key.parts) for block in table.snapshot}
        self.assertEqual(len(parts), MAX_BLOCKS)
        self.assertIn("aaaa", parts)
        self.assertNotIn("bbbb", parts)


class FindTest(unittest.TestCase):
    """Which requests a block refuses."""

    # Guards against the refusal of requests that have only some of the parts that crash together.
    def test_request_must_have_all_parts_in_any_order(self) -> None:
        table = BlockTable()
        table.merge(block_of("bb", "dd"))
        refused = [
            parts
            for count in range(4)
            for parts in itertools.permutations(("aa", "bb", "dd"), count)
            if table.find(prompt(*parts)) is not None
        ]
        self.assertTrue(refused)
        self.assertTrue(all({"bb", "dd"} <= set(parts) for parts in refused))

    # Guards against the refusal of other customers, services and models.
    def test_block_holds_for_its_customers_and_model_only(self) -> None:
        table = BlockTable()
        table.merge(block_of("bb", customers=(CustomerId("c1"),)))
        found = prompt("bb", customer="c1")
        self.assertIsNotNone(table.find(found))
        self.assertIsNone(table.find(prompt("bb", customer="c2")))
        self.assertIsNone(table.find(replace(found, model=ModelId("small"))))
        self.assertTrue(table.is_blocked_elsewhere(replace(part_key("bb"), model=ModelId("small"))))
        self.assertFalse(table.is_blocked_elsewhere(part_key("bb")))

    # Guards against a block that goes on after it has ended.
    def test_ended_block_refuses_nothing(self) -> None:
        table = BlockTable()
        table.merge(block_of("bb"))
        table.merge(block_of("bb", version=2, is_active=False))
        table.merge(block_of("bb"))
        self.assertIsNone(table.find(prompt("bb")))
        self.assertEqual(table.active, [])

    # Guards against a block without parts, which would refuse everything.
    def test_block_without_parts_is_not_accepted(self) -> None:
        table = BlockTable()
        self.assertFalse(table.merge(block_of()))
        self.assertIsNone(table.find(prompt("bb")))


if __name__ == "__main__":
    unittest.main()
