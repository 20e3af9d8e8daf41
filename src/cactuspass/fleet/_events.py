"""Splits a stream of server-sent events at event boundaries, and checks that they go on."""

import re

from cactuspass._status_lines import STATUS_LINE_PATTERN
from cactuspass.exceptions import AnswerCut, AnswerOversize

# The line of an event and the blank line behind it may end differently.
EVENT_ENDS = (b"\n\n", b"\n\r\n")
MAX_EVENT_BYTES = 262_144
MAX_NUMBER_DIGITS = 32
_EVENT_END = re.compile(rb"\n\r?\n")
_ID = re.compile(rb"^id:[ ]*([^\r\n]*)", re.MULTILINE)
_NO_EVENT_LINE = re.compile(rb"^(?::|retry:|\r?$)", re.MULTILINE)
# Comments, retry times and blank lines, up to a blank line.
_NO_EVENTS = re.compile(rb"(?>(?>(?::|retry:)[^\r\n]*+\r?\n)*+\r?\n)++")
_STATUS_LINE = re.compile(STATUS_LINE_PATTERN.encode())
_HEADER = re.compile(rb"(?!(?:data|event|id|retry):)[A-Za-z0-9-]+:")


class NotAnEvent(AnswerCut):
    """A stream of events contains the head of an HTTP response."""


class NotContinued(AnswerCut):
    """The events of an upstream do not follow the last event that the caller has."""


class EventSplitter:
    """Returns complete events only, and records the id of the last one.

    :param last_id: id of the last event that the caller already has.
    :param continues: whether the events must follow that id, because the caller has a part of the
        stream.
    :ivar has_event: whether an event was found; comments, retry times and blank lines are none.
    :ivar last_event_has_id: whether the stream can be resumed behind the last event.
    """

    def __init__(self, last_id: str | None = None, continues: bool = False) -> None:
        self.last_id = last_id
        self.has_event = False
        self.last_event_has_id = True
        self._continues = continues
        self._bytes_since_event = 0
        self._incomplete_event = bytearray()
        self._error: AnswerCut | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes, up to the first invalid one.

        :raises AnswerOversize: if an incomplete event, or what comes between two events, exceeds
            the size limit.
        :raises NotAnEvent: if the next bytes are the head of a response.
        :raises NotContinued: if the next event does not follow the last one.
        """
        self.check_valid()
        searched = max(0, len(self._incomplete_event) - max(map(len, EVENT_ENDS)) + 1)
        self._incomplete_event += chunk
        ends = ((self._incomplete_event.rfind(mark, searched), len(mark)) for mark in EVENT_ENDS)
        end = max(found + length if found >= 0 else 0 for found, length in ends)
        events = bytes(self._incomplete_event[:end])
        del self._incomplete_event[:end]
        if not events and len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise AnswerOversize(f"a stream event exceeds {MAX_EVENT_BYTES} bytes")
        valid = events[: self._record_events(events)]
        if not valid:
            self.check_valid()
        return valid

    def check_valid(self) -> None:
        """Check that no invalid event was found behind those that were returned.

        :raises AnswerCut: if there was one.
        """
        if self._error is not None:
            raise self._error

    def finish(self) -> bytes:
        """Return the blank lines behind the last event, at the end of the stream.

        :raises AnswerCut: if it ends inside an event or with an invalid one.
        """
        self.check_valid()
        if self._incomplete_event.strip(b"\r\n"):
            raise AnswerCut("the stream ended inside an event")
        return bytes(self._incomplete_event)

    def _record_events(self, events: bytes) -> int:
        """Record the ids of events; return the length of those before the first invalid one."""
        may_have_head = b"HTTP/1." in events
        start = 0
        try:
            while start < len(events):
                no_events = None if may_have_head else _NO_EVENTS.match(events, start)
                if no_events is not None:
                    self._add_bytes_of_no_event(len(no_events.group()))
                    start = no_events.end()
                elif (match := _EVENT_END.search(events, start)) is not None:
                    self._record_event(events[start : match.end()])
                    start = match.end()
                else:
                    break
        except AnswerCut as error:
            self._error = error
            return start
        return len(events)

    def _record_event(self, event: bytes) -> None:
        if b"HTTP/1." in event and _contains_head(event):
            raise NotAnEvent("the stream contains the head of a response")
        found = _ID.search(event)
        if found is not None:
            event_id = found.group(1).strip().decode("latin-1")
            if self._continues and not _follows(event_id, self.last_id):
                raise NotContinued(f"event {event_id} does not follow event {self.last_id}")
            self.last_id = event_id
            self._continues = False
            self._bytes_since_event = 0
            self.has_event = self.last_event_has_id = True
        elif not all(map(_NO_EVENT_LINE.match, event.splitlines())):
            if self._continues:
                raise NotContinued(f"an event without an id follows event {self.last_id}")
            self.has_event = True
            self.last_event_has_id = False
            self._bytes_since_event = 0
        else:
            self._add_bytes_of_no_event(len(event))

    def _add_bytes_of_no_event(self, count: int) -> None:
        """Count bytes of comments, retry times and blank lines since the last event.

        :raises AnswerOversize: if they exceed the size limit.
        """
        self._bytes_since_event += count
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise AnswerOversize(f"over {MAX_EVENT_BYTES} bytes without an event")


def _contains_head(event: bytes) -> bool:
    """Return whether an event contains the head of an HTTP response.

    That is a status line at the start of a line, or inside a line and followed by a header, which
    is no field of an event. Each line is read once, however many status lines it contains.
    """
    follows_status = False
    for line in event.split(b"\n"):
        if _STATUS_LINE.match(line) or (follows_status and _HEADER.match(line)):
            return True
        _, _, end_of_line = line.removesuffix(b"\r").rpartition(b"\r")
        follows_status = _STATUS_LINE.search(end_of_line) is not None
    return False


def _follows(event_id: str, last_id: str | None) -> bool:
    """Return whether an id may follow another; numbers increase, other ids only differ."""
    if last_id is not None and _is_number(event_id) and _is_number(last_id):
        return int(event_id) > int(last_id)
    return event_id != last_id


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= MAX_NUMBER_DIGITS
