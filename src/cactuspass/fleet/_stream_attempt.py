"""One attempt at a stream, and the reading of its events."""

from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass.fleet._attempts import ActiveAttempt, AttemptFailed, Attempts, Failure
from cactuspass.fleet._connections import AnswerHead
from cactuspass.fleet._events import EventSplitter
from cactuspass.fleet._inbound import AnswerNotes
from cactuspass.fleet._selection import Selection


@dataclass(slots=True)
class StreamAttempt:
    """One attempt at a stream, or at what is left of it.

    Reading may be cancelled and begun again; what has come is kept here.

    :param splitter: finds the ends of events, and holds the id of the last one read.
    :param head: head of the answer, once it has come.
    :param notes: what that head says.
    :param checked: whether the head is that of a stream which the caller can have.
    :param events: whole events that were read and not yet delivered.
    :param ended: whether the stream has ended.
    """

    attempts: Attempts
    sent: ActiveAttempt
    chosen: Selection
    splitter: EventSplitter
    head: AnswerHead | None = None
    notes: AnswerNotes | None = None
    checked: bool = False
    events: bytes = b""
    ended: bool = False

    def take_events(self) -> bytes:
        """Return the events that were read since the last call."""
        events, self.events = self.events, b""
        return events

    async def read_begin(self) -> None:
        """Read up to the first whole event, or to the head of an answer that is no success.

        :raises RunOutcomeUnknown: when the connection broke before the head was whole.
        :raises AnswerCut: when it broke later.
        """
        self.head = await self.sent.exchange.read_head()
        if self.notes is None:
            self.notes = self.attempts.read_notes(self.sent, self.head)
        while self.head.is_success and not self.events and not self.ended:
            await self.read()

    async def read(self) -> None:
        """Read the next part of the stream.

        :raises AnswerCut: when the connection broke before the end.
        """
        chunk = await self.sent.exchange.read_chunk()
        self.attempts.dependencies.loads.note_response(self.sent.upstream.upstream_id, now())
        if chunk:
            self.events += self.splitter.feed(chunk)
        else:
            self.ended = True

    async def check(self) -> None:
        """Check that the answer is a stream which the caller can have.

        :raises AttemptFailed: when it is not.
        """
        if self.checked:
            return
        head, notes = self.head, self.notes
        assert head is not None and notes is not None
        if notes.not_run:
            raise AttemptFailed(Failure.NOT_RUN, head)
        if not notes.from_application:
            raise AttemptFailed(Failure.NOT_FROM_APPLICATION)
        if not head.is_success:
            raise AttemptFailed(Failure.SERVER_ERROR, head, await self.sent.exchange.read_body())
        self.checked = True
