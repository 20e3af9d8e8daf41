"""The running of tests that KNOWN-RED.txt lists."""

import io
import unittest

from tests.__main__ import Tally, name_unseen, run_tests


class _Sample(unittest.TestCase):
    def good(self) -> None:
        """Pass."""

    def bad(self) -> None:
        """Fail."""
        self.fail()

    def bad_part(self) -> None:
        """Fail in one part of two."""
        for number in range(2):
            with self.subTest(number=number):
                self.assertEqual(number, 0)


class _WithoutGround(_Sample):
    @classmethod
    def setUpClass(cls) -> None:
        raise OSError


GOOD, BAD, BAD_PART = _Sample("good"), _Sample("bad"), _Sample("bad_part")


def run(*tests: unittest.TestCase, known: tuple[unittest.TestCase, ...] = ()) -> Tally:
    """Run tests of which some are listed."""
    entries = {test.id(): f"{test.id()} | seen" for test in known}
    return run_tests(tests, entries, io.StringIO())


class KnownRedTest(unittest.TestCase):
    """Listed tests run; only their failures are passed over."""

    def test_failures_count_unless_listed(self) -> None:
        tally = run(GOOD, BAD, BAD_PART)
        self.assertEqual((tally.passed, tally.failed, tally.known_red), (1, 2, ()))

    def test_listed_tests_run_and_each_outcome_is_told(self) -> None:
        """Guards against listed tests that are left out, so that nobody sees what they do."""
        tally = run(GOOD, BAD, BAD_PART, known=(GOOD, BAD, BAD_PART))
        self.assertEqual((tally.passed, tally.failed), (1, 0))
        told = [line.split(": ")[0] for line in tally.known_red]
        self.assertEqual(told, ["known red, passed", "known red, failed", "known red, failed"])

    def test_only_the_listed_test_is_passed_over(self) -> None:
        tally = run(BAD, BAD_PART, known=(BAD,))
        self.assertEqual((tally.passed, tally.failed), (0, 1))

    def test_failed_ground_of_a_listed_test_counts(self) -> None:
        test = _WithoutGround("good")
        tally = run(test, known=(test,))
        self.assertEqual((tally.passed, tally.failed), (0, 1))
        self.assertTrue(tally.known_red[0].startswith("known red, not run: "))

    def test_entry_without_a_test_is_told(self) -> None:
        entries = {"tests.a": "tests.a | seen", "tests.b": "tests.b | seen"}
        self.assertEqual(
            name_unseen(entries, ["known red, failed: tests.a | seen"]),
            ["known red, not run: tests.b | seen"],
        )


if __name__ == "__main__":
    unittest.main()
