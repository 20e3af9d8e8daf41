"""One HTTP/1.1 connection to an upstream or to the store, and the exchanges on it."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools

from cactuspass.exceptions import (
    AnswerCut,
    AnswerOversize,
    RunOutcomeUnknown,
    UpstreamNotReached,
)
from cactuspass.fleet._answer_bounds import AnswerBounds

MAX_BODY_BYTES = 1_048_576
READ_AHEAD_BYTES = 262_144
DEFAULT_KEEP_SECONDS = 4.0
NO_BODY_STATUSES = frozenset({204, 304})

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: tuple[Header, ...]

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300

    def get(self, name: str) -> str | None:
        """Return the first header of a name, given in lower case."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class IdCheck:
    """Header by which an answer names its request, and the value that it must have."""

    header: str
    value: str


class Exchange:
    """One request on a connection, and its answer.

    An answer that names another request is left out; it belongs to nobody who still waits.
    """

    def __init__(self, connection: "Connection", check: IdCheck | None, bodiless: bool) -> None:
        self.started = False
        self._connection = connection
        self._check = check
        self._bodiless = bodiless
        self._head: AnswerHead | None = None
        self._chunks: deque[bytes] = deque()
        self._parts: list[bytes] = []
        self._parts_bytes = 0
        self._held_bytes = 0
        self._ended = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises RunOutcomeUnknown: when the connection broke before the head was whole.
        """
        while self._head is None:
            if self._error is not None:
                raise RunOutcomeUnknown(str(self._error)) from self._error
            await self._wait()
        return self._head

    async def read_chunk(self) -> bytes:
        """Return the next part of the body; empty at its end.

        :raises AnswerCut: when the connection broke before the end.
        """
        while not self._chunks:
            if self._ended:
                return b""
            if self._error is not None:
                raise AnswerCut(str(self._error)) from self._error
            await self._wait()
        chunk = self._chunks.popleft()
        self._held_bytes -= len(chunk)
        if self._held_bytes < READ_AHEAD_BYTES:
            self._connection.resume_reading()
        return chunk

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body; a call that was cancelled may be made again.

        :param max_bytes: bytes above which the answer is given up.
        :raises AnswerOversize: when the body is larger.
        :raises AnswerCut: when the connection broke before the end.
        """
        while part := await self.read_chunk():
            self._parts.append(part)
            self._parts_bytes += len(part)
            if self._parts_bytes > max_bytes:
                self._parts.clear()
                self._connection.abort()
                raise AnswerOversize(f"a body of more than {max_bytes} bytes to be held")
        return b"".join(self._parts)

    def abort(self) -> None:
        """Close the connection unless the answer has ended."""
        if not self._ended:
            self._connection.abort()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def belongs(self, head: AnswerHead) -> bool:
        """Return whether an answer is for this request."""
        if self._check is None:
            return True
        named = head.get(self._check.header)
        return named is None or named == self._check.value

    @property
    def bodiless(self) -> bool:
        """Whether the answer has no body whatever its headers say."""
        return self._bodiless

    def take_head(self, head: AnswerHead) -> None:
        """Take the head of the answer."""
        self._head = head
        self._wake()

    def take_chunk(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)
        self._held_bytes += len(chunk)
        if self._held_bytes >= READ_AHEAD_BYTES:
            self._connection.pause_reading()
        self._wake()

    def take_end(self) -> None:
        """Take the end of the body."""
        self._ended = True
        self._wake()

    def fail(self, error: Exception) -> None:
        """Take the loss of the connection."""
        if not self._ended and self._error is None:
            self._error = error
            self._wake()


class Connection(asyncio.Protocol):
    """One connection, which carries one exchange at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._reset_parser()
        self.usable = True
        self.idle_since = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_SECONDS
        self.unused = True

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._bounds = AnswerBounds()
        self._headers: list[Header] = []
        self._head: AnswerHead | None = None
        self._skipped = False
        self._until_close = False
        self._informational = False

    # Calls of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the answer; bytes that nobody asked for end the connection."""
        if self._exchange is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
            self._bounds.add_received(len(data))
        except httptools.HttpParserCallbackError as error:
            # The parser wraps what its callbacks raise.
            self._break(error.__context__ if isinstance(error.__context__, Exception) else error)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break(ConnectionError(f"bytes that are no answer: {error}"))
        except AnswerOversize as error:
            self._break(error)

    def eof_received(self) -> bool:
        """Take the end of the connection, which also ends a body without a length."""
        if self._until_close and self._exchange is not None:
            self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the loss of the connection."""
        self._break(exc or ConnectionError("the connection was closed"))

    # Calls of the parser.

    def on_message_begin(self) -> None:
        """Take the begin of an answer."""
        self._headers = []
        self._head = None
        self._bounds.begin_head()
        if self._exchange is None:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._bounds.add_header(name, value)
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        exchange = self._exchange
        if exchange is None:
            return
        head = AnswerHead(self._parser.get_status_code(), tuple(self._headers))
        self._head = head
        self._informational = head.status < 200
        self._skipped = not exchange.belongs(head)
        self._until_close = (
            not self._informational
            and head.status not in NO_BODY_STATUSES
            and head.get("content-length") is None
            and head.get("transfer-encoding") is None
        )
        if self._informational or self._skipped:
            return
        self._note_keep_alive(head)
        exchange.take_head(head)
        if exchange.bodiless:
            self.usable = False
            self._finish_exchange()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._skipped:
            self._bounds.add_skipped(len(body))
        elif self._exchange is not None:
            self._bounds.add_body(len(body))
            self._exchange.take_chunk(body)

    def on_message_complete(self) -> None:
        """Take the end of an answer."""
        if self._exchange is None or self._informational:
            return
        if self._skipped:
            self.usable = False
            return
        self._finish_exchange()

    # Calls of the owner.

    def send_request(self, request: bytes, check: IdCheck | None, bodiless: bool) -> Exchange:
        """Send a request.

        :param request: head and body, ready for the wire.
        :raises UpstreamNotReached: when the connection is gone, so that no byte has left.
        """
        if self._transport is None or self._transport.is_closing():
            raise UpstreamNotReached("the connection was closed before the request was sent")
        self.unused = False
        self._reset_parser()
        self._exchange = exchange = Exchange(self, check, bodiless)
        self._transport.write(request)
        exchange.started = True
        return exchange

    def pause_reading(self) -> None:
        """Let the peer wait."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_available(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.usable
            and self._exchange is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def _note_keep_alive(self, head: AnswerHead) -> None:
        if (head.get("connection") or "").lower() == "close" or self._until_close:
            self.usable = False
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_seconds = float(value)

    def _finish_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        self.idle_since = asyncio.get_running_loop().time()
        if not self.usable and self._transport is not None:
            self._transport.close()
        if exchange is not None:
            exchange.take_end()

    def _break(self, error: Exception) -> None:
        self.usable = False
        exchange, self._exchange = self._exchange, None
        if self._transport is not None:
            self._transport.abort()
        if exchange is not None:
            exchange.fail(error)
