"""A stand-in of the users' metadata store, by its published protocol, on loopback."""

import asyncio
import base64
import json
import time
from typing import Any

from tornado.web import Application, RequestHandler

from cactuspass_standins._key_value_store import (
    Compare,
    Comparison,
    DeleteRequest,
    KeyValue,
    KeyValueStore,
    LeaseNotFound,
    PutRequest,
    RangeRequest,
    Target,
    Transaction,
)
from cactuspass_standins._stand_in import ConnectionTrackingServer, bind_sockets

Json = dict[str, Any]


class MetadataStoreStandIn:
    """Keys with revisions, leases and watches; ``refusing`` answers every call with 503."""

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self.refusing = False
        self.address = ""
        self._changes: list[Json] = []
        self._changed = asyncio.Condition()
        self._server: ConnectionTrackingServer | None = None

    def start(self) -> None:
        """Listen on a free port."""
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        rules = [
            ("/kv-key", KeyHandler, {"standin": self}),
            ("/kv-range", RangeHandler, {"standin": self}),
            ("/kv-watch", WatchHandler, {"standin": self}),
            ("/kv-txn", TransactionHandler, {"standin": self}),
            ("/kv-lease", LeaseHandler, {"standin": self}),
            ("/kv-keep/([0-9]+)", KeepHandler, {"standin": self}),
            ("/kv-lease-end/([0-9]+)", EndHandler, {"standin": self}),
        ]
        self._server = ConnectionTrackingServer(
            Application(rules, log_function=lambda handler: None)
        )
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()
            self._server.abort_connections()

    async def put(self, key: str, value: object) -> None:
        """Write a key as an operator or a server does."""
        body = json.dumps(value).encode()
        self.run(Transaction((), (PutRequest(key.encode(), body),)))
        await self.publish_changes([key])

    async def delete(self, key: str) -> None:
        """Delete a key."""
        self.run(Transaction((), (DeleteRequest(key.encode()),)))
        await self.publish_changes([key])

    def run(self, transaction: Transaction) -> bool:
        """Run a transaction; return whether its conditions held."""
        return self.store.run(transaction, time.monotonic()).succeeded

    def read(self, first: str, last: str | None = None) -> list[KeyValue]:
        """Return the pairs of a key or of a range."""
        end = b"" if last is None else last.encode()
        request = RangeRequest(first.encode(), end)
        found = self.store.run(Transaction((), (request,)), time.monotonic())
        return list(found.results[0].pairs)  # type: ignore[union-attr]

    async def publish_changes(self, keys: list[str]) -> None:
        """Tell the watches of keys that were written or deleted."""
        for key in keys:
            found = self.read(key)
            gone = {"key": key, "revision": self.store.revision, "deleted": True}
            self._changes.append(item(found[0]) if found else gone)
        async with self._changed:
            self._changed.notify_all()

    async def wait_for_changes(self, prefix: str, after: int, seconds: float) -> list[Json]:
        """Return changes under a prefix after a revision, waiting for the first."""

        def found() -> list[Json]:
            return [
                change
                for change in self._changes
                if change["key"].startswith(prefix) and change["revision"] > after
            ]

        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: bool(found()))
        except TimeoutError:
            return []
        return found()


def item(pair: KeyValue) -> Json:
    """Return a pair as the store shows it."""
    return {
        "key": pair.key.decode(),
        "value": base64.b64encode(pair.value).decode(),
        "revision": pair.mod_revision,
        "created": pair.create_revision,
        "lease": pair.lease,
    }


class StoreHandler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, standin: MetadataStoreStandIn) -> None:
        """Keep the stand-in."""
        self.standin = standin

    def prepare(self) -> None:
        """Refuse the call while the store refuses all."""
        if self.standin.refusing:
            self.set_status(503)
            self.finish()

    def answer(self, body: Json, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.finish(json.dumps(body))

    def body(self) -> Json:
        """Return the body."""
        found = json.loads(self.request.body or b"{}")
        assert isinstance(found, dict)
        return found


class KeyHandler(StoreHandler):
    """Reads a key."""

    def get(self) -> None:
        """Answer with the item."""
        found = self.standin.read(self.get_query_argument("key"))
        if not found:
            self.answer({}, 404)
            return
        self.answer({**item(found[0]), "store_revision": self.standin.store.revision})


class RangeHandler(StoreHandler):
    """Reads a prefix, in pages of three items so that paging is met."""

    def get(self) -> None:
        """Answer with one page."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        found = self.standin.read(prefix, prefix + "\x7f")
        later = [pair for pair in found if pair.key.decode() > after]
        page = [item(pair) for pair in later[:3]]
        revision = self.standin.store.revision
        self.answer({"items": page, "has_more": len(later) > 3, "store_revision": revision})


class WatchHandler(StoreHandler):
    """Waits for changes."""

    async def get(self) -> None:
        """Answer when there is one, or when the wait is over."""
        events = await self.standin.wait_for_changes(
            self.get_query_argument("prefix"),
            int(self.get_query_argument("after")),
            int(self.get_query_argument("wait_ms")) / 1000,
        )
        revision = max((event["revision"] for event in events), default=0)
        after = int(self.get_query_argument("after"))
        self.answer({"events": events, "store_revision": max(revision, after)})


class TransactionHandler(StoreHandler):
    """Writes under conditions."""

    async def post(self) -> None:
        """Make all writes, or none."""
        body = self.body()
        compare = tuple(
            Compare(row["key"].encode(), Target.MOD, Comparison.EQUAL, row["revision"])
            for row in body["precondition"]
        )
        puts = tuple(
            PutRequest(row["key"].encode(), base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["writes"]
        )
        deletes = tuple(DeleteRequest(key.encode()) for key in body["deletes"])
        try:
            accepted = self.standin.run(Transaction(compare, (*puts, *deletes)))
        except LeaseNotFound:
            self.answer({}, 404)
            return
        if not accepted:
            keys = [row["key"] for row in body["precondition"]]
            items = [item(pair) for key in keys for pair in self.standin.read(key)]
            self.answer({"items": items}, 412)
            return
        await self.standin.publish_changes([row["key"] for row in body["writes"]] + body["deletes"])
        self.answer({"revision": self.standin.store.revision})


class LeaseHandler(StoreHandler):
    """Makes leases."""

    def post(self) -> None:
        """Answer with a lease."""
        period = self.body()["ttl_ms"]
        lease = self.standin.store.grant_lease(period // 1000, time.monotonic())
        self.answer({"lease": lease.lease_id, "ttl_ms": period})


class KeepHandler(StoreHandler):
    """Renews leases."""

    def post(self, lease_id: str) -> None:
        """Answer with the time that the lease runs."""
        lease = self.standin.store.keep_lease_alive(int(lease_id), time.monotonic())
        if lease is None:
            self.answer({}, 404)
            return
        self.answer({"ttl_ms": lease.ttl_seconds * 1000})


class EndHandler(StoreHandler):
    """Ends leases."""

    def delete(self, lease_id: str) -> None:
        """End a lease."""
        try:
            self.standin.store.revoke_lease(int(lease_id), time.monotonic())
        except LeaseNotFound:
            self.answer({}, 404)
            return
        self.answer({})
