"""Life-cycle of the parts that the application owns."""

import asyncio
from abc import abstractmethod


class Component:
    """Part of the daemon with life-cycle hooks, called by the application."""

    async def start(self) -> None:
        """Open what the component needs."""

    async def drain(self) -> None:
        """Take no new work and finish what is running."""

    async def stop(self) -> None:
        """Close everything; may be called after a failed start."""


class LoopComponent(Component):
    """Part of the daemon that does one thing again and again."""

    def __init__(self) -> None:
        self._loop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to run the loop."""
        self._loop_task = asyncio.create_task(self.run_loop())

    async def stop(self) -> None:
        """End the loop."""
        if self._loop_task is not None:
            self._loop_task.cancel()

    @abstractmethod
    async def run_loop(self) -> None:
        """Work until cancelled."""
