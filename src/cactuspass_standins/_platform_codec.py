"""Encoding of the store's requests and results in the etcd v3 JSON API.

Bytes are base64-encoded, 64-bit numbers are strings, and fields with a zero value are omitted.
"""

import base64
from collections.abc import Callable
from typing import Any

from cactuspass_standins._key_value_store import (
    Compare,
    Comparison,
    DeleteRequest,
    DeleteResult,
    KeyValue,
    PutRequest,
    RangeRequest,
    RangeResult,
    Request,
    Result,
    Target,
    Transaction,
    TransactionResult,
)
from cactuspass_standins._stand_in import Json


def decode_range(body: Json) -> RangeRequest:
    """Decode a range request."""
    return RangeRequest(
        key=_bytes(body, "key"),
        range_end=_bytes(body, "range_end"),
        limit=int(body.get("limit", 0)),
        keys_only=bool(body.get("keys_only", False)),
        count_only=bool(body.get("count_only", False)),
    )


def decode_put(body: Json) -> PutRequest:
    """Decode a put request."""
    return PutRequest(_bytes(body, "key"), _bytes(body, "value"), int(body.get("lease", 0)))


def decode_delete(body: Json) -> DeleteRequest:
    """Decode a delete request."""
    return DeleteRequest(_bytes(body, "key"), _bytes(body, "range_end"))


DECODERS_BY_NAME: dict[str, Callable[[Json], Request]] = {
    "request_range": decode_range,
    "request_put": decode_put,
    "request_delete_range": decode_delete,
}


def decode_transaction(body: Json) -> Transaction:
    """Decode a transaction.

    :raises KeyError: when a comparison operator or target is unknown.
    :raises ValueError: when a request is unknown or a field is invalid.
    """
    return Transaction(
        compare=tuple(_decode_compare(item) for item in body.get("compare", [])),
        success=tuple(_decode_request(item) for item in body.get("success", [])),
        failure=tuple(_decode_request(item) for item in body.get("failure", [])),
    )


def encode_header(revision: int) -> Json:
    """Return the header that every response contains."""
    return {"cluster_id": "1", "member_id": "1", "revision": str(revision), "raft_term": "1"}


def encode_transaction(result: TransactionResult, revision: int) -> Json:
    """Return the response to a transaction."""
    responses = [_encode_response(item, revision) for item in result.results]
    return _without_zeros(
        {
            "header": encode_header(revision),
            "succeeded": result.succeeded,
            "responses": responses,
        }
    )


def encode_result(result: Result, revision: int) -> Json:
    """Return the response to a single request."""
    response: Json = {"header": encode_header(revision)}
    if isinstance(result, RangeResult):
        response["kvs"] = [_encode_pair(pair) for pair in result.pairs]
        response["more"] = len(result.pairs) < result.count and bool(result.pairs)
        response["count"] = result.count
    if isinstance(result, DeleteResult):
        response["deleted"] = result.deleted
    return _without_zeros(response)


def _encode_response(result: Result, revision: int) -> Json:
    names = {RangeResult: "response_range", DeleteResult: "response_delete_range"}
    return {names.get(type(result), "response_put"): encode_result(result, revision)}


def _encode_pair(pair: KeyValue) -> Json:
    return _without_zeros(
        {
            "key": base64.b64encode(pair.key).decode(),
            "create_revision": pair.create_revision,
            "mod_revision": pair.mod_revision,
            "version": pair.version,
            "value": base64.b64encode(pair.value).decode(),
            "lease": pair.lease,
        }
    )


def _without_zeros(fields: Json) -> Json:
    kept = {name: value for name, value in fields.items() if value}
    return {name: str(value) if type(value) is int else value for name, value in kept.items()}


def _decode_request(body: Json) -> Request:
    ((name, fields),) = body.items()
    if name not in DECODERS_BY_NAME:
        raise ValueError(f"unknown request {name}")
    return DECODERS_BY_NAME[name](fields)


def _decode_compare(body: Json) -> Compare:
    target = Target[body.get("target", "VERSION")]
    return Compare(
        key=_bytes(body, "key"),
        target=target,
        result=Comparison[body.get("result", "EQUAL")],
        operand=_decode_operand(body, target),
    )


def _decode_operand(body: Json, target: Target) -> int | bytes:
    if target is Target.VALUE:
        return _bytes(body, "value")
    return int(body.get(target.value, 0))


def _bytes(body: Json, name: str) -> bytes:
    text: Any = body.get(name, "")
    return base64.b64decode(text)
