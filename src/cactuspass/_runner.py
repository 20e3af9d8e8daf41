"""Runs the decision core on the event loop and hands its orders to the edges."""

import asyncio
from collections.abc import Callable
from typing import Any

from cactuspass._component import LoopComponent
from cactuspass._core import Core
from cactuspass._messages import Input, Order, PeerHeard, PlacementConfirmed

TICK_SECONDS = 0.2

# These arrive all the time from every peer and can wait for the next steady tick.
PATIENT_INPUTS = (PeerHeard, PlacementConfirmed)


class CoreRunner(LoopComponent):
    """Ticks the core after each input and at a steady interval.

    :param clock: gives the time in seconds; monotonic.
    """

    def __init__(self, core: Core, clock: Callable[[], float]) -> None:
        super().__init__()
        self.core = core
        self.clock = clock
        self._handlers_by_type: dict[type[Order], Callable[[Any], None]] = {}
        self._tick_planned = False

    def register(self, order_type: type[Order], handler: Callable[[Any], None]) -> None:
        """Name the function that carries out one type of order."""
        self._handlers_by_type[order_type] = handler

    def accept(self, message: Input) -> None:
        """Queue an input and, unless it can wait, plan a tick in this turn of the event loop."""
        self.core.accept(message)
        if not self._tick_planned and not isinstance(message, PATIENT_INPUTS):
            self._tick_planned = True
            asyncio.get_running_loop().call_soon(self._tick)

    def _tick(self) -> None:
        self._tick_planned = False
        for order in self.core.tick(self.clock()):
            handler = self._handlers_by_type.get(type(order))
            if handler is not None:
                handler(order)

    async def run_loop(self) -> None:
        """Work until cancelled."""
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)
