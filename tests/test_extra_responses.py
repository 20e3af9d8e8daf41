"""A second response behind a body that has neither a length nor chunks."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._extra_responses import ExtraResponseScanner, ResponseExtra
from cactuspass._http_exchange import REQUEST_ID_HEADER, UpstreamClient
from cactuspass.exceptions import AnswerCut
from cactuspass.fleet._catalog import RouteKind
from tests.fleet_path import (
    STAMP,
    PreferredOrderCase,
    Script,
    ScriptedUpstream,
    answer,
    route,
    send_once,
)

ID_HEADER = "Cactuspass-Request-Id"
OWN_ID = f"{ID_HEADER}: q1"
BODY = b"the whole body of q1"
OTHER = f"HTTP/1.1 200 OK\r\n{STAMP}\r\n{ID_HEADER}: q0\r\nContent-Length: 5\r\n\r\nother".encode()
# Bodies that only speak of responses.
HARMLESS_BODIES = (
    b'10.0.0.1 "GET / HTTP/1.1" 200 17\r\n10.0.0.2 "GET / HTTP/1.1" 404 0\r\n',
    b"> GET / HTTP/1.1\r\n> Host: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\n\r\nCactuspass-Request-Id: q0\r\n",
    b"Cactuspass-Request-Id: q0\r\nHTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 000 HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000 + b"\r\nCactuspass-Request-Id: q0\r\n",
)


def until_close(*parts: bytes) -> Script:
    """Return a script that sends a response whose body ends with the connection.

    :param parts: what is sent behind the head, one after another.
    """

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        writer.write(f"HTTP/1.1 200 OK\r\n{STAMP}\r\n{OWN_ID}\r\n\r\n".encode())
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.002)
        writer.close()

    return run


class CallerTest(PreferredOrderCase):
    """What callers get, on the direct path."""

    # Guards against a caller who gets the answer to another one's request behind its own.
    async def test_second_response_is_passed_to_nobody(self) -> None:
        sound = answer("200 OK", BODY, STAMP, OWN_ID)
        half = len(OTHER) // 2
        for parts in ((BODY + OTHER,), (BODY, OTHER), (BODY, OTHER[:half], OTHER[half:])):
            odd = until_close(*parts)
            with self.subTest(parts=len(parts)):
                case = await self.start(route(RouteKind.NON_IDEMPOTENT), [odd], [sound])
                got = await case.serve(method="POST")
                self.assertEqual((got.status, self.arrivals()), (502, [1, 0]))
                self.assertNotIn(b"other", got.body)
                case = await self.start(route(), [odd], [sound])
                got = await case.serve()
                self.assertEqual((got.status, got.body), (200, BODY))

    # Guards against a sound body that is failed since it speaks of responses.
    async def test_body_that_mentions_responses_is_whole(self) -> None:
        for body in HARMLESS_BODIES:
            with self.subTest(body=body[:30]):
                case = await self.start(route(RouteKind.NON_IDEMPOTENT), [until_close(body)])
                got = await case.serve(method="POST")
                self.assertEqual((got.status, got.body, got.is_complete), (200, body, True))


class ScannerTest(unittest.TestCase):
    """The search across the borders of parts."""

    def is_extra(self, data: bytes, sizes: list[int]) -> bool:
        """Return whether a response is found in data that comes in parts of these sizes."""
        scanner = ExtraResponseScanner(ID_HEADER)
        try:
            for size in sizes:
                scanner.feed(data[:size])
                data = data[size:]
            scanner.feed(data)
        except ResponseExtra:
            return True
        return False

    # Guards against a second response that is overlooked where a part of the body ends.
    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=600), st.lists(st.integers(1, 90), max_size=30))
    def test_response_is_found_whatever_the_parts(self, before: bytes, sizes: list[int]) -> None:
        self.assertTrue(self.is_extra(before + b"\r\n" + OTHER, sizes))

    @settings(max_examples=100, deadline=None)
    @given(st.sampled_from(HARMLESS_BODIES), st.lists(st.integers(1, 90), max_size=30))
    def test_harmless_bodies_are_none(self, body: bytes, sizes: list[int]) -> None:
        self.assertFalse(self.is_extra(body, sizes))


class OwnPathTest(unittest.IsolatedAsyncioTestCase):
    """What the client of the own path returns for a plain service."""

    # Guards against the same on the own path.
    async def test_second_response_cuts_the_answer(self) -> None:
        other = f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: q0\r\n\r\nother".encode()
        for parts in ((BODY + other,), (BODY, other)):
            with self.subTest(parts=len(parts)):
                upstream = ScriptedUpstream([until_close(*parts)])
                await upstream.start()
                client = UpstreamClient()
                got = await send_once(client, upstream)
                received = []
                with self.assertRaises(AnswerCut):
                    async for chunk in got.body.chunks():
                        received.append(chunk)
                self.assertNotIn(b"other", b"".join(received))
                client.close()
                await upstream.stop()
