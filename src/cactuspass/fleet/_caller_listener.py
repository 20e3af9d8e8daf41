"""The HTTP listener of an instance for callers, built on tornado's HTTP server."""

import asyncio
import traceback
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
from tornado.iostream import StreamClosedError

from cactuspass._caller_boundary import CallerLimit, ReportRemoval
from cactuspass._caller_connections import FLUSH_SECONDS, CallerHTTPServer
from cactuspass._caller_memory import CallerMemory
from cactuspass._caller_stream import CallerStream
from cactuspass._clock import now
from cactuspass._connection_phases import ConnectionCounts
from cactuspass._problems import Problem
from cactuspass._request_body import RequestBody
from cactuspass.fleet._answer_head import Header
from cactuspass.fleet._catalog import CallerLimits
from cactuspass.fleet._connection_delivery import ConnectionDelivery
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._dispatch import Dispatcher
from cactuspass.fleet._inbound import MalformedRequest, RequestFormat
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pages import open_listening_sockets
from cactuspass.fleet._request_problems import (
    RETRY_AFTER_SECONDS,
    malformed_problem,
    not_run_problem,
    unknown_outcome_problem,
)
from cactuspass.fleet._stop_progress import StopPhase
from cactuspass.models import RequestId

MAX_LENGTH_DIGITS = 18  # more are beyond any limit
IDLE_TIMEOUT_FACTOR = 1.25  # a caller may still send at the very end of the declared idle time
CHECK_INTERVAL_SECONDS = 0.5
# Time after the notice of a stop in which requests may still begin. With the notice before it, it
# ends within 3 s of the signal: the cut of a request that begins later counts as a loss.
LAST_REQUESTS_SECONDS = 0.3
STOPPING_PROBLEM = not_run_problem("stopping", "the instance is stopping", RETRY_AFTER_SECONDS)


