"""Tests of the right to hold groups, of grants and of settling."""

import unittest

from cactuspass._core import Core
from cactuspass._holding import holds, may_hold, seat_owner, used_seats
from cactuspass._holding_right import GRANT_SECONDS, HoldingRightSystem, may_remove_seat
from cactuspass._membership import MembershipSystem
from cactuspass._messages import (
    AlarmChanged,
    GrantReceived,
    GrantRequested,
    Input,
    Order,
    PeerDisconnected,
    PlacementConfirmed,
    PlatformFailed,
    RequestGrant,
    SeatHandoverReceived,
    SendGrant,
)
from cactuspass._tables import HandedOverSeat, ProcessKey
from cactuspass.models import EntryId, GroupId, Incarnation
from tests.holding_tables import heartbeat, make_tables, peer_read, placement, platform_read, seat

E1, E2, E3 = EntryId("e1"), EntryId("e2"), EntryId("e3")
GROUPS = [GroupId(f"g{number}") for number in range(40)]


def granted(name: str, sent_at: float, version: int = 1) -> GrantReceived:
    return GrantReceived(EntryId(name), Incarnation(f"{name}-1"), version, sent_at, GRANT_SECONDS)


def asked(name: str, version: int = 1) -> GrantRequested:
    return GrantRequested(EntryId(name), Incarnation(f"{name}-1"), version, 0.0)


class RightTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.core = Core(self.tables, [MembershipSystem(), HoldingRightSystem()])

    def tick(self, now: float, *inputs: Input) -> list[Order]:
        for message in inputs:
            self.core.accept(message)
        return self.core.tick(now)

    def begin(self, *names: str) -> None:
        """Let the platform confirm version 1 with these seats at time 0."""
        self.tick(0.0, platform_read(placement(1, *names), 0.0))

    def holds_at(self, now: float) -> bool:
        return may_hold(self.tables, now)


class PlatformRightTest(RightTestCase):
    def test_right_counts_from_the_sending_and_ends_between_ticks(self) -> None:
        self.tick(3.0, platform_read(placement(1, "e1", "e2"), 0.0))
        self.assertTrue(self.holds_at(3.9))
        self.assertFalse(self.holds_at(4.0))

    def test_confirmation_of_another_revision_does_not_count(self) -> None:
        self.begin("e1", "e2")
        self.tick(3.0, PlacementConfirmed(11, 3.0))
        self.assertFalse(self.holds_at(5.0))
        self.tick(3.5, PlacementConfirmed(10, 3.5))
        self.assertTrue(self.holds_at(5.0))

    def test_placement_of_a_peer_is_adopted_but_gives_no_right(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, peer_read(placement(2, "e1", "e2", epoch=1)))
        self.assertEqual(self.tables.store_revision, 0)
        self.assertFalse(self.holds_at(1.0))

    def test_read_of_an_older_version_does_not_confirm_a_newer_one(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, peer_read(placement(2, "e1", "e2", epoch=1)))
        self.tick(2.0, platform_read(placement(1, "e1", "e2"), 1.5))
        self.assertFalse(self.holds_at(2.0))

    def test_lower_version_is_not_adopted_and_gives_no_right(self) -> None:
        self.tick(0.0, platform_read(placement(2, "e1"), 0.0))
        self.tick(1.0, platform_read(placement(1, "e1", "e2"), 1.0))
        self.assertEqual(self.tables.placement, placement(2, "e1"))
        self.assertEqual(self.tables.store_revision, 0)

    def test_lost_version_raises_an_alarm_but_a_late_answer_does_not(self) -> None:
        self.begin("e1", "e2")
        self.tick(2.0, peer_read(placement(2, "e1", "e2", epoch=1)))
        self.assertEqual(self.tick(2.1, platform_read(placement(1, "e1", "e2"), 1.9)), [])
        [alarm] = self.tick(3.0, PlacementConfirmed(10, 2.5))
        self.assertIsInstance(alarm, AlarmChanged)

    def test_clock_that_goes_back_ends_the_right(self) -> None:
        self.tick(100.0, platform_read(placement(1, "e1", "e2"), 100.0))
        self.assertFalse(self.holds_at(99.0))
        self.tick(50.0)
        self.assertFalse(self.holds_at(50.0))
        self.tick(51.0, PlacementConfirmed(10, 51.0))
        self.assertTrue(self.holds_at(51.0))


