"""Base class of all stand-ins: an HTTP server that can be frozen, killed and restarted."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, cast
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

LOCAL_HOST = "127.0.0.1"

Json = dict[str, Any]
Route = tuple[str, type[RequestHandler]]


class ConnectionTrackingServer(HTTPServer):
    """HTTP server that keeps track of its open connections."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Record the connection and serve it."""
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Create the set of open connections."""
        self.streams: WeakSet[IOStream] = WeakSet()
        super().initialize(*args, **kwargs)

    def abort_connections(self) -> None:
        """Close every connection without completing its response."""
        for stream in list(self.streams):
            stream.close()
        self.streams.clear()


class StandIn(ABC):
    """One HTTP listener with control methods for faults, and counters.

    :param name: name that is unique within the host.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0
        self._server: ConnectionTrackingServer | None = None
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._timers: list[asyncio.TimerHandle] = []
        self.controls_by_name: dict[str, Callable[..., None]] = {
            "kill": self.kill,
            "revive": self.revive,
            "freeze": self.freeze,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener."""
        return f"{LOCAL_HOST}:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL of the listener."""
        return f"http://{self.address}"

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None

    @property
    def is_frozen(self) -> bool:
        """Return whether the stand-in is currently frozen and sends no responses."""
        return not self._thawed.is_set()

    @abstractmethod
    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""

    @abstractmethod
    def counts(self) -> Json:
        """Return all counters by name."""

    def start(self, port: int = 0) -> None:
        """Start listening.

        :param port: port to use; 0 reuses the port of the previous start, or picks a free one.
        """
        sockets = bind_sockets(port or self.port, LOCAL_HOST)
        self.port = sockets[0].getsockname()[1]
        control_routes: list[Route] = [
            ("/standin/counts", CountsHandler),
            ("/standin/([a-z_]+)", ControlHandler),
        ]
        rules = [
            (pattern, handler, {"stand_in": self})
            for pattern, handler in control_routes + self.routes()
        ]
        application = Application(cast(Any, rules), log_function=lambda handler: None)
        self._server = ConnectionTrackingServer(application)
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stop listening and cancel all timers."""
        for timer in self._timers:
            timer.cancel()
        self._close()

    def kill(self, seconds: float = 0.0) -> None:
        """Stop listening and abort all connections, as when the process crashes.

        :param seconds: time until it starts again; 0 means that it stays down.
        """
        self._close()
        self._thawed.set()
        if seconds:
            self._call_later(seconds, self.revive)

    def revive(self) -> None:
        """Start again on the same port after :meth:`kill`."""
        if not self.is_listening:
            self.start()

    def freeze(self, seconds: float) -> None:
        """Accept connections but send no responses, as when the process is paused.

        :param seconds: time until :meth:`thaw` is called.
        """
        self._thawed.clear()
        self._call_later(seconds, self.thaw)

    def thaw(self) -> None:
        """Resume after :meth:`freeze`."""
        self._thawed.set()

    def abort_connections(self) -> None:
        """Close every connection without completing its response."""
        if self._server is not None:
            self._server.abort_connections()

    def exempt_connection(self, handler: RequestHandler) -> None:
        """Exclude a control connection from :meth:`abort_connections`."""
        if self._server is not None:
            self._server.streams.discard(connection_stream(handler))

    async def wait_until_thawed(self) -> None:
        """Wait until the stand-in is not frozen."""
        await self._thawed.wait()

    def _call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timers = [timer for timer in self._timers if timer.when() > loop.time()]
        self._timers.append(loop.call_later(seconds, callback))

    def _close(self) -> None:
        if self._server is None:
            return
        self._server.stop()
        self._server.abort_connections()
        self._server = None


class StandInHandler(RequestHandler):
    """Base class of the request handlers; delays requests while the stand-in is frozen."""

    def initialize(self, stand_in: Any) -> None:
        """Store the stand-in that this handler belongs to."""
        self.stand_in = stand_in
        self.is_closed = False

    async def prepare(self) -> None:
        """Wait until the stand-in is not frozen."""
        await self.stand_in.wait_until_thawed()

    def on_connection_close(self) -> None:
        """Mark the connection as closed and release the resources of the request."""
        self.is_closed = True
        self.release_resources()

    def on_finish(self) -> None:
        """Release the resources of the request, also when the stand-in aborted the connection."""
        self.release_resources()

    def release_resources(self) -> None:
        """Release the resources of the request; may be called more than once."""

    def json_body(self) -> Json:
        """Return the body as a JSON object.

        :raises HTTPError: status 400 when the body is not a JSON object.
        """
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise HTTPError(400, "body is not JSON") from error
        if not isinstance(body, dict):
            raise HTTPError(400, "body is not a JSON object")
        return body

    async def write_events(self, events: Iterable[str]) -> bool:
        """Send server-sent events.

        :return: False when the connection is closed.
        """
        for event in events:
            self.write(f"data: {event}\n\n")
        try:
            await self.flush()
        except StreamClosedError:
            return False
        return True


class ControlHandler(StandInHandler):
    """Calls a control method, also while the stand-in is frozen."""

    async def prepare(self) -> None:
        """Skip the wait for a frozen stand-in, and exempt this connection from aborts."""
        self.stand_in.exempt_connection(self)

    def post(self, name: str) -> None:
        """Call the control method with the fields of the body as keyword arguments."""
        control = self.stand_in.controls_by_name.get(name)
        if control is None:
            raise HTTPError(404, "unknown control %s", name)
        try:
            control(**self.json_body())
        except (KeyError, TypeError, ValueError) as error:
            raise HTTPError(400, str(error)) from error
        self.write({"done": name})


class CountsHandler(ControlHandler):
    """Returns the counters."""

    def get(self) -> None:
        """Write all counters as JSON."""
        self.write(self.stand_in.counts())


def connection_stream(handler: RequestHandler) -> IOStream:
    """Return the socket stream of the handler's connection."""
    return cast(HTTP1Connection, handler.request.connection).stream


def abort_connection(handler: RequestHandler) -> None:
    """Close the handler's connection without completing the response."""
    connection_stream(handler).close()
