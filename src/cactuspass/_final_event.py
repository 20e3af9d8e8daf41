"""Detection of the final event, ``data: [DONE]``, of an engine's stream."""

import re

TAIL_BYTES = 64
_FINAL_LINE = re.compile(rb"\ndata: ?\[DONE\]\r?(?:\n|\Z)")
_FINAL_EVENT_AT_END = re.compile(rb"\ndata: ?\[DONE\]\r?\n(?:\r?\n)+\Z")


class StreamTail:
    """The last bytes of a stream of server-sent events.

    The buffer begins with a line feed, so that a final event at the very start is detected as well.
    """

    def __init__(self) -> None:
        self._bytes = b"\n"

    def add(self, chunk: bytes) -> None:
        """Append the next bytes of the stream."""
        self._bytes = (self._bytes + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]

    @property
    def has_final_event(self) -> bool:
        """Whether the last bytes contain the final event as a line of its own."""
        return _FINAL_LINE.search(self._bytes) is not None

    @property
    def is_complete(self) -> bool:
        """Whether the stream ends with the complete final event, including its blank line."""
        return _FINAL_EVENT_AT_END.search(self._bytes) is not None

    @property
    def is_between_events(self) -> bool:
        """Whether the stream is empty or its last event is complete."""
        return self._bytes == b"\n" or self._bytes.endswith((b"\n\n", b"\n\r\n"))
