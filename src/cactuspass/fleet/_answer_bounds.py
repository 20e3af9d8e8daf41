"""Limits on the bytes that an upstream may send for one request, against endless responses."""

from cactuspass.exceptions import AnswerOversize

MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 256  # a short header takes many times its bytes once it is parsed
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BODY_BYTE = 16
MAX_SKIPPED_BYTES = 4_194_304
MAX_ANSWER_BYTES = 1 << 30


class AnswerBounds:
    """Counts the bytes received during one exchange, including responses to other requests.

    Framing is everything except the body: heads, chunk sizes and extensions, and trailers. A body
    in very small chunks has more framing than data, so the limit grows with the body.
    """

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._skipped = 0
        self._head = 0
        self._headers = 0

    def start_head(self) -> None:
        """Reset the size of the current head."""
        self._head = 0
        self._headers = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count one header or trailer.

        :raises AnswerOversize: if the head, with its trailers, exceeds a limit.
        """
        self._headers += 1
        if self._headers > MAX_HEADERS:
            raise AnswerOversize(f"the response has over {MAX_HEADERS} headers")
        self._head += len(name) + len(value)
        if self._head > MAX_HEAD_BYTES:
            raise AnswerOversize(f"the response head exceeds {MAX_HEAD_BYTES} bytes")

    def add_body(self, count: int) -> None:
        """Count bytes of the body.

        :raises AnswerOversize: if the body exceeds its limit.
        """
        self._body += count
        if self._body > MAX_ANSWER_BYTES:
            raise AnswerOversize(f"the response body exceeds {MAX_ANSWER_BYTES} bytes")

    def add_skipped(self, count: int) -> None:
        """Count bytes of the body of a response to another request.

        :raises AnswerOversize: if such bodies exceed their limit.
        """
        self._skipped += count
        if self._skipped > MAX_SKIPPED_BYTES:
            raise AnswerOversize(f"responses to other requests exceed {MAX_SKIPPED_BYTES} bytes")

    def add_received(self, count: int) -> None:
        """Count bytes read from the connection, after the body bytes among them were counted.

        :raises AnswerOversize: if the framing exceeds its limit.
        """
        self._received += count
        framing = self._received - self._body - self._skipped
        if framing > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body:
            raise AnswerOversize(
                f"{framing} bytes of framing for {self._body} bytes of response body"
            )
