"""Stand-ins of the users' model servers, which join groups by order and stream events."""

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
    """One server: reports itself in the store, carries out orders, streams while it heads a group.

    :param stalled: whether its streams stand still.
    :param leaving: whether all its answers say that it leaves.
    :param backoff: seconds, as written, for which it wants nothing; it then turns requests away.
    """

    def __init__(self, server_id: str, store: MetadataStoreStandIn, service: str) -> None:
        self.server_id = server_id
        self.stalled = False
        self.leaving = False
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
        self._born = next(_births)
        self._accepted = 0
        self.address = ""

    async def start(
        self, staged: list[str], before: Callable[[str], Awaitable[str]] | None = None
    ) -> None:
        """Listen on a free port and register.

        :param before: starts a proxy before an address; the proxy's address is registered.
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
        """Stop as a crash does: the entry stays."""
        for task in self._pending:
            task.cancel()
        if self._server is not None:
            self._server.stop()
            self._server.abort_connections()
            self._server = None

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler of requests."""
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
        """Whether it heads an open group."""
        return self._group is not None and self._group["state"] == "open"

    async def carry_out(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status."""
        self.orders.append(order)
        if order.get("precondition", self._accepted) != self._accepted:
            return 409
        status = self._begin(order)
        if status in (200, 202):
            self._accepted += 1
            await self.register()
        return status

    def report(self) -> dict[str, Any]:
        """Return the answer to a request for a report."""
        return {
            "running": 0,
            "queued": 0,
            "pace": 1.0,
            "busy": bool(self._pending),
            "group": self._group,
            "seq": self._accepted,
            "born": self._born,
        }

    def _begin(self, order: dict[str, Any]) -> int:
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


_births = itertools.count(1_700_000_000_000)


class ServerHandler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, server: ModelServerStandIn) -> None:
        """Keep the server."""
        self.server = server

    def prepare(self) -> None:
        """Say what holds for all answers."""
        if self.server.leaving:
            self.set_header("Server-Leaving", "1")

    def turn_away(self) -> None:
        """Answer that the request was not run, and ask for quiet."""
        self.server.rejected_count += 1
        self.set_status(503)
        self.set_header("Cactuspass-Not-Run", "1")
        self.set_header("Retry-After", str(self.server.backoff))


class OrderHandler(ServerHandler):
    """Takes orders."""

    async def post(self) -> None:
        """Carry out an order."""
        self.set_status(await self.server.carry_out(json.loads(self.request.body)))


class ReportHandler(ServerHandler):
    """Tells how the server is."""

    def get(self) -> None:
        """Answer with a report."""
        self.finish(json.dumps(self.server.report()))


class StreamHandler(ServerHandler):
    """Answers requests."""

    async def post(self) -> None:
        """Stream events from the one after the caller's last."""
        if not self.server.serves:
            self.set_status(421)
            return
        if self.server.backoff is not None:
            self.turn_away()
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
    """Runs a booking."""

    async def post(self) -> None:
        """Answer after a moment; a request that was read is run, also if its caller has left."""
        if self.server.backoff is not None:
            self.turn_away()
            return
        self.server.executed_request_ids.append(self.request.headers["Cactuspass-Request-Id"])
        await asyncio.sleep(EVENT_SECONDS)
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        self.set_header("Cactuspass-Request-Id", self.request.headers["Cactuspass-Request-Id"])
        self.write(b"booked")


class BookingServerStandIn(ModelServerStandIn):
    """A plain server whose requests may not be repeated."""

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler of requests."""
        return BookingHandler
