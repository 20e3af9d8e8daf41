"""Strategies that decide which entry sends to a group, and when."""

import random
from abc import ABC, abstractmethod
from collections import deque
from dataclasses import astuple, dataclass

import cbor2

from bench.upstream_pool import AlwaysSendPolicy, Upstream, hold_group, make_tables, record_report
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
CREDIT_LIFETIME_SECONDS = 2.0
CREDIT_INTERVAL_SECONDS = 0.5
DEADLINE_SECONDS = 5.0
HEADER_BYTES = 46
STATUS_BYTES = 260
HEARTBEAT_FIELDS_BYTES = 90
CREDIT_BYTES = 40


@dataclass(frozen=True, slots=True)
class Scenario:
    """Size of a simulated data centre, and the simulated time in seconds."""

    entries: int
    groups: int
    seconds: float
    seed: int = 5


class Strategy(ABC):
    """Decides when waiting requests are sent."""

    name = ""

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        self.scenario = scenario
        self.upstreams = upstreams
        self.rng = rng

    @abstractmethod
    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Accept a request for a group at an entry."""

    @abstractmethod
    def on_ended(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Handle the end of a request."""

    @abstractmethod
    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Return the groups and requests to send now."""

    @abstractmethod
    def on_disconnected(self, group: int) -> None:
        """Handle the loss of the event connection to a group."""

    @abstractmethod
    def on_connected(self, group: int, now: float) -> None:
        """Handle the first report of a group after a restart."""

    def control_bytes(self) -> float:
        """Return the control traffic that an entry receives, in bytes/s."""
        return 0.0


class StrategyWithoutEvents(Strategy):
    """Strategy that does not use the event connections to the groups."""

    def on_disconnected(self, group: int) -> None:
        """Ignore the event."""

    def on_connected(self, group: int, now: float) -> None:
        """Ignore the event."""


class Oracle(StrategyWithoutEvents):
    """Sends up to each upstream's actual concurrency limit, as an ideal for comparison."""

    name = "oracle"

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.queues: list[deque[RequestId]] = [deque() for _ in upstreams]

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Queue the request."""
        self.queues[group].append(name)

    def on_ended(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Ignore the event; the upstream counts its running requests."""

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Send up to the actual concurrency limit."""
        sends = []
        for group, upstream in enumerate(self.upstreams):
            free_slots = upstream.concurrency_limit - len(upstream.running)
            while free_slots > 0 and self.queues[group]:
                sends.append((group, self.queues[group].popleft()))
                free_slots -= 1
        return sends


class SplitStrategy(StrategyWithoutEvents):
    """Each entry may run an equal part of the full limit on a group, but at least one request."""

    name = "static split"

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.queues: dict[tuple[int, int], deque[RequestId]] = {}
        self.entry_by_request: dict[RequestId, int] = {}
        self.running_counts: dict[tuple[int, int], int] = {}

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Queue the request at its entry."""
        self.queues.setdefault((group, entry), deque()).append(name)
        self.entry_by_request[name] = entry

    def on_ended(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Release the slot at the entry."""
        self.running_counts[group, self.entry_by_request.pop(name)] -= 1

    def limit(self, group: int, entry: int, now: float) -> int:
        """Return how many requests an entry may run on a group at once."""
        return max(1, KIND.full_requests // self.scenario.entries)

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Send up to the limit of each entry."""
        sends = []
        for key, queue in self.queues.items():
            while queue and self.running_counts.get(key, 0) < self.limit(*key, now):
                self.running_counts[key] = self.running_counts.get(key, 0) + 1
                sends.append((key[0], queue.popleft()))
        return sends

    def control_bytes(self) -> float:
        """Return the bytes/s of status events; every entry receives those of all upstreams."""
        return self.scenario.groups * (STATUS_BYTES + HEADER_BYTES)


class CreditStrategy(SplitStrategy):
    """A coordinator leases slots to the entries, and receives ends of requests with a delay.

    A failed request resets the coordinator's limit for the group to the cold one.
    """

    name = "expiring credits, keeper 0.5 s late"
    lag_seconds = 0.5

    def __init__(self, scenario: Scenario, upstreams: list[Upstream], rng: random.Random) -> None:
        super().__init__(scenario, upstreams, rng)
        self.leases: dict[tuple[int, int], list[float]] = {}
        self.ramps = [float(KIND.cold_requests)] * len(upstreams)
        self.delayed_ends: deque[tuple[float, int, bool]] = deque()
        self.granted_at = -CREDIT_INTERVAL_SECONDS

    def on_ended(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Release the slot and report to the coordinator; a broken connection ends the leases."""
        entry = self.entry_by_request[name]
        super().on_ended(group, name, succeeded, now)
        self.delayed_ends.append((now + self.lag_seconds, group, succeeded))
        if not succeeded:
            self.leases.pop((group, entry), None)

    def limit(self, group: int, entry: int, now: float) -> int:
        """Return the number of unexpired leases of an entry."""
        return sum(1 for until in self.leases.get((group, entry), ()) if until > now)

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Apply delayed reports at the coordinator, grant free slots, then send."""
        while self.delayed_ends and self.delayed_ends[0][0] <= now:
            _, group, succeeded = self.delayed_ends.popleft()
            grown = min(float(KIND.full_requests), self.ramps[group] + KIND.warm_step)
            self.ramps[group] = grown if succeeded else float(KIND.cold_requests)
        if now - self.granted_at >= CREDIT_INTERVAL_SECONDS:
            self.granted_at = now
            self._grant(now)
        return super().step(now)

    def _grant(self, now: float) -> None:
        """Renew the leases in use, and grant free slots to random entries with waiting requests."""
        running: dict[int, int] = {}
        for key, leases in list(self.leases.items()):
            used = self.running_counts.get(key, 0)
            renewed = [now + CREDIT_LIFETIME_SECONDS] * min(used, len(leases))
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
                self.leases.setdefault(key, []).append(now + CREDIT_LIFETIME_SECONDS)

    def control_bytes(self) -> float:
        """Return the bytes/s of the grants of all groups and of a share of the status events."""
        grants = self.scenario.groups / CREDIT_INTERVAL_SECONDS * (CREDIT_BYTES + HEADER_BYTES)
        return grants + self.scenario.groups / self.scenario.entries * STATUS_BYTES


class FastCreditStrategy(CreditStrategy):
    """Expiring credits with a coordinator that receives ends of requests after 0.04 s."""

    name = "expiring credits, keeper 0.04 s late"
    lag_seconds = 0.04


class HolderStrategy(Strategy):
    """One entry holds each group and alone sends to it; uses the product's admission system."""

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
            self.systems.append(
                AdmissionSystem(AlwaysSendPolicy(), random.Random(entry), Forecast())
            )

    def arrive(self, group: int, entry: int, name: RequestId, now: float) -> None:
        """Queue the request at the group's holder."""
        customer = CustomerId(f"c{entry % 10}")
        deadline = now + DEADLINE_SECONDS
        item = RequestArrived(name, customer, f"m{group}", 1, Priority.NORMAL, deadline)
        self.inboxes[group % self.scenario.entries].append(item)

    def on_ended(self, group: int, name: RequestId, succeeded: bool, now: float) -> None:
        """Report the end to the holder."""
        self.inboxes[group % self.scenario.entries].append(RequestFinished(name, succeeded))

    def on_disconnected(self, group: int) -> None:
        """Mark the group as not serving and its instance as disconnected at the holder."""
        tables = self.tables[group % self.scenario.entries]
        tables.instances_by_id[InstanceId(f"g{group}")].connected = False
        tables.held_groups_by_id[GroupId(f"g{group}")].serving = False

    def on_connected(self, group: int, now: float) -> None:
        """Record a report of the group at the holder, and mark the group as serving."""
        tables = self.tables[group % self.scenario.entries]
        record_report(tables, f"g{group}", self.upstreams[group], now)
        tables.held_groups_by_id[GroupId(f"g{group}")].serving = True

    def step(self, now: float) -> list[tuple[int, RequestId]]:
        """Run one tick of every entry; return what they dispatch."""
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
        """Record a load report of each serving group at its holder."""
        for group, upstream in enumerate(self.upstreams):
            tables = self.tables[group % self.scenario.entries]
            if tables.held_groups_by_id[GroupId(f"g{group}")].serving:
                record_report(tables, f"g{group}", upstream, now)

    def control_bytes(self) -> float:
        """Return the bytes/s of the held groups' status events and of all peers' heartbeats."""
        rows = [astuple(row) for row in summarize_groups(self.tables[0], 0.0)]
        heartbeat = HEADER_BYTES + HEARTBEAT_FIELDS_BYTES + len(cbor2.dumps(rows))
        own = self.scenario.groups / self.scenario.entries * (STATUS_BYTES + HEADER_BYTES)
        return own + (self.scenario.entries - 1) * heartbeat
