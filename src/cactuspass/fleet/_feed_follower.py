"""Client of the feed, by which an instance receives the store's contents from another one.

Few instances read the store. The sources of each data centre follow one of these, and all other
instances follow a source of their data centre. An instance that finds none to follow reads the
store itself.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from itertools import chain, takewhile

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from cactuspass._clock import now
from cactuspass.exceptions import CactuspassError, DocumentError
from cactuspass.fleet._cluster_state import NEVER, ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._feed_messages import FeedUpdate, decode_feed_update
from cactuspass.fleet._feed_source import (
    DEFAULT_MAX_AGE_SECONDS,
    NOT_CURRENT_CODE,
    NOTHING_KNOWN_CODE,
    UPDATE_REQUEST,
    WAITING_UPDATE_REQUEST,
)
from cactuspass.fleet._peers import (
    STORE_READERS,
    Peer,
    choose_sources,
    order_readers,
    order_sources,
)
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.fleet.prompt_parts import Block
from cactuspass.models import DataCentreId, EntryId

CONNECT_TIMEOUT_SECONDS = 0.4
FIRST_RESPONSE_TIMEOUT_SECONDS = 2.0  # the first update has the whole state
RESPONSE_TIMEOUT_SECONDS = 0.8
FAILED_SOURCE_PAUSE_SECONDS = 3.0  # time before a source that has failed is tried again
OUTDATED_SOURCE_PAUSE_SECONDS = 0.3  # the same for one that has no recent state for the moment
LONG_OUTDATED_SOURCE_PAUSE_SECONDS = 1.5  # the same once all sources have failed
MAX_ATTEMPT_INTERVAL_SECONDS = 0.5  # between attempts once all sources have failed
CLOSE_MARGIN_SECONDS = 0.2  # time for a source whose state is too old to say so itself
SOURCE_CHECK_SECONDS = 0.25
STARTUP_WAIT_SECONDS = 1.5  # time to find a source before the store is read instead
# After the start, before a first document of the store is believed: another instance may know later
# ones, which a restored store has lost.
CATCH_UP_SECONDS = 2.0
CATCH_UP_POLL_SECONDS = 0.02
MAX_CATCH_UP_FAILURES = 3
OWN_READ_MARGIN_SECONDS = 0.1  # own reads have failed this long before the state is too old
FOLLOW_AFTER_FAILED_READS_SECONDS = 3.0
LOG_PAUSE_SECONDS = 3.0  # between two lines on failures of one source
MAX_UPDATE_BYTES = 16 * 1024 * 1024


class FeedUpdateIncomplete(CactuspassError):
    """An update builds on an earlier one that was not applied; a complete one is needed."""


FEED_ERRORS = (OSError, TimeoutError, WebSocketException, DocumentError, FeedUpdateIncomplete)


class FeedFollower(RepeatingComponent):
    """Receives updates from a source, preferably one of the same data centre.

    :param must_read_store: whether this instance has to read the store itself, as a leader does.
    :param on_change: called after the upstreams have changed.
    :param on_leaving: called with each lifetime of an upstream that has announced that it leaves.
    :param max_age: age in seconds of a source's state beyond which it sends no updates.
    :param on_block: called with each block on parts of prompts in an update.
    :param are_peers_known: whether the registered instances have been listed since the start.
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
        max_age: float = DEFAULT_MAX_AGE_SECONDS,
        on_block: Callable[[Block], object] | None = None,
        are_peers_known: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__(log)
        self._are_peers_known = are_peers_known
        self._on_block = on_block or cluster_state.accept_block
        self._instance = instance
        self._data_centre = data_centre
        self._cluster_state = cluster_state
        self._max_age = max_age
        self._must_read_store = must_read_store
        self._on_change = on_change
        self._on_leaving = on_leaving or cluster_state.mark_leaving
        self._avoided_until_by_id: dict[EntryId, float] = {}
        self._failure_logged_at_by_id: dict[EntryId, float] = {}
        self._active_until = float("-inf")
        self._startup_until = float("-inf")
        self._own_reads_failed_until = float("-inf")
        self._source_was_behind = False
        self._failures_in_row = 0
        self._has_caught_up = False
        self._catch_up_until: float | None = None
        self._asked: set[EntryId] = set()
        self._ordered_peers: tuple[Peer, ...] = ()
        self._local_sources: list[Peer] = []
        self._readers: list[Peer] = []

    async def start(self) -> None:
        """Start to look for a source."""
        self._startup_until = now() + STARTUP_WAIT_SECONDS
        await super().start()

    async def catch_up(self) -> None:
        """Wait until no other instance is likely to know later documents than the store has.

        That is so once one has sent an update, once those to follow have been asked in vain, or
        after ``CATCH_UP_SECONDS`` since the first call.
        """
        if self._catch_up_until is None:
            self._catch_up_until = now() + CATCH_UP_SECONDS
        while self._must_catch_up:
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)

    @property
    def _is_catching_up(self) -> bool:
        """Whether this instance still asks others for what they know."""
        if self._has_caught_up or len(self._asked) >= MAX_CATCH_UP_FAILURES:
            return False
        until = self._startup_until if self._catch_up_until is None else self._catch_up_until
        return now() < until

    @property
    def _must_catch_up(self) -> bool:
        """Whether another instance may know later documents, and may still be asked for them."""
        if not self._is_catching_up:
            return False
        return not self._are_peers_known() or any(
            source.instance not in self._asked for source in self._sources_to_ask()
        )

    def _sources_to_ask(self) -> list[Peer]:
        """Return the sources that this instance may follow after its start."""
        ordered = self._ordered_sources()
        return list(takewhile(lambda source: source.instance != self._instance, ordered))

    @property
    def is_active(self) -> bool:
        """Whether updates arrive from a source, so that the store need not be read."""
        return now() < self._active_until and not self._must_read_store()

    @property
    def is_expected(self) -> bool:
        """Whether updates arrive, or are likely to arrive soon, so that reading can wait.

        After the start, that is the case until the other instances are known and until a source
        has had time to answer.
        """
        if self.is_active:
            return True
        if self._must_read_store() or now() >= self._startup_until:
            return False
        return not self._cluster_state.peers or self._choose_source() is not None

    def record_own_read(self) -> None:
        """Record that this instance has read the store, so that a reader need not follow others."""
        self._own_reads_failed_until = float("-inf")

    async def step(self) -> None:
        """Receive updates from one source until it fails or is no longer the preferred one."""
        source = self._choose_source()
        if source is None:
            await asyncio.sleep(SOURCE_CHECK_SECONDS)
            return
        began = now()
        try:
            await self._follow(source)
            self._end_use_without_source()
        except FeedUpdateIncomplete:
            return  # The next step connects again and gets a complete update.
        except FEED_ERRORS as error:
            self._failures_in_row += 1
            code = _close_code(error)
            if code != NOT_CURRENT_CODE:
                self._asked.add(source.instance)
            self._avoid(source, error, code in (NOT_CURRENT_CODE, NOTHING_KNOWN_CODE))
            if self._have_all_sources_failed:
                interval = MAX_ATTEMPT_INTERVAL_SECONDS * random.uniform(0.5, 1.0)
                await asyncio.sleep(began + interval - now())

    @property
    def _have_all_sources_failed(self) -> bool:
        """Whether as many attempts have failed in a row as there are sources.

        Further attempts are then made less often, to spare the sources, but not during
        STARTUP_WAIT_SECONDS, since no caller is served before one succeeds.
        """
        return self._failures_in_row >= len(self._readers) and now() >= self._startup_until

    def _avoid(self, source: Peer, error: Exception, is_outdated: bool) -> None:
        """Try other sources first for a while, and log the failure unless that is just done.

        :param is_outdated: whether the source has answered that it has no recent state.
        """
        at = now()
        pause = self._outdated_pause() if is_outdated else FAILED_SOURCE_PAUSE_SECONDS
        self._avoided_until_by_id[source.instance] = at + pause
        self._end_use_without_source()
        if at - self._failure_logged_at_by_id.get(source.instance, NEVER) < LOG_PAUSE_SECONDS:
            return
        self._failure_logged_at_by_id[source.instance] = at
        self._log.lifecycle(
            "dependency-lost",
            dependency=f"feed from {source.instance}",
            reason=str(error) or type(error).__name__,
        )

    def _end_use_without_source(self) -> None:
        """Count the feed as unused at once if there is no source to follow."""
        if self._choose_source() is None:
            self._active_until = float("-inf")

    def _outdated_pause(self) -> float:
        """Return the time in seconds before a source without recent state is tried again."""
        if self._have_all_sources_failed:
            return LONG_OUTDATED_SOURCE_PAUSE_SECONDS
        return OUTDATED_SOURCE_PAUSE_SECONDS

    def _choose_source(self) -> Peer | None:
        """Return the preferred source that has not failed recently.

        :return: None when there is none, or when this instance has to read the store.
        """
        if self._must_read_store():
            return None
        at = now()
        for source in self._ordered_sources():
            if source.instance == self._instance:
                return None
            if self._avoided_until_by_id.get(source.instance, 0.0) <= at:
                return source
        return None

    def _ordered_sources(self) -> list[Peer]:
        """Return the sources in the order of preference; from this instance on, none is followed.

        A source follows only those that come before it in the order of readers, so that no two
        sources follow each other for long. A reader whose own reads fail follows any other, as does
        one that has just started, until it has had one update or has asked in vain.
        """
        self._update_order()
        local, readers = self._local_sources, self._readers
        if all(source.instance != self._instance for source in local):
            remote = [reader for reader in readers if reader not in local]
            ordered = (order_sources(sources, self._instance) for sources in (local, remote))
            return list(chain.from_iterable(ordered))
        first, later = readers[:STORE_READERS], readers[STORE_READERS:]
        if all(reader.instance != self._instance for reader in first):
            return [*order_sources(first, self._instance), *later]
        others = [reader for reader in readers if reader.instance != self._instance]
        return others if self._is_catching_up or self._do_own_reads_fail() else []

    def _update_order(self) -> None:
        """Choose the sources anew if the registered instances have changed."""
        peers = self._cluster_state.peers
        if peers is self._ordered_peers:
            return
        self._ordered_peers = peers
        self._local_sources = choose_sources(peers, self._data_centre)
        self._readers = order_readers(peers)

    def _do_own_reads_fail(self) -> bool:
        """Return whether this instance could not read the store a moment ago.

        It then follows another one for a while before it tries to read the store again.
        """
        at, age = now(), self._cluster_state.operators_age()
        is_starting = at < self._startup_until
        failed_age = self._max_age - OWN_READ_MARGIN_SECONDS
        if at >= self._own_reads_failed_until and age > failed_age and not is_starting:
            self._own_reads_failed_until = at + FOLLOW_AFTER_FAILED_READS_SECONDS
        return at < self._own_reads_failed_until

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
                await self._request_update(connection, is_first)
                if is_first:
                    self._log.lifecycle(
                        "dependency-regained", dependency=f"feed from {source.instance}"
                    )
                is_first = False
        finally:
            connection.transport.abort()

    async def _request_update(self, connection: ClientConnection, is_first: bool) -> None:
        requested_at = now()
        seconds = FIRST_RESPONSE_TIMEOUT_SECONDS if is_first else self._response_timeout()
        async with asyncio.timeout(seconds):
            await connection.send(
                WAITING_UPDATE_REQUEST if self._have_all_sources_failed else UPDATE_REQUEST
            )
            data = await connection.recv(decode=False)
        self._accept(decode_feed_update(data), requested_at)
        self._failures_in_row = 0
        self._active_until = now() + RESPONSE_TIMEOUT_SECONDS

    def _response_timeout(self) -> float:
        """Return how long to wait for an update, less once this instance's state gets too old."""
        left = max(0.0, self._max_age - self._cluster_state.operators_age())
        return min(RESPONSE_TIMEOUT_SECONDS, left + CLOSE_MARGIN_SECONDS)

    def _accept(self, update: FeedUpdate, requested_at: float) -> None:
        """Apply an update to the state of this instance.

        The ages in an update count from when it was written. That is taken to be ``held_for`` after
        the request was sent, the earliest possible time, so no state is taken for newer than it is.
        """
        self._has_caught_up = True
        cluster_state = self._cluster_state
        written_at = requested_at + update.held_for
        if update.era is not None:
            cluster_state.note_era(update.era)
        if update.catalog is not None:
            cluster_state.accept_catalog(update.catalog)
        cluster_state.accept_evacuations(update.evacuations)
        if update.peers is not None:
            cluster_state.accept_peers(update.peers)
        for lifetime in update.leaving:
            self._on_leaving(lifetime)
        for block in update.blocks or ():
            self._on_block(block)
        cluster_state.record_operators_read(written_at - update.operators_age)
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
        self._accept_upstreams(update)
        self._on_change()

    def _accept_upstreams(self, update: FeedUpdate) -> None:
        seconds_by_id = {cold.upstream_id: cold.seconds for cold in update.cold}
        at = now()
        changed = [
            replace(upstream, cold_until=at + seconds_by_id[upstream.upstream_id])
            if upstream.upstream_id in seconds_by_id
            else replace(upstream, cold_until=0.0)
            for upstream in update.changed
        ]
        if update.complete:
            self._cluster_state.accept_upstreams(changed, update.revision)
        else:
            self._cluster_state.accept_changes(changed, update.removed, update.revision)


def _close_code(error: Exception) -> int | None:
    """Return the code with which a source has closed a connection; None for other errors."""
    if isinstance(error, ConnectionClosed) and error.rcvd is not None:
        return error.rcvd.code
    return None
