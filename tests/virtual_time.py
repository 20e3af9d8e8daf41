"""Event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import functools
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

TestT = TypeVar("TestT")


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout and return the events that are ready now.

        :raises RuntimeError: if there is no timeout, so that the loop would block forever.
        """
        if timeout is None:
            raise RuntimeError("event loop would block forever: no timer is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; it works only with fakes in the same process."""

    def __init__(self) -> None:
        self._virtual_selector = VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual_selector.now

    def advance(self, seconds: float) -> None:
        """Advance the clock, as a callback does that takes so long."""
        self._virtual_selector.now += seconds


def virtual_time(
    test: Callable[[TestT], Coroutine[Any, Any, None]],
) -> Callable[[TestT], None]:
    """Decorate an asynchronous test method to run in virtual time."""

    @functools.wraps(test)
    def run(self: TestT) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(self))

    return run
