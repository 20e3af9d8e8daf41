"""Upstreams that turn requests away and say for how long they want to be left alone."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from cactuspass._clock import now
from cactuspass.exceptions import SendWithdrawn
from cactuspass.fleet._selection import Selection
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
GIVE_UP_SECONDS = 5.0
FIRST = UpstreamId("u0")


def busy(retry_after: str) -> Script:
    """Return a script that turns a request away and asks for quiet."""
    return answer("503 Service Unavailable", b"", NOT_RUN, f"Retry-After: {retry_after}")


class QuietTest(PreferredOrderCase):
    """An upstream that turns a request away may say for how long it wants nothing.

    The clock stands still unless a test moves it, however busy the machine is.
    """

    async def asyncSetUp(self) -> None:
        self.at = now()
        patch = mock.patch("time.clock_gettime", lambda clock_id: self.at)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_nothing_goes_there_before_the_time_has_passed(self) -> None:
        fine = answer("200 OK", b"body", STAMP)
        case = await self.start(route(), [busy("2.5"), fine], [fine])
        with mock.patch("cactuspass.fleet._attempts.REJECTION_PAUSE_SECONDS", 0.0):
            for _ in range(3):
                self.assertEqual((await case.serve()).status, 200)
        self.assertEqual(self.arrivals(), [1, 3])

    async def test_refused_at_once_with_the_time_at_which_one_returns(self) -> None:
        case = await self.start(route(), [busy("9")], [busy("2")])
        for _ in range(2):
            got = await case.serve()
            self.assertEqual(got.status, 503)
            after = float(got.header("Retry-After") or "0")
            self.assertGreater(after, 1.5)
            self.assertLess(after, 2.7)
        self.assertEqual(self.arrivals(), [1, 1])

    async def test_full_upstream_is_worth_an_earlier_return_than_a_quiet_one(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("9")], [full])
        got = await case.serve()
        self.assertEqual(got.status, 503)
        self.assertLess(float(got.header("Retry-After") or "9"), 1.0)

    async def test_quiet_that_ends_soon_is_worth_an_earlier_return(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("0.3")], [full])
        got = await case.serve()
        self.assertLess(float(got.header("Retry-After") or "9"), 0.45)

    async def test_one_request_tries_and_more_follow_as_it_is_answered(self) -> None:
        go_on = asyncio.Event()
        fine = answer("200 OK", b"body", STAMP)

        async def slowly(writer: asyncio.StreamWriter, got: bytes) -> None:
            await go_on.wait()
            await fine(writer, got)

        case = await self.start(route(), [busy("2"), slowly, fine])
        self.addCleanup(go_on.set)
        await case.serve()
        self.at += 1.9
        self.assertEqual((await case.serve()).status, 503)
        self.at += 0.2
        async with asyncio.timeout(GIVE_UP_SECONDS):
            trying = asyncio.create_task(case.serve())
            while self.arrivals() == [1]:
                await asyncio.sleep(0.001)
            self.assertEqual((await case.serve()).status, 503)
            self.assertEqual(self.arrivals(), [2])
            go_on.set()
            self.assertEqual((await trying).status, 200)
        self.assertEqual((await case.serve()).status, 200)

    async def test_caller_that_leaves_gives_the_place_of_its_try_to_another(self) -> None:
        asked = asyncio.Event()

        async def silent(writer: asyncio.StreamWriter, got: bytes) -> None:
            asked.set()

        case = await self.start(route(), [busy("0"), silent, answer("200 OK", b"body", STAMP)])
        await case.serve()
        trying = asyncio.create_task(case.dispatcher.serve(request(), MemoryDelivery()))
        async with asyncio.timeout(GIVE_UP_SECONDS):
            await asked.wait()
        trying.cancel()
        await asyncio.gather(trying, return_exceptions=True)
        self.assertEqual((await case.serve()).status, 200)

    async def test_try_that_is_turned_away_without_a_time_lets_no_more_follow(self) -> None:
        asked, go_on = asyncio.Event(), asyncio.Event()
        fine = answer("200 OK", b"body", STAMP)

        async def slowly(writer: asyncio.StreamWriter, got: bytes) -> None:
            asked.set()
            await go_on.wait()
            await fine(writer, got)

        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [busy("0"), full, slowly, fine])
        self.addCleanup(go_on.set)
        for _ in range(2):
            self.assertEqual((await case.serve()).status, 503)
        trying = asyncio.create_task(case.serve())
        async with asyncio.timeout(GIVE_UP_SECONDS):
            await asked.wait()
        self.assertEqual((await case.serve()).status, 503)
        go_on.set()
        self.assertEqual((await trying).status, 200)
        self.assertEqual(self.arrivals(), [3])

    # Of two requests that chose the upstream at the same moment, one goes there.
    async def test_place_that_was_taken_since_the_choice_is_not_used_twice(self) -> None:
        case = await self.start(route(), [answer("200 OK", b"body", STAMP)])
        backoff, first = case.selector.backoff, case.cluster_state.view.upstreams_by_id[FIRST]
        backoff.extend(first.lifetime, 0.0, 0.0)
        backoff.begin_trial(first.lifetime)
        asked = request()
        attempts = case.dispatcher._attempts(asked, case.admission.admit(asked))
        with self.assertRaises(SendWithdrawn):
            attempts.close(await attempts.send(Selection(first, 0.0)))
        self.assertEqual(self.arrivals(), [0])

    # Connecting takes time, in which another answer may ask for quiet.
    async def test_request_that_waits_for_its_connection_does_not_go_there(self) -> None:
        await self.serve_after_change(
            lambda case, first: case.selector.backoff.extend(first.lifetime, 9.0, now())
        )

    async def test_belief_is_logged_with_the_request_that_brought_it(self) -> None:
        case = await self.start(route(), [busy("2.5")])
        await case.serve()
        [line] = [line for line in case.handler.lines if '"upstream-quiet"' in line]
        for part in ('"request": "q1"', '"upstream": "u0"', '"seconds": 2.5'):
            self.assertIn(part, line)

    async def test_unreadable_times_are_bounded_and_logged(self) -> None:
        for text in ("-3", "soon", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "9" * 400):
            with self.subTest(text=text):
                case = await self.start(route(), [busy(text)])
                await case.serve()
                [line] = [line for line in case.handler.lines if '"upstream-quiet"' in line]
                self.assertIn('"asked": "', line)
                self.assertEqual((await case.serve()).status, 503)
                self.assertEqual(self.arrivals(), [1])

    # An engine's own "not run" names no time; it is asked again soon, as before.
    async def test_rejection_without_a_time_asks_for_no_quiet(self) -> None:
        full = answer("503 Service Unavailable", b"", NOT_RUN)
        case = await self.start(route(), [full, answer("200 OK", b"body", STAMP)])
        await case.serve()
        with mock.patch("cactuspass.fleet._attempts.REJECTION_PAUSE_SECONDS", 0.0):
            self.assertEqual((await case.serve()).status, 200)

    async def test_time_in_an_answer_that_is_no_503_asks_for_no_quiet(self) -> None:
        fine = answer("200 OK", b"body", STAMP, "Retry-After: 9")
        case = await self.start(route(), [fine])
        await case.serve()
        self.assertEqual((await case.serve()).status, 200)

    async def test_another_lifetime_has_asked_for_nothing(self) -> None:
        case = await self.start(route(), [busy("9"), answer("200 OK", b"body", STAMP)])
        await case.serve()
        first = case.cluster_state.view.upstreams_by_id[FIRST]
        case.cluster_state.accept_upstreams([replace(first, born_ms=first.born_ms + 1)], 2)
        self.assertEqual((await case.serve()).status, 200)


if __name__ == "__main__":
    unittest.main()
