"""Upstreams of the own interface that send bytes without end until the caller closes."""

import asyncio
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable, Iterable
from itertools import count
from typing import cast
from unittest import mock

from cactuspass._byte_queue import ByteQueue
from cactuspass._http_exchange import AnswerTimeouts, UpstreamClient, _AnswerReader
from cactuspass._messages import Input, InstanceBroken, WatchInstance
from cactuspass._requests import Answer
from cactuspass._upstream_events import UpstreamEvents
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown
from cactuspass.models import InstanceId

FILL = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(FILL), FILL)
WHOLE = CHUNKED + b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
ENDLESS_HEADS = {
    "header": (HEAD + b"X-Fill: ", FILL),
    "head": (HEAD, b"X-Fill: x\r\n" * 5000),
    "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
}
ENDLESS_BODIES = {
    "chunk extension": (CHUNKED + b"1;x=", FILL),
    "trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Fill: ", FILL),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Fill: x\r\n" * 5000),
    "size of a chunk": (CHUNKED, b"0" * 65_536),
}
QUEUE_BYTES = 65_536
HELD_BYTES = 1_048_576
STEP_SECONDS = 0.01
MOST_STEPS = 500
PATIENCE_SECONDS = 0.1
NEVER_SECONDS = 1000.0


class EndlessExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Real sockets; each connection of the upstream is one request."""

    async def asyncSetUp(self) -> None:
        self.closed: set[int] = set()
        self.numbers = count()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, begin: bytes, more: bytes, step: float = 0.0) -> str:
        """Start an upstream that sends without end; return its address.

        :param step: seconds between parts; a trickle ends by itself after many of them.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            try:
                for _ in range(MOST_STEPS) if step else count():
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
        """Return a client whose bounds in time are long unless given."""
        fields = {
            "head_seconds": NEVER_SECONDS,
            "idle_seconds": NEVER_SECONDS,
            "total_seconds": NEVER_SECONDS,
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
        """Wait until upstreams have seen connections closed."""
        while len(self.closed) < connections:
            await asyncio.sleep(STEP_SECONDS)

    async def assert_held_flat(
        self,
        kinds: Iterable[tuple[bytes, bytes]],
        ask: Callable[[UpstreamClient, str], Awaitable[object]],
        error: type[Exception],
    ) -> None:
        """Ask upstreams without end beside a good one.

        :param kinds: what each upstream sends.
        :param error: what each of them must end with.
        """
        client = self.client()
        bad = [await self.start(*sent) for sent in kinds]
        good = await self.start_good()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        found = await asyncio.gather(
            *[ask(client, address) for address in bad * 4],
            *[self.whole(client, good) for _ in range(4)],
            return_exceptions=True,
        )
        _, most = tracemalloc.get_traced_memory()
        for outcome in found[:-4]:
            self.assertIsInstance(outcome, error)
        self.assertEqual(found[-4:], [14] * 4)
        self.assertLess(most, len(found) * HELD_BYTES)
        await self.wait_closed(len(found) - 4)

    # Guards against heads without end, which would fill memory.
    async def test_heads_without_end_beside_good_answers(self) -> None:
        await self.assert_held_flat(ENDLESS_HEADS.values(), self.send, RunOutcomeUnknown)

    # Guards against the end of a body that never comes, which would fill memory.
    async def test_bodies_without_end_beside_good_answers(self) -> None:
        await self.assert_held_flat(ENDLESS_BODIES.values(), self.whole, AnswerCut)

    # A body without end is taken at its reader's pace; its connection is closed with its reader.
    async def test_endless_body_is_held_in_part_and_closed_with_its_reader(self) -> None:
        answer = await self.send(self.client(), await self.start(CHUNKED, CHUNK))
        taken = 0
        async for chunk in answer.body.chunks():
            taken += len(chunk)
            self.assertLessEqual(answer.body.held_bytes, 2 * QUEUE_BYTES)
            if taken > 64 * QUEUE_BYTES:
                break
        answer.body.cancel(AnswerCut("enough"))
        await self.wait_closed(1)

    # Guards against a body that is taken for ever.
    async def test_body_over_the_limit_is_cut(self) -> None:
        with mock.patch("cactuspass._http_exchange.MAX_ANSWER_BYTES", 8 * QUEUE_BYTES):
            answer = await self.send(self.client(), await self.start(CHUNKED, CHUNK))
            with self.assertRaises(AnswerCut):
                await self.read(answer)
        await self.wait_closed(1)

    async def test_bytes_beyond_the_length_reach_nobody(self) -> None:
        address = await self.start(HEAD + b"Content-Length: 3\r\n\r\nown", FILL)
        client = self.client()
        for _ in range(2):
            self.assertEqual(await self.read(await self.send(client, address)), 3)
        await self.wait_closed(2)

    # Guards against a head that trickles, for which a caller would wait for ever.
    async def test_head_that_trickles_is_given_up(self) -> None:
        address = await self.start(HEAD + b"X-Fill: ", b"x", STEP_SECONDS)
        with self.assertRaisesRegex(RunOutcomeUnknown, "took too long"):
            await self.send(self.client(head_seconds=PATIENCE_SECONDS), address)
        await self.wait_closed(1)

    # Guards against a body that trickles, for which a caller would wait for ever.
    async def test_body_that_trickles_is_given_up(self) -> None:
        address = await self.start(CHUNKED, b"1\r\nx\r\n", STEP_SECONDS)
        answer = await self.send(self.client(total_seconds=PATIENCE_SECONDS), address)
        with self.assertRaisesRegex(AnswerCut, "took too long"):
            await self.read(answer)
        await self.wait_closed(1)

    # Guards against an upstream that falls silent within a body but keeps its connection.
    async def test_silent_body_is_given_up(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED + b"1\r\nx\r\n")
            await reader.read()
            writer.close()

        address = await self.listen(self.quiet(serve))
        answer = await self.send(self.client(idle_seconds=PATIENCE_SECONDS), address)
        with self.assertRaisesRegex(AnswerCut, "took too long"):
            await self.read(answer)

    # The time for which a reader holds a full queue up is not the upstream's silence.
    async def test_slow_reader_is_no_silence_of_the_upstream(self) -> None:
        queue = ByteQueue(len(FILL))
        reader = _AnswerReader(queue, False, AnswerTimeouts(), is_watch=True)
        async with reader.timeout:
            putting = asyncio.ensure_future(cast(Awaitable[None], reader.data_received(FILL)))
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

    # Guards against an instance that counts as alive since it sends a part of a line now and then.
    async def test_watched_instance_whose_event_never_ends_is_broken(self) -> None:
        address = await self.start(CHUNKED, b"1\r\nx\r\n", STEP_SECONDS)
        self.assertIn("TimeoutError", await self.watch(address, PATIENCE_SECONDS))
        address = await self.start(CHUNKED, CHUNK)
        self.assertIn("too long", await self.watch(address, NEVER_SECONDS))

    async def watch(self, address: str, silence: float) -> str:
        """Watch an instance until it counts as broken; return why."""
        inputs: asyncio.Queue[Input] = asyncio.Queue()
        events = UpstreamEvents(self.client(), inputs.put_nowait)
        with mock.patch("cactuspass._upstream_events.SILENCE_SECONDS", silence):
            events.watch(WatchInstance(InstanceId("i"), address))
            found = await inputs.get()
            await events.stop()
        assert isinstance(found, InstanceBroken)
        return found.reason

    async def start_good(self) -> str:
        """Start an upstream that answers whole; return its address."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)
            await reader.read()
            writer.close()

        return await self.listen(self.quiet(serve))

    def quiet(
        self, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]:
        """Return a server to which a reset connection is an end."""

        async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await serve(reader, writer)  # type: ignore[misc]
            except ConnectionError:
                writer.close()

        return run

    async def whole(self, client: UpstreamClient, address: str) -> int:
        """Ask for an answer and read it to its end."""
        return await self.read(await self.send(client, address))


if __name__ == "__main__":
    unittest.main()
