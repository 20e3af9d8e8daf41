"""Connects the load exchange and the decision on shares for an instance whose settings ask so."""

import random
from collections.abc import Callable

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._settings import InstanceSettings
from cactuspass.fleet.load_exchange import LoadExchange, ModelKey, RequestMeter
from cactuspass.fleet.spill import ShareDecider
from cactuspass.models import DataCentreId, EntryId


def create_meter(cluster_state: ClusterState) -> RequestMeter:
    """Return a meter that counts requests for declared models."""

    def is_declared(key: ModelKey) -> bool:
        index = cluster_state.catalog_index
        service = index.catalog.services_by_id.get(key[0]) if index is not None else None
        engine = service.engine if service is not None else None
        return engine is not None and key[1] in engine.models_by_id

    return RequestMeter(is_declared)


def create_load_exchange(
    settings: InstanceSettings,
    cluster_state: ClusterState,
    loads: LoadTable,
    meter: RequestMeter,
    send: Callable[[str, bytes], None],
    log: DecisionLog,
    metrics: Metrics,
    rng: random.Random,
) -> LoadExchange | None:
    """Return the load exchange; None if the settings do not enable it.

    :param send: sends a datagram to the address of another instance.
    """
    if settings.load_exchange is None or settings.listeners.peers is None:
        return None
    data_centre = DataCentreId(settings.instance.data_centre)
    return LoadExchange(
        EntryId(settings.instance.name),
        data_centre,
        settings.load_exchange.min_instances,
        cluster_state,
        loads,
        meter,
        send,
        log,
        metrics,
        rng,
        ShareDecider(cluster_state, data_centre, log).decide,
    )
