"""Input and working state of one planning round of the group planner."""

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
from cactuspass.fleet._upstreams import GroupKey, Upstream, UpstreamId, UpstreamView
from cactuspass.models import DataCentreId, FabricDomainId, ModelId, ServiceId

RESEND_SECONDS = 0.4  # safe to repeat: a host that has carried out the first order refuses it
SLOW_PACE_FACTOR = 2.5


@dataclass(frozen=True, slots=True)
class PlannerInput:
    """Input of one planning round.

    :param at: clock value of the round.
    :param service: engine service to plan for.
    :param view: upstreams and groups that the registry shows.
    :param first_epoch: number above which this leader's epochs begin.
    :param unreachable_ids: upstreams that do not answer requests for reports.
    :param reachable_ids: upstreams that have just answered such a request.
    :param reports_by_id: last reports of the upstreams that answer.
    :param before_traffic: whether no request has arrived yet; loads are then fast and not limited.
    :param evacuated_data_centres: data centres that get no requests until operators revoke that.
    :param knows_demand: whether the demand of the whole fleet is known. The spare hosts of large
        groups are then kept for them, and groups are turned into those of a model that needs more.
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
    knows_demand: bool = False


@dataclass(slots=True)
class PlanningRound:
    """Working state of one planning round.

    A host is an upstream of the engine service that is planned for.

    :param reserved_ids: hosts that stay in the groups that they are in or are joining.
    :param releasing_domains: fabric domains in which further hosts are about to become free.
    :param group_counts_by_model: number of groups that serve or are being formed, without those in
        evacuated data centres.
    """

    planner_input: PlannerInput
    memory: PlannerMemory
    reserved_ids: set[UpstreamId] = field(default_factory=set)
    releasing_domains: set[FabricDomainId] = field(default_factory=set)
    group_counts_by_model: Counter[ModelId] = field(default_factory=Counter)
    _serving_keys: Mapping[ModelId, set[GroupKey]] | None = None
    _hosts: list[Upstream] | None = None
    _hosts_by_domain: defaultdict[FabricDomainId, list[Upstream]] | None = None

    def reserve(self, members: Iterable[Upstream]) -> None:
        """Reserve hosts for their groups, so that they join no other group in this round."""
        self.reserved_ids.update(member.upstream_id for member in members)

    def count_group(self, model: ModelId, members: Iterable[Upstream]) -> None:
        """Count a group for its model, unless a member is in an evacuated data centre."""
        if not any(self.is_evacuated(member) for member in members):
            self.group_counts_by_model[model] += 1

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether operators have evacuated an upstream's data centre."""
        return upstream.data_centre in self.planner_input.evacuated_data_centres

    def any_unreachable(self, members: Iterable[Upstream]) -> bool:
        """Return whether any of the upstreams does not answer."""
        until_by_id = self.memory.unreachable_until_by_id
        return any(
            member.upstream_id in self.planner_input.unreachable_ids
            or until_by_id.get(member.upstream_id, 0.0) > self.planner_input.at
            for member in members
        )

    def is_slow(self, upstream: Upstream) -> bool:
        """Return whether an upstream is so slow that it would slow down its whole group."""
        report = self.planner_input.reports_by_id.get(upstream.upstream_id)
        return report is not None and report.pace >= SLOW_PACE_FACTOR

    def try_close_slow(self, key: GroupKey, model: ModelId) -> bool:
        """Count a group with a slow member as closed; return False if it must go on for now."""
        serving_keys = self._serving_keys_by_model().get(model, set())
        return self.memory.slow_groups.try_close(key, model, serving_keys, self.planner_input.at)

    def _serving_keys_by_model(self) -> Mapping[ModelId, set[GroupKey]]:
        """Return the keys of the groups that serve, by model."""
        if self._serving_keys is None:
            found: defaultdict[ModelId, set[GroupKey]] = defaultdict(set)
            for group in self.planner_input.view.groups_of(self.planner_input.service):
                if group.model is not None and group.serves:
                    found[group.model].add(group.key)
            self._serving_keys = found
        return self._serving_keys

    def may_send(self, target: Upstream, name: str) -> bool:
        """Return whether an order was not sent yet, or so long ago that it may have been lost.

        :param name: kind of the order and key of its group, for example ``join KEY``.
        """
        last_sent_at = self.memory.last_sent_at.get((target.upstream_id, name))
        return last_sent_at is None or self.planner_input.at - last_sent_at >= RESEND_SECONDS

    def make_order(self, target: Upstream, order: Order, reason: str) -> AddressedOrder:
        """Return an order that its target refuses unless it is in its last known state."""
        known = self.memory.host_states.state_of(target)
        return self.make_order_at_sequence(target, order, reason, known.sequence if known else None)

    def make_order_at_sequence(
        self, target: Upstream, order: Order, reason: str, sequence: int | None
    ) -> AddressedOrder:
        """Return an order, and record the present time as the time of its sending.

        :param sequence: number of orders that the target must have accepted; None for any number.
        """
        kind = type(order).__name__.lower()
        name = kind if isinstance(order, Stage) else f"{kind} {order.key}"
        self.memory.last_sent_at[(target.upstream_id, name)] = self.planner_input.at
        return AddressedOrder(target, order, reason, sequence)

    def make_close_order(self, head: Upstream, close: Close, reason: str) -> AddressedOrder:
        """Return an order to close a group.

        It expects no state of the head if the head has refused one that expected the known state.
        """
        if close.key in self.memory.refused_close_keys:
            return self.make_order_at_sequence(head, close, reason, None)
        return self.make_order(head, close, reason)

    def hosts(self) -> list[Upstream]:
        """Return the upstreams of the service that do not drain."""
        if self._hosts is None:
            self._hosts = [
                upstream
                for upstream in self.planner_input.view.upstreams_by_id.values()
                if upstream.service == self.planner_input.service and not upstream.draining
            ]
        return self._hosts

    def hosts_of(self, domain: FabricDomainId) -> list[Upstream]:
        """Return the hosts of a fabric domain."""
        if self._hosts_by_domain is None:
            self._hosts_by_domain = defaultdict(list)
            for host in self.hosts():
                self._hosts_by_domain[host.fabric_domain].append(host)
        return self._hosts_by_domain.get(domain, [])

    def free_hosts_by_domain(self) -> dict[FabricDomainId, list[Upstream]]:
        """Return the hosts that are in no group and may join one now, by fabric domain.

        A domain is left out while further hosts in it are about to become free, so that they can
        form a group together.
        """
        hosts_by_domain: dict[FabricDomainId, list[Upstream]] = defaultdict(list)
        for upstream in self.unreserved_hosts():
            if upstream.fabric_domain in self.releasing_domains:
                continue
            if self.memory.host_states.is_free(upstream, self.planner_input.at):
                hosts_by_domain[upstream.fabric_domain].append(upstream)
        return hosts_by_domain

    def unreserved_hosts(self) -> list[Upstream]:
        """Return the hosts that are not reserved, answer and are not slow."""
        return [
            upstream
            for upstream in self.hosts()
            if upstream.upstream_id not in self.reserved_ids
            and not self.any_unreachable((upstream,))
            and not self.is_slow(upstream)
        ]

    def supply_ratio(self, spec: ModelSpec, expected: int = 0) -> float:
        """Return the number of a model's groups, divided by the target number.

        :param expected: number of groups that are not formed yet and count as well.
        """
        count = self.group_counts_by_model[spec.model] + expected
        return count / self.target_group_count(spec)

    def target_group_count(self, spec: ModelSpec) -> float:
        """Return the target number of groups for a model."""
        return self.memory.demand.target_group_count(
            self.planner_input.engine, spec, len(self.hosts())
        )

    def load_capacity(self, share: float = 1.0) -> int:
        """Return how many loads from the weight store may start now.

        :param share: factor on the number of loads that run together without slowing each other;
            may be above 1.
        """
        engine = self.planner_input.engine
        if self.planner_input.before_traffic:
            return len(self.planner_input.view.upstreams_by_id)
        schedule = self.memory.load_schedule
        at_once = max(1, int(engine.loads_at_once * share))
        return schedule.free_capacity(at_once, engine.loads_per_second, self.planner_input.at)
