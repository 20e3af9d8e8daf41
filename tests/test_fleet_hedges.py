"""Hedging of streams that stall because a group lost a member.

On days with many losses, this happens every other second. The request is also sent to a second
upstream, and the first of the two that returns events is used.
"""

import asyncio
import unittest
from unittest import mock

from cactuspass.fleet import _attempts, _stream_relay
from cactuspass.fleet._catalog import EngineSpec, RouteKind
from cactuspass.fleet.prompt_parts._messages import BreakMessage
from tests.fleet_path import (
    STAMP,
    MemoryDelivery,
    PathCase,
    Script,
    ScriptedPathCase,
    answer,
    events,
    request,
    route,
    stream,
)

FULL = answer("503 Service Unavailable", b"", "Cactuspass-Not-Run: 1")
RESUMABLE = route(RouteKind.STREAM, resumable=True, gap_objective=0.2)
HEDGE_DELAY_SECONDS = 0.02
LONGER_THAN_CALLER_TIMEOUT_SECONDS = 60.0
EVENT_TIMEOUT_SECONDS = 5.0


async def wait_until_set(event: asyncio.Event) -> None:
    """Wait for an event that the hedge sets."""
    async with asyncio.timeout(EVENT_TIMEOUT_SECONDS):
        await event.wait()


def stream_with_pause(before: bytes, resume: asyncio.Event, after: bytes) -> Script:
    """Return a script that streams, pauses until an event is set, and completes the stream."""

    async def run(writer: asyncio.StreamWriter, got: bytes) -> None:
        head = f"HTTP/1.1 200 OK\r\n{STAMP}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        writer.write(head + _chunk(before))
        await wait_until_set(resume)
        writer.write(_chunk(after) + b"0\r\n\r\n")
        await writer.drain()

    return run


