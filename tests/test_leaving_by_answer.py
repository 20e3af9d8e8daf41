"""Upstreams that announce in a response that they are leaving."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from cactuspass.fleet import _stream_relay
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._upstreams import UpstreamId
from tests.fleet_path import (
    STAMP,
    MemoryDelivery,
    PreferredOrderCase,
    answer,
    events,
    request,
    route,
    stream,
)

LEAVING = "Server-Leaving: 1"
NOT_RUN = "Cactuspass-Not-Run: 1"
RESUMABLE = {"resumable": True, "gap_objective": 0.2}
TIMEOUT_SECONDS = 5.0
FIRST = UpstreamId("u0")


class LeavingTest(PreferredOrderCase):
    """After such a response the upstream gets no new requests, whatever the kind of the route."""

    async def test_next_request_goes_elsewhere(self) -> None:
        success = answer("200 OK", b"body", STAMP)
        leaving = answer("200 OK", b"last", STAMP, LEAVING)
        case = await self.start(route(), [leaving], [success])
        self.assertEqual((await case.serve()).body, b"last")
        self.assertEqual((await case.serve()).body, b"body")
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_other_header_values_are_ignored(self) -> None:
        for value in ("0", "", "10", "true"):
            with self.subTest(value=value):
                case = await self.start(
                    route(), [answer("200 OK", b"body", STAMP, f"Server-Leaving: {value}")]
                )
                await case.serve()
                self.assertEqual((await case.serve()).status, 200)

    async def test_failed_response_announces_it_too(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN, LEAVING)
        case = await self.start(route(), [full], [answer("200 OK", b"body", STAMP)])
        with mock.patch("cactuspass.fleet._attempts.REJECTION_PAUSE_SECONDS", 0.0):
            await case.serve()
            await case.serve()
        self.assertEqual(self.arrivals(), [1, 2])

    async def test_mark_outlives_a_listing_in_which_the_upstream_is_ready(self) -> None:
        leaving = answer("200 OK", b"last", STAMP, LEAVING)
        case = await self.start(route(), [leaving], [answer("200 OK", b"body", STAMP)])
        registered = list(case.cluster_state.view.upstreams_by_id.values())
        await case.serve()
        case.cluster_state.accept_upstreams(registered[1:], 2)
        case.cluster_state.accept_upstreams(registered, 3)
        await case.serve()
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_mark_ends_with_the_lifetime(self) -> None:
        leaving = answer("200 OK", b"last", STAMP, LEAVING)
        success = answer("200 OK", b"body", STAMP)
        case = await self.start(route(), [leaving, success], [success])
        first, second = case.cluster_state.view.upstreams_by_id.values()
        await case.serve()
        await case.serve()
        case.cluster_state.accept_upstreams([replace(first, born_ms=first.born_ms + 1), second], 2)
        await case.serve()
        self.assertEqual(self.arrivals(), [2, 1])

    async def test_request_is_refused_when_all_upstreams_are_leaving(self) -> None:
        case = await self.start(route(), [answer("200 OK", b"last", STAMP, LEAVING)])
        await case.serve()
        self.assertEqual((await case.serve()).status, 503)
        self.assertEqual(self.arrivals(), [1])

    async def test_idle_connections_are_closed(self) -> None:
        leaving = answer("200 OK", b"last", STAMP, LEAVING)
        case = await self.start(route(), [answer("200 OK", b"", STAMP), leaving])
        await case.serve()
        await case.serve()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.upstreams[0].wait_idle()

    async def test_running_stream_finishes_and_its_connection_is_closed(self) -> None:
        leaving = stream(events(range(1, 4)), events(range(4, 7)), headers=(LEAVING,))
        case = await self.start(route(RouteKind.STREAM, **RESUMABLE), [leaving], [stream()])
        response = await case.serve()
        self.assertEqual((response.body, response.is_complete), (events(range(1, 7)), True))
        self.assertEqual(self.arrivals(), [1, 0])
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.upstreams[0].wait_idle()

    # The response head announces that the upstream leaves; the first event may arrive much later.
    async def test_head_of_a_stream_is_applied_before_its_first_event(self) -> None:
        silent = stream(end=False, headers=(LEAVING,))
        success = stream(events(range(1, 3)))
        case = await self.start(route(RouteKind.STREAM), [silent], [success])
        waiting = asyncio.create_task(case.dispatcher.serve(request(), MemoryDelivery()))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not any("upstream-leaving" in line for line in case.handler.lines):
                await asyncio.sleep(0.001)
        response = await case.serve()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual((response.body, self.arrivals()), (events(range(1, 3)), [1, 1]))

    async def test_broken_stream_is_not_resumed_at_a_leaving_upstream(self) -> None:
        broken = stream(events(range(1, 4)), end=False, reset=True, headers=(LEAVING,))
        case = await self.start(route(RouteKind.STREAM, **RESUMABLE), [broken, stream()])
        with mock.patch.object(_stream_relay, "RESUME_WAIT_SECONDS", 0.05):
            await case.serve()
        self.assertEqual(self.arrivals(), [1])

    async def test_hedge_of_a_late_stream_does_not_go_to_a_leaving_upstream(self) -> None:
        success = answer("200 OK", b"", STAMP)
        late = stream(events(range(1, 4)), end=False)
        case = await self.start(
            route(RouteKind.STREAM, **RESUMABLE), [late], [success], [stream(events(range(4, 7)))]
        )
        second = case.cluster_state.view.upstreams_by_id[UpstreamId("u1")]
        case.cluster_state.mark_leaving(second.lifetime)
        with mock.patch.object(_stream_relay, "EVENT_GAP_TIMEOUT_SECONDS", 0.02):
            response = await case.serve()
        self.assertEqual((response.is_complete, self.arrivals()), (True, [1, 0, 1]))

    # While the connection is being opened, another response may announce that the upstream leaves.
    async def test_request_that_waits_for_its_connection_goes_elsewhere(self) -> None:
        case = await self.serve_after_change(
            lambda case, first: case.cluster_state.mark_leaving(first.lifetime)
        )
        self.assertEqual(case.reported_unresponsive, [])

    async def test_mark_is_logged_with_the_request_that_caused_it(self) -> None:
        case = await self.start(route(), [answer("200 OK", b"last", STAMP, LEAVING)])
        await case.serve()
        [line] = [line for line in case.handler.lines if '"upstream-leaving"' in line]
        for part in ('"request": "q1"', '"upstream": "u0"', '"born_ms": 0', '"by": "answer"'):
            self.assertIn(part, line)


if __name__ == "__main__":
    unittest.main()
