"""A pool of keep-alive connections, by address."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cactuspass._lingering import reset_at_close
from cactuspass.exceptions import SendWithdrawn, UpstreamNotReached
from cactuspass.fleet._answer_head import AnswerHead, Header, IdCheck
from cactuspass.fleet._connections import Connection
from cactuspass.fleet._exchange import MAX_BODY_BYTES, TURN_BYTES, Exchange

CONNECT_TIMEOUT_SECONDS = 0.25
KEEP_ALIVE_TIMEOUT_SHARE = 0.7
MAX_IDLE_PER_ADDRESS = 32
# Larger bodies are not copied to be sent with the head.
MAX_JOINED_BYTES = 65_536


def always() -> bool:
    """Return True: the default check of :meth:`ConnectionPool.send_request`."""
    return True


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to an upstream or to the store, without its framing.

    :param check: header by which the response identifies the request; a response with another value
        is skipped.
    """

    method: str
    target: str
    headers: Sequence[Header]
    body: bytes = b""
    check: IdCheck | None = None

    def encode(self) -> bytes:
        """Return the request as bytes, including its framing."""
        return self.encode_head() + self.body

    def encode_head(self) -> bytes:
        """Return the head as bytes, with the framing of the body."""
        lines = [f"{self.method} {self.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.body or self.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse, by address.

    :param connect_timeout: timeout in seconds for opening a connection.
    :param discard_unsent_after: seconds after which the kernel gives up bytes that the other side
        has not acknowledged, for requests that must not arrive late. They are then also given up
        when the connection is closed. None leaves both to the kernel's defaults.
    """

    def __init__(
        self,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        discard_unsent_after: float | None = None,
    ) -> None:
        self._connect_timeout = connect_timeout
        self._discard_unsent_after = discard_unsent_after
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
        may_send: Callable[[], bool] = always,
    ) -> "PooledExchange":
        """Send a request on an idle connection or a new one.

        :param max_idle: maximum seconds that a reused connection may have been idle; 0 opens a new
            connection and leaves the idle ones open.
        :param may_send: called after a connection was obtained; returns whether the request may
            still be sent.
        :raises SendWithdrawn: if it may not be sent any more; no byte was sent.
        :raises UpstreamNotReached: if the connection failed; no byte was sent.
        """
        idle = self._idle_by_address.setdefault(address, [])
        reused = self._take_idle(idle, max_idle) if max_idle != 0 else None
        connection = reused or await self._connect(address)
        if not may_send():
            self.release(address, idle, connection)
            raise SendWithdrawn(f"{address} no longer accepts requests")
        is_large = len(request.body) > MAX_JOINED_BYTES
        exchange = connection.send_request(
            request.encode_head() if is_large else request.encode(),
            request.check,
            request.method == "HEAD",
            request.body if is_large else b"",
        )
        return PooledExchange(self, idle, address, connection, exchange)

    def has_idle(self, address: str) -> bool:
        """Return whether an open connection to an address waits for a request."""
        return any(connection.is_available for connection in self._idle_by_address.get(address, ()))

    def _take_idle(self, idle: list[Connection], max_idle: float | None) -> Connection | None:
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit = connection.keep_alive_seconds * KEEP_ALIVE_TIMEOUT_SHARE
            limit = limit if max_idle is None else min(limit, max_idle)
            is_recent = now - connection.idle_since <= limit
            if is_recent and connection.is_available and not connection.has_unread_input:
                return connection
            connection.abort()
        return None

    async def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                transport, connection = await loop.create_connection(Connection, host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            detail = f"cannot connect to {address}: {error or type(error).__name__}"
            raise UpstreamNotReached(detail) from error
        self.opened_count += 1
        if self._discard_unsent_after is not None:
            opened: socket.socket = transport.get_extra_info("socket")
            reset_at_close(opened)
            milliseconds = int(self._discard_unsent_after * 1000)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        return connection

    async def is_reachable(self, address: str) -> bool:
        """Return whether a connection to an address can be opened, and keep it for reuse."""
        idle = self._idle_by_address.setdefault(address, [])
        try:
            connection = await self._connect(address)
        except UpstreamNotReached:
            return False
        self.release(address, idle, connection)
        return True

    def release(self, address: str, idle: list[Connection], connection: Connection) -> None:
        """Return a connection to the pool after its exchange, or close it.

        :param idle: list of idle connections of the address when the exchange started; the
            connection is closed if close_address() has since removed that list.
        """
        is_current = self._idle_by_address.get(address) is idle
        if is_current and connection.is_available and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.abort()

    def close_address(self, address: str) -> None:
        """Close the idle connections of an address, and the others when they become idle."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()


class PooledExchange:
    """An exchange whose connection is returned to its pool at the end."""

    def __init__(
        self,
        pool: ConnectionPool,
        idle: list[Connection],
        address: str,
        connection: Connection,
        exchange: Exchange,
    ) -> None:
        self._pool = pool
        self._idle = idle
        self._address = address
        self._connection: Connection | None = connection
        self._exchange = exchange

    async def read_head(self) -> AnswerHead:
        """Return the head of the response.

        :raises RunOutcomeUnknown: if the connection is lost before the head is complete.
        """
        return await self._exchange.read_head()

    async def read_chunk(self, max_bytes: int = TURN_BYTES) -> bytes:
        """Return the next part of the body, or empty bytes at its end.

        :param max_bytes: largest size of the part.
        :raises AnswerCut: if the connection is lost before the end.
        """
        chunk = await self._exchange.read_chunk(max_bytes)
        if not chunk:
            self._release_connection()
        return chunk

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body. A cancelled call can be repeated without losing data.

        :param max_bytes: size above which reading is aborted.
        :raises AnswerOversize: if the body is larger.
        :raises AnswerCut: if the connection is lost before the end.
        """
        body = await self._exchange.read_body(max_bytes)
        self._release_connection()
        return body

    @property
    def may_be_recalled(self) -> bool:
        """Whether an answer is expected on the connection and the upstream has not closed it."""
        return self._connection is not None and self._connection.is_waiting

    def abort(self) -> None:
        """Close the connection unless the response has ended."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _release_connection(self) -> None:
        if self._connection is not None:
            self._pool.release(self._address, self._idle, self._connection)
            self._connection = None
