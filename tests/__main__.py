"""Runs every test, passing over only failures of the tests that KNOWN-RED.txt lists.

Listed tests run like all others, and what became of each is printed.

Modules whose tests start processes run beside each other in processes of their own; all others
run in this one. ``python -m tests MODULE ...`` runs only the named modules, here.
"""

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
WORKERS = 4
TESTS_BETWEEN_COLLECTIONS = 20
STARTS_PROCESSES = re.compile(r"^from (trial\.|tests\.\w+_case )", re.MULTILINE)
KNOWN_RED_LINE = re.compile(r"^known red, .*$", re.MULTILINE)
KNOWN_RED_FAILED = "known red, failed:"
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Tally:
    """Numbers of tests by their outcome.

    :param failed: failures that are not known.
    :param known_red: a line on the outcome of each test that is listed as failing.
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
    """Yield the single tests of a suite of suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by test id; the id is the first word of a line."""
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split()[0]: line for line in lines if line.startswith("tests.")}


class CollectingResult(unittest.TextTestResult):
    """Collects garbage between tests only.

    A full collection takes over 0.2 s in this process late in the suite, longer than some tests
    let a call last.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.ran: set[str] = set()

    def verdict(self, test_id: str, failed: Collection[str]) -> str:
        """Return in words what became of a test."""
        if test_id in failed:
            return "failed"
        skipped = {test.id() for test, _ in self.skipped}
        return "passed" if test_id in self.ran - skipped else "not run"

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Keep the collector from running during a test."""
        gc.disable()
        self.ran.add(test.id())
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Collect, all generations now and then."""
        super().stopTest(test)
        gc.enable()
        if self.testsRun % TESTS_BETWEEN_COLLECTIONS == 0:
            gc.collect()


def failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the ids of what failed; a failed part of a test counts as its test."""
    found = [test for test, _ in (*result.failures, *result.errors)]
    found += result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in found}


def run_tests(
    tests: Iterable[unittest.TestCase], known_red: Mapping[str, str], output: TextIO
) -> Tally:
    """Run tests; failures of exactly the known ones do not count.

    :param known_red: entries of KNOWN-RED.txt by test id.
    """
    suite = unittest.TestSuite(tests)
    listed = [test.id() for test in suite if test.id() in known_red]
    runner = unittest.TextTestRunner(output, verbosity=1, buffer=True, resultclass=CollectingResult)
    result = runner.run(suite)
    assert isinstance(result, CollectingResult)
    failed = failed_ids(result)
    seen = tuple(
        f"known red, {result.verdict(test_id, failed)}: {known_red[test_id]}" for test_id in listed
    )
    return Tally(len(result.ran - failed), len(failed - known_red.keys()), seen)


def run_here(modules: Sequence[str]) -> Tally:
    """Run the modules in this process."""
    found = unittest.defaultTestLoader.loadTestsFromNames(modules)
    tests = list(iterate_tests(found))
    gc.freeze()
    return run_tests(tests, read_known_red(), sys.stderr)


def run_apart(module: str) -> Tally:
    """Run one module in a process of its own; print its output once it ends."""
    done = subprocess.run(
        [sys.executable, "-m", "tests", module],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    closing = CLOSING_LINE.search(done.stdout)
    counts = (0, 1) if closing is None else tuple(map(int, closing.groups()))
    tally = Tally(*counts, tuple(KNOWN_RED_LINE.findall(done.stdout)))
    # The runner of this process's own tests holds back what they print.
    print(f"{module}: {tally}", file=sys.__stdout__, flush=True)
    if tally.failed or any(line.startswith(KNOWN_RED_FAILED) for line in tally.known_red):
        print(done.stdout, file=sys.__stdout__, flush=True)
    return tally


def run_all() -> Tally:
    """Run every module."""
    paths = sorted((ROOT / "tests").glob("test_*.py"))
    apart = [path for path in paths if STARTS_PROCESSES.search(path.read_text(encoding="utf-8"))]
    here = [f"tests.{path.stem}" for path in paths if path not in apart]
    with ThreadPoolExecutor(WORKERS) as workers:
        tallies = workers.map(run_apart, [f"tests.{path.stem}" for path in apart])
        own = run_here(here)
        return sum(tallies, own)


def name_unseen(known_red: Mapping[str, str], seen: Iterable[str]) -> list[str]:
    """Return a line for each known failure that no run has reported."""
    reported = "\n".join(seen)
    return [f"known red, not run: {line}" for line in known_red.values() if line not in reported]


def main() -> int:
    """Return 0 when no test outside KNOWN-RED.txt failed and at least one ran."""
    sys.path.insert(0, str(ROOT))
    modules = sys.argv[1:]
    tally = run_here(modules) if modules else run_all()
    unseen = [] if modules else name_unseen(read_known_red(), tally.known_red)
    for line in (*tally.known_red, *unseen):
        print(line)
    print(tally)
    return 0 if not tally.failed and (tally.passed or tally.known_red) else 1


if __name__ == "__main__":
    sys.exit(main())
