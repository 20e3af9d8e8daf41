"""Memory that all answers in progress take together, when many of them have no end."""

import asyncio
import tracemalloc
import unittest

from cactuspass.exceptions import AnswerOversize, RunOutcomeUnknown
from cactuspass.fleet._answer_bounds import MAX_HEADERS
from cactuspass.fleet._answer_buffers import AnswerBuffers, HeldAnswer
from cactuspass.fleet._answer_head import Header
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._connections import Connection
from tests.fleet_path import (
    STAMP,
    MemoryDelivery,
    ScriptedPathCase,
    answer,
    events,
    request,
    route,
)
from tests.test_endless_answers import FakeTransport, endless
from tests.test_event_loop_turns import CHUNKED, HEAD

# Half of the memory of the smallest instances, in bytes; the other half is for the process itself.
MAX_PEAK_BYTES = 100_000_000
REQUESTS = 100
TIMEOUT_SECONDS = 2.0
SLOW_SECONDS = 0.05
FILL = b"x" * 65_536
FORMS = {
    "short headers": (HEAD, b"a:\r\n" * 16_384),
    "long header": (HEAD + b"a: ", FILL),
    "short trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a:\r\n" * 16_384),
    "long chunks": (CHUNKED, b"10000\r\n%s\r\n" % FILL),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 8192),
    "huge length": (HEAD + b"Content-Length: 900000000\r\n\r\n", FILL),
    "body until the end": (HEAD + b"\r\n", FILL),
    "failure without end": (CHUNKED.replace(b"200 OK", b"500 Failed"), b"10000\r\n%s\r\n" % FILL),
    "event without end": (CHUNKED + b"8\r\ndata: xx\r\n", b"10000\r\n%s\r\n" % FILL),
}


class SlowDelivery(MemoryDelivery):
    """A caller that reads slowly, and keeps nothing."""

    async def send_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Take a complete response."""
        await super().send_response(status, headers, b"")
        await asyncio.sleep(SLOW_SECONDS)

    async def send_chunk(self, chunk: bytes) -> None:
        """Take a part of the body."""
        await asyncio.sleep(SLOW_SECONDS)


class PeakTest(ScriptedPathCase):
    """Many requests to an upstream whose answers have no end."""

    connect_timeout = TIMEOUT_SECONDS

    async def peak_bytes(self, kind: RouteKind, sent: tuple[bytes, bytes]) -> int:
        """Return the peak memory of requests at the same time."""
        case = await self.start_path(route(kind, timeout=TIMEOUT_SECONDS), endless(*sent))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        deliveries = [SlowDelivery() for _ in range(REQUESTS)]
        await asyncio.gather(*(case.dispatcher.serve(request(), each) for each in deliveries))
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertEqual(case.dispatcher._dependencies.answer_buffers.held_bytes, 0)
        return peak

    # Guards against answers of one upstream without end that together fill the memory of an
    # instance, whose end would end the requests of all other callers.
    async def test_endless_answers_together_take_bounded_memory(self) -> None:
        for kind in (RouteKind.IDEMPOTENT, RouteKind.STREAM):
            for name, sent in FORMS.items():
                with self.subTest(name, kind=kind):
                    self.assertLess(await self.peak_bytes(kind, sent), MAX_PEAK_BYTES)


class HeaderCountTest(unittest.IsolatedAsyncioTestCase):
    """Answers with many short headers or trailers."""

    def feed(self, data: bytes) -> FakeTransport:
        """Feed an answer to a connection; return its transport."""
        connection, transport = Connection(), FakeTransport()
        connection.connection_made(transport)
        self.exchange = connection.send_request(b"", None, False)
        connection.data_received(data)
        return transport

    # Guards against a head of short lines, which takes many times its bytes in memory.
    async def test_number_of_headers_is_bounded(self) -> None:
        self.assertTrue(self.feed(HEAD + b"a:\r\n" * (MAX_HEADERS + 1)).was_aborted)
        with self.assertRaises(RunOutcomeUnknown) as caught:
            await self.exchange.read_head()
        self.assertIsInstance(caught.exception.__cause__, AnswerOversize)

    async def test_number_of_trailers_is_bounded_and_they_are_not_kept(self) -> None:
        begun = CHUNKED + b"1\r\nx\r\n0\r\n"
        self.assertFalse(self.feed(begun + b"a:\r\n" * (MAX_HEADERS // 2)).was_aborted)
        self.assertIsNone((await self.exchange.read_head()).get("a"))
        self.assertTrue(self.feed(begun + b"a:\r\n" * (MAX_HEADERS + 1)).was_aborted)


class HeldAnswerTest(ScriptedPathCase):
    """What answers hold until they are complete."""

    def test_parts_beyond_the_limit_are_taken_but_end_the_holding(self) -> None:
        buffers = AnswerBuffers(max_bytes=10)
        first, second = HeldAnswer(buffers), HeldAnswer(buffers)
        self.assertTrue(first.add(b"12345678"))
        self.assertFalse(second.add(b"123"))
        self.assertEqual((second.take(), buffers.held_bytes), (b"123", 8))
        first.release()
        second.release()
        first.release()
        self.assertEqual(buffers.held_bytes, 0)

    # Guards against whole answers that are lost since there is no room to hold them.
    async def test_answer_is_passed_on_whole_without_room_to_hold_it(self) -> None:
        body = events(range(1, 2000))
        case = await self.start_path(route(), answer("200 OK", body, STAMP))
        case.dispatcher._dependencies.answer_buffers = AnswerBuffers(max_bytes=0)
        got = await case.serve()
        self.assertEqual((got.status, got.body, got.is_complete), (200, body, True))


if __name__ == "__main__":
    unittest.main()
