"""Upstreams marked as leaving: until when, how instances are informed, and the planner's view."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

import cbor2

from cactuspass.fleet import _departures
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._feed_follower import FeedFollower
from cactuspass.fleet._feed_messages import decode_feed_update, encode_feed_update
from cactuspass.fleet._feed_source import FeedUpdateWriter
from cactuspass.fleet._hints import (
    Hints,
    decode_leaving,
    decode_unresponsive,
    encode_leaving,
    encode_unresponsive,
)
from cactuspass.fleet._orders import Close, Join
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId, UpstreamView
from cactuspass.models import DataCentreId, EntryId
from tests.fleet_path import recording_log
from tests.fleet_world import LARGE, EngineWorld, host, hosts

HERE = DataCentreId("here")
LIFETIME = Lifetime(UpstreamId("a"), 1_700_000_000_001)


class MarkLeavingTest(unittest.TestCase):
    """An upstream stays marked as leaving until the registry lists a later lifetime of it."""

    def setUp(self) -> None:
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        self.host = replace(host("a"), born_ms=LIFETIME.born_ms)
        self.cluster_state.accept_upstreams([self.host, host("b")], 1)

    def is_draining(self) -> bool:
        return self.cluster_state.view.upstreams_by_id[UpstreamId("a")].draining

    def test_only_the_first_mark_is_new(self) -> None:
        self.assertTrue(self.cluster_state.mark_leaving(LIFETIME))
        self.assertFalse(self.cluster_state.mark_leaving(LIFETIME))
        self.assertTrue(self.is_draining())

    def test_mark_lasts_while_the_entry_is_missing_and_after_it_returns(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.cluster_state.accept_upstreams([host("b")], 2)
        self.cluster_state.accept_upstreams([self.host, host("b")], 3)
        self.assertTrue(self.is_draining())

    def test_later_lifetime_removes_the_mark_and_is_logged(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.cluster_state.accept_upstreams([replace(self.host, born_ms=LIFETIME.born_ms + 1)], 2)
        self.assertFalse(self.is_draining())
        self.assertTrue(any('"upstream-left"' in line for line in self.handler.lines))

    def test_notice_of_an_earlier_lifetime_does_not_mark_the_current_one(self) -> None:
        earlier = replace(LIFETIME, born_ms=LIFETIME.born_ms - 1)
        self.assertFalse(self.cluster_state.mark_leaving(earlier))
        self.assertFalse(self.is_draining())

    # An unchanged listing must not look like a change at every read.
    def test_registered_state_is_kept_beside_the_mark(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.assertEqual(self.cluster_state.registered_by_id[UpstreamId("a")], self.host)

    def test_instances_on_the_feed_get_the_mark_with_the_next_update(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        follower = ClusterState(self.log)
        writer = FeedUpdateWriter(self.cluster_state)
        feed = FeedFollower(EntryId("e"), HERE, follower, lambda: False, lambda: None, self.log)
        feed._accept(decode_feed_update(encode_feed_update(writer.write(0.0))), 0.0)
        self.assertEqual(follower.view, self.cluster_state.view)
        self.assertEqual(follower.registered_by_id, self.cluster_state.registered_by_id)
        self.assertEqual(writer.write(0.0).leaving, ())

    def test_mark_ends_the_wait_for_a_change(self) -> None:
        async def wait() -> None:
            waiting = asyncio.create_task(self.cluster_state.wait_for_change(60.0))
            await asyncio.sleep(0)
            self.cluster_state.mark_leaving(LIFETIME)
            async with asyncio.timeout(5.0):
                await waiting

        asyncio.run(wait())


class DepartureLimitTest(unittest.TestCase):
    """The largest number of lifetimes that are kept."""

    def test_oldest_lifetime_is_removed_first_and_logged(self) -> None:
        log, handler = recording_log()
        cluster_state = ClusterState(log)
        for number in range(_departures.MAX_DEPARTURES + 1):
            cluster_state.mark_leaving(Lifetime(UpstreamId(f"u{number}"), 1))
        self.assertEqual(len(cluster_state.departures.lifetimes), _departures.MAX_DEPARTURES)
        self.assertNotIn(Lifetime(UpstreamId("u0"), 1), cluster_state.departures)
        [line] = [line for line in handler.lines if '"leaving-forgotten"' in line]
        self.assertIn('"u0"', line)


class HintTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that inform the other instances, including the leader."""

    def test_leaving_hint_is_decoded_as_encoded_and_as_no_other_hint(self) -> None:
        self.assertEqual(decode_leaving(encode_leaving(LIFETIME)), LIFETIME)
        self.assertIsNone(decode_unresponsive(encode_leaving(LIFETIME)))

    def test_invalid_bytes_are_no_hint(self) -> None:
        fields = {"kind": "leaving", "upstream": "a"}
        for body in (fields, {**fields, "born_ms": "1"}, {**fields, "born_ms": True}, [1]):
            with self.subTest(body=body):
                self.assertIsNone(decode_leaving(cbor2.dumps(body)))

    # Answers a lost data centre of a large fleet, where all instances notice the same heads.
    def test_hint_that_another_instance_has_sent_is_not_sent_again(self) -> None:
        log, _ = recording_log()
        received: list[UpstreamId] = []
        hints = Hints("127.0.0.1:1", lambda: ["127.0.0.1:2"], received.append, log)
        transport = mock.Mock(is_closing=lambda: False)
        hints.connection_made(transport)
        first, second = UpstreamId("a"), UpstreamId("b")
        hints.datagram_received(encode_unresponsive(first), ("127.0.0.1", 2))
        hints.send_unresponsive(first)
        hints.send_unresponsive(second)
        sent = [call.args[0] for call in transport.sendto.call_args_list]
        self.assertEqual((received, sent), ([first], [encode_unresponsive(second)]))

    async def test_each_hint_reaches_the_other_instances(self) -> None:
        log, _ = recording_log()
        received: asyncio.Queue[Lifetime] = asyncio.Queue()
        receiver = Hints(
            "127.0.0.1:0", lambda: (), lambda upstream_id: None, log, received.put_nowait
        )
        sender = Hints(
            "127.0.0.1:0", lambda: [f"127.0.0.1:{receiver.port}"], lambda upstream_id: None, log
        )
        for hints in (receiver, sender):
            await hints.start()
            self.addAsyncCleanup(hints.stop)
            while hints.port is None:
                await asyncio.sleep(0)
        sender.send_leaving(LIFETIME)
        sender.send_leaving(LIFETIME)
        async with asyncio.timeout(5.0):
            self.assertEqual([await received.get(), await received.get()], [LIFETIME, LIFETIME])
        self.assertTrue(received.empty())


