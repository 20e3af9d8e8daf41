"""Benchmark of strategies that keep a cold upstream within its concurrency limit.

It compares a static split, one holder and expiring credits.
"""

import random
from dataclasses import dataclass

from bench.upstream_pool import Schedule, Upstream
from bench.warmup_strategies import (
    KIND,
    CreditStrategy,
    FastCreditStrategy,
    HolderStrategy,
    Oracle,
    Scenario,
    SplitStrategy,
    Strategy,
)
from cactuspass.models import RequestId

MIN_SERVICE_SECONDS = 0.5
MAX_SERVICE_SECONDS = 1.5
OFFERED_LOAD = 1.5
STEP_SECONDS = 0.02
RECONNECT_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class WarmupFigures:
    """Figures of one strategy.

    :param peak_over_bearable: largest ratio of running requests to the concurrency limit at a
        send.
    :param full_over_ideal: mean time to full load after a restart, over that of the oracle; None
        if full load was not reached.
    :param control_bytes: control traffic that an entry receives, in bytes/s; an estimate from the
        sizes of messages with headers, at one heartbeat a second for strategies with heartbeats.
    """

    way: str
    entries: int
    groups: int
    peak_over_bearable: float
    full_over_ideal: float | None
    control_bytes: float


class WarmupSimulation:
    """Simulation of one strategy under overload, with an unannounced restart of every upstream."""

    def __init__(self, strategy_type: type[Strategy], scenario: Scenario) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.upstreams = [Upstream(KIND) for _ in range(scenario.groups)]
        self.strategy = strategy_type(scenario, self.upstreams, random.Random(scenario.seed))
        self.schedule = Schedule()
        self.cold_since: dict[int, float] = dict.fromkeys(range(scenario.groups), 0.0)
        self.full_seconds: list[float] = []
        self.count = 0
        mean = (MIN_SERVICE_SECONDS + MAX_SERVICE_SECONDS) / 2
        self.rate = OFFERED_LOAD * KIND.full_requests / mean
        for group in range(scenario.groups):
            self.schedule.at(0.0, lambda now, group=group: self._arrive(group, now))  # type: ignore[misc]
            at = scenario.seconds * self.rng.uniform(0.4, 0.6)
            self.schedule.at(at, lambda now, group=group: self._restart(group, now))  # type: ignore[misc]

    def _arrive(self, group: int, now: float) -> None:
        """Submit one request and schedule the next arrival."""
        self.count += 1
        entry = self.rng.randrange(self.scenario.entries)
        self.strategy.arrive(group, entry, RequestId(f"r{self.count}"), now)
        self.schedule.at(now + self.rng.expovariate(self.rate), lambda at: self._arrive(group, at))

    def _restart(self, group: int, now: float) -> None:
        """Restart an upstream: all connections to it break and its requests fail."""
        upstream = self.upstreams[group]
        running = sorted(upstream.running)
        upstream.running.clear()
        upstream.boot += 1
        upstream.completed = 0
        self.cold_since[group] = now
        self.strategy.on_disconnected(group)
        for name in running:
            self.strategy.on_ended(group, name, False, now)
        self.schedule.at(now + RECONNECT_SECONDS, lambda at: self.strategy.on_connected(group, at))

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
                self.strategy.on_ended(group, name, True, at)

        period = self.rng.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
        self.schedule.at(now + period, finish)

    def run(self) -> float | None:
        """Run the simulation; return the mean time to full load, or None if not all reached it."""
        steps = round(self.scenario.seconds / STEP_SECONDS)
        for step in range(1, steps + 1):
            now = step * STEP_SECONDS
            self.schedule.run_until(now)
            for group, name in self.strategy.step(now):
                self._send(group, name, now)
        if self.cold_since:
            return None
        return sum(self.full_seconds) / len(self.full_seconds)


def run(quick: bool) -> tuple[WarmupFigures, ...]:
    """Run each strategy with 6 entries and 53 upstreams, and with 49 entries and 87 upstreams.

    :param quick: whether to simulate 6 entries with 12 upstreams only.
    """
    small = [Scenario(6, 12, 12.0)]
    scenarios = small if quick else [Scenario(6, 53, 20.0), Scenario(49, 87, 20.0)]
    return tuple(
        _figures(strategy_type, scenario, ideal)
        for scenario in scenarios
        for ideal in [WarmupSimulation(Oracle, scenario).run()]
        for strategy_type in (SplitStrategy, CreditStrategy, FastCreditStrategy, HolderStrategy)
    )


def _figures(
    strategy_type: type[Strategy], scenario: Scenario, ideal: float | None
) -> WarmupFigures:
    """Run one strategy in one scenario."""
    simulation = WarmupSimulation(strategy_type, scenario)
    full = simulation.run()
    return WarmupFigures(
        strategy_type.name,
        scenario.entries,
        scenario.groups,
        max(upstream.peak_ratio for upstream in simulation.upstreams),
        full / ideal if full is not None and ideal is not None else None,
        simulation.strategy.control_bytes(),
    )


if __name__ == "__main__":
    for row in run(quick=False):
        print(row)
