"""Detection of a second response behind a body that ends only with its connection.

Nothing in HTTP/1.1 separates the two. What tells a second response from text that looks like one is
the header by which upstreams name the request that they answer.
"""

import re

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d\d\d[^\r\n]*\r\n")
MAX_STATUS_LINE_BYTES = 256
MAX_HEADER_LINE_BYTES = 8192


class ResponseExtra(ConnectionError):
    """A body that contains the head of another response."""


class ExtraResponseScanner:
    """Looks for the head of a response with a certain header, in a body that comes in parts.

    :param header: name of the header by which a response names its request.
    """

    def __init__(self, header: str) -> None:
        self._prefix = f"{header.lower()}:".encode()
        self._rest = b""
        self._is_in_head = False

    def feed(self, part: bytes) -> None:
        """Look at the next part of the body.

        :raises ResponseExtra: if the body holds a status line and, among the header lines behind
            it, that header.
        """
        data: bytes | None = self._rest + part
        while data is not None:
            data = self._read_line(data) if self._is_in_head else self._find_status_line(data)

    def _find_status_line(self, data: bytes) -> bytes | None:
        """Return what follows the next status line; None if more of the body is needed."""
        found = _STATUS_LINE.search(data)
        if found is None:
            self._rest = data[-MAX_STATUS_LINE_BYTES:]
            return None
        self._is_in_head = True
        return data[found.end() :]

    def _read_line(self, data: bytes) -> bytes | None:
        """Return what is to be looked at next; None if more of the body is needed."""
        line, end, behind = data.partition(b"\r\n")
        is_too_long = len(line) > MAX_HEADER_LINE_BYTES
        if not end and not is_too_long:
            self._rest = data
            return None
        if not is_too_long and line.lower().startswith(self._prefix):
            raise ResponseExtra("a body contains the head of another response")
        if not is_too_long and b":" in line:
            return behind
        # The head has ended, or it was none; this line may be the status line of another one.
        self._is_in_head = False
        return data
