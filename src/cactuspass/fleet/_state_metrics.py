"""Gauges of the state of an instance, which are set when the metrics page is read."""

from cactuspass._clock import now
from cactuspass.fleet._caller_bounds import HeldByCallers
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._metrics import Metrics


def update_cluster_metrics(metrics: Metrics, cluster_state: ClusterState) -> None:
    """Set the gauges of what is known of the operators' documents, upstreams and groups."""
    index = cluster_state.catalog_index
    metrics.catalog_version.set(index.catalog.version if index is not None else 0)
    metrics.operators_age.set(cluster_state.operators_age())
    metrics.upstreams_age.set(now() - cluster_state.upstreams_read_at)
    metrics.blocks.set(len(cluster_state.blocks.active))
    metrics.groups.clear()
    for group in cluster_state.view.groups_by_key.values():
        head = group.head
        state = head.membership.state.value if head and head.membership else "headless"
        metrics.groups.labels(group.model or "unknown", state).inc()


def update_held_metrics(metrics: Metrics, held: HeldByCallers) -> None:
    """Set the gauges of the bytes that are held for callers."""
    metrics.held_bytes.labels("requests").set(held.memory.held_bytes)
    metrics.held_bytes.labels("answers").set(held.answer_buffers.held_bytes)
