"""Keeps one row for each group, and each plain service's instance, that this entry holds."""

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

LEAVING_DRAIN_SECONDS = 30.0
MINOR_STRIDE = 1000
NOT_YET = float("inf")


def service_group_id(instance_id: InstanceId) -> GroupId:
    """Return the id of the one-instance group of a plain service."""
    return GroupId(f"service-{instance_id}")


def disjoint_groups(groups: dict[GroupId, PlacedGroup]) -> dict[GroupId, PlacedGroup]:
    """Return the groups, by id, without any that binds an instance of an earlier one."""
    taken: set[InstanceId] = set()
    kept: dict[GroupId, PlacedGroup] = {}
    for group_id, group in sorted(groups.items()):
        bound = group.members + group.spares
        if len(set(bound)) == len(bound) and taken.isdisjoint(bound):
            taken.update(bound)
            kept[group_id] = group
    return kept


def update_rows(tables: Tables, now: float) -> None:
    """Add, change and remove the rows of groups that this entry holds."""
    placed_by_id = disjoint_groups(tables.placement.groups_by_id) if tables.placement else {}
    placed_by_id = {
        group_id: group for group_id, group in placed_by_id.items() if owns(tables, group_id)
    }
    services_by_id = {
        service_group_id(record.instance_id): record
        for record in _own_services(tables)
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


def _own_services(tables: Tables) -> Iterator[InstanceRecord]:
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
        may_send_from=NOT_YET,
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
        may_send_from=NOT_YET,
        down_since=now,
        added_at=now,
    )


def _remove_rows(tables: Tables, kept: set[GroupId], now: float) -> None:
    bound = bound_by_placement(tables)
    for group_id in sorted(set(tables.held_groups_by_id) - kept):
        row = tables.held_groups_by_id[group_id]
        is_rebound = any(bound.get(member, group_id) != group_id for member in row.members)
        is_ours = owns(tables, group_id)
        if is_ours and not is_rebound and _drains(tables, row, now):
            continue
        del tables.held_groups_by_id[group_id]


def bound_by_placement(tables: Tables) -> dict[InstanceId, GroupId]:
    """Return the group that the data centre document binds each instance to."""
    if tables.placement is None:
        return {}
    return {
        instance_id: group_id
        for group_id, group in tables.placement.groups_by_id.items()
        for instance_id in group.members + group.spares
    }


def _drains(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Keep new work away and return whether running work still needs the old members."""
    row.leaving = True
    if row.leaving_since is None:
        row.leaving_since = now
    if not row.requests or now - row.leaving_since >= LEAVING_DRAIN_SECONDS:
        return False
    return is_confirmed(tables, row, now)


def _follow_placement(tables: Tables, row: HeldGroupRow, placed: PlacedGroup, now: float) -> None:
    """Take the document's members unless an own later substitution still stands."""
    if _keeps_members(row, placed):
        _set_members(row, placed, row.members, row.generation)
        return
    bound_elsewhere = bound_by_placement(tables)
    is_rebound = any(
        bound_elsewhere.get(member, row.group_id) != row.group_id for member in row.members
    )
    if not is_rebound and _drains(tables, row, now):
        return
    row.leaving_since = None
    wanted = placed.generation
    if wanted.major == row.generation.major and wanted <= row.generation:
        wanted = next_generation(tables, row.generation)
    _set_members(row, placed, placed.members, wanted)


def _keeps_members(row: HeldGroupRow, placed: PlacedGroup) -> bool:
    """Return whether the row's members are the document's, or later ones of its instances."""
    if placed.generation.major != row.generation.major or placed.generation > row.generation:
        return False
    if placed.generation == row.generation:
        return placed.members == row.members
    return set(placed.members + placed.spares).issuperset(row.members)


def _set_members(
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
    """Set the members by rank; every other bound instance becomes a spare."""
    row.members = members
    if row.placed is not None:
        bound = row.placed.spares + row.placed.members
        row.spares = tuple(instance for instance in bound if instance not in members)


def next_generation(tables: Tables, generation: Generation) -> Generation:
    """Return a higher generation that no other holder of the group can choose.

    Two holders, one after the other, may count on from the same generation; the rest of the
    minor number tells them apart.
    """
    text = f"{tables.local.entry_id}/{tables.local.incarnation}"
    own = crc32(text.encode()) % MINOR_STRIDE
    step = generation.minor // MINOR_STRIDE + 1
    return Generation(generation.major, step * MINOR_STRIDE + own)
