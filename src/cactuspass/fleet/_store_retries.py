"""How long an instance waits before it calls the store again after a failed call."""

import random

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._peers import STORE_READERS, Peer, order_readers
from cactuspass.models import EntryId

# Up to so many instances may all try at the shortest pause.
INSTANCES_AT_SHORTEST_PAUSE = 6
MAX_FACTOR_OF_SOURCES = 5.0
MAX_FACTOR = 40.0


class StoreRetries:
    """The pauses of one instance, so that an outage does not multiply the calls of a large fleet.

    The first readers try again soon, and supply the others by the feed once the store answers. The
    more instances there are, the longer the others wait.
    """

    def __init__(self, instance: EntryId, cluster_state: ClusterState) -> None:
        self._instance = instance
        self._cluster_state = cluster_state
        self._peers: tuple[Peer, ...] = ()
        self._factor = 1.0

    def pause(self, shortest_seconds: float) -> float:
        """Return the time in seconds before the next try.

        :param shortest_seconds: pause of an instance that should try again soon.
        """
        peers = self._cluster_state.peers
        if peers is not self._peers:
            self._peers = peers
            self._factor = self._choose_factor(peers)
        if self._factor == 1.0:
            return shortest_seconds
        return shortest_seconds * self._factor * random.uniform(0.5, 1.0)

    def _choose_factor(self, peers: tuple[Peer, ...]) -> float:
        factor = max(1.0, len(peers) / INSTANCES_AT_SHORTEST_PAUSE)
        readers = [reader.instance for reader in order_readers(peers)]
        if self._instance in readers[:STORE_READERS]:
            return 1.0
        return min(factor, MAX_FACTOR_OF_SOURCES if self._instance in readers else MAX_FACTOR)
