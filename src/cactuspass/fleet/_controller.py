"""The control loop that plans groups and sends orders to upstreams while this instance leads."""

import asyncio
import itertools
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress

from cactuspass._clock import now
from cactuspass.fleet._catalog import Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._dispatch import RequestActivity
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._offered_load import offered_concurrency
from cactuspass.fleet._orders import AddressedOrder, Join, Order, Stage, UpstreamControl
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._planning_round import PlannerInput
from cactuspass.fleet._presence import Presence, Term
from cactuspass.fleet._probes import Probes
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import ModelId, ServiceId

PLAN_INTERVAL_SECONDS = 0.15  # longest time between two planning rounds
# Of the time; each round is followed by a pause, whatever wakes the controller.
MAX_PLANNING_SHARE = 0.25
# More at once would keep each other from being answered in time on a small instance.
MAX_ORDERS_AT_ONCE = 64
REGISTRY_STABLE_SECONDS = 0.7  # time without a change in the number of registered upstreams


class Controller(RepeatingComponent):
    """Plans the groups of every engine service while this instance is the leader.

    While another instance leads, it only records which groups the registry shows, so that a new
    term starts with their history.

    :param request_activity: states whether this instance has admitted any request.
    :param fleet_load: returns the load that instances have exchanged, None while it is not known.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        presence: Presence,
        control: UpstreamControl,
        probes: Probes,
        log: DecisionLog,
        metrics: Metrics,
        request_activity: RequestActivity,
        fleet_load: Callable[[], FleetLoad | None] = lambda: None,
    ) -> None:
        super().__init__(log)
        self._fleet_load = fleet_load
        self._cluster_state = cluster_state
        self._presence = presence
        self._control = control
        self._probes = probes
        self._metrics = metrics
        self._request_activity = request_activity
        self._wake = asyncio.Event()
        self._term: Term | None = None
        self._planners_by_service: dict[ServiceId, GroupPlanner] = {}
        self._histories_by_service: defaultdict[ServiceId, GroupHistory] = defaultdict(GroupHistory)
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._order_turns = asyncio.Semaphore(MAX_ORDERS_AT_ONCE)
        self._pending_orders: set[tuple[UpstreamId, Order]] = set()
        self._before_traffic = False
        self._registered_count = 0
        self._registered_count_changed_at = 0.0
        self._serving_by_service: dict[ServiceId, Counter[ModelId | None]] = {}

    def wake(self) -> None:
        """Start the next planning round without waiting for the interval."""
        self._wake.set()

    async def step(self) -> None:
        """Run a planning round once ``wake`` is called or, while leading, the interval has passed.

        An instance that does not lead has nothing to do until the registry or its term changes.
        """
        interval = PLAN_INTERVAL_SECONDS if self._term is not None else None
        with suppress(TimeoutError):
            async with asyncio.timeout(interval):
                await self._wake.wait()
        self._wake.clear()
        began = now()
        self._plan_services()
        pause = (now() - began) * (1 / MAX_PLANNING_SHARE - 1)
        # The process may have been paused during the round, which is no reason to plan later.
        await asyncio.sleep(min(pause, PLAN_INTERVAL_SECONDS))

    def _plan_services(self) -> None:
        term = self._presence.term
        if term != self._term:
            self._change_term(term)
        if self._cluster_state.catalog_index is None:
            return
        for service in self._cluster_state.catalog_index.catalog.services_by_id.values():
            if service.engine is None:
                continue
            if term is None:
                groups = self._cluster_state.view.groups_of(service.service)
                self._histories_by_service[service.service].observe(groups, now())
            else:
                self._plan(term, service)

    def _change_term(self, term: Term | None) -> None:
        """Reset the state of the previous term.

        :param term: the new term; None while this instance does not lead.
        """
        self._term = term
        self._planners_by_service.clear()
        self._probes.reset(enabled=term is not None)
        self._metrics.leads.set(term is not None)
        serving = any(group.serves for group in self._cluster_state.view.groups_by_key.values())
        self._before_traffic = (
            term is not None and not serving and not self._request_activity.any_admitted
        )

    def _plan(self, term: Term, service: Service) -> None:
        assert service.engine is not None
        history = self._histories_by_service[service.service]
        planner = self._planners_by_service.setdefault(
            service.service, GroupPlanner(Demand(), history)
        )
        planner.demand.observe(self.concurrency_by_model(service))
        self._observe_offered(planner.demand, service)
        if self._request_activity.any_admitted:
            self._before_traffic = False
        if self._before_traffic and not self._is_registry_stable():
            return
        planner_input = PlannerInput(
            now(),
            service.service,
            service.engine,
            self._cluster_state.view,
            term.first_epoch,
            self._probes.unreachable_ids(),
            self._probes.reachable_ids(),
            self._probes.reports_by_id(),
            self._before_traffic,
            self._cluster_state.evacuations.data_centres,
            knows_demand=self._fleet_load() is not None,
        )
        for addressed in planner.plan(planner_input):
            self._start_order(planner, addressed)
        for abandoned in planner.pop_abandoned_formations():
            self._log.state_change(
                "formation-given-up",
                group=abandoned.key.group_id,
                model=abandoned.model,
                reason=abandoned.reason,
                term=term.revision,
            )
        self._probes.add_targets(self._unregistered_members(history))
        self._log_serving_groups(service, planner)

    def _unregistered_members(self, history: GroupHistory) -> list[Upstream]:
        """Return known group members without a registry entry, whose processes may still run."""
        members = itertools.chain.from_iterable(history.members_by_key.values())
        registered = self._cluster_state.view.upstreams_by_id
        return [member for member in members if member.upstream_id not in registered]

    def _is_registry_stable(self) -> bool:
        """Return whether the number of registered upstreams has stopped changing.

        Upstreams that start together register one after the other; planning before they all have
        registered would use only some of them.
        """
        count = len(self._cluster_state.view.upstreams_by_id)
        if count != self._registered_count:
            self._registered_count = count
            self._registered_count_changed_at = now()
        return count > 0 and now() - self._registered_count_changed_at >= REGISTRY_STABLE_SECONDS

    def _log_serving_groups(self, service: Service, planner: GroupPlanner) -> None:
        """Log the number of serving groups of each model when any of these numbers has changed."""
        assert service.engine is not None
        groups = self._cluster_state.view.serving_groups(service.service)
        serving = Counter(group.model for group in groups)
        if serving == self._serving_by_service.get(service.service):
            return
        self._serving_by_service[service.service] = serving
        for spec in service.engine.models_by_id.values():
            self._log.state_change(
                "groups-serving",
                service=service.service,
                model=spec.model,
                groups=serving[spec.model],
                wanted=planner.demand.target_group_count(
                    service.engine, spec, len(self._cluster_state.view.upstreams_by_id)
                ),
                free_hosts=planner.describe_free_hosts(),
            )

    def _observe_offered(self, demand: Demand, service: Service) -> None:
        """Pass on what the whole fleet is asked for, where instances exchange their load."""
        assert service.engine is not None
        offered = offered_concurrency(self._fleet_load(), service.service, service.engine)
        evacuated = self._cluster_state.evacuations.data_centres
        serving = Counter(
            group.model
            for group in self._cluster_state.view.serving_groups(service.service)
            if group.model is not None and group.members[0].data_centre not in evacuated
        )
        demand.observe_offered(service.engine, offered, serving, now())

    def concurrency_by_model(self, service: Service) -> dict[ModelId, float]:
        """Return the running and queued requests of each model by the last reports of the heads."""
        counts: Counter[ModelId] = Counter()
        reports_by_id = self._probes.reports_by_id()
        for group in self._cluster_state.view.serving_groups(service.service):
            if group.model is None or group.head is None:
                continue
            report = reports_by_id.get(group.head.upstream_id)
            if report is not None:
                counts[group.model] += report.running + report.queued
        return {model: float(count) for model, count in counts.items()}

    def _start_order(self, planner: GroupPlanner, addressed: AddressedOrder) -> None:
        """Send an order in its turn, unless the same one has not been sent yet."""
        pending = (addressed.target.upstream_id, addressed.order)
        if pending in self._pending_orders:
            return
        self._pending_orders.add(pending)
        task = asyncio.create_task(self._send_in_turn(planner, addressed))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _send_in_turn(self, planner: GroupPlanner, addressed: AddressedOrder) -> None:
        """Send an order once fewer than ``MAX_ORDERS_AT_ONCE`` others are under way."""
        async with self._order_turns:
            self._pending_orders.discard((addressed.target.upstream_id, addressed.order))
            # A planner that was replaced meanwhile belongs to an earlier term.
            if planner in self._planners_by_service.values():
                await self._send_order(planner, addressed)

    async def _send_order(self, planner: GroupPlanner, addressed: AddressedOrder) -> None:
        if self._presence.term != self._term or self._term is None:
            return
        term = self._term
        name = type(addressed.order).__name__.lower()
        self._log_order(f"{name}-sent", term, addressed, reason=addressed.reason)
        began = now()
        # The process may have been paused, or the term may end, while the connection is opened.
        outcome = await self._control.send_order(addressed, lambda: self._presence.term == term)
        self._metrics.orders.labels(name, outcome.value).inc()
        took = now() - began
        self._log_order(name, term, addressed, outcome=outcome.value, took=took)
        self._probes.discard_report(addressed.target.upstream_id)
        planner.record_outcome(addressed, outcome, now())
        self._wake.set()

    def _log_order(
        self, event: str, term: Term, addressed: AddressedOrder, **fields: str | float
    ) -> None:
        """Log that an order was sent or what its outcome was.

        Both are logged, since an order may be executed long after it was sent.
        """
        order = addressed.order
        key = None if isinstance(order, Stage) else order.key
        self._log.order(
            event,
            upstream=addressed.target.upstream_id,
            group=key.group_id if key is not None else None,
            model=order.model if isinstance(order, Join | Stage) else None,
            members=",".join(order.members) if isinstance(order, Join) else None,
            expected_sequence=addressed.expected_sequence,
            term=term.revision,
            **fields,
        )
