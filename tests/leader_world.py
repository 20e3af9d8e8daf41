"""Simulated leaders that run the real group planner on delayed views of an order world."""

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
from tests.order_world import STEP_SECONDS, Host, HostMembership, OrderWorld

SERVICE = ServiceId("llm")
MODEL = ModelId("model")
GROUP_SIZE = 3
ENGINE = EngineSpec(
    slots=13,
    models_by_id={MODEL: ModelSpec(MODEL, GROUP_SIZE, 1.0, 1.0, 12.0, 1.1)},
    loads_per_second=4.5,
    loads_at_once=6,
)
PLAN_INTERVAL_SECONDS = 0.15
DELIVERY_SECONDS = 0.05
NOT_REACHED_DELAY_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.2
ENTRY_EXPIRY_SECONDS = 3.0
VIEW_LAG_SECONDS = 0.1
EPOCHS_PER_TERM = 10_000


class OrderDelivery(Enum):
    """How an order is delivered; the value is the delay in seconds after which it arrives.

    The delays of LOST and NOT_REACHED only mark orders that never arrive. The sender gets the
    outcome of ANSWERED and SLOW orders, learns that NOT_REACHED orders have not arrived, and gets
    no answer to all others.
    """

    ANSWERED = DELIVERY_SECONDS
    SLOW = 0.5
    ANSWER_LOST = DELIVERY_SECONDS + STEP_SECONDS
    LATE_2 = 2.0
    LATE_5 = 5.0
    LATE_8 = 8.0
    LATE_12 = 12.0
    LOST = float("inf")
    NOT_REACHED = float("-inf")


DeliveryScript = Callable[[AddressedOrder], OrderDelivery | None]


def no_script(addressed: AddressedOrder) -> None:
    """Return None, which leaves the delivery of every order to the queue of deliveries."""


@dataclass(slots=True)
class ProbedHost:
    """Result of the probes that a leader has sent to a host.

    :param born_ms: start of the probed lifetime, in Unix milliseconds.
    :param misses: failed probes since the last answer.
    """

    born_ms: int
    misses: int = 0
    answered_at: float = float("-inf")
    report: UpstreamReport | None = None
    last_in_view_at: float = 0.0


@dataclass(slots=True)
class Leader:
    """A leader during one term.

    :param view: its view of the registry.
    :param view_lag: seconds by which this view is behind the registry.
    :param is_cut_from_registry: whether it receives no changes of the registry.
    :param cut_off_hosts: hosts that it cannot reach, though others may.
    :param freeze_seconds: seconds for which it freezes as soon as it has planned any order.
    """

    planner: GroupPlanner
    first_epoch: int
    view: dict[UpstreamId, Upstream] = field(default_factory=dict)
    view_lag: float = VIEW_LAG_SECONDS
    is_cut_from_registry: bool = False
    cut_off_hosts: set[UpstreamId] = field(default_factory=set)
    probed_hosts_by_id: dict[UpstreamId, ProbedHost] = field(default_factory=dict)
    freeze_seconds: float | None = None
    frozen_until: float = float("-inf")
    next_plan_at: float = 0.0
    next_probe_at: float = 0.0

    def unreachable_ids(self) -> frozenset[UpstreamId]:
        """Return the hosts that do not answer.

        The set is empty if more than MAX_UNREACHABLE_SHARE of the hosts do not answer.
        """
        unreachable_ids = frozenset(
            i
            for i, host in self.probed_hosts_by_id.items()
            if host.misses >= UNREACHABLE_AFTER_MISSES
        )
        is_cut_off = len(unreachable_ids) > MAX_UNREACHABLE_SHARE * len(self.probed_hosts_by_id)
        return frozenset() if is_cut_off else unreachable_ids

    def reachable_ids(self, at: float) -> frozenset[UpstreamId]:
        """Return the hosts that have answered their last probe, and did so recently."""
        return frozenset(
            i
            for i, host in self.probed_hosts_by_id.items()
            if at - host.answered_at < REPORT_VALID_SECONDS and host.misses == 0
        )

    def reports_by_id(self, at: float) -> dict[UpstreamId, UpstreamReport]:
        """Return the reports that are recent enough to be valid."""
        return {
            i: host.report
            for i, host in self.probed_hosts_by_id.items()
            if host.report is not None and at - host.answered_at < REPORT_VALID_SECONDS
        }


