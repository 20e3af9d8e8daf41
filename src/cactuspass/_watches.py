"""Decides to which upstream instances this entry keeps an event connection."""

from collections.abc import Iterator

from cactuspass._messages import Order, UnwatchInstance, WatchInstance
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass.models import InstanceId


def assigned_instances(row: HeldGroupRow) -> tuple[InstanceId, ...]:
    """Return the instances of a held group: its members by rank, then its spares."""
    return (*row.members, *row.spares)


def update_watches(tables: Tables, now: float) -> Iterator[Order]:
    """Watch the instances of held groups and those that placement probes, and no others.

    The rows of instances that are no longer watched are deleted.
    """
    assigned = (assigned_instances(row) for row in tables.held_groups_by_id.values())
    watched_ids = set(tables.probed_instances).union(*assigned)
    for instance_id in sorted(set(tables.instances_by_id) - watched_ids):
        del tables.instances_by_id[instance_id]
        yield UnwatchInstance(instance_id)
    for instance_id in sorted(watched_ids):
        yield from _watch(tables, instance_id, now)


def _watch(tables: Tables, instance_id: InstanceId, now: float) -> Iterator[Order]:
    """Watch a listed instance, anew if its address has changed."""
    record = tables.records_by_id.get(instance_id)
    row = tables.instances_by_id.get(instance_id)
    if record is None or (row is not None and row.address == record.address):
        return
    if row is not None:
        yield UnwatchInstance(instance_id)
    tables.instances_by_id[instance_id] = InstanceRow(
        instance_id, record.address, record.kind, watched_at=now
    )
    yield WatchInstance(instance_id, record.address)
