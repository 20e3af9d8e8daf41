"""Upstreams of three data centres and their callers on a simulated clock."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass

from bench.upstream_pool import Schedule, Upstream
from cactuspass.models import CustomerId, KindId, RequestId, UpstreamKind

DATA_CENTRES = ("fukuoka", "kumamoto", "kagoshima")
OUT = "kagoshima"
ENTRIES_PER_DATA_CENTRE = 2
GROUPS_PER_ENTRY = 3
SLOTS = 8
KIND = UpstreamKind(KindId("k"), cold_requests=1, full_requests=SLOTS)
MIN_SERVICE_SECONDS = 0.5
MAX_SERVICE_SECONDS = 1.5
DEADLINE_SECONDS = 5.0
STEP_SECONDS = 0.02
ORDER_SPREAD_SECONDS = 1.0
FALLEN_SECONDS = 3.0
RECONNECT_SECONDS = 0.1
CUSTOMERS = 10
MAX_TRIES = 4
WARM_REQUESTS = 100
ENTRIES = tuple(
    f"{data_centre}-{number}"
    for data_centre in DATA_CENTRES
    for number in range(ENTRIES_PER_DATA_CENTRE)
)
GROUPS = tuple(f"{entry}-g{number}" for entry in ENTRIES for number in range(GROUPS_PER_ENTRY))


@dataclass(frozen=True, slots=True)
class Move:
    """One data centre that leaves and returns, and the load meanwhile.

    :param load: offered work over the capacity of the other data centres.
    :param counted_from: time from which callers are counted.
    :param restart_at: time at which its upstreams restart, so that they come back cold.
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
        """Requests that arrive each second."""
        groups = [group for group in GROUPS if not group.startswith(OUT)]
        mean_seconds = (MIN_SERVICE_SECONDS + MAX_SERVICE_SECONDS) / 2
        return self.load * len(groups) * SLOTS / mean_seconds


@dataclass(slots=True)
class Call:
    """One request of a caller and what became of it.

    :param outcome: ``whole``, ``refused``, ``late`` or ``failed``; empty while it runs.
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
    """Arrivals, upstreams, orders of the operators, and what is recorded of them."""

    name = ""

    def __init__(self, move: Move) -> None:
        self.move = move
        self.rng = random.Random(move.seed)
        self.schedule = Schedule()
        self.now = 0.0
        self.calls: list[Call] = []
        self.upstreams_by_group = {group: Upstream(KIND) for group in GROUPS}
        self.fallen: set[str] = set()
        self.falls = 0
        self.sent_while_out: Counter[int] = Counter()
        self.free_by_second: Counter[int] = Counter()
        self.peak_by_second: dict[int, float] = {}
        for upstream in self.upstreams_by_group.values():
            upstream.completed = WARM_REQUESTS
        self._schedule_orders()
        self._schedule_calls()

    @abstractmethod
    def arrive(self, call: Call) -> None:
        """Take a request at its entry."""

    @abstractmethod
    def step(self) -> None:
        """Let the entries decide at ``self.now``."""

    @abstractmethod
    def ended(self, call: Call, group: str, succeeded: bool, now: float) -> None:
        """Learn that a request that was sent to an upstream ended there."""

    @abstractmethod
    def order(self, entry: str, is_out: bool) -> None:
        """Let an entry learn that the data centre is out, or back."""

    def broken(self, group: str) -> None:
        """Learn that the connections to an upstream broke."""
        return

    def connected(self, group: str, now: float) -> None:
        """Learn that an upstream can be reached again."""
        return

    def _schedule_orders(self) -> None:
        for entry in ENTRIES:
            for at, is_out in ((self.move.out_at, True), (self.move.back_at, False)):
                heard_at = at + self.rng.uniform(0, ORDER_SPREAD_SECONDS)
                self.schedule.at(
                    heard_at,
                    lambda now, entry=entry, is_out=is_out: self.order(entry, is_out),  # type: ignore[misc]
                )
        for group in GROUPS:
            if group.startswith(OUT):
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
        """Send a request to an upstream, which falls over when it has more than it bears."""
        upstream = self.upstreams_by_group[group]
        if group.startswith(OUT) and self.move.out_at <= self.now < self.move.back_at:
            self.sent_while_out[int(self.now)] += 1
        if group in self.fallen:
            self.schedule.at(self.now, lambda at: self.ended(call, group, False, at))
            return
        upstream.start(call.name)
        self._note_peak(len(upstream.running) / upstream.bearable)
        boot = upstream.boot

        def finish(at: float) -> None:
            if upstream.boot == boot:
                upstream.finish(call.name)
            self.ended(call, group, upstream.boot == boot, at)

        if len(upstream.running) > upstream.bearable:
            self.falls += 1
            self._restart(group, FALLEN_SECONDS, self.now)
        period = self.rng.uniform(MIN_SERVICE_SECONDS, MAX_SERVICE_SECONDS)
        self.schedule.at(self.now + (period if upstream.boot == boot else 0.0), finish)

    def _note_peak(self, ratio: float) -> None:
        second = int(self.now)
        self.peak_by_second[second] = max(ratio, self.peak_by_second.get(second, 0.0))

    def _restart(self, group: str, down_seconds: float, now: float) -> None:
        upstream = self.upstreams_by_group[group]
        upstream.boot += 1
        upstream.completed = 0
        upstream.running.clear()
        self.fallen.add(group)
        self.broken(group)

        def come_back(at: float) -> None:
            self.fallen.discard(group)
            self.connected(group, at)

        self.schedule.at(now + down_seconds, come_back)

    def finish(self, call: Call, outcome: str) -> None:
        """Record the end of a request."""
        call.outcome = outcome

    def _note_free(self) -> None:
        is_out = self.move.out_at <= self.now < self.move.back_at + ORDER_SPREAD_SECONDS
        free = sum(
            max(0, upstream.bearable - len(upstream.running))
            for group, upstream in self.upstreams_by_group.items()
            if group not in self.fallen and not (is_out and group.startswith(OUT))
        )
        second = int(self.now)
        self.free_by_second[second] = max(free, self.free_by_second[second])

    def is_avoidable(self, call: Call) -> bool:
        """Return whether an upstream in service had room while the request could have waited."""
        seconds = range(int(call.arrived_at), int(call.deadline) + 1)
        return any(self.free_by_second[second] for second in seconds)

    def run(self) -> None:
        """Run to the end and until the last request has ended."""
        while self.now < self.move.seconds + DEADLINE_SECONDS + MAX_SERVICE_SECONDS + 1.0:
            self.now += STEP_SECONDS
            self.schedule.run_until(self.now)
            self.step()
            self._note_free()
