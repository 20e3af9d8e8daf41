"""Client of the users' metadata store, which holds the shared state of all instances."""

import asyncio
import base64
import binascii
import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from cactuspass._platform import KeyValue, LeaseId, Snapshot, Write, WriteResult
from cactuspass.exceptions import (
    AnswerCut,
    OutcomeUnknown,
    PlatformError,
    PlatformUnavailable,
    RunOutcomeUnknown,
    UpstreamNotReached,
)
from cactuspass.fleet import (
    Changes,
    ConnectionPool,
    HistoryLost,
    LeaseEnded,
    Metrics,
    OutgoingRequest,
    SharedStore,
)

CALL_TIMEOUT_SECONDS = 1.5
MAX_PAGES = 200
MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class MetadataStore(SharedStore):
    """Implements the shared store with the metadata store's HTTP and JSON interface.

    :param address: ``host:port`` of the store.
    :param pool: connections to the store.
    """

    def __init__(self, address: str, pool: ConnectionPool, metrics: Metrics) -> None:
        self._address = address
        self._pool = pool
        self._metrics = metrics

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys with one call each; the revision is the lowest of all responses.

        :param keys_only: ignored; values are always read.
        """
        values_by_key: dict[str, KeyValue] = {}
        revisions: list[int] = []
        for key in keys:
            status, body = await self._call("read", "GET", f"/kv-key?{urlencode({'key': key})}")
            values_by_key[key] = KeyValue(key, None, 0) if status == 404 else _key_value(body)
            revisions.append(_int(body, "store_revision") if "store_revision" in body else 0)
        return Snapshot(values_by_key, min(revisions, default=0))

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix, page by page.

        The revision is that of the first page; later changes may be missing.

        :raises PlatformError: when there are more than ``MAX_PAGES`` pages.
        """
        values_by_key: dict[str, KeyValue] = {}
        revision: int | None = None
        query = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            _, body = await self._call("list", "GET", f"/kv-range?{urlencode(query)}")
            items = [_key_value(item) for item in _list(body, "items")]
            values_by_key.update((item.key, item) for item in items)
            revision = _int(body, "store_revision") if revision is None else revision
            if not body.get("has_more") or not items:
                return Snapshot(values_by_key, revision)
            query["after"] = items[-1].key
        raise PlatformError(f"more than {MAX_PAGES} pages under {prefix}")

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Wait for changes after a revision.

        :param wait: seconds after which the store responds without changes.
        :raises HistoryLost: when the store no longer has all changes after the revision.
        """
        query = urlencode(
            {"prefix": prefix, "after": after_revision, "wait_ms": max(1, int(wait * 1000))}
        )
        status, body = await self._call("watch", "GET", f"/kv-watch?{query}", wait=wait)
        if status == 410:
            raise HistoryLost(f"changes after revision {after_revision} are no longer kept")
        changed = tuple(_key_value(event) for event in _list(body, "events"))
        return Changes(changed, _int(body, "store_revision"))

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes in one call, or none when a key does not have its expected revision.

        :raises LeaseEnded: when the lease of a write has ended.
        """
        call = {
            "precondition": [
                {"key": write.key, "revision": write.expected_mod_revision} for write in writes
            ],
            "writes": [_write_row(write) for write in writes if write.value is not None],
            "deletes": [write.key for write in writes if write.value is None],
        }
        status, body = await self._call("write", "POST", "/kv-txn", call)
        if status == 404:
            raise LeaseEnded("the lease of a write has ended")
        if status == 412:
            existing = {item.key: item for item in map(_key_value, _list(body, "items"))}
            current = {
                write.key: existing.get(write.key, KeyValue(write.key, None, 0)) for write in writes
            }
            return WriteResult(False, Snapshot(current, 0))
        revision = _int(body, "revision")
        written = {
            write.key: KeyValue(write.key, write.value, 0 if write.value is None else revision)
            for write in writes
        }
        return WriteResult(True, Snapshot(written, revision))

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease.

        :param seconds: time until the lease ends unless it is renewed.
        """
        _, body = await self._call("grant", "POST", "/kv-lease", {"ttl_ms": seconds * 1000})
        return LeaseId(_int(body, "lease"))

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease and return the seconds until it ends; 0 when it has already ended."""
        status, body = await self._call("renew", "POST", f"/kv-keep/{lease}")
        return 0.0 if status == 404 else _int(body, "ttl_ms") / 1000

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call("revoke", "DELETE", f"/kv-lease-end/{lease}")

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        wait: float = 0.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a request and count it by name and outcome.

        :param name: name of the call in the metrics.
        :param wait: seconds that the store may wait before it responds.
        :return: status and body of the response.
        :raises PlatformUnavailable: when the call had no effect.
        :raises OutcomeUnknown: when the call may have taken effect.
        :raises PlatformError: when the store rejects the call or its response is invalid.
        """
        outcome = "failed"
        try:
            result = await self._exchange(method, target, body, wait)
            outcome = str(result[0])
            return result
        finally:
            self._metrics.store_calls.labels(name, outcome).inc()

    async def _exchange(
        self, method: str, target: str, body: dict[str, Any] | None, wait: float
    ) -> tuple[int, dict[str, Any]]:
        headers = [("Host", self._address), ("Accept", "application/json")]
        payload = b""
        if body is not None:
            payload = json.dumps(body).encode()
            headers.append(("Content-Type", "application/json"))
        request = OutgoingRequest(method, target, headers, payload)
        exchange = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS + wait):
                exchange = await self._pool.send_request(self._address, request)
                head = await exchange.read_head()
                content = await exchange.read_body(MAX_RESPONSE_BYTES)
        except UpstreamNotReached as error:
            raise PlatformUnavailable(str(error)) from error
        except (RunOutcomeUnknown, AnswerCut, TimeoutError) as error:
            detail = f"no answer to {method} {target.partition('?')[0]}: {error or 'timeout'}"
            raise OutcomeUnknown(detail) from error
        finally:
            if exchange is not None:
                exchange.abort()
        return head.status, _parse_response(head.status, content)


def _parse_response(status: int, content: bytes) -> dict[str, Any]:
    """Return the JSON object in a response; an empty one when the response has no body.

    :raises PlatformUnavailable: when the status is 429 or 503.
    :raises PlatformError: when the status is unexpected or the body is not a JSON object.
    """
    if status in (429, 503):
        raise PlatformUnavailable(f"the store refused the call with {status}")
    if status not in (200, 404, 410, 412):
        raise PlatformError(f"the store answered {status}: {content[:200]!r}")
    if not content and status != 200:
        return {}
    try:
        body = json.loads(content) if content else {}
    except ValueError as error:
        raise PlatformError(f"the store's response is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise PlatformError("the store's response is not a JSON object")
    return body


def _write_row(write: Write) -> dict[str, Any]:
    assert write.value is not None
    row: dict[str, Any] = {"key": write.key, "value": base64.b64encode(write.value).decode()}
    if write.lease is not None:
        row["lease"] = write.lease
    return row


def _key_value(item: Any) -> KeyValue:
    """Return the key and value in an item of a list or watch; a deleted key has no value."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformError("an item in the store's response has no key")
    if item.get("deleted"):
        return KeyValue(item["key"], None, _int(item, "revision"))
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise PlatformError(f"the value of {item['key']} is not base64: {error}") from error
    return KeyValue(item["key"], value, _int(item, "revision"))


def _int(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if not isinstance(value, int):
        raise PlatformError(f"the store's response has no number {name!r}")
    return value


def _list(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name)
    if not isinstance(value, list):
        raise PlatformError(f"the store's response has no list {name!r}")
    return value
