"""Decides which orders make whole groups out of the upstreams of an engine service."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from cactuspass.fleet._catalog import EngineSpec, ModelSpec
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._loading import LoadSchedule
from cactuspass.fleet._orders import AddressedOrder, Close, Join, Open, OrderOutcome, Stage
from cactuspass.fleet._upstreams import (
    SERVING_STATES,
    Group,
    GroupKey,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamView,
)
from cactuspass.models import FabricDomainId, GroupId, ModelId, ServiceId

RESEND_SECONDS = 1.0
SPARES_IN_DOMAIN = 2
HOT_JOIN_SECONDS = 0.2
PLAN_SLACK_SECONDS = 3.0
LOAD_SLACK_FACTOR = 2.5
UNREACHABLE_SECONDS = 2.0
HEADLESS_WAIT_SECONDS = 0.3
FORGET_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Situation:
    """What the planner knows when it decides.

    :param unreachable: upstreams that do not answer reports.
    :param reachable: upstreams that have just answered one.
    :param lead_in: whether no request has come yet, so that loads are quick and free.
    """

    at: float
    service: ServiceId
    engine: EngineSpec
    view: UpstreamView
    first_epoch: int
    unreachable: frozenset[UpstreamId] = frozenset()
    reachable: frozenset[UpstreamId] = frozenset()
    lead_in: bool = False


@dataclass(slots=True)
class Formation:
    """A group that this planner has ordered.

    :param expected_by: clock value after which the formation is given up.
    """

    key: GroupKey
    model: ModelId
    members: tuple[Upstream, ...]
    expected_by: float

    @property
    def member_ids(self) -> tuple[UpstreamId, ...]:
        """Ids of the members by rank."""
        return tuple(member.upstream_id for member in self.members)


@dataclass(slots=True)
class _Round:
    """Working state of one decision."""

    situation: Situation
    bound: set[UpstreamId] = field(default_factory=set)
    groups_by_model: Counter[ModelId] = field(default_factory=Counter)
    host_count: int = 0


class GroupPlanner:
    """Forms, opens, closes and re-forms groups; one controller at a time uses it.

    A member is free for another group only when the head of its group was seen to serve no more.
    """

    def __init__(self, demand: Demand) -> None:
        self.demand = demand
        self.free_host_count = 0
        self._formations_by_key: dict[GroupKey, Formation] = {}
        self._schedule = LoadSchedule()
        self._next_epoch = 0
        self._sent_at: dict[tuple[UpstreamId, str], float] = {}
        self._heads_by_key: dict[GroupKey, Upstream] = {}
        self._members_by_key: dict[GroupKey, tuple[Upstream, ...]] = {}
        self._unreachable_until: dict[UpstreamId, float] = {}

    def plan(self, situation: Situation) -> list[AddressedOrder]:
        """Return the orders to give now."""
        current = _Round(situation)
        current.host_count = sum(
            upstream.service == situation.service and not upstream.draining
            for upstream in situation.view.upstreams_by_id.values()
        )
        self._schedule.update(dict(situation.view.upstreams_by_id), situation.at)
        self._next_epoch = max(self._next_epoch, situation.first_epoch)
        orders = [
            order for group in self._groups(situation) for order in self._tend_group(group, current)
        ]
        orders += self._tend_formations(current)
        orders += self._form(current)
        orders += self._stage(current)
        self.free_host_count = sum(map(len, self._free_hosts(current).values()))
        return orders

    def note_outcome(self, addressed: AddressedOrder, outcome: OrderOutcome, at: float) -> None:
        """Draw the conclusions of an order's outcome."""
        if outcome is OrderOutcome.NOT_REACHED:
            until = at + UNREACHABLE_SECONDS
            self._unreachable_until[addressed.target.upstream_id] = until
        order = addressed.order
        refused = outcome in (
            OrderOutcome.CONFLICT,
            OrderOutcome.OUTDATED,
            OrderOutcome.NOT_REACHED,
        )
        if isinstance(order, Join) and refused:
            self._formations_by_key.pop(order.key, None)
        if isinstance(order, Stage) and refused:
            self._schedule.started_by_id.pop(addressed.target.upstream_id, None)

    # Groups that upstreams report.

    def _groups(self, situation: Situation) -> list[Group]:
        """Return the service's groups, and remember who was in them."""
        groups = [
            group
            for group in situation.view.groups_by_key.values()
            if group.service == situation.service
        ]
        for group in groups:
            if group.head is not None:
                self._heads_by_key[group.key] = group.head
            if len(group.members) >= len(self._members_by_key.get(group.key, ())):
                self._members_by_key[group.key] = group.members
        self._forget({group.key for group in groups}, situation.at)
        return groups

    def _forget(self, keys: set[GroupKey], at: float) -> None:
        """Drop what is remembered of groups that nobody reports any more."""
        for key in self._members_by_key.keys() - keys:
            del self._members_by_key[key]
            self._heads_by_key.pop(key, None)
        old = [what for what, sent_at in self._sent_at.items() if at - sent_at > FORGET_SECONDS]
        for what in old:
            del self._sent_at[what]

    def _tend_group(self, group: Group, current: _Round) -> Iterator[AddressedOrder]:
        head = group.head
        if head is None or head.membership is None:
            yield from self._tend_headless(group, current)
        elif head.membership.state in SERVING_STATES:
            yield from self._tend_serving(group, head, current)
        elif head.membership.state is not MemberState.BROKEN:
            yield from self._tend_forming(group, head, current)

    def _tend_headless(self, group: Group, current: _Round) -> Iterator[AddressedOrder]:
        """Tell a head whose entry has gone to close; its members are free a moment later."""
        head = self._heads_by_key.get(group.key)
        if head is None or group.key in self._formations_by_key:
            return
        sent_at = self._sent_at.get((head.upstream_id, f"close {group.key}"))
        if sent_at is None:
            yield self._order(head, Close(group.key, True), "head not registered", current)
            sent_at = current.situation.at
        if current.situation.at - sent_at < HEADLESS_WAIT_SECONDS:
            self._bind(group.members, current)

    def _tend_serving(
        self, group: Group, head: Upstream, current: _Round
    ) -> Iterator[AddressedOrder]:
        assert head.membership is not None
        self._bind(group.members, current)
        model = group.model
        spec = current.situation.engine.models_by_id.get(model) if model is not None else None
        if model is None or spec is None:
            return
        self._formations_by_key.pop(group.key, None)
        reason, cut = self._fault(group, spec, current.situation)
        if reason is None:
            current.groups_by_model[model] += 1
        elif head.membership.state is MemberState.OPEN:
            order = Close(group.key, cut)
            if self._may_send(head, f"close {group.key}", current.situation.at):
                yield self._order(head, order, reason, current)

    def _fault(
        self, group: Group, spec: ModelSpec, situation: Situation
    ) -> tuple[str | None, bool]:
        """Return why a serving group must close, and whether what runs there is lost anyway."""
        known = self._members_by_key.get(group.key, group.members)
        present = {member.upstream_id for member in group.members}
        for member in known:
            if member.upstream_id in situation.unreachable:
                return f"member {member.upstream_id} does not answer", True
            if member.upstream_id not in present and not self._hidden(member, situation):
                return f"member {member.upstream_id} has left", True
        if len(known) < spec.size:
            return "members are missing", True
        draining = next((m for m in group.members if m.draining), None)
        if draining is not None:
            return f"member {draining.upstream_id} drains", False
        return None, False

    def _hidden(self, member: Upstream, situation: Situation) -> bool:
        """Return whether a member has only lost its registry entry, and lives on."""
        registered = member.upstream_id in situation.view.upstreams_by_id
        return not registered and member.upstream_id in situation.reachable

    def _tend_forming(
        self, group: Group, head: Upstream, current: _Round
    ) -> Iterator[AddressedOrder]:
        situation = current.situation
        formation = self._formations_by_key.get(group.key)
        model = formation.model if formation is not None else group.model
        spec = situation.engine.models_by_id.get(model) if model is not None else None
        if spec is None or model is None:
            return
        whole = group.is_complete(spec.size) and not self._any_unreachable(group.members, situation)
        if not whole:
            return
        self._bind(group.members, current)
        current.groups_by_model[model] += 1
        listed = formation is None or formation.member_ids == tuple(
            member.upstream_id for member in group.members
        )
        if listed and group.all_ready() and self._may_send(head, f"open {group.key}", situation.at):
            yield self._order(head, Open(group.key), "all members ready", current)

    # Formations that this planner has ordered.

    def _tend_formations(self, current: _Round) -> Iterator[AddressedOrder]:
        situation = current.situation
        for key, formation in list(self._formations_by_key.items()):
            members = [situation.view.upstreams_by_id.get(i) for i in formation.member_ids]
            present = [member for member in members if member is not None]
            if self._is_hopeless(formation, present, situation):
                del self._formations_by_key[key]
                continue
            fresh = [m for m in present if m.upstream_id not in current.bound]
            if fresh:
                current.groups_by_model[formation.model] += 1
            self._bind(tuple(present), current)
            join = Join(key, formation.model, formation.member_ids)
            for member in present:
                joined = member.membership is not None and member.membership.key == key
                if not joined and self._may_send(member, f"join {key}", situation.at):
                    yield self._order(member, join, "join was not answered", current)

    def _is_hopeless(
        self, formation: Formation, present: list[Upstream], situation: Situation
    ) -> bool:
        if len(present) < len(formation.members) or situation.at > formation.expected_by:
            return True
        if self._any_unreachable(tuple(present), situation):
            return True
        born_by_id = {member.upstream_id: member.born_ms for member in formation.members}
        return any(m.draining or m.born_ms != born_by_id[m.upstream_id] for m in present)

    # New groups.

    def _form(self, current: _Round) -> Iterator[AddressedOrder]:
        for _, hosts in sorted(self._free_hosts(current).items()):
            while (chosen := self._choose_model(hosts, current)) is not None:
                spec, members = chosen
                to_load = sum(spec.model not in host.staged for host in members)
                if to_load > self._load_room(current.situation):
                    return
                hosts = [host for host in hosts if host not in members]
                yield from self._begin_formation(spec, members, current)

    def _free_hosts(self, current: _Round) -> dict[FabricDomainId, list[Upstream]]:
        situation = current.situation
        hosts_by_domain: dict[FabricDomainId, list[Upstream]] = defaultdict(list)
        for upstream in situation.view.upstreams_by_id.values():
            if upstream.service != situation.service or upstream.draining:
                continue
            if upstream.upstream_id in current.bound:
                continue
            if self._any_unreachable((upstream,), situation):
                continue
            hosts_by_domain[upstream.fabric_domain].append(upstream)
        return hosts_by_domain

    def _supply(self, spec: ModelSpec, current: _Round) -> float:
        """Return the groups that a model has for each one that it should have."""
        situation = current.situation
        wanted = self.demand.groups_wanted(situation.engine, spec, current.host_count)
        return current.groups_by_model[spec.model] / wanted

    def _choose_model(
        self, hosts: list[Upstream], current: _Round
    ) -> tuple[ModelSpec, list[Upstream]] | None:
        """Return the model for the next group of a domain, and its members."""
        feasible: list[tuple[float, ModelSpec, list[Upstream]]] = []
        for spec in current.situation.engine.models_by_id.values():
            members = self._best_hosts(spec, hosts, current)
            if members is None:
                continue
            supply = self._supply(spec, current)
            if supply >= 1 and len(hosts) - spec.size < SPARES_IN_DOMAIN:
                continue
            feasible.append((supply, spec, members))
        if not feasible:
            return None
        _, spec, members = min(feasible, key=lambda found: found[0])
        return spec, members

    def _best_hosts(
        self, spec: ModelSpec, hosts: list[Upstream], current: _Round
    ) -> list[Upstream] | None:
        """Return the hosts that can form a group soonest, or None when too few can."""

        def seconds(host: Upstream) -> float:
            if host.loaded == spec.model:
                return HOT_JOIN_SECONDS
            if spec.model in host.staged:
                return spec.warm_seconds
            return spec.load_seconds

        usable = [host for host in hosts if self._schedule.loads(host.upstream_id) is None]
        chosen = sorted(usable, key=lambda host: (seconds(host), host.upstream_id))[: spec.size]
        if len(chosen) < spec.size:
            return None
        to_load = any(spec.model not in host.staged for host in chosen)
        return chosen if current.situation.lead_in or not to_load else None

    def _load_room(self, situation: Situation) -> int:
        engine = situation.engine
        if situation.lead_in:
            return len(situation.view.upstreams_by_id)
        return self._schedule.room(engine.loads_at_once, engine.loads_per_second, situation.at)

    def _begin_formation(
        self, spec: ModelSpec, members: list[Upstream], current: _Round
    ) -> Iterator[AddressedOrder]:
        situation = current.situation
        self._next_epoch += 1
        key = GroupKey(GroupId(f"g{self._next_epoch}"), self._next_epoch)
        to_load = [host for host in members if spec.model not in host.staged]
        duration = spec.load_seconds * LOAD_SLACK_FACTOR if to_load else spec.warm_seconds
        formation = Formation(
            key, spec.model, tuple(members), situation.at + duration + PLAN_SLACK_SECONDS
        )
        self._formations_by_key[key] = formation
        self._bind(formation.members, current)
        current.groups_by_model[spec.model] += 1
        for host in to_load:
            self._schedule.start(host.upstream_id, spec.model, situation.at)
        join = Join(key, spec.model, formation.member_ids)
        reason = f"{spec.model} has {self._supply(spec, current):.2f} of the wanted groups"
        for member in members:
            yield self._order(member, join, reason, current)

    # Hosts without weights.

    def _stage(self, current: _Round) -> Iterator[AddressedOrder]:
        """Load weights onto free hosts that carry none."""
        situation = current.situation
        for domain, hosts in sorted(self._free_hosts(current).items()):
            for host in hosts:
                empty = not host.staged and self._schedule.loads(host.upstream_id) is None
                if not empty or self._load_room(situation) <= 0:
                    continue
                spec = self._model_to_stage(domain, hosts, current)
                self._schedule.start(host.upstream_id, spec.model, situation.at)
                yield self._order(host, Stage(spec.model), "host has no weights", current)
            yield from self._convert(hosts, current)

    def _convert(self, hosts: list[Upstream], current: _Round) -> Iterator[AddressedOrder]:
        """Load a model that is short of groups onto hosts that cannot form a group as they are."""
        situation = current.situation
        specs = sorted(
            situation.engine.models_by_id.values(), key=lambda spec: self._supply(spec, current)
        )
        by_model = self._prepared_hosts(hosts)
        for spec in specs:
            if self._supply(spec, current) >= 1:
                return
            missing = spec.size - len(by_model[spec.model]) % spec.size
            stranded = [
                host
                for other in specs
                if other is not spec
                for host in by_model[other.model][: len(by_model[other.model]) % other.size]
                if self._schedule.loads(host.upstream_id) is None
            ]
            if len(stranded) < missing or self._load_room(situation) < missing:
                continue
            for host in stranded[:missing]:
                self._schedule.start(host.upstream_id, spec.model, situation.at)
                yield self._order(host, Stage(spec.model), f"{spec.model} is short", current)
            return

    def _prepared_hosts(self, hosts: list[Upstream]) -> dict[ModelId, list[Upstream]]:
        """Return free hosts by the model that they carry or are loading."""
        by_model: dict[ModelId, list[Upstream]] = defaultdict(list)
        for host in hosts:
            model = self._schedule.loads(host.upstream_id)
            if model is None and host.staged:
                model = host.staged[-1]
            if model is not None:
                by_model[model].append(host)
        return by_model

    def _model_to_stage(
        self, domain: FabricDomainId, hosts: list[Upstream], current: _Round
    ) -> ModelSpec:
        """Return the model that a free host of a domain should carry.

        A host that completes a group comes first, then one that replaces a lost member.
        """
        specs = list(current.situation.engine.models_by_id.values())
        prepared = {model: len(found) for model, found in self._prepared_hosts(hosts).items()}
        serving: Counter[ModelId] = Counter(
            upstream.loaded
            for upstream in current.situation.view.upstreams_by_id.values()
            if upstream.fabric_domain == domain
            and upstream.upstream_id in current.bound
            and upstream.loaded is not None
        )

        def rank(spec: ModelSpec) -> tuple[float, float]:
            count = prepared.get(spec.model, 0)
            missing = -count % spec.size
            if count and missing:
                return (-1.0 / missing, self._supply(spec, current))
            return (0.0, (count + 0.5) / (serving[spec.model] + 0.5))

        return min(specs, key=rank)

    # Small helpers.

    def _any_unreachable(self, members: tuple[Upstream, ...], situation: Situation) -> bool:
        return any(
            member.upstream_id in situation.unreachable
            or self._unreachable_until.get(member.upstream_id, 0.0) > situation.at
            for member in members
        )

    def _bind(self, members: tuple[Upstream, ...], current: _Round) -> None:
        current.bound.update(member.upstream_id for member in members)

    def _may_send(self, target: Upstream, what: str, at: float) -> bool:
        sent_at = self._sent_at.get((target.upstream_id, what))
        return sent_at is None or at - sent_at >= RESEND_SECONDS

    def _order(
        self, target: Upstream, order: Join | Open | Close | Stage, reason: str, current: _Round
    ) -> AddressedOrder:
        name = type(order).__name__.lower()
        what = name if isinstance(order, Stage) else f"{name} {order.key}"
        self._sent_at[(target.upstream_id, what)] = current.situation.at
        return AddressedOrder(target, order, reason)
