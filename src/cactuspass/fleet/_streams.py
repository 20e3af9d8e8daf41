"""Serves a request whose answer is a stream of events, across broken upstreams if need be."""

import asyncio
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._attempts import (
    AttemptFailed,
    Attempts,
    Failure,
    NothingServes,
    Sent,
)
from cactuspass.fleet._channels import AnswerHead
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._events import EventSplitter
from cactuspass.fleet._runs import Run, T
from cactuspass.fleet._selection import Chosen

FIRST_EVENT_SECONDS = 0.7
FIRST_EVENT_FACTOR = 2.5
GAP_SECONDS = 0.45
LATER_GAP_SECONDS = 0.9
RESUME_WAIT_SECONDS = 1.3
RESUME_POLL_SECONDS = 0.04
PROMPT_TOKENS_PER_SECOND = 20_000.0


class StreamRun(Run):
    """Brings the events of one request to its caller, each once and in order."""

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        super().__init__(attempts, delivery)
        self._splitter = EventSplitter(attempts.request.last_event_id)
        self._resumed = False

    async def run(self) -> None:
        """Deliver the whole stream.

        :raises NothingServes: when no upstream can take the request, and nothing was delivered.
        :raises DeadlinePassed: when the time has passed.
        :raises AttemptFailed: when the last attempt failed and no other may be made.
        """
        while True:
            chosen = await self._choose()
            try:
                await self._attempt(chosen, self._splitter.last_id)
                return
            except AttemptFailed as error:
                if not self._attempts.may_repeat(error.failure, self._delivery.begun):
                    raise
                self._note_move(error.failure)

    def _note_move(self, failure: Failure) -> None:
        if not self._delivery.begun:
            return
        self._resumed = True
        self._splitter.restart()
        self._attempts.tools.metrics.resumed.labels(failure.value).inc()
        self._attempts.tools.log.request(
            "stream-resumed",
            self._attempts.request.request_id,
            cause=failure.value,
            after_event=self._splitter.last_id,
        )

    async def _choose(self) -> Chosen:
        """Return an upstream; a stream that has begun waits a little for one."""
        give_up_at = now() + (RESUME_WAIT_SECONDS if self._delivery.begun else 0.0)
        while True:
            found = self._attempts.choose()
            if isinstance(found, Chosen):
                return found
            if now() >= give_up_at or self._attempts.seconds_left <= 0:
                raise NothingServes(found)
            await asyncio.sleep(RESUME_POLL_SECONDS)

    async def _receive(self, sent: Sent, chosen: Chosen) -> None:
        head = await self._wait_first(sent, chosen, sent.exchange.head)
        await self._check_head(sent, head)
        first = await self._first_events(sent, chosen)
        if not self._delivery.begun:
            headers = self._attempts.tools.request_format.answer_headers(head)
            await self._delivery.begin(head.status, headers)
            latency = now() - sent.sent_at
            self._attempts.tools.loads.succeeded(sent.upstream.upstream_id, latency)
        await self._pass_on(sent, first)

    async def _check_head(self, sent: Sent, head: AnswerHead) -> None:
        notes = self._attempts.read_notes(sent, head)
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if 200 <= head.status < 300:
            if not notes.genuine:
                raise AttemptFailed(Failure.NOT_GENUINE)
            return
        if not notes.genuine:
            raise AttemptFailed(Failure.NOT_GENUINE)
        body = await self._within_deadline(sent.exchange.body)
        raise AttemptFailed(Failure.SERVER_ERROR, head, body)

    async def _first_events(self, sent: Sent, chosen: Chosen) -> bytes:
        """Return the first whole events, or what there is when the stream ends before one."""
        while True:
            chunk = await self._wait_first(sent, chosen, sent.exchange.chunk)
            if not chunk:
                return b""
            if events := self._splitter.feed(chunk):
                return events

    async def _wait_first(self, sent: Sent, chosen: Chosen, call: Callable[[], Awaitable[T]]) -> T:
        """Wait for the begin of the answer as long as its prompt and the queue explain."""
        prompt = self._attempts.request.prompt_tokens / PROMPT_TOKENS_PER_SECOND
        expected = (chosen.wait + prompt) * FIRST_EVENT_FACTOR + FIRST_EVENT_SECONDS
        patience = max(0.05, sent.sent_at + expected - now())
        return await self._wait(sent, call, patience)

    async def _pass_on(self, sent: Sent, events: bytes) -> None:
        gap = LATER_GAP_SECONDS if self._resumed else GAP_SECONDS
        while True:
            if events:
                await self._delivery.send(events)
            chunk = await self._wait(sent, sent.exchange.chunk, gap)
            self._attempts.tools.loads.heard(sent.upstream.upstream_id, now())
            if not chunk:
                break
            events = self._splitter.feed(chunk)
        if self._splitter.rest:
            raise AttemptFailed(Failure.CONNECTION_BROKEN)
        await self._delivery.finish()
