"""Backoffs: how long they last, how requests resume after them, and when callers should retry."""

import random
import unittest

from cactuspass.fleet import _backoff
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._backoff import BackoffTable, clamp_backoff
from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._choices import NoUpstream, NoUpstreamReason, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import RequestedBackoff
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import HERE, SERVICE, recording_log, route

LIFETIME = Lifetime(UpstreamId("a"), 1)
AT = 100.0


class TableTest(unittest.TestCase):
    """Backoffs of one upstream, with clock values set by the tests."""

    def setUp(self) -> None:
        self.table = BackoffTable()
        self.table.extend(LIFETIME, 2.0, AT)

    def test_no_request_before_the_end_and_one_after_it(self) -> None:
        self.assertEqual(self.table.delay(LIFETIME, AT), 2.0)
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 1.99))
        self.assertEqual(self.table.delay(LIFETIME, AT + 2.0), 0.0)
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 2.1), 0.0)

    def test_limit_rises_as_trial_requests_succeed(self) -> None:
        counts = []
        for _ in range(3):
            trials = []
            while len(trials) < 20 and not self.table.delay(LIFETIME, AT + 3.0):
                trials.append(self.table.begin_trial(LIFETIME))
            counts.append(len(trials))
            for trial in trials:
                assert trial is not None
                trial.succeed()
        self.assertEqual(counts, [1, 2, 4])

    def test_no_limit_after_enough_successful_trial_requests(self) -> None:
        for _ in range(_backoff.MAX_TRIAL_LIMIT):
            trial = self.table.begin_trial(LIFETIME)
            assert trial is not None
            trial.succeed()
        self.assertEqual(self.table.delay(LIFETIME, AT + 3.0), 0.0)
        self.assertIsNone(self.table.begin_trial(LIFETIME))

    def test_trial_request_without_a_response_makes_room_for_one_other(self) -> None:
        trial = self.table.begin_trial(LIFETIME)
        assert trial is not None
        trial.end()
        trial.end()
        trial.succeed()
        self.assertEqual(self.table.delay(LIFETIME, AT + 3.0), 0.0)
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 3.0), 0.0)

    def test_shorter_backoff_requested_later_shortens_nothing(self) -> None:
        self.assertEqual(self.table.extend(LIFETIME, 0.5, AT + 0.5), 0.0)
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 1.9))
        self.assertEqual(self.table.extend(LIFETIME, 2.0, AT + 1.0), 1.0)

    def test_responses_to_requests_sent_before_a_backoff_do_not_end_it(self) -> None:
        earlier = self.table.begin_trial(LIFETIME)
        assert earlier is not None
        self.table.extend(LIFETIME, 2.0, AT + 3.0)
        earlier.succeed()
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 4.9))
        self.table.begin_trial(LIFETIME)
        self.assertGreater(self.table.delay(LIFETIME, AT + 5.0), 0.0)

    def test_other_lifetimes_are_not_affected(self) -> None:
        self.assertEqual(self.table.delay(Lifetime(UpstreamId("a"), 2), AT), 0.0)

    def test_backoff_that_ended_long_ago_is_removed(self) -> None:
        self.table.remove_expired(AT + _backoff.EXPIRY_SECONDS)
        self.assertIsNotNone(self.table.begin_trial(LIFETIME))
        self.table.extend(LIFETIME, 2.0, AT)
        self.table.remove_expired(AT + _backoff.EXPIRY_SECONDS + 2.1)
        self.assertIsNone(self.table.begin_trial(LIFETIME))


