"""Client of the feed, by which an instance receives the store's contents from another one.

While no source responds, the instance reads the store itself.
"""

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
FAILED_SOURCE_PAUSE_SECONDS = 3.0  # time before a source that has failed is tried again
SOURCE_CHECK_SECONDS = 0.25
MAX_UPDATE_BYTES = 16 * 1024 * 1024


class FeedUpdateIncomplete(CactuspassError):
    """An update builds on an earlier one that was not applied; a complete one is needed."""


FEED_ERRORS = (OSError, TimeoutError, WebSocketException, DocumentError, FeedUpdateIncomplete)


class FeedFollower(RepeatingComponent):
    """Receives updates from a source, preferably one of the same data centre.

    :param must_read_store: whether this instance has to read the store itself, as a leader does.
    :param on_change: called after the upstreams have changed.
    :param on_leaving: called with each lifetime of an upstream that has announced that it leaves.
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
        """Whether updates arrive from a source, so that the store need not be read."""
        return now() < self._active_until and not self._must_read_store()

    async def step(self) -> None:
        """Receive updates from one source until it fails or is no longer the preferred one."""
        source = self._choose_source()
        if source is None:
            await asyncio.sleep(SOURCE_CHECK_SECONDS)
            return
        try:
            await self._follow(source)
        except FeedUpdateIncomplete:
            return  # The next step connects again and gets a complete update.
        except FEED_ERRORS as error:
            self._active_until = float("-inf")
            self._avoided_until_by_id[source.instance] = now() + FAILED_SOURCE_PAUSE_SECONDS
            self._log.lifecycle(
                "dependency-lost",
                dependency=f"feed from {source.instance}",
                reason=str(error) or type(error).__name__,
            )

    def _choose_source(self) -> Peer | None:
        """Return the preferred source that has not failed recently.

        :return: None when there is none, when this instance is a source itself or has to read the
            store, or when it has no catalog yet.
        """
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
        """Return the sources of other data centres, for use when no local one responds."""
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
        """Apply an update to the state of this instance.

        The ages in an update count from when it was written. That is taken to be ``held_for`` after
        the request was sent, the earliest possible time, so no state is taken for newer than it is.
        """
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
                f"update up to revision {update.revision} builds on an update that was not applied"
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
