"""Finds what the shares are decided on in the state of the cluster and the exchanged loads."""

from collections.abc import Iterable, Iterator

from cactuspass.fleet._catalog import EngineSpec, Service
from cactuspass.fleet._cluster_state import ClusterState, ServingUpstream
from cactuspass.fleet.load_exchange import DemandKey, KnownLoads, ModelDemand, ModelKey
from cactuspass.fleet.spill._model_state import ModelState, PlaceState
from cactuspass.models import DataCentreId, ModelId

# Sums up to the first age are trusted, and from the second not at all.
TRUSTED_SECONDS = 0.75
UNTRUSTED_SECONDS = 1.5


def find_states(
    cluster_state: ClusterState, here: DataCentreId, loads: KnownLoads, at: float
) -> dict[ModelKey, ModelState]:
    """Return the state of each declared model."""
    index = cluster_state.catalog_index
    if index is None:
        return {}
    populated = frozenset(peer.data_centre for peer in cluster_state.peers)
    return {
        (service.service, model): ModelState(
            here,
            dict(_places(cluster_state, service, service.engine, model, loads, populated, at)),
            _objective(cluster_state, service),
            {frozenset((d.source, d.target)): d.seconds for d in service.engine.delays},
            {
                place: shares[service.service, model]
                for place, shares in loads.shares_by_place.items()
                if (service.service, model) in shares
            },
        )
        for service in index.catalog.services_by_id.values()
        if service.engine is not None
        for model in service.engine.models_by_id
    }


def _places(
    cluster_state: ClusterState,
    service: Service,
    engine: EngineSpec,
    model: ModelId,
    loads: KnownLoads,
    populated: frozenset[DataCentreId],
    at: float,
) -> Iterator[tuple[DataCentreId, PlaceState]]:
    """Yield the state of each data centre that has groups or callers of a model."""
    serving_by_place: dict[DataCentreId, list[ServingUpstream]] = {}
    for serving in cluster_state.serving_upstreams(service, model):
        serving_by_place.setdefault(serving.upstream.data_centre, []).append(serving)
    evacuated = cluster_state.evacuations.data_centres
    for place in serving_by_place.keys() | loads.age_by_place.keys():
        groups = serving_by_place.get(place, [])
        demand = loads.demand_by_key.get(DemandKey(service.service, model, place), ModelDemand())
        mean_seconds = demand.mean_seconds or _usual_seconds(engine, model)
        mean_seconds = min(mean_seconds, engine.longest_mean_seconds(model))
        capacity = 0.0
        if place not in evacuated:
            capacity = _capacity(groups, service, engine, mean_seconds, at)
        present = sum(loads.requests_by_head.get(s.upstream.upstream_id, 0.0) for s in groups)
        trust = _trust(loads.age_by_place.get(place), place in populated)
        offered = demand.arrivals_per_second * mean_seconds
        yield place, PlaceState(capacity, offered, present, trust)


def _capacity(
    groups: Iterable[ServingUpstream],
    service: Service,
    engine: EngineSpec,
    mean_seconds: float,
    at: float,
) -> float:
    """Return the requests that groups can run at the same time.

    Incomplete and draining ones count nothing, and cold ones as much as the rate that they bear.
    """
    cold_slots = float(engine.slots)
    if service.cold_requests_per_second > 0:
        cold_slots = min(cold_slots, service.cold_requests_per_second * mean_seconds)
    return sum(
        engine.slots if at >= serving.upstream.cold_until else cold_slots
        for serving in groups
        if serving.is_complete and not serving.upstream.draining
    )


def _usual_seconds(engine: EngineSpec, model: ModelId) -> float:
    """Return the time of a request at a half full group, for use before any has ended."""
    step = engine.step_seconds_with(engine.slots / 2)
    return engine.usual_output_tokens * step * engine.model_spec(model).pace


def _trust(age: float | None, has_instances: bool) -> float:
    """Return how much the room of a data centre counts.

    Where no instance is registered, there are no callers, and nobody would send sums.

    :param age: of the last sums; None if there are none.
    """
    if age is None:
        return 0.0 if has_instances else 1.0
    left = (UNTRUSTED_SECONDS - age) / (UNTRUSTED_SECONDS - TRUSTED_SECONDS)
    return min(1.0, max(0.0, left))


def _objective(cluster_state: ClusterState, service: Service) -> float:
    """Return the shortest objective of the routes that use a service."""
    index = cluster_state.catalog_index
    routes = index.catalog.routes if index is not None else ()
    return min(
        (
            route.objective
            for route in routes
            if any(share.service == service.service for share in route.shares)
        ),
        default=1.0,
    )
