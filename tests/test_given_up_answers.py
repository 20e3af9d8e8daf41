"""Answers that a living upstream would have finished, and that are given up before it does."""

import asyncio
import unittest
from unittest import mock

from cactuspass.fleet import _plain_relay, _stream_relay
from cactuspass.fleet._catalog import RouteKind
from tests.fleet_path import ScriptedPathCase, answer, events, route, stream
from tests.test_fleet_replacements import (
    FULL,
    GAP_TIMEOUT_SECONDS,
    RESUMABLE,
    SILENT_SECONDS,
    WHOLE,
    pausing,
)


async def answer_late(writer: asyncio.StreamWriter, request: bytes) -> None:
    """Answer completely after ``SILENT_SECONDS``."""
    await asyncio.sleep(SILENT_SECONDS)
    await answer("200 OK", b"late", "Cactuspass-Server-Stamp: s1")(writer, request)


class PlainAnswerTest(ScriptedPathCase):
    """A plain request that may be repeated, whose upstream is silent for some time."""

    def setUp(self) -> None:
        for name, value in (
            ("MIN_STALL_TIMEOUT_SECONDS", GAP_TIMEOUT_SECONDS),
            ("STALL_TIMEOUT_LATENCY_FACTOR", 0.0),
        ):
            patch = mock.patch.object(_plain_relay, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    # Guards against a 502 for a request that is given up and then may not be repeated.
    async def test_silent_upstream_is_waited_for_without_retry_budget(self) -> None:
        case = await self.start_path(route(RouteKind.IDEMPOTENT), answer_late, answer("200 OK"))
        with mock.patch("cactuspass.fleet._budgets.RetryBudget.try_spend", lambda *args: False):
            got = await case.serve()
        self.assertEqual((got.status, got.body), (200, b"late"))

    # Guards against a 503 or 502 for a request that is given up for upstreams that are full.
    async def test_silent_upstream_is_waited_for_when_the_other_is_full(self) -> None:
        case = await self.start_path(route(RouteKind.IDEMPOTENT), answer_late, FULL)
        got = await case.serve()
        self.assertEqual((got.status, got.body), (200, b"late"))

    async def test_silent_upstream_is_waited_for_when_the_request_may_run_only_once(self) -> None:
        case = await self.start_path(route(RouteKind.NON_IDEMPOTENT), answer_late, answer("200 OK"))
        got = await case.serve()
        self.assertEqual((got.status, got.body), (200, b"late"))


class ReplacedStreamTest(ScriptedPathCase):
    """A stream that goes on at a second upstream while the first one is silent."""

    def setUp(self) -> None:
        for name in ("EVENT_GAP_TIMEOUT_SECONDS", "RESUMED_EVENT_GAP_TIMEOUT_SECONDS"):
            patch = mock.patch.object(_stream_relay, name, GAP_TIMEOUT_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)

    # Guards against a stream that is cut when its second upstream breaks off, though the first one
    # runs again and there is time.
    async def test_stream_goes_back_to_the_first_upstream_when_the_second_breaks_off(self) -> None:
        first = [pausing(), stream(events(range(5, 7)))]
        second = stream(events(range(4, 5)), end=False, reset=True)
        case = await self.start_path(RESUMABLE, first, second)
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))


if __name__ == "__main__":
    unittest.main()
