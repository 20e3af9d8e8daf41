"""Upstreams that send data endlessly until the connection is closed."""

import asyncio
import tracemalloc
import unittest
from collections.abc import Iterator
from itertools import chain, repeat
from unittest import mock

from cactuspass._clock import now
from cactuspass.exceptions import AnswerCut, AnswerOversize, RunOutcomeUnknown
from cactuspass.fleet._answer_bounds import MAX_FRAMING_BYTES
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._connections import Connection
from cactuspass.fleet._events import MAX_EVENT_BYTES
from cactuspass.fleet._exchange import READ_AHEAD_BYTES, Exchange
from cactuspass.fleet._loads import MAX_SUSPECT_SECONDS
from cactuspass.fleet._plain_relay import MAX_BUFFERED_BYTES
from tests.fleet_path import (
    STAMP,
    MemoryDelivery,
    PathCase,
    Script,
    ScriptedUpstream,
    answer,
    events,
    route,
    stream,
)

READ_BYTES = 65_536
CONNECT_SECONDS = 5.0
REQUESTS = 20
# A working upstream that has failed to answer in time is left out for up to MAX_SUSPECT_SECONDS.
RECOVERY_SECONDS = 2 * MAX_SUSPECT_SECONDS
TRY_INTERVAL_SECONDS = 0.05
HOLD_UP_SECONDS = 0.06
GIVE_UP_SECONDS = 3.0
FILL = b"x" * READ_BYTES
HEAD = f"HTTP/1.1 200 OK\r\n{STAMP}\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FAILED = CHUNKED.replace(b"200 OK", b"500 Failed")
CHUNK = b"%x\r\n%s\r\n" % (READ_BYTES, FILL)
MANY_HEADERS = b"X-Fill: x\r\n" * 5000
MORE_BYTES = 64 * READ_BYTES
ENDLESS_HEADS = {
    "endless header": (HEAD + b"X-Fill: ", FILL),
    "endless head": (HEAD, MANY_HEADERS),
    "endless informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "endless responses to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nCactuspass-Request-Id: q0\r\nContent-Length: %d\r\n\r\n%s"
        % (READ_BYTES, FILL),
    ),
}
ENDLESS_FRAMING = {
    "endless chunk extension": (CHUNKED + b"1;x=", FILL),
    "endless extensions": (CHUNKED, b"1;x=%s\r\nx\r\n" % FILL),
    "endless trailer": (CHUNKED + b"1\r\nx\r\n0\r\nX-Fill: ", FILL),
    "endless trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", MANY_HEADERS),
}
ENDLESS_BODIES = {
    "endless error": (FAILED, CHUNK),
    "body beyond its length": (HEAD + b"Content-Length: 3\r\n\r\nown", FILL),
}
ENDLESS_EVENTS = {
    "endless event": (CHUNKED + b"c\r\nid: 1\ndata: \r\n", CHUNK),
}
ENDLESS_CHUNKS = (CHUNKED, CHUNK)


class FakeTransport(asyncio.Transport):
    """Accepts a request and records whether the connection was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.was_aborted = False

    def write(self, data: object) -> None:
        """Ignore the data."""

    def is_closing(self) -> bool:
        """Return whether the connection was aborted."""
        return self.was_aborted

    def pause_reading(self) -> None:
        """Do nothing; the test reads data immediately."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Record the abort."""
        self.was_aborted = True


def endless_reads(start: bytes, more: bytes) -> Iterator[bytes]:
    """Return the data read from a connection, as an endless iterator."""
    return filter(None, chain([start], repeat(more)))


def endless(start: bytes, more: bytes) -> Script:
    """Return a script that sends until its connection is closed."""

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        for data in endless_reads(start, more):
            writer.write(data)
            await writer.drain()

    return run


