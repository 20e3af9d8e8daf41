"""The listener of an instance for callers, on tornado's HTTP server."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from cactuspass._caller_connections import CallerHTTPServer, CallerStream
from cactuspass._clock import now
from cactuspass._problems import Problem
from cactuspass.fleet._catalog import CallerLimits
from cactuspass.fleet._connections import Header
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._dispatch import Dispatcher, malformed
from cactuspass.fleet._inbound import MalformedRequest, RequestFormat
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pages import open_listening_sockets, start_line

IDLE_FACTOR = 1.25  # a caller may send at the very end of the time that it was promised
LOOK_SECONDS = 0.5
MAX_BODY_BYTES = 2**40  # checked here, by the newest limit


class ConnectionDelivery(Delivery):
    """Writes an answer to one caller's connection.

    :param closing: asked for each answer whether the connection should be given up after it.
    """

    def __init__(self, connection: HTTPConnection, closing: Callable[[], bool]) -> None:
        self._connection = connection
        self._closing = closing
        self._begun = False

    @property
    def head_sent(self) -> bool:
        """Whether the head of the answer has gone out."""
        return self._begun

    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a whole answer."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        await self._write_head(status, framed, body or None)
        self._connection.finish()

    async def send_head(self, status: int, headers: list[Header]) -> None:
        """Write the head of an answer whose length is not known."""
        await self._write_head(status, headers, None)

    async def send_chunk(self, chunk: bytes) -> None:
        """Write a part of the body, and wait while the caller reads slowly."""
        await self._connection.write(chunk)

    async def finish(self) -> None:
        """End the body."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""
        assert isinstance(self._connection, HTTP1Connection)
        if self._connection.stream is not None:
            self._connection.stream.close()

    async def _write_head(self, status: int, headers: list[Header], chunk: bytes | None) -> None:
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._closing():
            fields["Connection"] = "close"
        self._begun = True
        await self._connection.write_headers(start_line(status), fields, chunk)


