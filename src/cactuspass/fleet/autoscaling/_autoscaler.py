"""Watches the demand for engine services and states how many upstreams each should have."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from cactuspass._clock import now
from cactuspass.fleet._catalog import Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._presence import Term
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet.autoscaling._count_decider import CountChange
from cactuspass.fleet.autoscaling._service_scaling import ServiceScaling
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import DataCentreId, ModelId, ServiceId

INTERVAL_SECONDS = 1.0


class WantCount(Protocol):
    """Takes the number of upstreams that a data centre should have of a service."""

    def __call__(
        self, service: ServiceId, data_centre: DataCentreId, count: int, reason: str
    ) -> None:
        """Order the number, unless it has been ordered already."""


class Autoscaler(RepeatingComponent):
    """States how many upstreams services with scaling limits should have, while it may.

    The demand is observed by every instance, so that a new leader knows it.

    :param term: returns the term in which this instance leads, None while it does not.
    :param fleet_load: returns the load that instances have exchanged, None while it is not known.
    :param reported_concurrency: returns the running and queued requests of a service by model, as
        its heads report them; used without an exchange of loads.
    :param want: takes each number.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        term: Callable[[], Term | None],
        fleet_load: Callable[[], FleetLoad | None],
        reported_concurrency: Callable[[Service], Mapping[ModelId, float]],
        want: WantCount,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        super().__init__(log)
        self._cluster_state = cluster_state
        self._term = term
        self._fleet_load = fleet_load
        self._reported_concurrency = reported_concurrency
        self._want = want
        self._metrics = metrics
        self._scaling_by_service: dict[ServiceId, ServiceScaling] = {}
        self._held_for_by_service: dict[ServiceId, str] = {}
        self._last_term: Term | None = None

    async def step(self) -> None:
        """Decide once, then wait for the next second."""
        self.update(now())
        await asyncio.sleep(INTERVAL_SECONDS)

    def update(self, at: float) -> None:
        """Observe the demand for all services, and decide while this instance leads.

        :param at: clock value.
        """
        index = self._cluster_state.catalog_index
        services_by_id = index.catalog.services_by_id if index is not None else {}
        scaled = {
            service_id: service
            for service_id, service in services_by_id.items()
            if service.scaling is not None and service.engine is not None
        }
        for service_id in self._scaling_by_service.keys() - scaled.keys():
            del self._scaling_by_service[service_id]
        term = self._term()
        if term != self._last_term:
            self._last_term = term
            self._metrics.wanted_upstreams.clear()
            self._metrics.offered_groups.clear()
            for scaling in self._scaling_by_service.values():
                scaling.forget_orders()
        for service in scaled.values():
            self._update_service(service, term, at)

    def _update_service(self, service: Service, term: Term | None, at: float) -> None:
        scaling = self._scaling_by_service.setdefault(
            service.service, ServiceScaling(self._cluster_state)
        )
        load = self._fleet_load()
        if load is not None:
            scaling.observe_exchanged(service, load, at)
        elif term is not None:
            scaling.observe_reported(service, self._reported_concurrency(service), at)
        if term is None:
            return
        decision = scaling.decide(service, at)
        for change in decision.changes:
            self._log_change(service, change, scaling)
        if decision.held_for != self._held_for_by_service.get(service.service):
            self._held_for_by_service[service.service] = decision.held_for
            if decision.held_for:
                self._log.state_change(
                    "upstream-counts-kept", service=service.service, reason=decision.held_for
                )
        for order in scaling.orders_due(service, decision, at):
            self._want(service.service, order.data_centre, order.count, order.reason)
            self._metrics.wanted_upstreams.labels(service.service, order.data_centre).set(
                order.count
            )
        for model, groups in scaling.offered_groups(service, at).items():
            self._metrics.offered_groups.labels(service.service, model).set(groups)

    def _log_change(self, service: Service, change: CountChange, scaling: ServiceScaling) -> None:
        """Log a number that has changed, with what it was derived from."""
        self._log.state_change(
            "upstream-count-wanted",
            service=service.service,
            data_centre=change.data_centre,
            count=change.count,
            before=change.before,
            reason=change.reason,
            covers_loss=change.covers_loss,
            registered=scaling.registered_count(service, change.data_centre),
        )