class ChannelBoundTest(unittest.IsolatedAsyncioTestCase):
    """A connection without a socket: bytes accepted until it is aborted, and the error raised."""

    def open_exchange(self) -> tuple[Connection, FakeTransport, Exchange]:
        connection, transport = Connection(), FakeTransport()
        connection.connection_made(transport)
        return connection, transport, connection.send_request(b"", None, False)

    def feed(
        self, connection: Connection, transport: FakeTransport, start: bytes, more: bytes
    ) -> int:
        """Feed bytes until the connection is aborted; return their number."""
        accepted = 0
        for data in endless_reads(start, more):
            if transport.was_aborted or accepted > MORE_BYTES:
                break
            connection.data_received(data)
            accepted += len(data)
        return accepted

    # Guards against an endless head, header or series of informational heads that fills the memory.
    async def test_endless_head_is_given_up_with_a_typed_error(self) -> None:
        for name in ("endless header", "endless head", "endless informational heads"):
            with self.subTest(name):
                connection, transport, exchange = self.open_exchange()
                accepted = self.feed(connection, transport, *ENDLESS_HEADS[name])
                self.assertTrue(transport.was_aborted)
                self.assertLessEqual(accepted, MAX_FRAMING_BYTES + 2 * READ_BYTES)
                with self.assertRaises(RunOutcomeUnknown) as caught:
                    await exchange.read_head()
                self.assertIsInstance(caught.exception.__cause__, AnswerOversize)

    # Guards against a body that never ends because its framing is endless.
    async def test_endless_framing_is_given_up_with_a_typed_error(self) -> None:
        for name, data in ENDLESS_FRAMING.items():
            with self.subTest(name):
                connection, transport, exchange = self.open_exchange()
                accepted = self.feed(connection, transport, *data)
                self.assertTrue(transport.was_aborted)
                self.assertLessEqual(accepted, MAX_FRAMING_BYTES + 3 * READ_BYTES)
                await exchange.read_head()
                with self.assertRaises(AnswerCut) as caught:
                    await exchange.read_body()
                self.assertIsInstance(caught.exception.__cause__, AnswerOversize)

    # Guards against a buffered body that fills the memory.
    async def test_endless_body_is_given_up_where_it_is_held(self) -> None:
        connection, transport, exchange = self.open_exchange()
        self.feed(connection, transport, *ENDLESS_CHUNKS)
        connection.connection_lost(None)
        with self.assertRaises(AnswerOversize):
            await exchange.read_body()
        self.assertTrue(transport.was_aborted)

    # Guards against a body that is relayed forever.
    async def test_endless_body_is_given_up_where_it_is_passed_on(self) -> None:
        connection, transport, exchange = self.open_exchange()
        with mock.patch("cactuspass.fleet._answer_bounds.MAX_ANSWER_BYTES", 4 * READ_BYTES):
            accepted = self.feed(connection, transport, *ENDLESS_CHUNKS)
        self.assertTrue(transport.was_aborted)
        self.assertLessEqual(accepted, 6 * READ_BYTES)
        with self.assertRaises(AnswerCut) as caught:
            while await exchange.read_chunk():
                pass
        self.assertIsInstance(caught.exception.__cause__, AnswerOversize)

    async def test_tiny_chunks_are_accepted(self) -> None:
        connection, transport, exchange = self.open_exchange()
        connection.data_received(CHUNKED)
        for _ in range(MAX_FRAMING_BYTES // READ_BYTES + 4):
            connection.data_received(b"1\r\nx\r\n" * (READ_BYTES // 6))
        connection.data_received(b"0\r\n\r\n")
        self.assertFalse(transport.was_aborted)
        self.assertEqual(set(await exchange.read_body()), set(b"x"))

    # Guards against a protocol upgrade, which the parser reports by a separate exception.
    async def test_protocol_upgrade_is_rejected(self) -> None:
        connection, transport, exchange = self.open_exchange()
        head = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        connection.data_received(head + FILL)
        self.assertTrue(transport.was_aborted)
        with self.assertRaises(RunOutcomeUnknown):
            await exchange.read_head()


class EndlessUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Several endless upstreams and a working one at the same time, over real sockets."""

    async def start(self, *scripts: Script) -> list[ScriptedUpstream]:
        """Start an upstream for each script, which it runs for every request."""
        upstreams = [ScriptedUpstream([script]) for script in scripts]
        for upstream in upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        return upstreams

    async def serve_many(
        self, kind: RouteKind, good: Script, bad: list[tuple[bytes, bytes]]
    ) -> tuple[list[MemoryDelivery], int]:
        """Serve requests concurrently, and then one by one until one succeeds.

        :return: the responses that callers received, and the peak memory of the concurrent part in
            bytes.
        """
        upstreams = await self.start(good, *[endless(*data) for data in bad])
        case = PathCase(route(kind, max_upstreams=len(upstreams)), upstreams, CONNECT_SECONDS)
        self.addCleanup(case.pool.close)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        got = await asyncio.gather(*[case.serve() for _ in range(REQUESTS)])
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        until = now() + RECOVERY_SECONDS
        while now() < until:
            got.append(await case.serve())
            if got[-1].is_complete and got[-1].status == 200:
                break
            await asyncio.sleep(TRY_INTERVAL_SECONDS)
        return got, peak_bytes

    # Guards against endless data that fills the memory or appears as a complete response.
    async def test_plain_answers_without_end_beside_good_ones(self) -> None:
        bad = [*ENDLESS_HEADS.values(), *ENDLESS_FRAMING.values(), (FAILED, CHUNK)]
        good = answer("200 OK", b"good", STAMP, "Connection: close")
        for kind in (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT):
            with self.subTest(kind):
                got, peak_bytes = await self.serve_many(kind, good, bad)
                complete = [item for item in got if item.is_complete and item.status == 200]
                self.assertTrue(complete)
                self.assertEqual({item.body for item in complete}, {b"good"})
                others = {item.status for item in got if item not in complete}
                self.assertLessEqual(others, {502, 503, 504})
                self.assertLess(
                    peak_bytes, REQUESTS * (2 * MAX_BUFFERED_BYTES + 4 * READ_AHEAD_BYTES)
                )

    # Guards against an endless event that fills the memory.
    async def test_streams_without_end_beside_good_ones(self) -> None:
        bad = [*ENDLESS_EVENTS.values(), *ENDLESS_HEADS.values(), *ENDLESS_FRAMING.values()]
        good = stream(events(range(1, 5)))
        got, peak_bytes = await self.serve_many(RouteKind.STREAM, good, bad)
        complete = [item for item in got if item.is_complete and item.status == 200]
        self.assertTrue(complete)
        self.assertEqual({item.body for item in complete}, {events(range(1, 5))})
        self.assertLess(peak_bytes, REQUESTS * (2 * MAX_EVENT_BYTES + 4 * READ_AHEAD_BYTES))

    async def test_body_beyond_its_length_is_left_out_and_its_connection_closed(self) -> None:
        upstreams = await self.start(endless(*ENDLESS_BODIES["body beyond its length"]))
        case = PathCase(route(), upstreams)
        self.addCleanup(case.pool.close)
        for _ in range(2):
            got = await case.serve()
            self.assertEqual((got.is_complete, got.body), (True, b"own"))
        await upstreams[0].wait_idle()
        self.assertEqual(case.pool.opened_count, 2)

    # An endless body is relayed at the caller's pace until the deadline of the request.
    async def test_body_of_endless_chunks_ends_cut_at_the_deadline(self) -> None:
        upstreams = await self.start(endless(*ENDLESS_CHUNKS))
        case = PathCase(route(timeout=0.3), upstreams)
        self.addCleanup(case.pool.close)
        got = await case.serve()
        self.assertTrue(got.was_aborted)
        self.assertFalse(got.is_complete)
        await upstreams[0].wait_idle()

    # Guards against a deadline that never ends a body whose parts hold up the event loop: each
    # timeout then counts as late and is excused.
    async def test_body_ends_at_the_deadline_though_the_event_loop_is_held_up(self) -> None:
        upstreams = await self.start(endless(*ENDLESS_CHUNKS))
        case = PathCase(route(timeout=0.3), upstreams)
        self.addCleanup(case.pool.close)
        later = 0.0

        async def hold_up(delivery: MemoryDelivery, chunk: bytes) -> None:
            nonlocal later
            later += HOLD_UP_SECONDS
            if later > GIVE_UP_SECONDS:
                raise AssertionError("the body did not end")

        def late_now() -> float:
            return now() + later

        with (
            mock.patch.object(MemoryDelivery, "send_chunk", hold_up),
            mock.patch("cactuspass.fleet._attempts.now", late_now),
            mock.patch("cactuspass.fleet._timeouts.now", late_now),
        ):
            got = await case.serve()
        self.assertTrue(got.was_aborted)
        await upstreams[0].wait_idle()


if __name__ == "__main__":
    unittest.main()
