"""Phases of callers' connections, by which a listener reports and decides at a shutdown."""

import array
import fcntl
import termios
from dataclasses import dataclass
from enum import Enum

from tornado.iostream import IOStream


class ConnectionPhase(Enum):
    """How far the current request of a connection has come."""

    IDLE = "idle"
    UNREAD = "unread"
    PARTIAL_HEAD = "partial_head"
    PARTIAL_BODY = "partial_body"
    RUNNING = "running"
    FLUSHING = "flushing"


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Numbers of open connections by the phase of their current request.

    :param idle: no byte of a request has been received.
    :param unread: bytes have been received by the kernel, but not been read.
    :param partial_heads: a part of the head has been read.
    :param partial_bodies: the head has been read, but not all of the body.
    :param running: the request is being served.
    :param flushing: the response has been written, but not all of it passed to the kernel.
    :param unread_bytes: bytes that wait in the kernel, over all connections.
    """

    idle: int = 0
    unread: int = 0
    partial_heads: int = 0
    partial_bodies: int = 0
    running: int = 0
    flushing: int = 0
    unread_bytes: int = 0

    @property
    def in_flight(self) -> int:
        """Requests of which a byte has been received and whose response is not complete."""
        partial = self.unread + self.partial_heads + self.partial_bodies
        return partial + self.running + self.flushing

    def log_fields(self) -> dict[str, int]:
        """Return the fields of a log line."""
        return {
            "in_flight": self.in_flight,
            "idle": self.idle,
            "unread": self.unread,
            "partial_heads": self.partial_heads,
            "partial_bodies": self.partial_bodies,
            "running": self.running,
            "flushing": self.flushing,
            "unread_bytes": self.unread_bytes,
        }


def unread_bytes(stream: IOStream) -> int:
    """Return the number of bytes that the kernel has received for a connection, unread so far."""
    if stream.closed():
        return 0
    size = array.array("i", [0])
    try:
        fcntl.ioctl(stream.socket, termios.FIONREAD, size)
    except OSError:
        return 0
    return size[0]