@dataclass(frozen=True, slots=True)
class HostSnapshot:
    """Registry entry and report of a host at one time."""

    published_state: tuple[object, ...]
    born_ms: int
    entry: Upstream
    report: UpstreamReport


class LeaderWorld:
    """An order world, its registry and a succession of leaders.

    :param count: number of hosts.
    :ivar order_world: the hosts in their true state.
    :ivar unregistered: hosts whose writes do not reach the registry.
    :ivar delivery_script: returns the delivery of an order, or None to leave it to
        ``next_deliveries``.
    :ivar next_deliveries: deliveries of the next orders; all later orders are answered.
    :ivar sent_orders: all orders that leaders have sent.
    """

    def __init__(self, count: int = 8) -> None:
        specs = dict(ENGINE.models_by_id)
        ids = [UpstreamId(f"h{number}") for number in range(count)]
        self.order_world = OrderWorld(Host(i, specs, (MODEL,), born_ms=1) for i in ids)
        self.unregistered: set[UpstreamId] = set()
        self.next_deliveries: deque[OrderDelivery] = deque()
        self.delivery_script: DeliveryScript = no_script
        self.sent_orders: list[AddressedOrder] = []
        self._entries_by_id: dict[UpstreamId, Upstream] = {}
        self._written_at_by_id: dict[UpstreamId, float] = {}
        self._registry_history: deque[tuple[float, dict[UpstreamId, Upstream]]] = deque()
        self._snapshots_by_id: dict[UpstreamId, HostSnapshot] = {}
        self._snapshot_history: deque[dict[UpstreamId, HostSnapshot]] = deque(
            maxlen=int(REPORT_LAG_SECONDS / STEP_SECONDS)
        )
        self.leader = Leader(GroupPlanner(Demand()), 1)
        self._last_epoch = 1

    @property
    def at(self) -> float:
        """Simulated time in seconds."""
        return self.order_world.at

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Advance the time until a condition holds; return whether it does in time."""
        end = self.at + seconds
        while not condition() and self.at < end:
            self.step()
        return condition()

    def step(self) -> None:
        """Advance the hosts, the registry and the leader by one step."""
        self.order_world.step()
        self._take_snapshots()
        self._update_registry()
        leader = self.leader
        if leader.frozen_until > self.at:
            return
        if not leader.is_cut_from_registry:
            leader.view = self._registry_view(leader.view_lag)
        if self.at >= leader.next_probe_at:
            leader.next_probe_at = self.at + PROBE_INTERVAL_SECONDS
            self._probe(leader)
        if self.at >= leader.next_plan_at:
            leader.next_plan_at = self.at + PLAN_INTERVAL_SECONDS
            self._plan(leader)

    def change_leader(self, view_lag: float = VIEW_LAG_SECONDS) -> Leader:
        """Replace the leader at once by one that has only its view of the registry.

        :param view_lag: seconds by which the view of the new leader is behind the registry.
        """
        self._last_epoch += EPOCHS_PER_TERM
        view = self._registry_view(view_lag)
        self.leader = Leader(GroupPlanner(Demand()), self._last_epoch, view, view_lag)
        return self.leader

    def freeze_at_next_order(self, seconds: float, term_ends_after: float) -> None:
        """Freeze the leader after it has planned its next orders and before it sends them.

        :param seconds: duration of the freeze; the planned orders are sent at its end.
        :param term_ends_after: seconds from now until another leader takes over, if this one is
            frozen at that time.
        """
        leader = self.leader
        leader.freeze_seconds = seconds

        def end_term() -> None:
            if self.leader is leader and leader.frozen_until > self.at:
                self.change_leader()

        # This delay starts now, so it includes the time until the leader plans its next orders.
        self.order_world.schedule(term_ends_after, end_term)

    def end_faults(self) -> None:
        """End all faults except that killed hosts stay stopped."""
        self.unregistered.clear()
        self.order_world.cut_from_hosts.clear()
        self.order_world.cut_from_all.clear()
        self.next_deliveries.clear()
        self.delivery_script = no_script
        for host in self.order_world.running_hosts():
            host.pace = 1.0
        leader = self.leader
        leader.is_cut_from_registry = False
        leader.cut_off_hosts.clear()
        leader.view_lag = VIEW_LAG_SECONDS
        leader.freeze_seconds = None

    def serving_groups(self) -> list[HostMembership]:
        """Return the memberships of the heads whose groups are open with all members."""
        return self.order_world.serving_groups()

    def orders(self, kind: type) -> list[AddressedOrder]:
        """Return the orders of a kind that have been sent so far."""
        return [addressed for addressed in self.sent_orders if isinstance(addressed.order, kind)]

    def _take_snapshots(self) -> None:
        """Store the present entry and report of each running host."""
        self._snapshots_by_id = {
            host.host_id: self._snapshot_of(host, host.published_state(self.at))
            for host in self.order_world.running_hosts()
        }
        self._snapshot_history.append(self._snapshots_by_id)

    def _snapshot_of(self, host: Host, published_state: tuple[object, ...]) -> "HostSnapshot":
        snapshot = self._snapshots_by_id.get(host.host_id)
        if snapshot is not None and snapshot.published_state == published_state:
            return snapshot
        return HostSnapshot(
            published_state, host.born_ms, make_entry(host), make_report(host, self.at)
        )

    def _update_registry(self) -> None:
        changed = False
        cut_from_registry = self.unregistered | self.order_world.cut_from_all
        for host_id, snapshot in self._snapshots_by_id.items():
            if host_id in cut_from_registry:
                continue
            self._written_at_by_id[host_id] = self.at
            if self._entries_by_id.get(host_id) is not snapshot.entry:
                self._entries_by_id[host_id] = snapshot.entry
                changed = True
        for host_id, written_at in list(self._written_at_by_id.items()):
            if self.at - written_at > ENTRY_EXPIRY_SECONDS:
                del self._written_at_by_id[host_id]
                del self._entries_by_id[host_id]
                changed = True
        if changed:
            self._registry_history.append((self.at, dict(self._entries_by_id)))

    def _registry_view(self, lag: float) -> dict[UpstreamId, Upstream]:
        while len(self._registry_history) > 1 and self._registry_history[1][0] <= self.at - 10:
            self._registry_history.popleft()
        views = [entries for at, entries in self._registry_history if at <= self.at - lag]
        return views[-1] if views else {}

    def _fetch_report(self, leader: Leader, host_id: UpstreamId) -> UpstreamReport | None:
        host = self.order_world.hosts_by_id[host_id]
        if (
            host_id
            in self.order_world.killed_ids | self.order_world.cut_from_all | leader.cut_off_hosts
        ):
            return None
        for snapshots_by_id in self._snapshot_history:
            snapshot = snapshots_by_id.get(host_id)
            if snapshot is not None and snapshot.born_ms == host.born_ms:
                return snapshot.report
        return None

    def _probe(self, leader: Leader) -> None:
        for host_id, upstream in leader.view.items():
            probed_host = leader.probed_hosts_by_id.get(host_id)
            if probed_host is None or probed_host.born_ms != upstream.born_ms:
                probed_host = leader.probed_hosts_by_id[host_id] = ProbedHost(upstream.born_ms)
            probed_host.last_in_view_at = self.at
        for host_id, probed_host in list(leader.probed_hosts_by_id.items()):
            if self.at - probed_host.last_in_view_at > TARGET_EXPIRY_SECONDS:
                del leader.probed_hosts_by_id[host_id]
                continue
            report = self._fetch_report(leader, host_id)
            if report is None:
                probed_host.misses += 1
            else:
                probed_host.misses, probed_host.answered_at, probed_host.report = 0, self.at, report

    def _plan(self, leader: Leader) -> None:
        planner_input = PlannerInput(
            self.at,
            SERVICE,
            ENGINE,
            UpstreamView.of(leader.view.values()),
            leader.first_epoch,
            leader.unreachable_ids(),
            leader.reachable_ids(self.at),
            leader.reports_by_id(self.at),
        )
        orders = leader.planner.plan(planner_input)
        if orders and leader.freeze_seconds is not None:
            self._freeze(leader, orders)
            return
        for addressed in orders:
            self._send(leader, addressed)

    def _freeze(self, leader: Leader, orders: Iterable[AddressedOrder]) -> None:
        assert leader.freeze_seconds is not None
        seconds, leader.freeze_seconds = leader.freeze_seconds, None
        leader.frozen_until = self.at + seconds
        for addressed in orders:
            self.order_world.schedule(seconds, lambda a=addressed: self._send(leader, a))  # type: ignore[misc]

    def _next_delivery(self, addressed: AddressedOrder, is_cut_off: bool) -> OrderDelivery:
        """Return the delivery of an order.

        :param is_cut_off: whether the sender cannot reach the host, so that no answer can return.
        """
        delivery = self.delivery_script(addressed)
        if delivery is None:
            delivery = (
                self.next_deliveries.popleft() if self.next_deliveries else OrderDelivery.ANSWERED
            )
        return (
            OrderDelivery.NOT_REACHED
            if is_cut_off and delivery in (OrderDelivery.ANSWERED, OrderDelivery.SLOW)
            else delivery
        )

    def _send(self, leader: Leader, addressed: AddressedOrder) -> None:
        self.sent_orders.append(addressed)
        host_id = addressed.target.upstream_id
        delivery = self._next_delivery(addressed, is_cut_off=host_id in leader.cut_off_hosts)
        description = f"{type(addressed.order).__name__} {getattr(addressed.order, 'key', None)}"
        self.order_world.log.append(
            f"{self.at:.2f} term {leader.first_epoch} sends {host_id} {description},"
            f" {delivery.name}: {addressed.reason}"
        )

        def execute() -> OrderOutcome:
            return self.order_world.execute(host_id, addressed.order, addressed.expected_sequence)

        def record(outcome: OrderOutcome, seconds: float) -> None:
            self.order_world.schedule(
                seconds, lambda: leader.planner.record_outcome(addressed, outcome, self.at)
            )

        def execute_and_answer() -> None:
            outcome = execute()
            reached = outcome is not OrderOutcome.NOT_REACHED
            record(outcome, DELIVERY_SECONDS if reached else NOT_REACHED_DELAY_SECONDS)

        if delivery in (OrderDelivery.ANSWERED, OrderDelivery.SLOW):
            self.order_world.schedule(delivery.value, execute_and_answer)
        elif delivery is OrderDelivery.NOT_REACHED:
            record(OrderOutcome.NOT_REACHED, NOT_REACHED_DELAY_SECONDS)
        else:
            if delivery is not OrderDelivery.LOST:
                self.order_world.schedule(delivery.value, lambda: execute() and None)
            record(OrderOutcome.UNKNOWN, ORDER_TIMEOUT_SECONDS)


def make_entry(host: Host) -> Upstream:
    """Return the registry entry of a host."""
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
        membership=host.membership.published if host.membership is not None else None,
    )


def make_report(host: Host, at: float) -> UpstreamReport:
    """Return the status report of a host."""
    membership = host.membership
    return UpstreamReport(
        running=0,
        queued=0,
        pace=host.pace,
        membership=membership.published if membership is not None else None,
        busy=host.is_busy(at),
        sequence=host.sequence,
        born_ms=host.born_ms,
    )
