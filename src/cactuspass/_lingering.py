"""Connections that were answered early, while their callers go on sending.

Closing a socket with unread bytes resets the connection, which could lose the answer. What arrives
is discarded for a while, in bounded work, until the caller has closed its side.
"""

import asyncio
import contextlib
import socket
import struct

LINGER_SECONDS = 2.0
# More than the largest body by default, which some callers send before they read an answer.
LINGER_BYTES = 8_388_608
MAX_LINGERING = 64
READ_BYTES = 65_536
READS_AT_ONCE = 4
# Value of SO_LINGER, which is on with a time of zero.
NO_LINGER = struct.pack("ii", 1, 0)


def reset_at_close(connection: socket.socket) -> None:
    """Let the close of a socket reset its connection, and discard what was not sent."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)


class LingeringSockets:
    """Discards what arrives on connections that are closed for sending."""

    _discarded = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self._left_bytes_by_socket: dict[socket.socket, int] = {}
        self._timers_by_socket: dict[socket.socket, asyncio.TimerHandle] = {}

    def __len__(self) -> int:
        return len(self._left_bytes_by_socket)

    def add(self, connection: socket.socket) -> None:
        """Keep a connection open whose stream is about to be closed, if there is room for it."""
        if len(self) >= MAX_LINGERING:
            return
        try:
            lingering = connection.dup()
        except OSError:
            return
        try:
            lingering.setblocking(False)
            lingering.shutdown(socket.SHUT_WR)
        except OSError:
            lingering.close()
            return
        loop = asyncio.get_running_loop()
        self._left_bytes_by_socket[lingering] = LINGER_BYTES
        self._timers_by_socket[lingering] = loop.call_later(LINGER_SECONDS, self._end, lingering)
        loop.add_reader(lingering, self._discard, lingering)

    def close(self) -> None:
        """Close all connections."""
        for lingering in list(self._left_bytes_by_socket):
            self._end(lingering)

    def _discard(self, lingering: socket.socket) -> None:
        for _ in range(READS_AT_ONCE):
            try:
                count = lingering.recv_into(self._discarded)
            except BlockingIOError:
                return
            except OSError:
                count = 0
            self._left_bytes_by_socket[lingering] -= count
            if not count or self._left_bytes_by_socket[lingering] <= 0:
                self._end(lingering)
                return

    def _end(self, lingering: socket.socket) -> None:
        if self._left_bytes_by_socket.pop(lingering, None) is None:
            return
        self._timers_by_socket.pop(lingering).cancel()
        with contextlib.suppress(OSError, RuntimeError):
            asyncio.get_running_loop().remove_reader(lingering)
        lingering.close()
