"""Client of the platform's key-value service over the HTTP/JSON API of etcd v3."""

import json
from collections.abc import Sequence
from enum import Enum
from http import HTTPStatus
from typing import Any, TypeVar

from pydantic import BaseModel
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPTimeoutError, SimpleAsyncHTTPClient

from cactuspass._etcd_messages import (
    KeepAliveAnswer,
    LeaseAnswer,
    RevokeAnswer,
    TransactionAnswer,
    read_request,
    snapshot_of,
    write_request,
    write_result_of,
)
from cactuspass._platform import LeaseId, Platform, Snapshot, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformError, PlatformUnavailable
from cactuspass.settings import Address

MAX_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

# Prefixes of Tornado's timeout messages; only the text shows that no connection was made.
UNSENT_TIMEOUT_PREFIXES = ("Timeout while connecting", "Timeout in request queue")

AnswerT = TypeVar("AnswerT", bound=BaseModel)


class _Effect(Enum):
    """Effect of a call on the store.

    A failed READ call may be repeated at another address unless the service refused it. The
    renewal of a lease counts as READ.
    """

    READ = "read"
    WRITE = "write"


class EtcdPlatform(Platform):
    """Client of the service at one of several addresses.

    If an address fails, a read is repeated at the next one. A write is repeated only if no
    byte of it was sent, since any later failure leaves its outcome unknown.

    :param addresses: addresses of the service, in order of preference.
    :param timeout: maximum duration of one call at one address, in seconds.
    """

    def __init__(self, addresses: Sequence[Address], timeout: float) -> None:
        self._addresses = tuple(addresses)
        self._timeout = timeout
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONNECTIONS, max_body_size=MAX_RESPONSE_BYTES
        )

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys at one revision, in one call."""
        request = read_request(keys, keys_only)
        answer = await self._call("kv/txn", request, _Effect.READ, TransactionAnswer)
        try:
            return snapshot_of(keys, answer, keys_only)
        except ValueError as error:
            raise PlatformError(f"answer of the store is malformed: {error}") from error

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes in one call, or none if a key is not at its expected revision."""
        request = write_request(writes)
        answer = await self._call("kv/txn", request, _Effect.WRITE, TransactionAnswer)
        try:
            return write_result_of(writes, answer)
        except ValueError as error:
            raise OutcomeUnknown(f"answer of the store is malformed: {error}") from error

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that ends after the given time unless it is renewed."""
        request = {"TTL": str(seconds)}
        answer = await self._call("lease/grant", request, _Effect.WRITE, LeaseAnswer)
        return LeaseId(answer.id)

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease."""
        request = {"ID": str(lease)}
        answer = await self._call("lease/keepalive", request, _Effect.READ, KeepAliveAnswer)
        return float(answer.result.ttl)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        await self._call("lease/revoke", {"ID": str(lease)}, _Effect.WRITE, RevokeAnswer)

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self, path: str, message: dict[str, Any], effect: _Effect, answer_type: type[AnswerT]
    ) -> AnswerT:
        failures: list[PlatformError] = []
        for address in self._addresses:
            try:
                body = await self._post(address, path, message, effect)
                return _parse(body, effect, answer_type)
            except PlatformUnavailable as error:
                failures.append(error)
        reasons = "; ".join(map(str, failures))
        raise PlatformUnavailable(reasons) from ExceptionGroup("no address answered", failures)

    async def _post(
        self, address: Address, path: str, message: dict[str, Any], effect: _Effect
    ) -> bytes:
        request = HTTPRequest(
            f"http://{address}/v3/{path}",
            method="POST",
            headers={"Content-Type": "application/json"},
            body=json.dumps(message, separators=(",", ":")),
            connect_timeout=self._timeout,
            request_timeout=self._timeout,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError) as error:
            raise _to_platform_error(address, error, effect) from error
        return response.body


def _parse(body: bytes, effect: _Effect, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return answer_type.model_validate_json(body)
    except ValueError as error:
        failure = PlatformUnavailable if effect is _Effect.READ else OutcomeUnknown
        raise failure(f"answer of the store is malformed: {error}") from error


def _to_platform_error(
    address: Address, error: HTTPClientError | OSError, effect: _Effect
) -> PlatformError:
    text = f"{address}: {error}"
    if _is_refused(error):
        return PlatformError(text)
    if effect is _Effect.READ or _is_unsent(error):
        return PlatformUnavailable(text)
    return OutcomeUnknown(text)


def _is_refused(error: HTTPClientError | OSError) -> bool:
    """Return whether the service refused the call.

    A 5xx status may come from a proxy and does not show what the service did.
    """
    if not isinstance(error, HTTPClientError):
        return False
    if error.code == HTTPStatus.REQUEST_TIMEOUT:
        return False
    return HTTPStatus.BAD_REQUEST <= error.code < HTTPStatus.INTERNAL_SERVER_ERROR


def _is_unsent(error: HTTPClientError | OSError) -> bool:
    """Return whether the call failed before any byte of the request was sent."""
    if isinstance(error, HTTPTimeoutError):
        return str(error.message).startswith(UNSENT_TIMEOUT_PREFIXES)
    return isinstance(error, ConnectionRefusedError)
