"""Run the benchmarks and print their figures beside baseline and target.

``BENCH=quick`` shortens the simulations; ``BENCH_ONLY=routing,path`` selects benchmarks by name.
"""

import os
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bench import benchmarks
from bench.report import Line, print_lines, write_json, write_plots

RESULTS = Path(__file__).resolve().parent / "results"
WORKERS = 4


def main() -> int:
    """Run the selected benchmarks; return 0 even if targets are missed."""
    quick = os.environ.get("BENCH") == "quick"
    only = set(filter(None, os.environ.get("BENCH_ONLY", "").split(",")))
    started = time.monotonic()
    lines: list[Line] = []
    figures: dict[str, Any] = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        simulated = {
            name: run for name, run in benchmarks.SIMULATED.items() if not only or name in only
        }
        futures = {name: pool.submit(run, quick) for name, run in simulated.items()}
        for name, future in futures.items():
            _collect(name, future.result(), lines, figures)
    # These measure real time on this machine and run one at a time, without other load.
    for name, run in benchmarks.ON_PROCESSES.items():
        if not only or name in only:
            _collect(name, run(quick), lines, figures)
    print_lines(lines)
    name = "quick" if quick else "full"
    write_json(lines, figures, RESULTS / f"{name}.json")
    write_plots(lines, RESULTS / name)
    missed = [line for line in lines if line.is_missed]
    print(f"{len(lines)} figures, {len(missed)} targets missed, {_elapsed(started)}")
    return 0


def _collect(
    name: str, result: benchmarks.BenchmarkResult, lines: list[Line], figures: dict[str, Any]
) -> None:
    lines.extend(result.lines)
    figures[name] = [asdict(item) for item in result.figures]


def _elapsed(started: float) -> str:
    return f"{time.monotonic() - started:.0f} s"


RunBenchmark = Callable[[bool], benchmarks.BenchmarkResult]

if __name__ == "__main__":
    sys.exit(main())
