"""The belief that an upstream leaves: how long it holds, who hears of it, what the planner sees."""

import asyncio
import unittest
from dataclasses import replace

import cbor2

from cactuspass.fleet import _departures
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._feed_follower import FeedFollower
from cactuspass.fleet._feed_messages import decode_feed_update, encode_feed_update
from cactuspass.fleet._feed_source import FeedUpdateWriter
from cactuspass.fleet._hints import Hints, decode_leaving, decode_unresponsive, encode_leaving
from cactuspass.fleet._orders import Close, Join
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId, UpstreamView
from cactuspass.models import DataCentreId, EntryId
from tests.fleet_path import recording_log
from tests.fleet_world import LARGE, EngineWorld, host, hosts

HERE = DataCentreId("here")
LIFETIME = Lifetime(UpstreamId("a"), 1_700_000_000_001)


class BeliefTest(unittest.TestCase):
    """What the registry says does not end it, but for another lifetime."""

    def setUp(self) -> None:
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        self.host = replace(host("a"), born_ms=LIFETIME.born_ms)
        self.cluster_state.accept_upstreams([self.host, host("b")], 1)

    def drains(self) -> bool:
        return self.cluster_state.view.upstreams_by_id[UpstreamId("a")].draining

    def test_it_is_news_once(self) -> None:
        self.assertTrue(self.cluster_state.mark_leaving(LIFETIME))
        self.assertFalse(self.cluster_state.mark_leaving(LIFETIME))
        self.assertTrue(self.drains())

    def test_it_holds_while_the_entry_is_gone_and_after_its_return(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.cluster_state.accept_upstreams([host("b")], 2)
        self.cluster_state.accept_upstreams([self.host, host("b")], 3)
        self.assertTrue(self.drains())

    def test_a_later_lifetime_ends_it_and_is_logged(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.cluster_state.accept_upstreams([replace(self.host, born_ms=LIFETIME.born_ms + 1)], 2)
        self.assertFalse(self.drains())
        self.assertTrue(any('"upstream-left"' in line for line in self.handler.lines))

    def test_word_of_an_earlier_lifetime_says_nothing_of_this_one(self) -> None:
        earlier = replace(LIFETIME, born_ms=LIFETIME.born_ms - 1)
        self.assertFalse(self.cluster_state.mark_leaving(earlier))
        self.assertFalse(self.drains())

    # A listing that is the same as before must not look like a change at every reading.
    def test_what_the_registry_says_is_kept_beside_it(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        self.assertEqual(self.cluster_state.registered_by_id[UpstreamId("a")], self.host)

    def test_instances_that_are_fed_learn_of_it_with_the_next_news(self) -> None:
        self.cluster_state.mark_leaving(LIFETIME)
        follower = ClusterState(self.log)
        writer = FeedUpdateWriter(self.cluster_state)
        feed = FeedFollower(EntryId("e"), HERE, follower, lambda: False, lambda: None, self.log)
        feed._accept(decode_feed_update(encode_feed_update(writer.write(0.0))), 0.0)
        self.assertEqual(follower.view, self.cluster_state.view)
        self.assertEqual(follower.registered_by_id, self.cluster_state.registered_by_id)
        self.assertEqual(writer.write(0.0).leaving, ())

    def test_news_wait_for_nothing_once_an_upstream_leaves(self) -> None:
        async def wait() -> None:
            waiting = asyncio.create_task(self.cluster_state.wait_for_change(60.0))
            await asyncio.sleep(0)
            self.cluster_state.mark_leaving(LIFETIME)
            async with asyncio.timeout(5.0):
                await waiting

        asyncio.run(wait())


class BoundTest(unittest.TestCase):
    """How many lifetimes are remembered."""

    def test_the_oldest_is_forgotten_first_and_not_silently(self) -> None:
        log, handler = recording_log()
        cluster_state = ClusterState(log)
        for number in range(_departures.MAX_DEPARTURES + 1):
            cluster_state.mark_leaving(Lifetime(UpstreamId(f"u{number}"), 1))
        self.assertEqual(len(cluster_state.departures.lifetimes), _departures.MAX_DEPARTURES)
        self.assertNotIn(Lifetime(UpstreamId("u0"), 1), cluster_state.departures)
        [line] = [line for line in handler.lines if '"leaving-forgotten"' in line]
        self.assertIn('"u0"', line)


class HintTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that tell the other instances, the leader among them."""

    def test_hint_is_read_as_written_and_as_nothing_else(self) -> None:
        self.assertEqual(decode_leaving(encode_leaving(LIFETIME)), LIFETIME)
        self.assertIsNone(decode_unresponsive(encode_leaving(LIFETIME)))

    def test_other_bytes_are_no_hint(self) -> None:
        fields = {"kind": "leaving", "upstream": "a"}
        for body in (fields, {**fields, "born_ms": "1"}, {**fields, "born_ms": True}, [1]):
            with self.subTest(body=body):
                self.assertIsNone(decode_leaving(cbor2.dumps(body)))

    async def test_the_other_instances_hear_of_it_twice(self) -> None:
        log, _ = recording_log()
        heard: asyncio.Queue[Lifetime] = asyncio.Queue()
        listener = Hints("127.0.0.1:0", lambda: (), lambda silent: None, log, heard.put_nowait)
        teller = Hints(
            "127.0.0.1:0", lambda: [f"127.0.0.1:{listener.port}"], lambda silent: None, log
        )
        for hints in (listener, teller):
            await hints.start()
            self.addAsyncCleanup(hints.stop)
            while hints.port is None:
                await asyncio.sleep(0)
        teller.send_leaving(LIFETIME)
        teller.send_leaving(LIFETIME)
        async with asyncio.timeout(5.0):
            self.assertEqual([await heard.get(), await heard.get()], [LIFETIME, LIFETIME])
        self.assertTrue(heard.empty())


class PlannerTest(unittest.TestCase):
    """A host that leaves by its own word looks to the planner like one that drains."""

    def setUp(self) -> None:
        self.world = EngineWorld(hosts(6, staged=LARGE))
        self.world.run(4.0)
        self.cluster_state = ClusterState(recording_log()[0])
        [self.key] = self.world.serving(LARGE)

    def group_members(self) -> tuple[Upstream, ...]:
        view = UpstreamView.of(self.world.upstreams_by_id.values())
        return view.groups_by_key[self.key].members

    def leave(self, upstream_id: UpstreamId) -> None:
        registered = list(self.world.upstreams_by_id.values())
        self.cluster_state.accept_upstreams(registered, 1)
        self.cluster_state.mark_leaving(self.world.upstreams_by_id[upstream_id].lifetime)
        self.world.upstreams_by_id = dict(self.cluster_state.view.upstreams_by_id)

    def test_group_of_a_leaving_member_is_closed_and_its_streams_finish(self) -> None:
        head = self.world.head_of(self.key).upstream_id
        self.leave(self.group_members()[1].upstream_id)
        self.world.run(0.2)
        [close] = self.world.orders(Close)
        assert isinstance(close.order, Close)
        self.assertEqual((close.target.upstream_id, close.order.cut), (head, False))

    def test_leaving_host_joins_no_group(self) -> None:
        members = {m.upstream_id for m in self.group_members()}
        free = min(i for i in self.world.upstreams_by_id if i not in members)
        self.leave(free)
        self.world.sent_orders.clear()
        self.world.kill(max(members))
        self.world.run(8.0)
        joined = {order.target.upstream_id for order in self.world.orders(Join)}
        self.assertEqual(len(joined), 4)
        self.assertNotIn(free, joined)


if __name__ == "__main__":
    unittest.main()
