"""Runs all tests; failures of the tests that KNOWN-RED.txt lists do not count.

Listed tests run like all others, and the outcome of each is printed.

Test modules that start processes run in parallel, each in a subprocess; all others run in this
process. Modules that set ``RUNS_ALONE`` load the machine or measure a whole process: they run one
at a time after all others. ``python -m tests MODULE ...`` runs only the named modules, in this
process.
"""

import faulthandler
import gc
import re
import subprocess
import sys
import unittest
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
MAX_SUBPROCESSES = 4
TESTS_BETWEEN_COLLECTIONS = 20
# A run in which nothing ends for so long is hung; it prints where and fails.
HANG_SECONDS = 240.0
PROCESS_IMPORT = re.compile(r"^from (trial\.|tests\.\w+_case )", re.MULTILINE)
RUNS_ALONE = re.compile(r"^RUNS_ALONE = True$", re.MULTILINE)
KNOWN_RED_LINE = re.compile(r"^known red, .*$", re.MULTILINE)
KNOWN_RED_FAILED = "known red, failed:"
TALLY_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Tally:
    """Number of tests by outcome.

    :param failed: number of failed tests that KNOWN-RED.txt does not list.
    :param known_red: a line with the outcome of each test that KNOWN-RED.txt lists.
    """

    passed: int = 0
    failed: int = 0
    known_red: tuple[str, ...] = ()

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(
            self.passed + other.passed,
            self.failed + other.failed,
            self.known_red + other.known_red,
        )

    def __str__(self) -> str:
        return f"{self.passed} passed, {self.failed} failed"


def iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id, which is the first word of a line."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[0]: line for line in lines if line.startswith("tests.")}


class CollectingTestResult(unittest.TextTestResult):
    """Test result that runs the garbage collector only between tests.

    Late in the suite, a full collection in this process takes over 0.2 s, which exceeds the
    timeout of calls in some tests.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.started_ids: set[str] = set()

    def outcome(self, test_id: str, failed: Collection[str]) -> str:
        """Return the outcome of a test: passed, failed or not run."""
        if test_id in failed:
            return "failed"
        skipped = {test.id() for test, _ in self.skipped}
        return "passed" if test_id in self.started_ids - skipped else "not run"

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Disable the garbage collector during a test."""
        watch_for_hang()
        gc.disable()
        self.started_ids.add(test.id())
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Enable the garbage collector, and run a full collection after every few tests."""
        super().stopTest(test)
        watch_for_hang()
        gc.enable()
        if self.testsRun % TESTS_BETWEEN_COLLECTIONS == 0:
            gc.collect()


def watch_for_hang() -> None:
    """Exit with the stacks of all threads if this is not called again within ``HANG_SECONDS``."""
    faulthandler.dump_traceback_later(HANG_SECONDS, exit=True, file=sys.__stderr__)


def failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the ids of the failed tests; a failed subtest counts as its test."""
    found = [test for test, _ in (*result.failures, *result.errors)]
    found += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in found}


def run_tests(
    tests: Iterable[unittest.TestCase], known_red: Mapping[str, str], output: TextIO
) -> Tally:
    """Run tests; failures of the listed tests do not count.

    :param known_red: entries of KNOWN-RED.txt by test id.
    """
    suite = unittest.TestSuite(tests)
    listed = [test.id() for test in suite if test.id() in known_red]
    runner = unittest.TextTestRunner(
        output, verbosity=1, buffer=True, resultclass=CollectingTestResult
    )
    watch_for_hang()
    result = runner.run(suite)
    faulthandler.cancel_dump_traceback_later()
    assert isinstance(result, CollectingTestResult)
    failed = failed_ids(result)
    known_red_lines = tuple(
        f"known red, {result.outcome(test_id, failed)}: {known_red[test_id]}" for test_id in listed
    )
    return Tally(len(result.started_ids - failed), len(failed - known_red.keys()), known_red_lines)


def run_in_this_process(modules: Sequence[str]) -> Tally:
    """Run test modules in this process."""
    found = unittest.defaultTestLoader.loadTestsFromNames(modules)
    tests = list(iterate_tests(found))
    gc.freeze()
    return run_tests(tests, read_known_red(), sys.stderr)


def run_in_subprocess(module: str) -> Tally:
    """Run a test module in a subprocess, and print its tally and the output of a failure."""
    process = subprocess.run(
        [sys.executable, "-m", "tests", module],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    tally_match = TALLY_LINE.search(process.stdout)
    counts = (0, 1) if tally_match is None else tuple(map(int, tally_match.groups()))
    tally = Tally(*counts, tuple(KNOWN_RED_LINE.findall(process.stdout)))
    # The test runner of this process buffers sys.stdout, so the original stream is used.
    print(f"{module}: {tally}", file=sys.__stdout__, flush=True)
    if tally.failed or any(line.startswith(KNOWN_RED_FAILED) for line in tally.known_red):
        print(process.stdout, file=sys.__stdout__, flush=True)
    return tally


@dataclass(frozen=True, slots=True)
class ModulesByRun:
    """Names of test modules by how they are run."""

    in_this_process: Sequence[str]
    in_subprocesses: Sequence[str]
    alone: Sequence[str]


def divide_modules(texts_by_module: Mapping[str, str]) -> ModulesByRun:
    """Return how each test module is run, by its text."""
    alone = [name for name, text in texts_by_module.items() if RUNS_ALONE.search(text)]
    shared = {name: text for name, text in texts_by_module.items() if name not in alone}
    parallel = [name for name, text in shared.items() if PROCESS_IMPORT.search(text)]
    own = [name for name in shared if name not in parallel]
    return ModulesByRun(own, parallel, alone)


def run_all() -> Tally:
    """Run all test modules."""
    texts_by_module = {
        f"tests.{path.stem}": path.read_text(encoding="utf-8")
        for path in sorted((ROOT / "tests").glob("test_*.py"))
    }
    modules = divide_modules(texts_by_module)
    with ThreadPoolExecutor(MAX_SUBPROCESSES) as workers:
        tallies = workers.map(run_in_subprocess, modules.in_subprocesses)
        own_tally = run_in_this_process(modules.in_this_process)
        tally = sum(tallies, own_tally)
    return sum(map(run_in_subprocess, modules.alone), tally)


def describe_unreported(known_red: Mapping[str, str], known_red_lines: Iterable[str]) -> list[str]:
    """Return a line for each entry of KNOWN-RED.txt whose test no run has reported."""
    reported = "\n".join(known_red_lines)
    return [f"known red, not run: {line}" for line in known_red.values() if line not in reported]


def main() -> int:
    """Run the tests and return the exit status.

    :return: 0 if no test outside KNOWN-RED.txt failed and at least one test ran.
    """
    sys.path.insert(0, str(ROOT))
    modules = sys.argv[1:]
    tally = run_in_this_process(modules) if modules else run_all()
    unreported = [] if modules else describe_unreported(read_known_red(), tally.known_red)
    for line in (*tally.known_red, *unreported):
        print(line)
    print(tally)
    return 0 if not tally.failed and (tally.passed or tally.known_red) else 1


if __name__ == "__main__":
    sys.exit(main())
