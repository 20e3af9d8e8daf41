"""Tests of the test runner's handling of the tests that KNOWN-RED.txt lists."""

import io
import unittest

from tests.__main__ import Tally, describe_unreported, divide_modules, run_tests


class _Sample(unittest.TestCase):
    def good(self) -> None:
        """Pass."""

    def bad(self) -> None:
        """Fail."""
        self.fail()

    def bad_subtest(self) -> None:
        """Fail in one of two subtests."""
        for number in range(2):
            with self.subTest(number=number):
                self.assertEqual(number, 0)


class _FailingSetup(_Sample):
    @classmethod
    def setUpClass(cls) -> None:
        raise OSError


GOOD, BAD, BAD_SUBTEST = _Sample("good"), _Sample("bad"), _Sample("bad_subtest")


def run(*tests: unittest.TestCase, known_red: tuple[unittest.TestCase, ...] = ()) -> Tally:
    """Run tests, some of which are listed as known failures."""
    entries = {test.id(): f"{test.id()} | seen" for test in known_red}
    return run_tests(tests, entries, io.StringIO())


class KnownRedTest(unittest.TestCase):
    """Listed tests run, and only their failures are ignored."""

    def test_failures_count_unless_listed(self) -> None:
        tally = run(GOOD, BAD, BAD_SUBTEST)
        self.assertEqual((tally.passed, tally.failed, tally.known_red), (1, 2, ()))

    def test_listed_tests_run_and_each_outcome_is_reported(self) -> None:
        """Guards against listed tests that are skipped, which would hide their outcome."""
        tally = run(GOOD, BAD, BAD_SUBTEST, known_red=(GOOD, BAD, BAD_SUBTEST))
        self.assertEqual((tally.passed, tally.failed), (1, 0))
        outcomes = [line.split(": ")[0] for line in tally.known_red]
        self.assertEqual(outcomes, ["known red, passed", "known red, failed", "known red, failed"])

    def test_only_failures_of_the_listed_test_are_not_counted(self) -> None:
        tally = run(BAD, BAD_SUBTEST, known_red=(BAD,))
        self.assertEqual((tally.passed, tally.failed), (0, 1))

    def test_failed_class_setup_of_a_listed_test_counts(self) -> None:
        test = _FailingSetup("good")
        tally = run(test, known_red=(test,))
        self.assertEqual((tally.passed, tally.failed), (0, 1))
        self.assertTrue(tally.known_red[0].startswith("known red, not run: "))

    def test_entry_without_a_test_is_reported(self) -> None:
        entries = {"tests.a": "tests.a | seen", "tests.b": "tests.b | seen"}
        self.assertEqual(
            describe_unreported(entries, ["known red, failed: tests.a | seen"]),
            ["known red, not run: tests.b | seen"],
        )


class DivisionTest(unittest.TestCase):
    """How the runner divides the test modules."""

    # Guards against a measurement of a whole process beside the load of other tests.
    def test_modules_that_run_alone_run_nowhere_else(self) -> None:
        process_import = "from trial.fleet import Fleet\n"
        texts = {"a": "", "b": process_import, "c": f"{process_import}\nRUNS_ALONE = True\n"}
        divided = divide_modules(texts)
        self.assertEqual(
            (divided.in_this_process, divided.in_subprocesses, divided.alone), (["a"], ["b"], ["c"])
        )


if __name__ == "__main__":
    unittest.main()
