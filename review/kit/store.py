"""A small stand-in for the platform's metadata store: keys, revisions, leases and watches."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from http_server import HttpServer, Request, Response

HISTORY_EVENTS = 2000
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000


class Store:
    """Holds all keys in memory and answers the calls of PROTOCOL.md on a loopback address."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.events: list[dict] = []
        self.changed = asyncio.Condition()
        self.era: int | None = None
        self.is_away = False
        self.server = HttpServer(self._serve)
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = await self.server.start()
        self.expiry = asyncio.create_task(self._expire_leases())

    def stop(self) -> None:
        """Stop listening."""
        self.expiry.cancel()
        self.server.stop()

    async def put(self, key: str, value: object) -> int:
        """Write a key as an operator or a server does; return the size of the value in bytes."""
        self.revision += 1
        encoded = json.dumps(value, separators=(",", ":")).encode()
        self._write(key, encoded, 0)
        await self._notify()
        return len(encoded)

    async def delete(self, key: str) -> None:
        """Delete a key as an operator or a server does."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            await self._notify()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        before = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": lease,
        }
        self.events.append(dict(self.items[key]))
        del self.events[:-HISTORY_EVENTS]

    def _delete(self, key: str) -> None:
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "deleted": True})

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            ended = [n for n, (until, _) in self.leases.items() if until <= time.monotonic()]
            for number in ended:
                await self._end_lease(number)

    async def _end_lease(self, number: int) -> bool:
        if self.leases.pop(number, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            await self._notify()
        return True

    def copy(self) -> tuple:
        """Return a copy of all that the store holds."""
        return copy.deepcopy((self.revision, self.items, self.leases, self.next_lease, self.events))

    def restore(self, older: tuple) -> None:
        """Go back to a copy; the era rises by one."""
        held = copy.deepcopy(older)
        self.revision, self.items, self.leases, self.next_lease, self.events = held
        self.era = (self.era or 0) + 1

    async def _serve(self, request: Request) -> Response | None:
        """Answer one call, or reset its channel while the store is away."""
        if self.is_away:
            request.writer.transport.abort()
            return None
        era = self.era
        response = await self.answer(request)
        if self.is_away or self.era != era:
            request.writer.transport.abort()
            return None
        if era is not None:
            response.headers.append(("Store-Era", str(era)))
        return response

    async def answer(self, request: Request) -> Response:
        """Answer one call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(request.body) if request.body else {}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return _json({"store_revision": self.revision}, 404)
            return _json({**item, "store_revision": self.revision})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._transact(body)
        if path == "/kv-lease":
            seconds = max(1000, body["ttl_ms"]) / 1000
            number, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[number] = (time.monotonic() + seconds, seconds)
            return _json({"lease": number, "ttl_ms": int(seconds * 1000)})
        if path.startswith("/kv-keep/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return _json({}, 404)
            seconds = self.leases[number][1]
            self.leases[number] = (time.monotonic() + seconds, seconds)
            return _json({"ttl_ms": int(seconds * 1000)})
        if path.startswith("/kv-lease-end/"):
            found = await self._end_lease(int(path.rsplit("/", 1)[1]))
            return _json({}, 200 if found else 404)
        return _json({}, 404)

    def _range(self, query: dict[str, str]) -> Response:
        prefix, after = query["prefix"], query.get("after", "")
        found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in found[:MAX_PAGE_ITEMS]:
            size += len(self.items[key]["value"]) + len(key)
            if items and size > MAX_PAGE_BYTES:
                break
            items.append(self.items[key])
        has_more = len(found) > len(items)
        return _json({"items": items, "has_more": has_more, "store_revision": self.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        prefix, after = query["prefix"], int(query["after"])
        if after > self.revision:
            return _json({}, 410)
        if self.events and len(self.events) == HISTORY_EVENTS:
            if self.events[0]["revision"] > after + 1:
                return _json({}, 410)

        def matching() -> list[dict]:
            return [e for e in self.events if e["key"].startswith(prefix) and e["revision"] > after]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(lambda: bool(matching()))
        except TimeoutError:
            return _json({"events": [], "store_revision": after})
        return _json({"events": matching(), "store_revision": self.revision})

    async def _transact(self, body: dict) -> Response:
        keys = [row["key"] for row in body.get("precondition", ())]
        for row in body.get("precondition", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _json({"items": [self.items[k] for k in keys if k in self.items]}, 412)
        for row in body.get("writes", ()):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return _json({}, 404)
        self.revision += 1
        for row in body.get("writes", ()):
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", ()):
            if key in self.items:
                self._delete(key)
        await self._notify()
        return _json({"revision": self.revision})


def _json(body: dict, status: int = 200) -> Response:
    return Response(status, json.dumps(body).encode(), [("Content-Type", "application/json")])
