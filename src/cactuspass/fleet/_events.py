"""Splits a stream of server-sent events at the ends of events."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Passes on whole events only, and remembers the id of the last one.

    :param last_id: id of the last event that the caller already has.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that are complete with this chunk."""
        data = self._rest + chunk
        end = max(data.rfind(mark) + len(mark) if mark in data else 0 for mark in EVENT_ENDS)
        events, self._rest = data[:end], data[end:]
        if events:
            self._note(events)
        return events

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def restart(self) -> None:
        """Drop a part of an event, since the next upstream sends that event again."""
        self._rest = b""

    def _note(self, events: bytes) -> None:
        for line in events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.count += 1
