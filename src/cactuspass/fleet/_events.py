"""Splits a stream of server-sent events at event boundaries."""

from cactuspass.exceptions import AnswerOversize

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_BYTES = 262_144
ID_FIELD = b"id:"


class EventSplitter:
    """Returns complete events only, and records the id of the last one.

    :param last_id: id of the last event that the caller already has.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._incomplete_event = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that this chunk completes.

        :raises AnswerOversize: if an incomplete event exceeds the size limit.
        """
        searched = max(0, len(self._incomplete_event) - max(map(len, EVENT_ENDS)) + 1)
        self._incomplete_event += chunk
        ends = ((self._incomplete_event.rfind(mark, searched), len(mark)) for mark in EVENT_ENDS)
        end = max(found + length if found >= 0 else 0 for found, length in ends)
        events = bytes(self._incomplete_event[:end])
        del self._incomplete_event[:end]
        if events:
            self._record_ids(events)
        elif len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise AnswerOversize(f"a stream event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def incomplete_event(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._incomplete_event)

    def restart(self) -> None:
        """Discard the incomplete event, because the next upstream sends that event again."""
        self._incomplete_event.clear()

    def _record_ids(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.count += 1
