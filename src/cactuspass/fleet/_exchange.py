"""One request on a connection, and the reading of its response."""

import asyncio
from abc import ABC, abstractmethod

from cactuspass.exceptions import AnswerCut, AnswerOversize, RunOutcomeUnknown
from cactuspass.fleet._answer_head import AnswerHead, IdCheck

MAX_BODY_BYTES = 1_048_576
READ_AHEAD_BYTES = 65_536
# Returned from one body before other tasks have a turn.
TURN_BYTES = 16_384


class ExchangeConnection(ABC):
    """A connection, as its exchange uses it."""

    @abstractmethod
    def pause_reading(self) -> None:
        """Stop reading, so that TCP flow control slows down the sender."""

    @abstractmethod
    def resume_reading(self) -> None:
        """Continue reading."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection immediately, without flushing buffered data."""


class Exchange:
    """One request on a connection, and its response.

    A response that identifies another request is skipped, since no exchange waits for it any more.
    """

    def __init__(
        self, connection: ExchangeConnection, check: IdCheck | None, has_no_body: bool
    ) -> None:
        self.started = False
        self._connection = connection
        self._check = check
        self._has_no_body = has_no_body
        self._head: AnswerHead | None = None
        self._unread = bytearray()
        self._parts: list[bytes] = []
        self._parts_bytes = 0
        self._bytes_in_turn = 0
        self._has_ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def read_head(self) -> AnswerHead:
        """Return the head of the response.

        :raises RunOutcomeUnknown: if the connection is lost before the head is complete.
        """
        while self._head is None:
            if self._error is not None:
                raise RunOutcomeUnknown(str(self._error)) from self._error
            await self._wait_for_update()
        return self._head

    async def read_chunk(self, max_bytes: int = TURN_BYTES) -> bytes:
        """Return the next part of the body, or empty bytes at its end.

        A part is what has arrived, however the sender has divided the body into chunks. While more
        of it has arrived, other tasks have a turn after ``TURN_BYTES``.

        :param max_bytes: largest size of the part.
        :raises AnswerCut: if the connection is lost before the end.
        """
        if self._bytes_in_turn >= TURN_BYTES:
            self._bytes_in_turn = 0
            await asyncio.sleep(0)
        while not self._unread:
            if self._has_ended:
                return b""
            if self._error is not None:
                raise AnswerCut(str(self._error)) from self._error
            await self._wait_for_update()
        part = bytes(self._unread[:max_bytes])
        del self._unread[:max_bytes]
        self._bytes_in_turn += len(part)
        if len(self._unread) < READ_AHEAD_BYTES:
            self._connection.resume_reading()
        return part

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body. A cancelled call can be repeated without losing data.

        :param max_bytes: size above which reading is aborted.
        :raises AnswerOversize: if the body is larger.
        :raises AnswerCut: if the connection is lost before the end.
        """
        while part := await self.read_chunk():
            self._parts.append(part)
            self._parts_bytes += len(part)
            if self._parts_bytes > max_bytes:
                self._parts.clear()
                self._connection.abort()
                raise AnswerOversize(f"the response body exceeds {max_bytes} bytes")
        return b"".join(self._parts)

    def abort(self) -> None:
        """Close the connection unless the response has ended."""
        if not self._has_ended:
            self._connection.abort()

    async def _wait_for_update(self) -> None:
        self._bytes_in_turn = 0
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def matches(self, head: AnswerHead) -> bool:
        """Return whether a response does not identify another request."""
        if self._check is None:
            return True
        value = head.get(self._check.header)
        return value is None or value == self._check.value

    def is_identified_by(self, head: AnswerHead) -> bool:
        """Return whether a response states that it is for this request, or needs no check."""
        return self._check is None or head.get(self._check.header) == self._check.value

    @property
    def id_header(self) -> str | None:
        """Name of the header by which responses name their requests, if they do."""
        return self._check.header if self._check is not None else None

    @property
    def has_no_body(self) -> bool:
        """Whether the response has no body, whatever its headers declare."""
        return self._has_no_body

    def receive_head(self, head: AnswerHead) -> None:
        """Store the head of the response."""
        self._head = head
        self._notify_waiter()

    def receive_chunk(self, chunk: bytes) -> None:
        """Append a part of the body, and pause reading if too much of it is unread."""
        self._unread += chunk
        if len(self._unread) >= READ_AHEAD_BYTES:
            self._connection.pause_reading()
        self._notify_waiter()

    def receive_end(self) -> None:
        """Mark the body as complete."""
        self._has_ended = True
        self._notify_waiter()

    def fail(self, error: Exception) -> None:
        """Record the error that ended the connection."""
        if not self._has_ended and self._error is None:
            self._error = error
            self._notify_waiter()