class GrantTest(RightTestCase):
    def test_grants_of_all_others_carry_the_right_through_an_outage(self) -> None:
        self.begin("e1", "e2", "e3")
        orders = self.tick(1.0, PlatformFailed("down"))
        self.assertEqual(orders, [RequestGrant(E2, 1, 1.0), RequestGrant(E3, 1, 1.0)])
        self.assertEqual(self.tick(2.0, granted("e2", 1.0)), [RequestGrant(E3, 1, 2.0)])
        self.assertEqual(self.tick(3.0, granted("e3", 2.0)), [])
        self.assertTrue(self.holds_at(1.0 + GRANT_SECONDS - 0.1))
        self.assertFalse(self.holds_at(1.0 + GRANT_SECONDS))

    def test_entry_without_a_seat_asks_for_no_grants(self) -> None:
        self.begin("e2")
        self.assertEqual(self.tick(1.0, PlatformFailed("down")), [])

    def test_one_missing_grant_ends_the_right(self) -> None:
        self.begin("e1", "e2", "e3")
        self.tick(1.0, granted("e2", 1.0))
        self.assertFalse(self.holds_at(4.0))

    def test_lapsed_right_comes_back_only_by_the_platform(self) -> None:
        self.begin("e1", "e2")
        self.tick(4.0, granted("e2", 3.9))
        self.assertFalse(self.holds_at(4.0))
        self.tick(5.0, PlacementConfirmed(10, 4.5))
        self.assertTrue(self.holds_at(5.0))

    def test_process_that_ended_is_excused_only_while_its_grant_ran(self) -> None:
        for grants, expected in (((granted("e2", 1.0),), True), ((), False)):
            self.setUp()
            self.begin("e1", "e2")
            self.tick(1.0, heartbeat("e2", 1), *grants)
            lost = PeerDisconnected(E2, Incarnation("e2-1"))
            self.tick(2.0, lost, heartbeat("e2", 1, number=2))
            self.assertIn(ProcessKey(E2, Incarnation("e2-1")), self.tables.ended_processes)
            self.assertEqual(self.holds_at(1.0 + GRANT_SECONDS), expected)

    def test_given_seat_is_excused_unless_its_owner_knew_a_newer_placement(self) -> None:
        for version, expected in ((1, True), (2, False)):
            self.setUp()
            self.begin("e1", "e2")
            self.tick(1.0, SeatHandoverReceived(seat("e2"), version, {}, E3))
            self.assertEqual(self.holds_at(60.0), expected)

    def test_newcomer_told_of_by_a_peer_suspends_the_right(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, granted("e2", 1.0))
        self.tick(5.0, peer_read(placement(2, "e1", "e2", "e3")))
        self.assertFalse(self.holds_at(5.0))
        self.tick(7.0, granted("e3", 6.0, version=2))
        self.assertTrue(self.holds_at(7.0))


class PromiseTest(RightTestCase):
    def test_promise_outlasts_the_grant_by_the_drift_of_two_clocks(self) -> None:
        self.begin("e1", "e2")
        orders = self.tick(1.0, asked("e2"))
        self.assertEqual(orders, [SendGrant(E2, 1, 0.0, GRANT_SECONDS)])
        promise = self.tables.removal_blocked_until_by_process[ProcessKey(E2, Incarnation("e2-1"))]
        self.assertGreater(promise, 1.0 + GRANT_SECONDS * 1.01 / 0.99)

    def test_no_grant_for_another_version_or_another_process(self) -> None:
        self.begin("e1", "e2")
        stranger = GrantRequested(E2, Incarnation("e2-9"), 1, 0.0)
        self.assertEqual(self.tick(1.0, asked("e2", 2), asked("e3"), stranger), [])

    def test_no_grant_while_the_asker_may_be_removed_by_a_write(self) -> None:
        self.begin("e1", "e2")
        self.tables.pending_seat_removals = {E2}
        self.assertEqual(self.tick(1.0, asked("e2")), [])

    def test_no_grant_once_the_own_seat_is_given_up(self) -> None:
        self.begin("e1", "e2")
        self.tables.handed_over_seats_by_entry[E1] = HandedOverSeat(seat("e1"), E2, 1)
        self.assertEqual(self.tick(1.0, asked("e2")), [])

    def test_seat_is_kept_while_a_grant_to_it_runs(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, heartbeat("e2", 1), asked("e2"))
        self.assertFalse(may_remove_seat(self.tables, E2, 1.0 + GRANT_SECONDS))
        self.assertTrue(may_remove_seat(self.tables, E2, 1.0 + GRANT_SECONDS * 1.1))

    def test_promise_outlives_the_seat(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, heartbeat("e2", 1), asked("e2"))
        self.tick(2.0, platform_read(placement(2, "e1"), 2.0))
        self.tick(3.0, platform_read(placement(3, "e1", "e2"), 3.0), heartbeat("e2", 3))
        self.assertFalse(may_remove_seat(self.tables, E2, 1.0 + GRANT_SECONDS))
        self.tick(200.0)
        self.assertEqual(self.tables.removal_blocked_until_by_process, {})

    def test_seat_is_kept_when_its_process_needs_no_grant_of_ours(self) -> None:
        self.begin("e2", "e3")
        self.tick(1.0, heartbeat("e2", 1), heartbeat("e3", 2))
        self.tick(9.0, platform_read(placement(2, "e1", "e2", "e3"), 9.0))
        self.assertFalse(may_remove_seat(self.tables, E2, 500.0))
        self.assertTrue(may_remove_seat(self.tables, E3, 500.0))


