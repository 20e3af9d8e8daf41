"""The requests that are being served, so that a shutdown can end them with an answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cactuspass.exceptions import RequestError


class ShutdownReached(RequestError):
    """The instance stops before the request has its whole response."""


class RunningRequests:
    """Runs requests so that all of them can be ended at once."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self._have_ended = False

    @asynccontextmanager
    async def until_shutdown(self) -> AsyncIterator[None]:
        """Run the body of the context until it ends or the requests are ended.

        :raises ShutdownReached: if the requests are ended first, or have been ended before.
        """
        if self._have_ended:
            raise ShutdownReached("the instance is stopping")
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                yield
        except TimeoutError:
            if timeout.expired():
                raise ShutdownReached("the instance is stopping") from None
            raise
        finally:
            self._timeouts.discard(timeout)

    def end(self) -> None:
        """End all requests and those to come, so that their callers get an answer now."""
        self._have_ended = True
        at = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(at)
