"""How the limit of an upstream is divided between the instances.

A limit is for all instances together. When an equal share of it would be very small, a few
instances have all of it. They are chosen by rendezvous hashing, so that all instances with the same
list of peers agree without a message. Others can borrow from these.
"""

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._peers import Peer, choose_senders
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.models import EntryId

MIN_SHARE = 1.0  # requests per second; with less for each, fewer instances have a share
# Older than this, the list of peers may have an instance that the others no longer count; shorter
# than the time after which a registration ends.
MAX_PEERS_AGE_SECONDS = 15.0


class LimitShares:
    """The shares by this instance's list of the registered instances.

    :param instance: id of this instance; None if it is not registered.
    """

    def __init__(self, cluster_state: ClusterState, instance: EntryId | None) -> None:
        self._cluster_state = cluster_state
        self._instance = instance
        self._peers: tuple[Peer, ...] = ()
        self._senders_by_key: dict[tuple[UpstreamId, int], set[EntryId]] = {}

    def own_share(self, upstream_id: UpstreamId, total: float) -> float:
        """Return the requests per second that this instance may send to an upstream.

        An instance that is not on its own list has no share. Without a recent list, it has an equal
        share, so that it adds little if the others no longer count it.

        :param total: requests per second of all instances together.
        """
        peers = self._cluster_state.peers
        if not peers or self._cluster_state.operators_age() > MAX_PEERS_AGE_SECONDS:
            return total / self._cluster_state.instance_count
        senders = self._senders(upstream_id, total)
        return total / len(senders) if self._instance in senders else 0.0

    def lenders(self, upstream_id: UpstreamId, total: float) -> list[Peer]:
        """Return the other instances that have a share and can be reached."""
        senders = self._senders(upstream_id, total)
        return [
            peer
            for peer in self._peers
            if peer.instance in senders and peer.instance != self._instance and peer.address
        ]

    def _senders(self, upstream_id: UpstreamId, total: float) -> set[EntryId]:
        peers = self._cluster_state.peers
        if peers is not self._peers:
            self._peers = peers
            self._senders_by_key.clear()
        count = max(1, min(len(peers), int(total / MIN_SHARE)))
        key = (upstream_id, count)
        if key not in self._senders_by_key:
            self._senders_by_key[key] = choose_senders(peers, upstream_id, count)
        return self._senders_by_key[key]
