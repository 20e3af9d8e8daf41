"""Prefix-cache hits of affinity, round-robin and least-loaded routing.

Cache events reach the entries late, and some are lost.
"""

import random
from abc import ABC, abstractmethod
from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from itertools import cycle

from bench.upstream_pool import (
    AlwaysSendPolicy,
    Schedule,
    Upstream,
    hold_group,
    make_tables,
    record_report,
)
from cactuspass._admission import AdmissionSystem
from cactuspass._forecast import Forecast
from cactuspass._messages import (
    CacheReported,
    Dispatch,
    Forward,
    HeartbeatReceived,
    Input,
    Refuse,
    RequestArrived,
    RequestFinished,
)
from cactuspass._summaries import summarize_groups
from cactuspass._tables import EntryRow, Tables
from cactuspass.models import (
    CustomerId,
    EntryId,
    GroupId,
    InstanceId,
    KindId,
    Priority,
    RequestId,
    UpstreamKind,
)

ENTRIES = 6
GROUPS = 12
SLOTS = 8
KIND = UpstreamKind(KindId("k"), SLOTS, SLOTS)
MODEL = "m"
LOAD = 0.65
SERVICE_SECONDS = 1.0
CACHE_BLOCKS = 600
SESSIONS = 200
SYSTEM_PROMPTS = 5
SYSTEM_BLOCKS = 4
TURN_BLOCKS = 2
MAX_TURNS = 20
STEP_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.0
EVENT_LAG_SECONDS = 2.0
EVENT_LOSS_SHARE = 0.2
DEADLINE_SECONDS = 10.0
WARM_UP_SECONDS = 10.0


@dataclass(slots=True)
class Session:
    """A conversation whose prompt grows with each turn.

    :param system: number of its system prompt, which other sessions share.
    """

    system: int
    number: int
    turns: int = 0

    def prefixes(self) -> tuple[str, ...]:
        """Return the hashes of the prompt's leading blocks."""
        shared = (f"s{self.system}.{block}" for block in range(SYSTEM_BLOCKS))
        own = (f"c{self.number}.{block}" for block in range(TURN_BLOCKS * self.turns))
        return (*shared, *own)


@dataclass(slots=True)
class Cache:
    """Prefix cache of an upstream; blocks in order of use, least recent first."""

    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    sequence: int = 0

    def use(self, prefixes: tuple[str, ...]) -> tuple[int, tuple[str, ...], tuple[str, ...]]:
        """Serve a prompt; return the number of cached blocks, and the blocks added and removed."""
        hits = next((i for i, key in enumerate(prefixes) if key not in self.blocks), len(prefixes))
        added = tuple(key for key in prefixes if key not in self.blocks)
        for key in reversed(prefixes):
            self.blocks[key] = None
            self.blocks.move_to_end(key)
        excess = max(0, len(self.blocks) - CACHE_BLOCKS)
        removed = tuple(self.blocks.popitem(last=False)[0] for _ in range(excess))
        self.sequence += 1
        return hits, added, removed


@dataclass(frozen=True, slots=True)
class RoutingFigures:
    """Figures of one policy.

    :param hit_ratio: prompt blocks found in the cache, over all prompt blocks.
    :param wait_p95: 95th percentile of the seconds from arrival to dispatch.
    """

    policy: str
    hit_ratio: float
    wait_p95: float
    refused: int


