"""Commits take-outs that were accepted while the platform was unavailable."""

import asyncio
import uuid
from collections.abc import Callable

from cactuspass._component import LoopComponent
from cactuspass._configuration_changes import TakeOutChange
from cactuspass._counters import Counters
from cactuspass._documents import DocumentStore
from cactuspass._membership import live_entries
from cactuspass._messages import ConfigurationRead, Input
from cactuspass._tables import Tables
from cactuspass.exceptions import ConfigurationError, PlatformError
from cactuspass.models import OperationId

CHECK_INTERVAL_SECONDS = 1.0
DELAY_PER_LOWER_ENTRY_SECONDS = 1.0


class TakeOutCommitter(LoopComponent):
    """Writes pending take-outs once the platform is available again.

    The live entry with the lowest id writes first; each of the others waits one delay for every
    live entry with a lower id.

    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        tables: Tables,
        documents: DocumentStore,
        accept_input: Callable[[Input], None],
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        super().__init__()
        self._tables = tables
        self._documents = documents
        self._accept_input = accept_input
        self._clock = clock
        self._counters = counters

    async def run_loop(self) -> None:
        """Check for pending take-outs and commit them, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._tables.pending_take_outs_by_tag:
                continue
            await asyncio.sleep(DELAY_PER_LOWER_ENTRY_SECONDS * self._lower_entry_count())
            if self._tables.pending_take_outs_by_tag:
                await self._commit()

    def _lower_entry_count(self) -> int:
        """Return the number of live entries with a lower id than this one."""
        own = self._tables.local.entry_id
        return sum(row.entry_id < own for row in live_entries(self._tables, self._clock()))

    async def _commit(self) -> None:
        pending = tuple(self._tables.pending_take_outs_by_tag.values())
        operation = OperationId(f"{self._tables.local.entry_id}/{uuid.uuid4().hex[:12]}")
        try:
            committed = await self._documents.commit_configuration(
                TakeOutChange(pending, operation), operation
            )
        except (PlatformError, ConfigurationError):
            self._counters.count("take_outs.commit_failures")
            return
        self._counters.count("take_outs.committed", len(pending))
        self._accept_input(ConfigurationRead(committed, from_platform=True))
