"""An HTTP server that answers callers who break a limit with a problem instead of silence."""

from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, UnsatisfiableReadError

from cactuspass._clock import now
from cactuspass._problems import Problem, RunState

DRAIN_BYTES = 1_048_576
READ_BYTES = 65_536

HEADER_TOO_LARGE_PROBLEM = Problem(
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    "header-too-large",
    "The request cannot be served",
    "the head of the request is over the limit",
    RunState.NOT_RUN,
)


def encode_response(problem: Problem) -> bytes:
    """Return a problem as a whole answer that ends its connection."""
    body = problem.body()
    status = HTTPStatus(problem.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in problem.headers().items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CallerStream(IOStream):
    """A caller's connection; the library closes it without a word when a head is too large."""

    first_byte_at: float | None = None

    def reset_first_byte(self) -> None:
        """Expect the first byte of the next request."""
        self.first_byte_at = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived, and note when the first byte of a request came."""
        count = super().read_from_fd(buf)
        if count and self.first_byte_at is None:
            self.first_byte_at = now()
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, after an answer if the head was too large."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            self._answer(HEADER_TOO_LARGE_PROBLEM)
        super().close(exc_info)

    def send_problem_and_close(self, problem: Problem) -> None:
        """Answer a request that is not read to its end."""
        if not self.closed():
            self._answer(problem)
        super().close()

    def _answer(self, problem: Problem) -> None:
        try:
            self.socket.send(encode_response(problem))
            self._discard_received()
        except OSError:
            # The caller has left or does not read; there is nobody to answer.
            return

    def _discard_received(self) -> None:
        """Read on a little, since closing with unread bytes would reset the answer."""
        dropped = 0
        while dropped < DRAIN_BYTES:
            try:
                chunk = self.socket.recv(READ_BYTES)
            except BlockingIOError:
                return
            if not chunk:
                return
            dropped += len(chunk)


class CallerHTTPServer(HTTPServer):
    """Serves callers over connections that answer an over-large head."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection."""
        answering = CallerStream(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        super().handle_stream(answering, address)
