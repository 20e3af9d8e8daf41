"""The event with which a stream of an engine says that it is complete."""

import re

TAIL_BYTES = 64
_LINE = re.compile(rb"\ndata: ?\[DONE\]\r?(?:\n|\Z)")
_LAST_EVENT = re.compile(rb"\ndata: ?\[DONE\]\r?\n(?:\r?\n)+\Z")


class StreamTail:
    """The last bytes of a stream of events."""

    def __init__(self) -> None:
        self._bytes = b"\n"

    def add(self, chunk: bytes) -> None:
        """Take the next bytes of the stream."""
        self._bytes = (self._bytes + chunk[-TAIL_BYTES:])[-TAIL_BYTES:]

    @property
    def has_final_line(self) -> bool:
        """Whether the final event is among the last bytes; its text within another is not one."""
        return _LINE.search(self._bytes) is not None

    @property
    def is_complete(self) -> bool:
        """Whether the stream ends with the whole final event, so that nothing is missing."""
        return _LAST_EVENT.search(self._bytes) is not None

    @property
    def is_between_events(self) -> bool:
        """Whether no event has begun that lacks its end."""
        return self._bytes == b"\n" or self._bytes.endswith((b"\n\n", b"\n\r\n"))
