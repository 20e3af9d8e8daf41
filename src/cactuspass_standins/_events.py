"""Sender and reader of the server-sent events of upstream stand-ins."""

import asyncio
import json
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from cactuspass_standins._stand_in import Json, StandInHandler

EVENTS_PATH = "/cactuspass/events"


class EventSource:
    """Distributes the events of one upstream to its open event connections."""

    def __init__(self) -> None:
        self.queues: set[asyncio.Queue[Json | None]] = set()

    def publish(self, event: Json) -> None:
        """Send an event on every open connection."""
        for queue in self.queues:
            queue.put_nowait(event)


class EventsHandler(StandInHandler):
    """Sends status and cache events until the connection closes."""

    async def get(self) -> None:
        """Send the current status, then each event as it is published."""
        self.set_header("Content-Type", "text/event-stream")
        self.queue: asyncio.Queue[Json | None] = asyncio.Queue()
        self.queue.put_nowait(self.stand_in.status())
        self.stand_in.events.queues.add(self.queue)
        try:
            await self._send_events()
        finally:
            self.stand_in.events.queues.discard(self.queue)

    async def _send_events(self) -> None:
        while (event := await self.queue.get()) is not None:
            await self.stand_in.wait_until_thawed()
            if not await self.write_events([json.dumps(event)]):
                return

    def release_resources(self) -> None:
        """Stop sending events."""
        if hasattr(self, "queue"):
            self.queue.put_nowait(None)


class EventReader(HTTPMessageDelegate):
    """Reads the events of another upstream over one connection.

    :param address: ``host:port`` of the upstream.
    :param on_event: called with each event.
    """

    def __init__(self, address: str, on_event: Callable[[Json], None]) -> None:
        self.address = address
        self._on_event = on_event
        self._stream: IOStream | None = None
        self._buffer = b""

    async def read(self) -> None:
        """Connect and read until the connection closes; return at once if it is refused."""
        host, port = self.address.rsplit(":", 1)
        try:
            self._stream = await TCPClient().connect(host, int(port))
            connection = HTTP1Connection(self._stream, is_client=True)
            headers = HTTPHeaders({"Host": self.address})
            connection.write_headers(RequestStartLine("GET", EVENTS_PATH, ""), headers)
            connection.finish()
            await connection.read_response(self)
        except (OSError, StreamClosedError):
            return
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()

    def data_received(self, chunk: bytes) -> None:
        """Pass each complete event to the callback."""
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        for line in lines:
            if line.startswith(b"data: "):
                self._on_event(json.loads(line.removeprefix(b"data: ")))
