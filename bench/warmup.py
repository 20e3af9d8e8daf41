"""Ways to keep a cold upstream from more than it bears: static split, one holder, credits."""

import random
from dataclasses import dataclass

from bench.upstream_pool import Schedule, Upstream
from bench.warmup_ways import (
    KIND,
    CreditWay,
    HolderWay,
    Oracle,
    PromptCreditWay,
    Scenario,
    SplitWay,
    Way,
)
from cactuspass.models import RequestId

MIN_SERVICE_SECONDS = 0.5
MAX_SERVICE_SECONDS = 1.5
OVERLOAD = 1.5
STEP_SECONDS = 0.02
RECONNECT_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class WarmupFigures:
    """Outcome of one way.

    :param peak_over_bearable: largest ratio of running to bearable requests, at a send.
    :param full_over_ideal: mean time to full load after a restart, over that of an oracle; None
        when full load was not reached.
    :param control_bytes: bytes of control that an entry receives each second, by estimate from
        the sizes of the messages with headers, a heartbeat a second where there are heartbeats.
    """

    way: str
    entries: int
    groups: int
    peak_over_bearable: float
    full_over_ideal: float | None
    control_bytes: float


class WarmupRun:
    """Runs one way under restarts without warning and more requests than fit."""

    def __init__(self, way_type: type[Way], scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.upstreams = [Upstream(KIND) for _ in range(scenario.groups)]
        self.way = way_type(scenario, self.upstreams, random.Random(scenario.seed))
        self.schedule = Schedule()
        self.cold_since: dict[int, float] = dict.fromkeys(range(scenario.groups), 0.0)
        self.full_seconds: list[float] = []
        self.count = 0
        mean = (MIN_SERVICE_SECONDS + MAX_SERVICE_SECONDS) / 2
        self.rate = OVERLOAD * KIND.full_requests / mean
        for group in range(scenario.groups):
            self.schedule.at(0.0, lambda now, group=group: self._arrive(group, now))  # type: ignore[misc]
            at = scenario.seconds * self.rng.uniform(0.4, 0.6)
            self.schedule.at(at, lambda now, group=group: self._restart(group, now))  # type: ignore[misc]

    def _arrive(self, group: int, now: float) -> None:
        """Let one request arrive and schedule the next."""
        self.count += 1
        entry = self.rng.randrange(self.scenario.entries)
        self.way.arrive(group, entry, RequestId(f"r{self.count}"), now)
        self.schedule.at(now + self.rng.expovariate(self.rate), lambda at: self._arrive(group, at))

    def _restart(self, group: int, now: float) -> None:
        """Restart an upstream, which breaks every connection to it."""
        upstream = self.upstreams[group]
        running = sorted(upstream.running)
        upstream.running.clear()
        upstream.boot += 1
        upstream.completed = 0
        self.cold_since[group] = now
        self.way.broken(group)
        for name in running:
            self.way.finish(group, name, False, now)
        self.schedule.at(now + RECONNECT_SECONDS, lambda at: self.way.connected(group, at))

    def _send(self, group: int, name: RequestId, now: float) -> None:
        """Send a request to an upstream."""
        upstream = self.upstreams[group]
        boot = upstream.boot
        upstream.start(name)
        if len(upstream.running) >= KIND.full_requests and group in self.cold_since:
            self.full_seconds.append(now - self.cold_since.pop(group))

        def finish(at: float) -> None:
            if upstream.boot == boot:
                upstream.finish(name)
                self.way.finish(group, name, True, at)

        period = self.rng.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
        self.schedule.at(now + period, finish)

    def run(self) -> float | None:
        """Run to the end; return the mean time to full load, None when it was not reached."""
        steps = round(self.scenario.seconds / STEP_SECONDS)
        for step in range(1, steps + 1):
            now = step * STEP_SECONDS
            self.schedule.run_until(now)
            for group, name in self.way.step(now):
                self._send(group, name, now)
        if self.cold_since:
            return None
        return sum(self.full_seconds) / len(self.full_seconds)


def run(quick: bool) -> tuple[WarmupFigures, ...]:
    """Run each way at 6 entries with 53 upstreams and at 49 entries with 87.

    :param quick: simulate 6 entries with 12 upstreams only.
    """
    small = [Scenario(6, 12, 12.0)]
    scenarios = small if quick else [Scenario(6, 53, 20.0), Scenario(49, 87, 20.0)]
    return tuple(
        _figures(way_type, scenario, ideal)
        for scenario in scenarios
        for ideal in [WarmupRun(Oracle, scenario).run()]
        for way_type in (SplitWay, CreditWay, PromptCreditWay, HolderWay)
    )


def _figures(way_type: type[Way], scenario: Scenario, ideal: float | None) -> WarmupFigures:
    """Run one way in one scenario."""
    bench = WarmupRun(way_type, scenario)
    full = bench.run()
    return WarmupFigures(
        way_type.name,
        scenario.entries,
        scenario.groups,
        max(upstream.peak_ratio for upstream in bench.upstreams),
        full / ideal if full is not None and ideal is not None else None,
        bench.way.control_bytes(),
    )


if __name__ == "__main__":
    for row in run(quick=False):
        print(row)
