"""Checks whether every member of a held group has recently confirmed its place in it."""

from cactuspass._messages import LoadState
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass.models import BootId

STATUS_MAX_AGE_SECONDS = 2.5


def has_recent_status(
    instance: InstanceRow | None, now: float, period: float = STATUS_MAX_AGE_SECONDS
) -> bool:
    """Return whether an instance is connected and sent a status within the period.

    :param period: greatest age of the latest status, in seconds.
    """
    if instance is None or not instance.connected or instance.last_status_at is None:
        return False
    return now - instance.last_status_at <= period


def is_assigned(row: HeldGroupRow, rank: int, instance: InstanceRow) -> bool:
    """Return whether the instance reports the wanted group, generation, rank and size."""
    return (
        instance.group_id == row.group_id
        and instance.generation == row.generation
        and instance.rank == rank
        and instance.size == len(row.members)
    )


def is_ready_at_rank(
    row: HeldGroupRow, rank: int, instance: InstanceRow | None, now: float
) -> bool:
    """Return whether the instance recently confirmed that it is ready at this rank."""
    if instance is None or not has_recent_status(instance, now):
        return False
    if instance.state is not LoadState.READY:
        return False
    return row.placed is None or is_assigned(row, rank, instance)


def is_confirmed(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Return whether the group may serve by the word of every member.

    The right to hold the group is a separate question; ask both at each dispatch.

    :param now: time of the question, in seconds.
    """
    if not row.members:
        return False
    instances = map(tables.instances_by_id.get, row.members)
    return all(
        is_ready_at_rank(row, rank, instance, now) for rank, instance in enumerate(instances)
    )


def group_boot_id(tables: Tables, row: HeldGroupRow) -> BootId:
    """Return an id that changes whenever a process of any member is another one."""
    instances = map(tables.instances_by_id.get, row.members)
    return BootId("+".join(instance.boot_id if instance else "" for instance in instances))
