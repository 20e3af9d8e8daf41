"""A stand-in on loopback for the users' metadata store, with its published HTTP protocol."""

import asyncio
import base64
import copy
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
    """Keys with revisions, leases and watches; while ``refusing`` is set, every call gets 503.

    :ivar era: value of the header that states how often the store was restored; None for no header.
    """

    def __init__(self) -> None:
        self.store = KeyValueStore()
        self.refusing = False
        self.era: str | None = None
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
            ("/kv-keep/([0-9]+)", LeaseRenewalHandler, {"standin": self}),
            ("/kv-lease-end/([0-9]+)", LeaseRevocationHandler, {"standin": self}),
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
        """Write a key without a condition, as operators and servers do."""
        body = json.dumps(value).encode()
        self.run(Transaction((), (PutRequest(key.encode(), body),)))
        await self.publish_changes([key])

    async def delete(self, key: str) -> None:
        """Delete a key."""
        self.run(Transaction((), (DeleteRequest(key.encode()),)))
        await self.publish_changes([key])

    def copy(self) -> KeyValueStore:
        """Return a copy of all keys and leases."""
        return copy.deepcopy(self.store)

    def restore(self, older: KeyValueStore) -> None:
        """Go back to a copy; all that was written since is lost, and the era rises by one."""
        self.store = copy.deepcopy(older)
        self._changes = [c for c in self._changes if c["revision"] <= older.revision]
        self.era = str(int(self.era or "0") + 1)

    def run(self, transaction: Transaction) -> bool:
        """Run a transaction; return whether its conditions held."""
        return self.store.run(transaction, time.monotonic()).succeeded

    def read(self, first: str, last: str | None = None) -> list[KeyValue]:
        """Return the pairs of one key or of a range.

        :param last: end of the range, exclusive; None reads only the key ``first``.
        """
        end = b"" if last is None else last.encode()
        request = RangeRequest(first.encode(), end)
        found = self.store.run(Transaction((), (request,)), time.monotonic())
        return list(found.results[0].pairs)  # type: ignore[union-attr]

    async def publish_changes(self, keys: list[str]) -> None:
        """Record the current state of written or deleted keys, and wake the watches."""
        for key in keys:
            found = self.read(key)
            deleted = {"key": key, "revision": self.store.revision, "deleted": True}
            self._changes.append(item(found[0]) if found else deleted)
        async with self._changed:
            self._changed.notify_all()

    async def wait_for_changes(self, prefix: str, after: int, seconds: float) -> list[Json]:
        """Return changes under a prefix after a revision, waiting for the first one.

        :param seconds: longest time to wait; the result is empty afterwards.
        """

        def matching() -> list[Json]:
            return [
                change
                for change in self._changes
                if change["key"].startswith(prefix) and change["revision"] > after
            ]

        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: bool(matching()))
        except TimeoutError:
            return []
        return matching()


def item(pair: KeyValue) -> Json:
    """Return a pair in the JSON form of the protocol."""
    return {
        "key": pair.key.decode(),
        "value": base64.b64encode(pair.value).decode(),
        "revision": pair.mod_revision,
        "created": pair.create_revision,
        "lease": pair.lease,
    }


class StoreHandler(RequestHandler):
    """Base of the request handlers."""

    def initialize(self, standin: MetadataStoreStandIn) -> None:
        """Store the stand-in that the handler belongs to."""
        self.standin = standin

    def prepare(self) -> None:
        """Respond with 503 while the stand-in refuses calls; state the era."""
        if self.standin.era is not None:
            self.set_header("Store-Era", self.standin.era)
        if self.standin.refusing:
            self.set_status(503)
            self.finish()

    def send_json(self, body: Json, status: int = 200) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.finish(json.dumps(body))

    def json_body(self) -> Json:
        """Return the JSON body of the request; an empty body counts as an empty object."""
        found = json.loads(self.request.body or b"{}")
        assert isinstance(found, dict)
        return found


class KeyHandler(StoreHandler):
    """Handles reads of one key."""

    def get(self) -> None:
        """Respond with the item, or with 404 when the key is missing."""
        found = self.standin.read(self.get_query_argument("key"))
        if not found:
            self.send_json({}, 404)
            return
        self.send_json({**item(found[0]), "store_revision": self.standin.store.revision})


class RangeHandler(StoreHandler):
    """Handles reads of a prefix, in pages of three items so that clients have to read several."""

    def get(self) -> None:
        """Respond with one page."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        found = self.standin.read(prefix, prefix + "\x7f")
        later = [pair for pair in found if pair.key.decode() > after]
        page = [item(pair) for pair in later[:3]]
        revision = self.standin.store.revision
        self.send_json({"items": page, "has_more": len(later) > 3, "store_revision": revision})


class WatchHandler(StoreHandler):
    """Handles watches."""

    async def get(self) -> None:
        """Respond when there are changes or when the wait is over."""
        if int(self.get_query_argument("after")) > self.standin.store.revision:
            self.set_status(410)
            self.finish()
            return
        events = await self.standin.wait_for_changes(
            self.get_query_argument("prefix"),
            int(self.get_query_argument("after")),
            int(self.get_query_argument("wait_ms")) / 1000,
        )
        revision = max((event["revision"] for event in events), default=0)
        after = int(self.get_query_argument("after"))
        self.send_json({"events": events, "store_revision": max(revision, after)})


class TransactionHandler(StoreHandler):
    """Handles conditional writes."""

    async def post(self) -> None:
        """Make all writes, or none and respond with 412 and the current items."""
        body = self.json_body()
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
            self.send_json({}, 404)
            return
        if not accepted:
            keys = [row["key"] for row in body["precondition"]]
            items = [item(pair) for key in keys for pair in self.standin.read(key)]
            self.send_json({"items": items}, 412)
            return
        await self.standin.publish_changes([row["key"] for row in body["writes"]] + body["deletes"])
        self.send_json({"revision": self.standin.store.revision})


class LeaseHandler(StoreHandler):
    """Handles the creation of leases."""

    def post(self) -> None:
        """Respond with a new lease."""
        period = self.json_body()["ttl_ms"]
        lease = self.standin.store.grant_lease(period // 1000, time.monotonic())
        self.send_json({"lease": lease.lease_id, "ttl_ms": period})


class LeaseRenewalHandler(StoreHandler):
    """Handles the renewal of leases."""

    def post(self, lease_id: str) -> None:
        """Respond with the period of the lease, or with 404 when it has ended."""
        lease = self.standin.store.keep_lease_alive(int(lease_id), time.monotonic())
        if lease is None:
            self.send_json({}, 404)
            return
        self.send_json({"ttl_ms": lease.ttl_seconds * 1000})


class LeaseRevocationHandler(StoreHandler):
    """Handles the revocation of leases."""

    def delete(self, lease_id: str) -> None:
        """Revoke a lease; respond with 404 when it has already ended."""
        try:
            self.standin.store.revoke_lease(int(lease_id), time.monotonic())
        except LeaseNotFound:
            self.send_json({}, 404)
            return
        self.send_json({})
