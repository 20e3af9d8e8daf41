"""Server of the feed, which provides the store's contents to other instances.

A source may itself follow another one; what it sends states how old it is.
"""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass.fleet._catalog import Evacuations
from cactuspass.fleet._cluster_state import NEVER, ClusterState, changed_upstreams
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._feed_messages import (
    ColdUpstream,
    FeedUpdate,
    encode_feed_content,
    encode_feed_update,
)
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.prompt_parts import Block

UPDATE_REQUEST = b""
# A request that a source without recent state answers once it has one, instead of closing at once.
WAITING_UPDATE_REQUEST = b"wait"
MAX_HOLD_SECONDS = 0.4  # longest wait for a change before an update is sent
MAX_WAIT_FOR_RECENT_STATE_SECONDS = 0.5
# Part of the time in which changes of the operators must be in force; the rest is for a follower
# that has to find another source first.
MAX_AGE_SHARE_OF_PROPAGATION = 0.6
DEFAULT_MAX_AGE_SECONDS = 1.2
MAX_REQUEST_BYTES = 64
MAX_CACHED_CONTENTS = 4
NO_UPSTREAMS: Mapping[UpstreamId, Upstream] = MappingProxyType({})
# WebSocket close codes
NOT_CURRENT_CODE = 4000
NOTHING_KNOWN_CODE = 4001


class ContentCache:
    """Encoded contents of the last updates, since most followers are sent the same ones."""

    def __init__(self) -> None:
        self._contents_by_steps: OrderedDict[Hashable, tuple[bytes, Any]] = OrderedDict()

    def encode(self, update: FeedUpdate, steps: "FeedSteps") -> bytes:
        """Return an update as CBOR.

        :param steps: the states that the update leads from and to.
        """
        found = self._contents_by_steps.get(steps.key)
        if found is None:
            # The states are kept with the content, so that their ids are not used again.
            found = self._contents_by_steps[steps.key] = encode_feed_content(update), steps
            if len(self._contents_by_steps) > MAX_CACHED_CONTENTS:
                self._contents_by_steps.popitem(last=False)
        return encode_feed_update(update, found[0])


@dataclass(frozen=True, slots=True)
class FeedSteps:
    """The states of the source that an update leads from and to.

    :param replaced: objects that are replaced as a whole when they change.
    :param compared: values that are compared.
    """

    replaced: tuple[object, ...]
    compared: tuple[Hashable, ...]

    @property
    def key(self) -> Hashable:
        """Identifies updates with the same content."""
        return tuple(map(id, self.replaced)), self.compared


