"""Runs every test, passing over only the known failures that KNOWN-RED.txt lists.

Modules whose tests start processes run beside each other in processes of their own; all others
run in this one. ``python -m tests MODULE ...`` runs only the named modules, here.
"""

import gc
import re
import subprocess
import sys
import unittest
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
WORKERS = 4
TESTS_BETWEEN_COLLECTIONS = 20
STARTS_PROCESSES = re.compile(r"^from (trial\.|tests\.\w+_case )", re.MULTILINE)
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Tally:
    """Numbers of tests by their outcome."""

    passed: int = 0
    failed: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(self.passed + other.passed, self.failed + other.failed)

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

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Keep the collector from running during a test."""
        gc.disable()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Collect, all generations now and then."""
        super().stopTest(test)
        gc.enable()
        if self.testsRun % TESTS_BETWEEN_COLLECTIONS == 0:
            gc.collect()


def run_here(modules: Sequence[str]) -> Tally:
    """Run the modules in this process."""
    found = unittest.defaultTestLoader.loadTestsFromNames(modules)
    known_red = read_known_red()
    tests = list(iterate_tests(found))
    chosen = unittest.TestSuite(test for test in tests if test.id() not in known_red)
    runner = unittest.TextTestRunner(verbosity=1, buffer=True, resultclass=CollectingResult)
    gc.freeze()
    result = runner.run(chosen)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return Tally(result.testsRun - failed, failed)


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
    tally = Tally(failed=1) if closing is None else Tally(*map(int, closing.groups()))
    # The runner of this process's own tests holds back what they print.
    print(f"{module}: {tally}", file=sys.__stdout__, flush=True)
    if tally.failed:
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


def main() -> int:
    """Return 0 when every test outside KNOWN-RED.txt passed and at least one ran."""
    sys.path.insert(0, str(ROOT))
    modules = sys.argv[1:]
    tally = run_here(modules) if modules else run_all()
    if not modules:
        for line in read_known_red().values():
            print(f"known red, not run: {line}")
    print(tally)
    return 0 if not tally.failed and tally.passed else 1


if __name__ == "__main__":
    sys.exit(main())
