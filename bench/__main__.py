"""Runs the benchmarks and prints each matter beside its baseline and target.

``BENCH=quick`` makes the traces shorter; ``BENCH_ONLY=groups,path`` picks matters.
"""

import os
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bench import matters
from bench.report import Line, print_lines, write_json, write_plots

RESULTS = Path(__file__).resolve().parent / "results"
WORKERS = 4


def main() -> int:
    """Run what was asked for; return 0 however the figures compare with the targets."""
    quick = os.environ.get("BENCH") == "quick"
    only = set(filter(None, os.environ.get("BENCH_ONLY", "").split(",")))
    started = time.monotonic()
    lines: list[Line] = []
    figures: dict[str, Any] = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        pure = {name: run for name, run in matters.PURE.items() if not only or name in only}
        futures = {name: pool.submit(run, quick) for name, run in pure.items()}
        for name, future in futures.items():
            _collect(name, future.result(), lines, figures)
    # The path is measured alone, since its figures are of this machine's time.
    for name, run in matters.ON_PROCESSES.items():
        if not only or name in only:
            _collect(name, run(quick), lines, figures)
    print_lines(lines)
    name = "quick" if quick else "full"
    write_json(lines, figures, RESULTS / f"{name}.json")
    write_plots(lines, RESULTS / name)
    missed = [line for line in lines if line.is_missed]
    print(f"{len(lines)} figures, {len(missed)} targets missed, {_elapsed(started)}")
    return 0


def _collect(name: str, found: matters.Found, lines: list[Line], figures: dict[str, Any]) -> None:
    lines.extend(found.lines)
    figures[name] = [asdict(item) for item in found.figures]


def _elapsed(started: float) -> str:
    return f"{time.monotonic() - started:.0f} s"


RunMatter = Callable[[bool], matters.Found]

if __name__ == "__main__":
    sys.exit(main())
