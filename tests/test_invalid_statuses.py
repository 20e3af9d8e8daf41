"""Answers whose status is none of HTTP, and informational ones that seem to have a body."""

import asyncio
import time
import unittest
from itertools import product

from cactuspass._http_exchange import UpstreamClient
from cactuspass.exceptions import RunOutcomeUnknown
from cactuspass.fleet._catalog import RouteKind
from tests.fleet_path import (
    STAMP,
    PreferredOrderCase,
    Script,
    ScriptedUpstream,
    answer,
    events,
    route,
    send_once,
    stream,
)

INVALID_STATUSES = ("000", "020", "099", "600", "999")
# Informational responses end with their heads, and no request asks to switch protocols.
INFORMATIONAL_STATUSES = ("100", "101", "103", "199")
ODD_BODY = b"odd body"
SOUND_BODY = b"sound body"
ID = "Cactuspass-Request-Id: q1"
SOUND_RESPONSE = (
    f"HTTP/1.1 200 OK\r\n{STAMP}\r\n{ID}\r\nContent-Length: {len(SOUND_BODY)}\r\n\r\n".encode()
    + SOUND_BODY
)
FRAMINGS = ("length", "chunks", "close")
# The caller's time limit is 4 s.
AT_ONCE_SECONDS = 1.0


def odd(status: str, framing: str, behind: bytes = b"") -> Script:
    """Return a script that sends a response with a status and a body.

    :param framing: how the body ends.
    :param behind: what follows on the connection.
    """
    headers = [f"HTTP/1.1 {status} Odd", STAMP, ID]
    body = ODD_BODY
    if framing == "length":
        headers.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        headers.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        writer.write("\r\n".join(headers).encode() + b"\r\n\r\n" + body + behind)
        await writer.drain()
        if framing == "close":
            writer.close()

    return run


class InvalidStatusTest(PreferredOrderCase):
    """What callers get, on the direct path."""

    def cases(self) -> list[tuple[str, str, bytes]]:
        """Return all statuses with each framing, with and without a sound response behind it."""
        statuses = INVALID_STATUSES + INFORMATIONAL_STATUSES
        return list(product(statuses, FRAMINGS, (b"", SOUND_RESPONSE)))

    # Guards against a caller who gets an odd status, the body of an odd response, or nothing until
    # the deadline.
    async def test_request_that_may_run_once_fails_at_once(self) -> None:
        for status, framing, behind in self.cases():
            with self.subTest(status=status, framing=framing, has_sound_behind=bool(behind)):
                sound = answer("200 OK", SOUND_BODY, STAMP, ID)
                case = await self.start(
                    route(RouteKind.NON_IDEMPOTENT), [odd(status, framing, behind)], [sound]
                )
                started_at = time.monotonic()
                got = await case.serve(method="POST")
                self.assertEqual((got.status, self.arrivals()), (502, [1, 0]))
                self.assertNotIn(ODD_BODY, got.body)
                self.assertLess(time.monotonic() - started_at, AT_ONCE_SECONDS)

    # Guards against a body that is that of the odd response and the sound one together.
    async def test_repeatable_request_gets_the_sound_answer(self) -> None:
        for status, framing, behind in self.cases():
            with self.subTest(status=status, framing=framing, has_sound_behind=bool(behind)):
                sound = answer("200 OK", SOUND_BODY, STAMP, ID)
                case = await self.start(route(), [odd(status, framing, behind)], [sound])
                started_at = time.monotonic()
                got = await case.serve()
                self.assertEqual((got.status, got.body), (200, SOUND_BODY))
                self.assertLess(time.monotonic() - started_at, AT_ONCE_SECONDS)

    # Guards against a stream that begins, or goes on, with a response of an odd status.
    async def test_stream_is_that_of_the_sound_upstream(self) -> None:
        target = route(RouteKind.STREAM, resumable=True, max_upstreams=3)
        whole, rest = stream(events(range(1, 4))), stream(events(range(3, 4)))
        begun = stream(events(range(1, 3)), reset=True, end=False)
        for status, framing in product(INVALID_STATUSES + INFORMATIONAL_STATUSES, FRAMINGS):
            spoilt = odd(status, framing)
            for scripts in ([[spoilt], [whole]], [[begun], [spoilt], [rest]]):
                with self.subTest(status=status, framing=framing, upstreams=len(scripts)):
                    case = await self.start(target, *scripts)
                    got = await case.serve()
                    found = (got.status, got.body, got.is_complete)
                    self.assertEqual(found, (200, events(range(1, 4)), True))

    # Guards against a sound answer that is lost since an informational response precedes it.
    async def test_informational_response_without_a_body_is_ignored(self) -> None:
        for status in ("100", "103", "199"):
            early = f"HTTP/1.1 {status} Early\r\nLink: </x>\r\n\r\n".encode()

            async def run(
                writer: asyncio.StreamWriter, request: bytes, early: bytes = early
            ) -> None:
                writer.write(early + SOUND_RESPONSE)
                await writer.drain()

            with self.subTest(status=status):
                case = await self.start(route(RouteKind.NON_IDEMPOTENT), [run])
                got = await case.serve(method="POST")
                self.assertEqual((got.status, got.body), (200, SOUND_BODY))

    # Guards against an odd status line in the head of another response.
    async def test_head_with_an_odd_status_line_in_it_is_mixed(self) -> None:
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                mixed = answer("200 OK", SOUND_BODY, STAMP, f"X-Note: HTTP/1.1 {status} Odd", ID)
                case = await self.start(route(RouteKind.NON_IDEMPOTENT), [mixed])
                got = await case.serve(method="POST")
                self.assertEqual(got.status, 502)


class OwnPathTest(unittest.IsolatedAsyncioTestCase):
    """What the client of the own path returns."""

    # Guards against a status that is none, and against a wait until the timeout for another head.
    async def test_outcome_of_an_invalid_answer_is_unknown(self) -> None:
        statuses = INVALID_STATUSES + INFORMATIONAL_STATUSES
        for status, framing, behind in product(statuses, FRAMINGS, (b"", SOUND_RESPONSE)):
            with self.subTest(status=status, framing=framing, has_sound_behind=bool(behind)):
                upstream = ScriptedUpstream([odd(status, framing, behind)])
                await upstream.start()
                client = UpstreamClient()
                with self.assertRaises(RunOutcomeUnknown):
                    async with asyncio.timeout(AT_ONCE_SECONDS):
                        await send_once(client, upstream)
                client.close()
                await upstream.stop()
