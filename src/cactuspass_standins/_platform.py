"""Stand-in of the platform's key-value service: a subset of the etcd v3 JSON API, with faults."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

from cactuspass_standins._key_value_store import (
    KeyValueStore,
    LeaseNotFound,
    Request,
    StoreError,
    StoreState,
    Transaction,
)
from cactuspass_standins._platform_codec import (
    decode_delete,
    decode_put,
    decode_range,
    decode_transaction,
    encode_header,
    encode_result,
    encode_transaction,
)
from cactuspass_standins._stand_in import Json, Route, StandIn, StandInHandler, abort_connection

GRPC_NOT_FOUND = 5
GRPC_INVALID_ARGUMENT = 3
MAX_REQUEST_BYTES = 1_572_864


class Platform(StandIn):
    """The key-value service with fault controls and counters."""

    def __init__(self, name: str = "platform", store: KeyValueStore | None = None) -> None:
        super().__init__(name)
        self.store = store or KeyValueStore()
        self.delay = 0.0
        self.is_aborting = False
        self.held_writes = 0
        self._writes_released = asyncio.Event()
        self._writes_released.set()
        self._responses_to_drop = 0
        self._snapshots_by_name: dict[str, StoreState] = {}
        self.reads_by_second: Counter[int] = Counter()
        self.writes_by_second: Counter[int] = Counter()
        self.answers_lost = 0
        self.controls_by_name |= {
            "outage": self.outage,
            "end_outage": self.end_outage,
            "slow": self.slow,
            "hold_writes": self.hold_writes,
            "release_writes": self.release_writes,
            "lose_next_answers": self.lose_next_answers,
            "snapshot": self.snapshot,
            "restore": self.restore,
        }

    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""
        return [(r"/v3/([a-z/]+)", CallHandler)]

    def counts(self) -> Json:
        """Return all counters by name."""
        return {
            "reads": self.reads_by_second.total(),
            "writes": self.writes_by_second.total(),
            "peak_reads_per_second": max(self.reads_by_second.values(), default=0),
            "peak_writes_per_second": max(self.writes_by_second.values(), default=0),
            "answers_lost": self.answers_lost,
            "held_writes": self.held_writes,
            "revision": self.store.revision,
        }

    def outage(self, seconds: float = 0.0, refuse: bool = True) -> None:
        """Start an outage, until :meth:`end_outage` or for a limited time.

        :param seconds: duration; 0 for no limit.
        :param refuse: whether connections are refused; else each call's connection is aborted.
        """
        if refuse:
            self.kill(seconds)
            return
        self.is_aborting = True
        if seconds:
            self._call_later(seconds, self.end_outage)

    def end_outage(self) -> None:
        """End an outage."""
        self.is_aborting = False
        self.revive()

    def slow(self, seconds: float) -> None:
        """Delay each call before it takes effect; 0 seconds ends the delay."""
        self.delay = seconds

    def hold_writes(self) -> None:
        """Hold each call that may write, before it takes effect, until :meth:`release_writes`."""
        self._writes_released.clear()

    def release_writes(self) -> None:
        """Let the held calls continue."""
        self._writes_released.set()

    async def wait_to_write(self) -> None:
        """Wait while calls that may write are held."""
        self.held_writes += 1
        try:
            await self._writes_released.wait()
        finally:
            self.held_writes -= 1

    def lose_next_answers(self, count: int = 1) -> None:
        """Let the next writes take effect but abort their connections before the response."""
        self._responses_to_drop += count

    def snapshot(self, name: str = "") -> None:
        """Store a copy of the current state under a name."""
        self._snapshots_by_name[name] = self.store.snapshot()

    def restore(self, name: str = "") -> None:
        """Return to a stored state, including its revision.

        :raises KeyError: when no state is stored under the name.
        """
        self.store.restore(self._snapshots_by_name[name])

    def consume_response_loss(self, is_write: bool) -> bool:
        """Return whether to drop the current call's response, and count it if so."""
        is_dropped = is_write and self._responses_to_drop > 0
        self._responses_to_drop -= is_dropped
        self.answers_lost += is_dropped
        return is_dropped

    def count_call(self, is_write: bool) -> None:
        """Count a call in the current second."""
        calls_by_second = self.writes_by_second if is_write else self.reads_by_second
        calls_by_second[int(time.monotonic())] += 1


