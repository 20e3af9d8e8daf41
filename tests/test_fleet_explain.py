"""Tests of explain and timeline, with the recorded logs that docs/OPERATIONS.md refers to."""

import unittest
from pathlib import Path

from cactuspass.fleet._explain import (
    LogLine,
    LogUnreadable,
    explain,
    parse_line,
    read_logs,
    timeline,
)

ROOT = Path(__file__).resolve().parent.parent
LOGS = ROOT / "tests" / "golden" / "decision_logs"
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def explain_recorded(request_id: str, name: str) -> str:
    """Return the output of explain for a request in a recorded log."""
    return "\n".join(explain(request_id, read_logs([str(LOGS / name)])))


class RecordedLogTest(unittest.TestCase):
    """The logs alone show why a request failed."""

    def check(self, request_id: str, name: str, *causes: str) -> None:
        """Check that the page names the request and that explain shows the causes."""
        self.assertIn(request_id, PAGE)
        explanation = explain_recorded(request_id, name)
        for cause in causes:
            self.assertIn(cause, explanation)

    def test_refused_in_overload(self) -> None:
        self.check(
            "1ca9016fca152ac3", "refused.log", "all-upstreams-busy", "wait=0.1181", "offers=5"
        )

    def test_cut_by_a_broken_group(self) -> None:
        self.check(
            "6b094dcf21b6321c",
            "cut.log",
            "failure=connection-broken",
            "no-repeat-left",
            "group=g90003 reason=member i-4e83d26a5f has left",
        )

    def test_refused_because_keys_could_not_be_checked(self) -> None:
        self.check(
            "21bb3798286e170a",
            "keys.log",
            "dependency-lost",
            "reason=keys-unverified operators_age=5.0305",
            "dependency-regained",
        )

    # Guards against a refusal from which nobody gets to the crashes that it was made for.
    def test_refused_for_a_blocked_part(self) -> None:
        self.check(
            "a3cc0b1b66444ee4",
            "blocked.log",
            "part-suspected         parts=48720f3588ea",
            "customer=xaka200 upstream=i-31b174c273 by=front-kagoshima-1 request=db8ce5d5cf9a00d1",
            "customers=xaka200 crashes=2 reason=crashed 2 upstreams",
            "age=0.001 reported_by=front-kagoshima-1 version=1 source=message",
            "reason=prompt-part-blocked",
            "parts=48720f3588ea block_version=1",
        )

    def test_crash_shows_the_parts_and_what_became_of_them(self) -> None:
        self.check(
            "db8ce5d5cf9a00d1",
            "blocked.log",
            "upstream=i-31b174c273 failure=connection-broken",
            "answer=head shared_parts=a1979a9a31e,48720f3588ea",
            "part-blocked",
            "failed ",
        )

    def test_parts_of_other_requests_are_left_out(self) -> None:
        lines = read_logs([str(LOGS / "blocked.log")])
        self.assertTrue(any("f7be993cced" in line.blocked_parts for line in lines))
        self.assertNotIn("f7be993cced", explain_recorded("a3cc0b1b66444ee4", "blocked.log"))

    def test_timeline_shows_blocks(self) -> None:
        events = [line.split()[2] for line in timeline(read_logs([str(LOGS / "blocked.log")]))]
        self.assertEqual(events.count("part-blocked"), 2)

    def test_request_without_a_line_is_reported(self) -> None:
        self.assertIn("leaves none", explain_recorded("nobody", "cut.log"))


