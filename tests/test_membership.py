"""Tests of the tables of instances and entries."""

import unittest

from cactuspass._core import Core
from cactuspass._membership import MembershipSystem, live_entries
from cactuspass._messages import Input, InstancesListed, PeerLost
from cactuspass._tables import ProcessKey
from cactuspass.models import EntryId, Incarnation, InstanceId, InstanceRecord, InstanceRole
from tests.holding_tables import DATA_CENTRE, heartbeat, make_tables, placement


def listed(*names: str) -> InstancesListed:
    return InstancesListed(
        tuple(
            InstanceRecord(InstanceId(name), InstanceRole.ENTRY, f"{name}:1", DATA_CENTRE)
            for name in names
        )
    )


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tables = make_tables()
        self.tables.placement = placement(3, "e1", "e2")
        self.core = Core(self.tables, [MembershipSystem()])

    def tick(self, now: float, *inputs: Input) -> None:
        for message in inputs:
            self.core.accept(message)
        self.core.tick(now)

    def live_at(self, now: float) -> list[str]:
        return [row.incarnation for row in live_entries(self.tables, now)]

    def is_gone(self) -> bool:
        return ProcessKey(EntryId("e2"), Incarnation("e2-1")) in self.tables.ended_processes

    def test_entry_is_live_while_connected_and_heard(self) -> None:
        self.tick(0.0, heartbeat("e2", 3))
        self.assertEqual(self.live_at(2.9), ["e2-1"])
        self.assertEqual(self.live_at(3.0), [])
        self.tick(4.0, heartbeat("e2", 3), PeerLost(EntryId("e2"), Incarnation("e2-1")))
        self.assertEqual(self.live_at(4.0), [])

    def test_new_process_replaces_a_lost_one_and_the_old_stays_replaced(self) -> None:
        self.tick(0.0, heartbeat("e2", 3))
        self.tick(1.0, heartbeat("e2", 3, number=2))
        self.assertEqual(self.live_at(1.0), ["e2-1"])
        lost = PeerLost(EntryId("e2"), Incarnation("e2-1"))
        self.tick(2.0, lost, heartbeat("e2", 3, number=2))
        self.assertEqual(self.live_at(2.0), ["e2-2"])
        self.tick(9.0, heartbeat("e2", 3))
        self.assertEqual(self.live_at(9.0), [])

    def test_known_version_of_a_process_never_falls(self) -> None:
        self.tick(0.0, heartbeat("e2", 3), heartbeat("e2", 2))
        self.assertEqual(self.tables.entries_by_id[EntryId("e2")].placement_version, 3)

    def test_newer_process_at_the_address_ends_the_older(self) -> None:
        self.tick(0.0, heartbeat("e2", 2, number=2))
        self.assertFalse(self.is_gone())
        self.tick(1.0, heartbeat("e2", 3, number=2))
        self.assertTrue(self.is_gone())

    def test_process_at_another_address_ends_nothing(self) -> None:
        self.tick(0.0, heartbeat("e2", 3, number=2, address="e2:9"))
        self.assertFalse(self.is_gone())

    def test_silent_instance_that_left_the_list_has_ended(self) -> None:
        self.tick(0.0, listed("e1", "e2"), heartbeat("e2", 3))
        self.tick(2.0, listed("e1"))
        self.assertFalse(self.is_gone())
        self.tick(3.0, listed("e1"))
        self.assertTrue(self.is_gone())

    def test_list_that_does_not_name_this_entry_proves_nothing(self) -> None:
        self.tick(0.0, listed("e1", "e2"))
        self.tick(9.0, listed("e3"))
        self.assertFalse(self.is_gone())

    def test_instance_that_was_never_listed_needs_a_longer_wait(self) -> None:
        self.tick(0.0, listed("e1"))
        self.tick(59.0, listed("e1"))
        self.assertFalse(self.is_gone())
        self.tick(60.0, listed("e1"))
        self.assertTrue(self.is_gone())

    def test_silent_row_is_dropped_unless_it_has_a_seat(self) -> None:
        self.tick(0.0, heartbeat("e2", 3), heartbeat("e3", 3))
        self.tick(60.0)
        self.assertEqual(set(self.tables.entries_by_id), {"e2"})


if __name__ == "__main__":
    unittest.main()
