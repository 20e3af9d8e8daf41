"""Tests of answers whose readers read slowly or stop reading."""

import asyncio
import unittest

from cactuspass._answer_memory import AnswerMemory
from cactuspass._byte_queue import PIECE_BYTES, ByteQueue
from cactuspass._counters import Counters
from cactuspass._memory import SLOW_READER_SECONDS, MemoryBudget, MemoryLedger
from cactuspass._requests import CallerRequest
from cactuspass.exceptions import AnswerCut
from cactuspass.models import CustomerId, Priority, RequestId
from tests.virtual_time import virtual_time

KIBIBYTE = 1024
STREAM_BYTES = 256 * KIBIBYTE
ANSWER = bytes(range(256)) * 2 * KIBIBYTE
CHUNK_BYTES = 5_000
REQUEST = CallerRequest(
    RequestId("r"),
    CustomerId("c"),
    "m",
    "POST",
    "/",
    (),
    b"",
    tokens=1,
    priority=Priority.NORMAL,
    deadline=1.0,
    repeatable=True,
)


class SlowReaderTest(unittest.TestCase):
    async def read(self, seconds_per_kibibyte: float) -> bytes:
        """Read an answer that arrives faster than it is read; return its bytes."""
        loop = asyncio.get_running_loop()
        ledger = MemoryLedger(MemoryBudget(100 * STREAM_BYTES, STREAM_BYTES))
        memory = AnswerMemory(ledger, loop.time, Counters())
        await memory.start()
        queue = ByteQueue(STREAM_BYTES, memory.account_for(REQUEST))
        sending = asyncio.create_task(self.send(queue))
        received = bytearray()
        try:
            async for data in queue.chunks():
                self.assertLessEqual(len(data), PIECE_BYTES)
                self.assertLessEqual(ledger.held_bytes, STREAM_BYTES)
                received += data
                await asyncio.sleep(seconds_per_kibibyte * len(data) / KIBIBYTE)
        finally:
            queue.cancel(AnswerCut("the reader disconnected"))
            await sending
            await memory.stop()
            self.assertEqual(ledger.held_bytes, 0)
        return bytes(received)

    async def send(self, queue: ByteQueue) -> None:
        for start in range(0, len(ANSWER), CHUNK_BYTES):
            await queue.put(ANSWER[start : start + CHUNK_BYTES])
        queue.finish()

    @virtual_time
    async def test_slow_reader_that_keeps_reading_gets_the_complete_answer(self) -> None:
        seconds = SLOW_READER_SECONDS / (2 * PIECE_BYTES / KIBIBYTE)
        self.assertEqual(await self.read(seconds), ANSWER)

    @virtual_time
    async def test_reader_that_stops_reading_is_cut(self) -> None:
        with self.assertRaises(AnswerCut):
            await self.read(SLOW_READER_SECONDS)

    @virtual_time
    async def test_one_large_chunk_is_split_into_pieces(self) -> None:
        queue = ByteQueue(STREAM_BYTES)
        queue.put_nowait(ANSWER)
        queue.finish()
        pieces = [data async for data in queue.chunks()]
        self.assertEqual((b"".join(pieces), queue.held_bytes), (ANSWER, 0))
        self.assertEqual({len(piece) for piece in pieces}, {PIECE_BYTES})
