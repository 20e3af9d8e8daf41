"""Scripted upstreams on loopback and an in-memory caller, for tests of the request path."""

import asyncio
import random
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from unittest import mock

import logbook

from cactuspass._clock import now
from cactuspass._http_exchange import UpstreamClient
from cactuspass._requests import Answer
from cactuspass.fleet._admission import Admission
from cactuspass.fleet._answer_head import Header
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._catalog import Catalog, Customer, Route, RouteKind, Service, ServiceShare
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._dispatch import Dispatcher, RequestActivity
from cactuspass.fleet._inbound import InboundRequest
from cactuspass.fleet._limit_messages import LimitMessage
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pool import CONNECT_TIMEOUT_SECONDS, ConnectionPool
from cactuspass.fleet._request_dependencies import RequestDependencies
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._settings import BoundSection
from cactuspass.fleet._upstream_limits import UpstreamLimits
from cactuspass.fleet._upstream_notices import UpstreamNotices
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._messages import PartMessage
from cactuspass.models import CustomerId, DataCentreId, EntryId, RequestId, ServiceId
from cactuspass.platform._requests import PlatformRequests

HERE = DataCentreId("here")
SERVICE = ServiceId("app")
KEY = "key-1"
HIGH_FAILURE_SHARE = 0.9
STOP_SECONDS = 10.0
STAMP = "Cactuspass-Server-Stamp: s1"


class RecordingHandler(logbook.Handler):
    """Stores log lines in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logbook.LogRecord) -> None:
        """Store a line."""
        self.lines.append(record.message)


def recording_log() -> tuple[DecisionLog, RecordingHandler]:
    """Return a decision log and the handler that stores its lines."""
    handler = RecordingHandler()
    return DecisionLog("test", handler), handler


class MemoryDelivery(Delivery):
    """Records a response as its caller receives it."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: list[Header] = []
        self.body = b""
        self.is_complete = False
        self.was_aborted = False

    @property
    def head_sent(self) -> bool:
        """Whether the head was sent."""
        return self.status is not None

    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Record a complete response."""
        self.status, self.headers, self.body, self.is_complete = status, headers, body, True

    async def send_head(self, status: int, headers: list[Header]) -> None:
        """Record the head of a response."""
        self.status, self.headers = status, headers

    async def send_chunk(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record the end of the body."""
        self.is_complete = True

    def abort(self) -> None:
        """Record that the connection was closed early."""
        self.was_aborted = True

    def header(self, name: str) -> str | None:
        """Return the value of a response header."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), None)


Script = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


@dataclass
class ScriptedUpstream:
    """A TCP server that answers the nth request by the nth script, and further ones by the last."""

    scripts: list[Script]
    requests: list[bytes] = field(default_factory=list)
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening, and wait until all connections are closed.

        :raises AssertionError: if connections are left open, as after a failed attempt.
        """
        if self._server is not None:
            self._server.close()
        if self._tasks:
            _, still_open = await asyncio.wait(self._tasks, timeout=STOP_SECONDS)
            for task in still_open:
                task.cancel()
            if still_open:
                raise AssertionError(f"{len(still_open)} connections were left open")

    async def wait_idle(self) -> None:
        """Wait until all connections are closed."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                request = head + (await reader.readexactly(length) if length else b"")
                number = len(self.requests)
                self.requests.append(request)
                await self.scripts[min(number, len(self.scripts) - 1)](writer, request)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            writer.close()
        finally:
            self._tasks.discard(task)


async def send_once(client: UpstreamClient, upstream: ScriptedUpstream) -> Answer:
    """Send a request that may run only once, by the client of the own path."""
    headers = (("Host", "a.example"),)
    address = upstream.address
    return await client.send(
        address, "POST", "/p/x", headers, b"", repeatable=False, queue_limit=1000
    )


def answer(status: str, body: bytes = b"", *headers: str) -> Script:
    """Return a script that sends a complete response."""

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    return run


def reset_at_close(writer: asyncio.StreamWriter) -> None:
    """Let a connection end with a reset, rather than regularly, when it is closed."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def events(ids: range) -> bytes:
    """Return complete events with these ids."""
    return b"".join(f"id: {number}\ndata: x\n\n".encode() for number in ids)


