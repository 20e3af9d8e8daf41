"""An HTTP server that answers requests over a limit with a problem document."""

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Iterable
from http import HTTPStatus
from typing import Any

from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from cactuspass._caller_boundary import CallerBoundary, CallerLimit, ReportRemoval
from cactuspass._caller_memory import CallerBounds, CallerMemory
from cactuspass._caller_stream import CallerStream
from cactuspass._clock import now
from cactuspass._connection_phases import ConnectionCounts, ConnectionPhase, unread_bytes
from cactuspass._listening_sockets import refuse_new_connections
from cactuspass._problems import Problem, RunState

STOPPING_PROBLEM = Problem(
    HTTPStatus.SERVICE_UNAVAILABLE,
    "stopping",
    "The request was refused and has not run",
    "the process is stopping",
    RunState.NOT_RUN,
    retry_after=1.0,
)
DRAIN_CHECK_SECONDS = 0.05
MAX_BODY_BYTES = 2**40  # effectively unlimited: tornado closes a connection without an answer
# Time in which a caller that has connected or got a response sends its next request.
NEXT_REQUEST_SECONDS = 0.5
# Longest wait at a stop for callers to receive the answers to requests that were ended.
FLUSH_SECONDS = 0.2
# Time that a request which is on its way when a process stops may take to arrive.
PARTIAL_REQUEST_SECONDS = 10.0
# Longest time for which a process that stops still accepts connections, while requests run.
MAX_ACCEPT_SECONDS = 10.0

PARTIAL_PHASES = (
    ConnectionPhase.UNREAD,
    ConnectionPhase.PARTIAL_HEAD,
    ConnectionPhase.PARTIAL_BODY,
)


class _RecordedRequest(HTTPMessageDelegate):
    """Passes a request on to its handler, and records in the stream how far it has been read."""

    def __init__(
        self, delegate: HTTPMessageDelegate, stream: CallerStream, bounds: CallerBoundary
    ) -> None:
        self._delegate = delegate
        self._stream = stream
        self._bounds = bounds

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._stream.is_head_read = True
        received = self._delegate.headers_received(start_line, headers)
        if not self._stream.closed():
            self._bounds.count_head(self._stream, headers)
        return received

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self._stream.closed():
            # Tornado has read more than was served before the request lost its place.
            return None
        received = self._delegate.data_received(chunk)
        if not self._stream.closed():
            self._bounds.count_body(self._stream, len(chunk))
        return received

    def finish(self) -> None:
        if self._stream.closed():
            # Tornado has read the rest from its buffer, though the request was refused meanwhile.
            self._delegate.on_connection_close()
            return
        self._stream.is_request_read = True
        self._stream.account.is_whole = True
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


