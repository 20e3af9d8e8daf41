"""A simulation of upstreams that execute orders, for tests of the group planner."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Join,
    Leave,
    Open,
    Order,
    OrderOutcome,
    Stage,
    UpstreamReport,
)
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._planning_round import PlannerInput
from cactuspass.fleet._upstreams import (
    GroupKey,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamView,
)
from cactuspass.models import DataCentreId, FabricDomainId, ModelId, ServiceId

SERVICE = ServiceId("llm")
LARGE = ModelId("large")
SMALL = ModelId("small")
ENGINE = EngineSpec(
    slots=13,
    models_by_id={
        LARGE: ModelSpec(LARGE, 4, 1.0, 0.57, 16.0, 1.6),
        SMALL: ModelSpec(SMALL, 3, 0.6, 0.43, 12.0, 1.1),
    },
    loads_per_second=4.5,
    loads_at_once=6,
)
LOADED_JOIN_SECONDS = 0.2


def host(
    name: str, domain: str = "d0", staged: ModelId | None = None, data_centre: str = "here"
) -> Upstream:
    """Return an upstream that is in no group."""
    return Upstream(
        UpstreamId(name),
        SERVICE,
        f"{name}:1",
        DataCentreId(data_centre),
        fabric_domain=FabricDomainId(domain),
        staged=(staged,) if staged is not None else (),
    )


def hosts(
    count: int, domain: str = "d0", staged: ModelId | None = None, data_centre: str = "here"
) -> list[Upstream]:
    """Return upstreams of one fabric domain that are in no group."""
    return [host(f"{domain}-{number}", domain, staged, data_centre) for number in range(count)]


class EngineWorld:
    """Upstreams that execute orders, each after its duration, on a simulated clock.

    :param registered: upstreams at the start.
    :param before_traffic: whether loads take a tenth of their time.

    Upstreams in ``dead`` do not respond. Those in ``busy`` refuse to load weights, though their
    reports do not yet show them as busy.
    """

    def __init__(self, registered: Iterable[Upstream], before_traffic: bool = False) -> None:
        self.at = 100.0
        self.before_traffic = before_traffic
        self.upstreams_by_id = {upstream.upstream_id: upstream for upstream in registered}
        self.dead: set[UpstreamId] = set()
        self.busy: set[UpstreamId] = set()
        self.pace_by_id: dict[UpstreamId, float] = {}
        self.evacuated_data_centres: frozenset[DataCentreId] = frozenset()
        self.knows_demand = False
        self.planner = GroupPlanner(Demand())
        self.sent_orders: list[AddressedOrder] = []
        self.first_epoch = 10_000
        self.sequences_by_id: Counter[UpstreamId] = Counter()
        self._due: list[tuple[float, UpstreamId, Upstream]] = []

    def planner_input(self) -> PlannerInput:
        """Return the input of a planner with an up-to-date view of all upstreams."""
        responding = frozenset(self.upstreams_by_id) - self.dead
        return PlannerInput(
            self.at,
            SERVICE,
            ENGINE,
            UpstreamView.of(self.upstreams_by_id.values()),
            self.first_epoch,
            frozenset(self.dead),
            responding,
            {upstream_id: self._report(upstream_id) for upstream_id in responding},
            before_traffic=self.before_traffic,
            evacuated_data_centres=self.evacuated_data_centres,
            knows_demand=self.knows_demand,
        )

    def _report(self, upstream_id: UpstreamId) -> UpstreamReport:
        is_busy = any(due_id == upstream_id for _, due_id, _ in self._due)
        membership = self.upstreams_by_id[upstream_id].membership
        pace = self.pace_by_id.get(upstream_id, 1.0)
        sequence = self.sequences_by_id[upstream_id]
        return UpstreamReport(0, 0, pace, membership, is_busy, sequence, 0)

    def replace_controller(self) -> None:
        """Replace the planner by a new one without history, whose epochs are higher."""
        self.planner = GroupPlanner(Demand())
        self.first_epoch += 10_000

    def run(self, seconds: float, step: float = 0.1) -> None:
        """Plan and execute orders repeatedly.

        :param seconds: simulated time to run for.
        :param step: simulated time between two planning rounds.
        """
        end = self.at + seconds
        while self.at < end:
            for addressed in self.plan_orders():
                self.execute(addressed)
            self.at += step
        self._apply_due_changes()

    def plan_orders(self) -> list[AddressedOrder]:
        """Run one planning round and return its orders without executing them."""
        self._apply_due_changes()
        orders = self.planner.plan(self.planner_input())
        self.sent_orders += orders
        return orders

    def execute(self, addressed: AddressedOrder) -> None:
        """Execute an order and report the outcome to the planner."""
        self.planner.record_outcome(addressed, self._carry_out(addressed), self.at)

    def kill(self, upstream_id: UpstreamId) -> None:
        """Stop an upstream from responding; its registry entry stays."""
        self.dead.add(upstream_id)

    def add(self, upstream: Upstream) -> None:
        """Register an upstream."""
        self.upstreams_by_id[upstream.upstream_id] = upstream

    def remove(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream's registry entry."""
        del self.upstreams_by_id[upstream_id]

    def drain(self, upstream_id: UpstreamId) -> None:
        """Set the registered state of an upstream to draining."""
        upstream = self.upstreams_by_id[upstream_id]
        self.upstreams_by_id[upstream_id] = replace(upstream, state=UpstreamState.DRAINING)

    def serving(self, model: ModelId) -> list[GroupKey]:
        """Return the serving groups of a model."""
        groups = UpstreamView.of(self.upstreams_by_id.values()).groups_by_key.values()
        return [group.key for group in groups if group.serves and group.model == model]

    def head_of(self, key: GroupKey) -> Upstream:
        """Return the head of a group."""
        head = UpstreamView.of(self.upstreams_by_id.values()).groups_by_key[key].head
        assert head is not None
        return head

    def orders(self, kind: type) -> list[AddressedOrder]:
        """Return the orders of one kind that were sent so far."""
        return [addressed for addressed in self.sent_orders if isinstance(addressed.order, kind)]

    def _apply_due_changes(self) -> None:
        due = [entry for entry in self._due if entry[0] <= self.at]
        self._due = [entry for entry in self._due if entry[0] > self.at]
        for _, upstream_id, after in due:
            if upstream_id in self.upstreams_by_id and upstream_id not in self.dead:
                self.upstreams_by_id[upstream_id] = after

    def _carry_out(self, addressed: AddressedOrder) -> OrderOutcome:
        upstream = self.upstreams_by_id.get(addressed.target.upstream_id)
        if upstream is None or upstream.upstream_id in self.dead:
            return OrderOutcome.NOT_REACHED
        if addressed.expected_sequence not in (None, self.sequences_by_id[upstream.upstream_id]):
            return OrderOutcome.CONFLICT
        outcome = self._begin(upstream, addressed.order)
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            self.sequences_by_id[upstream.upstream_id] += 1
        return outcome

    def _begin(self, upstream: Upstream, order: Order) -> OrderOutcome:
        if isinstance(order, Join):
            self._join(upstream, order)
        elif isinstance(order, Leave):
            return self._leave(upstream, order)
        elif isinstance(order, Stage) and upstream.upstream_id in self.busy:
            return OrderOutcome.CONFLICT
        elif isinstance(order, Stage):
            load = ENGINE.models_by_id[order.model].load_seconds * (
                0.1 if self.before_traffic else 1
            )
            after = replace(upstream, staged=(order.model,))
            self._due.append((self.at + load, upstream.upstream_id, after))
        else:
            return self._open_or_close(upstream, order)
        return OrderOutcome.BEGUN

    def _join(self, upstream: Upstream, order: Join) -> None:
        if upstream.membership is not None and upstream.membership.key != order.key:
            raise AssertionError(f"{upstream.upstream_id} joins {order.key} while in another group")
        rank = order.members.index(upstream.upstream_id)
        joining = Membership(order.key, rank, MemberState.JOINING)
        self.upstreams_by_id[upstream.upstream_id] = replace(upstream, membership=joining)
        after = replace(
            upstream,
            membership=replace(joining, state=MemberState.READY),
            loaded=order.model,
            staged=(order.model,),
        )
        self._due.append((self.at + self._join_seconds(upstream, order), after.upstream_id, after))

    def _leave(self, upstream: Upstream, order: Leave) -> OrderOutcome:
        if upstream.membership is None or upstream.membership.key != order.key:
            return OrderOutcome.CONFLICT
        self._due = [entry for entry in self._due if entry[1] != upstream.upstream_id]
        self.upstreams_by_id[upstream.upstream_id] = replace(upstream, membership=None)
        return OrderOutcome.HOLDS

    def _join_seconds(self, upstream: Upstream, order: Join) -> float:
        spec = ENGINE.models_by_id[order.model]
        if upstream.loaded == order.model:
            return LOADED_JOIN_SECONDS
        if order.model in upstream.staged:
            return spec.warm_seconds
        return spec.load_seconds * (0.1 if self.before_traffic else 1)

    def _open_or_close(self, upstream: Upstream, order: Open | Close) -> OrderOutcome:
        membership = upstream.membership
        if membership is None or membership.key != order.key:
            return OrderOutcome.CONFLICT
        new_state = MemberState.OPEN if isinstance(order, Open) else MemberState.READY
        self.upstreams_by_id[upstream.upstream_id] = replace(
            upstream, membership=replace(membership, state=new_state)
        )
        return OrderOutcome.BEGUN
