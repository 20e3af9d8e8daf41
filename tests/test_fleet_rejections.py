"""Load on an upstream that rejects every request at once and reports that it is idle.

The head of a closed or broken group does this, while the registry may still show it as serving.
"""

import random
import unittest
from unittest import mock

from cactuspass.fleet import _upstream_notices
from cactuspass.fleet._backoff import (
    FIRST_REJECTION_BACKOFF_SECONDS,
    MAX_REJECTION_BACKOFF_SECONDS,
    BackoffTable,
)
from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._choices import NoUpstreamReason, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import AnswerNotes, LoadReport
from cactuspass.fleet._limit_notices import LimitNotices
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstream_notices import UpstreamNotices
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.models import RequestId
from tests.fleet_path import HERE, SERVICE, recording_log, route

LIFETIME = Lifetime(UpstreamId("a"), 1)
AT = 100.0
IDLE_REJECTION = AnswerNotes(not_run=True, from_application=False, load=LoadReport(0, 0, 4))


class RejectionBackoffTest(unittest.TestCase):
    """The backoff after rejections that request none."""

    def setUp(self) -> None:
        self.table = BackoffTable()

    def reject(self, at: float) -> float:
        self.table.begin_trial(LIFETIME)
        return self.table.record_rejection(LIFETIME, at)

    def test_backoff_doubles_with_each_rejected_trial_up_to_a_limit(self) -> None:
        at, found = AT, []
        for _ in range(6):
            found.append(self.reject(at))
            at += found[-1]
        self.assertEqual(found[:3], [FIRST_REJECTION_BACKOFF_SECONDS * f for f in (1, 2, 4)])
        self.assertEqual(found[-1], MAX_REJECTION_BACKOFF_SECONDS)

    def test_rejections_of_requests_already_sent_do_not_lengthen_it(self) -> None:
        first = self.reject(AT)
        self.assertEqual(self.table.record_rejection(LIFETIME, AT + first / 2), 0.0)
        self.assertEqual(self.table.delay(LIFETIME, AT + first), 0.0)

    def test_backoff_is_short_again_after_an_accepted_trial(self) -> None:
        second_at = AT + self.reject(AT)
        third_at = second_at + self.reject(second_at)
        trial = self.table.begin_trial(LIFETIME)
        assert trial is not None
        trial.succeed()
        self.assertEqual(self.reject(third_at), FIRST_REJECTION_BACKOFF_SECONDS)

    def test_requested_backoff_is_not_shortened(self) -> None:
        self.table.extend(LIFETIME, 5.0, AT)
        self.reject(AT + 0.1)
        self.assertTrue(self.table.is_backing_off(LIFETIME, AT + 4.9))


class RejectingHeadTest(unittest.TestCase):
    """Steady traffic while one of five upstreams rejects everything and looks idle."""

    def setUp(self) -> None:
        log, self.lines = recording_log()
        cluster_state = ClusterState(log)
        cluster_state.accept_catalog(Catalog(1, (route(),), {SERVICE: Service(SERVICE)}))
        self.upstreams = [
            Upstream(UpstreamId(name), SERVICE, f"{name}:1", HERE, slots=4) for name in "abcde"
        ]
        cluster_state.accept_upstreams(self.upstreams, 1)
        self.loads = LoadTable()
        self.selector = Selector(cluster_state, self.loads, HERE, random.Random(1))
        pool = mock.Mock()
        self.notices = UpstreamNotices(
            cluster_state,
            self.selector.backoff,
            LimitNotices(self.selector.limits, cluster_state, log, Metrics(), mock.Mock()),
            pool,
            log,
            Metrics(),
            mock.Mock(),
            mock.Mock(),
        )

    def send(self, at: float) -> UpstreamId | None:
        """Send a request; upstream ``a`` rejects it, the others are busy and accept it."""
        found = self.selector.choose(SelectionRequest(SERVICE, None, (), 1.0), at)
        if not isinstance(found, Selection):
            self.assertEqual(found.reason, NoUpstreamReason.ALL_BACKING_OFF)
            return None
        upstream = found.upstream
        self.loads.record_send(upstream.upstream_id, at)
        trial = self.selector.backoff.begin_trial(upstream.lifetime)
        is_rejected = upstream.upstream_id == "a"
        notes = IDLE_REJECTION if is_rejected else AnswerNotes(False, True, LoadReport(2, 0, 4))
        with mock.patch.object(_upstream_notices, "now", lambda: at):
            self.notices.apply(upstream, notes, RequestId("r"), at)
        if trial is not None:
            trial.end() if is_rejected else trial.succeed()
        assert notes.load is not None
        self.loads.record_report(upstream.upstream_id, notes.load, at)
        self.loads.record_end(upstream.upstream_id)
        return upstream.upstream_id

    # Guards against an upstream that rejects at once drawing all requests, since it looks idle.
    def test_idle_looking_upstream_that_rejects_gets_few_requests(self) -> None:
        sent_to = [self.send(AT + number * 0.02) for number in range(300)]
        self.assertLess(sent_to.count(UpstreamId("a")), 10)
        self.assertNotIn(None, sent_to)

    def test_each_longer_backoff_is_logged_with_the_reported_load(self) -> None:
        for number in range(300):
            self.send(AT + number * 0.02)
        lines = [line for line in self.lines.lines if '"upstream-rejects"' in line]
        self.assertIn('"running": 0', lines[0])
        self.assertLess(len(lines), 10)


if __name__ == "__main__":
    unittest.main()
