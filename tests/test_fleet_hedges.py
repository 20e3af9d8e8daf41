"""Streams at groups that stand still, because a member was lost (every other second on heavy days).

The request goes to a second upstream as well; the first that brings events goes on.
"""

import asyncio
import unittest
from unittest import mock

from cactuspass.fleet import _attempts, _stream_relay
from cactuspass.fleet._catalog import EngineSpec, RouteKind
from tests.fleet_path import (
    STAMP,
    PathCase,
    Script,
    ScriptedUpstream,
    answer,
    events,
    request,
    route,
    stream,
)
from tests.fleet_path import MemoryDelivery as Caller

FULL = answer("503 Service Unavailable", b"", "Cactuspass-Not-Run: 1")
RESUMABLE = route(RouteKind.STREAM, resumable=True, gap_objective=0.2)
LATE_AFTER_SECONDS = 0.02
LONGER_THAN_THE_CALLER_WAITS = 60.0
GIVE_UP_SECONDS = 5.0


async def happens(event: asyncio.Event) -> None:
    """Wait for an event that a second attempt brings about."""
    async with asyncio.timeout(GIVE_UP_SECONDS):
        await event.wait()


def pausing(before: bytes, pause: asyncio.Event, after: bytes) -> Script:
    """Return a script that streams, stands still until an event is set, and ends."""

    async def run(writer: asyncio.StreamWriter, got: bytes) -> None:
        head = f"HTTP/1.1 200 OK\r\n{STAMP}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        writer.write(head + _chunk(before))
        await happens(pause)
        writer.write(_chunk(after) + b"0\r\n\r\n")
        await writer.drain()

    return run


def setting(event: asyncio.Event) -> Script:
    """Return a script that sets an event and answers nothing."""

    async def run(writer: asyncio.StreamWriter, got: bytes) -> None:
        event.set()

    return run


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    """Upstreams in the order in which they are preferred; each is late after 20 ms."""

    def setUp(self) -> None:
        for name in ("hedge_delay_before_first_event", "hedge_delay_between_events"):
            patch = mock.patch.object(_stream_relay, name, lambda attempt: LATE_AFTER_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)
        for name in (
            "FIRST_EVENT_TIMEOUT_SECONDS",
            "EVENT_GAP_TIMEOUT_SECONDS",
            "RESUMED_EVENT_GAP_TIMEOUT_SECONDS",
        ):
            patch = mock.patch.object(_stream_relay, name, LONGER_THAN_THE_CALLER_WAITS)
            patch.start()
            self.addCleanup(patch.stop)

    async def case(self, *scripts: Script) -> PathCase:
        self.upstreams = [ScriptedUpstream([script]) for script in scripts]
        for upstream in self.upstreams:
            await upstream.start()
            self.addAsyncCleanup(upstream.stop)
        case = PathCase(RESUMABLE, self.upstreams)
        self.addCleanup(case.pool.close)
        return case

    def arrivals(self) -> list[int]:
        return [len(upstream.requests) for upstream in self.upstreams]

    async def test_stream_that_stands_still_goes_on_at_the_second(self) -> None:
        silent = stream(events(range(1, 4)), end=False)
        case = await self.case(silent, stream(events(range(4, 7))))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))
        self.assertIn(b"Last-Event-Id: 3", self.upstreams[1].requests[0])

    async def test_second_answers_when_no_first_event_comes(self) -> None:
        case = await self.case(stream(end=False), stream(events(range(1, 3))))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 3)), True))

    async def test_upstream_that_stood_still_is_avoided_and_told_of(self) -> None:
        case = await self.case(stream(events(range(1, 4)), end=False), stream(events(range(4, 7))))
        await case.serve()
        self.assertEqual(case.reported_unresponsive, ["u0"])

    async def test_late_stream_that_is_first_goes_on_by_itself(self) -> None:
        resumed = asyncio.Event()
        late = pausing(events(range(1, 4)), resumed, events(range(4, 7)))
        case = await self.case(late, setting(resumed))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))
        self.assertEqual((self.arrivals(), case.reported_unresponsive), ([1, 1], []))

    async def test_late_stream_goes_on_when_the_second_is_full(self) -> None:
        resumed = asyncio.Event()

        async def full(writer: asyncio.StreamWriter, got: bytes) -> None:
            await FULL(writer, got)
            resumed.set()

        late = pausing(events(range(1, 4)), resumed, events(range(4, 7)))
        got = await (await self.case(late, full)).serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))

    async def test_second_goes_on_when_the_late_one_breaks(self) -> None:
        asked = asyncio.Event()

        async def breaking(writer: asyncio.StreamWriter, got: bytes) -> None:
            await stream(events(range(1, 4)), end=False)(writer, got)
            await happens(asked)
            writer.transport.abort()

        async def second(writer: asyncio.StreamWriter, got: bytes) -> None:
            asked.set()
            await asyncio.sleep(0.01)
            await stream(events(range(4, 7)))(writer, got)

        got = await (await self.case(breaking, second)).serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))

    async def test_stream_that_may_not_be_repeated_is_sent_once(self) -> None:
        resumed = asyncio.Event()
        late = pausing(events(range(1, 4)), resumed, events(range(4, 7)))
        await self.case(late, stream(events(range(4, 7))))
        once = PathCase(route(RouteKind.STREAM), self.upstreams)
        self.addCleanup(once.pool.close)
        asyncio.get_running_loop().call_later(4 * LATE_AFTER_SECONDS, resumed.set)
        got = await once.serve()
        self.assertEqual((got.is_complete, self.arrivals()), (True, [1, 0]))

    async def test_no_second_attempt_without_budget(self) -> None:
        resumed = asyncio.Event()
        late = pausing(events(range(1, 4)), resumed, events(range(4, 7)))
        case = await self.case(late, stream(events(range(4, 7))))
        asyncio.get_running_loop().call_later(4 * LATE_AFTER_SECONDS, resumed.set)
        with mock.patch.object(_attempts, "SHARE_KEPT_FROM_HEDGES", 1.0):
            got = await case.serve()
        self.assertEqual((got.is_complete, self.arrivals()), (True, [1, 0]))

    async def test_third_upstream_is_never_asked(self) -> None:
        silent = stream(events(range(1, 4)), end=False)
        torn = stream(events(range(4, 5)), end=False)
        case = await self.case(silent, torn, stream(events(range(5, 9))))
        with mock.patch.object(_stream_relay, "EVENT_GAP_TIMEOUT_SECONDS", 0.1):
            await case.serve(caller_timeout=0.5)
        self.assertEqual(self.arrivals()[2], 0)

    async def test_both_attempts_end_when_the_caller_leaves(self) -> None:
        asked = asyncio.Event()
        case = await self.case(stream(events(range(1, 4)), end=False), setting(asked))
        serving = asyncio.create_task(case.dispatcher.serve(request(), Caller()))
        await happens(asked)
        serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving
        await asyncio.gather(*(u.wait_idle() for u in self.upstreams))
        self.assertEqual([load.in_flight for load in case.loads.loads_by_id.values()], [0, 0])


class LongestPauseTest(unittest.TestCase):
    """How long a working group may keep its streams waiting."""

    def test_steps_and_reading_add_up(self) -> None:
        engine = EngineSpec(10, {}, 0.006, 0.0001, steps_per_event=7, prompt_tokens_per_step=2000)
        self.assertAlmostEqual(engine.max_event_gap(1.0), 7 * 0.007 + 0.1)
        self.assertAlmostEqual(engine.max_event_gap(0.5), (7 * 0.007 + 0.1) / 2)
