"""Instances that start while the store is away, and comes back from an older copy."""

import asyncio
import socket
from unittest import mock

from cactuspass.fleet import Instance, _feed_follower
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._feed_follower import (
    CATCH_UP_SECONDS,
    MAX_CATCH_UP_FAILURES,
    STARTUP_WAIT_SECONDS,
    FeedFollower,
)
from cactuspass.fleet._feed_source import DEFAULT_MAX_AGE_SECONDS, FeedSource
from cactuspass.fleet._peers import STORE_READERS, Peer, order_readers
from cactuspass.models import DataCentreId, EntryId
from tests.fleet_path import recording_log
from tests.test_fleet_instance import KEY, MANIFEST, InstanceCase, until

HERE = DataCentreId("here")
RUNNING = ("e0", "e1")
LATER = {**MANIFEST, "version": 2, "tenants": [{"name": "t1", "api_keys": ["key-2"]}]}
AWAY_SECONDS = STARTUP_WAIT_SECONDS + 0.5


def name_newcomer(is_reader: bool) -> str:
    """Return a name with which a third instance is one of the readers of the store, or is not."""
    for number in range(100):
        names = (*RUNNING, f"n{number}")
        peers = [Peer(EntryId(name), HERE, "127.0.0.1:1") for name in names]
        readers = [peer.instance for peer in order_readers(peers)[:STORE_READERS]]
        if (names[-1] in readers) is is_reader:
            return names[-1]
    raise AssertionError("no name fits")


class RestoredStoreStartTest(InstanceCase):
    """Two instances know a manifest that the restored store lacks, and a third one starts."""

    def peers_address(self) -> str:
        """Return an address at which the others can reach an instance."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            return f"127.0.0.1:{server.getsockname()[1]}"

    def version(self, instance: Instance) -> int | None:
        """Return the version of the manifest that is in force at an instance."""
        index = instance.cluster_state.catalog_index
        return index.catalog.version if index is not None else None

    async def start_beside_older_copy(self, is_reader: bool) -> tuple[Instance, set[int | None]]:
        """Start a third instance; return it, and the versions that were in force at it."""
        self.store.era = "1"
        running = [await self.start_instance(name) for name in RUNNING]
        await until(lambda: all(self.version(instance) == 1 for instance in running))
        await until(lambda: all(len(instance.serving_groups()) == 2 for instance in running))
        older = self.store.copy()
        await self.store.put("op/config", LATER)
        await until(lambda: all(self.version(instance) == 2 for instance in running))
        self.store.refusing = True
        newcomer = await self.start_instance(name_newcomer(is_reader))
        await asyncio.sleep(AWAY_SECONDS)
        self.assertIsNone(self.version(newcomer))
        self.store.restore(older)
        self.store.refusing = False
        versions: set[int | None] = set()
        until_at = asyncio.get_running_loop().time() + CATCH_UP_SECONDS + 1.0
        while asyncio.get_running_loop().time() < until_at:
            versions.add(self.version(newcomer))
            await asyncio.sleep(0.005)
        return newcomer, versions

    async def check_newcomer(self, is_reader: bool) -> None:
        """Check by which manifests a third instance serves."""
        newcomer, versions = await self.start_beside_older_copy(is_reader)
        self.assertEqual(versions - {None}, {2})
        self.assertEqual((await self.send_request(newcomer, key=KEY)).code, 401)
        self.assertNotEqual((await self.send_request(newcomer, key="key-2")).code, 401)

    # Guards against a revoked key that works again: an instance that started while the store was
    # away believed the older copy that came back, though the others knew the later manifest.
    async def test_newcomer_that_reads_the_store_serves_only_by_the_later_manifest(self) -> None:
        await self.check_newcomer(is_reader=True)

    async def test_newcomer_that_follows_others_serves_only_by_the_later_manifest(self) -> None:
        await self.check_newcomer(is_reader=False)


class CatchUpTest(InstanceCase):
    """How long an instance waits for others before it believes the store."""

    def follower(self, addresses: list[str]) -> FeedFollower:
        """Return the follower of an instance that knows others by their addresses."""
        log, _ = recording_log()
        self.cluster_state = ClusterState(log)
        peers = [Peer(EntryId(f"p{n}"), HERE, address) for n, address in enumerate(addresses)]
        self.cluster_state.accept_peers((*peers, Peer(EntryId("me"), HERE, "127.0.0.1:9")))
        feed = FeedFollower(
            EntryId("me"), HERE, self.cluster_state, lambda: False, lambda: None, log
        )
        self.addAsyncCleanup(feed.stop)
        return feed

    async def seconds_to_catch_up(self, feed: FeedFollower) -> float:
        """Return how long a follower waits after its start."""
        loop = asyncio.get_running_loop()
        with mock.patch.object(_feed_follower, "STARTUP_WAIT_SECONDS", 0.0):
            await feed.start()
        began = loop.time()
        await feed.catch_up()
        return loop.time() - began

    async def start_source(self, knows_catalog: bool) -> str:
        """Start a source without recent state; return its address."""
        log, _ = recording_log()
        state = ClusterState(log)
        if knows_catalog:
            state.catalog_index = mock.Mock()
        source = FeedSource("127.0.0.1:0", state, log, DEFAULT_MAX_AGE_SECONDS)
        await source.start()
        self.addAsyncCleanup(source.stop)
        return f"127.0.0.1:{source.port}"

    async def test_instance_without_others_does_not_wait(self) -> None:
        self.assertLess(await self.seconds_to_catch_up(self.follower([])), 0.1)

    async def test_others_that_are_gone_or_know_nothing_are_not_waited_for(self) -> None:
        addresses = ["127.0.0.1:1", await self.start_source(knows_catalog=False)]
        seconds = await self.seconds_to_catch_up(self.follower(addresses))
        self.assertLess(seconds, CATCH_UP_SECONDS / 2)

    async def test_number_of_others_that_are_asked_in_vain_is_bounded(self) -> None:
        feed = self.follower(["127.0.0.1:1"] * 20)
        self.assertLess(await self.seconds_to_catch_up(feed), CATCH_UP_SECONDS / 2)
        self.assertLessEqual(len(feed._asked), MAX_CATCH_UP_FAILURES + 1)

    async def test_others_without_recent_state_are_waited_for_in_bounded_time(self) -> None:
        feed = self.follower([await self.start_source(knows_catalog=True)])
        seconds = await self.seconds_to_catch_up(feed)
        self.assertGreater(seconds, CATCH_UP_SECONDS / 2)
        self.assertLess(seconds, CATCH_UP_SECONDS + 0.5)
