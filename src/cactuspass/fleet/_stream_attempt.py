"""One attempt at a streaming request, and the reading of its events."""

from dataclasses import dataclass

from cactuspass.exceptions import AnswerCut
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._attempts import Attempts
from cactuspass.fleet._choices import Selection
from cactuspass.fleet._connections import ConnectionClosed
from cactuspass.fleet._events import EventSplitter
from cactuspass.fleet._failures import AttemptFailed, Failure
from cactuspass.fleet._inbound import AnswerNotes


@dataclass(slots=True)
class StreamAttempt:
    """One attempt to read a stream, or the rest of a stream that has been sent in part.

    Reading can be cancelled and repeated, since the data received so far is stored here.

    :param request_attempts: all attempts of the request.
    :param splitter: finds event boundaries and holds the id of the last event read.
    :param sent_head: head of the stream that the caller has a part of, if any.
    :param head: head of the response, once received.
    :param notes: what the head states about the request and the upstream.
    :param is_checked: whether the head was found to be that of a valid stream.
    :param events: complete events that were read and not yet delivered.
    :param has_ended: whether the end of the stream was read.
    """

    request_attempts: Attempts
    active: ActiveAttempt
    selection: Selection
    splitter: EventSplitter
    sent_head: AnswerHead | None = None
    head: AnswerHead | None = None
    notes: AnswerNotes | None = None
    is_checked: bool = False
    events: bytes = b""
    has_ended: bool = False

    def pop_events(self) -> bytes:
        """Return the events that were read since the last call."""
        events, self.events = self.events, b""
        return events

    async def read_first_events(self) -> None:
        """Read up to the first complete event, or only the head if it is not a success.

        Comments before it do not say that the upstream has begun to write the answer.

        :raises RunOutcomeUnknown: if the connection is lost before the head is complete.
        :raises AnswerCut: if it is lost later.
        :raises AttemptFailed: if it is a success that does not continue the caller's stream.
        """
        self.head = await self.active.exchange.read_head()
        if self.notes is None:
            self.notes = self.request_attempts.process_head(self.active, self.head)
        if self.head.is_success and not self._continues_sent_stream(self.head):
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        while self.head.is_success and not self.splitter.has_event and not self.has_ended:
            await self.read_next()

    async def read_next(self) -> None:
        """Read the next part of the stream.

        :raises AnswerCut: if the connection is lost before the end, or the stream ends inside an
            event, or without any event together with its connection, or if its events do not
            follow those that the caller has.
        :raises AnswerOversize: if too much has come since the last event.
        """
        assert self.head is not None
        self.splitter.check_valid()
        chunk = await self.active.exchange.read_chunk()
        self.request_attempts.note_heard(self.active)
        self.request_attempts.dependencies.loads.note_response(
            self.active.upstream.upstream_id, self.active.heard_at
        )
        if chunk:
            self.events += self.splitter.feed(chunk)
            if self.splitter.has_event:
                self.request_attempts.note_begun(self.active, self.head)
            return
        closed = ConnectionClosed("it ended with its connection")
        cause = closed if self.head.body_ends_at_close else None
        try:
            self.events += self.splitter.finish()
        except AnswerCut as error:
            raise error from (cause or error.__cause__)
        if cause is not None and not self.active.has_begun:
            raise AnswerCut("the connection ended before the first event") from cause
        self.has_ended = True

    def _continues_sent_stream(self, head: AnswerHead) -> bool:
        """Return whether the body may be the rest of the stream that the caller has a part of."""
        sent = self.sent_head
        return sent is None or (head.status, head.media_type) == (sent.status, sent.media_type)

    async def check_head(self) -> None:
        """Check that the response is a stream that can be sent to the caller.

        :raises AttemptFailed: if it is not.
        """
        if self.is_checked:
            return
        head, notes = self.head, self.notes
        assert head is not None and notes is not None
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.from_application:
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        if not head.is_success:
            self.request_attempts.check_refusal(head)
            raise AttemptFailed(Failure.SERVER_ERROR, head, await self.active.exchange.read_body())
        self.is_checked = True
