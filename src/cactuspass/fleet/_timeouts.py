"""Timeouts that do not count delays of this process as evidence about others.

After a pause of the process, or while it is busy, a timeout can end although the result has arrived
and only waits to be read.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from cactuspass._clock import now

T = TypeVar("T")

EVENT_LOOP_STALL_SECONDS = 0.05  # by which a timeout ends late when the event loop was stalled


def has_stalled(started_at: float, timeout: float) -> bool:
    """Return whether a call that ends now by its timeout ends so late that nothing follows from it.

    :param started_at: clock value at which the call began.
    :param timeout: seconds after which it should have ended.
    """
    return now() - started_at >= timeout + EVENT_LOOP_STALL_SECONDS


async def call_within(
    seconds: float,
    call: Callable[[], Awaitable[T]],
    seconds_left: Callable[[], float] = lambda: float("inf"),
) -> T:
    """Return the result of a call, with a timeout in seconds.

    If the event loop itself was stalled, the call is repeated once with the same timeout, since its
    result may have arrived during the stall.

    :param seconds_left: returns the seconds until the deadline, behind which the repeated call has
        only the time to return what has arrived.
    :raises TimeoutError: if the call does not finish in time.
    """
    timeout = max(0.0, seconds)
    for _ in range(2):
        started_at = now()
        try:
            async with asyncio.timeout(timeout):
                return await call()
        except TimeoutError:
            if not has_stalled(started_at, timeout):
                raise
            timeout = max(EVENT_LOOP_STALL_SECONDS, min(seconds, seconds_left()))
    raise TimeoutError
