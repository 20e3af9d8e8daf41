"""Ways to decide which entry sends to a group, and when."""

import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import astuple, dataclass

import cbor2

from bench.upstream_pool import OpenGate, Upstream, hold_group, make_tables, report
from cactuspass._admission import AdmissionSystem
from cactuspass._forecast import Forecast
from cactuspass._messages import Dispatch, Input, RequestArrived, RequestFinished
from cactuspass._summaries import summarize_groups
from cactuspass._tables import Tables
from cactuspass.models import (
    CustomerId,
    GroupId,
    InstanceId,
    KindId,
    Priority,
    RequestId,
    UpstreamKind,
)

KIND = UpstreamKind(KindId("k"), cold_requests=1, full_requests=8)
REPORT_SECONDS = 1.0
CREDIT_SECONDS = 2.0
CREDIT_PERIOD_SECONDS = 0.5
DEADLINE_SECONDS = 5.0
HEADER_BYTES = 46
STATUS_BYTES = 260
HEARTBEAT_FIELDS_BYTES = 90
CREDIT_BYTES = 40


@dataclass(frozen=True, slots=True)
class Scenario:
    """Entries and upstreams of one data centre, and how long they are simulated."""

    entries: int
    groups: int
    seconds: float
    seed: int = 5


class Way(ABC):
    """Decides when waiting requests are sent."""

    name = ""

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        self.scenario = scenario
        self.upstreams = upstreams
        self.rng = rng

    @abstractmethod
    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Take a request for a group at an entry."""

    @abstractmethod
    def finish(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Learn that a request ended."""

    @abstractmethod
    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Return the groups and requests to send now."""

    @abstractmethod
    def broken(self, group: int) -> None:
        """Learn that the event connection to a group broke."""

    @abstractmethod
    def connected(self, group: int, now: float) -> None:
        """Learn that a group reports under its new boot."""

    def control_bytes(self) -> float:
        """Return the bytes of control that an entry receives each second."""
        return 0.0


class UnwatchedWay(Way):
    """A way that does not use the event connections."""

    def broken(self, group: int) -> None:
        """Ignore the broken connection."""

    def connected(self, group: int, now: float) -> None:
        """Ignore the new connection."""


class Oracle(UnwatchedWay):
    """Sends whatever the upstream truly bears; the ideal ramp."""

    name = "oracle"

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.queues: list[deque[RequestId]] = [deque() for _ in upstreams]

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Queue the request."""
        self.queues[group].append(name)

    def finish(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Ignore the end, which the upstream itself counts."""

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Send up to the true limit."""
        sends = []
        for group, upstream in enumerate(self.upstreams):
            room = upstream.bearable - len(upstream.running)
            while room > 0 and self.queues[group]:
                sends.append((group, self.queues[group].popleft()))
                room -= 1
        return sends


class SplitWay(UnwatchedWay):
    """Each entry sends its own part of the limit, but at least one, and ramps for itself."""

    name = "static split"

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.queues: dict[tuple[int, int], deque[RequestId]] = {}
        self.owner_by_request: dict[RequestId, int] = {}
        self.held: dict[tuple[int, int], int] = {}

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Queue the request at its entry."""
        self.queues.setdefault((group, entry), deque()).append(name)
        self.owner_by_request[name] = entry

    def finish(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Free the place at the entry."""
        self.held[group, self.owner_by_request.pop(name)] -= 1

    def limit(self, group: int, entry: int, now: float) -> int:
        """Return the requests that an entry may have running on a group."""
        return max(1, KIND.full_requests // self.scenario.entries)

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Send up to each entry's own limit."""
        sends = []
        for key, queue in self.queues.items():
            while queue and self.held.get(key, 0) < self.limit(*key, now):
                self.held[key] = self.held.get(key, 0) + 1
                sends.append((key[0], queue.popleft()))
        return sends

    def control_bytes(self) -> float:
        """Return the status events of every upstream, which every entry has to watch."""
        return self.scenario.groups * (STATUS_BYTES + HEADER_BYTES)


class CreditWay(SplitWay):
    """A keeper leases places to the entries for a time, and learns of ends and boots late."""

    name = "expiring credits, keeper 0.5 s late"
    lag_seconds = 0.5

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.leases: dict[tuple[int, int], list[float]] = {}
        self.ramps = [float(KIND.cold_requests)] * len(upstreams)
        self.news: deque[tuple[float, int, bool]] = deque()
        self.granted_at = -CREDIT_PERIOD_SECONDS

    def finish(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Free the place; the keeper hears later. A broken connection ends the entry's leases."""
        entry = self.owner_by_request[name]
        super().finish(group, name, succeeded, now)
        self.news.append((now + self.lag_seconds, group, succeeded))
        if not succeeded:
            self.leases.pop((group, entry), None)

    def limit(self, group: int, entry: int, now: float) -> int:
        """Return the leases of an entry that still run."""
        return sum(1 for until in self.leases.get((group, entry), ()) if until > now)

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Let the keeper grant what is free, then send."""
        while self.news and self.news[0][0] <= now:
            _, group, succeeded = self.news.popleft()
            grown = min(float(KIND.full_requests), self.ramps[group] + KIND.warm_step)
            self.ramps[group] = grown if succeeded else float(KIND.cold_requests)
        if now - self.granted_at >= CREDIT_PERIOD_SECONDS:
            self.granted_at = now
            self._grant(now)
        return super().step(now)

    def _grant(self, now: float) -> None:
        """Renew used leases and grant free places to the entries that wait longest."""
        running: dict[int, int] = {}
        for key, leases in list(self.leases.items()):
            used = self.held.get(key, 0)
            renewed = [now + CREDIT_SECONDS] * min(used, len(leases))
            rest = [until for until in leases[len(renewed) :] if until > now]
            self.leases[key] = renewed + rest
            running[key[0]] = running.get(key[0], 0) + len(self.leases[key])
        waiting: dict[int, list[tuple[int, int]]] = {}
        for key, queue in self.queues.items():
            if queue:
                waiting.setdefault(key[0], []).append(key)
        for group, keys in waiting.items():
            free = int(self.ramps[group]) - running.get(group, 0)
            for key in self.rng.sample(keys, min(len(keys), max(0, free))):
                self.leases.setdefault(key, []).append(now + CREDIT_SECONDS)

    def control_bytes(self) -> float:
        """Return the grants of all groups, and the keeper's part of the reports."""
        grants = self.scenario.groups / CREDIT_PERIOD_SECONDS * (CREDIT_BYTES + HEADER_BYTES)
        return grants + self.scenario.groups / self.scenario.entries * STATUS_BYTES


class PromptCreditWay(CreditWay):
    """The same with a keeper that hears of ends almost at once."""

    name = "expiring credits, keeper 0.04 s late"
    lag_seconds = 0.04


class HolderWay(Way):
    """One entry holds each group and alone sends to it: the admission system itself."""

    name = "one holder"

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.tables: list[Tables] = []
        self.systems: list[AdmissionSystem] = []
        self.inboxes: list[list[Input]] = [[] for _ in range(scenario.entries)]
        self.reported_at = 0.0
        for entry in range(scenario.entries):
            tables = make_tables(f"e{entry}", KIND)
            for group in range(entry, scenario.groups, scenario.entries):
                hold_group(tables, f"g{group}", f"m{group}", KIND)
            self.tables.append(tables)
            self.systems.append(AdmissionSystem(OpenGate(), random.Random(entry), Forecast()))

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Hand the request to the group's holder."""
        customer = CustomerId(f"c{entry % 10}")
        deadline = now + DEADLINE_SECONDS
        item = RequestArrived(name, customer, f"m{group}", 1, Priority.NORMAL, deadline)
        self.inboxes[group % self.scenario.entries].append(item)

    def finish(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Tell the holder."""
        self.inboxes[group % self.scenario.entries].append(RequestFinished(name, succeeded))

    def broken(self, group: int) -> None:
        """Stop serving the group."""
        tables = self.tables[group % self.scenario.entries]
        tables.instances_by_id[InstanceId(f"g{group}")].connected = False
        tables.held_groups_by_id[GroupId(f"g{group}")].serving = False

    def connected(self, group: int, now: float) -> None:
        """Serve the group again."""
        tables = self.tables[group % self.scenario.entries]
        report(tables, f"g{group}", self.upstreams[group], now)
        tables.held_groups_by_id[GroupId(f"g{group}")].serving = True

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Tick every entry."""
        if now - self.reported_at >= REPORT_SECONDS:
            self.reported_at = now
            self._report(now)
        sends = []
        for entry, system in enumerate(self.systems):
            inputs, self.inboxes[entry] = tuple(self.inboxes[entry]), []
            for order in system.run(self.tables[entry], inputs, now):
                if isinstance(order, Dispatch):
                    sends.append((int(order.group_id[1:]), order.request_id))
        return sends

    def _report(self, now: float) -> None:
        """Let each holder see its groups' load."""
        for group, upstream in enumerate(self.upstreams):
            tables = self.tables[group % self.scenario.entries]
            if tables.held_groups_by_id[GroupId(f"g{group}")].serving:
                report(tables, f"g{group}", upstream, now)

    def control_bytes(self) -> float:
        """Return the own groups' status events and every peer's heartbeat, one a second."""
        rows = [astuple(row) for row in summarize_groups(self.tables[0], 0.0)]
        heartbeat = HEADER_BYTES + HEARTBEAT_FIELDS_BYTES + len(cbor2.dumps(rows))
        own = self.scenario.groups / self.scenario.entries * (STATUS_BYTES + HEADER_BYTES)
        return own + (self.scenario.entries - 1) * heartbeat
