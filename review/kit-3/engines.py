"""Stand-ins for model servers: they join groups on order, report, and stream events as heads."""

import asyncio
import json
from typing import Any

from kit import BEAT_SECONDS, Json, Message, PlainServer, Record, Store, encode

EVENTS = 25
EVENT_SECONDS = 0.05
FIRST_EVENT_SECONDS = 0.06
WARM_SECONDS = 0.4
FORM_SECONDS = 0.3


class ModelServer(PlainServer):
    """A server of an engine service.

    :param domain: part of the fabric in which servers form groups.
    :ivar group: its membership, as it reports it.
    """

    def __init__(
        self, name: str, store: Store, record: Record, zone: str, domain: str, staged: str,
        service: str = "assistant-llm",
    ) -> None:
        super().__init__(name, store, record, service, zone, slots=13)
        self.domain = domain
        self.staged = [staged]
        self.group: Json | None = None
        self.model: str | None = None
        self.orders = 0
        self.streams: set[str] = set()
        self._busy: set[asyncio.Task[None]] = set()

    async def register(self) -> None:
        """Write the entry."""
        self.beats += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_ms": 0, "seq": self.beats,
            "born": self.born, "domain": self.domain, "staged": self.staged,
            "models": [{"name": self.model, "version": 1, "adapters": []}] if self.model else [],
            "group": self.group,
        }
        await self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def handle(
        self, head: Message, body: bytes, writer: asyncio.StreamWriter, channel: Json
    ) -> None:
        """Answer one request, report or order."""
        expected = head.get("Cactuspass-Expect-Instance")
        if expected is not None and expected != self.name:
            writer.write(encode("HTTP/1.1 421 X", [("Cactuspass-Instance", self.name)]))
            return
        path = head.first.split(" ")[1]
        if path == "/report":
            headers = [("Content-Type", "application/json")]
            writer.write(encode("HTTP/1.1 200 OK", headers, json.dumps(self.report()).encode()))
        elif path == "/order":
            status = await self._obey(json.loads(body))
            self.record.line(f"server {self.name} order {body.decode()} -> {status}")
            writer.write(encode(f"HTTP/1.1 {status} X", []))
        else:
            await self._serve_caller(head, writer)

    def report(self) -> Json:
        """Return the report."""
        return {
            "stage": "both", "models": [{"name": self.model}] if self.model else [],
            "busy": bool(self._busy), "seq": self.orders, "queued": 0,
            "running": len(self.streams), "kv_used": 0, "kv_total": 795000, "handles": 0,
            "pace": 1.0, "born": self.born, "group": self.group,
        }

    async def _obey(self, order: Json) -> int:
        if order.get("precondition", self.orders) != self.orders:
            return 409
        status = self._apply(order)
        if status in (200, 202):
            self.orders += 1
            await self.register()
        return status

    def _apply(self, order: Json) -> int:
        if order["op"] == "stage":
            self.staged = [order["model"]]
            return 202
        if order["op"] == "join":
            rank = order["members"].index(self.name)
            self.group = {
                "name": order["group"], "epoch": order["epoch"], "rank": rank, "state": "joining",
            }
            self._later(self._become_ready(self.group, order["model"]))
            return 202
        if self.group is None or self.group["name"] != order["group"]:
            return 409
        if order["op"] == "leave":
            self.group = None
            return 200
        if order["op"] == "open":
            if self.group["state"] != "ready":
                return 409
            self._later(self._become_open(self.group))
            return 202
        self.group["state"] = "ready"
        return 202

    def _later(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._busy.add(task)
        task.add_done_callback(self._busy.discard)

    async def _become_ready(self, group: Json, model: str) -> None:
        await asyncio.sleep(WARM_SECONDS)
        if self.group is group:
            group["state"], self.model = "ready", model
            await self.register()

    async def _become_open(self, group: Json) -> None:
        await asyncio.sleep(FORM_SECONDS)
        if self.group is group:
            group["state"] = "open"
            await self.register()

    async def _serve_caller(self, head: Message, writer: asyncio.StreamWriter) -> None:
        request_id = head.get("Cactuspass-Request-Id") or ""
        if self.group is None or self.group["rank"] or self.group["state"] != "open":
            headers = [("Cactuspass-Request-Id", request_id), ("At-Server", self.name)]
            writer.write(encode("HTTP/1.1 421 X", headers))
            return
        if len(self.streams) >= self.slots:
            writer.write(self.rejection(request_id))
            return
        self.streams.add(request_id)
        try:
            await self.stream(request_id, int(head.get("Last-Event-Id") or 0), writer)
        finally:
            self.streams.discard(request_id)

    async def stream(self, request_id: str, after: int, writer: asyncio.StreamWriter) -> None:
        """Run a request and stream its events, in chunks."""
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        self.ran.append(request_id)
        writer.write(self.stream_head(request_id, "Transfer-Encoding: chunked\r\n"))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {'t' * 40}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        self.answered += 1

    def stream_head(self, request_id: str, framing: str) -> bytes:
        """Return the head of a stream."""
        return (
            f"HTTP/1.1 200 OK\r\nCactuspass-Request-Id: {request_id}\r\n"
            f"Cactuspass-Server-Stamp: {self.name}.{request_id}\r\n"
            f"Content-Type: text/event-stream\r\n{framing}\r\n"
        ).encode()


__all__ = ["BEAT_SECONDS", "EVENTS", "ModelServer"]
