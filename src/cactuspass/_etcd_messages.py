"""Requests and responses of the HTTP/JSON API of etcd v3."""

from base64 import b64decode, b64encode
from collections.abc import Sequence
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from cactuspass._platform import KeyValue, Snapshot, Write, WriteResult


class _Message(BaseModel):
    model_config = ConfigDict(extra="ignore")


class Header(_Message):
    """Header of each response; the service leaves out fields that are zero."""

    revision: int = 0


class StoredKey(_Message):
    """A key and its value, both in base64."""

    key: str
    value: str = ""
    mod_revision: int = 0


class RangeAnswer(_Message):
    """Response to a range request."""

    kvs: tuple[StoredKey, ...] = ()


class OperationAnswer(_Message):
    """Response to one operation of a transaction."""

    response_range: RangeAnswer | None = None


class TransactionAnswer(_Message):
    """Response to a transaction.

    :param succeeded: whether all comparisons of the transaction held.
    """

    header: Header = Field(default_factory=Header)
    succeeded: bool = False
    responses: tuple[OperationAnswer, ...] = ()


class LeaseAnswer(_Message):
    """Response to the creation of a lease."""

    id: int = Field(alias="ID")


class KeepAliveResult(_Message):
    """Remaining time of a lease in seconds; 0 if it has ended."""

    ttl: int = Field(default=0, alias="TTL")


class KeepAliveAnswer(_Message):
    """Response to the renewal of a lease."""

    result: KeepAliveResult = Field(default_factory=KeepAliveResult)


class RevokeAnswer(_Message):
    """Response to the revocation of a lease."""

    header: Header = Field(default_factory=Header)


def read_request(keys: Sequence[str], keys_only: bool) -> dict[str, Any]:
    """Return the transaction that reads all keys."""
    return {"compare": [], "success": _range_requests(keys, keys_only), "failure": []}


def write_request(writes: Sequence[Write]) -> dict[str, Any]:
    """Return the transaction that makes all writes, or reads all keys if one has changed."""
    return {
        "compare": [_comparison(write) for write in writes],
        "success": [_write_operation(write) for write in writes],
        "failure": _range_requests([write.key for write in writes], keys_only=False),
    }


def snapshot_of(keys: Sequence[str], answer: TransactionAnswer, keys_only: bool) -> Snapshot:
    """Return the keys that a transaction of range requests read.

    :param keys: requested keys, in the order of the operations.
    :raises ValueError: if the response does not match the request.
    """
    pairs = zip(keys, answer.responses, strict=True)
    values_by_key = {key: _key_value(key, operation, keys_only) for key, operation in pairs}
    return Snapshot(values_by_key, answer.header.revision)


def write_result_of(writes: Sequence[Write], answer: TransactionAnswer) -> WriteResult:
    """Return the outcome of a transaction of writes.

    :raises ValueError: if the response does not match the request.
    """
    if not answer.succeeded:
        keys = [write.key for write in writes]
        return WriteResult(False, snapshot_of(keys, answer, keys_only=False))
    revision = answer.header.revision
    values_by_key = {write.key: _written_key(write, revision) for write in writes}
    return WriteResult(True, Snapshot(values_by_key, revision))


def _written_key(write: Write, revision: int) -> KeyValue:
    return KeyValue(write.key, write.value, 0 if write.value is None else revision)


def _key_value(key: str, operation: OperationAnswer, keys_only: bool) -> KeyValue:
    if operation.response_range is None:
        raise ValueError("transaction answered another operation than a range")
    stored = next(iter(operation.response_range.kvs), None)
    if stored is None:
        return KeyValue(key, None, 0)
    if _decode(stored.key).decode("utf-8") != key:
        raise ValueError("transaction answered another key")
    return KeyValue(key, None if keys_only else _decode(stored.value), stored.mod_revision)


def _range_requests(keys: Sequence[str], keys_only: bool) -> list[dict[str, Any]]:
    options = {"keys_only": True} if keys_only else {}
    return [{"request_range": {"key": _encode(key.encode("utf-8")), **options}} for key in keys]


def _comparison(write: Write) -> dict[str, str]:
    return {
        "key": _encode(write.key.encode("utf-8")),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(write.expected_mod_revision),
    }


def _write_operation(write: Write) -> dict[str, Any]:
    key = _encode(write.key.encode("utf-8"))
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    lease = {} if write.lease is None else {"lease": str(write.lease)}
    return {"request_put": {"key": key, "value": _encode(write.value), **lease}}


def _encode(data: bytes) -> str:
    return b64encode(data).decode("ascii")


def _decode(text: str) -> bytes:
    return b64decode(text, validate=True)
