"""Requests to upstreams that state a limit in a response, on real connections."""

import asyncio
import itertools
import json
import time
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._upstreams import UpstreamId
from tests.fleet_path import (
    STAMP,
    PathCase,
    PreferredOrderCase,
    answer,
    events,
    route,
    stream,
)

FIRST = UpstreamId("u0")
SECOND = UpstreamId("u1")
RATE = 5.0
LIMITED = answer("200 OK", b"limited", STAMP, f"Server-Limit: {RATE}")
UNLIMITED = answer("200 OK", b"body", STAMP)
NO_SHARE = 0.0


def limit(case: PathCase, upstream_id: UpstreamId, rate: float = NO_SHARE) -> None:
    """Let an instance know a limit, for which it has no token yet."""
    upstream = case.cluster_state.view.upstreams_by_id[upstream_id]
    case.limits.limits.record(upstream.lifetime, rate, now(), now())


class LimitTest(PreferredOrderCase):
    """What one instance sends to an upstream with a limit."""

    # Guards against an upstream that got all requests as before after it had named a limit.
    async def test_requests_beyond_the_limit_go_elsewhere(self) -> None:
        case = await self.start(route(objective=0.02), [LIMITED], [UNLIMITED])
        await case.serve()
        began = time.monotonic()
        for _ in range(40):
            self.assertEqual((await case.serve()).status, 200)
            await asyncio.sleep(0.02)
        allowed = RATE * (time.monotonic() - began) + 2
        first, second = self.arrivals()
        self.assertLessEqual(first - 1, allowed)
        self.assertGreaterEqual(first, 3)
        self.assertEqual(first + second, 41)

    async def test_refusal_states_when_the_next_request_can_be_served(self) -> None:
        case = await self.start(route(objective=0.02), [LIMITED])
        await case.serve()
        refusals = [await case.serve() for _ in range(3)]
        self.assertEqual([got.status for got in refusals], [503] * 3)
        self.assertEqual({json.loads(got.body)["run"] for got in refusals}, {"not-run"})
        times = [float(got.header("Retry-After") or "0") for got in refusals]
        self.assertGreater(times[0], 0.0)
        for earlier, later in itertools.pairwise(times):
            self.assertAlmostEqual(later - earlier, 1 / RATE, delta=0.05)

    async def test_request_waits_for_a_token_that_is_due_soon(self) -> None:
        case = await self.start(route(objective=1.0), [LIMITED])
        for _ in range(3):
            self.assertEqual((await case.serve()).status, 200)

    async def test_limit_that_becomes_known_while_connecting_holds(self) -> None:
        await self.serve_after_change(lambda case, upstream: limit(case, upstream.upstream_id))

    async def test_unsent_request_leaves_its_token(self) -> None:
        case = await self.start(route(RouteKind.NON_IDEMPOTENT), [UNLIMITED], [UNLIMITED])
        limit(case, FIRST, 1000.0)
        lifetime = case.cluster_state.view.upstreams_by_id[FIRST].lifetime
        known = case.limits.limits.find(lifetime)
        assert known is not None
        known.allowance.tokens = 10.0
        with mock.patch.object(case.selector, "accepts_requests", lambda upstream, at: False):
            await case.serve()
        self.assertEqual((known.sent, self.arrivals()), (0, [0, 0]))
        self.assertGreaterEqual(known.allowance.tokens, 10.0)


class StreamTest(PreferredOrderCase):
    """Streams that go on at another upstream need a token for it."""

    async def serve_cut_stream(self, rate: float | None) -> bool:
        """Serve a stream whose upstream fails; return whether another one got the rest."""
        resumable = route(RouteKind.STREAM, resumable=True, gap_objective=0.2)
        case = await self.start(
            resumable,
            [stream(events(range(1, 4)), end=False, reset=True)],
            [stream(events(range(4, 7)))],
        )
        if rate is not None:
            limit(case, SECOND, rate)
        got = await case.serve()
        self.assertEqual(got.is_complete, self.arrivals()[1] == 1)
        return self.arrivals()[1] == 1

    async def test_resumed_stream_needs_a_token(self) -> None:
        self.assertTrue(await self.serve_cut_stream(None))
        self.assertTrue(await self.serve_cut_stream(2.0))
        self.assertFalse(await self.serve_cut_stream(NO_SHARE))

    async def test_late_stream_is_hedged_only_with_a_token(self) -> None:
        for rate, arrivals in ((1000.0, [1, 1]), (NO_SHARE, [1, 0])):
            with self.subTest(rate=rate):
                resumable = route(RouteKind.STREAM, resumable=True, gap_objective=0.2)
                late = stream(events(range(1, 2)), end=False)
                case = await self.start(resumable, [late], [stream(events(range(2, 7)))])
                limit(case, SECOND, rate)
                await case.serve(caller_timeout=0.9)
                self.assertEqual(self.arrivals(), arrivals)
