"""Many instances that start, return or lose the store at the same moment, at 195 instances.

Answers the loads of a large fleet in which machines are added, a power failure ends most processes,
or the store is away: the instances must not load the store, or each other, all at once.
"""

import random
import unittest

from cactuspass.fleet._catalog import Catalog
from cactuspass.fleet._peers import STORE_READERS, order_readers
from tests.feed_world import MAX_AGE_SECONDS, FeedWorld, busiest, clock, patches
from tests.test_fleet_feed_order import everyone, peers_of
from tests.virtual_time import virtual_time

STORE_READS_PER_SECOND = 16_000
STORE_WRITES_PER_SECOND = 3_200
# The target is 60 calls a second over a day, of which an outage may take a fifth.
MAX_OUTAGE_CALLS_PER_SECOND = 300.0
# To one instance. A connection takes some 1.4 ms of a core, and the smallest instances have half a
# core; a quarter of that may be used up.
MAX_CONNECTS_PER_SECOND = 90
MAX_SECONDS_WITHOUT_LEADER = 3.0
MAX_SECONDS_TO_READINESS = 1.0
SETTLE_SECONDS = 8.0
POWER_LOSS_SECONDS = 3.0
POWER_LOSS_SHARE = 0.55
OUTAGE_SECONDS = 5.0
ADDED_PER_DATA_CENTRE = 8
SEED = 1


class JointStartsCase(unittest.TestCase):
    """Base of tests with a fleet in virtual time."""

    def setUp(self) -> None:
        random.seed(SEED)
        self.peers = everyone()
        self.world = FeedWorld(self.peers)
        for patch in patches(self.world):
            patch.start()
            self.addCleanup(patch.stop)

    async def start_fleet(self) -> None:
        """Start all instances and wait until they follow each other."""
        await self.world.start_all(self.peers, within=1.0)
        await self.world.run(SETTLE_SECONDS)
        self.assertEqual(len(self.world.leaders()), 1)

    def assert_all_ready(self, started_since: float) -> None:
        seconds = [
            (instance.ready_at or float("inf")) - instance.started_at
            for instance in self.world.running_by_id.values()
            if instance.started_at >= started_since
        ]
        self.assertLess(max(seconds), MAX_SECONDS_TO_READINESS)

    def assert_store_rates_kept(self, since: float) -> None:
        calls = self.world.calls(since)
        writes = busiest((call.at for call in calls if call.is_write), 1.0)
        reads = busiest((call.at for call in calls if not call.is_write), 1.0)
        self.assertLess(writes, STORE_WRITES_PER_SECOND)
        self.assertLess(reads, STORE_READS_PER_SECOND)

    def assert_few_connects(self, since: float) -> None:
        per_second = self.world.most_connects(since) / (clock() - since)
        self.assertLess(per_second, MAX_CONNECTS_PER_SECOND)

    def calls_per_second(self, since: float, seconds: float) -> float:
        return sum(call.at < since + seconds for call in self.world.calls(since)) / seconds


class PowerLossTest(JointStartsCase):
    """Processes end without a word to others and start again three seconds later."""

    # Guards against a fleet that starts again and reads the whole store with every instance.
    @virtual_time
    async def test_whole_fleet_that_starts_again_takes_its_state_from_two_readers(self) -> None:
        world = self.world
        world.store.register(self.peers)
        await world.start_all(self.peers, within=0.0)
        led_after = await world.run_until(lambda: len(world.leaders()) == 1, 2.0)
        await world.run(2.0)
        self.assertLess(led_after, MAX_SECONDS_WITHOUT_LEADER)
        self.assert_all_ready(started_since=0.0)
        self.assertLessEqual(len(world.readers(since=0.0)), STORE_READERS + 1)
        self.assert_store_rates_kept(since=0.0)

    # Guards against survivors that lose their state, or all read the store, as most sources are
    # silent.
    @virtual_time
    async def test_survivors_of_half_the_fleet_keep_their_state(self) -> None:
        await self.start_fleet()
        world, began = self.world, clock()
        [leader] = world.leaders()
        others = [i for i in world.running_by_id if i != leader]
        count = round(POWER_LOSS_SHARE * len(self.peers))
        lost = [leader, *random.sample(others, count - 1)]
        for instance_id in lost:
            await world.lose_power(instance_id, POWER_LOSS_SECONDS)
        survivors = list(world.running_by_id.values())
        led_after = await world.run_until(lambda: bool(world.leaders()), POWER_LOSS_SECONDS)
        self.assertLess(led_after, MAX_SECONDS_WITHOUT_LEADER)
        await world.run(POWER_LOSS_SECONDS - led_after)
        self.assertLess(max(i.max_state_age for i in survivors), MAX_AGE_SECONDS)
        returned_at = clock()
        await world.start_all((world.peers_by_id[i] for i in lost), within=0.5)
        await world.run(2.0)
        self.assert_all_ready(started_since=returned_at)
        self.assertLess(max(i.max_state_age for i in survivors), MAX_AGE_SECONDS)
        self.assert_store_rates_kept(since=began)
        self.assert_few_connects(since=began)


