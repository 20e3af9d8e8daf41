"""Tests of the operators' changes and of the configuration in force."""

import unittest
from functools import reduce

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._configuration import (
    KEPT_CANCELLED,
    KEPT_OPERATIONS,
    declare,
    merge_take_outs,
    remove_declaration,
    return_target,
    take_out,
)
from cactuspass._in_force import (
    ConfigurationSystem,
    InForce,
    base_for_write,
    is_ready,
    is_taken_out,
    where_in_force,
)
from cactuspass._membership import MembershipSystem
from cactuspass._messages import (
    AlarmChanged,
    AlarmKind,
    ConfigurationRead,
    InstancesListed,
    Order,
    TakeOutsReceived,
)
from cactuspass._tables import EntryRow
from cactuspass.exceptions import ConfigurationConflict, ConfigurationError
from cactuspass.models import (
    Configuration,
    EntryId,
    GroupDeclaration,
    Incarnation,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    KindId,
    ModelId,
    OperationId,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)
from tests.holding_tables import DATA_CENTRE, make_tables

UPSTREAM = TakeOutKind.UPSTREAM
E1, E2, E3 = EntryId("e1"), EntryId("e2"), EntryId("e3")


def operation(number: int) -> OperationId:
    return OperationId(f"o{number}")


def out(tag: str, target: str = "u1") -> TakeOut:
    return TakeOut(TakeOutTag(tag), UPSTREAM, target)


def declaration(name: str = "draft", size: int = 2) -> GroupDeclaration:
    return GroupDeclaration(name, DATA_CENTRE, ModelId("m"), KindId("draft"), size)


class ChangeTest(unittest.TestCase):
    def test_each_change_is_a_revision_with_its_operation(self) -> None:
        changed = declare(Configuration(), declaration(), operation(1), seen_revision=0)
        self.assertEqual((changed.revision, changed.operations), (1, (operation(1),)))
        removed = remove_declaration(changed, "draft", operation(2), seen_revision=1)
        self.assertEqual((removed.revision, removed.declarations_by_name), (2, {}))

    def test_committed_operation_is_recognised_and_not_repeated(self) -> None:
        changed = declare(Configuration(), declaration(), operation(1), seen_revision=0)
        self.assertIs(declare(changed, declaration(), operation(1), seen_revision=0), changed)
        self.assertIs(remove_declaration(changed, "draft", operation(1)), changed)
        self.assertIs(take_out(changed, out("t1"), operation(1)), changed)
        self.assertIs(return_target(changed, UPSTREAM, "u1", (), operation(1)), changed)

    def test_loser_of_a_race_learns_what_was_committed(self) -> None:
        changed = declare(Configuration(), declaration(), operation(1), seen_revision=0)
        changed = declare(changed, declaration("other"), operation(2))
        with self.assertRaises(ConfigurationConflict) as caught:
            declare(changed, declaration(size=3), operation(3), seen_revision=1)
        self.assertEqual(caught.exception.operations, (operation(2),))
        with self.assertRaises(ConfigurationConflict):
            remove_declaration(changed, "draft", operation(3), seen_revision=1)

    def test_unknown_declaration_cannot_be_removed(self) -> None:
        with self.assertRaises(ConfigurationError):
            remove_declaration(Configuration(), "draft", operation(1))

    def test_return_cancels_only_the_take_outs_that_it_has_seen(self) -> None:
        start = Configuration()
        orders = (out("t1"), out("t2"), out("t3", "u2"))
        start = merge_take_outs(start, orders, operation(1))
        seen = (TakeOutTag("t1"), TakeOutTag("t3"))
        back = return_target(start, UPSTREAM, "u1", seen, operation(2))
        self.assertEqual(set(back.take_outs_by_tag), {"t2", "t3"})
        self.assertEqual(back.cancelled, ("t1",))

    def test_cancelled_take_out_does_not_come_back(self) -> None:
        back = return_target(Configuration(), UPSTREAM, "u1", (TakeOutTag("t1"),), operation(1))
        self.assertIs(merge_take_outs(back, (out("t1"),), operation(2)), back)

    def test_histories_are_bounded(self) -> None:
        tags = [TakeOutTag(f"t{number:05}") for number in range(KEPT_CANCELLED + 5)]
        back = return_target(Configuration(), UPSTREAM, "u1", tags, operation(0))
        self.assertEqual(back.cancelled, tuple(tags[5:]))
        for number in range(1, 70):
            back = declare(back, declaration(), operation(number))
        self.assertEqual(len(back.operations), KEPT_OPERATIONS)
        self.assertEqual(back.operations[-1], operation(69))


tags = st.sampled_from([TakeOutTag(f"t{number}") for number in range(6)])
tag_sets = st.sets(tags)
steps = st.lists(st.tuples(st.sampled_from(["merge", "return"]), tag_sets), max_size=6)


def apply_step(configuration: Configuration, numbered: tuple[int, tuple[str, set[TakeOutTag]]]):
    number, (verb, chosen) = numbered
    if verb == "merge":
        orders = [out(tag) for tag in sorted(chosen)]
        return merge_take_outs(configuration, orders, operation(number))
    return return_target(configuration, UPSTREAM, "u1", sorted(chosen), operation(number))


class MergeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(steps)
    def test_accepted_take_out_stays_until_a_return_that_saw_it(self, taken) -> None:
        end = reduce(apply_step, enumerate(taken), Configuration())
        accepted = {tag for verb, chosen in taken if verb == "merge" for tag in chosen}
        returned = {tag for verb, chosen in taken if verb == "return" for tag in chosen}
        self.assertEqual(set(end.take_outs_by_tag), accepted - returned)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(steps, st.randoms(use_true_random=False))
    def test_order_of_merges_and_returns_does_not_matter(self, taken, random) -> None:
        shuffled = random.sample(taken, len(taken))
        one = reduce(apply_step, enumerate(taken), Configuration())
        other = reduce(apply_step, enumerate(shuffled), Configuration())
        self.assertEqual(one.take_outs_by_tag, other.take_outs_by_tag)
        self.assertEqual(set(one.cancelled), set(other.cancelled))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(tag_sets, tag_sets, tag_sets)
    def test_entry_and_platform_agree_on_what_is_out(self, one, other, returned) -> None:
        tables = make_tables()
        system = ConfigurationSystem()
        for chosen in (one, other):
            system.run(tables, (TakeOutsReceived(tuple(map(out, sorted(chosen)))),), 0.0)
        back = return_target(Configuration(), UPSTREAM, "u1", sorted(returned), operation(1))
        system.run(tables, (ConfigurationRead(back, True),), 1.0)
        self.assertEqual(set(tables.pending_take_outs_by_tag), (one | other) - returned)
        self.assertEqual(is_taken_out(tables, UPSTREAM, "u1"), bool((one | other) - returned))


class ConfigurationSystemTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.system = ConfigurationSystem()

    def read(self, configuration: Configuration, from_platform: bool = True) -> list[Order]:
        return list(
            self.system.run(self.tables, (ConfigurationRead(configuration, from_platform),), 0.0)
        )

    def test_entry_is_ready_once_it_has_a_configuration_from_a_peer(self) -> None:
        self.assertFalse(is_ready(self.tables))
        self.read(Configuration(3), from_platform=False)
        self.assertTrue(is_ready(self.tables))

    def test_reverted_store_raises_an_alarm_and_changes_nothing(self) -> None:
        self.read(Configuration(3))
        [raised] = self.read(Configuration(2))
        self.assertIsInstance(raised, AlarmChanged)
        self.assertEqual(self.tables.configuration, Configuration(3))
        self.assertIn((AlarmKind.STORE_REVERTED, "configuration"), self.tables.alarms_by_key)
        self.assertEqual(self.read(Configuration(2)), [])
        repaired = declare(
            base_for_write(self.tables, Configuration(2)), declaration(), operation(1)
        )
        [cleared] = self.read(repaired)
        self.assertEqual(cleared, AlarmChanged(AlarmKind.STORE_REVERTED, "configuration", False))
        self.assertEqual(self.tables.configuration, repaired)

    def test_other_content_of_the_same_revision_is_an_alarm_too(self) -> None:
        self.read(Configuration(3))
        other = Configuration(3, operations=(operation(1),))
        self.assertEqual(len(self.read(other)), 1)
        self.assertEqual(self.tables.configuration, Configuration(3))

    def test_older_copy_of_a_peer_is_ignored_without_alarm(self) -> None:
        self.read(Configuration(3))
        self.assertEqual(self.read(Configuration(2), from_platform=False), [])

    def test_pending_take_out_is_dropped_once_committed(self) -> None:
        self.system.run(self.tables, (TakeOutsReceived((out("t1"),)),), 0.0)
        self.assertTrue(is_taken_out(self.tables, UPSTREAM, "u1"))
        self.read(take_out(Configuration(), out("t1"), operation(1)))
        self.assertEqual(self.tables.pending_take_outs_by_tag, {})
        self.assertTrue(is_taken_out(self.tables, UPSTREAM, "u1"))
        self.assertFalse(is_taken_out(self.tables, TakeOutKind.GROUP, "u1"))


class InForceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.tables.configuration = take_out(Configuration(4), out("t1"), operation(1))

    def hear(self, name: str, revision: int, *tags: str) -> None:
        row = EntryRow(EntryId(name), Incarnation("i"), DATA_CENTRE, "a", 0.0, revision, tags)
        self.tables.entries_by_id[EntryId(name)] = row

    def test_entry_that_is_listed_but_was_never_heard_is_unconfirmed(self) -> None:
        records = tuple(
            InstanceRecord(InstanceId(name), InstanceRole.ENTRY, "a", DATA_CENTRE)
            for name in ("e1", "e2", "e3")
        )
        MembershipSystem().run(self.tables, (InstancesListed(records),), 0.0)
        self.hear("e2", 5)
        self.assertEqual(where_in_force(self.tables, 5), InForce((E1, E2), (E3,)))

    def test_entry_with_a_lower_revision_is_unconfirmed(self) -> None:
        self.hear("e2", 4)
        self.assertEqual(where_in_force(self.tables, 5), InForce((E1,), (E2,)))

    def test_take_out_is_confirmed_by_its_tag_or_by_the_revision_that_has_it(self) -> None:
        self.hear("e2", 3, "t1")
        self.hear("e3", 5)
        wanted = (TakeOutTag("t1"),)
        self.assertEqual(where_in_force(self.tables, 0, wanted), InForce((E1, E2, E3), ()))
        self.hear("e3", 4)
        self.assertEqual(where_in_force(self.tables, 0, wanted), InForce((E1, E2), (E3,)))


if __name__ == "__main__":
    unittest.main()
