"""A caller's connection, and how it is closed."""

import contextlib
import socket
from asyncio import Future
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, UnsatisfiableReadError

from cactuspass._caller_memory import CallerAccount, CallerMemory
from cactuspass._clock import now
from cactuspass._connection_phases import ConnectionPhase, unread_bytes
from cactuspass._lingering import READ_BYTES, LingeringSockets, reset_at_close
from cactuspass._problems import Problem, RunState

MAX_DISCARD_BYTES = 1_048_576

HEADER_TOO_LARGE_PROBLEM = Problem(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    "header-too-large",
    "The request cannot be served",
    "the head of the request is over the limit",
    RunState.NOT_RUN,
)


def encode_response(problem: Problem) -> bytes:
    """Return a problem encoded as an HTTP response that announces the end of its connection."""
    body = problem.body()
    status = HTTPStatus(problem.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in problem.headers().items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ends_at_close(version: str, response_headers: HTTPHeaders) -> bool:
    """Return whether only the end of the connection marks the end of a response's body.

    :param version: version of HTTP in the request, as ``HTTP/1.0``, which has no chunks.
    """
    return version == "HTTP/1.0" and "Content-Length" not in response_headers


class CallerStream(IOStream):
    """A caller's connection.

    Tornado closes a connection without a response if the head of a request is too large; this
    class sends a problem document first.

    :ivar idle_since: time at which the current request was first expected.
    :ivar first_byte_at: time at which the first byte of the current request arrived; None before.
    :ivar is_head_read: whether the head of the current request has been read.
    :ivar is_request_read: whether the current request has been read to its end.
    :ivar is_answered: whether the response has been written, though maybe not flushed.
    :ivar response_ends_at_close: whether the current response has neither a length nor chunks.
    :ivar is_close_announced: whether a response has stated that the connection will be closed.
    :ivar account: what the connection holds.
    :param address: address of the caller.
    :param grown: called when the buffers of the connection hold more than before.
    """

    def __init__(
        self,
        connection: socket.socket,
        address: str,
        memory: CallerMemory,
        lingering: LingeringSockets,
        grown: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(connection, **kwargs)
        self._memory = memory
        self._lingering = lingering
        self._grown = grown
        # Buffers of tornado keep all of what was written at once until its last byte was sent.
        self._unsent_bytes = 0
        self.account: CallerAccount = memory.open(address, now())
        self.is_close_announced = False
        self._reset_request()

    def begin_request(self) -> None:
        """Expect the next request of the connection, of which bytes may have been read already."""
        self._reset_request()
        self._memory.begin_request(self.account, now())
        self.count_buffers()

    def count_buffers(self, further: int = 0) -> None:
        """Count what has been read but not parsed, and what has not been sent yet.

        :param further: bytes that are about to be added to the buffers.
        """
        if not self.closed():
            held = self._read_buffer_size + self._unsent_bytes + further
            self._memory.hold_buffers(self.account, held)

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Send bytes, or keep them until the caller reads."""
        written = super().write(data)
        if not self.closed() and self.writing():
            self.account.is_unread = True
            self._unsent_bytes += len(data)
            self.count_buffers()
            self._grown()
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Send bytes as far as the caller reads."""
        count = super().write_to_fd(data)
        if count and self.account.is_unread:
            self.account.progressed_at = now()
            if len(self._write_buffer) <= count:
                self.account.is_unread = False
                self._unsent_bytes = 0
                self.count_buffers()
        return count

    def _reset_request(self) -> None:
        self.idle_since = now()
        self.first_byte_at: float | None = now() if self._read_buffer_size else None
        self.is_head_read = False
        self.is_request_read = False
        self.is_answered = False
        self.response_ends_at_close = False

    @property
    def phase(self) -> ConnectionPhase:
        """How far the current request has come."""
        if self.is_request_read:
            return ConnectionPhase.FLUSHING if self.is_answered else ConnectionPhase.RUNNING
        if self.is_head_read:
            return ConnectionPhase.PARTIAL_BODY
        if self.first_byte_at is not None:
            return ConnectionPhase.PARTIAL_HEAD
        return ConnectionPhase.UNREAD if unread_bytes(self) else ConnectionPhase.IDLE

    def close_without_reset(self) -> None:
        """Close the connection; discard what has arrived, which would reset it."""
        if not self.closed():
            with contextlib.suppress(OSError):
                self._discard_received()
        super().close()

    def end_response(self) -> None:
        """Close the connection if the response ends with it; all of it has been flushed."""
        if self.response_ends_at_close:
            self.close_without_reset()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read the received bytes and record when the first byte of a request arrived."""
        count = super().read_from_fd(buf)
        if count:
            if self.first_byte_at is None:
                self.first_byte_at = now()
            self.count_buffers(count)
            self._grown()
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the connection; if the head was too large, send a problem document first.

        The connection is reset if that cuts a response which would otherwise look complete.
        """
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            self._send_problem(HEADER_TOO_LARGE_PROBLEM)
        if self._cuts_response() and not self.closed():
            with contextlib.suppress(OSError):
                reset_at_close(self.socket)
        super().close(exc_info)
        if self.error is not None:
            # Its frames refer to what was being written and to the stream, which refers to it; they
            # would stay until the garbage collector finds them.
            self.error.__traceback__ = None

    def _cuts_response(self) -> bool:
        """Return whether closing now would cut a response that ends with its connection."""
        return self.response_ends_at_close and (self.writing() or not self.is_answered)

    def send_problem_and_close(self, problem: Problem) -> None:
        """Answer a request without reading the rest of it, and close the connection."""
        if not self.closed():
            self._send_problem(problem)
        super().close()

    def _send_problem(self, problem: Problem) -> None:
        try:
            self.socket.send(encode_response(problem))
            if self._discard_received():
                self._lingering.add(self.socket)
        except OSError:
            # The caller has disconnected or does not read, so the answer cannot be delivered.
            return

    def _discard_received(self) -> bool:
        """Read and discard up to ``MAX_DISCARD_BYTES`` that have arrived.

        Closing a socket with unread bytes resets the connection, which could lose the answer.

        :return: whether the caller may send more.
        """
        discarded = 0
        while discarded < MAX_DISCARD_BYTES:
            try:
                chunk = self.socket.recv(READ_BYTES)
            except BlockingIOError:
                return True
            if not chunk:
                return False
            discarded += len(chunk)
        return True
