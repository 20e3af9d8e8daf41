"""Loops that poll the platform for changes of its documents and its instance list."""

import asyncio
from collections.abc import Callable

from cactuspass._component import Component, LoopComponent
from cactuspass._counters import Counters
from cactuspass._documents import DocumentStore
from cactuspass._instance_list import InstanceList
from cactuspass._messages import Input, InstancesListed, PlatformFailed, WritePlacement
from cactuspass.exceptions import PlatformError

POLL_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_SECONDS = 2.0


class PlatformLoop(Component):
    """Polls the documents once a second and writes placements for the core.

    :param set_platform_available: called after each poll with whether the platform answered.
    """

    def __init__(
        self,
        documents: DocumentStore,
        accept_input: Callable[[Input], None],
        set_platform_available: Callable[[bool], None],
        counters: Counters,
    ) -> None:
        self._documents = documents
        self._set_platform_available = set_platform_available
        self._accept_input = accept_input
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()
        self._poll_soon = asyncio.Event()

    async def start(self) -> None:
        """Start polling."""
        self._spawn(asyncio.create_task(self._poll_forever()))

    async def stop(self) -> None:
        """Stop polling."""
        for task in tuple(self._tasks):
            task.cancel()

    def write_placement(self, order: WritePlacement) -> None:
        """Write a placement in the background and poll afterwards."""
        self._spawn(asyncio.create_task(self._write(order)))

    def poll_soon(self) -> None:
        """Poll at once instead of at the end of the interval."""
        self._poll_soon.set()

    def _spawn(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, order: WritePlacement) -> None:
        self._counters.count("platform.writes")
        self._accept_input(await self._documents.write_placement(order))
        self.poll_soon()

    async def _poll_forever(self) -> None:
        while True:
            self._poll_soon.clear()
            self._counters.count("platform.reads")
            result = await self._documents.poll()
            failed = any(isinstance(message, PlatformFailed) for message in result.inputs)
            self._set_platform_available(not failed)
            for message in result.inputs:
                self._accept_input(message)
            if result.findings:
                self._counters.count("platform.findings", len(result.findings))
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self._poll_soon.wait()
            except TimeoutError:
                continue


class InstanceListLoop(LoopComponent):
    """Reads the platform's instance list, which may be out of date, at a fixed interval."""

    def __init__(
        self, instances: InstanceList, accept_input: Callable[[Input], None], counters: Counters
    ) -> None:
        super().__init__()
        self._instances = instances
        self._accept_input = accept_input
        self._counters = counters

    async def stop(self) -> None:
        """Stop reading and release the connections."""
        await super().stop()
        await self._instances.close()

    async def run_loop(self) -> None:
        """Read the list at a fixed interval until cancelled."""
        while True:
            try:
                listing = await self._instances.read()
                self._accept_input(InstancesListed(listing.records))
                if listing.findings:
                    self._counters.count("instance_list.findings", len(listing.findings))
            except PlatformError:
                self._counters.count("instance_list.failures")
            await asyncio.sleep(LIST_INTERVAL_SECONDS)