class CallerHTTPServer(HTTPServer):
    """HTTP server whose connections are instances of :class:`CallerStream`.

    At a shutdown it leaves no request that has been received, in whole or in part, without an
    answer: a connection is closed only while no request is on it.
    """

    def initialize(
        self,
        *args: Any,
        memory: CallerMemory | None = None,
        report: ReportRemoval | None = None,
        max_body_bytes: int | None = None,
        **kwargs: Any,
    ) -> None:
        """Initialize the server, without connections.

        :param memory: bounds on what all connections hold; None for those by default.
        :param report: called with each caller that loses its place.
        :param max_body_bytes: largest body of a request; None if the handlers of requests check it.
        """
        kwargs["max_body_size"] = MAX_BODY_BYTES
        super().initialize(*args, **kwargs)
        self._listening_sockets: list[socket.socket] = []
        self._streams: set[CallerStream] = set()
        self._drain_task: asyncio.Task[None] | None = None
        self._bounds = CallerBoundary(
            memory or CallerMemory(CallerBounds()), self._streams, report, max_body_bytes
        )

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        added = list(sockets)
        self._listening_sockets += added
        super().add_sockets(added)

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a new connection, unless there are too many."""
        caller_stream = self._bounds.open_stream(stream, address)
        if caller_stream is not None:
            self._streams.add(caller_stream)
            super().handle_stream(caller_stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the handler of the next request on a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = server_conn.stream
        assert isinstance(stream, CallerStream)
        stream.begin_request()
        if stream.is_close_announced:
            # The caller was told so and sends the requests behind the response again elsewhere.
            stream.close_without_reset()
        if stream.closed():
            # Tornado still parses what it has read, which must not be served.
            return HTTPMessageDelegate()
        delegate = super().start_request(server_conn, request_conn)
        return _RecordedRequest(delegate, stream, self._bounds)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection, here and at the delegate, which tornado does not tell."""
        super().on_close(server_conn)
        assert isinstance(server_conn, HTTP1ServerConnection)
        stream = server_conn.stream
        assert isinstance(stream, CallerStream)
        self._streams.discard(stream)
        self._bounds.memory.close(stream.account)
        if isinstance(self.request_callback, HTTPServerConnectionDelegate):
            self.request_callback.on_close(server_conn)

    def connection_counts(self) -> ConnectionCounts:
        """Return the number of open connections by the phase of their current request."""
        streams = [stream for stream in self._streams if not stream.closed()]
        counts = Counter(stream.phase for stream in streams)
        return ConnectionCounts(
            idle=counts[ConnectionPhase.IDLE],
            unread=counts[ConnectionPhase.UNREAD],
            partial_heads=counts[ConnectionPhase.PARTIAL_HEAD],
            partial_bodies=counts[ConnectionPhase.PARTIAL_BODY],
            running=counts[ConnectionPhase.RUNNING],
            flushing=counts[ConnectionPhase.FLUSHING],
            unread_bytes=sum(map(unread_bytes, streams)),
        )

    def refuse(self, stream: CallerStream, limit: CallerLimit, problem: Problem) -> None:
        """Answer a request that has not run, and close its connection."""
        self._bounds.refuse(stream, limit, problem)

    def close_connections_idle_for(self, seconds: float) -> None:
        """Close the connections on which no request has begun for so many seconds."""
        for stream in list(self._streams):
            if stream.phase is ConnectionPhase.IDLE and now() - stream.idle_since > seconds:
                stream.close()

    def drain(self) -> None:
        """Stop listening, and close each connection once no request is on it.

        Connections that the kernel has established are accepted first, and it establishes no more:
        closing the listening socket would reset them, with the requests that they carry.
        """
        if self._drain_task is not None:
            return
        for listening in self._listening_sockets:
            # In this order, few callers are kept waiting by the refusal.
            self._accept_established(listening)
            refuse_new_connections(listening)
            self._accept_established(listening)
        self.stop()
        self._drain_task = asyncio.create_task(self._close_idle_connections())

    async def wait_until_drained(self, until: float) -> None:
        """Wait until all connections are closed.

        :param until: clock value at which to give up.
        """
        while self._streams and now() < until:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def refuse_partial_requests(self, problem: Problem) -> int:
        """Answer all requests that have not been read to their end; return their number."""
        partial = [stream for stream in self._streams if stream.phase in PARTIAL_PHASES]
        for stream in partial:
            stream.send_problem_and_close(problem)
        return len(partial)

    async def finish_requests(self) -> None:
        """Serve until no request is on any connection, then stop listening and serve the rest.

        After MAX_ACCEPT_SECONDS, listening stops also while requests run, since new ones could keep
        the process from ending. A request that does not arrive within PARTIAL_REQUEST_SECONDS is
        refused.
        """
        refuse_at = now() + PARTIAL_REQUEST_SECONDS
        accept_until = now() + MAX_ACCEPT_SECONDS
        while self.connection_counts().in_flight and now() < accept_until:
            await self._wait_or_refuse(refuse_at)
        self.drain()
        while self._streams:
            await self._wait_or_refuse(refuse_at)

    async def _wait_or_refuse(self, refuse_at: float) -> None:
        if now() >= refuse_at:
            self.refuse_partial_requests(STOPPING_PROBLEM)
        await asyncio.sleep(DRAIN_CHECK_SECONDS)

    async def close_all_connections(self) -> None:
        """Close all connections, whatever is on them, and wait until they have ended."""
        if self._drain_task is not None:
            self._drain_task.cancel()
        self._bounds.lingering.close()
        await super().close_all_connections()

    def _accept_established(self, listening: socket.socket) -> None:
        while True:
            try:
                connection, address = listening.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                # Nothing is left to accept, or the process has no descriptor left for it.
                return
            self.handle_stream(IOStream(connection), address)

    async def _close_idle_connections(self) -> None:
        while self._streams:
            for stream in list(self._streams):
                self._close_if_idle(stream)
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _close_if_idle(self, stream: CallerStream) -> None:
        is_idle = not stream.closed() and stream.phase is ConnectionPhase.IDLE
        if is_idle and not _expects_request(stream):
            stream.close()


def _expects_request(stream: CallerStream) -> bool:
    """Return whether the caller has just connected or got a response, and may send a request."""
    is_recent = now() - stream.idle_since < NEXT_REQUEST_SECONDS
    return is_recent and not stream.is_close_announced