class RoutingSimulation(ABC):
    """Base of the simulations: sessions, caches and upstreams."""

    policy = ""

    def __init__(self, seconds: float, seed: int) -> None:
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.schedule = Schedule()
        self.upstreams = [Upstream(KIND) for _ in range(GROUPS)]
        self.caches = [Cache() for _ in range(GROUPS)]
        self.sessions = [self._session(number) for number in range(SESSIONS)]
        self.next_session = SESSIONS
        self.count = self.hits = self.blocks = self.refused = 0
        self.waits: list[float] = []
        self.rate = LOAD * GROUPS * SLOTS / SERVICE_SECONDS
        self.schedule.at(0.0, self._arrive)

    def _session(self, number: int) -> Session:
        return Session(self.rng.randrange(SYSTEM_PROMPTS), number, self.rng.randrange(MAX_TURNS))

    def _arrive(self, now: float) -> None:
        """Submit the next turn of a random session at a random entry, and schedule the next."""
        place = self.rng.randrange(SESSIONS)
        session = self.sessions[place]
        session.turns += 1
        if session.turns > MAX_TURNS:
            session = Session(self.rng.randrange(SYSTEM_PROMPTS), self.next_session, 1)
            self.sessions[place] = session
            self.next_session += 1
        self.count += 1
        request = RequestArrived(
            RequestId(f"r{self.count}"),
            CustomerId(f"c{session.number % 10}"),
            MODEL,
            100,
            Priority.NORMAL,
            now + DEADLINE_SECONDS,
            prefixes=session.prefixes(),
        )
        self.arrive(self.rng.randrange(ENTRIES), request, now)
        self.schedule.at(now + self.rng.expovariate(self.rate), self._arrive)

    @abstractmethod
    def arrive(self, entry: int, request: RequestArrived, now: float) -> None:
        """Accept a request at an entry."""

    @abstractmethod
    def step(self, now: float) -> None:
        """Send the requests that the policy allows."""

    @abstractmethod
    def on_ended(self, group: int, request: RequestArrived) -> None:
        """Handle the end of a request."""

    @abstractmethod
    def on_cache_event(self, group: int, event: CacheReported) -> None:
        """Handle a cache event that was not lost."""

    def send(self, group: int, request: RequestArrived, now: float) -> None:
        """Send a request to an upstream."""
        upstream = self.upstreams[group]
        upstream.start(request.request_id)
        cache = self.caches[group]
        hits, added, removed = cache.use(request.prefixes)
        if now > WARM_UP_SECONDS:
            self.hits += hits
            self.blocks += len(request.prefixes)
            self.waits.append(now - (request.deadline - DEADLINE_SECONDS))
        event = CacheReported(InstanceId(f"g{group}"), cache.sequence, added, removed)
        if self.rng.random() >= EVENT_LOSS_SHARE:
            self.schedule.at(now + EVENT_LAG_SECONDS, lambda at: self.on_cache_event(group, event))

        def finish(at: float) -> None:
            upstream.finish(request.request_id)
            self.on_ended(group, request)

        period = SERVICE_SECONDS * self.rng.uniform(0.5, 1.5)
        self.schedule.at(now + period, finish)

    def run(self) -> RoutingFigures:
        """Run the simulation and return the figures."""
        for step in range(1, round(self.seconds / STEP_SECONDS) + 1):
            now = step * STEP_SECONDS
            self.schedule.run_until(now)
            self.step(now)
        waits = sorted(self.waits)
        p95 = waits[int(0.95 * len(waits))]
        return RoutingFigures(self.policy, self.hits / self.blocks, p95, self.refused)


