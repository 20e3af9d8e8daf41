"""Serves a request whose answer is one body."""

from cactuspass._clock import now
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown, UpstreamNotReached
from cactuspass.fleet._attempts import (
    AttemptFailed,
    Attempts,
    DeadlinePassed,
    Failure,
    NothingServes,
    Sent,
    within,
)
from cactuspass.fleet._channels import AnswerHead
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._selection import Chosen, NoUpstream

MAX_HELD_BYTES = 1_048_576
ASK_AGAIN_SECONDS = 0.25
ASK_AGAIN_FACTOR = 4.0


class PlainRun:
    """Brings the answer of one request to its caller.

    Small answers are held until they are whole, so that one that breaks off can be asked for
    again where the request may be repeated.
    """

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        self._attempts = attempts
        self._delivery = delivery

    async def run(self) -> None:
        """Deliver the answer.

        :raises NothingServes: when no upstream can take the request.
        :raises DeadlinePassed: when the time has passed.
        :raises AttemptFailed: when the last attempt failed and no other may be made.
        """
        last: AttemptFailed | None = None
        while True:
            found = self._attempts.choose()
            if isinstance(found, NoUpstream):
                if last is not None:
                    raise last
                raise NothingServes(found)
            try:
                await self._attempt(found)
                return
            except AttemptFailed as error:
                last = error
                if self._delivery.begun or not self._attempts.may_repeat(error.failure):
                    raise

    async def _attempt(self, chosen: Chosen) -> None:
        attempts = self._attempts
        try:
            sent = await attempts.send(chosen)
        except UpstreamNotReached:
            attempts.note_failure(Failure.NOT_REACHED, chosen.upstream, was_sent=False)
            raise AttemptFailed(Failure.NOT_REACHED) from None
        try:
            await self._receive(sent)
        except AttemptFailed as error:
            attempts.note_failure(error.failure, chosen.upstream, was_sent=True)
            raise
        except (RunOutcomeUnknown, AnswerCut):
            attempts.note_failure(Failure.CONNECTION_BROKEN, chosen.upstream, was_sent=True)
            raise AttemptFailed(Failure.CONNECTION_BROKEN) from None
        finally:
            attempts.close(sent)

    async def _receive(self, sent: Sent) -> None:
        head = await self._wait_for_head(sent)
        notes = self._attempts.read_notes(sent, head)
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.genuine:
            raise AttemptFailed(Failure.NOT_GENUINE)
        length = head.get("content-length") or "0"
        if head.status < 500 and length.isdigit() and int(length) > MAX_HELD_BYTES:
            await self._pass_on(sent, head)
            return
        body = await self._within_deadline(sent)
        if head.status >= 500:
            raise AttemptFailed(Failure.SERVER_ERROR, head, body)
        upstream_id = sent.upstream.upstream_id
        self._attempts.tools.loads.succeeded(upstream_id, now() - sent.sent_at)
        headers = self._attempts.tools.request_format.answer_headers(head)
        await self._delivery.answer(head.status, headers, body)

    async def _wait_for_head(self, sent: Sent) -> AnswerHead:
        latency = self._attempts.tools.loads.load(sent.upstream.upstream_id).latency
        patience = max(ASK_AGAIN_SECONDS, latency * ASK_AGAIN_FACTOR)
        while True:
            left = self._attempts.seconds_left
            if left <= 0:
                raise DeadlinePassed
            try:
                return await within(min(left, patience), sent.exchange.head)
            except TimeoutError:
                if self._attempts.could_repeat_elsewhere(sent.upstream):
                    raise AttemptFailed(Failure.STALLED) from None
                self._attempts.note_silence(sent.upstream)

    async def _within_deadline(self, sent: Sent) -> bytes:
        try:
            return await within(self._attempts.seconds_left, sent.exchange.body)
        except TimeoutError:
            raise DeadlinePassed from None

    async def _pass_on(self, sent: Sent, head: AnswerHead) -> None:
        headers = self._attempts.tools.request_format.answer_headers(head)
        await self._delivery.begin(head.status, headers)
        try:
            while chunk := await within(self._attempts.seconds_left, sent.exchange.chunk):
                await self._delivery.send(chunk)
        except TimeoutError:
            raise DeadlinePassed from None
        await self._delivery.finish()
