"""Client of the users' metadata store, which holds the shared state of all instances."""

import asyncio
import base64
import binascii
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from cactuspass._platform import KeyValue, LeaseId, Snapshot, Write, WriteResult
from cactuspass._revisions import era_of, make_revision, number_of
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
from cactuspass.platform import _names as names

CALL_TIMEOUT_SECONDS = 1.5
MAX_PAGES = 200
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
ERA_PATTERN = re.compile(r"[0-9]{1,9}")
LEASE_BITS = 64


@dataclass(frozen=True, slots=True)
class _Answer:
    """A response of the store.

    :param era: how often the store had been restored when it answered.
    """

    status: int
    body: dict[str, Any]
    era: int

    def revision(self, name: str) -> int:
        """Return the revision in a field of the body.

        :raises PlatformError: when it is no number of a change.
        """
        return _revision(self.body, name, self.era)

    def items(self, name: str) -> dict[str, KeyValue]:
        """Return the keys and values in a list of the body.

        :raises PlatformError: when the list or an item in it is invalid.
        """
        return {item.key: item for item in self.changes(name)}

    def changes(self, name: str) -> tuple[KeyValue, ...]:
        """Return the changes of keys in a list of the body, in order.

        :raises PlatformError: when the list or an item in it is invalid.
        """
        return tuple(_key_value(item, self.era) for item in _list(self.body, name))