class _Call(HTTPMessageDelegate):
    """Reads one request of a caller and serves it in a task of its own."""

    def __init__(self, listener: "CallerListener", connection: HTTPConnection) -> None:
        self._listener = listener
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers: tuple[Header, ...] = ()
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._arrived_at = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing of a request has arrived."""
        return self._line is None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self._line = start_line
        self._headers = tuple(headers.get_all())
        self._arrived_at = now()
        length = headers.get("Content-Length", "0")
        if length.isdigit():
            self._check_size(int(length))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        self._chunks.append(chunk)
        self._body_bytes += len(chunk)
        self._check_size(self._body_bytes)
        return None

    def _check_size(self, body_bytes: int) -> None:
        limit = self._listener.limits().body_bytes
        if body_bytes > limit:
            self._chunks.clear()
            detail = f"the body of the request is over the limit of {limit} bytes"
            self._end_with(malformed(detail, HTTPStatus.REQUEST_ENTITY_TOO_LARGE))

    def check_age(self) -> None:
        """Refuse a request whose head takes too long to arrive."""
        assert isinstance(self._connection, HTTP1Connection)
        stream = self._connection.stream
        if not self.idle or not isinstance(stream, CallerStream):
            return
        limit = self._listener.limits().header_seconds
        if stream.first_byte_at is not None and now() - stream.first_byte_at > limit:
            detail = f"the head of the request took over {limit} s"
            self._end_with(malformed(detail, HTTPStatus.REQUEST_TIMEOUT))

    def _end_with(self, problem: Problem) -> None:
        assert isinstance(self._connection, HTTP1Connection)
        stream = self._connection.stream
        if isinstance(stream, CallerStream):
            self._listener.count_refusal(problem)
            stream.send_problem_and_close(problem)

    def finish(self) -> None:
        """Serve the request, which is whole now."""
        assert isinstance(self._connection, HTTP1Connection)
        self._connection.set_close_callback(self._caller_left)
        self._task = asyncio.create_task(self._serve())
        self._listener.track(self._task)

    def on_connection_close(self) -> None:
        """Take the loss of the connection."""
        self._caller_left()

    def _caller_left(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        assert self._line is not None
        delivery = ConnectionDelivery(self._connection, self._listener.closing)
        try:
            await self._listener.serve(
                self._line, self._headers, b"".join(self._chunks), self._arrived_at, delivery
            )
        except StreamClosedError:
            # The caller has left; the attempts have been ended on the way here.
            return
        except Exception:
            delivery.abort()
            raise


class CallerListener(HTTPServerConnectionDelegate):
    """Listens to callers.

    :param address: ``host:port`` to listen on.
    :param closing: whether connections should be given up after the next answer.
    :param limits: returns what callers may send and how long they may take.
    """

    def __init__(
        self,
        address: str,
        dispatcher: Dispatcher,
        request_format: RequestFormat,
        metrics: Metrics,
        closing: Callable[[], bool],
        failed: Callable[[BaseException], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
    ) -> None:
        self._address = address
        self._dispatcher = dispatcher
        self._request_format = request_format
        self._metrics = metrics
        self.closing = closing
        self._failed = failed
        self.limits = limits
        self._looking: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls_by_connection: dict[HTTP1ServerConnection, _Call] = {}
        self._leaving = False
        self.bound_address = ("", 0)
        self._server = CallerHTTPServer(
            self,
            max_body_size=MAX_BODY_BYTES,
            no_keep_alive=False,
        )
        self._apply_limits()

    def open(self) -> None:
        """Begin to listen."""
        sockets = open_listening_sockets(self._address)
        host, port = sockets[0].getsockname()
        self.bound_address = (str(host), int(port))
        self._server.add_sockets(sockets)
        self._looking = asyncio.create_task(self._look_after_connections())

    async def _look_after_connections(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self._apply_limits()
            for call in list(self._calls_by_connection.values()):
                call.check_age()

    def _apply_limits(self) -> None:
        """Put the newest limits in force, also for connections that are open."""
        limits = self.limits()
        parameters = self._server.conn_params
        parameters.max_header_size = limits.header_bytes
        parameters.header_timeout = limits.idle_seconds * IDLE_FACTOR + limits.header_seconds

    def count_refusal(self, problem: Problem) -> None:
        """Count a request that was not read to its end."""
        self._metrics.refusals.labels(problem.code).inc()

    async def close(self) -> None:
        """Take no new connections and close those that are idle."""
        if self._looking is not None:
            self._looking.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    def drain(self) -> None:
        """Take no more requests: stop listening, and close each connection once it is idle."""
        self._leaving = True
        self._server.stop()
        for connection, call in list(self._calls_by_connection.items()):
            if call.idle and _nothing_has_arrived(connection.stream):
                connection.stream.close()

    @property
    def in_flight(self) -> int:
        """Requests that are being served."""
        return len(self._tasks)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of the next request of a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        call = _Call(self, request_conn)
        if isinstance(server_conn.stream, CallerStream):
            server_conn.stream.reset_first_byte()
        self._calls_by_connection[server_conn] = call
        if self._leaving:
            server_conn.stream.close()
        return call

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._calls_by_connection.pop(server_conn, None)

    def track(self, task: asyncio.Task[None]) -> None:
        """Count a request until it ends."""
        self._tasks.add(task)
        self._metrics.in_flight.set(len(self._tasks))
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._metrics.in_flight.set(len(self._tasks))
        if not task.cancelled() and task.exception() is not None:
            self._failed(task.exception())  # type: ignore[arg-type]

    async def serve(
        self,
        line: RequestStartLine,
        headers: tuple[Header, ...],
        body: bytes,
        arrived_at: float,
        delivery: Delivery,
    ) -> None:
        """Serve one request."""
        try:
            request = self._request_format.read_request(
                line.method, line.path, headers, body, arrived_at
            )
        except MalformedRequest as error:
            problem = malformed(str(error), error.status)
            answered = self._request_format.problem_headers(problem, None)
            await delivery.send_response(problem.status, answered, problem.body())
            return
        await self._dispatcher.serve(request, delivery)


def _nothing_has_arrived(stream: IOStream) -> bool:
    """Return whether no byte of a request waits, neither in the stream nor in the kernel.

    A process that was kept from running finds requests there that have been sent long before.
    """
    if stream.closed() or not stream.reading():
        return False
    try:
        return stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return True
    except OSError:
        return False
