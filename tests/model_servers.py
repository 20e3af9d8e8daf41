"""Stand-ins for the users' model servers, which join groups on order and stream events."""

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from cactuspass_standins._stand_in import ConnectionTrackingServer, bind_sockets
from tests.metadata_store import MetadataStoreStandIn

JOIN_SECONDS = 0.02
EVENT_SECONDS = 0.005
EVENTS = 20


class ModelServerStandIn:
    """One server, which registers in the store, executes orders and serves as head of a group.

    :ivar stalled: whether streams pause between events until this is False again.
    :ivar leaving: whether each response announces that the server is leaving.
    :ivar limit: value of Server-Limit in each response; None for no such header.
    :ivar backoff: value of Retry-After; when set, the server rejects requests.
    :ivar rejected_count: number of rejected requests.
    :ivar executed_request_ids: ids of the requests that have run, in order.
    """

    def __init__(self, server_id: str, store: MetadataStoreStandIn, service: str) -> None:
        self.server_id = server_id
        self.stalled = False
        self.leaving = False
        self.limit: str | None = None
        self.backoff: str | None = None
        self.rejected_count = 0
        self.orders: list[dict[str, Any]] = []
        self.executed_request_ids: list[str] = []
        self._store = store
        self._service = service
        self._group: dict[str, Any] | None = None
        self._model: str | None = None
        self._server: ConnectionTrackingServer | None = None
        self._pending: set[asyncio.Task[None]] = set()
        self._born = next(_start_times_ms)
        self._accepted = 0
        self.address = ""

    async def start(
        self, staged: list[str], before: Callable[[str], Awaitable[str]] | None = None
    ) -> None:
        """Listen on a free port and register.

        :param staged: models whose weights are on the host.
        :param before: starts a proxy for an address and returns the proxy's address, which is
            registered instead.
        """
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        if before is not None:
            self.address = await before(self.address)
        self._staged = staged
        rules = [
            ("/order", OrderHandler, {"server": self}),
            ("/report", ReportHandler, {"server": self}),
            ("/.*", self.request_handler(), {"server": self}),
        ]
        self._server = ConnectionTrackingServer(
            Application(rules, log_function=lambda handler: None)
        )
        self._server.add_sockets(sockets)
        await self.register()

    def stop(self) -> None:
        """Stop as in a crash: close all connections and leave the registry entry in place."""
        for task in self._pending:
            task.cancel()
        if self._server is not None:
            self._server.stop()
            self._server.abort_connections()
            self._server = None

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler class for callers' requests."""
        return StreamHandler

    async def register(self) -> None:
        """Write the registry entry."""
        entry = {
            "service": self._service,
            "address": self.address,
            "zone": "here",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_ms": 0,
            "seq": 1,
            "born": self._born,
            "domain": "d0",
            "staged": self._staged,
            "models": [{"name": self._model, "version": 1}] if self._model else [],
            "group": self._group,
        }
        await self._store.put(f"servers/{self.server_id}", entry)

    @property
    def serves(self) -> bool:
        """Whether this server heads an open group; only heads receive the order to open."""
        return self._group is not None and self._group["state"] == "open"

    async def wait_until_running(self) -> None:
        """Wait while the whole server stands still, if it can."""

    async def execute(self, order: dict[str, Any]) -> int:
        """Execute an order and return the HTTP status."""
        self.orders.append(order)
        if order.get("precondition", self._accepted) != self._accepted:
            return 409
        status = self._apply(order)
        if status in (200, 202):
            self._accepted += 1
            await self.register()
        return status

    def report(self) -> dict[str, Any]:
        """Return the body of the report page."""
        return {
            "running": 0,
            "queued": 0,
            "pace": 1.0,
            "busy": bool(self._pending),
            "group": self._group,
            "seq": self._accepted,
            "born": self._born,
        }

    def _apply(self, order: dict[str, Any]) -> int:
        if order["op"] == "join":
            rank = order["members"].index(self.server_id)
            self._group = {"name": order["group"], "epoch": order["epoch"], "rank": rank}
            self._group["state"] = "joining"
            task = asyncio.create_task(self._become_ready(order["model"]))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
        elif self._group is None or self._group["epoch"] != order.get("epoch"):
            return 409
        elif order["op"] == "leave":
            for task in self._pending:
                task.cancel()
            self._group = None
            return 200
        else:
            self._group["state"] = "open" if order["op"] == "open" else "ready"
        return 202

    async def _become_ready(self, model: str) -> None:
        await asyncio.sleep(JOIN_SECONDS)
        assert self._group is not None
        self._group["state"] = "ready"
        self._model = model
        await self.register()


_start_times_ms = itertools.count(1_700_000_000_000)


class ServerHandler(RequestHandler):
    """Base class of the handlers."""

    def initialize(self, server: ModelServerStandIn) -> None:
        """Store the server."""
        self.server = server

    def prepare(self) -> None:
        """Set the headers that all responses have."""
        if self.server.leaving:
            self.set_header("Server-Leaving", "1")
        if self.server.limit is not None:
            self.set_header("Server-Limit", self.server.limit)

    def reject(self) -> None:
        """Respond that the request has not run and request a backoff."""
        self.server.rejected_count += 1
        self.set_status(503)
        self.set_header("Cactuspass-Not-Run", "1")
        self.set_header("Retry-After", str(self.server.backoff))


class OrderHandler(ServerHandler):
    """Handles orders."""

    async def post(self) -> None:
        """Execute an order."""
        await self.server.wait_until_running()
        self.set_status(await self.server.execute(json.loads(self.request.body)))


class ReportHandler(ServerHandler):
    """Handles requests for the report."""

    async def get(self) -> None:
        """Send the report."""
        await self.server.wait_until_running()
        self.finish(json.dumps(self.server.report()))


class StreamHandler(ServerHandler):
    """Handles requests for streams."""

    async def post(self) -> None:
        """Stream the events after the one that ``Last-Event-Id`` names."""
        if not self.server.serves:
            self.set_status(421)
            return
        if self.server.backoff is not None:
            self.reject()
            return
        self.server.executed_request_ids.append(self.request.headers["Cactuspass-Request-Id"])
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            while self.server.stalled:
                await asyncio.sleep(EVENT_SECONDS)
            self.write(f"id: {number}\ndata: x\n\n")
            try:
                await self.flush()
            except StreamClosedError:
                return
            await asyncio.sleep(EVENT_SECONDS)


class BookingHandler(ServerHandler):
    """Handles bookings."""

    async def post(self) -> None:
        """Run a booking, even when the caller disconnects before the response."""
        if self.server.backoff is not None:
            self.reject()
            return
        self.server.executed_request_ids.append(self.request.headers["Cactuspass-Request-Id"])
        await asyncio.sleep(EVENT_SECONDS)
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        self.set_header("Cactuspass-Request-Id", self.request.headers["Cactuspass-Request-Id"])
        self.write(b"booked")


class BookingServerStandIn(ModelServerStandIn):
    """A server without groups whose requests must not run twice."""

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler class for callers' requests."""
        return BookingHandler
