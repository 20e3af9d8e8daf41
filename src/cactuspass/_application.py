"""Life cycle of all components of the daemon."""

import asyncio
from collections.abc import Sequence

from cactuspass._component import Component


class Application:
    """Starts components in order, and drains and stops them in reverse order.

    :param components: components of the daemon; each depends only on those before it.
    """

    def __init__(self, components: Sequence[Component]) -> None:
        self._components = tuple(components)
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start every component.

        :raises Exception: the error of the component that failed, after all started ones have been
            stopped.
        """
        for component in self._components:
            self._started.append(component)
            try:
                await component.start()
            except Exception:
                await self.stop()
                raise

    async def drain(self, timeout: float) -> None:
        """Wait until the components have finished their running work.

        :param timeout: seconds after which the remaining work is abandoned.
        """
        try:
            async with asyncio.timeout(timeout):
                for component in reversed(self._started):
                    await component.drain()
        except TimeoutError:
            return

    async def stop(self) -> None:
        """Stop the started components in reverse order.

        :raises ExceptionGroup: with the errors of all components that failed to stop.
        """
        errors: list[Exception] = []
        while self._started:
            try:
                await self._started.pop().stop()
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup("components failed to stop", errors)