class SettleTest(RightTestCase):
    def held(self, now: float) -> set[GroupId]:
        return {group_id for group_id in GROUPS if holds(self.tables, group_id, now)}

    def owned(self) -> set[GroupId]:
        return {group_id for group_id in GROUPS if seat_owner(self.tables, group_id) == E1}

    def test_gained_groups_wait_until_the_silent_loser_must_have_stopped(self) -> None:
        self.begin("e1", "e2", "e3")
        self.tick(1.0, heartbeat("e2", 1), heartbeat("e3", 1))
        self.tick(6.0, PlacementConfirmed(10, 6.0))
        before = self.held(6.0)
        self.tick(7.0, platform_read(placement(2, "e1", "e2"), 7.0), heartbeat("e2", 2))
        self.assertEqual(self.held(7.0), before)
        self.tick(11.9, PlacementConfirmed(20, 11.9), heartbeat("e2", 2))
        self.assertEqual(self.held(11.9), before)
        self.tick(12.0)
        self.assertEqual(self.held(12.0), self.owned())
        self.assertGreater(self.owned(), before)

    def test_seat_given_to_us_is_used_at_once_and_once(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, heartbeat("e2", 1))
        self.tick(6.0, PlacementConfirmed(10, 6.0))
        given = SeatHandoverReceived(seat("e2"), 1, {}, E1)
        self.tick(7.0, given)
        self.assertEqual(self.held(7.0), set(GROUPS))
        self.tables.acquired_seats.clear()
        self.tick(8.0, given)
        self.assertEqual(used_seats(self.tables), {E1})

    def test_seats_that_the_placement_lost_are_forgotten(self) -> None:
        self.begin("e1", "e2", "e3")
        self.tick(1.0, SeatHandoverReceived(seat("e2"), 1, {}, E1))
        self.tick(2.0, platform_read(placement(2, "e1"), 2.0))
        self.assertEqual(self.tables.handed_over_seats_by_entry, {})
        self.assertEqual(self.tables.acquired_seats, set())

    def test_given_seat_is_of_no_use_without_an_own_seat(self) -> None:
        self.begin("e1", "e2", "e3")
        self.tick(1.0, SeatHandoverReceived(seat("e2"), 1, {}, E1))
        self.tick(2.0, platform_read(placement(2, "e2", "e3"), 2.0))
        self.assertEqual(used_seats(self.tables), frozenset())
        self.assertFalse(self.holds_at(2.0))

    def test_loser_with_a_running_grant_of_ours_is_waited_for(self) -> None:
        self.begin("e1", "e2", "e3")
        self.tick(1.0, heartbeat("e2", 1), heartbeat("e3", 1))
        self.tick(6.0, PlacementConfirmed(10, 6.0), asked("e2"))
        before = self.held(6.0)
        self.tick(7.0, platform_read(placement(2, "e1", "e2"), 7.0))
        self.tick(60.0, PlacementConfirmed(20, 60.0))
        self.assertEqual(self.held(60.0), before)
        self.tick(61.0, heartbeat("e2", 2))
        self.assertEqual(self.held(61.0), self.owned())

    def test_seat_of_an_unseen_epoch_makes_every_group_wait(self) -> None:
        self.begin("e1", "e2")
        self.tick(1.0, heartbeat("e2", 1))
        self.tick(6.0, PlacementConfirmed(10, 6.0))
        self.tick(7.0, platform_read(placement(3, "e1", "e2"), 7.0))
        self.assertEqual(self.held(7.0), set())

    def test_newcomer_waits_for_a_process_that_does_not_know_it(self) -> None:
        self.begin("e2", "e3")
        self.tick(9.0, platform_read(placement(2, "e1", "e2", "e3"), 9.0))
        self.tick(9.5, heartbeat("e2", 1), heartbeat("e3", 2))
        self.tick(300.0, PlacementConfirmed(20, 300.0))
        self.assertEqual(self.held(300.0), set())
        self.tick(301.0, heartbeat("e2", 2))
        self.assertEqual(self.held(301.0), self.owned())


if __name__ == "__main__":
    unittest.main()
