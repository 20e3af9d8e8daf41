"""The feed, by which a few instances read the store and provide its contents to the others.

It limits the calls to the store in large deployments, where a registry of hundreds of upstreams
changes all the time.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import cbor2

from cactuspass._clock import now
from cactuspass.exceptions import DocumentError
from cactuspass.fleet import _feed_follower, _feed_source
from cactuspass.fleet._catalog import (
    Catalog,
    DataCentreDelay,
    Evacuations,
    ScalingLimits,
    Service,
)
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._feed_follower import FeedFollower
from cactuspass.fleet._feed_messages import decode_feed_update, encode_feed_update
from cactuspass.fleet._feed_source import ContentCache, FeedSource, FeedUpdateWriter
from cactuspass.fleet._peers import FOLLOWERS_PER_SOURCE, Peer, choose_sources, order_sources
from cactuspass.models import DataCentreId, EntryId
from tests.fleet_path import recording_log, route
from tests.fleet_world import ENGINE, LARGE, SERVICE, SMALL, host
from tests.part_world import block_of

HERE = DataCentreId("here")
THERE = DataCentreId("there")
GIVE_UP_SECONDS = 20.0
MAX_PROPAGATION_SECONDS = 2.0  # for changes of the operators, in the smallest deployments
SAFETY_SECONDS = 0.3  # for the change to another source


def peers(count: int, data_centre: DataCentreId = HERE) -> list[Peer]:
    """Return registered instances of one data centre."""
    return [
        Peer(EntryId(f"{data_centre}-{number}"), data_centre, f"127.0.0.1:{number + 1}")
        for number in range(count)
    ]


def catalog(version: int) -> Catalog:
    """Return a catalog with one route and one engine service, which has all optional parts."""
    engine = replace(ENGINE, delays=(DataCentreDelay(HERE, THERE, 0.0014),))
    service = Service(SERVICE, engine=engine, scaling=ScalingLimits(26, 60, 8.0))
    return Catalog(version, (route(),), {SERVICE: service})


class SourcesTest(unittest.TestCase):
    """The choice of sources, which every instance makes without communication."""

    def test_each_data_centre_has_one_source_for_sixteen_instances(self) -> None:
        everyone = peers(2 * FOLLOWERS_PER_SOURCE + 1) + peers(3, THERE)
        self.assertEqual(len(choose_sources(everyone, HERE)), 3)
        self.assertEqual({p.data_centre for p in choose_sources(everyone, THERE)}, {THERE})

    def test_the_order_of_registration_does_not_matter(self) -> None:
        everyone = peers(40)
        self.assertEqual(choose_sources(everyone, HERE), choose_sources(everyone[::-1], HERE))

    def test_only_the_source_that_has_gone_is_replaced(self) -> None:
        everyone = peers(40)
        gone = choose_sources(everyone, HERE)[0]
        left = set(choose_sources([p for p in everyone if p != gone], HERE))
        self.assertEqual(len(left - set(choose_sources(everyone, HERE))), 1)

    def test_followers_spread_over_the_sources(self) -> None:
        everyone = peers(40)
        sources = choose_sources(everyone, HERE)
        first = [order_sources(sources, peer.instance)[0] for peer in everyone]
        self.assertEqual(set(first), set(sources))

    def test_instance_without_an_address_is_no_source(self) -> None:
        without_address = [replace(peer, address=None) for peer in peers(3)]
        self.assertEqual(choose_sources(without_address, HERE), [])


class NewsTest(unittest.TestCase):
    """The contents of updates, and the age that a follower attributes to them."""

    def setUp(self) -> None:
        log, _ = recording_log()
        self.source, self.follower = ClusterState(log), ClusterState(log)
        self.source.accept_catalog(catalog(3))
        self.source.operators_read_at = now() - 0.5
        self.source.accept_upstreams([host("a", staged=LARGE), host("b", staged=SMALL)], 9)
        self.source.accept_peers(tuple(peers(2)))
        self.writer = FeedUpdateWriter(self.source)
        feed = FeedFollower(
            EntryId("e"), HERE, self.follower, lambda: False, lambda: None, recording_log()[0]
        )
        self.accept = feed._accept

    def send_update(self, held_for: float = 0.0) -> None:
        update = decode_feed_update(encode_feed_update(self.writer.write(held_for)))
        self.accept(update, now() - held_for)

    def test_the_first_update_is_complete(self) -> None:
        self.follower.accept_upstreams([host("gone")], 4)
        self.send_update()
        self.assertEqual(self.follower.view, self.source.view)
        assert self.follower.catalog_index is not None
        self.assertEqual(self.follower.catalog_index.catalog, catalog(3))
        self.assertEqual(self.follower.peers, self.source.peers)

    def test_later_updates_contain_only_changes(self) -> None:
        self.send_update()
        self.source.accept_evacuations(Evacuations(frozenset({THERE})))
        self.source.accept_upstreams([host("a", staged=SMALL), host("c")], 10)
        update = self.writer.write(0.0)
        self.assertIsNone(update.catalog)
        self.assertEqual({u.upstream_id for u in update.changed}, {"a", "c"})
        self.accept(decode_feed_update(encode_feed_update(update)), now())
        self.assertEqual(self.follower.view, self.source.view)
        self.assertEqual(self.follower.evacuations, self.source.evacuations)

    def test_a_catalog_never_goes_back(self) -> None:
        self.follower.accept_catalog(catalog(4))
        self.send_update()
        assert self.follower.catalog_index is not None
        self.assertEqual(self.follower.catalog_index.catalog.version, 4)

    def test_the_age_of_an_update_is_never_understated(self) -> None:
        self.send_update(held_for=0.3)
        self.assertLessEqual(self.follower.operators_read_at, self.source.operators_read_at + 0.01)

    def test_the_age_adds_up_over_two_sources(self) -> None:
        self.source.operators_read_at = now() - 0.7
        self.send_update(held_for=0.2)
        last = ClusterState(recording_log()[0])
        writer, self.follower = FeedUpdateWriter(self.follower), last
        feed = FeedFollower(
            EntryId("f"), HERE, last, lambda: False, lambda: None, recording_log()[0]
        )
        feed._accept(decode_feed_update(encode_feed_update(writer.write(0.2))), now() - 0.2)
        self.assertLessEqual(last.operators_read_at, self.source.operators_read_at + 0.01)
        self.assertEqual(last.peers, self.source.peers)

    # Guards against an instance that has just started and sends what all others refuse.
    def test_first_update_contains_the_blocks_in_force(self) -> None:
        self.source.accept_block(block_of("bb"))
        self.send_update()
        self.assertEqual(self.follower.blocks.snapshot, self.source.blocks.snapshot)

    # Guards against blocks in every update, and against one that is made between two of them.
    def test_later_updates_contain_the_blocks_only_after_a_change(self) -> None:
        self.source.accept_block(block_of("bb"))
        self.send_update()
        self.assertIsNone(self.writer.write(0.0).blocks)
        self.assertFalse(self.writer.has_news)
        self.source.accept_block(block_of("bb", version=2, is_active=False))
        self.assertTrue(self.writer.has_news)
        self.send_update()
        self.assertEqual(self.follower.blocks.active, [])

    # Guards against a source that was cut off and takes back the end of a block.
    def test_older_state_of_a_source_does_not_bring_a_block_back(self) -> None:
        self.source.accept_block(block_of("bb"))
        self.follower.accept_block(block_of("bb", version=2, is_active=False))
        self.send_update()
        self.assertEqual(self.follower.blocks.active, [])

    # Guards against a change that waits for the longest time since it came between two requests.
    def test_change_between_two_requests_is_news(self) -> None:
        self.assertTrue(self.writer.has_news)
        self.writer.write(0.0)
        self.assertFalse(self.writer.has_news)
        changes: tuple[Callable[[], object], ...] = (
            lambda: self.source.accept_upstreams([host("c")], 10),
            lambda: self.source.accept_peers(tuple(peers(4))),
            lambda: self.source.accept_catalog(catalog(9)),
            lambda: self.source.accept_evacuations(Evacuations(frozenset({THERE}))),
            lambda: self.source.record_operators_read(now()),
            lambda: self.source.mark_leaving(host("c").lifetime),
        )
        for number, change in enumerate(changes):
            with self.subTest(number=number):
                change()
                self.assertTrue(self.writer.has_news)
                self.writer.write(0.0)
                self.assertFalse(self.writer.has_news)

    def test_instances_are_sent_only_when_they_have_changed(self) -> None:
        self.send_update()
        self.assertIsNone(self.writer.write(0.0).peers)
        self.source.accept_peers(tuple(peers(3)))
        self.assertEqual(self.writer.write(0.0).peers, self.source.peers)

    def test_an_upstream_stays_cold_for_the_remaining_time(self) -> None:
        self.source.accept_upstreams([replace(host("a"), cold_until=now() + 2.0)], 10)
        self.send_update()
        [upstream] = self.follower.view.upstreams_by_id.values()
        self.assertAlmostEqual(upstream.cold_until - now(), 2.0, delta=0.5)

    def test_an_invalid_message_is_an_error_with_its_place(self) -> None:
        valid = encode_feed_update(self.writer.write(0.0))
        cut = cbor2.loads(valid)
        cut["content"] = cut["content"][:-3]
        for data in (b"", b"\xff", b"\xa1\x61a\x01", b"\x01", valid[:-1], cbor2.dumps(cut)):
            with self.subTest(data=data), self.assertRaises(DocumentError) as caught:
                decode_feed_update(data)
            self.assertIn("news", str(caught.exception))


class ContentTest(unittest.TestCase):
    """The content of updates at 1,095 upstreams and 195 instances, which many followers share."""

    def setUp(self) -> None:
        self.state = ClusterState(recording_log()[0])
        self.state.accept_catalog(catalog(3))
        self.state.operators_read_at = now()
        self.state.accept_upstreams([host(f"h{number}") for number in range(1095)], 5)
        self.state.accept_peers(tuple(peers(195)))

    def test_complete_update_fits_a_slow_link(self) -> None:
        size = len(encode_feed_update(FeedUpdateWriter(self.state).write(0.0)))
        self.assertLess(size, 60_000)

    def test_followers_share_the_encoded_content(self) -> None:
        cache, writers = ContentCache(), [FeedUpdateWriter(self.state) for _ in range(16)]
        with mock.patch.object(
            _feed_source, "encode_feed_content", wraps=_feed_source.encode_feed_content
        ) as encode:
            for changed in (None, "new"):
                if changed is not None:
                    upstreams = [*self.state.registered_by_id.values(), host(changed)]
                    self.state.accept_upstreams(upstreams, 6)
                for writer in writers:
                    update = writer.write(0.1)
                    data = cache.encode(update, writer.last_steps)
                    self.assertEqual(decode_feed_update(data).changed, update.changed)
        self.assertEqual(encode.call_count, 2)

    def test_cold_time_in_shared_content_is_that_of_the_sending(self) -> None:
        upstreams = [replace(host("cold"), cold_until=now() + 60.0)]
        self.state.accept_upstreams(upstreams, 6)
        cache, seconds = ContentCache(), []
        for later in (0.0, 20.0):
            writer = FeedUpdateWriter(self.state)
            with mock.patch.object(_feed_source, "now", lambda later=later: now() + later):
                data = cache.encode(writer.write(0.0), writer.last_steps)
            [cold] = decode_feed_update(data).cold
            seconds.append(cold.seconds)
        self.assertAlmostEqual(seconds[0] - seconds[1], 20.0, delta=1.0)


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    """A follower and a source on loopback, where the source stops or no longer reads the store."""

    async def asyncSetUp(self) -> None:
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        self.cluster_state.accept_catalog(catalog(1))
        self.is_leader = False
        self.follower = FeedFollower(
            EntryId("e"), HERE, self.cluster_state, lambda: self.is_leader, lambda: None, self.log
        )
        self.source_is_current = True
        self.source_state = ClusterState(self.log)
        self.source_state.accept_catalog(catalog(2))
        self.source_state.operators_read_at = now()
        self.source = await self.start_source()
        await self.follower.start()
        self.addAsyncCleanup(self.follower.stop)

    async def start_source(self) -> FeedSource:
        source = FeedSource("127.0.0.1:0", self.source_state, self.log)
        await source.start()
        self.addAsyncCleanup(source.stop)
        registered = (Peer(EntryId("s"), HERE, f"127.0.0.1:{source.port}"),)
        self.source_state.accept_peers(registered)
        self.cluster_state.accept_peers(registered)
        return source

    async def eventually(self, condition: Callable[[], object]) -> None:
        """Wait for a condition; meanwhile the source keeps reading the store."""
        async with asyncio.timeout(GIVE_UP_SECONDS):
            while not condition():
                if self.source_is_current:
                    self.source_state.operators_read_at = now()
                await asyncio.sleep(0.001)

    async def wait_for_feed(self, active: bool) -> None:
        await self.eventually(lambda: self.follower.is_active is active)

    async def test_follower_gets_the_state_of_the_source(self) -> None:
        await self.wait_for_feed(active=True)
        assert self.cluster_state.catalog_index is not None
        self.assertEqual(self.cluster_state.catalog_index.catalog.version, 2)

    async def test_changes_are_sent_at_once(self) -> None:
        await self.wait_for_feed(active=True)
        self.source_state.accept_upstreams([host("a")], 5)
        await self.eventually(lambda: self.cluster_state.view.upstreams_by_id)

    async def test_the_store_is_read_again_when_the_source_has_gone(self) -> None:
        await self.wait_for_feed(active=True)
        await self.source.stop()
        await self.wait_for_feed(active=False)
        self.assertTrue(any("dependency-lost" in line for line in self.handler.lines))

    async def test_a_source_that_lost_the_store_hands_on_nothing(self) -> None:
        await self.wait_for_feed(active=True)
        self.source_is_current = False
        self.source_state.operators_read_at = now() - 10
        self.source_state.accept_upstreams([host("a")], 5)
        await self.wait_for_feed(active=False)

    async def test_a_source_with_recent_state_sends_updates_whoever_it_has_it_from(self) -> None:
        await self.wait_for_feed(active=True)
        self.source_is_current = False
        self.source_state.operators_read_at = now() - 0.9
        self.source_state.accept_upstreams([host("a")], 5)
        await self.eventually(lambda: self.cluster_state.view.upstreams_by_id)

    # Guards against callers being served by an old catalog: two instances that had both lost the
    # store kept following each other until their state was 2 s old.
    async def test_follower_leaves_a_source_before_its_state_is_too_old(self) -> None:
        await self.wait_for_feed(active=True)
        self.source_is_current = False
        read_at = self.source_state.operators_read_at
        await self.wait_for_feed(active=False)
        self.assertLess(now() - read_at, MAX_PROPAGATION_SECONDS - SAFETY_SECONDS)

    async def test_reads_of_the_source_reach_the_follower_at_once(self) -> None:
        await self.wait_for_feed(active=True)
        read_at = now()
        self.source_state.record_operators_read(read_at)
        await self.eventually(lambda: self.cluster_state.operators_read_at > read_at - 0.05)
        self.assertLess(now() - read_at, _feed_source.MAX_HOLD_SECONDS)

    async def test_outdated_source_is_tried_again_soon(self) -> None:
        await self.wait_for_feed(active=True)
        self.source_is_current = False
        await self.wait_for_feed(active=False)
        self.source_is_current = True
        began = now()
        await self.wait_for_feed(active=True)
        self.assertLess(now() - began, _feed_follower.FAILED_SOURCE_PAUSE_SECONDS)

    async def test_a_leader_reads_the_store_itself(self) -> None:
        await self.wait_for_feed(active=True)
        self.is_leader = True
        self.assertFalse(self.follower.is_active)

    async def test_a_source_uses_no_other_source(self) -> None:
        own = (Peer(EntryId("e"), HERE, "127.0.0.1:1"),)
        self.source_state.accept_peers(own)
        self.cluster_state.accept_peers(own)
        self.assertIsNone(self.follower._choose_source())

    async def test_a_remote_source_is_used_when_no_local_one_responds(self) -> None:
        await self.wait_for_feed(active=True)
        elsewhere = Peer(EntryId("far"), THERE, "127.0.0.1:1")
        self.cluster_state.accept_peers((*self.source_state.peers, elsewhere))
        self.follower._avoided_until_by_id[self.source_state.peers[0].instance] = now() + 60
        self.assertEqual(self.follower._choose_source(), elsewhere)

    async def test_a_failed_source_is_not_tried_again_at_once(self) -> None:
        await self.wait_for_feed(active=True)
        await self.source.stop()
        await self.wait_for_feed(active=False)
        await self.eventually(lambda: self.follower._avoided_until_by_id)
        self.assertIsNone(self.follower._choose_source())
        self.assertGreater(
            _feed_follower.FAILED_SOURCE_PAUSE_SECONDS, _feed_follower.RESPONSE_TIMEOUT_SECONDS
        )
