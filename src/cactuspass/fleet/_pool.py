"""Connections by address, kept between requests."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cactuspass.exceptions import SendWithdrawn, UpstreamNotReached
from cactuspass.fleet._connections import (
    MAX_BODY_BYTES,
    AnswerHead,
    Connection,
    Exchange,
    Header,
    IdCheck,
)

CONNECT_TIMEOUT_SECONDS = 0.25
KEEP_ALIVE_SHARE = 0.7
MAX_IDLE_PER_ADDRESS = 32


def always() -> bool:
    """Return that a request may still go."""
    return True


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes on the wire, but for its framing.

    :param check: header by which the answer must name the request, if it names one.
    """

    method: str
    target: str
    headers: Sequence[Header]
    body: bytes = b""
    check: IdCheck | None = None

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


class ConnectionPool:
    """Opens connections by address and keeps idle ones.

    :param connect_timeout: seconds to wait for a new connection.
    """

    def __init__(self, connect_timeout: float = CONNECT_TIMEOUT_SECONDS) -> None:
        self._connect_timeout = connect_timeout
        self._idle_by_address: dict[str, list[Connection]] = {}
        self.opened_count = 0

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.abort()
        self._idle_by_address.clear()

    async def send_request(
        self,
        address: str,
        request: OutgoingRequest,
        max_idle: float | None = None,
        may_go: Callable[[], bool] = always,
    ) -> "PooledExchange":
        """Send a request on an idle connection or a new one.

        :param max_idle: seconds that a reused connection may have been idle at most; with 0 a new
            one is opened, and the idle ones stay.
        :param may_go: asked once there is a connection, whether the request may still be sent.
        :raises SendWithdrawn: when it may not; no byte has left.
        :raises UpstreamNotReached: when no byte of the request has left.
        """
        lot = self._idle_by_address.setdefault(address, [])
        reused = self._take_idle(lot, max_idle) if max_idle != 0 else None
        connection = reused or await self._connect(address)
        if not may_go():
            self.release(address, lot, connection)
            raise SendWithdrawn(f"{address} takes no request any more")
        exchange = connection.send_request(
            request.encode(), request.check, request.method == "HEAD"
        )
        return PooledExchange(self, lot, address, connection, exchange)

    def _take_idle(self, idle: list[Connection], max_idle: float | None) -> Connection | None:
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit = connection.keep_alive_seconds * KEEP_ALIVE_SHARE
            limit = limit if max_idle is None else min(limit, max_idle)
            if connection.is_available and now - connection.idle_since <= limit:
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                _, connection = await loop.create_connection(Connection, host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            detail = f"{address} cannot be reached: {error or type(error).__name__}"
            raise UpstreamNotReached(detail) from error
        self.opened_count += 1
        return connection

    def release(self, address: str, lot: list[Connection], connection: Connection) -> None:
        """Keep a connection whose exchange has ended, if it may be used again.

        :param lot: idle connections of the address as its exchange began; others have taken their
            place when the address has been forgotten meanwhile.
        """
        is_known = self._idle_by_address.get(address) is lot
        if is_known and connection.is_available and len(lot) < MAX_IDLE_PER_ADDRESS:
            lot.append(connection)
        else:
            connection.abort()

    def close_address(self, address: str) -> None:
        """Close the connections of an address as they become idle, and those that are."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()


class PooledExchange:
    """An exchange whose connection returns to its pool at the end."""

    def __init__(
        self,
        pool: ConnectionPool,
        lot: list[Connection],
        address: str,
        connection: Connection,
        exchange: Exchange,
    ) -> None:
        self._pool = pool
        self._lot = lot
        self._address = address
        self._connection: Connection | None = connection
        self._exchange = exchange

    async def read_head(self) -> AnswerHead:
        """Return the head of the answer.

        :raises RunOutcomeUnknown: when the connection broke before the head was whole.
        """
        return await self._exchange.read_head()

    async def read_chunk(self) -> bytes:
        """Return the next part of the body; empty at its end.

        :raises AnswerCut: when the connection broke before the end.
        """
        chunk = await self._exchange.read_chunk()
        if not chunk:
            self._release()
        return chunk

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body.

        :param max_bytes: bytes above which the answer is given up.
        :raises AnswerOversize: when the body is larger.
        :raises AnswerCut: when the connection broke before the end.
        """
        body = await self._exchange.read_body(max_bytes)
        self._release()
        return body

    def abort(self) -> None:
        """Close the connection unless the answer has ended."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _release(self) -> None:
        if self._connection is not None:
            self._pool.release(self._address, self._lot, self._connection)
            self._connection = None
