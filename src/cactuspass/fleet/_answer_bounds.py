"""How much an upstream may send for one answer, so that bytes without end are given up."""

from cactuspass.exceptions import AnswerOversize

MAX_HEAD_BYTES = 65_536
MAX_FRAMING_BYTES = 65_536
FRAMING_PER_BODY_BYTE = 16
MAX_SKIPPED_BYTES = 4_194_304
MAX_ANSWER_BYTES = 1 << 30


class AnswerBounds:
    """Counts the bytes of one exchange, those of answers to other requests included.

    Framing is all that is no body: heads, sizes of chunks and their extensions, trailers. A body in
    tiny chunks has more of it than of itself.
    """

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._skipped = 0
        self._head = 0

    def begin_head(self) -> None:
        """Begin to count a head."""
        self._head = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header.

        :raises AnswerOversize: when the head has become too large.
        """
        self._head += len(name) + len(value)
        if self._head > MAX_HEAD_BYTES:
            raise AnswerOversize(f"a head of more than {MAX_HEAD_BYTES} bytes")

    def add_body(self, count: int) -> None:
        """Count a part of the body.

        :raises AnswerOversize: when the answer has become too large.
        """
        self._body += count
        if self._body > MAX_ANSWER_BYTES:
            raise AnswerOversize(f"a body of more than {MAX_ANSWER_BYTES} bytes")

    def add_skipped(self, count: int) -> None:
        """Count a part of the body of an answer to another request.

        :raises AnswerOversize: when there is too much of it.
        """
        self._skipped += count
        if self._skipped > MAX_SKIPPED_BYTES:
            raise AnswerOversize(f"other answers of more than {MAX_SKIPPED_BYTES} bytes")

    def add_received(self, count: int) -> None:
        """Count what was read from the connection, once its body has been counted.

        :raises AnswerOversize: when too much of it is framing.
        """
        self._received += count
        framing = self._received - self._body - self._skipped
        if framing > MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * self._body:
            raise AnswerOversize(f"{framing} bytes around {self._body} bytes of a body")
