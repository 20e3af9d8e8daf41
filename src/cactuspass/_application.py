"""The application object: owns the components and their life-cycle."""

import asyncio
from collections.abc import Sequence

from cactuspass._component import Component


class Application:
    """Starts components in order, and drains and stops them in reverse order.

    :param components: parts of the daemon, each needing only those before it.
    """

    def __init__(self, components: Sequence[Component]) -> None:
        self._components = tuple(components)
        self._started: list[Component] = []

    async def start(self) -> None:
        """Start every component.

        :raises Exception: the error of the component that failed; the others are stopped first.
        """
        for component in self._components:
            self._started.append(component)
            try:
                await component.start()
            except Exception:
                await self.stop()
                raise

    async def drain(self, timeout: float) -> None:
        """Let running work finish.

        :param timeout: seconds after which the rest of the work is given up.
        """
        try:
            async with asyncio.timeout(timeout):
                for component in reversed(self._started):
                    await component.drain()
        except TimeoutError:
            return

    async def stop(self) -> None:
        """Stop what was started, the last first.

        :raises ExceptionGroup: the errors of all components that failed to stop.
        """
        errors: list[Exception] = []
        while self._started:
            try:
                await self._started.pop().stop()
            except Exception as error:
                errors.append(error)
        if errors:
            raise ExceptionGroup("components failed to stop", errors)
