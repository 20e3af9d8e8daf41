"""Measures for how long the event loop is held without a turn for other tasks."""

import asyncio
from types import TracebackType

from cactuspass._clock import now

TICK_SECONDS = 0.005
# An answer may come half a second after the timeout of its route; the event loop may take half of
# that, and the rest is for the answer itself.
MAX_HOLD_SECONDS = 0.25


class LoopHold:
    """Context manager that records the longest time between two turns of a task.

    :ivar seconds: the longest time by which a turn was late.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._task: asyncio.Task[None] | None = None
        self._last_turn_at = 0.0

    async def __aenter__(self) -> "LoopHold":
        self._last_turn_at = now()
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
        at = now()
        self.seconds = max(self.seconds, at - self._last_turn_at - TICK_SECONDS)
        self._last_turn_at = at
