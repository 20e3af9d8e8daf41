"""Tests of what an entry takes from its peers' heartbeats and documents."""

import unittest
from types import SimpleNamespace
from typing import Any, cast

from cactuspass._codec import encode_placement
from cactuspass._entry_state import EntryState
from cactuspass._messages import Input, PlacementRead
from cactuspass._peer_link import PeerLink
from cactuspass._peer_messages import Documents, Heartbeat
from cactuspass._tables import HeldGroupRow, LocalRow, Tables
from cactuspass.models import (
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    InstanceId,
    KindId,
    Placement,
)

HERE = DataCentreId("a")
NEWER = Heartbeat(0, (), 7, True, False, ())


class EntryStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 10.0
        self.inputs: list[Input] = []
        self.polls: list[float] = []
        local = LocalRow(EntryId("e1"), Incarnation("i1"), HERE, "127.0.0.1:1")
        self.tables = Tables(local, {})
        self.state = EntryState(
            self.tables,
            lambda: self.now,
            self.inputs.append,
            lambda configuration: None,
            lambda: self.polls.append(self.now),
        )
        hello: Any = SimpleNamespace(data_centre=HERE)
        self.link = cast(PeerLink, SimpleNamespace(hello=hello))
        self.documents = Documents(HERE, b"", encode_placement(Placement(HERE, 7)))

    def hold_group(self) -> HeldGroupRow:
        row = HeldGroupRow(GroupId("g"), "m", KindId("k"), None, (InstanceId("i"),), serving=True)
        self.tables.held_groups_by_id[row.group_id] = row
        return row

    def test_peers_learn_at_once_that_a_group_has_ceased_to_leave(self) -> None:
        row = self.hold_group()
        row.leaving = True
        told = self.state.urgent_state()
        row.leaving = False
        self.assertNotEqual(self.state.urgent_state(), told)

    def test_peers_learn_at_once_that_a_group_has_settled(self) -> None:
        self.hold_group().may_send_from = 10.5
        told = self.state.urgent_state()
        self.now = 10.5
        self.assertNotEqual(self.state.urgent_state(), told)

    def test_newer_placement_is_read_from_a_platform_that_answers(self) -> None:
        self.tables.local.platform_answered_at = 9.5
        self.state.needs_documents(self.link, NEWER)
        self.state.receive_documents(self.documents)
        self.assertEqual((self.polls, self.inputs), ([10.0], []))

    def test_newer_placement_is_taken_from_the_peer_while_the_platform_is_silent(self) -> None:
        self.tables.local.platform_answered_at = 2.0
        self.assertTrue(self.state.needs_documents(self.link, NEWER))
        self.state.receive_documents(self.documents)
        self.assertEqual([type(item) for item in self.inputs], [PlacementRead])
        self.assertEqual(self.polls, [])
