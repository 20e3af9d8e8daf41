"""Relays responses that are not streams of events."""

from cactuspass._clock import now
from cactuspass.exceptions import AnswerCut
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._choices import NoUpstream, Selection
from cactuspass.fleet._connections import ConnectionClosed
from cactuspass.fleet._failures import AttemptFailed, DeadlinePassed, Failure, NoUpstreamAvailable
from cactuspass.fleet._relay import Relay

MAX_BUFFERED_BYTES = 1_048_576
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
        active = await self._send(selection)
        try:
            await self._receive_or_record_failure(active, lambda: self._relay(active))
        finally:
            self._attempts.close(active)

    async def _relay(self, active: ActiveAttempt) -> None:
        latency = self._attempts.dependencies.loads.load(active.upstream.upstream_id).latency
        stall_timeout = max(MIN_STALL_TIMEOUT_SECONDS, latency * STALL_TIMEOUT_LATENCY_FACTOR)
        head = await self._receive_unless_stalled(active, active.exchange.read_head, stall_timeout)
        notes = self._attempts.process_head(active, head)
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.from_application:
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        self._attempts.check_refusal(head)
        parts: list[bytes] = []
        is_complete = await self._receive_within_deadline(
            lambda: self._read_ahead(active, head, parts)
        )
        if head.status < 500 and not is_complete:
            await self._stream_body(active, head, parts)
            return
        body = b"".join(parts) + await self._receive_within_deadline(active.exchange.read_body)
        if head.status >= 500:
            raise AttemptFailed(Failure.SERVER_ERROR, head, body)
        if not body:
            self._check_empty(head)
        self._attempts.note_begun(active, head)
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

    async def _read_ahead(
        self, active: ActiveAttempt, head: AnswerHead, parts: list[bytes]
    ) -> bool:
        """Read a body up to the buffer limit; return whether it was read completely.

        :param parts: receives what was read, and keeps it if the call is cancelled and repeated.
        """
        read_bytes = sum(map(len, parts))
        while read_bytes <= MAX_BUFFERED_BYTES:
            part = await active.exchange.read_chunk()
            if not part:
                return True
            parts.append(part)
            read_bytes += len(part)
            if head.status < 500:
                self._attempts.note_begun(active, head)
        return False

    async def _stream_body(
        self, active: ActiveAttempt, head: AnswerHead, parts: list[bytes]
    ) -> None:
        """Relay a response that is too large to buffer, beginning with the parts already read."""
        headers = self._attempts.dependencies.request_format.answer_headers(head)
        await self._delivery.send_head(head.status, headers)
        for part in parts:
            await self._delivery.send_chunk(part)
        while chunk := await self._receive_within_deadline(active.exchange.read_chunk):
            # A late timeout of the read is excused, so the deadline is checked here as well.
            if self._attempts.seconds_left <= 0:
                raise DeadlinePassed
            await self._delivery.send_chunk(chunk)
        await self._delivery.finish()
