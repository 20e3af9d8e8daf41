"""Relays streams of events, and resumes them at another upstream if one fails."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._answer_progress import RetryObstacle
from cactuspass.fleet._attempts import Attempts
from cactuspass.fleet._choices import Selection
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._events import EventSplitter
from cactuspass.fleet._failures import (
    AttemptFailed,
    Failure,
    NoUpstreamAvailable,
)
from cactuspass.fleet._hedges import (
    Race,
    has_upstream_responded,
    hedge_delay_before_first_event,
    hedge_delay_between_events,
)
from cactuspass.fleet._measured_times import note_finished, note_first_event
from cactuspass.fleet._relay import Relay
from cactuspass.fleet._stream_attempt import StreamAttempt

FIRST_EVENT_TIMEOUT_SECONDS = 0.7
FIRST_EVENT_TIMEOUT_FACTOR = 2.5
EVENT_GAP_TIMEOUT_SECONDS = 0.45
RESUMED_EVENT_GAP_TIMEOUT_SECONDS = 0.9
RESUME_WAIT_SECONDS = 1.3
RESUME_POLL_SECONDS = 0.04
RESUME_PAUSE_SECONDS = 0.05
RESUME_PAUSE_FACTOR = 2.0
MAX_RESUME_PAUSE_SECONDS = 0.4
PROMPT_TOKENS_PER_SECOND = 20_000.0


class StreamRelay(Relay):
    """Relays the events of one request to the caller, each exactly once and in order."""

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        super().__init__(attempts, delivery)
        self._last_id = attempts.request.last_event_id
        self._is_resumed = False
        self._sent_head: AnswerHead | None = None
        self._can_resume = True
        self._resume_pause = RESUME_PAUSE_SECONDS

    async def run(self) -> None:
        """Deliver the complete stream.

        :raises NoUpstreamAvailable: if no upstream can accept the request. A stream that was
            sent in part waits up to RESUME_WAIT_SECONDS for one.
        :raises DeadlinePassed: if the deadline of the request has passed.
        :raises AttemptFailed: if the last attempt failed and no other one may be made.
        """
        while True:
            selection = await self._choose()
            try:
                await self._deliver(await self._start_attempt(selection))
                return
            except AttemptFailed as error:
                await self._attempts.wait_for_verdict()
                has_begun = self._delivery.head_sent
                if not self._can_resume or not self._attempts.may_retry(error.failure, has_begun):
                    raise
                self._record_resumption(error.failure.value)
                await self._pause_after(error.failure)

    def _record_resumption(self, cause: str) -> None:
        if not self._delivery.head_sent:
            return
        self._is_resumed = True
        self._attempts.dependencies.metrics.resumed_streams.labels(cause).inc()
        self._attempts.dependencies.log.request(
            "stream-resumed",
            self._attempts.request.request_id,
            cause=cause,
            after_event=self._last_id,
        )

    async def _choose(self) -> Selection:
        """Return an upstream; if a part of the stream was sent, wait a short time for one."""
        wait_until = now() + (RESUME_WAIT_SECONDS if self._delivery.head_sent else 0.0)
        while True:
            found = await self._attempts.choose_in_time()
            if isinstance(found, Selection):
                return found
            if now() >= wait_until or self._attempts.seconds_left <= 0:
                self._attempts.progress.obstacle = found.reason
                raise NoUpstreamAvailable(found)
            await asyncio.sleep(RESUME_POLL_SECONDS)

    async def _start_attempt(self, selection: Selection) -> StreamAttempt:
        """Request the events that the caller does not have yet from an upstream.

        :raises AttemptFailed: if the request was not sent.
        """
        active = await self._send(selection, self._last_id)
        splitter = EventSplitter(self._last_id, continues=self._caller_has_part)
        return StreamAttempt(self._attempts, active, selection, splitter, self._sent_head)

    @property
    def _caller_has_part(self) -> bool:
        """Whether the caller has a part of the stream, from this response or an earlier one."""
        attempts = self._attempts
        was_resumed = attempts.route.resumable and attempts.request.last_event_id is not None
        return self._sent_head is not None or was_resumed

    async def _deliver(self, attempt: StreamAttempt) -> None:
        """Relay the events of an attempt, and then of each hedge that replaces it."""
        current: StreamAttempt | None = attempt
        while current is not None:
            current = await self._relay_and_close(current)

    async def _relay_and_close(self, attempt: StreamAttempt) -> StreamAttempt | None:
        try:
            self._attempts.progress.attempt = attempt.active
            return await self._receive_or_record_failure(
                attempt.active, lambda: self._relay_events(attempt)
            )
        finally:
            self._attempts.close(attempt.active)

    async def _relay_events(self, attempt: StreamAttempt) -> StreamAttempt | None:
        """Relay the events of one attempt.

        :return: the hedge that replaces this attempt; None if the stream is complete.
        """
        if attempt.head is None:
            hedge_delay = hedge_delay_before_first_event(attempt)
            hedge = await self._read_or_hedge(
                attempt, attempt.read_first_events, self._first_event_timeout(attempt), hedge_delay
            )
            if hedge is not None:
                return hedge
        await self._send_head(attempt)
        gap_timeout = (
            RESUMED_EVENT_GAP_TIMEOUT_SECONDS if self._is_resumed else EVENT_GAP_TIMEOUT_SECONDS
        )
        hedge_delay = hedge_delay_between_events(attempt)
        while await self._send_events(attempt):
            hedge = await self._read_or_hedge(attempt, attempt.read_next, gap_timeout, hedge_delay)
            if hedge is not None:
                return hedge
        self._note_whole(attempt)
        await self._delivery.finish()
        if not self._is_resumed:
            note_finished(attempt)
        return None

    def _note_whole(self, attempt: StreamAttempt) -> None:
        """Record a whole answer, unless its beginning came from another attempt."""
        assert attempt.head is not None
        if not self._is_resumed and self._attempts.request.last_event_id is None:
            self._attempts.note_whole(attempt.head)

    def _first_event_timeout(self, attempt: StreamAttempt) -> float:
        """Return the seconds without an event that the prompt and the queue can account for."""
        prompt_seconds = self._attempts.request.prompt_tokens / PROMPT_TOKENS_PER_SECOND
        return (
            attempt.selection.wait + prompt_seconds
        ) * FIRST_EVENT_TIMEOUT_FACTOR + FIRST_EVENT_TIMEOUT_SECONDS

    async def _send_head(self, attempt: StreamAttempt) -> None:
        await self._receive_within_deadline(attempt.check_head)
        if self._delivery.head_sent:
            return
        assert attempt.head is not None
        headers = self._attempts.dependencies.request_format.answer_headers(attempt.head)
        self._sent_head = attempt.head
        await self._delivery.send_head(attempt.head.status, headers)
        note_first_event(attempt)
        latency = now() - attempt.active.sent_at
        self._attempts.dependencies.loads.record_success(
            attempt.active.upstream.upstream_id, latency
        )

    async def _send_events(self, attempt: StreamAttempt) -> bool:
        """Send the events that were read; return whether more are expected."""
        if events := attempt.pop_events():
            self._last_id = attempt.splitter.last_id
            self._can_resume = attempt.splitter.last_event_has_id
            progress = self._attempts.progress
            progress.last_event = self._last_id
            progress.passed_bytes += len(events)
            if not self._can_resume:
                progress.obstacle = RetryObstacle.NO_EVENT_IDS
            await self._delivery.send_chunk(events)
        return not attempt.has_ended

    # Hedging.

    async def _read_or_hedge(
        self,
        attempt: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        stall_timeout: float,
        hedge_delay: float | None,
    ) -> StreamAttempt | None:
        """Continue reading, and send a hedge to another upstream if no events are received.

        :param stall_timeout: seconds without events after which the upstream counts as
            unresponsive.
        :param hedge_delay: seconds without events after which the hedge is sent; None sends none.
        :return: the hedge if it returned the next events first, otherwise None.
        """
        if not self._can_resume:
            await self._receive_within_deadline(call)
            return None
        waited = 0.0
        while hedge_delay is not None and waited + hedge_delay < stall_timeout:
            since = now()
            try:
                await self._call_within(hedge_delay, call)
                return None
            except TimeoutError:
                waited += hedge_delay
            selection = (
                None
                if has_upstream_responded(attempt, since)
                else self._attempts.choose_hedge(attempt.active)
            )
            if selection is not None:
                return await self._race(attempt, call, selection, stall_timeout - waited)
        try:
            await self._receive_unless_stalled(
                attempt.active, call, stall_timeout - waited, stall_timeout
            )
        except AttemptFailed as error:
            if error.failure is not Failure.STALLED:
                raise
            return await self._replace(attempt, call)
        return None

    async def _replace(
        self, attempt: StreamAttempt, call: Callable[[], Awaitable[None]]
    ) -> StreamAttempt | None:
        """Send the request elsewhere, and go on reading from an attempt that has stalled.

        An upstream that is only silent may still go on, so its attempt is given up only for another
        one that has returned events.

        :return: the attempt that replaces this one; None if this one has gone on.
        """
        self._attempts.note_stalled(attempt.active)
        race = Race(
            self._attempts,
            attempt,
            lambda: _read_and_check(attempt, call),
            self._start_replacement,
        )
        winner = await race.run(float("inf"))
        if winner is None:
            return None
        self._record_resumption(Failure.STALLED.value)
        if race.has_late_failed:
            await self._record_late_failure(race, attempt)
        return winner

    async def _start_replacement(self) -> StreamAttempt:
        """Send the request to one upstream after the other until one has returned events.

        :raises RequestError: if none has.
        """
        failure = Failure.STALLED
        while self._attempts.may_retry(failure, self._delivery.head_sent):
            selection = await self._choose()
            try:
                return await self._start_hedge(selection, can_stall=True)
            except AttemptFailed as error:
                failure = error.failure
                await self._attempts.wait_for_verdict()
                await self._pause_after(failure)
        raise AttemptFailed(failure)

    async def _record_late_failure(self, race: Race, late: StreamAttempt) -> None:
        """Record that a late attempt has failed by itself."""
        with contextlib.suppress(AttemptFailed):
            await self._receive_or_record_failure(late.active, race.late_outcome)

    async def _pause_after(self, failure: Failure) -> None:
        """Let upstreams that are full finish other requests before the next attempt at a stream.

        The pauses grow, so that the attempts last until some upstream is no longer full.
        """
        if failure is not Failure.NOT_RUN or not self._delivery.head_sent:
            return
        await asyncio.sleep(self._resume_pause)
        self._resume_pause = min(MAX_RESUME_PAUSE_SECONDS, self._resume_pause * RESUME_PAUSE_FACTOR)

    async def _race(
        self,
        attempt: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        selection: Selection,
        stall_timeout: float,
    ) -> StreamAttempt | None:
        started_at = now()
        race = Race(
            self._attempts,
            attempt,
            lambda: _read_and_check(attempt, call),
            lambda: self._start_hedge(selection),
        )
        winner = await race.run(stall_timeout)
        upstream_id = attempt.active.upstream.upstream_id
        self._attempts.dependencies.metrics.hedges.labels("lost" if winner is None else "won").inc()
        self._attempts.dependencies.log.request(
            "hedged",
            self._attempts.request.request_id,
            late=upstream_id,
            rival=selection.upstream.upstream_id,
            outcome="late came first" if winner is None else "rival came first",
            took=now() - started_at,
            after_event=self._last_id,
        )
        if winner is None:
            return None
        self._is_resumed = self._delivery.head_sent
        if race.has_late_failed:
            await self._record_late_failure(race, attempt)
        elif not has_upstream_responded(attempt, started_at):
            self._attempts.note_unresponsive(attempt.active)
        return winner

    async def _start_hedge(self, selection: Selection, can_stall: bool = False) -> StreamAttempt:
        """Send the request to another upstream, and read the first events of the response.

        :param can_stall: whether to give it up for a further upstream when it is silent.
        """
        hedge = await self._start_attempt(selection)

        async def read() -> None:
            await _read_and_check(hedge, hedge.read_first_events)

        async def read_unless_stalled() -> None:
            timeout = self._first_event_timeout(hedge)
            await self._receive_unless_stalled(hedge.active, read, timeout)

        try:
            await self._receive_or_record_failure(
                hedge.active, read_unless_stalled if can_stall else read
            )
        except BaseException:
            self._attempts.close(hedge.active)
            raise
        return hedge


async def _read_and_check(attempt: StreamAttempt, read: Callable[[], Awaitable[None]]) -> None:
    await read()
    await attempt.check_head()
