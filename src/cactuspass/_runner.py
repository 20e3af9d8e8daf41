"""Runs the decision core on the event loop and passes its orders to their handlers."""

import asyncio
from collections.abc import Callable
from typing import Any

from cactuspass._component import LoopComponent
from cactuspass._core import Core
from cactuspass._messages import HeartbeatReceived, Input, Order, PlacementConfirmed

TICK_INTERVAL_SECONDS = 0.2

# These inputs arrive continuously from every peer and can wait for the next periodic tick.
DEFERRABLE_INPUTS = (HeartbeatReceived, PlacementConfirmed)


class CoreRunner(LoopComponent):
    """Ticks the core after each input and at a fixed interval.

    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, core: Core, clock: Callable[[], float]) -> None:
        super().__init__()
        self.core = core
        self.clock = clock
        self._handlers_by_type: dict[type[Order], Callable[[Any], None]] = {}
        self._tick_scheduled = False

    def register(self, order_type: type[Order], handler: Callable[[Any], None]) -> None:
        """Set the function that carries out orders of one type."""
        self._handlers_by_type[order_type] = handler

    def accept(self, message: Input) -> None:
        """Queue an input, and schedule a tick on the event loop unless the input is deferrable."""
        self.core.accept(message)
        if not self._tick_scheduled and not isinstance(message, DEFERRABLE_INPUTS):
            self._tick_scheduled = True
            asyncio.get_running_loop().call_soon(self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        for order in self.core.tick(self.clock()):
            handler = self._handlers_by_type.get(type(order))
            if handler is not None:
                handler(order)

    async def run_loop(self) -> None:
        """Tick the core at a fixed interval until cancelled."""
        while True:
            self._tick()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
