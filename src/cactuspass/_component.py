"""Life cycle of the components that the application manages."""

import asyncio
from abc import abstractmethod


class Component:
    """Part of the daemon; the application calls its life-cycle methods."""

    async def start(self) -> None:
        """Open the resources of the component."""

    async def drain(self) -> None:
        """Accept no new work and finish the running work."""

    async def stop(self) -> None:
        """Close all resources; this may be called after a failed start."""


class LoopComponent(Component):
    """Component that runs one loop as a background task."""

    def __init__(self) -> None:
        self._loop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the loop in a task."""
        self._loop_task = asyncio.create_task(self.run_loop())

    async def stop(self) -> None:
        """Cancel the task of the loop."""
        if self._loop_task is not None:
            self._loop_task.cancel()

    @abstractmethod
    async def run_loop(self) -> None:
        """Run the loop until cancelled."""