def stream(
    *chunks: bytes, end: bool = True, reset: bool = False, headers: tuple[str, ...] = ()
) -> Script:
    """Return a script that sends a chunked stream.

    :param end: whether the stream is completed; otherwise the upstream stops sending.
    :param reset: whether the connection is aborted at the end.
    """

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        lines = ["HTTP/1.1 200 OK", STAMP, "Transfer-Encoding: chunked", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for chunk in chunks:
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
        if end:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if reset:
            writer.transport.abort()

    return run


class PathCase:
    """The request path of an instance without listeners, over scripted upstreams.

    :param connect_timeout: connection timeout in seconds, for tests that load this process heavily.
    """

    def __init__(
        self,
        route: Route,
        upstreams: list[ScriptedUpstream],
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        # A scripted upstream that closes a connection stands for one that crashes, unless it is
        # checked whether it still listens.
        self.checks_upstreams = False
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        catalog = Catalog(
            1,
            (route,),
            {SERVICE: Service(SERVICE)},
            (Customer(CustomerId("customer-1"), (KEY,)),),
        )
        self.cluster_state.accept_catalog(catalog)
        self.cluster_state.operators_read_at = now()
        registered = [
            Upstream(UpstreamId(f"u{number}"), SERVICE, upstream.address, HERE, slots=10 - number)
            for number, upstream in enumerate(upstreams)
        ]
        self.cluster_state.accept_upstreams(registered, 1)
        self.loads = LoadTable()
        self.reported_unresponsive: list[UpstreamId] = []
        self.sent_leaving: list[Lifetime] = []
        self.sent_limits: list[LimitMessage] = []
        self.pool = ConnectionPool(connect_timeout)
        self.metrics = metrics = Metrics()
        rng = random.Random(1)
        retry_budget = RetryBudget(0.2, 100, 10)
        self.limits = limits = UpstreamLimits(
            self.cluster_state,
            EntryId("here-0"),
            self.log,
            metrics,
            rng,
            self.sent_limits.append,
            lambda address, message: None,
        )
        self.fleet_load: FleetLoad | None = None
        self.selector = selector = Selector(
            self.cluster_state,
            self.loads,
            HERE,
            rng,
            limits=limits.limits,
            fleet_load=lambda: self.fleet_load,
        )
        self.sent_messages: list[PartMessage] = []
        self.part_guard = PartGuard(
            EntryId("here-0"),
            self.cluster_state,
            self.log,
            metrics,
            self.sent_messages.append,
            lambda block: None,
            is_gone=self._is_gone,
        )
        dependencies = RequestDependencies(
            PlatformRequests(),
            selector,
            self.loads,
            self.pool,
            self.log,
            metrics,
            lambda service: retry_budget,
            lambda: 1,
            self.reported_unresponsive.append,
            UpstreamNotices(
                self.cluster_state,
                selector.backoff,
                limits.notices,
                self.pool,
                self.log,
                metrics,
                self.sent_leaving.append,
                lambda: None,
            ),
            self.part_guard,
            limits.waits,
        )
        self.admission = Admission(
            self.cluster_state,
            key_seconds=5.0,
            propagation_seconds=BoundSection().propagation_seconds,
        )
        self.dispatcher = Dispatcher(
            dependencies, self.cluster_state, self.admission, rng, RequestActivity()
        )

    async def _is_gone(self, lifetime: Lifetime) -> bool:
        if not self.checks_upstreams:
            return True
        upstream = self.cluster_state.registered_by_id[lifetime.upstream_id]
        return not await self.pool.is_reachable(upstream.address)

    async def serve(self, **changes: object) -> MemoryDelivery:
        """Serve one request and return the response that its caller received."""
        delivery = MemoryDelivery()
        await self.dispatcher.serve(request(**changes), delivery)
        return delivery


def route(kind: RouteKind = RouteKind.IDEMPOTENT, **changes: object) -> Route:
    """Return a route to the scripted upstreams."""
    fields: dict[str, object] = {
        "name": "r1",
        "host": "a.example",
        "prefix": "/p/",
        "kind": kind,
        "shares": (ServiceShare(SERVICE, 1.0),),
        "timeout": 5.0,
        "objective": 0.3,
        "max_upstreams": 2,
    }
    return Route(**{**fields, **changes})  # type: ignore[arg-type]


def request(**changes: object) -> InboundRequest:
    """Return a request that matches the route of route()."""
    fields: dict[str, object] = {
        "request_id": RequestId("q1"),
        "method": "GET",
        "target": "/p/x",
        "host": "a.example",
        "headers": (("Host", "a.example"), ("Cactuspass-Request-Id", "q1")),
        "body": b"",
        "arrived_at": now(),
        "caller_timeout": 4.0,
        "key": KEY,
    }
    return InboundRequest(**{**fields, **changes})  # type: ignore[arg-type]


class ScriptedPathCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that start scripted upstreams.

    :cvar connect_timeout: connection timeout in seconds, for tests that do not test it.
    """

    connect_timeout = CONNECT_TIMEOUT_SECONDS

    async def start_path(self, target_route: Route, *scripts: Script | list[Script]) -> PathCase:
        """Start an upstream for each script or list of scripts; return the path to them."""
        self.upstreams = [
            ScriptedUpstream(list(each) if isinstance(each, list) else [each]) for each in scripts
        ]
        for upstream in self.upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        case = PathCase(target_route, self.upstreams, self.connect_timeout)
        self.addCleanup(case.pool.close)
        return case


class PreferredOrderCase(ScriptedPathCase):
    """Base of tests that start upstreams, of which the first is strongly preferred."""

    async def start(self, target_route: Route, *scripts: list[Script]) -> PathCase:
        case = await self.start_path(target_route, *scripts)
        for later in list(case.cluster_state.view.upstreams_by_id)[1:]:
            case.loads.load(later).failure_share = HIGH_FAILURE_SHARE
        return case

    async def serve_after_change(self, change: Callable[[PathCase, Upstream], object]) -> PathCase:
        """Change the state of the chosen upstream after a request has obtained a connection to it.

        The request must not be sent twice, so it has to be sent to the other upstream.

        :param change: changes the state of the given upstream.
        """
        success = answer("200 OK", b"body", STAMP)
        case = await self.start(route(RouteKind.NON_IDEMPOTENT), [success], [success])
        first = case.cluster_state.view.upstreams_by_id[UpstreamId("u0")]
        connect = case.pool._connect

        async def connect_and_change(address: str) -> object:
            connection = await connect(address)
            if address == first.address:
                change(case, first)
            return connection

        with mock.patch.object(case.pool, "_connect", connect_and_change):
            got = await case.serve()
        self.assertEqual((got.status, self.arrivals()), (200, [0, 1]))
        return case

    def arrivals(self) -> list[int]:
        return [len(upstream.requests) for upstream in self.upstreams]
