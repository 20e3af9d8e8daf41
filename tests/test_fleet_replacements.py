"""Streams whose upstream falls silent in the middle, while no other upstream can take them."""

import asyncio
import unittest
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet import _stream_relay
from cactuspass.fleet._catalog import RouteKind
from tests.fleet_path import (
    PathCase,
    Script,
    ScriptedPathCase,
    answer,
    events,
    route,
    stream,
)
from tests.test_fleet_hedges import stream_with_pause

FULL = answer("503 Service Unavailable", b"", "Cactuspass-Not-Run: 1", "Cactuspass-Request-Id: q1")
RESUMABLE = route(RouteKind.STREAM, resumable=True, gap_objective=0.2, timeout=3.0)
GAP_TIMEOUT_SECONDS = 0.05
SILENT_SECONDS = 0.6  # over ten times the timeout between events
WHOLE = events(range(1, 7))


def pausing() -> Script:
    """Return a script of a stream that is silent in the middle for ``SILENT_SECONDS``."""

    async def run(writer: asyncio.StreamWriter, request: bytes) -> None:
        resume = asyncio.Event()
        asyncio.get_running_loop().call_later(SILENT_SECONDS, resume.set)
        await stream_with_pause(events(range(1, 4)), resume, events(range(4, 7)))(writer, request)

    return run


class ReplacementTest(ScriptedPathCase):
    """Upstreams are given in the order of preference; a stream counts as silent after 50 ms."""

    def setUp(self) -> None:
        for name in ("EVENT_GAP_TIMEOUT_SECONDS", "RESUMED_EVENT_GAP_TIMEOUT_SECONDS"):
            patch = mock.patch.object(_stream_relay, name, GAP_TIMEOUT_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)

    async def case(self, *scripts: Script | list[Script]) -> PathCase:
        return await self.start_path(RESUMABLE, *scripts)

    # Guards against a stream that is cut since the upstreams that should go on with it are full,
    # though its own upstream was only silent.
    async def test_silent_stream_goes_on_when_all_others_are_full(self) -> None:
        case = await self.case(pausing(), FULL, FULL)
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete, got.was_aborted), (WHOLE, True, False))
        self.assertGreater(len(self.upstreams[1].requests) + len(self.upstreams[2].requests), 0)

    # Guards against a silent stream that is cut when it may not be repeated.
    async def test_silent_stream_goes_on_without_retry_budget(self) -> None:
        case = await self.case(pausing(), stream(WHOLE))
        with mock.patch("cactuspass.fleet._budgets.RetryBudget.try_spend", lambda *args: False):
            got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))
        self.assertEqual(len(self.upstreams[1].requests), 0)

    async def test_silent_stream_goes_on_when_the_other_is_silent_too(self) -> None:
        case = await self.case(pausing(), stream(end=False))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))

    async def test_silent_stream_is_replaced_by_one_that_returns_events(self) -> None:
        case = await self.case(
            stream(events(range(1, 4)), end=False), FULL, stream(events(range(4, 7)))
        )
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))
        lines = "".join(case.handler.lines)
        self.assertIn('"event": "stream-resumed"', lines)
        await self.upstreams[0].wait_idle()

    # Guards against refusals by full upstreams that use up all attempts within milliseconds.
    async def test_attempts_at_full_upstreams_last_until_one_has_a_free_slot(self) -> None:
        rest = stream(events(range(4, 7)))
        broken = stream(events(range(1, 4)), end=False, reset=True)
        case = await self.case(broken, [FULL, FULL, FULL, rest])
        began = now()
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))
        self.assertGreater(now() - began, _stream_relay.RESUME_PAUSE_SECONDS)

    # Guards against a stream that ends early when its silent upstream crashes in the end.
    async def test_stream_is_resumed_when_the_silent_upstream_crashes(self) -> None:
        async def crash(writer: asyncio.StreamWriter, request: bytes) -> None:
            await stream(events(range(1, 4)), end=False)(writer, request)
            await asyncio.sleep(SILENT_SECONDS)
            writer.transport.abort()

        rest = stream(events(range(4, 7)))
        case = await self.case(crash, [FULL, FULL, FULL, rest])
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (WHOLE, True))

    async def test_stream_that_stays_silent_ends_cut_at_its_deadline(self) -> None:
        case = await self.case(stream(events(range(1, 4)), end=False), FULL)
        began = now()
        got = await case.serve()
        self.assertFalse(got.is_complete)
        self.assertTrue(got.was_aborted)
        self.assertAlmostEqual(now() - began, RESUMABLE.timeout, delta=0.5)


if __name__ == "__main__":
    unittest.main()
