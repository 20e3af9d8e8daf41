"""Runs operators' queries and commands with this entry's tables, its peers and the platform."""

import asyncio
import time
import uuid
from dataclasses import fields

from cactuspass._burn import BurnPoint, BurnTracker, burn_rows
from cactuspass._configuration_changes import TakeOutChange, change_of
from cactuspass._documents import ConfigurationChange, DocumentStore
from cactuspass._in_force import confirmation_status
from cactuspass._messages import ConfigurationRead, TakeOutsReceived
from cactuspass._operator_api import BurnAnswer, CommandAnswer, OperatorApi, QueryAnswer
from cactuspass._peer_queries import PeerQueries
from cactuspass._peers import PeerNetwork
from cactuspass._platform_loop import PlatformLoop
from cactuspass._rows import RowSet, merge, row_set, select
from cactuspass._runner import CoreRunner
from cactuspass._statements import Query, Statement, ViewName
from cactuspass._views import FLEET_VIEWS, VIEWS_BY_NAME, ViewSources
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.models import Configuration, OperationId, TakeOutTag

CONFIRMATION_POLL_SECONDS = 0.05
COMMIT_RETRY_SECONDS = 0.2
# When the platform has not answered for this long, commands are no longer repeated.
KNOWN_OUTAGE_SECONDS = 3.0
# Entries request each other's burn counts under this name, which no view of the language has.
BURN_VIEW = ""


class EntryOperators(OperatorApi):
    """The operators' interface of this entry."""

    def __init__(
        self,
        sources: ViewSources,
        documents: DocumentStore,
        network: PeerNetwork,
        platform_loop: PlatformLoop,
        runner: CoreRunner,
        burn: BurnTracker,
    ) -> None:
        self._sources = sources
        self._tables = sources.tables
        self._documents = documents
        self._network = network
        self._platform_loop = platform_loop
        self._runner = runner
        self._burn = burn
        self._peer_queries: PeerQueries | None = None

    def set_peer_queries(self, peer_queries: PeerQueries) -> None:
        """Set the object that queries the peers."""
        self._peer_queries = peer_queries

    def local_rows(self, view: str) -> RowSet:
        """Return this entry's rows of a view, or its burn counts for :data:`BURN_VIEW`."""
        if view == BURN_VIEW:
            return row_set(BurnPoint, self._burn.points())
        return VIEWS_BY_NAME[ViewName(view)](self._sources)

    async def ask(self, query: Query) -> QueryAnswer:
        """Return the rows of a query."""
        if query.view is ViewName.IN_FORCE:
            return QueryAnswer(select(query, self._in_force_rows()))
        found = self.local_rows(query.view.value)
        unreachable: tuple[str, ...] = ()
        if query.view in FLEET_VIEWS and self._peer_queries is not None:
            others = await self._peer_queries.query_all(query.view.value)
            rows = merge([found, *others.row_sets]).rows
            found = RowSet(found.columns, tuple(dict.fromkeys(rows)))
            unreachable = others.unreachable
        return QueryAnswer(select(query, found), unreachable)

    async def order(self, command: Statement, wait_seconds: float) -> CommandAnswer:
        """Carry out a command, then wait until every entry has confirmed it or the time is up."""
        operation = OperationId(f"{self._tables.local.entry_id}/{uuid.uuid4().hex[:12]}")
        change = change_of(command, self._tables, operation, time.time())
        try:
            configuration = await self._commit(change, operation, wait_seconds)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            if not isinstance(change, TakeOutChange):
                raise
            return await self._take_out_through_peers(change, str(error), wait_seconds)
        self._runner.accept(ConfigurationRead(configuration, from_platform=True))
        self._platform_loop.poll_soon()
        return await self._wait_for_confirmations(configuration.revision, (), "", wait_seconds)

    async def _commit(
        self, change: ConfigurationChange, operation: OperationId, wait_seconds: float
    ) -> Configuration:
        """Commit a change, again while a call of the platform fails without effect.

        A take-out is not repeated, since the peers can have it without the platform.
        """
        seen_revision = self._seen_revision()
        deadline = self._runner.clock() + wait_seconds
        while True:
            try:
                return await self._documents.commit_configuration(change, operation, seen_revision)
            except PlatformUnavailable:
                if isinstance(change, TakeOutChange) or not self._may_repeat(deadline):
                    raise
            await asyncio.sleep(COMMIT_RETRY_SECONDS)

    def _may_repeat(self, deadline: float) -> bool:
        """Return whether the platform may answer before the deadline, as it did just now."""
        answered_at = self._tables.local.platform_answered_at
        now = self._runner.clock()
        is_known_outage = answered_at is None or now - answered_at >= KNOWN_OUTAGE_SECONDS
        return not is_known_outage and now + COMMIT_RETRY_SECONDS < deadline

    async def burn(self) -> BurnAnswer:
        """Return the burn of every objective, counted over all entries."""
        points = list(self._burn.points())
        unreachable: tuple[str, ...] = ()
        if self._peer_queries is not None:
            others = await self._peer_queries.query_all(BURN_VIEW)
            names = tuple(field.name for field in fields(BurnPoint))
            points += [
                BurnPoint(**dict(zip(names, row, strict=True)))  # type: ignore[arg-type]
                for part in others.row_sets
                for row in part.rows
            ]
            unreachable = others.unreachable
        return BurnAnswer(tuple(burn_rows(self._burn.objectives, points, time.time())), unreachable)

    def _seen_revision(self) -> int | None:
        configuration = self._tables.configuration
        return None if configuration is None else configuration.revision

    async def _take_out_through_peers(
        self, change: TakeOutChange, reason: str, wait_seconds: float
    ) -> CommandAnswer:
        """Accept a take-out and send it to the peers; it is committed once the platform answers."""
        self._runner.accept(TakeOutsReceived(change.take_outs))
        await asyncio.sleep(0)
        self._network.broadcast_take_outs()
        detail = f"the platform does not answer ({reason}); peers pass it on until it does"
        tags = tuple(take_out.tag for take_out in change.take_outs)
        return await self._wait_for_confirmations(0, tags, detail, wait_seconds)

    async def _wait_for_confirmations(
        self, revision: int, tags: tuple[TakeOutTag, ...], detail: str, wait_seconds: float
    ) -> CommandAnswer:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        self._network.broadcast_heartbeat()
        status = confirmation_status(self._tables, revision, tags)
        while status.unconfirmed and loop.time() < deadline:
            await asyncio.sleep(CONFIRMATION_POLL_SECONDS)
            status = confirmation_status(self._tables, revision, tags)
        return CommandAnswer(True, revision, status.confirmed, status.unconfirmed, detail)

    def _in_force_rows(self) -> RowSet:
        """Return whether each known entry has confirmed this entry's revision and take-outs."""
        revision = self._seen_revision() or 0
        tags = tuple(self._tables.pending_take_outs_by_tag)
        status = confirmation_status(self._tables, revision, tags)
        rows = [(entry, revision, True) for entry in status.confirmed]
        rows += [(entry, revision, False) for entry in status.unconfirmed]
        return RowSet(("entry", "revision", "confirmed"), tuple(sorted(rows)))
