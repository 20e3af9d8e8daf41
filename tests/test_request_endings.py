"""The log line of a request that ends without its whole answer."""

import asyncio
import json
import unittest
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._silence_report import (
    REPORT_INTERVAL_SECONDS,
    SILENT_SECONDS,
    SilenceReport,
)
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from tests.fleet_path import (
    HERE,
    SERVICE,
    MemoryDelivery,
    PathCase,
    ScriptedPathCase,
    events,
    recording_log,
    request,
    route,
    stream,
)
from tests.test_fleet_instance import until
from tests.test_fleet_shutdown import REQUEST, ShutdownCase

STREAM = route(RouteKind.STREAM, resumable=True, timeout=3.0)
SECONDS_SINCE_SIGNAL = 1.0
START = 1024.0


def find_lines(lines: list[str], event: str) -> list[dict[str, object]]:
    """Return the log lines of an event."""
    return [line for line in map(json.loads, lines) if line["event"] == event]


class EndingLineTest(ScriptedPathCase):
    """A stream of which three events are passed on, and then nothing comes."""

    async def begin(self, delivery: MemoryDelivery) -> tuple[PathCase, asyncio.Task[None]]:
        """Serve a stream until its caller has three events."""
        case = await self.start_path(STREAM, stream(events(range(1, 4)), end=False))
        task = asyncio.create_task(case.dispatcher.serve(request(), delivery))
        await until(lambda: b"id: 3" in delivery.body)
        return case, task

    async def begin_in_stop(self) -> tuple[PathCase, asyncio.Task[None]]:
        case, task = await self.begin(MemoryDelivery())
        case.dispatcher.begin_stop(float("inf"), now() - SECONDS_SINCE_SIGNAL)
        return case, task

    # Guards against a cut in a stop of which no line says when it came, where, and after what.
    async def test_cut_in_a_stop_states_what_the_caller_has_got(self) -> None:
        case, task = await self.begin_in_stop()
        case.dispatcher.end_requests()
        await task
        (line,) = find_lines(case.handler.lines, "cut")
        self.assertEqual((line["request"], line["upstream"]), ("q1", "u0"))
        self.assertEqual(
            (line["stop_phase"], line["reason"]), ("ending", "the instance is stopping")
        )
        self.assertEqual((line["last_event"], line["sends"]), ("3", 1))
        self.assertEqual(line["passed_bytes"], len(events(range(1, 4))))
        for name, at_least in (
            ("since_signal", SECONDS_SINCE_SIGNAL),
            ("seconds_left", 0.0),
            ("silent", 0.0),
        ):
            value = line[name]
            assert isinstance(value, float)
            self.assertGreaterEqual(value, at_least)

    async def test_closed_connection_in_a_stop_has_a_line(self) -> None:
        case, task = await self.begin_in_stop()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        (line,) = find_lines(case.handler.lines, "connection-closed")
        self.assertEqual((line["request"], line["stop_phase"]), ("q1", "notice"))

    async def test_closed_connection_without_a_stop_has_none(self) -> None:
        case, task = await self.begin(MemoryDelivery())
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(find_lines(case.handler.lines, "connection-closed"), [])

    # Guards against a fault of the instance that ends an answer, and whose line names no request.
    async def test_fault_of_the_instance_names_the_request(self) -> None:
        delivery = MemoryDelivery()
        with (
            mock.patch.object(delivery, "send_chunk", side_effect=ValueError("fault")),
            self.assertRaises(ValueError),
        ):
            case = await self.start_path(STREAM, stream(events(range(1, 4))))
            await case.dispatcher.serve(request(), delivery)
        (line,) = find_lines(case.handler.lines, "internal-error")
        self.assertEqual((line["request"], line["reason"]), ("q1", "fault"))
        self.assertNotIn("stop_phase", line)

    async def test_cut_states_why_the_stream_was_not_repeated(self) -> None:
        broken = stream(events(range(1, 4)), end=False, reset=True)
        case = await self.start_path(STREAM, broken, stream(events(range(4, 7))))
        with mock.patch("cactuspass.fleet._budgets.RetryBudget.try_spend", lambda *args: False):
            await case.serve()
        (line,) = find_lines(case.handler.lines, "cut")
        self.assertEqual(line["not_repeated"], "no-budget-left")

    async def test_cut_states_that_no_other_upstream_was_left(self) -> None:
        broken = stream(events(range(1, 4)), end=False, reset=True)
        case = await self.start_path(STREAM, broken)
        with mock.patch("cactuspass.fleet._stream_relay.RESUME_WAIT_SECONDS", 0.1):
            await case.serve()
        (line,) = find_lines(case.handler.lines, "cut")
        self.assertEqual(line["not_repeated"], line["reason"])


class ClosedListenerTest(ShutdownCase):
    """A listener that is closed while a request runs."""

    # Guards against requests that the last step of a stop ends, and that only a number shows.
    async def test_request_that_the_listener_ends_has_a_line(self) -> None:
        self.addCleanup(self.release.set)
        self.listener.begin_stop(now(), float("inf"))
        (await self.connect_and_begin()).send(REQUEST)
        await self.reached.wait()
        await self.listener.close()
        await until(lambda: find_lines(self.case.handler.lines, "connection-closed") != [])
        (line,) = find_lines(self.case.handler.lines, "connection-closed")
        self.assertEqual((line["stop_phase"], line["upstream"]), ("closing", "u0"))


class SilenceReportTest(unittest.TestCase):
    """Three upstreams of a service at which requests run."""

    def setUp(self) -> None:
        self.log, self.handler = recording_log()
        self.loads = LoadTable()
        self.report = SilenceReport(self.loads, self.log)
        self.ids = [UpstreamId(f"u{number}") for number in range(3)]
        for upstream_id in self.ids:
            self.loads.record_send(upstream_id, START)
            self.report.note_sent(Upstream(upstream_id, SERVICE, "a:1", HERE))

    def counts(self) -> list[tuple[object, object]]:
        lines = find_lines(self.handler.lines, "upstreams-silent")
        return [(line["silent"], line["of"]) for line in lines]

    # Guards against a pause of all upstreams that is seen only as many lines of single requests.
    def test_silent_upstreams_are_counted(self) -> None:
        at = START + SILENT_SECONDS + 0.1
        self.loads.note_heard(self.ids[0], at)
        self.report.report(SERVICE, at)
        self.assertEqual(self.counts(), [(2, 3)])

    def test_upstreams_without_requests_are_left_out(self) -> None:
        self.loads.record_end(self.ids[0])
        self.report.report(SERVICE, START + SILENT_SECONDS + 0.1)
        self.assertEqual(self.counts(), [(2, 2)])

    # Guards against ids of upstreams that are gone being kept as long as the process runs.
    def test_upstreams_without_requests_are_forgotten(self) -> None:
        self.loads.record_end(self.ids[0])
        self.report.remove_unused()
        self.assertEqual(self.report._used_by_service, {SERVICE: set(self.ids[1:])})

    def test_there_is_one_line_a_second_at_most(self) -> None:
        at = START + SILENT_SECONDS + 0.1
        for delay in (0.0, REPORT_INTERVAL_SECONDS / 2, REPORT_INTERVAL_SECONDS):
            self.report.report(SERVICE, at + delay)
        self.assertEqual(self.counts(), [(3, 3), (3, 3)])

    def test_upstreams_that_send_give_no_line(self) -> None:
        self.report.report(SERVICE, START + SILENT_SECONDS / 2)
        self.assertEqual(self.counts(), [])


if __name__ == "__main__":
    unittest.main()
