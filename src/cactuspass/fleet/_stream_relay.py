"""Serves a request whose answer is a stream of events, across broken upstreams if need be."""

import asyncio
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._attempts import AttemptFailed, Attempts, Failure, NoUpstreamAvailable, within
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._events import EventSplitter
from cactuspass.fleet._hedges import (
    Race,
    hedge_delay_before_first_event,
    hedge_delay_between_events,
    is_heard,
)
from cactuspass.fleet._relay import Relay
from cactuspass.fleet._selection import Selection
from cactuspass.fleet._stream_attempt import StreamAttempt

FIRST_EVENT_TIMEOUT_SECONDS = 0.7
FIRST_EVENT_TIMEOUT_FACTOR = 2.5
EVENT_GAP_TIMEOUT_SECONDS = 0.45
RESUMED_EVENT_GAP_TIMEOUT_SECONDS = 0.9
RESUME_WAIT_SECONDS = 1.3
RESUME_POLL_SECONDS = 0.04
PROMPT_TOKENS_PER_SECOND = 20_000.0


class StreamRelay(Relay):
    """Brings the events of one request to its caller, each once and in order."""

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        super().__init__(attempts, delivery)
        self._last_id = attempts.request.last_event_id
        self._resumed = False

    async def run(self) -> None:
        """Deliver the whole stream.

        :raises NoUpstreamAvailable: when no upstream can take the request, and nothing was
            delivered.
        :raises DeadlinePassed: when the time has passed.
        :raises AttemptFailed: when the last attempt failed and no other may be made.
        """
        while True:
            chosen = await self._choose()
            try:
                await self._deliver(await self._open(chosen))
                return
            except AttemptFailed as error:
                if not self._attempts.may_retry(error.failure, self._delivery.head_sent):
                    raise
                self._note_move(error.failure.value)

    def _note_move(self, cause: str) -> None:
        if not self._delivery.head_sent:
            return
        self._resumed = True
        self._attempts.dependencies.metrics.resumed_streams.labels(cause).inc()
        self._attempts.dependencies.log.request(
            "stream-resumed",
            self._attempts.request.request_id,
            cause=cause,
            after_event=self._last_id,
        )

    async def _choose(self) -> Selection:
        """Return an upstream; a stream that has begun waits a little for one."""
        give_up_at = now() + (RESUME_WAIT_SECONDS if self._delivery.head_sent else 0.0)
        while True:
            found = self._attempts.choose()
            if isinstance(found, Selection):
                return found
            if now() >= give_up_at or self._attempts.seconds_left <= 0:
                raise NoUpstreamAvailable(found)
            await asyncio.sleep(RESUME_POLL_SECONDS)

    async def _open(self, chosen: Selection) -> StreamAttempt:
        """Ask an upstream for the events that the caller does not have yet.

        :raises AttemptFailed: when it was not reached.
        """
        sent = await self._send(chosen, self._last_id)
        return StreamAttempt(self._attempts, sent, chosen, EventSplitter(self._last_id))

    async def _deliver(self, attempt: StreamAttempt) -> None:
        """Pass on the events of an attempt, and of those that overtake it."""
        current: StreamAttempt | None = attempt
        while current is not None:
            current = await self._pass_on_and_close(current)

    async def _pass_on_and_close(self, attempt: StreamAttempt) -> StreamAttempt | None:
        try:
            return await self._conclude(attempt.sent, lambda: self._pass_on(attempt))
        finally:
            self._attempts.close(attempt.sent)

    async def _pass_on(self, attempt: StreamAttempt) -> StreamAttempt | None:
        """Pass on the events of one attempt.

        :return: the attempt that has overtaken this one; None when the stream is complete.
        """
        if attempt.head is None:
            late_after = hedge_delay_before_first_event(attempt)
            rival = await self._read(
                attempt, attempt.read_begin, self._first_patience(attempt), late_after
            )
            if rival is not None:
                return rival
        await self._begin_answer(attempt)
        gap = RESUMED_EVENT_GAP_TIMEOUT_SECONDS if self._resumed else EVENT_GAP_TIMEOUT_SECONDS
        late_after = hedge_delay_between_events(attempt)
        while await self._send_events(attempt):
            rival = await self._read(attempt, attempt.read, gap, late_after)
            if rival is not None:
                return rival
        if attempt.splitter.rest:
            raise AttemptFailed(Failure.CONNECTION_BROKEN)
        await self._delivery.finish()
        return None

    def _first_patience(self, attempt: StreamAttempt) -> float:
        """Return how long the prompt and the queue explain that nothing has come."""
        prompt = self._attempts.request.prompt_tokens / PROMPT_TOKENS_PER_SECOND
        return (
            attempt.chosen.wait + prompt
        ) * FIRST_EVENT_TIMEOUT_FACTOR + FIRST_EVENT_TIMEOUT_SECONDS

    async def _begin_answer(self, attempt: StreamAttempt) -> None:
        await self._within_deadline(attempt.check)
        if self._delivery.head_sent:
            return
        assert attempt.head is not None
        headers = self._attempts.dependencies.request_format.answer_headers(attempt.head)
        await self._delivery.send_head(attempt.head.status, headers)
        latency = now() - attempt.sent.sent_at
        self._attempts.dependencies.loads.record_success(attempt.sent.upstream.upstream_id, latency)

    async def _send_events(self, attempt: StreamAttempt) -> bool:
        """Pass on the events that were read; return whether more are to come."""
        if events := attempt.take_events():
            self._last_id = attempt.splitter.last_id
            await self._delivery.send_chunk(events)
        return not attempt.ended

    # Attempts beside each other.

    async def _read(
        self,
        attempt: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        patience: float,
        late_after: float | None,
    ) -> StreamAttempt | None:
        """Read on; send the request to a second upstream as well while nothing comes.

        :param patience: seconds after which the upstream counts as silent.
        :param late_after: seconds after which the second attempt begins; None makes none.
        :return: the other attempt when it has brought the next events first.
        """
        waited = 0.0
        while late_after is not None and waited + late_after < patience:
            since = now()
            try:
                await within(min(late_after, self._attempts.seconds_left), call)
                return None
            except TimeoutError:
                waited += late_after
            chosen = (
                None
                if is_heard(attempt, since)
                else self._attempts.choose_hedge(attempt.sent.upstream)
            )
            if chosen is not None:
                return await self._race(attempt, call, chosen, patience - waited)
        await self._wait(attempt.sent, call, patience - waited)
        return None

    async def _race(
        self,
        attempt: StreamAttempt,
        call: Callable[[], Awaitable[None]],
        chosen: Selection,
        patience: float,
    ) -> StreamAttempt | None:
        began = now()
        race = Race(self._attempts, attempt, call, lambda: self._open_rival(chosen))
        winner = await race.run(patience)
        upstream_id = attempt.sent.upstream.upstream_id
        self._attempts.dependencies.metrics.hedges.labels("lost" if winner is None else "won").inc()
        self._attempts.dependencies.log.request(
            "hedged",
            self._attempts.request.request_id,
            late=upstream_id,
            rival=chosen.upstream.upstream_id,
            outcome="late came first" if winner is None else "rival came first",
            took=now() - began,
            after_event=self._last_id,
        )
        if winner is None:
            return None
        self._resumed = self._delivery.head_sent
        if not is_heard(attempt, began):
            self._attempts.note_unresponsive(attempt.sent.upstream)
        return winner

    async def _open_rival(self, chosen: Selection) -> StreamAttempt:
        """Send the request to another upstream, and read the begin of the answer."""
        rival = await self._open(chosen)
        try:
            await self._conclude(rival.sent, lambda: _read_and_check(rival))
        except BaseException:
            self._attempts.close(rival.sent)
            raise
        return rival


async def _read_and_check(attempt: StreamAttempt) -> None:
    await attempt.read_begin()
    await attempt.check()
