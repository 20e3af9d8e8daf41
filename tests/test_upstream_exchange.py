"""Tests of requests to an upstream, against a raw socket server."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from cactuspass._http_exchange import UpstreamClient
from cactuspass._requests import Answer
from cactuspass.exceptions import AnswerCut, RunOutcomeUnknown, UpstreamNotReached

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = UpstreamClient()
        self.received: list[bytes] = []
        self.reply: Callable[[asyncio.StreamWriter], Awaitable[None]] = self.write_nothing
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()
        await self.server.wait_closed()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.received.append(await reader.read(65536))
        await self.reply(writer)
        writer.close()

    async def write_nothing(self, writer: asyncio.StreamWriter) -> None:
        """Send no answer, so that the connection closes without one."""

    async def send(self, *, may_send: bool = True) -> Answer:
        return await self.client.send(
            self.address,
            "POST",
            "/v1/completions",
            (("X-Request-Id", "r1"),),
            b"{}",
            repeatable=False,
            queue_limit=100,
            may_send=lambda: may_send,
            expect_done_event=True,
        )

    async def read(self, answer: Answer) -> bytes:
        return b"".join([chunk async for chunk in answer.body.chunks()])

    async def test_closed_before_answer_is_unknown(self) -> None:
        with self.assertRaises(RunOutcomeUnknown):
            await self.send()

    async def test_no_byte_is_sent_if_sending_is_not_allowed(self) -> None:
        with self.assertRaises(UpstreamNotReached):
            await self.send(may_send=False)
        self.client.close()
        self.server.close()
        await self.server.wait_closed()
        self.assertEqual(b"".join(self.received), b"")

    async def test_unreachable_address_has_not_run(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(UpstreamNotReached):
            await self.send()

    async def test_stream_without_final_event_is_cut(self) -> None:
        async def reply(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_HEAD + b"9\r\ndata: 1\n\n\r\n0\r\n\r\n")
            await writer.drain()

        self.reply = reply
        answer = await self.send()
        with self.assertRaises(AnswerCut):
            await self.read(answer)

    # Guards against counting a truncated stream as complete because its text contains the final
    # event.
    async def test_final_event_within_a_text_is_none(self) -> None:
        event = b'data: {"text": "data: [DONE]"}\n\n'

        async def reply(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
            await writer.drain()

        self.reply = reply
        answer = await self.send()
        with self.assertRaises(AnswerCut):
            await self.read(answer)

    async def test_complete_stream_ends_normally(self) -> None:
        async def reply(writer: asyncio.StreamWriter) -> None:
            writer.write(CHUNKED_HEAD + b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
            await writer.drain()

        self.reply = reply
        answer = await self.send()
        self.assertEqual(await self.read(answer), b"data: [DONE]\n\n")

    async def test_truncated_length_is_cut(self) -> None:
        async def reply(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
            await writer.drain()

        self.reply = reply
        answer = await self.send()
        with self.assertRaises(AnswerCut):
            await self.read(answer)