class FeedUpdateWriter:
    """Builds the updates for one follower.

    Catalog, peers and upstreams are included only when they have changed since the previous update.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._is_first = True
        self._version: int | None = None
        self._peers: tuple[Peer, ...] | None = None
        self._upstreams_by_id = NO_UPSTREAMS
        self._sent_leaving: frozenset[Lifetime] = frozenset()
        self._operators_read_at = NEVER
        self._evacuations: Evacuations | None = None
        self._blocks: tuple[Block, ...] = ()
        self.last_steps = FeedSteps((), ())

    @property
    def has_news(self) -> bool:
        """Whether the state has changed, or was read again, since the last update."""
        cluster_state = self._cluster_state
        index = cluster_state.catalog_index
        return (
            cluster_state.registered_by_id is not self._upstreams_by_id
            or cluster_state.peers is not self._peers
            or cluster_state.operators_read_at != self._operators_read_at
            or cluster_state.evacuations != self._evacuations
            or (index.catalog.version if index is not None else None) != self._version
            or frozenset(cluster_state.departures.lifetimes) != self._sent_leaving
            or cluster_state.blocks.snapshot is not self._blocks
        )

    def write(self, held_for: float) -> FeedUpdate:
        """Return the changes since the last call; the first call returns the whole state.

        :param held_for: seconds since the request arrived.
        """
        cluster_state = self._cluster_state
        self._operators_read_at = cluster_state.operators_read_at
        self._evacuations = cluster_state.evacuations
        known, current = self._upstreams_by_id, cluster_state.registered_by_id
        known_peers, known_version = self._peers, self._version
        known_blocks, self._blocks = self._blocks, cluster_state.blocks.snapshot
        self._upstreams_by_id = current
        changed = changed_upstreams(known, current)
        leaving = cluster_state.departures.lifetimes
        sent_leaving, self._sent_leaving = self._sent_leaving, frozenset(leaving)
        catalog = (
            cluster_state.catalog_index.catalog if cluster_state.catalog_index is not None else None
        )
        version = catalog.version if catalog is not None else None
        is_catalog_unchanged = version == self._version
        self._version = version
        are_peers_unchanged = cluster_state.peers is self._peers
        self._peers = cluster_state.peers
        is_first, self._is_first = self._is_first, False
        at = now()
        cold = tuple(
            ColdUpstream(upstream.upstream_id, upstream.cold_until - at)
            for upstream in changed
            if upstream.cold_until > at
        )
        self.last_steps = FeedSteps(
            (known, current, known_peers, cluster_state.peers, known_blocks, self._blocks),
            (
                is_first,
                known_version,
                version,
                cluster_state.evacuations,
                sent_leaving,
                self._sent_leaving,
                cluster_state.revision,
                cluster_state.era,
                tuple((found.upstream_id, round(found.seconds)) for found in cold),
            ),
        )
        return FeedUpdate(
            complete=is_first,
            held_for=held_for,
            operators_age=cluster_state.operators_age(),
            upstreams_age=at - cluster_state.upstreams_read_at,
            catalog=None if is_catalog_unchanged else catalog,
            evacuations=cluster_state.evacuations,
            peers=None if are_peers_unchanged else cluster_state.peers,
            changed=changed,
            removed=tuple(known.keys() - current.keys()),
            cold=cold,
            revision=cluster_state.revision,
            era=cluster_state.era,
            leaving=tuple(lifetime for lifetime in leaving if lifetime not in sent_leaving),
            blocks=None if self._blocks is known_blocks else self._blocks,
        )


class FeedSource(Component):
    """Sends updates to followers while the state of this instance is recent.

    :param address: ``host:port`` to listen on; with None the source does not listen.
    :param max_age: age in seconds of its own state beyond which a source sends no updates.
    """

    def __init__(
        self,
        address: str | None,
        cluster_state: ClusterState,
        log: DecisionLog,
        max_age: float = DEFAULT_MAX_AGE_SECONDS,
    ) -> None:
        self._max_age = max_age
        self._address = address
        self._cluster_state = cluster_state
        self._log = log
        self._server: Server | None = None
        self._contents = ContentCache()

    async def start(self) -> None:
        """Start to listen."""
        if self._address is None:
            return
        host, _, port = self._address.rpartition(":")
        self._server = await serve(
            self._serve,
            host,
            int(port),
            compression=None,
            max_size=MAX_REQUEST_BYTES,
            ping_interval=None,
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    @property
    def port(self) -> int | None:
        """The port that the source listens on; None before it listens."""
        if self._server is None:
            return None
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def _serve(self, connection: ServerConnection) -> None:
        writer = FeedUpdateWriter(self._cluster_state)
        try:
            async for request in connection:
                received_at = now()
                if request == WAITING_UPDATE_REQUEST:
                    await self._wait_for_recent_state()
                # A change while no request was open has woken nobody.
                if not writer.has_news:
                    await self._cluster_state.wait_for_change(self._hold_seconds())
                if not self._is_recent:
                    await connection.close(*self._close_reason())
                    return
                update = writer.write(now() - received_at)
                await connection.send(self._contents.encode(update, writer.last_steps))
        except ConnectionClosed as error:
            self._log.state_change("follower-gone", peer=_peer_host(connection), reason=error)

    def _close_reason(self) -> tuple[int, str]:
        """Return the code and the text for a follower that is sent no update."""
        if self._cluster_state.catalog_index is None:
            return NOTHING_KNOWN_CODE, "has not read the store yet"
        return NOT_CURRENT_CODE, "has no recent state of the store"

    @property
    def _is_recent(self) -> bool:
        """Whether the state of this instance is recent enough to be sent."""
        return self._seconds_left > 0.0

    @property
    def _seconds_left(self) -> float:
        """Seconds for which the state may still be sent; not positive when it is too old."""
        return self._max_age - self._cluster_state.operators_age()

    async def _wait_for_recent_state(self) -> None:
        """Wait until the state is recent, for up to MAX_WAIT_FOR_RECENT_STATE_SECONDS."""
        until = now() + MAX_WAIT_FOR_RECENT_STATE_SECONDS
        while not self._is_recent and now() < until:
            await self._cluster_state.wait_for_change(until - now())

    def _hold_seconds(self) -> float:
        """Return how long to wait for a change, at most until the state is too old to be sent."""
        return max(0.0, min(MAX_HOLD_SECONDS, self._seconds_left))


def _peer_host(connection: ServerConnection) -> Any:
    address = connection.remote_address
    return address[0] if address else None