def set_without_response(event: asyncio.Event) -> Script:
    """Return a script that sets an event and sends no response."""

    async def run(writer: asyncio.StreamWriter, got: bytes) -> None:
        event.set()

    return run


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class HedgeTest(ScriptedPathCase):
    """Upstreams are given in the order of preference; a hedge is sent after 20 ms."""

    def setUp(self) -> None:
        for name in ("hedge_delay_before_first_event", "hedge_delay_between_events"):
            patch = mock.patch.object(_stream_relay, name, lambda attempt: HEDGE_DELAY_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)
        for name in (
            "FIRST_EVENT_TIMEOUT_SECONDS",
            "EVENT_GAP_TIMEOUT_SECONDS",
            "RESUMED_EVENT_GAP_TIMEOUT_SECONDS",
        ):
            patch = mock.patch.object(_stream_relay, name, LONGER_THAN_CALLER_TIMEOUT_SECONDS)
            patch.start()
            self.addCleanup(patch.stop)

    async def case(self, *scripts: Script) -> PathCase:
        return await self.start_path(RESUMABLE, *scripts)

    def arrivals(self) -> list[int]:
        return [len(upstream.requests) for upstream in self.upstreams]

    async def test_stream_that_stands_still_goes_on_at_the_second(self) -> None:
        stalled = stream(events(range(1, 4)), end=False)
        case = await self.case(stalled, stream(events(range(4, 7))))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))
        self.assertIn(b"Last-Event-Id: 3", self.upstreams[1].requests[0])

    async def test_hedge_is_used_when_no_first_event_is_received(self) -> None:
        case = await self.case(stream(end=False), stream(events(range(1, 3))))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 3)), True))

    async def test_stalled_upstream_is_avoided_and_reported(self) -> None:
        case = await self.case(stream(events(range(1, 4)), end=False), stream(events(range(4, 7))))
        await case.serve()
        self.assertEqual(case.reported_unresponsive, ["u0"])

    async def test_late_stream_continues_when_it_is_first(self) -> None:
        resumed = asyncio.Event()
        late = stream_with_pause(events(range(1, 4)), resumed, events(range(4, 7)))
        case = await self.case(late, set_without_response(resumed))
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))
        self.assertEqual((self.arrivals(), case.reported_unresponsive), ([1, 1], []))

    async def test_late_stream_continues_when_the_hedge_is_rejected(self) -> None:
        resumed = asyncio.Event()

        async def full(writer: asyncio.StreamWriter, got: bytes) -> None:
            await FULL(writer, got)
            resumed.set()

        late = stream_with_pause(events(range(1, 4)), resumed, events(range(4, 7)))
        got = await (await self.case(late, full)).serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))

    async def test_hedge_is_used_when_the_late_attempt_breaks(self) -> None:
        hedge_received = asyncio.Event()

        async def breaking(writer: asyncio.StreamWriter, got: bytes) -> None:
            await stream(events(range(1, 4)), end=False)(writer, got)
            await wait_until_set(hedge_received)
            writer.transport.abort()

        async def second(writer: asyncio.StreamWriter, got: bytes) -> None:
            hedge_received.set()
            await asyncio.sleep(0.01)
            await stream(events(range(4, 7)))(writer, got)

        got = await (await self.case(breaking, second)).serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 7)), True))

    # Guards against a crash that is not recorded, and its upstream tried again, because a hedge has
    # replaced the late attempt.
    async def test_break_of_a_late_attempt_is_recorded_when_the_hedge_wins(self) -> None:
        hedge_received, broken = asyncio.Event(), asyncio.Event()

        async def breaking(writer: asyncio.StreamWriter, got: bytes) -> None:
            await wait_until_set(hedge_received)
            writer.transport.abort()
            broken.set()

        async def second(writer: asyncio.StreamWriter, got: bytes) -> None:
            hedge_received.set()
            await wait_until_set(broken)
            await asyncio.sleep(HEDGE_DELAY_SECONDS)
            await stream(events(range(1, 4)))(writer, got)

        case = await self.case(breaking, second)
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 4)), True))
        failed = [line for line in case.handler.lines if '"attempt-failed"' in line]
        self.assertEqual(len(failed), 1)
        self.assertIn('"connection-broken"', failed[0])
        self.assertEqual(case.reported_unresponsive, ["u0"])

    # Guards against a crash that the other instances hear of only when a slow hedge has answered.
    async def test_break_of_a_late_attempt_is_told_before_the_hedge_answers(self) -> None:
        hedge_received = asyncio.Event()

        async def breaking(writer: asyncio.StreamWriter, got: bytes) -> None:
            await wait_until_set(hedge_received)
            writer.transport.abort()

        async def second(writer: asyncio.StreamWriter, got: bytes) -> None:
            hedge_received.set()
            async with asyncio.timeout(EVENT_TIMEOUT_SECONDS):
                while not any(isinstance(m, BreakMessage) for m in case.sent_messages):
                    await asyncio.sleep(HEDGE_DELAY_SECONDS)
            await stream(events(range(1, 4)))(writer, got)

        case = await self.case(breaking, second)
        got = await case.serve()
        self.assertEqual((got.body, got.is_complete), (events(range(1, 4)), True))
        breaks = [m for m in case.sent_messages if isinstance(m, BreakMessage)]
        self.assertEqual([m.upstream_id for m in breaks], ["u0"])

    async def test_stream_that_may_not_be_repeated_is_sent_once(self) -> None:
        resumed = asyncio.Event()
        late = stream_with_pause(events(range(1, 4)), resumed, events(range(4, 7)))
        await self.case(late, stream(events(range(4, 7))))
        non_repeatable = PathCase(route(RouteKind.STREAM), self.upstreams)
        self.addCleanup(non_repeatable.pool.close)
        asyncio.get_running_loop().call_later(4 * HEDGE_DELAY_SECONDS, resumed.set)
        got = await non_repeatable.serve()
        self.assertEqual((got.is_complete, self.arrivals()), (True, [1, 0]))

    async def test_no_hedge_without_retry_budget(self) -> None:
        resumed = asyncio.Event()
        late = stream_with_pause(events(range(1, 4)), resumed, events(range(4, 7)))
        case = await self.case(late, stream(events(range(4, 7))))
        asyncio.get_running_loop().call_later(4 * HEDGE_DELAY_SECONDS, resumed.set)
        with mock.patch.object(_attempts, "BUDGET_SHARE_RESERVED_FROM_HEDGES", 1.0):
            got = await case.serve()
        self.assertEqual((got.is_complete, self.arrivals()), (True, [1, 0]))

    async def test_third_upstream_is_never_asked(self) -> None:
        stalled = stream(events(range(1, 4)), end=False)
        also_stalled = stream(events(range(4, 5)), end=False)
        case = await self.case(stalled, also_stalled, stream(events(range(5, 9))))
        with mock.patch.object(_stream_relay, "EVENT_GAP_TIMEOUT_SECONDS", 0.1):
            await case.serve(caller_timeout=0.5)
        self.assertEqual(self.arrivals()[2], 0)

    async def test_both_attempts_end_when_the_caller_leaves(self) -> None:
        hedge_received = asyncio.Event()
        case = await self.case(
            stream(events(range(1, 4)), end=False), set_without_response(hedge_received)
        )
        serving = asyncio.create_task(case.dispatcher.serve(request(), MemoryDelivery()))
        await wait_until_set(hedge_received)
        serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving
        await asyncio.gather(*(u.wait_idle() for u in self.upstreams))
        self.assertEqual([load.in_flight for load in case.loads.loads_by_id.values()], [0, 0])


class MaxEventGapTest(unittest.TestCase):
    """The longest gap between two events of a stream at a healthy group."""

    def test_decoding_steps_and_prompt_reading_add_up(self) -> None:
        engine = EngineSpec(10, {}, 0.006, 0.0001, steps_per_event=7, prompt_tokens_per_step=2000)
        self.assertAlmostEqual(engine.max_event_gap(1.0), 7 * 0.007 + 0.1)
        self.assertAlmostEqual(engine.max_event_gap(0.5), (7 * 0.007 + 0.1) / 2)
