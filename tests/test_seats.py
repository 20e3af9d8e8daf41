"""Tests of the seats' changes, of their handover and of the writer."""

import unittest
from dataclasses import replace
from functools import partial

from cactuspass._core import Core
from cactuspass._handover import HandoverSystem
from cactuspass._holding_right import HoldingRightSystem
from cactuspass._membership import MembershipSystem
from cactuspass._messages import (
    HandOverSeat,
    HeartbeatReceived,
    Input,
    Order,
    PlacementConfirmed,
    PlacementRead,
    PlacementWritten,
    WritePlacement,
)
from cactuspass._placement_writer import PlacementWriter
from cactuspass._seats import SeatSystem, with_seat, without_seat
from cactuspass._tables import HandedOverSeat
from cactuspass.models import EntryId, OperationId, Placement, Seat
from tests.holding_tables import DATA_CENTRE, heartbeat, make_tables, placement, platform_read, seat
from tests.holding_world import World

E1, E2, E3 = EntryId("e1"), EntryId("e2"), EntryId("e3")


class SeatLifeTest(unittest.TestCase):
    """Runs three entries without faults but for the one of the test."""

    def setUp(self) -> None:
        self.world = World(1)
        self.world.run(14)

    def seats(self) -> set[str]:
        return set(self.world.store.placement.seats_by_entry)

    def test_entries_create_the_document_and_take_a_seat_each(self) -> None:
        self.assertEqual(self.seats(), {"e1", "e2", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_seat_of_a_killed_process_is_removed_and_its_groups_go_on(self) -> None:
        self.world.kill(self.world.named("e2"))
        self.world.run(14)
        self.assertEqual(self.seats(), {"e1", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_second_entry_steps_in_when_the_first_is_dead_too(self) -> None:
        self.world.kill(self.world.named("e1"))
        self.world.kill(self.world.named("e2"))
        self.world.run(16)
        self.assertEqual(self.seats(), {"e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_restarted_process_takes_the_place_of_its_predecessor(self) -> None:
        self.world.kill(self.world.named("e2"))
        self.world.start(E2)
        self.world.run(16)
        found = self.world.store.placement.seats_by_entry[E2]
        self.assertEqual(found.incarnation, self.world.named("e2").incarnation)
        self.assertEqual(self.world.unheld(), [])

    def test_all_entries_restarted_at_once_hold_again(self) -> None:
        for process in tuple(self.world.processes):
            self.world.kill(process)
            self.world.start(process.entry_id)
        self.world.run(30)
        self.assertEqual(self.world.unheld(), [])

    def test_all_entries_replaced_by_new_instances_hold_in_the_end(self) -> None:
        for process in tuple(self.world.processes):
            self.world.kill(process)
        self.world.start(EntryId("e8"))
        self.world.start(EntryId("e9"))
        self.world.run(90)
        self.assertEqual(self.seats(), {"e8", "e9"})
        self.assertEqual(self.world.unheld(), [])

    def test_leaving_entry_hands_over_at_once_and_its_seat_is_committed(self) -> None:
        self.world.drain(self.world.named("e2"))
        self.world.run(0.75)
        self.assertEqual(self.world.unheld(), [])
        self.world.run(8)
        self.assertEqual(self.seats(), {"e1", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_handover_whose_message_was_lost_is_repeated(self) -> None:
        self.world.split(frozenset({E2}), frozenset({E1, E2, E3}))
        self.world.drain(self.world.named("e2"))
        self.world.run(2)
        self.world.heal()
        self.world.run(12)
        self.assertEqual(self.seats(), {"e1", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_all_groups_are_held_through_an_outage_and_a_handover_in_it(self) -> None:
        self.world.store.is_up = False
        self.world.run(30)
        self.assertEqual(self.world.unheld(), [])
        self.world.drain(self.world.named("e1"))
        self.world.run(100)
        self.assertEqual(self.world.unheld(), [])

    def test_cut_off_entry_loses_its_seat_only_after_its_grants_ran_out(self) -> None:
        self.world.store.is_up = False
        self.world.run(10)
        self.world.store.is_up = True
        self.world.split(frozenset({E2}), frozenset({E1, E2, E3}))
        self.world.run(80)
        self.assertEqual(self.seats(), {"e1", "e2", "e3"})
        self.assertEqual(self.world.unheld(), [])
        self.world.run(80)
        self.assertEqual(self.seats(), {"e1", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_store_that_lost_versions_gets_the_held_one_back(self) -> None:
        held = self.world.store.placement
        self.world.store.placement = placement(1, "e1")
        self.world.store.revision += 1
        self.world.run(3)
        repaired = self.world.store.placement
        self.assertEqual(repaired.seats_by_entry, held.seats_by_entry)
        self.assertGreater(repaired.version, held.version + 1)
        self.world.run(10)
        self.assertEqual(self.world.unheld(), [])
        self.assertEqual(self.world.named("e1").tables.alarms_by_key, {})

    def test_store_that_lost_the_document_gets_the_held_one_back(self) -> None:
        self.world.store.placement, self.world.store.revision = Placement(DATA_CENTRE), 0
        self.world.run(13)
        self.assertEqual(self.seats(), {"e1", "e2", "e3"})
        self.assertEqual(self.world.unheld(), [])

    def test_newcomer_takes_no_seat_while_it_cannot_hear_one(self) -> None:
        self.world.cuts = {frozenset({E2, EntryId("e4")})}
        self.world.start(EntryId("e4"))
        self.world.run(20)
        self.assertEqual(self.seats(), {"e1", "e2", "e3"})
        self.world.heal()
        self.world.run(10)
        self.assertEqual(self.seats(), {"e1", "e2", "e3", "e4"})


class SeatSystemTest(unittest.TestCase):
    """Runs one entry alone, with the messages of the test."""

    def begin(self, name: str, *names: str) -> None:
        writer = PlacementWriter()
        systems = [MembershipSystem(), HoldingRightSystem(), SeatSystem(writer), writer]
        self.core = Core(make_tables(name), systems)
        self.core.accept(platform_read(placement(1, *names), 0.0))

    def write_time(self, start: float, end: float, *heard: str) -> float | None:
        """Tick ten times a second while some are heard; return when a write was ordered."""
        for now in (tenth / 10 for tenth in range(round(start * 10), round(end * 10))):
            for name in heard:
                self.core.accept(heartbeat(name, 1))
            if any(isinstance(order, WritePlacement) for order in self.core.tick(now)):
                return now
        return None

    def test_newcomer_waits_while_a_seat_is_silent(self) -> None:
        self.begin("e1", "e2")
        self.assertIsNone(self.write_time(0.0, 0.1, "e2"))
        self.assertIsNone(self.write_time(0.1, 8.0))
        self.assertEqual(self.write_time(8.0, 9.0, "e2"), 8.0)

    def test_pause_is_not_taken_for_the_silence_of_the_others(self) -> None:
        self.begin("e1", "e1", "e2")
        self.assertIsNone(self.write_time(0.0, 2.0, "e2"))
        self.assertIsNone(self.write_time(20.0, 23.0))
        self.assertEqual(self.write_time(23.0, 30.0), 24.0)

    def test_live_seat_with_the_lowest_name_removes_first(self) -> None:
        for name, other, expected in (("e1", "e2", 4.0), ("e2", "e1", 6.0)):
            self.begin(name, "e1", "e2", "e3")
            self.assertIsNone(self.write_time(0.0, 0.1, "e1", "e2", "e3"))
            self.assertEqual(self.write_time(0.1, 9.0, other), expected)


class HandoverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.system = HandoverSystem()
        self.tables.placement = placement(4, "e1", "e2", "e3")
        self.tables.local.draining = True
        self.hear(heartbeat("e2", 4), heartbeat("e3", 4))

    def hear(self, *beats: HeartbeatReceived) -> None:
        MembershipSystem().run(self.tables, beats, 0.0)

    def give(self, now: float = 1.0) -> list[Order]:
        return list(self.system.run(self.tables, (), now))

    def test_seat_goes_to_one_live_peer_and_the_word_is_repeated(self) -> None:
        expected = [HandOverSeat(E2, seat("e1"), 4, {})]
        self.assertEqual(self.give(), expected)
        self.tables.entries_by_id.clear()
        self.assertEqual(self.give(1.9), [])
        self.assertEqual(self.give(2.0), expected)
        self.tables.placement = placement(5, "e2", "e3")
        self.assertEqual(self.give(3.0), [])

    def test_no_seat_is_given_while_a_write_may_still_remove_one(self) -> None:
        self.tables.pending_seat_removals = {E3}
        self.assertEqual(self.give(), [])

    def test_peer_that_drains_or_lags_is_not_chosen(self) -> None:
        self.hear(replace(heartbeat("e2", 4), draining=True))
        self.tables.entries_by_id[E3].placement_version = 3
        self.assertEqual(self.give(), [])


class WriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.writer = PlacementWriter()
        self.read(placement(4, "e1", "e2"), 0.0)

    def read(self, document: Placement, sent_at: float) -> None:
        self.tables.placement = document
        self.tables.store_revision = document.version * 10
        self.run_writer(sent_at, platform_read(document, sent_at))

    def run_writer(self, now: float, *inputs: Input) -> list[WritePlacement]:
        orders = self.writer.run(self.tables, inputs, now)
        return [order for order in orders if isinstance(order, WritePlacement)]

    def remove(self, now: float, name: str = "e2") -> list[WritePlacement]:
        self.writer.propose(partial(without_seat, seat=seat(name)))
        return self.run_writer(now)

    def test_changes_of_one_tick_become_one_write(self) -> None:
        self.writer.propose(partial(with_seat, seat=seat("e3")))
        [order] = self.remove(1.0)
        self.assertEqual(set(order.placement.seats_by_entry), {"e1", "e3"})
        self.assertEqual((order.placement.version, order.placement.epoch), (5, 5))
        self.assertEqual(order.expected_revision, 40)

    def test_change_without_effect_writes_nothing(self) -> None:
        self.assertEqual(self.remove(1.0, "e9"), [])

    def test_first_write_creates_the_document(self) -> None:
        self.writer = PlacementWriter()
        self.tables.placement, self.tables.store_revision = None, 0
        self.run_writer(0.0, PlacementRead(Placement(DATA_CENTRE), 0, 0.0))
        self.writer.propose(partial(with_seat, seat=seat("e1")))
        [order] = self.run_writer(1.0)
        self.assertEqual((order.expected_revision, order.placement.version), (0, 1))

    def test_next_write_waits_for_the_answer_and_a_later_read(self) -> None:
        [order] = self.remove(1.0)
        self.assertEqual(self.remove(2.0), [])
        self.run_writer(3.0, PlacementWritten(order.placement.write_id, False))
        self.read(placement(5, "e1", "e2", "e3"), 2.5)
        self.assertEqual(self.remove(3.5), [])
        self.read(placement(5, "e1", "e2", "e3"), 4.0)
        self.assertEqual(len(self.remove(4.5)), 1)

    def test_confirmation_of_the_same_revision_lets_it_write_again(self) -> None:
        [order] = self.remove(1.0)
        self.run_writer(2.0, PlacementWritten(order.placement.write_id, None))
        self.run_writer(3.0, PlacementConfirmed(40, 2.5))
        self.assertEqual(len(self.remove(3.5)), 1)

    def test_removal_stays_under_way_until_the_platform_moved_on(self) -> None:
        [order] = self.remove(1.0)
        self.run_writer(2.0, PlacementWritten(order.placement.write_id, None))
        self.read(placement(4, "e1", "e2"), 3.0)
        self.assertEqual(self.tables.pending_seat_removals, {E2})
        self.read(placement(5, "e1", "e2"), 4.0)
        self.assertEqual(self.tables.pending_seat_removals, set())

    def test_refused_removal_is_no_longer_under_way(self) -> None:
        [order] = self.remove(1.0)
        self.run_writer(2.0, PlacementWritten(order.placement.write_id, False))
        self.assertEqual(self.tables.pending_seat_removals, set())

    def test_nothing_is_written_over_a_document_that_was_not_read(self) -> None:
        self.tables.placement, self.tables.store_revision = placement(6, "e1", "e2"), 0
        self.assertEqual(self.remove(1.0), [])

    def test_nothing_is_written_once_the_own_seat_is_given_up(self) -> None:
        self.tables.handed_over_seats_by_entry[E1] = HandedOverSeat(seat("e1"), E2, 4)
        self.assertEqual(self.remove(1.0), [])

    def test_newer_seat_of_the_same_entry_is_not_removed(self) -> None:
        newer = Seat(E2, seat("e2", 2).incarnation, "e2:1")
        document = with_seat(placement(4, "e1", "e2"), newer)
        self.assertEqual(without_seat(document, seat("e2")), document)
        self.assertEqual(document.write_id, OperationId("w4"))


if __name__ == "__main__":
    unittest.main()
