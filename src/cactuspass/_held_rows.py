"""Maintains a row for each group, and each instance of a plain service, that this entry holds."""

from collections.abc import Iterator
from zlib import crc32

from cactuspass._confirmation import is_confirmed
from cactuspass._holding import owns
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import (
    Generation,
    GroupId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    PlacedGroup,
)

# Longest time that leaving members stay in their group for its running requests.
LEAVING_DRAIN_SECONDS = 30.0
# Minor generations step by this number; the remainder identifies the process that chose one.
MINOR_STRIDE = 1000
NEVER = float("inf")


def service_group_id(instance_id: InstanceId) -> GroupId:
    """Return the id of the group that represents one instance of a plain service."""
    return GroupId(f"service-{instance_id}")


def disjoint_groups(groups: dict[GroupId, PlacedGroup]) -> dict[GroupId, PlacedGroup]:
    """Return the groups by id, without those that share an instance with an earlier group.

    Groups that contain an instance twice are left out too.
    """
    used: set[InstanceId] = set()
    kept: dict[GroupId, PlacedGroup] = {}
    for group_id, group in sorted(groups.items()):
        instances = group.members + group.spares
        if len(set(instances)) == len(instances) and used.isdisjoint(instances):
            used.update(instances)
            kept[group_id] = group
    return kept


def update_rows(tables: Tables, now: float) -> None:
    """Add, change and remove rows so that they match the groups that this entry owns."""
    placed_by_id = disjoint_groups(tables.placement.groups_by_id) if tables.placement else {}
    placed_by_id = {
        group_id: group for group_id, group in placed_by_id.items() if owns(tables, group_id)
    }
    services_by_id = {
        service_group_id(record.instance_id): record
        for record in _local_services(tables)
        if owns(tables, service_group_id(record.instance_id))
    }
    _remove_rows(tables, set(placed_by_id) | set(services_by_id), now)
    for group_id, placed in placed_by_id.items():
        row = tables.held_groups_by_id.get(group_id)
        if row is None:
            tables.held_groups_by_id[group_id] = _new_group(placed, now)
        else:
            _follow_placement(tables, row, placed, now)
    for group_id, record in services_by_id.items():
        if group_id not in tables.held_groups_by_id:
            tables.held_groups_by_id[group_id] = _new_service(tables, record, now)


def _local_services(tables: Tables) -> Iterator[InstanceRecord]:
    """Return the listed instances of configured plain services in this data centre."""
    return (
        record
        for record in tables.records_by_id.values()
        if record.role is InstanceRole.SERVICE
        and record.data_centre == tables.local.data_centre
        and record.kind in tables.service_models_by_kind
    )


def _new_group(placed: PlacedGroup, now: float) -> HeldGroupRow:
    return HeldGroupRow(
        placed.group_id,
        placed.declaration.model,
        placed.declaration.kind,
        placed,
        placed.members,
        placed.spares,
        placed.generation,
        may_send_from=NEVER,
        down_since=now,
        added_at=now,
    )


def _new_service(tables: Tables, record: InstanceRecord, now: float) -> HeldGroupRow:
    group_id = service_group_id(record.instance_id)
    return HeldGroupRow(
        group_id,
        tables.service_models_by_kind[record.kind],
        record.kind,
        None,
        (record.instance_id,),
        may_send_from=NEVER,
        down_since=now,
        added_at=now,
    )


def _remove_rows(tables: Tables, kept: set[GroupId], now: float) -> None:
    """Remove the rows that are not kept.

    The row of an owned group stays until its running requests have drained, unless the document
    assigns one of its members to another group.
    """
    assigned = assigned_groups_by_instance(tables)
    for group_id in sorted(set(tables.held_groups_by_id) - kept):
        row = tables.held_groups_by_id[group_id]
        is_reassigned = any(assigned.get(member, group_id) != group_id for member in row.members)
        is_owned = owns(tables, group_id)
        if is_owned and not is_reassigned and _is_draining(tables, row, now):
            continue
        del tables.held_groups_by_id[group_id]


def assigned_groups_by_instance(tables: Tables) -> dict[InstanceId, GroupId]:
    """Return the group to which the data centre document assigns each instance."""
    if tables.placement is None:
        return {}
    return {
        instance_id: group_id
        for group_id, group in tables.placement.groups_by_id.items()
        for instance_id in group.members + group.spares
    }


def _is_draining(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Mark the group as leaving and return whether running requests need the old members."""
    row.leaving = True
    if row.leaving_since is None:
        row.leaving_since = now
    if not row.requests or now - row.leaving_since >= LEAVING_DRAIN_SECONDS:
        return False
    return is_confirmed(tables, row, now)


def _follow_placement(tables: Tables, row: HeldGroupRow, placed: PlacedGroup, now: float) -> None:
    """Apply the document's members, unless the row has a later substitution of them.

    The old members stay until their running requests have drained, unless the document assigns
    one of them to another group.
    """
    if _keeps_members(row, placed):
        _apply_members(row, placed, row.members, row.generation)
        return
    assigned = assigned_groups_by_instance(tables)
    is_reassigned = any(
        assigned.get(member, row.group_id) != row.group_id for member in row.members
    )
    if not is_reassigned and _is_draining(tables, row, now):
        return
    row.leaving_since = None
    generation = placed.generation
    if generation.major == row.generation.major and generation <= row.generation:
        generation = next_generation(tables, row.generation)
    _apply_members(row, placed, placed.members, generation)


def _keeps_members(row: HeldGroupRow, placed: PlacedGroup) -> bool:
    """Return whether the row has the document's members, or a later choice of its instances."""
    if placed.generation.major != row.generation.major or placed.generation > row.generation:
        return False
    if placed.generation == row.generation:
        return placed.members == row.members
    return set(placed.members + placed.spares).issuperset(row.members)


def _apply_members(
    row: HeldGroupRow,
    placed: PlacedGroup,
    members: tuple[InstanceId, ...],
    generation: Generation,
) -> None:
    row.placed = placed
    row.model = placed.declaration.model
    row.kind = placed.declaration.kind
    row.generation = generation
    set_members(row, members)


def set_members(row: HeldGroupRow, members: tuple[InstanceId, ...]) -> None:
    """Set the members by rank; the other instances of the group become its spares."""
    row.members = members
    if row.placed is not None:
        instances = row.placed.spares + row.placed.members
        row.spares = tuple(instance for instance in instances if instance not in members)


def next_generation(tables: Tables, generation: Generation) -> Generation:
    """Return a higher generation that no other holder of the group can choose.

    Two successive holders may start from the same generation. The remainder of the minor number
    by ``MINOR_STRIDE`` is a hash of the process, which keeps their choices apart.
    """
    text = f"{tables.local.entry_id}/{tables.local.incarnation}"
    process_hash = crc32(text.encode()) % MINOR_STRIDE
    step = generation.minor // MINOR_STRIDE + 1
    return Generation(generation.major, step * MINOR_STRIDE + process_hash)
