"""Tests that an entry reports ready only once it can route requests."""

import unittest
from dataclasses import replace
from unittest.mock import Mock

from cactuspass._entry_callers import EntryCallers
from cactuspass._membership import MembershipSystem
from cactuspass._messages import InstancesListed
from cactuspass._peer_link import PeerLink
from cactuspass._peer_messages import Documents, FetchDocuments, TakeOutsMessage
from cactuspass._peers import PeerNetwork, PeerState
from cactuspass.models import Configuration, InstanceId, InstanceRecord, InstanceRole
from tests.holding_tables import DATA_CENTRE, heartbeat, make_tables


class ReadinessTest(unittest.TestCase):
    def test_ready_with_a_configuration_and_every_listed_peer(self) -> None:
        tables, membership = make_tables(), MembershipSystem()
        front = EntryCallers(Mock(), Mock(), tables, Mock(), Mock())
        record = InstanceRecord(InstanceId("e1"), InstanceRole.ENTRY, "a", DATA_CENTRE)
        records = (record, replace(record, instance_id=InstanceId("e2")))
        membership.run(tables, (InstancesListed(records),), 0.0)
        tables.configuration = Configuration()
        self.assertFalse(front.is_ready())
        membership.run(tables, (heartbeat("e2", 0),), 0.0)
        self.assertTrue(front.is_ready())
        tables.configuration = None
        self.assertFalse(front.is_ready())

    def test_peer_tells_take_outs_before_the_documents_that_make_ready(self) -> None:
        state, link = Mock(spec=PeerState), Mock(spec=PeerLink)
        link.hello = Mock()
        state.take_outs.return_value = ()
        state.documents.return_value = Documents(DATA_CENTRE, b"", b"")
        PeerNetwork(Mock(), "", state, Mock())._receive(link, FetchDocuments())
        sent = [type(call.args[0]) for call in link.send.call_args_list]
        self.assertEqual(sent, [TakeOutsMessage, Documents])
