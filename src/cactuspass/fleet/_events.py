"""Splits a stream of server-sent events at the ends of events."""

from cactuspass.exceptions import AnswerOversize

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_BYTES = 262_144
ID_FIELD = b"id:"


class EventSplitter:
    """Passes on whole events only, and remembers the id of the last one.

    :param last_id: id of the last event that the caller already has.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._rest = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that are complete with this chunk.

        :raises AnswerOversize: when the event that has begun is too large to be held.
        """
        searched = max(0, len(self._rest) - max(map(len, EVENT_ENDS)) + 1)
        self._rest += chunk
        ends = ((self._rest.rfind(mark, searched), len(mark)) for mark in EVENT_ENDS)
        end = max(found + length if found >= 0 else 0 for found, length in ends)
        events = bytes(self._rest[:end])
        del self._rest[:end]
        if events:
            self._note(events)
        elif len(self._rest) > MAX_EVENT_BYTES:
            raise AnswerOversize(f"an event of more than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._rest)

    def restart(self) -> None:
        """Drop a part of an event, since the next upstream sends that event again."""
        self._rest.clear()

    def _note(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.count += 1
