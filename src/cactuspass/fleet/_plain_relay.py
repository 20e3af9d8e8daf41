"""Serves a request whose answer is one body."""

from cactuspass._clock import now
from cactuspass.fleet._attempts import (
    ActiveAttempt,
    AttemptFailed,
    Failure,
    NoUpstreamAvailable,
)
from cactuspass.fleet._connections import AnswerHead
from cactuspass.fleet._relay import Relay
from cactuspass.fleet._selection import NoUpstream, Selection

MAX_BUFFERED_BYTES = 1_048_576
ASK_AGAIN_SECONDS = 0.25
ASK_AGAIN_FACTOR = 4.0


class PlainRelay(Relay):
    """Brings the answer of one request to its caller.

    Small answers are held until they are whole, so that one that breaks off can be asked for
    again where the request may be repeated.
    """

    async def run(self) -> None:
        """Deliver the answer.

        :raises NoUpstreamAvailable: when no upstream can take the request.
        :raises DeadlinePassed: when the time has passed.
        :raises AttemptFailed: when the last attempt failed and no other may be made.
        """
        last: AttemptFailed | None = None
        while True:
            found = self._attempts.choose()
            if isinstance(found, NoUpstream):
                if last is not None:
                    raise last
                raise NoUpstreamAvailable(found)
            try:
                await self._attempt(found)
                return
            except AttemptFailed as error:
                last = error
                if self._delivery.head_sent or not self._attempts.may_retry(error.failure):
                    raise

    async def _attempt(self, chosen: Selection) -> None:
        sent = await self._send(chosen)
        try:
            await self._conclude(sent, lambda: self._receive(sent))
        finally:
            self._attempts.close(sent)

    async def _receive(self, sent: ActiveAttempt) -> None:
        latency = self._attempts.dependencies.loads.load(sent.upstream.upstream_id).latency
        patience = max(ASK_AGAIN_SECONDS, latency * ASK_AGAIN_FACTOR)
        head = await self._wait(sent, sent.exchange.read_head, patience)
        notes = self._attempts.read_notes(sent, head)
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.from_application:
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        parts: list[bytes] = []
        is_whole = await self._within_deadline(lambda: _read_ahead(sent, parts))
        if head.status < 500 and not is_whole:
            await self._pass_on(sent, head, parts)
            return
        body = b"".join(parts) + await self._within_deadline(sent.exchange.read_body)
        if head.status >= 500:
            raise AttemptFailed(Failure.SERVER_ERROR, head, body)
        upstream_id = sent.upstream.upstream_id
        self._attempts.dependencies.loads.record_success(upstream_id, now() - sent.sent_at)
        headers = self._attempts.dependencies.request_format.answer_headers(head)
        await self._delivery.send_response(head.status, headers, body)

    async def _pass_on(self, sent: ActiveAttempt, head: AnswerHead, parts: list[bytes]) -> None:
        """Pass on an answer that is too large to be held, its first parts at once."""
        headers = self._attempts.dependencies.request_format.answer_headers(head)
        await self._delivery.send_head(head.status, headers)
        for part in parts:
            await self._delivery.send_chunk(part)
        while chunk := await self._within_deadline(sent.exchange.read_chunk):
            await self._delivery.send_chunk(chunk)
        await self._delivery.finish()


async def _read_ahead(sent: ActiveAttempt, parts: list[bytes]) -> bool:
    """Read an answer's body as far as it may be held; return whether that is all of it.

    :param parts: takes what was read; kept when the call is cancelled and made again.
    """
    while sum(map(len, parts)) <= MAX_BUFFERED_BYTES:
        part = await sent.exchange.read_chunk()
        if not part:
            return True
        parts.append(part)
    return False
