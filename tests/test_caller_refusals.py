"""Requests that the listener for callers refuses since callers hold too much together."""

import asyncio
import json
import unittest

from cactuspass._caller_boundary import CallerLimit, CallerRemoval
from cactuspass._caller_memory import CallerBounds, CallerMemory
from cactuspass.fleet._caller_listener import CallerListener
from cactuspass.fleet._metrics import Metrics
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import STAMP, PathCase, ScriptedUpstream, answer, route

HEAD = (
    b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nCactuspass-Request-Id: q1\r\n"
    b"Cactuspass-Deadline-Ms: 4000\r\nApi-Key: key-1\r\n"
)
HELD_BYTES = 400_000
TIMEOUT_SECONDS = 5.0
LARGE = HEAD + b"Content-Length: 300000\r\n"
SENT_ON = b"x" * 65_536


class RefusedCallerTest(unittest.IsolatedAsyncioTestCase):
    """A listener whose callers may hold few bytes and four connections."""

    async def asyncSetUp(self) -> None:
        upstream = ScriptedUpstream([answer("200 OK", b"body", STAMP)])
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        case = PathCase(route(timeout=30.0), [upstream])
        self.addCleanup(case.pool.close)
        self.removals: list[CallerRemoval] = []
        self.memory = CallerMemory(CallerBounds(HELD_BYTES, connections=4))
        self.listener = CallerListener(
            "127.0.0.1:0",
            case.dispatcher,
            PlatformRequests(),
            Metrics(),
            lambda: False,
            self.fail,
            memory=self.memory,
            removed=self.removals.append,
        )
        self.listener.open()
        self.addAsyncCleanup(self.listener.close)

    async def connect(self, data: bytes = b"") -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.listener.bound_address)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.read()

    async def hold(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a caller that announces a large body, and wait until it counts."""
        caller = await self.connect(LARGE + b"\r\n")
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.memory.held_bytes < 300_000:
                await asyncio.sleep(0.001)
        return caller

    def assert_not_run(self, response: bytes, code: str) -> None:
        head, _, body = response.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"Retry-After: ", head)
        problem = json.loads(body)
        self.assertEqual((problem["run"], problem["error"]["type"]), ("not-run", code))

    # Guards against callers that send a body for nothing, since they were told to go on.
    async def test_caller_that_expects_to_be_told_gets_the_refusal_before_its_body(self) -> None:
        await self.hold()
        reader, _ = await self.connect(LARGE + b"Expect: 100-continue\r\n\r\n")
        self.assert_not_run(await self.read(reader), "caller-memory")
        [removal] = self.removals
        self.assertEqual((removal.limit, removal.refused), (CallerLimit.MEMORY, True))
        self.assertGreaterEqual(removal.held_bytes, 300_000)
        self.assertTrue(removal.address.startswith("127.0.0.1:"))

    # Guards against a refusal that a reset takes away from a caller that is still sending.
    async def test_caller_that_goes_on_sending_gets_the_refusal(self) -> None:
        await self.hold()
        reader, writer = await self.connect(LARGE + b"\r\n")
        for _ in range(5):
            await asyncio.sleep(0.02)
            writer.write(SENT_ON)
        await writer.drain()
        self.assert_not_run(await self.read(reader), "caller-memory")

    # Guards against work without end for a caller that never stops sending.
    async def test_caller_that_never_stops_sending_is_closed(self) -> None:
        await self.hold()
        _, writer = await self.connect(LARGE + b"\r\n")
        with self.assertRaises(OSError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while True:
                    writer.write(SENT_ON)
                    await writer.drain()

    async def test_small_request_is_served_beside_a_large_one(self) -> None:
        await self.hold()
        reader, _ = await self.connect(HEAD + b"Connection: close\r\nContent-Length: 1\r\n\r\nx")
        self.assertTrue((await self.read(reader)).startswith(b"HTTP/1.1 200 OK"))
        self.assertEqual(self.removals, [])

    async def test_request_that_is_answered_holds_nothing(self) -> None:
        reader, _ = await self.connect(HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reader.readuntil(b"body")
            while self.memory.held_bytes:
                await asyncio.sleep(0.001)

    # Guards against unfinished requests that are closed although an idle connection is open.
    async def test_idle_connection_is_closed_for_a_new_one_before_an_unfinished_one(self) -> None:
        await self.hold()
        idle = [await self.connect() for _ in range(3)]
        while self.listener.connection_counts().idle < 3:
            await asyncio.sleep(0.001)
        await self.connect()
        self.assertEqual(await self.read(idle[0][0]), b"")
        self.assertEqual(self.listener.connection_counts().partial_bodies, 1)
        [removal] = self.removals
        self.assertEqual((removal.limit, removal.refused), (CallerLimit.CONNECTIONS, False))

    async def test_longest_unfinished_request_is_refused_when_no_connection_is_idle(self) -> None:
        unfinished = [await self.connect(HEAD) for _ in range(4)]
        while self.listener.connection_counts().partial_heads < 4:
            await asyncio.sleep(0.001)
        await self.connect(HEAD)
        self.assert_not_run(await self.read(unfinished[0][0]), "caller-connections")


if __name__ == "__main__":
    unittest.main()
