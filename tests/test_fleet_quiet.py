"""Times of quiet: how long they last, how requests return, and when callers should."""

import random
import unittest

from cactuspass.fleet import _backoff
from cactuspass.fleet._backoff import BackoffTable, clamp_backoff
from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._connections import AnswerHead
from cactuspass.fleet._inbound import RequestedBackoff
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._selection import (
    NoUpstream,
    NoUpstreamReason,
    Selection,
    SelectionRequest,
    Selector,
)
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import HERE, SERVICE, recording_log, route

LIFETIME = Lifetime(UpstreamId("a"), 1)
AT = 100.0


class TableTest(unittest.TestCase):
    """One upstream, by a clock that the tests set."""

    def setUp(self) -> None:
        self.table = BackoffTable()
        self.table.extend(LIFETIME, 2.0, AT)

    def test_nothing_before_the_time_and_one_after(self) -> None:
        self.assertEqual(self.table.delay(LIFETIME, AT), 2.0)
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 1.99))
        self.assertEqual(self.table.delay(LIFETIME, AT + 2.0), 0.0)
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 2.1), 0.0)

    def test_more_follow_as_requests_are_answered(self) -> None:
        room = []
        for _ in range(3):
            trials = []
            while len(trials) < 20 and not self.table.delay(LIFETIME, AT + 3.0):
                trials.append(self.table.begin_trial(LIFETIME))
            room.append(len(trials))
            for trial in trials:
                assert trial is not None
                trial.succeed()
        self.assertEqual(room, [1, 2, 4])

    def test_any_number_once_enough_were_answered(self) -> None:
        for _ in range(_backoff.FULL_ROOM):
            trial = self.table.begin_trial(LIFETIME)
            assert trial is not None
            trial.succeed()
        self.assertEqual(self.table.delay(LIFETIME, AT + 3.0), 0.0)
        self.assertIsNone(self.table.begin_trial(LIFETIME))

    def test_a_request_that_ends_without_an_answer_leaves_its_place_to_one_other(self) -> None:
        trial = self.table.begin_trial(LIFETIME)
        assert trial is not None
        trial.end()
        trial.end()
        trial.succeed()
        self.assertEqual(self.table.delay(LIFETIME, AT + 3.0), 0.0)
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 3.0), 0.0)

    def test_a_shorter_time_asked_for_later_shortens_nothing(self) -> None:
        self.assertEqual(self.table.extend(LIFETIME, 0.5, AT + 0.5), 0.0)
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 1.9))
        self.assertEqual(self.table.extend(LIFETIME, 2.0, AT + 1.0), 1.0)

    def test_answers_to_requests_from_before_a_time_of_quiet_do_not_end_it(self) -> None:
        earlier = self.table.begin_trial(LIFETIME)
        assert earlier is not None
        self.table.extend(LIFETIME, 2.0, AT + 3.0)
        earlier.succeed()
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 4.9))
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 5.0), 0.0)

    def test_other_lifetimes_are_not_concerned(self) -> None:
        self.assertEqual(self.table.delay(Lifetime(UpstreamId("a"), 2), AT), 0.0)

    def test_what_ended_long_ago_is_forgotten(self) -> None:
        self.table.remove_expired(AT + _backoff.FORGET_SECONDS)
        self.assertIsNotNone(self.table.begin_trial(LIFETIME))
        self.table.extend(LIFETIME, 2.0, AT)
        self.table.remove_expired(AT + _backoff.FORGET_SECONDS + 2.1)
        self.assertIsNone(self.table.begin_trial(LIFETIME))


class DecodingTest(unittest.TestCase):
    """What the platform's header says, and what is made of it."""

    def seconds(self, text: str, status: int = 503) -> float | None:
        notes = PlatformRequests().read_answer(AnswerHead(status, (("retry-after", text),)))
        return clamp_backoff(notes.backoff) if notes.backoff is not None else None

    def test_seconds_and_fractions_are_taken_as_they_are(self) -> None:
        for text, seconds in (("3", 3.0), (" 0.25 ", 0.25), ("0", 0.0), ("59.5", 59.5)):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), seconds)

    def test_what_cannot_be_read_is_taken_for_a_short_time(self) -> None:
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "-3", "soon", "nan", "inf", "1e9", "0x10", "1,5", "\u0663", date):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), _backoff.UNREADABLE_SECONDS)

    def test_absurdly_long_times_are_cut_short(self) -> None:
        for text in ("61", "86400", "9" * 400):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), _backoff.MAX_BACKOFF_SECONDS)

    def test_other_answers_ask_for_none(self) -> None:
        for status in (200, 429, 500, 502):
            with self.subTest(status=status):
                self.assertIsNone(self.seconds("3", status))
        self.assertIsNone(PlatformRequests().read_answer(AnswerHead(503, ())).backoff)

    def test_text_for_the_log_is_bounded(self) -> None:
        notes = PlatformRequests().read_answer(AnswerHead(503, (("retry-after", "9" * 400),)))
        assert notes.backoff is not None
        self.assertEqual(notes.backoff, RequestedBackoff(float("inf"), "9" * 64))


class SelectionTest(unittest.TestCase):
    """Which upstream gets a request, and the earliest time at which one could."""

    def setUp(self) -> None:
        cluster_state = ClusterState(recording_log()[0])
        cluster_state.accept_catalog(Catalog(1, (route(),), {SERVICE: Service(SERVICE)}))
        self.ids = [UpstreamId(name) for name in ("a", "b", "c")]
        self.upstreams = [Upstream(i, SERVICE, f"{i}:1", HERE, slots=4) for i in self.ids]
        cluster_state.accept_upstreams(self.upstreams, 1)
        self.loads = LoadTable()
        self.selector = Selector(cluster_state, self.loads, HERE, random.Random(1))

    def ask(self, number: int, seconds: float) -> None:
        self.selector.backoff.extend(self.upstreams[number].lifetime, seconds, AT)

    def choose(self, at: float, full: tuple[int, ...] = ()) -> Selection | NoUpstream:
        turned_away = {self.ids[number] for number in full}
        return self.selector.choose(SelectionRequest(SERVICE, None, (), 0.1, full=turned_away), at)

    def test_others_are_used_meanwhile(self) -> None:
        self.ask(0, 5.0)
        self.ask(1, 5.0)
        for _ in range(20):
            found = self.choose(AT)
            assert isinstance(found, Selection)
            self.assertEqual(found.upstream.upstream_id, "c")

    def test_earliest_end_when_all_are_quiet(self) -> None:
        for number, seconds in enumerate((5.0, 3.0, 40.0)):
            self.ask(number, seconds)
        found = self.choose(AT + 1.0)
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BACKING_OFF, 2.0, 3, None, 2.0))

    def test_full_ones_may_have_room_before_quiet_ones_end(self) -> None:
        self.ask(0, 5.0)
        found = self.choose(AT, full=(1, 2))
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BUSY, 0.5, 3, None, 5.0))
        found = self.choose(AT + 4.75, full=(1, 2))
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BUSY, 0.25, 3, None, 0.25))

    def test_quiet_that_ends_before_a_busy_one_has_room(self) -> None:
        self.ask(0, 0.4)
        for upstream_id in self.ids[1:]:
            load = self.loads.load(upstream_id)
            load.in_flight, load.latency = 40, 1.0
        found = self.choose(AT)
        assert isinstance(found, NoUpstream)
        self.assertEqual(found.reason, NoUpstreamReason.ALL_BUSY)
        self.assertAlmostEqual(found.retry_after, 0.4)


if __name__ == "__main__":
    unittest.main()
