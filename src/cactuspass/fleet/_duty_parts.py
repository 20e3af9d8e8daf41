"""Connects the duties of one instance at a time for an instance whose settings ask for them."""

from collections.abc import Callable

from cactuspass.fleet._adapter import Adapter
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._controller import Controller
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._presence import Presence
from cactuspass.fleet._settings import InstanceSettings
from cactuspass.fleet.autoscaling import Autoscaler
from cactuspass.fleet.duties import Duties, UsageDatagram
from cactuspass.fleet.load_exchange import FleetLoad
from cactuspass.models import EntryId


def create_duties(
    settings: InstanceSettings,
    adapter: Adapter,
    cluster_state: ClusterState,
    presence: Presence,
    send: Callable[[str, UsageDatagram], None],
    log: DecisionLog,
    metrics: Metrics,
) -> Duties | None:
    """Return the duties; None if the settings or the platform have none.

    :param send: sends a message on usage to the address of another instance.
    """
    if settings.duties is None or adapter.duties is None:
        return None
    return Duties(
        EntryId(settings.instance.name),
        settings.duties,
        adapter.duties,
        adapter.store,
        cluster_state,
        presence,
        cluster_state.scaling_limits,
        send,
        log,
        metrics,
    )


def create_autoscaler(
    duties: Duties | None,
    cluster_state: ClusterState,
    presence: Presence,
    controller: Controller,
    fleet_load: Callable[[], FleetLoad | None],
    log: DecisionLog,
    metrics: Metrics,
) -> Autoscaler | None:
    """Return the component that decides on numbers of upstreams; None if they can't be ordered.

    :param fleet_load: returns the load that instances have exchanged, None while it is not known.
    """
    orders = duties.count_orders if duties is not None else None
    if orders is None:
        return None
    return Autoscaler(
        cluster_state,
        lambda: presence.term,
        fleet_load,
        controller.concurrency_by_model,
        orders.want,
        log,
        metrics,
    )