class PlannerTest(unittest.TestCase):
    """The planner treats a host that announced that it is leaving like a draining one."""

    def setUp(self) -> None:
        self.world = EngineWorld(hosts(6, staged=LARGE))
        self.world.run(4.0)
        self.cluster_state = ClusterState(recording_log()[0])
        [self.key] = self.world.serving(LARGE)

    def group_members(self) -> tuple[Upstream, ...]:
        view = UpstreamView.of(self.world.upstreams_by_id.values())
        return view.groups_by_key[self.key].members

    def mark_leaving(self, upstream_id: UpstreamId) -> None:
        registered = list(self.world.upstreams_by_id.values())
        self.cluster_state.accept_upstreams(registered, 1)
        self.cluster_state.mark_leaving(self.world.upstreams_by_id[upstream_id].lifetime)
        self.world.upstreams_by_id = dict(self.cluster_state.view.upstreams_by_id)

    def test_group_of_a_leaving_member_is_closed_and_its_streams_finish(self) -> None:
        head = self.world.head_of(self.key).upstream_id
        self.mark_leaving(self.group_members()[1].upstream_id)
        self.world.run(0.2)
        [close] = self.world.orders(Close)
        assert isinstance(close.order, Close)
        self.assertEqual((close.target.upstream_id, close.order.cut), (head, False))

    def test_leaving_host_joins_no_group(self) -> None:
        members = {m.upstream_id for m in self.group_members()}
        free = min(i for i in self.world.upstreams_by_id if i not in members)
        self.mark_leaving(free)
        self.world.sent_orders.clear()
        self.world.kill(max(members))
        self.world.run(8.0)
        joined = {order.target.upstream_id for order in self.world.orders(Join)}
        self.assertEqual(len(joined), 4)
        self.assertNotIn(free, joined)


if __name__ == "__main__":
    unittest.main()
