"""Loops that poll the platform for changes of its documents and its instance list."""

import asyncio
from collections.abc import Callable

from cactuspass._component import Component, LoopComponent
from cactuspass._counters import Counters
from cactuspass._documents import DocumentStore, PollResult
from cactuspass._instance_list import InstanceList
from cactuspass._messages import Input, InstancesListed, PlatformFailed, WritePlacement
from cactuspass.exceptions import PlatformError

POLL_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_SECONDS = 2.0
# A single failed poll may be due to a short pause of this process or of the platform.
UNAVAILABLE_AFTER_FAILED_POLLS = 2


class PlatformLoop(Component):
    """Polls the documents once a second and writes placements for the core.

    :param set_platform_available: called with True after each poll that the platform answered, and
        with False after each one from the second failed poll in a row.
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
        self._failed_polls = 0

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

    def _report_availability(self, result: PollResult) -> None:
        """Report whether the platform is available, unless a single poll has failed."""
        has_failed = any(isinstance(message, PlatformFailed) for message in result.inputs)
        self._failed_polls = self._failed_polls + 1 if has_failed else 0
        if not has_failed or self._failed_polls >= UNAVAILABLE_AFTER_FAILED_POLLS:
            self._set_platform_available(not has_failed)

    async def _poll_forever(self) -> None:
        while True:
            self._poll_soon.clear()
            self._counters.count("platform.reads")
            result = await self._documents.poll()
            self._report_availability(result)
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
