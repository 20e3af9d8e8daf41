"""Latency and CPU cost of a daemon, against the same requests sent directly to the engines."""

import json
import os
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

from bench.load_process import LoadFigures
from trial.fleet import API_KEY, KIND, MODEL, Fleet, FleetPlan
from trial.processes import Child, wait_until

ENGINE_PROCESSES = 4
LOAD_PROCESSES = 4
TOKENS_PER_ANSWER = 240
SECONDS_PER_TOKEN = 0.02
NODE_SHARE_REQUESTS_PER_SECOND = 15.6
TARGET_REQUESTS_PER_SECOND = 75.0
TARGET_ADDED_P99_SECONDS = 0.015
RUN_SECONDS = 12.0
QUICK_RUN_SECONDS = 4.0
CONCURRENCY_LIMIT = 4096
START_TIMEOUT_SECONDS = 30.0
LOAD_TIMEOUT_SECONDS = 90.0
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Figures of one load run.

    :param whole: requests with a complete answer.
    :param sent: requests sent.
    :param first_token_p50: median time to first token in seconds.
    :param first_token_p99: 99th percentile of the time to first token in seconds.
    :param cpu_share: cores that the daemon used; 0 for a direct run.
    """

    requests_per_second: float
    tokens_per_second: float
    whole: int
    sent: int
    first_token_p50: float
    first_token_p99: float
    cpu_share: float
    errors: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PathFigures:
    """The same load sent directly and through one daemon, at two rates.

    The ``share`` runs have the rate of one node in the target fleet, the ``target`` runs
    the target rate of one daemon.
    """

    share_direct: RunFigures
    share_daemon: RunFigures
    target_direct: RunFigures
    target_daemon: RunFigures

    @property
    def added_p50(self) -> float:
        """Return the seconds that the daemon adds to the median time to first token."""
        return self.share_daemon.first_token_p50 - self.share_direct.first_token_p50

    @property
    def added_p99(self) -> float:
        """Return the seconds that the daemon adds to the 99th percentile of time to first token."""
        return self.share_daemon.first_token_p99 - self.share_direct.first_token_p99


class PathBench:
    """One daemon, the engines and the load generators, all in separate processes."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[Child] = []
        self._engines: dict[str, str] = {}

    def run(self, seconds: float) -> PathFigures:
        """Run all loads, each for the given seconds."""
        try:
            for number in range(ENGINE_PROCESSES):
                self._start_engine(number)
            plan = FleetPlan(
                data_centres=("fukuoka",),
                entries=1,
                engines=0,
                listed_engines=self._engines,
                full_requests=CONCURRENCY_LIMIT,
            )
            with Fleet(plan) as fleet:
                return self._run(fleet, seconds)
        finally:
            for child in self._children:
                child.kill()

    def _run(self, fleet: Fleet, seconds: float) -> PathFigures:
        entry = fleet.entries_by_name["fukuoka-0"]
        fleet.operator(entry.name).order(
            f"declare group path model {MODEL} in fukuoka kind {KIND} size 1 "
            f"count {ENGINE_PROCESSES}",
            wait_seconds=5.0,
        )
        wait_until(
            lambda: (
                len(fleet.rows(f"groups where model = {MODEL} and serving = true"))
                == ENGINE_PROCESSES
            ),
            "all groups serve",
            START_TIMEOUT_SECONDS,
        )
        assert entry.child is not None
        pid = entry.child.pid
        daemon = [f"http://{entry.callers}"]
        engines = [f"http://{address}" for address in self._engines.values()]
        return PathFigures(
            self._load(engines, NODE_SHARE_REQUESTS_PER_SECOND, seconds, None),
            self._load(daemon, NODE_SHARE_REQUESTS_PER_SECOND, seconds, pid),
            self._load(engines, TARGET_REQUESTS_PER_SECOND, seconds, None),
            self._load(daemon, TARGET_REQUESTS_PER_SECOND, seconds, pid),
        )

    def _start_engine(self, number: int) -> None:
        name = f"fukuoka-engine-{number}"
        file = self._folder / f"{name}.toml"
        file.write_text(
            f'[[engines]]\ninstance_id = "{name}"\nkind = "{KIND}"\n'
            f"cold_requests = {CONCURRENCY_LIMIT}\nfull_requests = {CONCURRENCY_LIMIT}\n"
            f"batch = {CONCURRENCY_LIMIT}\nseconds_per_token = {SECONDS_PER_TOKEN}\n",
            encoding="utf-8",
        )
        arguments = ["-m", "cactuspass_standins.host", str(file)]
        child = Child(name, arguments, self._folder / f"{name}.log")
        self._children.append(child)
        self._engines |= child.read_json_line()

    def _load(
        self, urls: Sequence[str], rate: float, seconds: float, pid: int | None
    ) -> RunFigures:
        count = int(rate * seconds / LOAD_PROCESSES)
        before = 0.0 if pid is None else _cpu_seconds(pid)
        started = time.monotonic()
        children = [
            Child(
                f"load-{number}",
                [
                    "-m",
                    "bench.load_process",
                    ",".join(urls),
                    str(rate / LOAD_PROCESSES),
                    str(count),
                    str(TOKENS_PER_ANSWER),
                    API_KEY,
                ],
                self._folder / f"load-{number}.log",
            )
            for number in range(LOAD_PROCESSES)
        ]
        self._children += children
        figures = [_figures(child) for child in children]
        elapsed = time.monotonic() - started
        used = 0.0 if pid is None else (_cpu_seconds(pid) - before) / elapsed
        return _combine(figures, rate, elapsed, used)


def run(quick: bool = False) -> PathFigures:
    """Measure the path.

    :param quick: whether to shorten each load run.
    """
    with tempfile.TemporaryDirectory(prefix="cactuspass-bench-") as folder:
        return PathBench(Path(folder)).run(QUICK_RUN_SECONDS if quick else RUN_SECONDS)


def _figures(child: Child) -> LoadFigures:
    found = json.loads(json.dumps(child.read_json_line(LOAD_TIMEOUT_SECONDS)))
    child.wait()
    return LoadFigures(**found)


def _combine(
    parts: Sequence[LoadFigures], rate: float, elapsed: float, cpu_share: float
) -> RunFigures:
    times = sorted(chain.from_iterable(part.first_token_seconds for part in parts))
    whole = sum(part.whole for part in parts)
    return RunFigures(
        requests_per_second=rate,
        tokens_per_second=whole * TOKENS_PER_ANSWER / elapsed,
        whole=whole,
        sent=sum(part.sent for part in parts),
        first_token_p50=_percentile(times, 0.5),
        first_token_p99=_percentile(times, 0.99),
        cpu_share=cpu_share,
        errors=tuple(chain.from_iterable(part.errors for part in parts))[:5],
    )


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
