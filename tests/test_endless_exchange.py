"""Upstreams that send bytes endlessly, until the client closes the connection.

They are called through :class:`UpstreamClient`.
"""

import asyncio
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable, Iterable
from itertools import count
from typing import cast
from unittest import mock

from cactuspass._byte_queue import ByteQueue
from cactuspass._http_exchange import AnswerTimeouts, UpstreamClient, _AnswerReader
from cactuspass._messages import Input, InstanceDisconnected, WatchInstance
from cactuspass._requests import Answer
from cactuspass._upstream_events import UpstreamEvents
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown
from cactuspass.models import InstanceId

FILLER = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(FILLER), FILLER)
COMPLETE_ANSWER = CHUNKED + b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
ENDLESS_HEADS = {
    "header": (HEAD + b"X-Fill: ", FILLER),
    "head": (HEAD, b"X-Fill: x\r\n" * 5000),
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
}
ENDLESS_BODIES = {
    "chunk extension": (CHUNKED + b"1;x=", FILLER),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Fill: ", FILLER),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Fill: x\r\n" * 5000),
    "size of a chunk": (CHUNKED, b"0" * 65_536),
}
QUEUE_BYTES = 65_536
MEMORY_BYTES_PER_REQUEST = 1_048_576
STEP_SECONDS = 0.01
MAX_STEPS = 500
SHORT_SECONDS = 0.1
LONG_SECONDS = 1000.0


class EndlessExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Tests over real sockets; each connection to an upstream carries one request."""

    async def asyncSetUp(self) -> None:
        self.closed: set[int] = set()
        self.numbers = count()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, begin: bytes, more: bytes, step: float = 0.0) -> str:
        """Start an upstream that sends endlessly; return its address.

        :param begin: bytes to send first.
        :param more: bytes to send repeatedly after that.
        :param step: seconds between two sends; if not 0, the upstream stops after ``MAX_STEPS``.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            try:
                for _ in range(MAX_STEPS) if step else count():
                    writer.write(more)
                    await writer.drain()
                    await asyncio.sleep(step)
            except ConnectionError:
                self.closed.add(next(self.numbers))
            writer.close()

        return await self.listen(serve)

    async def listen(
        self, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]
    ) -> str:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)  # type: ignore[arg-type]
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def client(self, **timeouts: float) -> UpstreamClient:
        """Return a client whose timeouts are long unless given."""
        fields = {
            "head_seconds": LONG_SECONDS,
            "idle_seconds": LONG_SECONDS,
            "total_seconds": LONG_SECONDS,
        }
        client = UpstreamClient(AnswerTimeouts(**{**fields, **timeouts}))
        self.addCleanup(client.close)
        return client

    async def send(self, client: UpstreamClient, address: str) -> Answer:
        return await client.send(
            address,
            "POST",
            "/v1/completions",
            (),
            b"{}",
            repeatable=False,
            queue_limit=QUEUE_BYTES,
            expect_done_event=True,
        )

    async def read(self, answer: Answer) -> int:
        """Read an answer to its end; return the number of its bytes."""
        return sum([len(chunk) async for chunk in answer.body.chunks()])

    async def wait_closed(self, connections: int) -> None:
        """Wait until the upstreams have seen this many connections closed by the client."""
        while len(self.closed) < connections:
            await asyncio.sleep(STEP_SECONDS)

    async def assert_memory_bounded(
        self,
        kinds: Iterable[tuple[bytes, bytes]],
        send_request: Callable[[UpstreamClient, str], Awaitable[object]],
        error: type[Exception],
    ) -> None:
        """Send requests to endless upstreams and a well-behaved one, and check the memory used.

        :param kinds: bytes that each endless upstream sends first, and then repeatedly.
        :param send_request: sends one request to an address.
        :param error: error that each request to an endless upstream must end with.
        """
        client = self.client()
        bad = [await self.start(*sent) for sent in kinds]
        good = await self.start_complete()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        found = await asyncio.gather(
            *[send_request(client, address) for address in bad * 4],
            *[self.send_and_read(client, good) for _ in range(4)],
            return_exceptions=True,
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
        for outcome in found[:-4]:
            self.assertIsInstance(outcome, error)
        self.assertEqual(found[-4:], [14] * 4)
        self.assertLess(peak_bytes, len(found) * MEMORY_BYTES_PER_REQUEST)
        await self.wait_closed(len(found) - 4)

    # Guards against endless heads that fill the memory.
    async def test_heads_without_end_beside_good_answers(self) -> None:
        await self.assert_memory_bounded(ENDLESS_HEADS.values(), self.send, RunOutcomeUnknown)

    # Guards against endless framing in or after a body that fills the memory.
    async def test_bodies_without_end_beside_good_answers(self) -> None:
        await self.assert_memory_bounded(ENDLESS_BODIES.values(), self.send_and_read, AnswerCut)

    # An endless body is read only as fast as its reader, and its connection closes with its reader.
    async def test_endless_body_is_buffered_in_part_and_closed_with_its_reader(self) -> None:
        answer = await self.send(self.client(), await self.start(CHUNKED, CHUNK))
        received = 0
        async for chunk in answer.body.chunks():
            received += len(chunk)
            self.assertLessEqual(answer.body.held_bytes, 2 * QUEUE_BYTES)
            if received > 64 * QUEUE_BYTES:
                break
        answer.body.cancel(AnswerCut("enough"))
        await self.wait_closed(1)

    # Guards against an endless body that is read forever.
    async def test_body_over_the_limit_is_cut(self) -> None:
        with mock.patch("cactuspass._http_exchange.MAX_ANSWER_BYTES", 8 * QUEUE_BYTES):
            answer = await self.send(self.client(), await self.start(CHUNKED, CHUNK))
            with self.assertRaises(AnswerCut):
                await self.read(answer)
        await self.wait_closed(1)

    async def test_bytes_beyond_the_length_are_dropped(self) -> None:
        address = await self.start(HEAD + b"Content-Length: 3\r\n\r\nown", FILLER)
        client = self.client()
        for _ in range(2):
            self.assertEqual(await self.read(await self.send(client, address)), 3)
        await self.wait_closed(2)

    # Guards against a head that arrives byte by byte, for which a caller would wait forever.
    async def test_head_that_trickles_is_given_up(self) -> None:
        address = await self.start(HEAD + b"X-Fill: ", b"x", STEP_SECONDS)
        with self.assertRaisesRegex(RunOutcomeUnknown, "took too long"):
            await self.send(self.client(head_seconds=SHORT_SECONDS), address)
        await self.wait_closed(1)

    # Guards against a body that arrives byte by byte, for which a caller would wait forever.
    async def test_body_that_trickles_is_given_up(self) -> None:
        address = await self.start(CHUNKED, b"1\r\nx\r\n", STEP_SECONDS)
        answer = await self.send(self.client(total_seconds=SHORT_SECONDS), address)
        with self.assertRaisesRegex(AnswerCut, "took too long"):
            await self.read(answer)
        await self.wait_closed(1)

    # Guards against an upstream that stops sending within a body but keeps its connection open.
    async def test_silent_body_is_given_up(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + b"1\r\nx\r\n")
            await reader.read()
            writer.close()

        address = await self.listen(self.ignore_resets(serve))
        answer = await self.send(self.client(idle_seconds=SHORT_SECONDS), address)
        with self.assertRaisesRegex(AnswerCut, "took too long"):
            await self.read(answer)

    # The idle timeout does not run while the queue is full because its reader is slow.
    async def test_slow_reader_does_not_count_as_an_idle_upstream(self) -> None:
        queue = ByteQueue(len(FILLER))
        reader = _AnswerReader(queue, False, AnswerTimeouts(), is_watch=True)
        async with reader.timeout:
            putting = asyncio.ensure_future(cast(Awaitable[None], reader.data_received(FILLER)))
            while not queue.held_bytes:
                await asyncio.sleep(0)
            self.assertIsNone(reader.timeout.when())
            self.assertFalse(putting.done())
            chunks = queue.chunks()
            while not putting.done():
                await anext(chunks)
                await asyncio.sleep(0)
            await putting
            self.assertIsNotNone(reader.timeout.when())

    # Guards against counting an instance as healthy because it sends parts of a line now and then.
    async def test_watched_instance_whose_event_never_ends_is_broken(self) -> None:
        address = await self.start(CHUNKED, b"1\r\nx\r\n", STEP_SECONDS)
        self.assertIn("TimeoutError", await self.watch(address, SHORT_SECONDS))
        address = await self.start(CHUNKED, CHUNK)
        self.assertIn("too long", await self.watch(address, LONG_SECONDS))

    async def watch(self, address: str, idle_seconds: float) -> str:
        """Watch an instance until it is reported as broken; return the reason."""
        inputs: asyncio.Queue[Input] = asyncio.Queue()
        events = UpstreamEvents(self.client(), inputs.put_nowait)
        with mock.patch("cactuspass._upstream_events.EVENT_TIMEOUT_SECONDS", idle_seconds):
            events.watch(WatchInstance(InstanceId("i"), address))
            found = await inputs.get()
            await events.stop()
        assert isinstance(found, InstanceDisconnected)
        return found.reason

    async def start_complete(self) -> str:
        """Start an upstream that sends a complete answer; return its address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE_ANSWER)
            await reader.read()
            writer.close()

        return await self.listen(self.ignore_resets(serve))

    def ignore_resets(
        self, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]:
        """Return the server with a reset connection treated as the end of the connection."""

        async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await serve(reader, writer)  # type: ignore[misc]
            except ConnectionError:
                writer.close()

        return run

    async def send_and_read(self, client: UpstreamClient, address: str) -> int:
        """Send a request and read its answer to the end."""
        return await self.read(await self.send(client, address))


if __name__ == "__main__":
    unittest.main()