class DecodingTest(unittest.TestCase):
    """The backoff read from the platform's Retry-After header."""

    def seconds(self, text: str, status: int = 503) -> float | None:
        notes = PlatformRequests().read_answer(AnswerHead(status, (("retry-after", text),)))
        return clamp_backoff(notes.backoff) if notes.backoff is not None else None

    def test_seconds_and_fractions_are_used_unchanged(self) -> None:
        for text, seconds in (("3", 3.0), (" 0.25 ", 0.25), ("0", 0.0), ("59.5", 59.5)):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), seconds)

    def test_unreadable_values_give_a_short_backoff(self) -> None:
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "-3", "soon", "nan", "inf", "1e9", "0x10", "1,5", "\u0663", date):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), _backoff.UNREADABLE_BACKOFF_SECONDS)

    def test_long_backoffs_are_capped(self) -> None:
        for text in ("61", "86400", "9" * 400):
            with self.subTest(text=text):
                self.assertEqual(self.seconds(text), _backoff.MAX_BACKOFF_SECONDS)

    def test_other_responses_request_no_backoff(self) -> None:
        for status in (200, 429, 500, 502):
            with self.subTest(status=status):
                self.assertIsNone(self.seconds("3", status))
        self.assertIsNone(PlatformRequests().read_answer(AnswerHead(503, ())).backoff)

    def test_text_for_the_log_is_limited_in_length(self) -> None:
        notes = PlatformRequests().read_answer(AnswerHead(503, (("retry-after", "9" * 400),)))
        assert notes.backoff is not None
        self.assertEqual(notes.backoff, RequestedBackoff(float("inf"), "9" * 64))


class SelectionTest(unittest.TestCase):
    """The upstream that gets a request, or the earliest time at which one could."""

    def setUp(self) -> None:
        cluster_state = ClusterState(recording_log()[0])
        cluster_state.accept_catalog(Catalog(1, (route(),), {SERVICE: Service(SERVICE)}))
        self.ids = [UpstreamId(name) for name in ("a", "b", "c")]
        self.upstreams = [Upstream(i, SERVICE, f"{i}:1", HERE, slots=4) for i in self.ids]
        cluster_state.accept_upstreams(self.upstreams, 1)
        self.loads = LoadTable()
        self.selector = Selector(cluster_state, self.loads, HERE, random.Random(1))

    def back_off(self, number: int, seconds: float) -> None:
        self.selector.backoff.extend(self.upstreams[number].lifetime, seconds, AT)

    def choose(self, at: float, full: tuple[int, ...] = ()) -> Selection | NoUpstream:
        rejecting = {self.ids[number] for number in full}
        return self.selector.choose(SelectionRequest(SERVICE, None, (), 0.1, full=rejecting), at)

    def test_other_upstreams_are_used_during_a_backoff(self) -> None:
        self.back_off(0, 5.0)
        self.back_off(1, 5.0)
        for _ in range(20):
            found = self.choose(AT)
            assert isinstance(found, Selection)
            self.assertEqual(found.upstream.upstream_id, "c")

    def test_earliest_end_when_all_are_backing_off(self) -> None:
        for number, seconds in enumerate((5.0, 3.0, 40.0)):
            self.back_off(number, seconds)
        found = self.choose(AT + 1.0)
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BACKING_OFF, 2.0, 3, None, 2.0))

    def test_full_upstreams_may_accept_requests_before_a_backoff_ends(self) -> None:
        self.back_off(0, 5.0)
        found = self.choose(AT, full=(1, 2))
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BUSY, 0.5, 3, None, 5.0))
        found = self.choose(AT + 4.75, full=(1, 2))
        self.assertEqual(found, NoUpstream(NoUpstreamReason.ALL_BUSY, 0.25, 3, None, 0.25))

    def test_backoff_that_ends_before_a_busy_upstream_is_free(self) -> None:
        self.back_off(0, 0.4)
        for upstream_id in self.ids[1:]:
            load = self.loads.load(upstream_id)
            load.in_flight, load.latency = 40, 1.0
        found = self.choose(AT)
        assert isinstance(found, NoUpstream)
        self.assertEqual(found.reason, NoUpstreamReason.ALL_BUSY)
        self.assertAlmostEqual(found.retry_after, 0.4)


if __name__ == "__main__":
    unittest.main()
