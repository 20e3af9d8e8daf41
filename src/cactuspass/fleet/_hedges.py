"""Hedged requests: a second attempt at another upstream while the first one is late.

The attempt that returns events first is used, and the other one is cancelled. This handles the loss
of a group member: the head of the group still accepts requests, but all its streams stall.
"""

import asyncio
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._attempts import Attempts
from cactuspass.fleet._failures import DeadlinePassed
from cactuspass.fleet._relay import is_connection_closed
from cactuspass.fleet._stream_attempt import StreamAttempt

HEDGE_DELAY_SHARE_OF_OBJECTIVE = 0.5
HEDGE_DELAY_PAUSE_FACTOR = 1.8


def hedge_delay_before_first_event(attempt: StreamAttempt) -> float | None:
    """Return the seconds after sending until an attempt counts as late; None if it never does."""
    if attempt.selection.max_event_gap is None:
        return None
    share = attempt.request_attempts.route.objective * HEDGE_DELAY_SHARE_OF_OBJECTIVE
    return (
        max(share, attempt.selection.max_event_gap * HEDGE_DELAY_PAUSE_FACTOR)
        + attempt.selection.wait
    )


def hedge_delay_between_events(attempt: StreamAttempt) -> float | None:
    """Return the seconds after an event until an attempt counts as late; None if it never does."""
    if attempt.selection.max_event_gap is None:
        return None
    return attempt.selection.max_event_gap * HEDGE_DELAY_PAUSE_FACTOR


def has_upstream_responded(attempt: StreamAttempt, since: float) -> bool:
    """Return whether any stream of this instance received data from an attempt's upstream.

    :param since: clock value after which the data must have been received.
    """
    return (
        attempt.request_attempts.dependencies.loads.load(
            attempt.active.upstream.upstream_id
        ).last_response_at
        > since
    )


class Race:
    """A late attempt and its hedge, of which the first to return events is used.

    :param call: continues reading from the late attempt.
    :param start_hedge: sends the request to the other upstream and reads its first events.
    """

    def __init__(
        self,
        attempts: Attempts,
        late: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        start_hedge: Callable[[], Awaitable[StreamAttempt]],
    ) -> None:
        self._attempts = attempts
        self._late = late
        self._late_read = asyncio.ensure_future(call())
        self._late_read.add_done_callback(self._note_late_crash)
        self._hedge = asyncio.ensure_future(start_hedge())

    async def run(self, stall_timeout: float) -> StreamAttempt | None:
        """Wait until one of the two attempts returns events.

        :param stall_timeout: seconds after which the late attempt's upstream counts as
            unresponsive.
        :return: the hedge if it was first, None if the late attempt was.
        :raises DeadlinePassed: if the deadline of the request has passed.
        :raises RequestError: the error of the late attempt, if both attempts failed.
        """
        winner: StreamAttempt | None = None
        try:
            winner = await self._wait_for_first(now() + stall_timeout)
            return winner
        finally:
            self._late_read.cancel()
            self._late_read.add_done_callback(_retrieve_exception)
            if winner is None:
                self._hedge.cancel()
                self._hedge.add_done_callback(self._close_unused)

    @property
    def has_late_failed(self) -> bool:
        """Whether the late attempt has failed by itself."""
        read = self._late_read
        return read.done() and not read.cancelled() and read.exception() is not None

    async def late_outcome(self) -> None:
        """Raise the error of the late attempt, once it has failed.

        :raises RequestError: that error.
        """
        await self._late_read

    def _note_late_crash(self, read: "asyncio.Future[None]") -> None:
        """Record the crash of the late attempt's upstream at once; the race may go on for long."""
        active = self._late.active
        if read.cancelled() or active.is_recalled:
            return
        error = read.exception()
        if error is not None and is_connection_closed(error):
            self._attempts.note_crash(active)

    async def _wait_for_first(self, unresponsive_at: float) -> StreamAttempt | None:
        running = {self._late_read, self._hedge}
        while running:
            left = min(unresponsive_at - now(), self._attempts.seconds_left)
            done, running = await asyncio.wait(
                running, timeout=max(0.0, left), return_when=asyncio.FIRST_COMPLETED
            )
            if self._late_read in done and self._late_read.exception() is None:
                return None
            if self._hedge in done and self._hedge.exception() is None:
                return self._hedge.result()
            if self._attempts.seconds_left <= 0:
                raise DeadlinePassed
            if not done:
                unresponsive_at = float("inf")
                self._attempts.note_unresponsive(self._late.active)
        await self._late_read
        return None

    def _close_unused(self, hedge: "asyncio.Future[StreamAttempt]") -> None:
        """Close a hedge that returned events after they were no longer needed."""
        if not hedge.cancelled() and hedge.exception() is None:
            self._attempts.close(hedge.result().active)


def _retrieve_exception(loser: "asyncio.Future[None]") -> None:
    """Mark the exception of a late attempt as retrieved; its failure has already been logged."""
    if not loser.cancelled():
        loser.exception()