class MetadataStore(SharedStore):
    """Implements the shared store with the metadata store's HTTP and JSON interface.

    Every response states the era of the store, which rises when it is restored from a copy. The
    numbers of its changes and leases are given out again then, so revisions and leases here have
    the era in them.

    :param address: ``host:port`` of the store.
    :param pool: connections to the store.
    """

    def __init__(self, address: str, pool: ConnectionPool, metrics: Metrics) -> None:
        self._address = address
        self._pool = pool
        self._metrics = metrics
        self._era = 0

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys with one call each; the revision is the lowest of all responses.

        :param keys_only: ignored; values are always read.
        """
        values_by_key: dict[str, KeyValue] = {}
        revisions: list[int] = []
        for key in keys:
            answer = await self._read_call("read", f"/kv-key?{urlencode({'key': key})}")
            is_missing = answer.status == 404
            values_by_key[key] = (
                KeyValue(key, None, 0) if is_missing else _key_value(answer.body, answer.era)
            )
            revisions.append(
                answer.revision("store_revision") if "store_revision" in answer.body else 0
            )
        return Snapshot(values_by_key, min(revisions, default=0))

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix, page by page.

        The revision is that of the first page; later changes may be missing.

        :raises PlatformUnavailable: when the store is restored between two pages.
        :raises PlatformError: when there are more than ``MAX_PAGES`` pages.
        """
        values_by_key: dict[str, KeyValue] = {}
        first: _Answer | None = None
        query = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            answer = await self._read_call("list", f"/kv-range?{urlencode(query)}")
            first = first or answer
            if answer.era != first.era:
                raise PlatformUnavailable(f"the store was restored while {prefix} was listed")
            items = answer.items("items")
            values_by_key.update(items)
            if not answer.body.get("has_more") or not items:
                return Snapshot(values_by_key, first.revision("store_revision"))
            query["after"] = next(reversed(items))
        raise PlatformError(f"more than {MAX_PAGES} pages under {prefix}")

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Wait for changes after a revision.

        :param wait: seconds after which the store responds without changes.
        :raises HistoryLost: when the store no longer has all changes after the revision.
        """
        era = era_of(after_revision)
        self._check_watched_era(era, self._era)
        query = urlencode(
            {
                "prefix": prefix,
                "after": number_of(after_revision),
                "wait_ms": max(1, int(wait * 1000)),
            }
        )
        answer = await self._read_call("watch", f"/kv-watch?{query}", wait)
        self._check_watched_era(era, answer.era)
        if answer.status == 410:
            raise HistoryLost(f"changes after revision {after_revision} are no longer kept")
        return Changes(answer.changes("events"), answer.revision("store_revision"))

    def _check_watched_era(self, watched: int, current: int) -> None:
        """Check that the store has not been restored since the revision that a watch starts from.

        :raises HistoryLost: when it has.
        """
        if watched < current:
            raise HistoryLost(f"the store was restored, its era is {current}")

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes in one call, or none when a key does not have its expected revision.

        :raises LeaseEnded: when the lease of a write has ended.
        """
        if any(self._is_from_earlier_era(write) for write in writes):
            # The store may have given the expected number to another change.
            return WriteResult(False, await self.read([write.key for write in writes]))
        if any(_lease_era(write.lease) < self._era for write in writes if write.lease is not None):
            raise LeaseEnded("the lease of a write is from before the store was restored")
        era = self._era
        call = {
            "precondition": [
                {"key": write.key, "revision": number_of(write.expected_mod_revision)}
                for write in writes
            ],
            "writes": [_write_row(write) for write in writes if write.value is not None],
            "deletes": [write.key for write in writes if write.value is None],
        }
        answer = await self._call("write", "POST", "/kv-txn", call)
        if answer.status == 404:
            raise LeaseEnded("the lease of a write has ended")
        if answer.status == 412:
            existing = answer.items("items")
            current = {
                write.key: existing.get(write.key, KeyValue(write.key, None, 0)) for write in writes
            }
            return WriteResult(False, Snapshot(current, 0))
        if answer.era != era and any(w.expected_mod_revision or w.lease for w in writes):
            raise OutcomeUnknown("the store was restored before a write that expected a revision")
        revision = answer.revision("revision")
        written = {
            write.key: KeyValue(write.key, write.value, 0 if write.value is None else revision)
            for write in writes
        }
        return WriteResult(True, Snapshot(written, revision))

    def _is_from_earlier_era(self, write: Write) -> bool:
        """Return whether a write expects a revision from before the store was restored."""
        expected = write.expected_mod_revision
        return expected != 0 and era_of(expected) < self._era

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease.

        :param seconds: time until the lease ends unless it is renewed.
        """
        answer = await self._call("grant", "POST", "/kv-lease", {"ttl_ms": seconds * 1000})
        return LeaseId(answer.era << LEASE_BITS | _int(answer.body, "lease"))

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease and return the seconds until it ends; 0 when it has already ended.

        A lease from before the store was restored counts as ended, since its number may have been
        given to another one.
        """
        if _lease_era(lease) < self._era:
            return 0.0
        answer = await self._call("renew", "POST", f"/kv-keep/{_lease_number(lease)}")
        has_ended = answer.status == 404 or _lease_era(lease) < answer.era
        return 0.0 if has_ended else _int(answer.body, "ttl_ms") / 1000

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys; one from before the store was restored is left."""
        if _lease_era(lease) >= self._era:
            await self._call("revoke", "DELETE", f"/kv-lease-end/{_lease_number(lease)}")

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _read_call(self, name: str, target: str, wait: float = 0.0) -> _Answer:
        """Send a request that changes nothing.

        :raises PlatformUnavailable: when the response is from before the store was restored.
        """
        answer = await self._call(name, "GET", target, wait=wait)
        if answer.era < self._era:
            raise PlatformUnavailable("the response is from before the store was restored")
        return answer

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        wait: float = 0.0,
    ) -> _Answer:
        """Send a request and count it by name and outcome.

        :param name: name of the call in the metrics.
        :param wait: seconds that the store may wait before it responds.
        :raises PlatformUnavailable: when the call had no effect.
        :raises OutcomeUnknown: when the call may have taken effect, or its effect may be lost.
        :raises PlatformError: when the store rejects the call or its response is invalid.
        """
        outcome = "failed"
        try:
            answer = await self._exchange(method, target, body, wait)
            outcome = str(answer.status)
        finally:
            self._metrics.store_calls.labels(name, outcome).inc()
        if answer.era > self._era:
            self._era = answer.era
            self._metrics.store_era.set(answer.era)
        if answer.era < self._era and method != "GET":
            raise OutcomeUnknown("the response is from before the store was restored")
        return answer

    async def _exchange(
        self, method: str, target: str, body: dict[str, Any] | None, wait: float
    ) -> _Answer:
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
        era = _parse_era(head.get(names.STORE_ERA.lower()))
        found = _parse_response(head.status, content)
        return _Answer(head.status, found, self._era if era is None else era)


def _parse_era(text: str | None) -> int | None:
    """Return the era that a response states; None if it states none that can be read."""
    is_number = text is not None and ERA_PATTERN.fullmatch(text.strip()) is not None
    return int(text) if text is not None and is_number else None


def _lease_era(lease: LeaseId) -> int:
    return lease >> LEASE_BITS


def _lease_number(lease: LeaseId) -> int:
    return lease & (1 << LEASE_BITS) - 1


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
    except (ValueError, RecursionError) as error:
        raise PlatformError(f"the store's response is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise PlatformError("the store's response is not a JSON object")
    return body


def _write_row(write: Write) -> dict[str, Any]:
    assert write.value is not None
    row: dict[str, Any] = {"key": write.key, "value": base64.b64encode(write.value).decode()}
    if write.lease is not None:
        row["lease"] = _lease_number(write.lease)
    return row


def _key_value(item: Any, era: int) -> KeyValue:
    """Return the key and value in an item of a list or watch; a deleted key has no value."""
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformError("an item in the store's response has no key")
    if item.get("deleted"):
        return KeyValue(item["key"], None, _revision(item, "revision", era))
    try:
        value = base64.b64decode(item.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise PlatformError(f"the value of {item['key']} is not base64: {error}") from error
    return KeyValue(item["key"], value, _revision(item, "revision", era))


def _int(body: dict[str, Any], name: str) -> int:
    value = body.get(name)
    if not isinstance(value, int):
        raise PlatformError(f"the store's response has no number {name!r}")
    return value


def _revision(body: dict[str, Any], name: str, era: int) -> int:
    try:
        return make_revision(era, _int(body, name))
    except ValueError as error:
        raise PlatformError(f"the store's response: {error}") from error


def _list(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name)
    if not isinstance(value, list):
        raise PlatformError(f"the store's response has no list {name!r}")
    return value