class AddedInstancesTest(JointStartsCase):
    """Instances with new names and addresses start in a fleet that serves."""

    # Guards against added instances that read the store, or that disturb those that serve.
    @virtual_time
    async def test_they_take_their_state_from_the_feed_and_stall_nobody(self) -> None:
        await self.start_fleet()
        world, began = self.world, clock()
        running = list(world.running_by_id.values())
        added = peers_of("-added-", ADDED_PER_DATA_CENTRE, 1)
        for instance in running:
            instance.max_state_age = 0.0
        await world.start_all(added, within=0.0)
        await world.run(4.0)
        self.assert_all_ready(started_since=began)
        self.assertLess(max(i.max_state_age for i in running), MAX_AGE_SECONDS / 2)
        self.assertLessEqual(len(world.readers(since=began)), STORE_READERS + 1)
        self.assert_few_connects(since=began)


class StoreOutageTest(JointStartsCase):
    """The store rejects all calls, or those of some instances."""

    async def reject_all(self) -> None:
        """Let the store reject all calls for the length of an outage."""
        self.world.store.rejected = set(self.world.running_by_id)
        await self.world.run(OUTAGE_SECONDS)
        self.world.store.rejected = set()

    # Guards against sources that are busy with the connections of followers, who try one source
    # after the other for as long as none has a recent state.
    @virtual_time
    async def test_followers_do_not_load_the_sources_while_the_store_is_away(self) -> None:
        await self.start_fleet()
        world, began = self.world, clock()
        await self.reject_all()
        self.assert_few_connects(since=began)
        instances = list(world.running_by_id.values())
        ready_after = await world.run_until(lambda: all(i.is_ready for i in instances), 5.0)
        self.assertLess(ready_after, MAX_SECONDS_TO_READINESS)
        led_after = await world.run_until(lambda: bool(world.leaders()), 3.0)
        self.assertLess(led_after, MAX_SECONDS_WITHOUT_LEADER)

    # Guards against registrations that are all tried again in quick succession, though their leases
    # last for a long time yet.
    @virtual_time
    async def test_calls_stay_bounded_while_the_store_is_away(self) -> None:
        await self.start_fleet()
        began = clock()
        await self.reject_all()
        self.assertLess(self.calls_per_second(began, OUTAGE_SECONDS), MAX_OUTAGE_CALLS_PER_SECOND)

    # Guards against a fleet without a leader while the store answers most instances.
    @virtual_time
    async def test_another_instance_leads_while_the_store_rejects_the_leader_and_a_third(
        self,
    ) -> None:
        await self.start_fleet()
        world, began = self.world, clock()
        [leader] = world.leaders()
        rejected = {leader, *random.sample(sorted(world.running_by_id), len(self.peers) // 3)}
        world.store.rejected = rejected
        led_after = await world.run_until(
            lambda: any(i not in rejected for i in world.leaders()), OUTAGE_SECONDS
        )
        await world.run(OUTAGE_SECONDS - led_after)
        self.assertLess(led_after, MAX_SECONDS_WITHOUT_LEADER)
        self.assertLess(self.calls_per_second(began, OUTAGE_SECONDS), MAX_OUTAGE_CALLS_PER_SECOND)
        self.assertLess(max(i.max_state_age for i in world.running_by_id.values()), 3.0)
        self.assert_few_connects(since=began)


if __name__ == "__main__":
    unittest.main()


class RestoredStoreTest(JointStartsCase):
    """Instances that start while a restored store has an older catalog than others know."""

    # Guards against an instance that handles requests by a catalog which has been replaced.
    @virtual_time
    async def test_instance_that_starts_takes_the_newer_catalog_of_the_others(self) -> None:
        await self.start_fleet()
        for instance in self.world.running_by_id.values():
            instance.cluster_state.accept_catalog(Catalog(5))
        reader = order_readers(self.peers)[0]
        await self.world.kill(reader.instance)
        await self.world.start(reader)
        await self.world.run(2.0)
        restarted = self.world.running_by_id[reader.instance]
        index = restarted.cluster_state.catalog_index
        assert index is not None
        self.assertEqual(index.catalog.version, 5)
        self.assertLess((restarted.ready_at or 0.0) - restarted.started_at, 1.0)
