"""Callers without limits, for tests of what one instance keeps for them.

Each kind sends what it has, ignores all answers, and keeps its connection open.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterable, Iterator

from tests.instance_case import HEAD

SEND_SECONDS = 60.0
CALLER_BYTES = 4_190_000  # just below the default limit of a body
TINY_CHUNKS = 20_000
PIECE = b"x" * 65_536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
POST = HEAD % b"x"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT_HEADERS = b"".join(b"h%x:\r\n" % number for number in range(2200))


def announced_too_large() -> Iterator[bytes]:
    """Announce a body far over the limit, and send it whatever the answer is."""
    yield POST + b"Content-Length: 900000000000\r\n\r\n"
    yield from itertools.repeat(PIECE, 128)


def sent_too_large() -> Iterator[bytes]:
    """Send a body over the limit without announcing it."""
    yield CHUNKED
    yield from itertools.repeat(CHUNK, 128)


def chunked_large() -> Iterator[bytes]:
    """Send large chunks up to the limit, and no end."""
    yield CHUNKED
    yield from itertools.repeat(CHUNK, CALLER_BYTES // len(PIECE))


def chunked_tiny() -> Iterator[bytes]:
    """Send chunks of two bytes, each of which takes many times its bytes when kept by itself."""
    yield CHUNKED
    yield from itertools.repeat(b"2\r\nxy\r\n" * 100, TINY_CHUNKS // 100)


def short_of_the_end() -> Iterator[bytes]:
    """Send an announced body but for its last byte."""
    yield POST + b"Content-Length: %d\r\n\r\n" % CALLER_BYTES
    whole, rest = divmod(CALLER_BYTES - 1, len(PIECE))
    yield from itertools.repeat(PIECE, whole)
    yield PIECE[:rest]


def trailers() -> Iterator[bytes]:
    """Send a large body in chunks, and trailers without end."""
    yield from chunked_large()
    yield b"0\r\n"
    yield from itertools.repeat(b"a: b\r\n" * 1000, 100)


def unfinished_heads() -> Iterator[bytes]:
    """Send a head of the largest size without its end."""
    yield POST + b"X: " + b"x" * 16_000


def many_headers() -> Iterator[bytes]:
    """Send a head of many short headers, and announce a body that never comes."""
    yield POST + SHORT_HEADERS + b"Content-Length: 1000\r\n\r\n"


def pipelined() -> Iterator[bytes]:
    """Send requests for long answers behind each other without reading one."""
    yield from itertools.repeat((HEAD % b"long") + b"Content-Length: 5\r\n\r\nhello", 5000)


def slow_readers() -> Iterator[bytes]:
    """Send a whole request for a long answer, and never read it."""
    yield (HEAD % b"long") + b"Content-Length: 5\r\n\r\nhello"


KINDS: dict[str, Callable[[], Iterable[bytes]]] = {
    kind.__name__: kind
    for kind in (
        announced_too_large,
        sent_too_large,
        chunked_large,
        chunked_tiny,
        short_of_the_end,
        trailers,
        unfinished_heads,
        many_headers,
        pipelined,
        slow_readers,
    )
}


class Crowd:
    """Callers that all send at once."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, kinds: Iterable[Callable[[], Iterable[bytes]]]) -> None:
        """Open a connection for each kind; return when all have sent what they can."""
        await asyncio.gather(*map(self._send, kinds))

    async def _send(self, kind: Callable[[], Iterable[bytes]]) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            # The reader takes 1 byte before it makes the kernel hold back what comes later.
            async with asyncio.timeout(SEND_SECONDS):
                _, writer = await asyncio.open_connection(self._host, self._port, limit=1)
            self._writers.append(writer)
            async with asyncio.timeout(SEND_SECONDS / 4):
                for piece in kind():
                    writer.write(piece)
                    await writer.drain()

    async def connect(self, count: int) -> None:
        """Open idle connections."""
        await self.send(itertools.repeat(lambda: (), count))

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


class UnfinishedRequest:
    """A small request of an ordinary caller, which sends the end of the body later."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)

    async def begin(self) -> None:
        """Send all but the last byte."""
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)
        self._writer.write(POST + b"Connection: close\r\nContent-Length: 5\r\n\r\nhell")
        await self._writer.drain()

    async def end(self) -> bytes:
        """Send the last byte; return the status of the answer, empty if there is none."""
        with contextlib.suppress(OSError):
            self._writer.write(b"o")
            answer = await self._reader.read()
            self._writer.close()
            return answer[9:12]
        return b""
