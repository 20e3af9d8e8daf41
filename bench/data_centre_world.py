"""Simulation of three data centres, one of which is taken out and returned."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass

from bench.upstream_pool import Schedule, Upstream
from cactuspass.models import CustomerId, KindId, RequestId, UpstreamKind

DATA_CENTRES = ("fukuoka", "kumamoto", "kagoshima")
OUT_DATA_CENTRE = "kagoshima"
ENTRIES_PER_DATA_CENTRE = 2
GROUPS_PER_ENTRY = 3
SLOTS = 8
KIND = UpstreamKind(KindId("k"), cold_requests=1, full_requests=SLOTS)
MIN_SERVICE_SECONDS = 0.5
MAX_SERVICE_SECONDS = 1.5
DEADLINE_SECONDS = 5.0
STEP_SECONDS = 0.02
ORDER_SPREAD_SECONDS = 1.0
OVERLOAD_DOWN_SECONDS = 3.0
RECONNECT_SECONDS = 0.1
CUSTOMERS = 10
MAX_TRIES = 4
INITIAL_COMPLETED_REQUESTS = 100
ENTRIES = tuple(
    f"{data_centre}-{number}"
    for data_centre in DATA_CENTRES
    for number in range(ENTRIES_PER_DATA_CENTRE)
)
GROUPS = tuple(f"{entry}-g{number}" for entry in ENTRIES for number in range(GROUPS_PER_ENTRY))


@dataclass(frozen=True, slots=True)
class Move:
    """Times of the take-out and return of a data centre, and the load; all times in seconds.

    :param load: offered load over the capacity of the other data centres.
    :param counted_from: time from which requests are counted.
    :param out_at: time of the take-out order.
    :param restart_at: time at which the upstreams there restart, after which they are cold.
    :param back_at: time of the return order.
    :param seconds: duration of arrivals.
    """

    load: float
    counted_from: float
    out_at: float
    restart_at: float
    back_at: float
    seconds: float
    seed: int

    @property
    def rate(self) -> float:
        """Return the arrival rate in requests per second."""
        groups = [group for group in GROUPS if not group.startswith(OUT_DATA_CENTRE)]
        mean_seconds = (MIN_SERVICE_SECONDS + MAX_SERVICE_SECONDS) / 2
        return self.load * len(groups) * SLOTS / mean_seconds


@dataclass(slots=True)
class Call:
    """One request of a caller.

    :param entry: entry at which it arrives.
    :param excluded: entries and groups that a retry must avoid.
    :param outcome: ``whole``, ``refused``, ``late`` or ``failed``; empty while it is in progress.
    """

    name: RequestId
    customer: CustomerId
    entry: str
    arrived_at: float
    deadline: float
    excluded: tuple[str, ...] = ()
    tries: int = 1
    outcome: str = ""


class DataCentreWorld(ABC):
    """Base of the simulations: arrivals, upstreams, operator orders and recorded figures.

    Subclasses decide which upstream receives a request.
    """

    name = ""

    def __init__(self, move: Move) -> None:
        self.move = move
        self.rng = random.Random(move.seed)
        self.schedule = Schedule()
        self.now = 0.0
        self.calls: list[Call] = []
        self.upstreams_by_group = {group: Upstream(KIND) for group in GROUPS}
        self.down_groups: set[str] = set()
        self.overload_count = 0
        self.sent_while_out: Counter[int] = Counter()
        self.free_by_second: Counter[int] = Counter()
        self.peak_by_second: dict[int, float] = {}
        for upstream in self.upstreams_by_group.values():
            upstream.completed = INITIAL_COMPLETED_REQUESTS
        self._schedule_orders()
        self._schedule_calls()

    @abstractmethod
    def arrive(self, call: Call) -> None:
        """Accept a request at its entry."""

    @abstractmethod
    def step(self) -> None:
        """Run the entries' decisions at ``self.now``."""

    @abstractmethod
    def on_ended(self, call: Call, group: str, succeeded: bool, now: float) -> None:
        """Handle the end of a request at an upstream."""

    @abstractmethod
    def apply_order(self, entry: str, is_out: bool) -> None:
        """Apply a take-out or return order at an entry."""

    def on_disconnected(self, group: str) -> None:
        """Handle the loss of the connections to an upstream."""
        return

    def on_connected(self, group: str, now: float) -> None:
        """Handle an upstream that is reachable again."""
        return

    def _schedule_orders(self) -> None:
        for entry in ENTRIES:
            for at, is_out in ((self.move.out_at, True), (self.move.back_at, False)):
                applied_at = at + self.rng.uniform(0, ORDER_SPREAD_SECONDS)
                self.schedule.at(
                    applied_at,
                    lambda now, entry=entry, is_out=is_out: self.apply_order(entry, is_out),  # type: ignore[misc]
                )
        for group in GROUPS:
            if group.startswith(OUT_DATA_CENTRE):
                self.schedule.at(
                    self.move.restart_at,
                    lambda now, group=group: self._restart(group, RECONNECT_SECONDS, now),  # type: ignore[misc]
                )

    def _schedule_calls(self) -> None:
        time = self.rng.expovariate(self.move.rate)
        while time < self.move.seconds:
            call = Call(
                RequestId(f"r{len(self.calls)}"),
                CustomerId(f"c{self.rng.randrange(CUSTOMERS)}"),
                self.rng.choice(ENTRIES),
                time,
                time + DEADLINE_SECONDS,
            )
            self.calls.append(call)
            self.schedule.at(time, lambda now, call=call: self.arrive(call))  # type: ignore[misc]
            time += self.rng.expovariate(self.move.rate)

    def send(self, call: Call, group: str) -> None:
        """Send a request to an upstream, which restarts if this exceeds its concurrency limit."""
        upstream = self.upstreams_by_group[group]
        if group.startswith(OUT_DATA_CENTRE) and self.move.out_at <= self.now < self.move.back_at:
            self.sent_while_out[int(self.now)] += 1
        if group in self.down_groups:
            self.schedule.at(self.now, lambda at: self.on_ended(call, group, False, at))
            return
        upstream.start(call.name)
        self._record_peak(len(upstream.running) / upstream.concurrency_limit)
        boot = upstream.boot

        def finish(at: float) -> None:
            if upstream.boot == boot:
                upstream.finish(call.name)
            self.on_ended(call, group, upstream.boot == boot, at)

        if len(upstream.running) > upstream.concurrency_limit:
            self.overload_count += 1
            self._restart(group, OVERLOAD_DOWN_SECONDS, self.now)
        period = self.rng.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
        self.schedule.at(self.now + (period if upstream.boot == boot else 0.0), finish)

    def _record_peak(self, ratio: float) -> None:
        second = int(self.now)
        self.peak_by_second[second] = max(ratio, self.peak_by_second.get(second, 0.0))

    def _restart(self, group: str, down_seconds: float, now: float) -> None:
        upstream = self.upstreams_by_group[group]
        upstream.boot += 1
        upstream.completed = 0
        upstream.running.clear()
        self.down_groups.add(group)
        self.on_disconnected(group)

        def reconnect(at: float) -> None:
            self.down_groups.discard(group)
            self.on_connected(group, at)

        self.schedule.at(now + down_seconds, reconnect)

    def finish(self, call: Call, outcome: str) -> None:
        """Record the outcome of a request."""
        call.outcome = outcome

    def _record_free_capacity(self) -> None:
        is_out = self.move.out_at <= self.now < self.move.back_at + ORDER_SPREAD_SECONDS
        free = sum(
            max(0, upstream.concurrency_limit - len(upstream.running))
            for group, upstream in self.upstreams_by_group.items()
            if group not in self.down_groups and not (is_out and group.startswith(OUT_DATA_CENTRE))
        )
        second = int(self.now)
        self.free_by_second[second] = max(free, self.free_by_second[second])

    def is_avoidable(self, call: Call) -> bool:
        """Return whether an upstream in service had free capacity before the request's deadline."""
        seconds = range(int(call.arrived_at), int(call.deadline) + 1)
        return any(self.free_by_second[second] for second in seconds)

    def run(self) -> None:
        """Run the simulation until the last request has ended."""
        while self.now < self.move.seconds + DEADLINE_SECONDS + MAX_SERVICE_SECONDS + 1.0:
            self.now += STEP_SECONDS
            self.schedule.run_until(self.now)
            self.step()
            self._record_free_capacity()