class CallHandler(StandInHandler):
    """Handles all calls of the service."""

    stand_in: Platform

    async def prepare(self) -> None:
        """Wait while the service is frozen or slow, and abort the connection during an outage."""
        await super().prepare()
        if self.stand_in.delay:
            await asyncio.sleep(self.stand_in.delay)
        if self.may_write():
            await self.stand_in.wait_to_write()
        if self.stand_in.is_aborting:
            abort_connection(self)
            self.finish()

    def may_write(self) -> bool:
        """Return whether the call may change the store."""
        if self.request.path.endswith("/kv/txn"):
            return decode_transaction(self.json_body()).may_write
        return not self.request.path.endswith("/kv/range")

    def post(self, path: str) -> None:
        """Run the call, and respond unless the response is to be dropped."""
        calls_by_path: dict[str, Callable[[Json], Json]] = {
            "kv/range": self.read_range,
            "kv/put": self.put_key,
            "kv/deleterange": self.delete_range,
            "kv/txn": self.run_transaction,
            "lease/grant": self.grant_lease,
            "lease/keepalive": self.keep_lease_alive,
            "lease/revoke": self.revoke_lease,
            "kv/lease/revoke": self.revoke_lease,
        }
        self.is_write = path != "kv/range"
        if path not in calls_by_path:
            self.refuse(HTTPStatus.NOT_FOUND, GRPC_NOT_FOUND, "Not Found")
            return
        try:
            self.call(calls_by_path[path])
        except LeaseNotFound as error:
            self.refuse(HTTPStatus.NOT_FOUND, GRPC_NOT_FOUND, str(error))
        except (StoreError, KeyError, TypeError, ValueError) as error:
            self.refuse(HTTPStatus.BAD_REQUEST, GRPC_INVALID_ARGUMENT, str(error))

    def call(self, run: Callable[[Json], Json]) -> None:
        """Run one call and send its response.

        :raises StoreError: when the request is too large or the store refuses it.
        """
        if len(self.request.body) > MAX_REQUEST_BYTES:
            raise StoreError("etcdserver: request is too large")
        response = run(self.json_body())
        self.stand_in.count_call(self.is_write)
        if self.stand_in.consume_response_loss(self.is_write):
            abort_connection(self)
            return
        self.write(response)

    def refuse(self, status: HTTPStatus, code: int, message: str) -> None:
        """Respond with an error in the format of the service.

        :param code: gRPC status code.
        """
        self.set_status(status)
        self.write({"error": message, "code": code, "message": message})

    def read_range(self, body: Json) -> Json:
        """Read keys."""
        return self.run_request(decode_range(body))

    def put_key(self, body: Json) -> Json:
        """Write a key."""
        return self.run_request(decode_put(body))

    def delete_range(self, body: Json) -> Json:
        """Delete keys."""
        return self.run_request(decode_delete(body))

    def run_request(self, request: Request) -> Json:
        """Run a single request."""
        store = self.stand_in.store
        result = store.run(Transaction((), (request,)), time.monotonic())
        return encode_result(result.results[0], store.revision)

    def run_transaction(self, body: Json) -> Json:
        """Run a transaction."""
        transaction, store = decode_transaction(body), self.stand_in.store
        self.is_write = transaction.may_write
        return encode_transaction(store.run(transaction, time.monotonic()), store.revision)

    def grant_lease(self, body: Json) -> Json:
        """Grant a lease."""
        lease_id = int(body.get("ID", 0))
        lease = self.stand_in.store.grant_lease(int(body["TTL"]), time.monotonic(), lease_id)
        return self.header() | {"ID": str(lease.lease_id), "TTL": str(lease.ttl_seconds)}

    def keep_lease_alive(self, body: Json) -> Json:
        """Keep a lease alive; the response has no TTL when the lease has expired."""
        lease_id = int(body["ID"])
        lease = self.stand_in.store.keep_lease_alive(lease_id, time.monotonic())
        period = {"TTL": str(lease.ttl_seconds)} if lease else {}
        return {"result": self.header() | {"ID": str(lease_id)} | period}

    def revoke_lease(self, body: Json) -> Json:
        """Delete a lease and its keys."""
        self.stand_in.store.revoke_lease(int(body["ID"]), time.monotonic())
        return self.header()

    def header(self) -> Json:
        """Return the header of a response."""
        return {"header": encode_header(self.stand_in.store.revision)}
