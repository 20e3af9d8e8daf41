"""The signal that asks the process to stop, and the time at which it was received."""

import asyncio
import signal
from dataclasses import dataclass
from types import FrameType, TracebackType
from typing import Any

from cactuspass._clock import now

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
TURN_INTERVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class SignalTime:
    """When a signal was sent, as far as its receiver can know.

    :param earliest: clock value at which the signal had not been sent yet.
    :param received: clock value at which the signal was received.
    """

    earliest: float
    received: float


class StopSignal:
    """Context manager that handles the signals which ask the process to stop.

    The time is taken in the signal handler, which runs between two steps of any task. Callbacks of
    the event loop run only after all that were ready before, which takes long in a busy process,
    while the time that the process has for its stop is already running. The handler itself is late
    if the process gets no processor time, so the event loop notes its turns: the signal was sent
    after the last one before its receipt.
    """

    def __init__(self) -> None:
        self._time: SignalTime | None = None
        self._received = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._previous_by_signal: dict[signal.Signals, Any] = {}
        self._last_turn_at = now()
        self._next_turn: asyncio.TimerHandle | None = None

    def __enter__(self) -> "StopSignal":
        self._note_turn()
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
        if self._next_turn is not None:
            self._next_turn.cancel()

    @property
    def is_received(self) -> bool:
        """Whether a signal was received."""
        return self._time is not None

    async def wait(self) -> SignalTime:
        """Wait for the first signal; return when it was sent and received."""
        await self._received.wait()
        assert self._time is not None
        return self._time

    def _handle(self, number: int, frame: FrameType | None) -> None:
        if self._time is None:
            self._time = SignalTime(self._last_turn_at, now())
        self._loop.call_soon_threadsafe(self._received.set)

    def _note_turn(self) -> None:
        self._last_turn_at = now()
        self._next_turn = self._loop.call_later(TURN_INTERVAL_SECONDS, self._note_turn)