class _CallerRequest(HTTPMessageDelegate):
    """Reads one request of a caller and serves it in its own task."""

    def __init__(self, listener: "CallerListener", connection: HTTPConnection) -> None:
        self._listener = listener
        self._connection = connection
        self._line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body = RequestBody()
        self._arrived_at = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the head of the request has not arrived yet."""
        return self._line is None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Store the head of the request; refuse the request if its declared body is too large."""
        assert isinstance(start_line, RequestStartLine)
        assert isinstance(self._connection, HTTP1Connection)
        self._line = start_line
        self._headers = headers
        self._arrived_at = now()
        length = headers.get("Content-Length", "0")
        if length.isascii() and length.isdigit():
            self._check_size(int(length[:MAX_LENGTH_DIGITS]))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body; refuse the request if the body is too large."""
        self._body.add(chunk)
        self._check_size(self._body.received_bytes)
        return None

    def _check_size(self, body_bytes: int) -> None:
        limit = self._listener.limits().body_bytes
        if body_bytes > limit:
            self._body.clear()
            detail = f"the body of the request is over the limit of {limit} bytes"
            problem = malformed_problem(detail, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            self._refuse(problem, CallerLimit.BODY)

    def check_header_timeout(self) -> None:
        """Refuse a request whose head takes too long to arrive."""
        assert isinstance(self._connection, HTTP1Connection)
        stream = self._connection.stream
        if not self.is_idle or not isinstance(stream, CallerStream):
            return
        limit = self._listener.limits().header_seconds
        if stream.first_byte_at is not None and now() - stream.first_byte_at > limit:
            detail = f"the head of the request took over {limit} s"
            problem = malformed_problem(detail, HTTPStatus.REQUEST_TIMEOUT)
            self._refuse(problem, CallerLimit.HEAD_TIME)

    def _refuse(self, problem: Problem, limit: CallerLimit) -> None:
        assert isinstance(self._connection, HTTP1Connection)
        stream = self._connection.stream
        if isinstance(stream, CallerStream) and not stream.closed():
            self._listener.refuse(stream, limit, problem)

    def finish(self) -> None:
        """Serve the request, which is complete now."""
        assert isinstance(self._connection, HTTP1Connection)
        self._connection.set_close_callback(self._cancel)
        self._task = asyncio.create_task(self._serve(self._listener.is_late()))
        self._listener.track(self._task)

    def on_connection_close(self) -> None:
        """Stop serving the request, since the connection is closed."""
        self._body.clear()
        self._cancel()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _serve(self, is_late: bool) -> None:
        assert self._line is not None
        delivery = ConnectionDelivery(
            self._connection, self._line, self._headers, self._listener.is_closing
        )
        headers = tuple(self._headers.get_all())
        try:
            await self._listener.serve(
                self._line,
                headers,
                self._body.take(),
                self._arrived_at,
                delivery,
                is_late,
            )
        except StreamClosedError:
            # The caller has disconnected; the attempts have ended while this error propagated.
            return
        except Exception:
            delivery.abort()
            raise


class CallerListener(HTTPServerConnectionDelegate):
    """Listens for callers and serves their requests.

    :param address: ``host:port`` to listen on.
    :param is_closing: returns whether connections should be closed after their next response.
    :param failed: called with the error of a request whose task failed.
    :param limits: returns the current limits on the size and duration of requests.
    :param memory: bounds on what all callers hold together; None for those by default.
    :param removed: called with each caller that loses its place.
    """

    def __init__(
        self,
        address: str,
        dispatcher: Dispatcher,
        request_format: RequestFormat,
        metrics: Metrics,
        is_closing: Callable[[], bool],
        failed: Callable[[BaseException], None],
        limits: Callable[[], CallerLimits] = CallerLimits,
        memory: CallerMemory | None = None,
        removed: ReportRemoval | None = None,
    ) -> None:
        self._address = address
        self._dispatcher = dispatcher
        self._request_format = request_format
        self._metrics = metrics
        self.is_closing = is_closing
        self._failed = failed
        self.limits = limits
        self._check_task: asyncio.Task[None] | None = None
        self._refuse_from = float("inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._requests_by_connection: dict[HTTP1ServerConnection, _CallerRequest] = {}
        self.bound_address = ("", 0)
        self._server = CallerHTTPServer(self, memory=memory, report=removed, no_keep_alive=False)
        # Tornado's own timeout would also close a connection on which a request waits unread.
        self._server.conn_params.header_timeout = None
        self._apply_limits()

    def open(self) -> None:
        """Start listening."""
        sockets = open_listening_sockets(self._address)
        host, port = sockets[0].getsockname()
        self.bound_address = (str(host), int(port))
        self._server.add_sockets(sockets)
        self._check_task = asyncio.create_task(self._check_connections())

    async def _check_connections(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._apply_limits()
            limits = self.limits()
            self._server.close_connections_idle_for(
                limits.idle_seconds * IDLE_TIMEOUT_FACTOR + limits.header_seconds
            )
            for request in list(self._requests_by_connection.values()):
                request.check_header_timeout()

    def _apply_limits(self) -> None:
        """Apply the current limits, also to open connections."""
        self._server.conn_params.max_header_size = self.limits().header_bytes

    def refuse(self, stream: CallerStream, limit: CallerLimit, problem: Problem) -> None:
        """Refuse a request that is over a limit and has not been read completely."""
        self.count_refusal(problem)
        self._server.refuse(stream, limit, problem)

    def count_refusal(self, problem: Problem) -> None:
        """Count a request that was refused before it was read completely."""
        self._metrics.refusals.labels(problem.code).inc()

    async def close(self) -> None:
        """Stop listening and close all connections; refuse what has not arrived completely."""
        if self._check_task is not None:
            self._check_task.cancel()
        self._server.stop()
        self._dispatcher.stop_progress.enter(StopPhase.CLOSING)
        self._refuse_partial_requests()
        await self._server.close_all_connections()

    def begin_stop(
        self, notice_end: float, ends_at: float, signalled_at: float | None = None
    ) -> None:
        """Refuse requests that begin too late, or may not be finished when all are ended.

        :param notice_end: clock value at which the notice of the stop ends; a busy process may call
            ``drain`` later, but does not take requests for longer.
        :param ends_at: clock value at which ``end_requests`` should be called.
        :param signalled_at: clock value at which the signal came, for the log; None for now.
        """
        self._refuse_from = notice_end + LAST_REQUESTS_SECONDS
        self._dispatcher.begin_stop(ends_at, signalled_at)

    def drain(self) -> None:
        """Stop listening, and close each connection once no request is on it.

        A request that comes too late to be finished is refused.
        """
        self._server.drain()
        self._dispatcher.stop_progress.enter(StopPhase.DRAINING)
        self._refuse_from = min(self._refuse_from, now() + LAST_REQUESTS_SECONDS)

    def is_late(self) -> bool:
        """Return whether a request that is complete now comes too late in a stop."""
        return now() > self._refuse_from

    async def wait_until_drained(self, until: float) -> None:
        """Wait until each request that has been received has its whole response.

        :param until: clock value at which to give up.
        """
        await self._server.wait_until_drained(until)

    async def end_requests(self) -> None:
        """Answer all requests now, as far as they have got, and wait shortly for their callers."""
        self._refuse_partial_requests()
        self._dispatcher.end_requests()
        await self.wait_until_drained(now() + FLUSH_SECONDS)

    def _refuse_partial_requests(self) -> None:
        for _ in range(self._server.refuse_partial_requests(STOPPING_PROBLEM)):
            self.count_refusal(STOPPING_PROBLEM)

    def connection_counts(self) -> ConnectionCounts:
        """Return the number of open connections by the phase of their current request."""
        return self._server.connection_counts()

    @property
    def in_flight(self) -> int:
        """Number of requests that have been received, at least in part, and are not answered."""
        return self.connection_counts().in_flight

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the handler of the next request on a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        request = _CallerRequest(self, request_conn)
        self._requests_by_connection[server_conn] = request
        return request

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._requests_by_connection.pop(server_conn, None)

    def track(self, task: asyncio.Task[None]) -> None:
        """Count a request as in flight until its task ends."""
        self._tasks.add(task)
        self._metrics.in_flight.set(len(self._tasks))
        task.add_done_callback(self._request_ended)

    def _request_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._metrics.in_flight.set(len(self._tasks))
        try:
            error = task.exception()
        except asyncio.CancelledError as cancelled:
            # The task and its frames refer to each other; the bytes of a request and its answer
            # would stay until the garbage collector finds them.
            traceback.clear_frames(cancelled.__traceback__)
            return
        if error is not None:
            self._failed(error)

    async def serve(
        self,
        line: RequestStartLine,
        headers: tuple[Header, ...],
        body: bytes,
        arrived_at: float,
        delivery: Delivery,
        is_late: bool = False,
    ) -> None:
        """Serve one request.

        :param is_late: whether it came too late in a stop to be finished, so that it is refused.
        """
        request_id: RequestId | None = None
        try:
            request = self._request_format.read_request(
                line.method, line.path, headers, body, arrived_at
            )
            request_id = request.request_id
            if is_late:
                self.count_refusal(STOPPING_PROBLEM)
                await self._send_problem(STOPPING_PROBLEM, request_id, delivery)
                return
            await self._dispatcher.serve(request, delivery)
        except MalformedRequest as error:
            problem = malformed_problem(str(error), error.status)
            await self._send_problem(problem, request_id, delivery)
        except StreamClosedError:
            raise
        except Exception:
            await self._answer_failed_request(request_id, delivery)
            raise

    async def _answer_failed_request(
        self, request_id: RequestId | None, delivery: Delivery
    ) -> None:
        """Answer a request whose task failed, or cut its response if that has begun."""
        if delivery.head_sent:
            delivery.abort()
            return
        detail = "the instance failed while it served the request"
        problem = unknown_outcome_problem("internal-error", detail, HTTPStatus.BAD_GATEWAY)
        await self._send_problem(problem, request_id, delivery)

    async def _send_problem(
        self, problem: Problem, request_id: RequestId | None, delivery: Delivery
    ) -> None:
        headers = self._request_format.problem_headers(problem, request_id)
        await delivery.send_response(problem.status, headers, problem.body())
