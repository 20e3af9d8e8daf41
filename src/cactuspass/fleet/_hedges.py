"""A second attempt beside one that is late (a hedged request).

The first of the two that brings events goes on; the other is cancelled. That answers the loss of a
member of a group: its head still takes requests, but all its streams stand still.
"""

import asyncio
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._attempts import Attempts, DeadlinePassed
from cactuspass.fleet._stream_attempt import StreamAttempt

SHARE_OF_OBJECTIVE = 0.5
PAUSE_FACTOR = 1.8


def hedge_delay_before_first_event(attempt: StreamAttempt) -> float | None:
    """Return seconds from the sending after which an attempt is late; None when it never is."""
    if attempt.chosen.max_event_gap is None:
        return None
    share = attempt.attempts.route.objective * SHARE_OF_OBJECTIVE
    return max(share, attempt.chosen.max_event_gap * PAUSE_FACTOR) + attempt.chosen.wait


def hedge_delay_between_events(attempt: StreamAttempt) -> float | None:
    """Return seconds from an event after which an attempt is late; None when it never is."""
    if attempt.chosen.max_event_gap is None:
        return None
    return attempt.chosen.max_event_gap * PAUSE_FACTOR


def is_heard(attempt: StreamAttempt, since: float) -> bool:
    """Return whether any stream of this instance got an event from an attempt's upstream.

    :param since: clock value.
    """
    return (
        attempt.attempts.dependencies.loads.load(attempt.sent.upstream.upstream_id).last_response_at
        > since
    )


class Race:
    """An attempt that is late, and a rival that was sent to another upstream.

    :param call: reads on from the attempt that is late.
    :param rival: sends the other attempt and reads its begin.
    """

    def __init__(
        self,
        attempts: Attempts,
        late: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        rival: Callable[[], Awaitable[StreamAttempt]],
    ) -> None:
        self._attempts = attempts
        self._late = late
        self._own = asyncio.ensure_future(call())
        self._rival = asyncio.ensure_future(rival())

    async def run(self, patience: float) -> StreamAttempt | None:
        """Wait for the first that brings events.

        :param patience: seconds after which the late attempt's upstream counts as silent.
        :return: the rival if it was first, None if the late attempt was.
        :raises DeadlinePassed: when the time of the request has passed.
        :raises RequestError: what the late attempt failed with, when both have failed.
        """
        winner: StreamAttempt | None = None
        try:
            winner = await self._first(now() + patience)
            return winner
        finally:
            self._own.cancel()
            self._own.add_done_callback(_take_outcome)
            if winner is None:
                self._rival.cancel()
                self._rival.add_done_callback(self._close_unused)

    async def _first(self, silent_at: float) -> StreamAttempt | None:
        running = {self._own, self._rival}
        while running:
            left = min(silent_at - now(), self._attempts.seconds_left)
            done, running = await asyncio.wait(
                running, timeout=max(0.0, left), return_when=asyncio.FIRST_COMPLETED
            )
            if self._own in done and self._own.exception() is None:
                return None
            if self._rival in done and self._rival.exception() is None:
                return self._rival.result()
            if self._attempts.seconds_left <= 0:
                raise DeadlinePassed
            if not done:
                silent_at = float("inf")
                self._attempts.note_unresponsive(self._late.sent.upstream)
        await self._own
        return None

    def _close_unused(self, rival: "asyncio.Future[StreamAttempt]") -> None:
        """Close a rival that had its events ready when they were not needed any more."""
        if not rival.cancelled() and rival.exception() is None:
            self._attempts.close(rival.result().sent)


def _take_outcome(loser: "asyncio.Future[None]") -> None:
    """Take the outcome of a late attempt, whose run has already logged what became of it."""
    if not loser.cancelled():
        loser.exception()
