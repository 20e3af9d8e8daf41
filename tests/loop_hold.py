"""Measures for how long the event loop is held without a turn for other tasks.

Processor time is measured, so that other processes on the machine make no difference.
"""

import asyncio
import time
from types import TracebackType

TICK_SECONDS = 0.005
# An answer may come half a second after the timeout of its route; the event loop may take half of
# that, and the rest is for the answer itself.
MAX_HOLD_SECONDS = 0.25


class LoopHold:
    """Context manager that records the most processor time between two turns of a task.

    :ivar seconds: the most processor time of this thread between two turns.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._task: asyncio.Task[None] | None = None
        self._last_turn_at = 0.0

    async def __aenter__(self) -> "LoopHold":
        self._last_turn_at = time.thread_time()
        self._task = asyncio.create_task(self._tick())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._task is not None
        self._task.cancel()
        self._record()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._record()

    def _record(self) -> None:
        at = time.thread_time()
        self.seconds = max(self.seconds, at - self._last_turn_at)
        self._last_turn_at = at
