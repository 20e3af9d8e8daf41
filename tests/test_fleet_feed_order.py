"""Which instances read the store and which follow another one, at 195 instances and after losses.

Answers the load of a large fleet: hundreds of instances start, stop or lose the store at once, and
each must find a source without reading the store itself.
"""

import unittest
from collections import Counter
from collections.abc import Callable
from unittest import mock

from cactuspass.fleet import _cluster_state, _feed_follower
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._feed_follower import STARTUP_WAIT_SECONDS, FeedFollower
from cactuspass.fleet._peers import STORE_READERS, Peer, order_readers
from cactuspass.models import DataCentreId, EntryId
from tests.fleet_path import recording_log

DATA_CENTRES = [DataCentreId(name) for name in ("a", "b", "c", "d", "e")]
INSTANCES_PER_DATA_CENTRE = 39


def peers_of(names: str, per_data_centre: int, network: int) -> list[Peer]:
    """Return instances of all data centres, each with an address of its own.

    :param names: text between the data centre and the number in an instance's name.
    :param network: second number of the addresses.
    """
    return [
        Peer(EntryId(f"{place}{names}{number}"), place, f"10.{network}.{index}.{number}:1")
        for index, place in enumerate(DATA_CENTRES)
        for number in range(per_data_centre)
    ]


def everyone() -> list[Peer]:
    """Return the registered instances of five data centres."""
    return peers_of("-", INSTANCES_PER_DATA_CENTRE, 0)


class FeedOrderTest(unittest.TestCase):
    """Decisions of the followers of a whole fleet, with a clock that the tests set."""

    def setUp(self) -> None:
        self.at = 100.0
        for module in (_cluster_state, _feed_follower):
            patch = mock.patch.object(module, "now", lambda: self.at)
            patch.start()
            self.addCleanup(patch.stop)
        self.peers = everyone()
        self.followers_by_id: dict[EntryId, FeedFollower] = {}
        self.states_by_id: dict[EntryId, ClusterState] = {}
        for peer in self.peers:
            state = ClusterState(recording_log()[0])
            state.accept_peers(tuple(self.peers))
            state.operators_read_at = self.at
            self.states_by_id[peer.instance] = state
            self.followers_by_id[peer.instance] = self.follower(peer, state)

    def follower(
        self, peer: Peer, state: ClusterState, must_read: Callable[[], bool] = lambda: False
    ) -> FeedFollower:
        return FeedFollower(
            peer.instance, peer.data_centre, state, must_read, lambda: None, recording_log()[0]
        )

    def source_of(self, instance: EntryId) -> EntryId | None:
        source = self.followers_by_id[instance]._choose_source()
        return source.instance if source is not None else None

    def readers(self, dead: frozenset[EntryId] = frozenset()) -> list[EntryId]:
        """Return the living instances that read the store once all dead sources were tried."""
        living = [peer.instance for peer in self.peers if peer.instance not in dead]
        for instance in living:
            follower = self.followers_by_id[instance]
            follower._avoided_until_by_id = dict.fromkeys(dead, self.at + 1.0)
        return [instance for instance in living if self.source_of(instance) is None]

    def test_two_of_195_instances_read_the_store(self) -> None:
        self.assertEqual(len(self.readers()), STORE_READERS)

    def test_followers_are_spread_over_the_sources_of_their_data_centre(self) -> None:
        counts = Counter(map(self.source_of, self.followers_by_id))
        counts.pop(None)
        self.assertLess(max(counts.values()), 30)
        local = sum(
            self.followers_by_id[i]._data_centre == DataCentreId(str(self.source_of(i))[0])
            for i in self.followers_by_id
        )
        self.assertGreater(local, 170)

    def test_few_read_the_store_after_the_readers_and_half_of_the_sources_have_gone(self) -> None:
        sources = [peer.instance for peer in order_readers(self.peers)]
        dead = frozenset(sources[: len(sources) // 2])
        self.assertEqual(len(self.readers(dead)), 1)

    def test_data_centre_without_its_sources_follows_those_of_others(self) -> None:
        dead = frozenset(
            p.instance for p in order_readers(self.peers) if p.data_centre == DATA_CENTRES[0]
        )
        self.assertLessEqual(len(self.readers(dead)), STORE_READERS)

    def test_reader_that_cannot_read_the_store_follows_another_one_for_a_while(self) -> None:
        # Guards against callers being refused for old documents while another instance has newer
        # ones.
        reader = order_readers(self.peers)[0].instance
        self.at += 2.0
        source = self.source_of(reader)
        self.assertIsNotNone(source)
        self.states_by_id[reader].operators_read_at = self.at
        self.assertEqual(self.source_of(reader), source)
        self.at += _feed_follower.FOLLOW_AFTER_FAILED_READS_SECONDS
        self.states_by_id[reader].operators_read_at = self.at
        self.assertIsNone(self.source_of(reader))

    def test_newcomer_waits_for_the_feed_before_it_reads_the_store(self) -> None:
        peer = Peer(EntryId("a-new"), DATA_CENTRES[0], "a-new:1")
        state = ClusterState(recording_log()[0])
        newcomer = self.follower(peer, state)
        newcomer._startup_until = self.at + STARTUP_WAIT_SECONDS
        self.assertTrue(newcomer.is_expected)
        state.accept_peers(tuple(self.peers))
        self.assertTrue(newcomer.is_expected)
        self.at += STARTUP_WAIT_SECONDS
        self.assertFalse(newcomer.is_expected)

    def test_first_instance_reads_the_store_as_soon_as_it_knows_to_be_alone(self) -> None:
        peer = Peer(EntryId("first"), DATA_CENTRES[0], "first:1")
        state = ClusterState(recording_log()[0])
        first = self.follower(peer, state)
        first._startup_until = self.at + STARTUP_WAIT_SECONDS
        state.accept_peers((peer,))
        self.assertFalse(first.is_expected)

    def test_leader_follows_nobody(self) -> None:
        peer = self.peers[0]
        leader = self.follower(peer, self.states_by_id[peer.instance], lambda: True)
        self.assertFalse(leader.is_expected)


if __name__ == "__main__":
    unittest.main()