class AffinitySimulation(RoutingSimulation):
    """The product's admission systems, one for each entry, which forward requests to each other."""

    policy = "affinity against load"

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.tables: list[Tables] = []
        self.systems: list[AdmissionSystem] = []
        self.inboxes: list[list[Input]] = [[] for _ in range(ENTRIES)]
        self.requests_by_id: dict[RequestId, RequestArrived] = {}
        self.heartbeat_at = -HEARTBEAT_SECONDS
        for entry in range(ENTRIES):
            tables = make_tables(f"e{entry}", KIND)
            for group in range(entry, GROUPS, ENTRIES):
                hold_group(tables, f"g{group}", MODEL, KIND).model = MODEL
                tables.instances_by_id[InstanceId(f"g{group}")].group_id = GroupId(f"g{group}")
            self.tables.append(tables)
            self.systems.append(
                AdmissionSystem(AlwaysSendPolicy(), random.Random(entry), Forecast())
            )

    def arrive(self, entry: int, request: RequestArrived, now: float) -> None:
        """Queue the request at its entry."""
        self.requests_by_id[request.request_id] = request
        self.inboxes[entry].append(request)

    def on_ended(self, group: int, request: RequestArrived) -> None:
        """Report the end to the holder."""
        self.inboxes[group % ENTRIES].append(RequestFinished(request.request_id, True))

    def on_cache_event(self, group: int, event: CacheReported) -> None:
        """Report the event to the holder."""
        self.inboxes[group % ENTRIES].append(event)

    def step(self, now: float) -> None:
        """Run one tick of every entry; forwarded requests arrive with the next step."""
        if now - self.heartbeat_at >= HEARTBEAT_SECONDS:
            self.heartbeat_at = now
            self._exchange_reports(now)
        forwarded: list[tuple[int, RequestArrived]] = []
        for entry, system in enumerate(self.systems):
            inputs, self.inboxes[entry] = tuple(self.inboxes[entry]), []
            for order in system.run(self.tables[entry], inputs, now):
                if isinstance(order, Dispatch):
                    request = self.requests_by_id[order.request_id]
                    self.send(int(order.group_id[1:]), request, now)
                elif isinstance(order, Forward):
                    request = self.requests_by_id[order.request_id]
                    by = EntryId(f"e{entry}")
                    forwarded.append((int(order.entry_id[1:]), replace(request, forwarded_by=by)))
                elif isinstance(order, Refuse):
                    self.refused += 1
        for entry, request in forwarded:
            self.inboxes[entry].append(request)

    def _exchange_reports(self, now: float) -> None:
        """Record the load reports at the holders, and heartbeats at all other entries."""
        for group, upstream in enumerate(self.upstreams):
            record_report(self.tables[group % ENTRIES], f"g{group}", upstream, now)
        for entry, tables in enumerate(self.tables):
            rows = summarize_groups(tables, now)
            local = tables.local
            heartbeat = HeartbeatReceived(
                local.entry_id,
                local.incarnation,
                local.data_centre,
                "",
                0,
                (),
                0,
                True,
                False,
                rows,
            )
            for other in set(range(ENTRIES)) - {entry}:
                row = EntryRow(local.entry_id, local.incarnation, local.data_centre, "", now)
                row.ready = True
                row.groups_by_id = {item.group_id: item for item in rows}
                self.tables[other].entries_by_id[local.entry_id] = row
                self.inboxes[other].append(heartbeat)


class AffinityWithoutEventsSimulation(AffinitySimulation):
    """Affinity routing without cache events."""

    policy = "affinity against load, no cache events"

    def on_cache_event(self, group: int, event: CacheReported) -> None:
        """Drop the event."""


class CentralQueueSimulation(RoutingSimulation):
    """One queue for all entries, with the actual load of every upstream."""

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.queue: deque[RequestArrived] = deque()

    def arrive(self, entry: int, request: RequestArrived, now: float) -> None:
        """Queue the request."""
        self.queue.append(request)

    def on_ended(self, group: int, request: RequestArrived) -> None:
        """Ignore the event; the upstream counts its running requests."""

    def on_cache_event(self, group: int, event: CacheReported) -> None:
        """Ignore the event."""

    def step(self, now: float) -> None:
        """Send while the chosen group has a free slot."""
        while self.queue:
            group = self.choose()
            if len(self.upstreams[group].running) >= SLOTS:
                break
            self.send(group, self.queue.popleft(), now)

    @abstractmethod
    def choose(self) -> int:
        """Return the group for the next request."""


class RoundRobinSimulation(CentralQueueSimulation):
    """Sends to the groups in turn."""

    policy = "round robin"

    def __init__(self, seconds: float, seed: int) -> None:
        super().__init__(seconds, seed)
        self.turns = cycle(range(GROUPS))

    def choose(self) -> int:
        """Return the next group in turn with a free slot."""
        turns = (next(self.turns) for _ in range(GROUPS))
        free = (group for group in turns if len(self.upstreams[group].running) < SLOTS)
        return next(free, 0)


class LeastLoadedSimulation(CentralQueueSimulation):
    """Sends to the group with the fewest running requests."""

    policy = "least loaded"

    def choose(self) -> int:
        """Return the least loaded group, a random one on a tie."""
        loads = [len(upstream.running) for upstream in self.upstreams]
        return self.rng.choice([g for g, load in enumerate(loads) if load == min(loads)])


def run(quick: bool) -> tuple[RoutingFigures, ...]:
    """Run each policy with the same seed and distribution of sessions.

    :param quick: whether to simulate 20 s instead of 60 s.
    """
    seconds = 20.0 if quick else 60.0
    policies = (
        AffinitySimulation,
        AffinityWithoutEventsSimulation,
        RoundRobinSimulation,
        LeastLoadedSimulation,
    )
    return tuple(policy(seconds, 3).run() for policy in policies)


if __name__ == "__main__":
    for row in run(quick=False):
        print(row)
