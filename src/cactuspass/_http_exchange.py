"""One HTTP/1.1 request to an upstream, on tornado's client connection."""

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
from cactuspass._final_event import StreamTail
from cactuspass._requests import Answer, Header
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown, UpstreamNotReached

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_HEADER_BYTES = 65_536
MAX_ANSWER_BYTES = 1 << 40
MAX_HEAD_SECONDS = 3_600.0
MAX_SILENCE_SECONDS = 600.0
MAX_ANSWER_SECONDS = 86_400.0
READ_CHUNK_BYTES = 16_384
IDLE_CONNECTIONS_PER_ADDRESS = 64
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Seconds after which an answer is given up.

    :param head: from the request to the head, which may come only once the answer is written.
    :param silence: between two parts of the body, while nothing waits for the reader.
    :param whole: from the request to the end.
    """

    head: float = MAX_HEAD_SECONDS
    silence: float = MAX_SILENCE_SECONDS
    whole: float = MAX_ANSWER_SECONDS


class _AnswerReader(HTTPMessageDelegate):
    """Collects the head of an answer and passes its body into a queue.

    :param times: bounds in seconds; an answer that is no watch ends by the last of them.
    """

    def __init__(
        self, queue: ByteQueue, expect_done_event: bool, times: AnswerTimes, is_watch: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._silence = times.silence
        self._end_at = None if is_watch else loop.time() + times.whole
        self.limit = asyncio.timeout(times.head)
        self.head: asyncio.Future[tuple[int, HTTPHeaders]] = loop.create_future()
        self._queue = queue
        self._expect_done_event = expect_done_event
        self._is_event_stream = False
        self._has_length = False
        self._has_body = False
        self._tail = StreamTail()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Take the head of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return None
        content_type = headers.get("Content-Type", "")
        self._is_event_stream = content_type.startswith("text/event-stream")
        self._has_length = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not self.head.done():
            self.head.set_result((start_line.code, headers))
        self._expect_more()
        return None

    def echoes(self, request_id: str | None) -> bool:
        """Return whether the answer names its request.

        Only then would a second answer on the same connection be told from the next one's.
        """
        if request_id is None or not self.head.done() or self.head.exception() is not None:
            return False
        _, headers = self.head.result()
        return headers.get(REQUEST_ID_HEADER) == request_id

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body; the connection waits while the queue is full."""
        self._has_body = True
        if self._is_event_stream:
            self._tail.add(chunk)
        return self._put(chunk)

    async def _put(self, chunk: bytes) -> None:
        """Pass a part on; the time that the queue is full is not the upstream's."""
        if not self.limit.expired():
            self.limit.reschedule(self._end_at)
        await self._queue.put(chunk)
        self._expect_more()

    def _expect_more(self) -> None:
        """Allow the upstream its silence from now on."""
        if not self.limit.expired():
            silent_at = self._loop.time() + self._silence
            ends = [silent_at] if self._end_at is None else [silent_at, self._end_at]
            self.limit.reschedule(min(ends))

    def finish(self) -> None:
        """Take the end of the body, which is whole only if its form says so."""
        if self._is_event_stream and self._expect_done_event:
            whole = self._tail.has_final_line
        else:
            whole = self._has_length or not self._has_body
        if whole:
            self._queue.finish()
        else:
            self._queue.fail(AnswerCut("the upstream ended its stream early"))

    def on_connection_close(self) -> None:
        """Take the loss of the connection."""
        is_late = self.limit.expired()
        detail = "the upstream took too long" if is_late else "the upstream closed the connection"
        if not self.head.done():
            self.head.set_exception(RunOutcomeUnknown(detail))
            self.head.exception()
        self._queue.fail(AnswerCut(detail))


class UpstreamClient:
    """Sends requests to upstreams and keeps idle connections for repeatable ones.

    :param times: bounds of each answer in seconds.
    """

    def __init__(self, times: AnswerTimes | None = None) -> None:
        self._times = times or AnswerTimes()
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

        :param repeatable: whether an idle connection may be used; its closing could race the send.
        :param queue_limit: bytes of the body held before the upstream is made to wait.
        :param may_send: asked at the last moment before the first byte leaves.
        :param expect_done_event: whether an event stream is whole only with its final event.
        :param is_watch: whether the answer goes on for as long as it is read.
        :raises UpstreamNotReached: when no byte has left.
        :raises RunOutcomeUnknown: when the connection broke before the head arrived, or the head
            did not arrive in time.
        """
        stream = await self._connect(address, reuse=repeatable)
        if not may_send():
            self._keep(address, stream)
            raise UpstreamNotReached("the group may not be used any more")
        queue = ByteQueue(queue_limit, account)
        reader = _AnswerReader(queue, expect_done_event, self._times, is_watch)
        task = asyncio.create_task(
            self._exchange(address, stream, reader, method, path, headers, body, repeatable)
        )
        queue.on_cancel(stream.close)
        try:
            code, answer_headers = await asyncio.shield(reader.head)
        except BaseException as error:
            queue.cancel(error)
            task.cancel()
            raise
        headers_found = tuple(answer_headers.get_all())
        return Answer(code, headers_found, queue, partial(_is_whole, stream))

    async def _connect(self, address: str, reuse: bool) -> IOStream:
        idle = self._idle_by_address.get(address, [])
        while reuse and idle:
            stream = idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                stream = await self._tcp.connect(host, int(port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise UpstreamNotReached(f"{address} cannot be reached: {error}") from error
        stream.set_nodelay(True)
        return stream

    def _keep(self, address: str, stream: IOStream) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if stream.closed() or len(idle) >= IDLE_CONNECTIONS_PER_ADDRESS:
            stream.close()
            return

        def forget() -> None:
            if stream in idle:
                idle.remove(stream)

        stream.set_close_callback(forget)
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
        keep: bool,
    ) -> None:
        parameters = HTTP1ConnectionParameters(
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )
        connection = HTTP1Connection(stream, True, parameters)
        sent = HTTPHeaders()
        for name, value in headers:
            sent.add(name, value)
        sent["Host"] = address
        if body or method in ("POST", "PUT", "PATCH"):
            sent["Content-Length"] = str(len(body))
        try:
            connection.write_headers(RequestStartLine(method, path, "HTTP/1.1"), sent, body or None)
            connection.finish()
            async with reader.limit:
                open_after = await connection.read_response(reader)
        except (StreamClosedError, OSError):
            # A TimeoutError is an OSError too.
            stream.close()
            return
        finally:
            reader.on_connection_close()
        if open_after and keep and reader.echoes(sent.get(REQUEST_ID_HEADER)):
            self._keep(address, stream)
        else:
            stream.close()


def _is_whole(stream: IOStream) -> bool:
    """Return whether the other end has not closed the connection, by the kernel's knowledge."""
    if stream.closed():
        return False
    try:
        return stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False