class UpstreamNoticeTest(unittest.TestCase):
    """Notices of upstreams are shown while they apply, however long ago they were logged."""

    def line(self, time: float, event: str, instance: str = "e0", **fields: object) -> LogLine:
        kind = "request" if event in ("refused", "attempt-failed") else "belief"
        return LogLine(time, time, instance, kind, event, fields)

    def explain_refusal(self, *lines: LogLine) -> str:
        """Return the output of explain for a request refused at time 100, after other lines."""
        refused = self.line(100.0, "refused", request="q2", service="app")
        ordered = sorted((*lines, refused), key=lambda line: line.time)
        return "\n".join(explain("q2", ordered))

    def test_backoff_of_the_service_is_shown_until_it_ends(self) -> None:
        fields = {"upstream": "u0", "service": "app", "request": "q1"}
        for seconds, is_shown in ((30.0, True), (5.0, False)):
            with self.subTest(seconds=seconds):
                backoff = self.line(80.0, "upstream-quiet", seconds=seconds, **fields)
                self.assertEqual("upstream-quiet" in self.explain_refusal(backoff), is_shown)

    def test_leaving_is_shown_until_the_upstream_has_left(self) -> None:
        leaving = self.line(10.0, "upstream-leaving", upstream="u0", service="app", request="q1")
        left = self.line(60.0, "upstream-left", upstream="u0")
        self.assertIn("upstream-leaving", self.explain_refusal(leaving))
        self.assertNotIn("upstream-leaving", self.explain_refusal(leaving, left))
        other = self.line(60.0, "upstream-left", upstream="u1")
        self.assertIn("upstream-leaving", self.explain_refusal(leaving, other))

    def test_limit_is_shown_until_it_changes(self) -> None:
        fields = {"upstream": "u0", "service": "app"}
        limit = self.line(10.0, "upstream-limit", change="begun", limit=2.5, **fields)
        self.assertIn("limit=2.5", self.explain_refusal(limit))
        lower = self.line(20.0, "upstream-limit", change="changed", limit=1.5, **fields)
        explanation = self.explain_refusal(limit, lower)
        self.assertIn("limit=1.5", explanation)
        self.assertNotIn("limit=2.5", explanation)
        ended = self.line(30.0, "upstream-limit", change="ended", **fields)
        self.assertNotIn("upstream-limit", self.explain_refusal(limit, lower, ended))

    def test_notices_logged_by_other_instances_are_left_out(self) -> None:
        fields = {"upstream": "u0", "service": "app", "seconds": 30.0}
        backoff = self.line(80.0, "upstream-quiet", instance="e1", **fields)
        self.assertNotIn("upstream-quiet", self.explain_refusal(backoff))

    def test_upstreams_of_other_services_are_left_out(self) -> None:
        fields = {"upstream": "u0", "service": "other", "seconds": 30.0}
        backoff = self.line(80.0, "upstream-quiet", **fields)
        self.assertNotIn("upstream-quiet", self.explain_refusal(backoff))

    def test_notice_of_an_attempted_upstream_is_shown_without_its_service(self) -> None:
        leaving = self.line(10.0, "upstream-leaving", upstream="u0", request="q1")
        attempt = self.line(99.0, "attempt-failed", request="q2", upstream="u0")
        self.assertIn("upstream-leaving", self.explain_refusal(leaving, attempt))

    def test_notice_received_with_the_request_is_marked_as_its_own_line(self) -> None:
        leaving = self.line(10.0, "upstream-leaving", upstream="u0", request="q1")
        self.assertIn("> ", "\n".join(explain("q1", [leaving])))


class BlockedPartTest(unittest.TestCase):
    """What came to be known of a part is shown, however long ago, once from where it began."""

    def line(self, time: float, event: str, instance: str = "e0", **fields: object) -> LogLine:
        kind = "request" if event in ("not-admitted", "attempt-failed") else "belief"
        fields = {"service": "app", "parts": "a1", **fields}
        return LogLine(time, time, instance, kind, event, fields)

    def explain_request(self, event: str, *lines: LogLine, **fields: object) -> str:
        """Return the output of explain for a request at time 1000 and other lines."""
        own = self.line(1000.0, event, request="q2", **fields)
        return "\n".join(explain("q2", sorted((*lines, own), key=lambda line: line.time)))

    def test_old_block_is_shown_for_a_refusal_and_not_for_a_crash(self) -> None:
        blocked = self.line(5.0, "part-blocked", source="store")
        self.assertIn("part-blocked", self.explain_request("not-admitted", blocked))
        crash = {"parts": None, "shared_parts": "a1,b2"}
        self.assertNotIn("part-blocked", self.explain_request("attempt-failed", blocked, **crash))
        recent = self.line(998.0, "part-blocked", source="store")
        self.assertIn("part-blocked", self.explain_request("attempt-failed", recent, **crash))

    def test_end_of_a_block_is_shown(self) -> None:
        ended = self.line(1001.0, "part-block-ended", source="store")
        self.assertIn("part-block-ended", self.explain_request("not-admitted", ended))

    def test_other_services_and_parts_are_left_out(self) -> None:
        for fields in ({"service": "other"}, {"parts": "b2"}, {"parts": 5}):
            with self.subTest(fields=fields):
                other = self.line(999.0, "part-blocked", **fields)
                self.assertNotIn("part-blocked", self.explain_request("not-admitted", other))

    def test_copies_at_further_instances_are_left_out(self) -> None:
        fields = {"by": "e1", "request": "q1"}
        lines = [self.line(990.0, "part-suspected", f"e{n}", **fields) for n in range(4)]
        shown = self.explain_request("not-admitted", *lines).splitlines()
        instances = [line.split()[1] for line in shown if "part-suspected" in line]
        self.assertEqual(instances, ["e0", "e1"])


class LogFileTest(unittest.TestCase):
    """Reading of log files."""

    def test_prefix_and_other_lines_are_ignored(self) -> None:
        text = '  1.5 front {"time": 2, "at": 1, "instance": "a", "kind": "belief", "event": "x"}'
        line = parse_line(text)
        assert line is not None
        self.assertEqual((line.instance, line.event), ("a", "x"))
        for other in ("", "Traceback", "{}", "{1", '{"time": []}'):
            self.assertIsNone(parse_line(other))

    def test_error_names_the_file_without_log_lines(self) -> None:
        with self.assertRaisesRegex(LogUnreadable, "HISTORY"):
            read_logs([str(ROOT / "HISTORY.md")])

    def test_timeline_leaves_out_requests(self) -> None:
        lines = list(timeline(read_logs([str(LOGS / "cut.log")])))
        self.assertTrue(lines)
        self.assertFalse(any("attempt-failed" in line for line in lines))


if __name__ == "__main__":
    unittest.main()
