"""Leaders that plan from lagging views of an order world; the only part that knows the planner."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._orders import AddressedOrder, OrderOutcome, UpstreamReport
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._planning_round import PlannerInput
from cactuspass.fleet._probes import (
    MAX_UNREACHABLE_SHARE,
    PROBE_INTERVAL_SECONDS,
    REPORT_VALID_SECONDS,
    TARGET_EXPIRY_SECONDS,
    UNREACHABLE_AFTER_MISSES,
)
from cactuspass.fleet._upstreams import Upstream, UpstreamId, UpstreamState, UpstreamView
from cactuspass.models import DataCentreId, FabricDomainId, ModelId, ServiceId
from cactuspass.platform._control import ORDER_TIMEOUT_SECONDS
from tests.order_world import STEP_SECONDS, Host, OrderWorld, Place

SERVICE = ServiceId("llm")
MODEL = ModelId("model")
SIZE = 3
ENGINE = EngineSpec(
    slots=13,
    models_by_id={MODEL: ModelSpec(MODEL, SIZE, 1.0, 1.0, 12.0, 1.1)},
    loads_per_second=4.5,
    loads_at_once=6,
)
PLAN_SECONDS = 0.15
TRAVEL_SECONDS = 0.05
REFUSAL_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.2
LAPSE_SECONDS = 3.0
VIEW_LAG_SECONDS = 0.1
EPOCHS_OF_A_TERM = 10_000


class Fate(Enum):
    """What becomes of an order; the value is the time in seconds after which it arrives."""

    ANSWERED = TRAVEL_SECONDS
    SLOW = 0.5
    ANSWER_LOST = TRAVEL_SECONDS + STEP_SECONDS
    LATE_2 = 2.0
    LATE_5 = 5.0
    LATE_8 = 8.0
    LATE_12 = 12.0
    LOST = float("inf")
    NOT_REACHED = float("-inf")


Script = Callable[[AddressedOrder], Fate | None]


def undecided(addressed: AddressedOrder) -> None:
    """Leave the fate of every order open."""


@dataclass(slots=True)
class Probed:
    """What a leader knows of a host from asking it."""

    born_ms: int
    misses: int = 0
    answered_at: float = float("-inf")
    report: UpstreamReport | None = None
    wanted_at: float = 0.0


@dataclass(slots=True)
class Leader:
    """One term.

    :param blind: whether the registry's news do not reach it.
    :param cut_from: hosts that it does not reach, though others may.
    :param freezes_for: seconds for which it freezes as soon as it has planned any order.
    """

    planner: GroupPlanner
    first_epoch: int
    view: dict[UpstreamId, Upstream] = field(default_factory=dict)
    lag: float = VIEW_LAG_SECONDS
    blind: bool = False
    cut_from: set[UpstreamId] = field(default_factory=set)
    probed_by_id: dict[UpstreamId, Probed] = field(default_factory=dict)
    freezes_for: float | None = None
    frozen_until: float = float("-inf")
    plans_at: float = 0.0
    probes_at: float = 0.0

    def unreachable(self) -> frozenset[UpstreamId]:
        """Return the hosts that do not answer, unless most do not."""
        doubted = frozenset(
            i for i, p in self.probed_by_id.items() if p.misses >= UNREACHABLE_AFTER_MISSES
        )
        cut_off = len(doubted) > MAX_UNREACHABLE_SHARE * len(self.probed_by_id)
        return frozenset() if cut_off else doubted

    def reachable(self, at: float) -> frozenset[UpstreamId]:
        """Return the hosts that have answered just now."""
        return frozenset(
            i
            for i, p in self.probed_by_id.items()
            if at - p.answered_at < REPORT_VALID_SECONDS and p.misses == 0
        )

    def reports(self, at: float) -> dict[UpstreamId, UpstreamReport]:
        """Return the last reports of the hosts that still answer."""
        return {
            i: p.report
            for i, p in self.probed_by_id.items()
            if p.report is not None and at - p.answered_at < REPORT_VALID_SECONDS
        }


@dataclass(frozen=True, slots=True)
class Said:
    """What a host says of itself at one time."""

    face: tuple[object, ...]
    born_ms: int
    entry: Upstream
    report: UpstreamReport


class LeaderWorld:
    """An order world, its registry and the leaders that follow each other.

    :param unregistered: hosts whose writes do not reach the registry.
    :param script: says what becomes of an order, or None to leave that to ``fates``.
    :param fates: what becomes of the next orders; all others are answered.
    """

    def __init__(self, count: int = 8) -> None:
        specs = dict(ENGINE.models_by_id)
        ids = [UpstreamId(f"h{number}") for number in range(count)]
        self.truth = OrderWorld(Host(i, specs, (MODEL,), born_ms=1) for i in ids)
        self.unregistered: set[UpstreamId] = set()
        self.fates: deque[Fate] = deque()
        self.script: Script = undecided
        self.given: list[AddressedOrder] = []
        self._entries: dict[UpstreamId, Upstream] = {}
        self._heard_at: dict[UpstreamId, float] = {}
        self._registries: deque[tuple[float, dict[UpstreamId, Upstream]]] = deque()
        self._said_by_id: dict[UpstreamId, Said] = {}
        self._reports: deque[dict[UpstreamId, Said]] = deque(
            maxlen=int(REPORT_LAG_SECONDS / STEP_SECONDS)
        )
        self.leader = Leader(GroupPlanner(Demand()), 1)
        self._last_epoch = 1

    @property
    def at(self) -> float:
        """The clock."""
        return self.truth.at

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Let time pass until something holds; return whether it does in time."""
        end = self.at + seconds
        while not done() and self.at < end:
            self.step()
        return done()

    def step(self) -> None:
        """Let a little time pass in the truth, the registry and the leader."""
        self.truth.step()
        self._look()
        self._register()
        leader = self.leader
        if leader.frozen_until > self.at:
            return
        if not leader.blind:
            leader.view = self._registry_before(leader.lag)
        if self.at >= leader.probes_at:
            leader.probes_at = self.at + PROBE_INTERVAL_SECONDS
            self._probe(leader)
        if self.at >= leader.plans_at:
            leader.plans_at = self.at + PLAN_SECONDS
            self._plan(leader)

    def change_leader(self, lag: float = VIEW_LAG_SECONDS) -> Leader:
        """Let a leader that knows nothing but the registry follow at once."""
        self._last_epoch += EPOCHS_OF_A_TERM
        view = self._registry_before(lag)
        self.leader = Leader(GroupPlanner(Demand()), self._last_epoch, view, lag)
        return self.leader

    def freeze_at_next_order(self, seconds: float, term_ends_after: float) -> None:
        """Freeze the leader between its next decision and the sending.

        :param seconds: until it sends what it had decided.
        :param term_ends_after: until another leader follows, if it is still frozen then.
        """
        leader = self.leader
        leader.freezes_for = seconds

        def end_term() -> None:
            if self.leader is leader and leader.frozen_until > self.at:
                self.change_leader()

        # The wait for its next decision is part of what is drawn.
        self.truth.later(term_ends_after, end_term)

    def heal(self) -> None:
        """Let all reach each other again; the dead stay dead."""
        self.unregistered.clear()
        self.truth.alone.clear()
        self.truth.dark.clear()
        self.fates.clear()
        self.script = undecided
        for host in self.truth.alive():
            host.pace = 1.0
        leader = self.leader
        leader.blind = False
        leader.cut_from.clear()
        leader.lag = VIEW_LAG_SECONDS
        leader.freezes_for = None

    def serving(self) -> list[Place]:
        """Return the groups that serve in truth with every member in its place."""
        return self.truth.serving()

    def orders(self, kind: type) -> list[AddressedOrder]:
        """Return the orders of a kind given so far."""
        return [addressed for addressed in self.given if isinstance(addressed.order, kind)]

    def _look(self) -> None:
        """Note what each living host says of itself now."""
        self._said_by_id = {
            host.host_id: self._said_by(host, host.face(self.at)) for host in self.truth.alive()
        }
        self._reports.append(self._said_by_id)

    def _said_by(self, host: Host, face: tuple[object, ...]) -> "Said":
        said = self._said_by_id.get(host.host_id)
        if said is not None and said.face == face:
            return said
        return Said(face, host.born_ms, make_entry(host), make_report(host, self.at))

    def _register(self) -> None:
        changed = False
        silent = self.unregistered | self.truth.dark
        for host_id, said in self._said_by_id.items():
            if host_id in silent:
                continue
            self._heard_at[host_id] = self.at
            if self._entries.get(host_id) is not said.entry:
                self._entries[host_id] = said.entry
                changed = True
        for host_id, heard_at in list(self._heard_at.items()):
            if self.at - heard_at > LAPSE_SECONDS:
                del self._heard_at[host_id]
                del self._entries[host_id]
                changed = True
        if changed:
            self._registries.append((self.at, dict(self._entries)))

    def _registry_before(self, lag: float) -> dict[UpstreamId, Upstream]:
        while len(self._registries) > 1 and self._registries[1][0] <= self.at - 10:
            self._registries.popleft()
        found = [entries for at, entries in self._registries if at <= self.at - lag]
        return found[-1] if found else {}

    def _report(self, leader: Leader, host_id: UpstreamId) -> UpstreamReport | None:
        host = self.truth.hosts_by_id[host_id]
        if host_id in self.truth.dead | self.truth.dark | leader.cut_from:
            return None
        for said_by_id in self._reports:
            said = said_by_id.get(host_id)
            if said is not None and said.born_ms == host.born_ms:
                return said.report
        return None

    def _probe(self, leader: Leader) -> None:
        for host_id, upstream in leader.view.items():
            probed = leader.probed_by_id.get(host_id)
            if probed is None or probed.born_ms != upstream.born_ms:
                probed = leader.probed_by_id[host_id] = Probed(upstream.born_ms)
            probed.wanted_at = self.at
        for host_id, probed in list(leader.probed_by_id.items()):
            if self.at - probed.wanted_at > TARGET_EXPIRY_SECONDS:
                del leader.probed_by_id[host_id]
                continue
            report = self._report(leader, host_id)
            if report is None:
                probed.misses += 1
            else:
                probed.misses, probed.answered_at, probed.report = 0, self.at, report

    def _plan(self, leader: Leader) -> None:
        planner_input = PlannerInput(
            self.at,
            SERVICE,
            ENGINE,
            UpstreamView.of(leader.view.values()),
            leader.first_epoch,
            leader.unreachable(),
            leader.reachable(self.at),
            leader.reports(self.at),
        )
        orders = leader.planner.plan(planner_input)
        if orders and leader.freezes_for is not None:
            self._freeze(leader, orders)
            return
        for addressed in orders:
            self._send(leader, addressed)

    def _freeze(self, leader: Leader, orders: Iterable[AddressedOrder]) -> None:
        assert leader.freezes_for is not None
        seconds, leader.freezes_for = leader.freezes_for, None
        leader.frozen_until = self.at + seconds
        for addressed in orders:
            self.truth.later(seconds, lambda a=addressed: self._send(leader, a))  # type: ignore[misc]

    def _draw_fate(self, addressed: AddressedOrder, cut: bool) -> Fate:
        """Return what becomes of an order.

        :param cut: whether its sender does not reach the host; no answer can come back then.
        """
        fate = self.script(addressed)
        if fate is None:
            fate = self.fates.popleft() if self.fates else Fate.ANSWERED
        return Fate.NOT_REACHED if cut and fate in (Fate.ANSWERED, Fate.SLOW) else fate

    def _send(self, leader: Leader, addressed: AddressedOrder) -> None:
        self.given.append(addressed)
        host_id = addressed.target.upstream_id
        fate = self._draw_fate(addressed, cut=host_id in leader.cut_from)
        what = f"{type(addressed.order).__name__} {getattr(addressed.order, 'key', None)}"
        self.truth.log.append(
            f"{self.at:.2f} term {leader.first_epoch} sends {host_id} {what}, {fate.name}:"
            f" {addressed.reason}"
        )

        def arrive() -> OrderOutcome:
            return self.truth.carry_out(host_id, addressed.order, addressed.expected_sequence)

        def note(outcome: OrderOutcome, seconds: float) -> None:
            self.truth.later(
                seconds, lambda: leader.planner.record_outcome(addressed, outcome, self.at)
            )

        def arrive_and_answer() -> None:
            outcome = arrive()
            reached = outcome is not OrderOutcome.NOT_REACHED
            note(outcome, TRAVEL_SECONDS if reached else REFUSAL_SECONDS)

        if fate in (Fate.ANSWERED, Fate.SLOW):
            self.truth.later(fate.value, arrive_and_answer)
        elif fate is Fate.NOT_REACHED:
            note(OrderOutcome.NOT_REACHED, REFUSAL_SECONDS)
        else:
            if fate is not Fate.LOST:
                self.truth.later(fate.value, lambda: arrive() and None)
            note(OrderOutcome.UNKNOWN, ORDER_TIMEOUT_SECONDS)


def make_entry(host: Host) -> Upstream:
    """Return what a host registers of itself."""
    return Upstream(
        host.host_id,
        SERVICE,
        f"{host.host_id}:1",
        DataCentreId("here"),
        state=UpstreamState.DRAINING if host.draining else UpstreamState.READY,
        born_ms=host.born_ms,
        fabric_domain=FabricDomainId("d0"),
        staged=host.staged,
        loaded=host.loaded,
        membership=host.place.membership if host.place is not None else None,
    )


def make_report(host: Host, at: float) -> UpstreamReport:
    """Return what a host says of itself when asked."""
    place = host.place
    return UpstreamReport(
        running=0,
        queued=0,
        pace=host.pace,
        membership=place.membership if place is not None else None,
        busy=host.is_busy(at),
        sequence=host.seq,
        born_ms=host.born_ms,
    )
