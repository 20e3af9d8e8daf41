"""Upstreams that reject requests and request a backoff."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from cactuspass._clock import now
from cactuspass.exceptions import SendWithdrawn
from cactuspass.fleet._backoff import FIRST_REJECTION_BACKOFF_SECONDS
from cactuspass.fleet._choices import Selection
from cactuspass.fleet._upstreams import UpstreamId
from tests.fleet_path import (
    STAMP,
    MemoryDelivery,
    PreferredOrderCase,
    Script,
    answer,
    request,
    route,
)

NOT_RUN = "Cactuspass-Not-Run: 1"
TIMEOUT_SECONDS = 5.0
FIRST = UpstreamId("u0")


def busy(retry_after: str) -> Script:
    """Return a script that rejects a request and requests a backoff."""
    return answer("503 Service Unavailable", b"", NOT_RUN, f"Retry-After: {retry_after}")


class BackoffTest(PreferredOrderCase):
    """A rejection with a Retry-After header stops requests to the upstream for that time.

    The clock advances only when a test sets it, so the load of the machine has no effect.
    """

    async def asyncSetUp(self) -> None:
        self.at = now()
        patch = mock.patch("time.clock_gettime", lambda clock_id: self.at)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_no_request_before_the_backoff_has_ended(self) -> None:
        success = answer("200 OK", b"body", STAMP)
        case = await self.start(route(), [busy("2.5"), success], [success])
        with mock.patch("cactuspass.fleet._attempts.REJECTION_PAUSE_SECONDS", 0.0):
            for _ in range(3):
                self.assertEqual((await case.serve()).status, 200)
        self.assertEqual(self.arrivals(), [1, 3])

    async def test_refused_at_once_with_the_end_of_the_earliest_backoff(self) -> None:
        case = await self.start(route(), [busy("9")], [busy("2")])
        for _ in range(2):
            response = await case.serve()
            self.assertEqual(response.status, 503)
            after = float(response.header("Retry-After") or "0")
            self.assertGreater(after, 1.5)
            self.assertLess(after, 2.7)
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_full_upstream_gives_a_shorter_retry_delay_than_a_backoff(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("9")], [full])
        response = await case.serve()
        self.assertEqual(response.status, 503)
        self.assertLess(float(response.header("Retry-After") or "9"), 1.0)

    async def test_backoff_that_ends_soon_gives_a_shorter_retry_delay(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("0.3")], [full])
        response = await case.serve()
        self.assertLess(float(response.header("Retry-After") or "9"), 0.45)

    async def test_one_trial_request_and_more_after_it_succeeds(self) -> None:
        released = asyncio.Event()
        success = answer("200 OK", b"body", STAMP)

        async def respond_when_released(writer: asyncio.StreamWriter, received: bytes) -> None:
            await released.wait()
            await success(writer, received)

        case = await self.start(route(), [busy("2"), respond_when_released, success])
        self.addCleanup(released.set)
        await case.serve()
        self.at += 1.9
        self.assertEqual((await case.serve()).status, 503)
        self.at += 0.2
        async with asyncio.timeout(TIMEOUT_SECONDS):
            trial = asyncio.create_task(case.serve())
            while self.arrivals() == [1]:
                await asyncio.sleep(0.001)
            self.assertEqual((await case.serve()).status, 503)
            self.assertEqual(self.arrivals(), [2])
            released.set()
            self.assertEqual((await trial).status, 200)
        self.assertEqual((await case.serve()).status, 200)

    async def test_trial_request_of_a_caller_that_disconnects_makes_room_for_another(self) -> None:
        reached = asyncio.Event()

        async def silent(writer: asyncio.StreamWriter, received: bytes) -> None:
            reached.set()

        case = await self.start(route(), [busy("0"), silent, answer("200 OK", b"body", STAMP)])
        await case.serve()
        trial = asyncio.create_task(case.dispatcher.serve(request(), MemoryDelivery()))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reached.wait()
        trial.cancel()
        await asyncio.gather(trial, return_exceptions=True)
        self.assertEqual((await case.serve()).status, 200)

    async def test_trial_request_rejected_without_a_time_does_not_raise_the_limit(self) -> None:
        reached, released = asyncio.Event(), asyncio.Event()
        success = answer("200 OK", b"body", STAMP)

        async def respond_when_released(writer: asyncio.StreamWriter, received: bytes) -> None:
            reached.set()
            await released.wait()
            await success(writer, received)

        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("0"), full, respond_when_released, success])
        self.addCleanup(released.set)
        for _ in range(2):
            self.assertEqual((await case.serve()).status, 503)
        self.at += FIRST_REJECTION_BACKOFF_SECONDS
        trial = asyncio.create_task(case.serve())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await reached.wait()
        self.assertEqual((await case.serve()).status, 503)
        released.set()
        self.assertEqual((await trial).status, 200)
        self.assertEqual(self.arrivals(), [3])

    # Two requests that choose the same upstream at the same time must not both use its only slot.
    async def test_slot_that_was_taken_since_the_selection_is_not_used_twice(self) -> None:
        case = await self.start(route(), [answer("200 OK", b"body", STAMP)])
        backoff, first = case.selector.backoff, case.cluster_state.view.upstreams_by_id[FIRST]
        backoff.extend(first.lifetime, 0.0, 0.0)
        backoff.begin_trial(first.lifetime)
        inbound = request()
        attempts = case.dispatcher._create_attempts(inbound, case.admission.admit(inbound))
        with self.assertRaises(SendWithdrawn):
            attempts.close(await attempts.send(Selection(first, 0.0)))
        self.assertEqual(self.arrivals(), [0])

    # While the connection is being opened, another response may request a backoff.
    async def test_request_that_waits_for_its_connection_goes_elsewhere(self) -> None:
        await self.serve_after_change(
            lambda case, first: case.selector.backoff.extend(first.lifetime, 9.0, now())
        )

    async def test_backoff_is_logged_with_the_request_that_caused_it(self) -> None:
        case = await self.start(route(), [busy("2.5")])
        await case.serve()
        [line] = [line for line in case.handler.lines if '"upstream-quiet"' in line]
        for part in ('"request": "q1"', '"upstream": "u0"', '"seconds": 2.5'):
            self.assertIn(part, line)

    async def test_unreadable_times_are_replaced_and_logged(self) -> None:
        for text in ("-3", "soon", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "9" * 400):
            with self.subTest(text=text):
                case = await self.start(route(), [busy(text)])
                await case.serve()
                [line] = [line for line in case.handler.lines if '"upstream-quiet"' in line]
                self.assertIn('"asked": "', line)
                self.assertEqual((await case.serve()).status, 503)
                self.assertEqual(self.arrivals(), [1])

    # A "not run" response of an engine has no Retry-After; the engine is tried again soon.
    async def test_rejection_without_a_time_starts_a_short_backoff(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [full, answer("200 OK", b"body", STAMP)])
        await case.serve()
        self.assertEqual((await case.serve()).status, 503)
        self.assertEqual(self.arrivals(), [1])
        self.at += FIRST_REJECTION_BACKOFF_SECONDS
        self.assertEqual((await case.serve()).status, 200)
        [line] = [line for line in case.handler.lines if '"upstream-rejects"' in line]
        self.assertIn('"request": "q1"', line)

    async def test_retry_after_in_a_response_other_than_503_starts_no_backoff(self) -> None:
        success = answer("200 OK", b"body", STAMP, "Retry-After: 9")
        case = await self.start(route(), [success])
        await case.serve()
        self.assertEqual((await case.serve()).status, 200)

    async def test_later_lifetime_has_no_backoff(self) -> None:
        case = await self.start(route(), [busy("9"), answer("200 OK", b"body", STAMP)])
        await case.serve()
        first = case.cluster_state.view.upstreams_by_id[FIRST]
        case.cluster_state.accept_upstreams([replace(first, born_ms=first.born_ms + 1)], 2)
        self.assertEqual((await case.serve()).status, 200)


if __name__ == "__main__":
    unittest.main()
