"""The signal that asks the process to stop, and the time at which it was received."""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType, TracebackType
from typing import Any

from cactuspass._clock import now

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Context manager that handles the signals which ask the process to stop.

    The time is taken in the signal handler, which runs between two steps of any task. Callbacks of
    the event loop run only after all that were ready before, which takes long in a busy process,
    while the time that the process has for its stop is already running.

    :param clock: returns the time in seconds; called in the signal handler.
    :ivar received_at: clock value at which the first signal was received; None before.
    """

    def __init__(self, clock: Callable[[], float] = now) -> None:
        self.received_at: float | None = None
        self._clock = clock
        self._received = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._previous_by_signal: dict[signal.Signals, Any] = {}

    def __enter__(self) -> "StopSignal":
        for number in STOP_SIGNALS:
            self._previous_by_signal[number] = signal.signal(number, self._handle)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for number, previous in self._previous_by_signal.items():
            signal.signal(number, previous)

    @property
    def is_received(self) -> bool:
        """Whether a signal was received."""
        return self.received_at is not None

    async def wait(self) -> float:
        """Wait for the first signal; return the clock value at which it was received."""
        await self._received.wait()
        assert self.received_at is not None
        return self.received_at

    def _handle(self, number: int, frame: FrameType | None) -> None:
        if self.received_at is None:
            self.received_at = self._clock()
        self._loop.call_soon_threadsafe(self._received.set)
