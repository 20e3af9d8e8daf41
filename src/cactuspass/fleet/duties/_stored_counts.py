"""Counts of instances that the holder of the duties cannot reach, by way of the store."""

import asyncio
import random

from pydantic import TypeAdapter, ValidationError

from cactuspass._findings import findings_from_error
from cactuspass._platform import Write
from cactuspass.exceptions import PlatformError
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._registration import DUTIES_PREFIX
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties._holder import DutyHolder
from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._usage_collector import UsageCollector
from cactuspass.fleet.duties._usage_messages import UsageAnswer
from cactuspass.fleet.duties._windows import Windows

COUNTS_PREFIX = f"{DUTIES_PREFIX}usage-counts/"
STEP_SECONDS = 0.5
# Time after a window has settled in which the holder may still ask, and in which the instances that
# it has not asked write at different times.
UNASKED_SECONDS = 1.0
MAX_JITTER_SECONDS = 1.5

_ADAPTER: TypeAdapter[UsageAnswer] = TypeAdapter(UsageAnswer)


class StoredCounts(RepeatingComponent):
    """Writes the counts of this instance to the store while no holder asks for them.

    The holder reads them before it closes a window for which instances lack.
    """

    def __init__(
        self,
        store: SharedStore,
        holder: DutyHolder,
        collector: UsageCollector,
        windows: Windows,
        true_time: TrueTime,
        log: DecisionLog,
    ) -> None:
        super().__init__(log)
        self._store = store
        self._holder = holder
        self._collector = collector
        self._windows = windows
        self._true_time = true_time
        self._written_window = -1
        self._revision = 0

    async def step(self) -> None:
        """Write the counts once for a window that has ended without a query since."""
        await asyncio.sleep(STEP_SECONDS)
        if self._unasked_window() is None:
            return
        await asyncio.sleep(random.uniform(0.0, MAX_JITTER_SECONDS))
        window = self._unasked_window()
        if window is None:
            return
        self._written_window = window
        try:
            await self._write()
        except PlatformError as error:
            self._log.state_change("usage-counts-not-stored", window=window, reason=error)

    async def read(self) -> None:
        """Add the counts that other instances have written.

        :raises PlatformError: if the store does not answer or refuses the call.
        """
        snapshot = await self._store.read_prefix(COUNTS_PREFIX)
        for key, stored in snapshot.values_by_key.items():
            try:
                answer = _ADAPTER.validate_json(stored.value or b"")
            except ValidationError as error:
                self._log.unreadable(findings_from_error(key, error))
            else:
                self._collector.add_stored(answer)

    def _unasked_window(self) -> int | None:
        """Return the last settled window if no query has come since its end; None otherwise."""
        settled_by = self._true_time.at() - self._windows.settle_seconds - UNASKED_SECONDS
        window = self._windows.at(settled_by) - 1
        is_asked = self._collector.asked_at >= self._windows.end(window)
        if is_asked or window <= self._written_window or self._holder.term_fence is not None:
            return None
        return window

    async def _write(self) -> None:
        answer = self._collector.own_answer()
        if not answer.counts:
            return
        key = f"{COUNTS_PREFIX}{answer.instance}"
        value = _ADAPTER.dump_json(answer)
        result = await self._store.write([Write(key, value, self._revision)])
        if not result.accepted:
            expected = result.current.values_by_key[key].mod_revision
            result = await self._store.write([Write(key, value, expected)])
        self._revision = result.current.values_by_key[key].mod_revision
        self._log.state_change("usage-counts-stored", window=self._written_window)
