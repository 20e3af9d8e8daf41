"""Connection to a peer: handshake, sending and receiving typed messages."""

import asyncio
import hmac
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from websockets.exceptions import ConnectionClosed

from cactuspass._peer_messages import Hello, PeerMessage, decode, encode
from cactuspass.exceptions import PeerError

HANDSHAKE_TIMEOUT_SECONDS = 3.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_POLICY_VIOLATION = 1008
MAX_CLOSE_REASON_BYTES = 120


@dataclass(frozen=True, slots=True)
class LinkCounts:
    """Traffic of a link since it was opened."""

    messages_sent: int
    bytes_sent: int
    bytes_received: int


class PeerLink:
    """Open connection to a peer after the exchange of hello messages."""

    def __init__(self, socket: Any, hello: Hello) -> None:
        self.hello = hello
        self._socket = socket
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._sender = asyncio.create_task(self._send_forever())
        self._messages_sent = 0
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def counts(self) -> LinkCounts:
        """Traffic since the link was opened."""
        return LinkCounts(self._messages_sent, self._bytes_sent, self._bytes_received)

    def send(self, message: PeerMessage) -> None:
        """Queue a message for sending."""
        self._outgoing.put_nowait(encode(message))

    async def messages(self) -> AsyncIterator[PeerMessage]:
        """Yield messages until the connection closes.

        :raises PeerError: when the peer sends a message that cannot be decoded.
        """
        while True:
            try:
                data = await self._socket.recv(decode=False)
            except ConnectionClosed:
                return
            self._bytes_received += len(data)
            yield decode(data)

    async def close(self, code: int = 1000, reason: str = "") -> None:
        """Close the connection; messages that are still queued are not sent."""
        self._sender.cancel()
        await self._socket.close(code, reason[:MAX_CLOSE_REASON_BYTES])

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        self._sender.cancel()
        self._socket.transport.abort()

    async def _send_forever(self) -> None:
        try:
            while True:
                data = await self._outgoing.get()
                await self._socket.send(data)
                self._messages_sent += 1
                self._bytes_sent += len(data)
        except ConnectionClosed:
            return


async def perform_handshake(socket: Any, own: Hello) -> PeerLink:
    """Exchange hello messages on a new connection.

    :raises PeerError: when the peer does not answer in time or disconnects, and when it sends
        another protocol version, another message or a wrong token; in these last cases the
        connection is closed with that reason.
    """
    try:
        await socket.send(encode(own))
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            hello = decode(await socket.recv(decode=False))
    except (ConnectionClosed, TimeoutError) as error:
        raise PeerError(f"peer did not complete the handshake: {error}") from error
    except PeerError as error:
        await socket.close(CLOSE_PROTOCOL_ERROR, str(error)[:MAX_CLOSE_REASON_BYTES])
        raise
    if not isinstance(hello, Hello):
        await socket.close(CLOSE_PROTOCOL_ERROR, "hello expected")
        raise PeerError("first message of the peer is not a hello message")
    if not hmac.compare_digest(hello.token.encode(), own.token.encode()):
        await socket.close(CLOSE_POLICY_VIOLATION, "wrong token")
        raise PeerError(f"peer {hello.entry_id} sent a wrong token")
    return PeerLink(socket, hello)
