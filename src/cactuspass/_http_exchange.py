"""HTTP/1.1 client for requests to upstreams, on tornado's client connection."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from cactuspass._byte_queue import ByteQueue, BytesAccount
from cactuspass._extra_responses import ExtraResponseScanner, ResponseExtra
from cactuspass._final_event import StreamTail
from cactuspass._requests import Answer, Header
from cactuspass._status_codes import InvalidStatus, check_status, is_informational
from cactuspass._status_lines import has_status_line
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown, UpstreamNotReached

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_HEADER_BYTES = 65_536
MAX_ANSWER_BYTES = 1 << 40
MAX_HEAD_SECONDS = 3_600.0
MAX_IDLE_SECONDS = 600.0
MAX_ANSWER_SECONDS = 86_400.0
READ_CHUNK_BYTES = 16_384
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
REQUEST_ID_HEADER = "X-Request-Id"
NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class AnswerTimeouts:
    """Timeouts of an answer, after which its connection is closed.

    :param head_seconds: from the request to the head, which an upstream may send only after it
        has produced the complete answer.
    :param idle_seconds: between two chunks of the body; time for which the queue is full does not
        count.
    :param total_seconds: from the request to the end of the body.
    """

    head_seconds: float = MAX_HEAD_SECONDS
    idle_seconds: float = MAX_IDLE_SECONDS
    total_seconds: float = MAX_ANSWER_SECONDS


class _AnswerReader(HTTPMessageDelegate):
    """Receives the head of an answer and puts its body into a queue.

    :param timeouts: timeouts of the answer; the total one does not apply to a watch.
    :param is_for_head: whether the request is a HEAD request, whose answer has no body.
    :param is_reset: returns whether the connection was reset.
    """

    def __init__(
        self,
        queue: ByteQueue,
        expect_done_event: bool,
        timeouts: AnswerTimeouts,
        is_watch: bool,
        is_for_head: bool = False,
        is_reset: Callable[[], bool] = lambda: False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._idle_seconds = timeouts.idle_seconds
        self._end_at = None if is_watch else loop.time() + timeouts.total_seconds
        self.timeout = asyncio.timeout(timeouts.head_seconds)
        self.head: asyncio.Future[tuple[int, HTTPHeaders]] = loop.create_future()
        self._queue = queue
        self._expect_done_event = expect_done_event
        self._is_for_head = is_for_head
        self._is_event_stream = False
        self._has_length = False
        self._has_no_body = False
        self._is_reset = is_reset
        self._has_begun = False
        self._tail = StreamTail()
        self._scanner = ExtraResponseScanner(REQUEST_ID_HEADER)
        self._has_extra = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Process the head of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        has_valid_status = self._check_status(start_line.code, headers)
        if not has_valid_status or is_informational(start_line.code):
            return None
        content_type = headers.get("Content-Type", "")
        self._is_event_stream = content_type.startswith("text/event-stream")
        self._has_length = "Content-Length" in headers or "Transfer-Encoding" in headers
        self._has_no_body = self._is_for_head or start_line.code in NO_BODY_STATUSES
        if not self.head.done():
            self._set_head(start_line, headers)
        self._restart_idle_timeout()
        return None

    def _check_status(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether a status goes with the other headers; if not, fail the answer."""
        states_body = headers.get("Content-Length", "0") != "0" or "Transfer-Encoding" in headers
        try:
            check_status(status, states_body)
        except InvalidStatus as error:
            if not self.head.done():
                self._fail_head(str(error))
            return False
        return True

    def _set_head(self, start_line: ResponseStartLine, headers: HTTPHeaders) -> None:
        texts = [start_line.reason, *(value for _, value in headers.get_all())]
        if any(map(has_status_line, texts)):
            self._fail_head("the head of an answer contains the start of another one")
        else:
            self.head.set_result((start_line.code, headers))

    def _fail_head(self, detail: str) -> None:
        self.head.set_exception(RunOutcomeUnknown(detail))
        self.head.exception()  # else asyncio logs it when nobody waits for the head any more

    def echoes(self, request_id: str | None) -> bool:
        """Return whether the answer's head repeats the id of its request.

        A connection is reused only then: a second answer that the upstream sends unasked could
        otherwise be taken for the answer to the next request.
        """
        if request_id is None or not self.head.done() or self.head.exception() is not None:
            return False
        _, headers = self.head.result()
        return headers.get(REQUEST_ID_HEADER) == request_id

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Queue a chunk of the body; the connection is not read while the queue is full."""
        self._has_begun = True
        if not self._has_length and self._contains_extra(chunk):
            return None
        if self._is_event_stream:
            self._tail.add(chunk)
        return self._put(chunk)

    def _contains_extra(self, chunk: bytes) -> bool:
        """Return whether a body without a length contains another response, and fail it then."""
        if self._has_extra:
            return True
        try:
            self._scanner.feed(chunk)
        except ResponseExtra as error:
            self._has_extra = True
            self._queue.fail(AnswerCut(str(error)))
        return self._has_extra

    async def _put(self, chunk: bytes) -> None:
        """Queue a chunk, with the idle timeout suspended while the queue is full."""
        if not self.timeout.expired():
            self.timeout.reschedule(self._end_at)
        await self._queue.put(chunk)
        self._restart_idle_timeout()

    def _restart_idle_timeout(self) -> None:
        """Restart the idle timeout, which never ends after the total one."""
        if not self.timeout.expired():
            idle_at = self._loop.time() + self._idle_seconds
            deadlines = [idle_at] if self._end_at is None else [idle_at, self._end_at]
            self.timeout.reschedule(min(deadlines))

    def finish(self) -> None:
        """Process the end of the body; without a marked end, the answer counts as cut.

        A stream of an engine ends with its final event, which must be complete if the body has
        neither a length nor chunks. Any other body of an engine ends by its length or chunks; that
        of a plain service may also end with its connection.
        """
        if self._is_event_stream and self._expect_done_event:
            complete = self._tail.is_complete or (self._has_length and self._tail.has_final_event)
        else:
            complete = self._has_length or self._has_no_body or self._is_whole_at_close
        if complete:
            self._queue.finish()
        else:
            self._queue.fail(AnswerCut("the upstream ended its stream early"))

    @property
    def _is_whole_at_close(self) -> bool:
        """Whether a body without length and chunks may have ended with its connection.

        Only that of a plain service may, unless it is empty, was reset, or ends inside an event.
        """
        if self._expect_done_event or self._is_reset():
            return False
        return self._has_begun and (not self._is_event_stream or self._tail.is_between_events)

    def on_connection_close(self) -> None:
        """Fail the answer if its connection closed before the end."""
        timed_out = self.timeout.expired()
        detail = "the upstream took too long" if timed_out else "the upstream closed the connection"
        if not self.head.done():
            self._fail_head(detail)
        self._queue.fail(AnswerCut(detail))


class UpstreamClient:
    """Sends requests to upstreams, and keeps idle connections for repeatable requests.

    :param timeouts: timeouts of each answer.
    """

    def __init__(self, timeouts: AnswerTimeouts | None = None) -> None:
        self._timeouts = timeouts or AnswerTimeouts()
        self._tcp = TCPClient()
        self._idle_by_address: dict[str, list[IOStream]] = {}

    def close(self) -> None:
        """Close all idle connections."""
        for streams in self._idle_by_address.values():
            for stream in streams:
                stream.close()
        self._idle_by_address.clear()
        self._tcp.close()

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: bytes,
        *,
        repeatable: bool,
        queue_limit: int,
        account: BytesAccount | None = None,
        may_send: Callable[[], bool] = lambda: True,
        expect_done_event: bool = False,
        is_watch: bool = False,
    ) -> Answer:
        """Send one request and return its answer as soon as the head has arrived.

        :param repeatable: whether the request may use an idle connection, which the upstream could
            close during the send, which leaves the outcome unknown.
        :param queue_limit: bytes of the body to buffer before reading from the upstream stops.
        :param account: memory account that the buffered bytes count against.
        :param may_send: called immediately before the first byte is sent; False prevents the send.
        :param expect_done_event: whether an event stream is complete only with its final event.
        :param is_watch: whether the answer is an endless stream, without a total timeout.
        :raises UpstreamNotReached: if no byte was sent.
        :raises RunOutcomeUnknown: if the connection broke before the head arrived, the head did not
            arrive in time, it contains the start of another answer, or it may be that of a copy of
            an earlier one.
        """
        stream = self._take_idle(address) if repeatable else None
        is_reused = stream is not None
        stream = stream or await self._connect(address)
        if not may_send():
            self._keep_idle(address, stream)
            raise UpstreamNotReached("the group may not be used any more")
        queue = ByteQueue(queue_limit, account)
        is_for_head = method == "HEAD"
        reader = _AnswerReader(
            queue,
            expect_done_event,
            self._timeouts,
            is_watch,
            is_for_head,
            is_reset=lambda: stream.error is not None,
        )
        task = asyncio.create_task(
            self._exchange(address, stream, reader, method, path, headers, body, repeatable)
        )
        queue.on_cancel(stream.close)
        try:
            code, answer_headers = await asyncio.shield(reader.head)
            if is_reused and not reader.echoes(_request_id(headers)):
                raise RunOutcomeUnknown("an answer on a used connection does not name its request")
        except BaseException as error:
            queue.cancel(error)
            task.cancel()
            raise
        header_fields = tuple(answer_headers.get_all())
        return Answer(code, header_fields, queue, partial(_is_connected, stream))

    def _take_idle(self, address: str) -> IOStream | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            stream = idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        return None

    async def _connect(self, address: str) -> IOStream:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                stream = await self._tcp.connect(host, int(port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise UpstreamNotReached(f"{address} cannot be reached: {error}") from error
        stream.set_nodelay(True)
        return stream

    def _keep_idle(self, address: str, stream: IOStream) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if stream.closed() or len(idle) >= MAX_IDLE_CONNECTIONS_PER_ADDRESS:
            stream.close()
            return

        def remove_idle() -> None:
            if stream in idle:
                idle.remove(stream)

        stream.set_close_callback(remove_idle)
        idle.append(stream)

    async def _exchange(
        self,
        address: str,
        stream: IOStream,
        reader: _AnswerReader,
        method: str,
        path: str,
        headers: tuple[Header, ...],
        body: bytes,
        reuse: bool,
    ) -> None:
        parameters = HTTP1ConnectionParameters(
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )
        connection = HTTP1Connection(stream, True, parameters)
        sent_headers = HTTPHeaders()
        for name, value in headers:
            sent_headers.add(name, value)
        sent_headers["Host"] = address
        if body or method in ("POST", "PUT", "PATCH"):
            sent_headers["Content-Length"] = str(len(body))
        try:
            connection.write_headers(
                RequestStartLine(method, path, "HTTP/1.1"), sent_headers, body or None
            )
            connection.finish()
            async with reader.timeout:
                stays_open = await connection.read_response(reader)
        except (StreamClosedError, OSError):
            # OSError includes TimeoutError.
            stream.close()
            return
        finally:
            reader.on_connection_close()
        if stays_open and reuse and reader.echoes(sent_headers.get(REQUEST_ID_HEADER)):
            self._keep_idle(address, stream)
        else:
            stream.close()


def _request_id(headers: tuple[Header, ...]) -> str | None:
    return next((value for name, value in headers if name == REQUEST_ID_HEADER), None)


def _is_connected(stream: IOStream) -> bool:
    """Return whether the kernel has received no end of the connection from the other side."""
    if stream.closed():
        return False
    try:
        return stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False
