"""Relays responses that are not streams of events."""

from functools import partial

from cactuspass._clock import now
from cactuspass.exceptions import AnswerCut, AnswerOversize
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._answer_buffers import HeldAnswer
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._choices import NoUpstream, Selection
from cactuspass.fleet._connections import ConnectionClosed
from cactuspass.fleet._failures import AttemptFailed, DeadlinePassed, Failure, NoUpstreamAvailable
from cactuspass.fleet._relay import Relay

MAX_BUFFERED_BYTES = 1_048_576
# Of a body that is passed on; larger than that of a stream, whose events are work for each byte.
PART_BYTES = 65_536
MIN_STALL_TIMEOUT_SECONDS = 0.25
STALL_TIMEOUT_LATENCY_FACTOR = 4.0


class PlainRelay(Relay):
    """Relays a response with a single body.

    Small responses are buffered until they are complete, so that the request can be retried if the
    connection breaks, provided that the route allows it.
    """

    async def run(self) -> None:
        """Deliver the response.

        :raises NoUpstreamAvailable: if no upstream can accept the request.
        :raises DeadlinePassed: if the deadline of the request has passed.
        :raises AttemptFailed: if the last attempt failed and no other one may be made.
        """
        last: AttemptFailed | None = None
        while True:
            found = await self._attempts.choose_in_time()
            if isinstance(found, NoUpstream):
                if last is not None:
                    raise last
                raise NoUpstreamAvailable(found)
            try:
                await self._attempt(found)
                return
            except AttemptFailed as error:
                last = error
                await self._attempts.wait_for_verdict()
                if self._delivery.head_sent or not self._attempts.may_retry(error.failure):
                    raise

    async def _attempt(self, selection: Selection) -> None:
        self._attempts.progress.attempt = active = await self._send(selection)
        held = HeldAnswer(self._attempts.dependencies.answer_buffers)
        try:
            await self._receive_or_record_failure(active, lambda: self._relay(active, held))
        finally:
            held.release()
            self._attempts.close(active)

    async def _relay(self, active: ActiveAttempt, held: HeldAnswer) -> None:
        latency = self._attempts.dependencies.loads.load(active.upstream.upstream_id).latency
        stall_timeout = max(MIN_STALL_TIMEOUT_SECONDS, latency * STALL_TIMEOUT_LATENCY_FACTOR)
        head = await self._receive_unless_stalled(active, active.exchange.read_head, stall_timeout)
        notes = self._attempts.process_head(active, head)
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.from_application:
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        self._attempts.check_refusal(head)
        is_complete = await self._receive_within_deadline(
            lambda: self._read_ahead(active, head, held)
        )
        if not is_complete:
            if head.status >= 500:
                raise AnswerOversize(f"{held.bytes} bytes of a failure are not all of it")
            await self._stream_body(active, head, held)
            return
        body = held.take()
        if head.status >= 500:
            raise AttemptFailed(Failure.SERVER_ERROR, head, body)
        if not body:
            self._check_empty(head)
        self._attempts.note_begun(active, head)
        self._attempts.note_whole(head)
        upstream_id = active.upstream.upstream_id
        self._attempts.dependencies.loads.record_success(upstream_id, now() - active.sent_at)
        headers = self._attempts.dependencies.request_format.answer_headers(head)
        await self._delivery.send_response(head.status, headers, body)

    def _check_empty(self, head: AnswerHead) -> None:
        """Check that a response without a body is not that of an upstream that has crashed.

        :raises AnswerCut: if it is a success whose body would have ended with the connection.
        """
        has_body = self._attempts.request.method != "HEAD" and head.body_ends_at_close
        if head.is_success and has_body:
            closed = ConnectionClosed("it ended with its connection")
            raise AnswerCut("the connection ended before the body") from closed

    async def _read_ahead(self, active: ActiveAttempt, head: AnswerHead, held: HeldAnswer) -> bool:
        """Read a body as far as it may be held; return whether it was read completely.

        :param held: receives what was read, and keeps it if the call is cancelled and repeated.
        """
        has_room = held.bytes <= MAX_BUFFERED_BYTES
        while has_room:
            part = await active.exchange.read_chunk(PART_BYTES)
            self._attempts.note_heard(active)
            if not part:
                return True
            has_room = held.add(part) and held.bytes <= MAX_BUFFERED_BYTES
            if head.status < 500:
                self._attempts.note_begun(active, head)
        return False

    async def _stream_body(self, active: ActiveAttempt, head: AnswerHead, held: HeldAnswer) -> None:
        """Relay a response that is too large to hold, beginning with the parts already read."""
        headers = self._attempts.dependencies.request_format.answer_headers(head)
        await self._delivery.send_head(head.status, headers)
        for part in held.parts:
            await self._send_chunk(part)
        held.release()
        read = partial(active.exchange.read_chunk, PART_BYTES)
        while chunk := await self._receive_within_deadline(read):
            self._attempts.note_heard(active)
            await self._send_chunk(chunk)
        self._attempts.note_whole(head)
        await self._delivery.finish()

    async def _send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, which has been read, perhaps some time ago.

        :raises DeadlinePassed: if the deadline of the request has passed.
        """
        if self._attempts.seconds_left <= 0:
            raise DeadlinePassed
        self._attempts.progress.passed_bytes += len(chunk)
        await self._delivery.send_chunk(chunk)
