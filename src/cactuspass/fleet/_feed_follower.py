"""Learns from another instance what is in the store, and returns to the store without it."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from itertools import chain

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from cactuspass._clock import now
from cactuspass.exceptions import CactuspassError, DocumentError
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._feed_messages import FeedUpdate, decode_feed_update
from cactuspass.fleet._peers import Peer, choose_sources, order_sources
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.models import DataCentreId, EntryId

UPDATE_REQUEST = b""
CONNECT_TIMEOUT_SECONDS = 0.3
RESPONSE_TIMEOUT_SECONDS = 0.8
FAILED_SOURCE_PAUSE_SECONDS = 3.0
SOURCE_CHECK_SECONDS = 0.25
MAX_UPDATE_BYTES = 16 * 1024 * 1024


class FeedUpdateIncomplete(CactuspassError):
    """News build on earlier ones that were not taken; the source must tell everything again."""


FEED_ERRORS = (OSError, TimeoutError, WebSocketException, DocumentError, FeedUpdateIncomplete)


class FeedFollower(RepeatingComponent):
    """Follows a source, best of this data centre, unless this instance has to follow the store.

    :param must_read_store: whether this instance needs the store's own word, as a leader does.
    :param on_change: called when upstreams have changed.
    :param on_leaving: called with each lifetime that leaves by its own word.
    """

    def __init__(
        self,
        instance: EntryId,
        data_centre: DataCentreId,
        cluster_state: ClusterState,
        must_read_store: Callable[[], bool],
        on_change: Callable[[], None],
        log: DecisionLog,
        on_leaving: Callable[[Lifetime], object] | None = None,
    ) -> None:
        super().__init__(log)
        self._instance = instance
        self._data_centre = data_centre
        self._cluster_state = cluster_state
        self._must_read_store = must_read_store
        self._on_change = on_change
        self._on_leaving = on_leaving or cluster_state.mark_leaving
        self._avoided_until_by_id: dict[EntryId, float] = {}
        self._active_until = float("-inf")
        self._source_was_behind = False

    @property
    def is_active(self) -> bool:
        """Whether a source has answered just now, so that the store need not be read."""
        return now() < self._active_until and not self._must_read_store()

    async def step(self) -> None:
        """Follow one source as long as it answers."""
        source = self._choose_source()
        if source is None:
            await asyncio.sleep(SOURCE_CHECK_SECONDS)
            return
        try:
            await self._follow(source)
        except FeedUpdateIncomplete:
            return  # The next step connects anew.
        except FEED_ERRORS as error:
            self._active_until = float("-inf")
            self._avoided_until_by_id[source.instance] = now() + FAILED_SOURCE_PAUSE_SECONDS
            self._log.lifecycle(
                "dependency-lost",
                dependency=f"feed from {source.instance}",
                reason=str(error) or type(error).__name__,
            )

    def _choose_source(self) -> Peer | None:
        """Return the source to ask; None when this instance is one, or none is known to answer."""
        if self._must_read_store() or self._cluster_state.catalog_index is None:
            return None
        local = choose_sources(self._cluster_state.peers, self._data_centre)
        if any(source.instance == self._instance for source in local):
            return None
        at = now()
        for source in chain(order_sources(local, self._instance), self._remote_sources()):
            if self._avoided_until_by_id.get(source.instance, 0.0) <= at:
                return source
        return None

    def _remote_sources(self) -> list[Peer]:
        """Return the sources of other data centres, which are asked when none here answers."""
        peers = self._cluster_state.peers
        elsewhere = {peer.data_centre for peer in peers} - {self._data_centre}
        sources = chain.from_iterable(choose_sources(peers, other) for other in elsewhere)
        return order_sources(sources, self._instance)

    async def _follow(self, source: Peer) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            connection = await connect(
                f"ws://{source.address}/",
                compression=None,
                max_size=MAX_UPDATE_BYTES,
                ping_interval=None,
                close_timeout=CONNECT_TIMEOUT_SECONDS,
                proxy=None,
            )
        try:
            is_first = True
            while self._choose_source() == source:
                await self._request_update(connection)
                if is_first:
                    self._log.lifecycle(
                        "dependency-regained", dependency=f"feed from {source.instance}"
                    )
                is_first = False
        finally:
            connection.transport.abort()

    async def _request_update(self, connection: ClientConnection) -> None:
        requested_at = now()
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            await connection.send(UPDATE_REQUEST)
            data = await connection.recv(decode=False)
        self._accept(decode_feed_update(data), requested_at)
        self._active_until = now() + RESPONSE_TIMEOUT_SECONDS

    def _accept(self, update: FeedUpdate, requested_at: float) -> None:
        """Take news; what it says was read at the latest when the answer was written."""
        cluster_state = self._cluster_state
        written_at = requested_at + update.held_for
        if update.catalog is not None:
            cluster_state.accept_catalog(update.catalog)
        cluster_state.accept_evacuations(update.evacuations)
        cluster_state.accept_peers(update.peers)
        for lifetime in update.leaving:
            self._on_leaving(lifetime)
        operators_read_at = written_at - update.operators_age
        cluster_state.operators_read_at = max(cluster_state.operators_read_at, operators_read_at)
        cluster_state.upstreams_read_at = max(
            cluster_state.upstreams_read_at, written_at - update.upstreams_age
        )
        if update.complete:
            self._source_was_behind = update.revision < cluster_state.revision
        if self._source_was_behind and not update.complete and (update.changed or update.removed):
            raise FeedUpdateIncomplete(
                f"changes up to {update.revision} need what was known before"
            )
        if self._source_was_behind or not (update.complete or update.changed or update.removed):
            return
        seconds_by_id = {cold.upstream_id: cold.seconds for cold in update.cold}
        upstreams_by_id = {} if update.complete else dict(cluster_state.registered_by_id)
        for upstream_id in update.removed:
            upstreams_by_id.pop(upstream_id, None)
        for upstream in update.changed:
            seconds = seconds_by_id.get(upstream.upstream_id)
            cold_until = now() + seconds if seconds is not None else 0.0
            upstreams_by_id[upstream.upstream_id] = replace(upstream, cold_until=cold_until)
        cluster_state.accept_upstreams(upstreams_by_id.values(), update.revision)
        self._on_change()
