"""Tests of the rate limits of the decision log."""

import json
import unittest
from unittest import mock

from cactuspass.fleet._decision_log import BURST_LINES, OTHER_LINES_PER_SECOND, DecisionLog
from tests.fleet_path import RecordingHandler

START = 1024.0


class RateLimitTest(unittest.TestCase):
    """A process that logs more lines than the rate limits allow."""

    def setUp(self) -> None:
        self.at = START
        patch = mock.patch("cactuspass.fleet._decision_log.now", lambda: self.at)
        patch.start()
        self.addCleanup(patch.stop)
        self.handler = RecordingHandler()
        self.log = DecisionLog("e0", self.handler)

    def logged_kinds(self) -> list[str]:
        return [json.loads(line)["kind"] for line in self.handler.lines]

    def test_refused_requests_do_not_use_up_the_limit_of_orders(self) -> None:
        # Guards against losing the leader's orders, which are needed to trace an incident, when
        # many requests are refused at the same time.
        for number in range(int(BURST_LINES) * 2):
            self.log.request("refused", f"q{number}")
        self.log.order("join-sent", upstream="i-1")
        self.assertEqual(self.logged_kinds()[-1], "order")
        self.assertEqual(self.log.dropped, BURST_LINES)

    def test_orders_are_limited_too(self) -> None:
        for _ in range(int(BURST_LINES) + 1):
            self.log.order("join-sent", upstream="i-1")
        self.assertEqual((len(self.logged_kinds()), self.log.dropped), (BURST_LINES, 1))
        self.at += 1 / OTHER_LINES_PER_SECOND
        self.log.state_change("lead-taken")
        self.assertEqual(self.logged_kinds()[-1], "belief")

    # Guards against a cut answer that no line names, since the lines of attempts came before it.
    def test_attempts_do_not_use_up_the_limit_of_answers_that_end(self) -> None:
        for number in range(int(BURST_LINES) * 2):
            self.log.request("attempt-failed", f"q{number}")
        self.log.ending("cut", "q-cut")
        last = json.loads(self.handler.lines[-1])
        self.assertEqual(
            (last["event"], last["request"], last["kind"]), ("cut", "q-cut", "request")
        )

    def test_answers_that_end_are_limited_too(self) -> None:
        for number in range(int(BURST_LINES) + 1):
            self.log.ending("cut", f"q{number}")
        self.assertEqual((len(self.logged_kinds()), self.log.dropped), (BURST_LINES, 1))

    def test_alarms_are_always_written(self) -> None:
        for _ in range(int(BURST_LINES) + 1):
            self.log.alarm("catalog-older")
        self.assertEqual(self.log.dropped, 0)


if __name__ == "__main__":
    unittest.main()
