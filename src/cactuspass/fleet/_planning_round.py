"""Working state of one decision of the group planner."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Order,
    Stage,
    UpstreamReport,
)
from cactuspass.fleet._planner_memory import PlannerMemory
from cactuspass.fleet._upstreams import Upstream, UpstreamId, UpstreamView
from cactuspass.models import DataCentreId, FabricDomainId, ModelId, ServiceId

RESEND_SECONDS = 0.4  # a repeat is refused where the first was carried out
SLOW_PACE = 2.5


@dataclass(frozen=True, slots=True)
class PlannerInput:
    """What the planner knows when it decides.

    :param unreachable: upstreams that do not answer reports.
    :param reachable: upstreams that have just answered one.
    :param reports_by_id: their last reports.
    :param before_traffic: whether no request has come yet, so that loads are quick and free.
    :param evacuated: data centres whose upstreams get no requests until operators take that back.
    """

    at: float
    service: ServiceId
    engine: EngineSpec
    view: UpstreamView
    first_epoch: int
    unreachable_ids: frozenset[UpstreamId] = frozenset()
    reachable_ids: frozenset[UpstreamId] = frozenset()
    reports_by_id: Mapping[UpstreamId, UpstreamReport] = field(default_factory=dict)
    before_traffic: bool = False
    evacuated_data_centres: frozenset[DataCentreId] = frozenset()


@dataclass(slots=True)
class PlanningRound:
    """Working state of one decision.

    :param bound: upstreams that are to stay in the groups that they are in or will join.
    :param releasing: fabric domains in which hosts will be free in a moment.
    :param groups_by_model: groups that serve or are being formed, where requests may go.
    """

    planner_input: PlannerInput
    memory: PlannerMemory
    bound: set[UpstreamId] = field(default_factory=set)
    releasing: set[FabricDomainId] = field(default_factory=set)
    groups_by_model: Counter[ModelId] = field(default_factory=Counter)

    def bind(self, members: Iterable[Upstream]) -> None:
        """Keep upstreams from joining another group."""
        self.bound.update(member.upstream_id for member in members)

    def count_group(self, model: ModelId, members: Iterable[Upstream]) -> None:
        """Count a group towards what its model has, unless it stands where no request goes."""
        if not any(self.is_evacuated(member) for member in members):
            self.groups_by_model[model] += 1

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets no requests by the operators' word."""
        return upstream.data_centre in self.planner_input.evacuated_data_centres

    def any_unreachable(self, members: Iterable[Upstream]) -> bool:
        """Return whether an upstream does not answer."""
        until_by_id = self.memory.unreachable_until
        return any(
            member.upstream_id in self.planner_input.unreachable_ids
            or until_by_id.get(member.upstream_id, 0.0) > self.planner_input.at
            for member in members
        )

    def is_slow(self, upstream: Upstream) -> bool:
        """Return whether an upstream would slow down a whole group."""
        report = self.planner_input.reports_by_id.get(upstream.upstream_id)
        return report is not None and report.pace >= SLOW_PACE

    def may_send(self, target: Upstream, what: str) -> bool:
        """Return whether an order was not sent, or so long ago that it may be lost."""
        sent_at = self.memory.sent_at.get((target.upstream_id, what))
        return sent_at is None or self.planner_input.at - sent_at >= RESEND_SECONDS

    def order(self, target: Upstream, order: Order, reason: str) -> AddressedOrder:
        """Return an order that is carried out only in the last known state of its target."""
        known = self.memory.host_states.state_of(target)
        return self.order_in_state(target, order, reason, known.sequence if known else None)

    def order_in_state(
        self, target: Upstream, order: Order, reason: str, sequence: int | None
    ) -> AddressedOrder:
        """Return an order, and remember when it was sent.

        :param sequence: orders that the target must have accepted; None for any number.
        """
        name = type(order).__name__.lower()
        what = name if isinstance(order, Stage) else f"{name} {order.key}"
        self.memory.sent_at[(target.upstream_id, what)] = self.planner_input.at
        return AddressedOrder(target, order, reason, sequence)

    def order_to_close(self, head: Upstream, close: Close, reason: str) -> AddressedOrder:
        """Return an order to close, in any state if the head has refused it in the known one."""
        if close.key in self.memory.closes_refused:
            return self.order_in_state(head, close, reason, None)
        return self.order(head, close, reason)

    def hosts(self) -> list[Upstream]:
        """Return the upstreams of the service that stay."""
        return [
            upstream
            for upstream in self.planner_input.view.upstreams_by_id.values()
            if upstream.service == self.planner_input.service and not upstream.draining
        ]

    def free_hosts_by_domain(self) -> dict[FabricDomainId, list[Upstream]]:
        """Return the upstreams that are in no group and may join one now.

        A domain waits for all hosts that it is about to have, so that none is used alone.
        """
        hosts_by_domain: dict[FabricDomainId, list[Upstream]] = defaultdict(list)
        for upstream in self.unbound_hosts():
            if upstream.fabric_domain in self.releasing:
                continue
            if self.memory.host_states.is_free(upstream, self.planner_input.at):
                hosts_by_domain[upstream.fabric_domain].append(upstream)
        return hosts_by_domain

    def unbound_hosts(self) -> list[Upstream]:
        """Return the upstreams that no group keeps, and that could serve in one."""
        return [
            upstream
            for upstream in self.hosts()
            if upstream.upstream_id not in self.bound
            and not self.any_unreachable((upstream,))
            and not self.is_slow(upstream)
        ]

    def supply(self, spec: ModelSpec) -> float:
        """Return the groups that a model has for each one that it should have."""
        return self.groups_by_model[spec.model] / self.target_group_count(spec)

    def target_group_count(self, spec: ModelSpec) -> float:
        """Return how many groups a model should have."""
        return self.memory.demand.target_group_count(
            self.planner_input.engine, spec, len(self.hosts())
        )

    def load_capacity(self, share: float = 1.0) -> int:
        """Return how many loads from the weight store may begin now.

        :param share: part of the loads that run without slowing each other; may be above 1.
        """
        engine = self.planner_input.engine
        if self.planner_input.before_traffic:
            return len(self.planner_input.view.upstreams_by_id)
        schedule = self.memory.schedule
        at_once = max(1, int(engine.loads_at_once * share))
        return schedule.free_capacity(at_once, engine.loads_per_second, self.planner_input.at)
