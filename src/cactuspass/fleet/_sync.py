"""Loops that copy the operators' documents and the registry from the store to this instance."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from itertools import islice

from cactuspass._clock import now
from cactuspass._findings import Finding
from cactuspass._revisions import era_of
from cactuspass.exceptions import PlatformError
from cactuspass.fleet._cluster_state import ClusterState, changed_upstreams
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._directory import Directory, UpstreamChanges
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._store import HistoryLost
from cactuspass.fleet._upstreams import Upstream, UpstreamId

OPERATORS_POLL_SECONDS = 0.8
WATCH_WAIT_SECONDS = 2.0
BATCH_SECONDS = 0.25  # pause after a change, so that the next watch returns several
LEADER_BATCH_SECONDS = 0.1  # the same for the leader, whose orders need a more recent state
RETRY_SECONDS = 0.2
LAPSED_GRACE_SECONDS = 2.2  # time for upstreams to register again after an outage
OUTAGE_SECONDS = 1.0  # shorter failures do not start the grace time
RELIST_SECONDS = 4.0
FEED_CHECK_SECONDS = 0.2
MAX_SEEN_FINDINGS = 1000
MAX_LOGGED_FINDINGS = 20

Pause = Callable[[float], float]


def same_pause(seconds: float) -> float:
    """Return a pause unchanged; the default of ``retry_pause``."""
    return seconds


def no_feed() -> bool:
    """Return False; the default of ``uses_feed``, with which the store is always read."""
    return False


async def return_at_once() -> None:
    """Do nothing; the default of ``catch_up``."""


class Dependency:
    """Logs when a dependency of this instance stops responding and when it responds again.

    :param name: name of the dependency in the log.
    """

    def __init__(self, name: str, log: DecisionLog) -> None:
        self._name = name
        self._log = log
        self.failing_since: float | None = None
        self.regained_at = float("-inf")

    def record_success(self) -> None:
        """Record that the dependency responded; log the end of a failure."""
        if self.failing_since is None:
            return
        lasted = now() - self.failing_since
        self._log.lifecycle("dependency-regained", dependency=self._name, lost_for=lasted)
        if lasted >= OUTAGE_SECONDS:
            self.regained_at = now()
        self.failing_since = None

    def record_failure(self, error: Exception) -> None:
        """Record that a call failed; log the beginning of a failure."""
        if self.failing_since is not None:
            return
        self.failing_since = now()
        self._log.lifecycle("dependency-lost", dependency=self._name, reason=error)


def log_findings(log: DecisionLog, findings: tuple[Finding, ...], seen: set[str]) -> None:
    """Log each mistake in a document once, and at most ``MAX_LOGGED_FINDINGS`` of one read.

    :param seen: texts of the findings that are already logged; new ones are added.
    """
    new = dict.fromkeys(text for text in map(str, findings) if text not in seen)
    if len(seen) + len(new) > MAX_SEEN_FINDINGS:
        seen.clear()
    for text in islice(new, MAX_LOGGED_FINDINGS):
        seen.add(text)
        log.alarm("document-unreadable", finding=text)
    if len(new) > MAX_LOGGED_FINDINGS:
        log.alarm("documents-unreadable", further=len(new) - MAX_LOGGED_FINDINGS)


class OperatorSync(RepeatingComponent):
    """Polls the operators' documents.

    :param uses_feed: whether another instance provides them, so that they are not read here.
    :param retry_pause: returns the time in seconds before the next try after a failed one, from the
        shortest such time.
    :param on_read: called after each successful read.
    :param catch_up: waits before a first catalog is put in force, since another instance may know
        a later one than a restored store has.
    """

    def __init__(
        self,
        directory: Directory,
        cluster_state: ClusterState,
        log: DecisionLog,
        uses_feed: Callable[[], bool] = no_feed,
        retry_pause: Pause = same_pause,
        on_read: Callable[[], None] = lambda: None,
        catch_up: Callable[[], Awaitable[None]] = return_at_once,
    ) -> None:
        super().__init__(log)
        self._catch_up = catch_up
        self._on_read = on_read
        self._retry_pause = retry_pause
        self._uses_feed = uses_feed
        self._directory = directory
        self._cluster_state = cluster_state
        self._dependency = Dependency("operators' documents", log)
        self._seen_findings: set[str] = set()

    async def step(self) -> None:
        """Read the documents once, then wait until the next poll."""
        if self._uses_feed():
            await asyncio.sleep(FEED_CHECK_SECONDS)
            return
        began = now()
        pause = OPERATORS_POLL_SECONDS
        try:
            await self._read(began)
        except PlatformError as error:
            self._dependency.record_failure(error)
            pause = self._retry_pause(RETRY_SECONDS)
        if self._cluster_state.catalog_index is None:
            pause = RETRY_SECONDS
        await asyncio.sleep(max(0.05, pause * random.uniform(0.9, 1.0) - (now() - began)))

    async def _read(self, began: float) -> None:
        documents = await self._directory.read_operators()
        self._dependency.record_success()
        self._cluster_state.note_era(era_of(documents.revision))
        log_findings(self._log, documents.findings, self._seen_findings)
        if documents.catalog is not None:
            if self._cluster_state.catalog_index is None:
                await self._catch_up()
            self._cluster_state.accept_catalog(documents.catalog)
        if not documents.findings:
            self._cluster_state.record_operators_read(began)
            self._on_read()
        self._cluster_state.accept_evacuations(documents.evacuations)


class UpstreamSync(RepeatingComponent):
    """Follows the registry of upstreams by listings and watches.

    Entries that expire while the store is unavailable, or that a restored store lacks, are kept for
    ``LAPSED_GRACE_SECONDS`` after its return, since upstreams that still run register again.

    :param on_change: called after each change of the registered upstreams.
    :param is_leader: whether this instance leads; it then pauses for a shorter time after a change.
    :param uses_feed: whether another instance provides the upstreams, so that they are not read
        here.
    :param retry_pause: as of ``OperatorSync``.
    """

    def __init__(
        self,
        directory: Directory,
        cluster_state: ClusterState,
        log: DecisionLog,
        on_change: Callable[[], None] = lambda: None,
        is_leader: Callable[[], bool] = lambda: False,
        uses_feed: Callable[[], bool] = no_feed,
        retry_pause: Pause = same_pause,
    ) -> None:
        super().__init__(log)
        self._retry_pause = retry_pause
        self._uses_feed = uses_feed
        self._directory = directory
        self._cluster_state = cluster_state
        self._on_change = on_change
        self._is_leader = is_leader
        self._dependency = Dependency("registry of upstreams", log)
        self._seen_findings: set[str] = set()
        self._revision = 0
        self._listed_at = float("-inf")

    async def step(self) -> None:
        """List the registry if that is due, then wait for one set of changes and apply it."""
        if self._uses_feed():
            # The source has read the registry, so an outage of this instance's own reads is over.
            self._dependency.record_success()
            self._listed_at = float("-inf")
            await asyncio.sleep(FEED_CHECK_SECONDS)
            return
        try:
            await self._follow()
        except HistoryLost as error:
            self._log.state_change("registry-history-lost", reason=error)
            self._listed_at = float("-inf")
        except PlatformError as error:
            self._dependency.record_failure(error)
            self._listed_at = float("-inf")
            await asyncio.sleep(self._retry_pause(RETRY_SECONDS))

    async def _follow(self) -> None:
        if now() - self._listed_at > RELIST_SECONDS:
            await self._read_all()
        changes = await self._directory.watch_upstreams(self._revision, WATCH_WAIT_SECONDS)
        self._dependency.record_success()
        self._apply_changes(changes)
        if changes.changed or changes.removed:
            await asyncio.sleep(LEADER_BATCH_SECONDS if self._is_leader() else BATCH_SECONDS)

    async def _read_all(self) -> None:
        began = now()
        listing = await self._directory.read_upstreams()
        self._dependency.record_success()
        self._cluster_state.note_era(era_of(listing.revision))
        log_findings(self._log, listing.findings, self._seen_findings)
        self._listed_at = began
        self._cluster_state.upstreams_read_at = began
        self._revision = listing.revision
        listed_by_id = {upstream.upstream_id: upstream for upstream in listing.upstreams}
        removed = self._cluster_state.registered_by_id.keys() - listed_by_id.keys()
        self._apply(listing.upstreams, removed)

    def _apply_changes(self, changes: UpstreamChanges) -> None:
        log_findings(self._log, changes.findings, self._seen_findings)
        self._revision = max(self._revision, changes.revision)
        self._apply(changes.changed, changes.removed)

    def _apply(self, listed: Iterable[Upstream], removed: Iterable[UpstreamId]) -> None:
        """Apply what differs from the known upstreams.

        :param listed: entries as they are now, changed or not.
        """
        known_by_id = self._cluster_state.registered_by_id
        changed = changed_upstreams(known_by_id, {u.upstream_id: u for u in listed})
        removed = tuple(upstream_id for upstream_id in removed if upstream_id in known_by_id)
        regained_at = max(self._dependency.regained_at, self._cluster_state.restored_at)
        if now() - regained_at < LAPSED_GRACE_SECONDS:
            # Keeps the expired entries, and makes the next listing due when the grace time ends.
            removed = ()
            self._listed_at = min(
                self._listed_at, regained_at + LAPSED_GRACE_SECONDS - RELIST_SECONDS
            )
        if not changed and not removed:
            return
        self._cluster_state.accept_changes(changed, removed, self._revision)
        self._on_change()
