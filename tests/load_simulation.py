"""Instances that send requests to heads of one model, on a simulated clock.

Heads run as many requests as they have slots, queue twice as many and reject further ones. What an
instance knows of the requests of others is the sums that it last received.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from itertools import count
from typing import Any

from cactuspass.fleet._catalog import Catalog, ModelSpec, Service
from cactuspass.fleet._choices import ChoiceStage, NoUpstream, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._room_returns import RoomReturns
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, Upstream, UpstreamId
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, HeadLoad, ModelDemand
from cactuspass.fleet.load_shedding import Place, RequestSize, WaitingLine
from cactuspass.models import CustomerId, DataCentreId, EntryId, GroupId
from tests.fleet_path import SERVICE, recording_log, route
from tests.fleet_world import ENGINE, SMALL

SLOTS = 10
QUEUE_FACTOR = 2
HERE = DataCentreId("here")
REQUEST_SECONDS = 1.0
MIN_REQUEST_SECONDS, MAX_REQUEST_SECONDS = 0.3, 1.7
MODEL = ModelSpec(SMALL, 1, 1.0, 1.0, 12.0, 1.1)
# With this, nobody waits in calm, and the objective is missed by a wait of 0.08 s.
CALM_SECONDS, OBJECTIVE_SECONDS = 0.17, 0.25
SUM_INTERVAL_SECONDS = 0.25
WARM_UP_SECONDS = 4.0
MAX_RETURN_SECONDS = 3.0  # callers who are told to come back later do not
LONG_REQUEST_SECONDS = 1.56  # a tenth of the requests take longer


@dataclass
class Outcome:
    """What became of the requests after the first seconds."""

    arrived: Counter[int] = field(default_factory=Counter)
    in_time: Counter[int] = field(default_factory=Counter)
    asked_by_customer: Counter[CustomerId] = field(default_factory=Counter)
    served_by_customer: Counter[CustomerId] = field(default_factory=Counter)
    asked_long: int = 0
    served_long: int = 0
    in_time_seconds: float = 0.0
    late: int = 0
    sent: int = 0
    rejected: int = 0
    busy_slot_seconds: float = 0.0

    @property
    def rejected_share(self) -> float:
        """Share of the sends that heads rejected."""
        return self.rejected / max(1, self.sent)

    @property
    def late_share(self) -> float:
        """Share of the requests that ran and did not begin in time."""
        return self.late / max(1, self.late + self.in_time.total())


@dataclass
class _Head:
    running: int = 0
    queue: deque["_Request"] = field(default_factory=deque)


@dataclass(frozen=True)
class _Request:
    """A request that arrived at an instance."""

    number: int
    priority: int
    customer: CustomerId
    arrived_at: float
    asked_at: float
    seconds: float
    objective: float
    is_retry: bool = False

    @property
    def counts(self) -> bool:
        return self.arrived_at > WARM_UP_SECONDS


def one_customer(at: float) -> Mapping[CustomerId, float]:
    """Return a single customer."""
    return {CustomerId("a"): 1.0}


def unstated_size(customer: CustomerId, seconds: float) -> RequestSize:
    """Return a size that states nothing."""
    return RequestSize()


class LoadSimulation:
    """Requests that arrive at random, at a multiple of what the heads can run.

    :param load: requests that would run at the same time, for each slot, by time.
    :param sum_delay: seconds from the moment that sums describe until they are received.
    :param shares_by_priority: part of the requests of each priority.
    :param objective_by_priority: seconds within which their first events should come.
    :param shares_by_customer: returns the part of the requests of each customer at a time.
    :param size: returns what the caller of a request states, by its customer and its duration.
    """

    def __init__(
        self,
        load: Callable[[float], float],
        instances: int = 87,
        heads: int = 35,
        sum_delay: float = 0.5,
        shares_by_priority: Mapping[int, float] | None = None,
        objective_by_priority: Mapping[int, float] | None = None,
        shares_by_customer: Callable[[float], Mapping[CustomerId, float]] = one_customer,
        size: Callable[[CustomerId, float], RequestSize] = unstated_size,
        seed: int = 1,
    ) -> None:
        self.at = 0.0
        self.load = load
        self.sum_delay = sum_delay
        self.outcome = Outcome()
        self.alive = list(range(instances))
        self.same_priority = False
        self.instance_weight: Callable[[int], float] = lambda number: 1.0
        self.sums_stop_at = self.sums_start_at = float("inf")
        self.sums_start_at = 0.0
        self._shares_by_priority = shares_by_priority or {0: 1.0}
        self._objective_by_priority = objective_by_priority or {}
        self._shares_by_customer = shares_by_customer
        self._size = size
        self._rng = random.Random(seed)
        self._numbers = count()
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.head_ids = [UpstreamId(f"h{number}") for number in range(heads)]
        self._heads_by_id = {head_id: _Head() for head_id in self.head_ids}
        self._loads = [LoadTable() for _ in range(instances)]
        self._fleet_loads: list[FleetLoad | None] = [None] * instances
        self._returns = [RoomReturns(self._rng) for _ in range(instances)]
        self._lines: list[WaitingLine[_Request]] = [WaitingLine() for _ in range(instances)]
        self._arrivals = 0
        self._arrivals_history: deque[int] = deque(maxlen=5)
        engine = replace(ENGINE, slots=SLOTS, models_by_id={SMALL: MODEL})
        self._cluster_state = ClusterState(recording_log()[0])
        services = {SERVICE: Service(SERVICE, engine=engine)}
        self._cluster_state.accept_catalog(Catalog(1, (route(),), services))
        self._revision = 1
        self._cluster_state.accept_upstreams(map(self._upstream, self.head_ids), self._revision)
        self.register(self.alive)
        self.selectors = list(map(self._selector, range(instances)))
        self.plan(0.0, self._arrive)
        self.plan(0.0, self._send_sums)

    def register(self, alive: list[int]) -> None:
        """Replace the list of registered instances."""
        peers = tuple(Peer(EntryId(f"i{number:03}"), HERE, None) for number in alive)
        self._cluster_state.accept_peers(peers)

    def replace_head(self, number: int) -> None:
        """Let one head take no new requests, and all others take some."""
        self._revision += 1
        heads = [head_id for place, head_id in enumerate(self.head_ids) if place != number]
        self._cluster_state.accept_upstreams(map(self._upstream, heads), self._revision)

    def _upstream(self, head_id: UpstreamId) -> Upstream:
        group = Membership(GroupKey(GroupId(f"g{head_id}"), 1), 0, MemberState.OPEN)
        return Upstream(
            head_id, SERVICE, f"{head_id}:1", HERE, slots=SLOTS, loaded=SMALL, membership=group
        )

    def _selector(self, number: int) -> Selector:
        return Selector(
            self._cluster_state,
            self._loads[number],
            HERE,
            random.Random(number),
            instance=EntryId(f"i{number:03}"),
            fleet_load=lambda: self._recent_load(number),
        )

    def _recent_load(self, number: int) -> FleetLoad | None:
        fleet_load = self._fleet_loads[number]
        return fleet_load if fleet_load and self.at - fleet_load.at < 1.5 else None

    @property
    def slots(self) -> int:
        """Slots of all heads."""
        return SLOTS * len(self.head_ids)

    def plan(self, seconds: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call a function after some seconds."""
        heapq.heappush(self._due, (self.at + seconds, next(self._numbers), call, arguments))

    def run(self, seconds: float) -> Outcome:
        """Play some seconds, and return what became of the requests."""
        while self._due[0][0] < seconds:
            before = self.at
            self.at, _, call, arguments = heapq.heappop(self._due)
            if self.at > WARM_UP_SECONDS:
                running = sum(head.running for head in self._heads_by_id.values())
                self.outcome.busy_slot_seconds += running * (self.at - before)
            call(*arguments)
        return self.outcome

    def _arrive(self) -> None:
        self.plan(self._rng.expovariate(self.load(self.at) * self.slots), self._arrive)
        self._arrivals += 1
        self._ask(self._create_request())

    def _retry(self, request: _Request) -> None:
        """Ask again at another instance, which does not know when the caller first asked."""
        self._arrivals += 1
        number = self._choose_instance()
        self._ask(replace(request, number=number, asked_at=self.at, is_retry=True))

    def _ask(self, request: _Request) -> None:
        if request.counts and not request.is_retry:
            self.outcome.arrived[request.priority] += 1
            self.outcome.asked_by_customer[request.customer] += 1
            self.outcome.asked_long += request.seconds > LONG_REQUEST_SECONDS
        found = self._choose(request, ChoiceStage.NEW)
        if isinstance(found, Selection):
            self._send(request, found.upstream.upstream_id)
        elif (room := found.room) is not None:
            line = self._lines[request.number]
            interval = room.slot_interval
            if interval is not None and line.may_join(request.priority, interval, room.max_wait):
                place = line.join(request.priority, request)
                self.plan(room.max_wait, self._give_up, request.number, place)
            elif not request.is_retry:
                returns = self._returns[request.number]
                after = returns.book((SERVICE, SMALL), room, MAX_RETURN_SECONDS, self.at)
                if after <= MAX_RETURN_SECONDS:
                    self.plan(after, self._retry, request)

    def _create_request(self) -> _Request:
        classes = list(self._shares_by_priority)
        kind = self._rng.choices(classes, list(self._shares_by_priority.values()))[0]
        customers = self._shares_by_customer(self.at)
        customer = self._rng.choices(list(customers), list(customers.values()))[0]
        seconds = self._rng.uniform(MIN_REQUEST_SECONDS, MAX_REQUEST_SECONDS) * REQUEST_SECONDS
        objective = self._objective_by_priority.get(kind, OBJECTIVE_SECONDS)
        number = self._choose_instance()
        return _Request(number, kind, customer, self.at, self.at, seconds, objective)

    def _choose_instance(self) -> int:
        weights = [self.instance_weight(number) for number in self.alive]
        return self._rng.choices(self.alive, weights)[0]

    def _choose(self, request: _Request, stage: ChoiceStage) -> Selection | NoUpstream:
        left = request.asked_at + request.objective - CALM_SECONDS - self.at
        asked = SelectionRequest(
            SERVICE,
            SMALL,
            (),
            OBJECTIVE_SECONDS / 2,
            priority=0 if self.same_priority else request.priority,
            stage=stage,
            customer=request.customer,
            size=self._size(request.customer, request.seconds),
            objective=request.objective,
            objective_left=left,
        )
        return self.selectors[request.number].choose(asked, self.at)

    def _give_up(self, number: int, place: Place[_Request]) -> None:
        if place in self._lines[number]:
            self._lines[number].leave(place)

    def _send(self, request: _Request, head_id: UpstreamId) -> None:
        head, loads = self._heads_by_id[head_id], self._loads[request.number]
        self.outcome.sent += request.counts
        if head.running + len(head.queue) >= SLOTS * (1 + QUEUE_FACTOR):
            self.outcome.rejected += request.counts
            loads.record_full(head_id, self.at)
            return
        loads.record_send(head_id, self.at)
        if head.running < SLOTS:
            self._run(request, head_id)
        else:
            head.queue.append(request)

    def _run(self, request: _Request, head_id: UpstreamId) -> None:
        self._heads_by_id[head_id].running += 1
        if request.counts:
            is_in_time = self.at - request.arrived_at + CALM_SECONDS <= request.objective
            self.outcome.in_time[request.priority] += is_in_time
            self.outcome.in_time_seconds += request.seconds * is_in_time
            self.outcome.late += not is_in_time
            self.outcome.served_by_customer[request.customer] += 1
            self.outcome.served_long += request.seconds > LONG_REQUEST_SECONDS
        self.plan(request.seconds, self._end, request, head_id)

    def _end(self, request: _Request, head_id: UpstreamId) -> None:
        head = self._heads_by_id[head_id]
        head.running -= 1
        self._loads[request.number].record_end(head_id)
        if head.queue:
            self._run(head.queue.popleft(), head_id)
        line = self._lines[request.number]
        if (place := line.first) is not None:
            found = self._choose(place.item, ChoiceStage.WAITING)
            if isinstance(found, Selection):
                line.leave(place)
                self._send(place.item, found.upstream.upstream_id)

    def _send_sums(self) -> None:
        self.plan(SUM_INTERVAL_SECONDS, self._send_sums)
        self._arrivals_history.append(self._arrivals)
        if not self.sums_start_at <= self.at < self.sums_stop_at:
            return
        own = [
            {i: load.in_flight for i, load in self._loads[number].loads_by_id.items()}
            for number in range(len(self._loads))
        ]
        history = self._arrivals_history
        seconds = max(1, len(history) - 1) * SUM_INTERVAL_SECONDS
        demand = ModelDemand((history[-1] - history[0]) / seconds, mean_seconds=REQUEST_SECONDS)
        self.plan(self.sum_delay, self._receive_sums, self.at, own, demand)

    def _receive_sums(
        self, sent_at: float, own: list[dict[UpstreamId, int]], demand: ModelDemand
    ) -> None:
        total: Counter[UpstreamId] = Counter()
        for number in self.alive:
            total.update(own[number])
        for number in self.alive:
            by_head = {
                i: HeadLoad(requests - own[number].get(i, 0), self.at - sent_at)
                for i, requests in total.items()
            }
            demand_by_key = {DemandKey(SERVICE, SMALL, HERE): demand}
            self._fleet_loads[number] = FleetLoad(self.at, by_head, demand_by_key)
