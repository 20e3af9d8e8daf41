"""What one instance knows of a service whose number of upstreams can be ordered."""

from collections import Counter
from collections.abc import Iterable, Mapping

from cactuspass.fleet._catalog import EngineSpec, ModelSpec, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._offered_load import (
    OfferedLoad,
    asking_data_centres,
    offered_concurrency,
)
from cactuspass.fleet.autoscaling._count_decider import CountChange, CountDecider, ScalingDecision
from cactuspass.fleet.autoscaling._scaling_input import (
    DataCentreHosts,
    ModelNeed,
    ScalingInput,
    read_data_centres,
)
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import DataCentreId, ModelId

MAX_VIEW_AGE_SECONDS = 3.0
# A data centre that was heard of within this time has callers whose demand is to be counted.
HEARD_SECONDS = 60.0
# A number is stated again while the registry does not show it, since the order may be lost.
REPEAT_SECONDS = 10.0


class ServiceScaling:
    """Demand for a service and the numbers of upstreams that were ordered for it."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._offered = OfferedLoad()
        self._decider = CountDecider()
        self._heard_at_by_data_centre: dict[DataCentreId, float] = {}
        self._heard_now: frozenset[DataCentreId] = frozenset()
        self._exchanged_at = float("-inf")
        self._stated_at_by_data_centre: dict[DataCentreId, float] = {}

    def forget_orders(self) -> None:
        """Begin anew with the numbers that are registered, as another leader may have ordered."""
        self._decider = CountDecider()
        self._stated_at_by_data_centre.clear()

    def observe_exchanged(self, service: Service, load: FleetLoad, at: float) -> None:
        """Record the demand that instances have told each other."""
        assert service.engine is not None
        self._exchanged_at = at
        self._heard_now = asking_data_centres(load, service.service)
        self._heard_at_by_data_centre.update(dict.fromkeys(self._heard_now, at))
        offered = offered_concurrency(load, service.service, service.engine)
        if offered is not None:
            self._observe(service, offered, at)

    def observe_reported(
        self, service: Service, concurrency_by_model: Mapping[ModelId, float], at: float
    ) -> None:
        """Record the demand that the heads report, unless more is known from the exchange."""
        if at - self._exchanged_at >= HEARD_SECONDS:
            self._heard_at_by_data_centre.clear()
            self._observe(service, concurrency_by_model, at)

    def _observe(
        self, service: Service, concurrency_by_model: Mapping[ModelId, float], at: float
    ) -> None:
        assert service.engine is not None
        serving: Counter[ModelId] = Counter()
        for hosts in self._read_data_centres(service):
            if not hosts.is_evacuated:
                serving.update(hosts.serving_by_model)
        self._offered.observe(service.engine, concurrency_by_model, serving, at)

    def decide(self, service: Service, at: float) -> ScalingDecision:
        """Return the numbers to order now."""
        assert service.engine is not None and service.scaling is not None
        specs = list(service.engine.models_by_id.values())
        lead = service.scaling.boot_seconds + max((s.load_seconds for s in specs), default=0.0)
        unheard = {
            data_centre
            for data_centre, heard_at in self._heard_at_by_data_centre.items()
            if data_centre not in self._heard_now and at - heard_at < HEARD_SECONDS
        }
        scaling_input = ScalingInput(
            at,
            service.scaling,
            service.engine,
            tuple(self._need(spec, lead, at) for spec in specs),
            self._offered.known_seconds(at),
            self._read_data_centres(service),
            frozenset(unheard),
            self._is_view_fresh(),
        )
        return self._decider.decide(scaling_input)

    def _need(self, spec: ModelSpec, lead_seconds: float, at: float) -> ModelNeed:
        peak = self._offered.peak(spec.model, at) or 0.0
        forecast = self._offered.forecast(spec.model, at, lead_seconds) or 0.0
        return ModelNeed(spec, peak, forecast)

    def _read_data_centres(self, service: Service) -> tuple[DataCentreHosts, ...]:
        evacuated = self._cluster_state.evacuations.data_centres
        return read_data_centres(service, self._cluster_state.view, evacuated)

    def _is_view_fresh(self) -> bool:
        cluster_state = self._cluster_state
        is_read = cluster_state.operators_age() <= MAX_VIEW_AGE_SECONDS
        return is_read and not cluster_state.is_just_restored

    def offered_groups(self, service: Service, at: float) -> Mapping[ModelId, float]:
        """Return the groups of each model that the peak of the last wave would fill."""
        engine: EngineSpec | None = service.engine
        models: Iterable[ModelId] = engine.models_by_id if engine is not None else ()
        return {model: self._offered.peak(model, at) or 0.0 for model in models}

    def registered_count(self, service: Service, data_centre: DataCentreId) -> int:
        """Return the upstreams of a data centre that do not drain."""
        return sum(
            hosts.count
            for hosts in self._read_data_centres(service)
            if hosts.data_centre == data_centre
        )

    def orders_due(
        self, service: Service, decision: ScalingDecision, at: float
    ) -> list[CountChange]:
        """Return the numbers to state now: those that have changed, and those without effect."""
        changed = {change.data_centre: change for change in decision.changes}
        for data_centre, count in self._decider.wanted_by_data_centre.items():
            stated_at = self._stated_at_by_data_centre.get(data_centre, at)
            if data_centre in changed or at - stated_at < REPEAT_SECONDS:
                continue
            if self.registered_count(service, data_centre) != count:
                changed[data_centre] = CountChange(
                    data_centre, count, count, "not in effect yet", covers_loss=True
                )
        self._stated_at_by_data_centre.update(dict.fromkeys(changed, at))
        return list(changed.values())
