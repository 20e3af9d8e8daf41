"""The stories of docs/OPERATIONS.md, told from recorded logs."""

import unittest
from pathlib import Path

from cactuspass.fleet._explain import LogUnreadable, explain, parse_line, read_logs, timeline

ROOT = Path(__file__).resolve().parent.parent
LOGS = ROOT / "tests" / "golden" / "decision_logs"
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


def story(request_id: str, name: str) -> str:
    """Return the story of a request in a recorded log."""
    return "\n".join(explain(request_id, read_logs([str(LOGS / name)])))


class StoryTest(unittest.TestCase):
    """From an id to its cause, by the logs alone."""

    def check(self, request_id: str, name: str, *causes: str) -> None:
        """Check that the page shows the request, and that its story names the causes."""
        self.assertIn(request_id, PAGE)
        told = story(request_id, name)
        for cause in causes:
            self.assertIn(cause, told)

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

    def test_keys_that_could_not_be_checked(self) -> None:
        self.check(
            "21bb3798286e170a",
            "keys.log",
            "dependency-lost",
            "reason=keys-unverified operators_age=5.0305",
            "dependency-regained",
        )

    def test_request_without_a_line_is_said_so(self) -> None:
        self.assertIn("leaves none", story("nobody", "cut.log"))


class ReadingTest(unittest.TestCase):
    """Files as they come."""

    def test_prefix_and_other_lines_are_passed_over(self) -> None:
        text = '  1.5 front {"time": 2, "at": 1, "instance": "a", "kind": "belief", "event": "x"}'
        line = parse_line(text)
        assert line is not None
        self.assertEqual((line.instance, line.event), ("a", "x"))
        for other in ("", "Traceback", "{}", "{1", '{"time": []}'):
            self.assertIsNone(parse_line(other))

    def test_file_without_a_log_is_an_error_with_its_name(self) -> None:
        with self.assertRaisesRegex(LogUnreadable, "HISTORY"):
            read_logs([str(ROOT / "HISTORY.md")])

    def test_timeline_leaves_out_requests(self) -> None:
        lines = list(timeline(read_logs([str(LOGS / "cut.log")])))
        self.assertTrue(lines)
        self.assertFalse(any("attempt-failed" in line for line in lines))


if __name__ == "__main__":
    unittest.main()
