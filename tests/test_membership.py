"""Tests of the tables of instances and entries, and of the detection of ended processes."""

import unittest

from cactuspass._core import Core
from cactuspass._membership import MembershipSystem, live_entries
from cactuspass._messages import Input, InstancesListed, PeerDisconnected
from cactuspass._tables import ProcessKey
from cactuspass.models import EntryId, Incarnation, InstanceId, InstanceRecord, InstanceRole
from tests.holding_tables import DATA_CENTRE, heartbeat, make_tables, placement


def instance_list(*names: str) -> InstancesListed:
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

    def live_incarnations(self, now: float) -> list[str]:
        return [row.incarnation for row in live_entries(self.tables, now)]

    def has_ended(self) -> bool:
        return ProcessKey(EntryId("e2"), Incarnation("e2-1")) in self.tables.ended_processes

    def test_entry_is_live_while_connected_and_its_heartbeat_is_recent(self) -> None:
        self.tick(0.0, heartbeat("e2", 3))
        self.assertEqual(self.live_incarnations(2.9), ["e2-1"])
        self.assertEqual(self.live_incarnations(3.0), [])
        self.tick(4.0, heartbeat("e2", 3), PeerDisconnected(EntryId("e2"), Incarnation("e2-1")))
        self.assertEqual(self.live_incarnations(4.0), [])

    def test_new_process_replaces_a_disconnected_one_permanently(self) -> None:
        self.tick(0.0, heartbeat("e2", 3))
        self.tick(1.0, heartbeat("e2", 3, number=2))
        self.assertEqual(self.live_incarnations(1.0), ["e2-1"])
        lost = PeerDisconnected(EntryId("e2"), Incarnation("e2-1"))
        self.tick(2.0, lost, heartbeat("e2", 3, number=2))
        self.assertEqual(self.live_incarnations(2.0), ["e2-2"])
        self.tick(9.0, heartbeat("e2", 3))
        self.assertEqual(self.live_incarnations(9.0), [])

    def test_placement_version_of_a_process_never_decreases(self) -> None:
        self.tick(0.0, heartbeat("e2", 3), heartbeat("e2", 2))
        self.assertEqual(self.tables.entries_by_id[EntryId("e2")].placement_version, 3)

    def test_process_has_ended_when_a_newer_one_uses_its_address(self) -> None:
        self.tick(0.0, heartbeat("e2", 2, number=2))
        self.assertFalse(self.has_ended())
        self.tick(1.0, heartbeat("e2", 3, number=2))
        self.assertTrue(self.has_ended())

    def test_process_at_another_address_is_not_evidence_of_an_end(self) -> None:
        self.tick(0.0, heartbeat("e2", 3, number=2, address="e2:9"))
        self.assertFalse(self.has_ended())

    def test_instance_without_heartbeats_has_ended_when_it_leaves_the_list(self) -> None:
        self.tick(0.0, instance_list("e1", "e2"), heartbeat("e2", 3))
        self.tick(2.0, instance_list("e1"))
        self.assertFalse(self.has_ended())
        self.tick(3.0, instance_list("e1"))
        self.assertTrue(self.has_ended())

    def test_list_without_this_entry_is_ignored(self) -> None:
        self.tick(0.0, instance_list("e1", "e2"))
        self.tick(9.0, instance_list("e3"))
        self.assertFalse(self.has_ended())

    def test_instance_that_was_never_listed_has_ended_after_a_longer_timeout(self) -> None:
        self.tick(0.0, instance_list("e1"))
        self.tick(59.0, instance_list("e1"))
        self.assertFalse(self.has_ended())
        self.tick(60.0, instance_list("e1"))
        self.assertTrue(self.has_ended())

    def test_row_without_heartbeats_is_removed_unless_it_has_a_seat(self) -> None:
        self.tick(0.0, heartbeat("e2", 3), heartbeat("e3", 3))
        self.tick(60.0)
        self.assertEqual(set(self.tables.entries_by_id), {"e2"})


if __name__ == "__main__":
    unittest.main()
