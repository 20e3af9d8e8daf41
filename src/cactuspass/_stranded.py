"""Finds stranded accelerators, which no serving group uses, and the reason for each."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from cactuspass._in_force import is_taken_out
from cactuspass._messages import LoadState
from cactuspass._plan import declared_groups
from cactuspass._tables import Tables
from cactuspass.models import (
    FabricDomainId,
    GroupDeclaration,
    GroupId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    PlacedGroup,
    TakeOutKind,
)


class StrandedReason(Enum):
    """Reason for which no serving group uses an instance's accelerators."""

    DOMAIN_TOO_SMALL = "domain-too-small"
    WAITING_MEMBER = "waiting-member"
    LOADING = "loading"
    SPARE = "spare"
    OUT = "out"
    NOT_DECLARED = "not-declared"


@dataclass(frozen=True, slots=True)
class StrandedRow:
    """One listed instance whose accelerators no serving group uses.

    :param group_id: group to which the instance is assigned; None if there is none.
    """

    instance_id: InstanceId
    fabric_domain: FabricDomainId
    accelerators: int
    reason: StrandedReason
    group_id: GroupId | None = None


def find_stranded_instances(tables: Tables) -> list[StrandedRow]:
    """Return a row for each live engine instance of the data centre that no serving group uses.

    Groups of other holders count as serving if the holders' heartbeats report them as serving.
    """
    groups_by_instance = _groups_by_instance(tables)
    serving = serving_groups(tables)
    unplaced = _unplaced(tables)
    rows = []
    for record in sorted(engine_records(tables), key=lambda record: record.instance_id):
        group = groups_by_instance.get(record.instance_id)
        reason = _reason(tables, record, group, unplaced)
        is_member = group is not None and record.instance_id in group.members
        if group is not None and is_member and group.group_id in serving:
            continue
        rows.append(
            StrandedRow(
                record.instance_id,
                record.fabric_domain,
                record.accelerators,
                reason,
                None if group is None else group.group_id,
            )
        )
    return rows


def engine_records(tables: Tables) -> Iterator[InstanceRecord]:
    """Return the engine instances of this data centre that are listed as live."""
    return (
        record
        for record in tables.records_by_id.values()
        if record.role is InstanceRole.ENGINE
        and record.data_centre == tables.local.data_centre
        and record.state is InstanceState.LIVE
    )


def accelerators_by_domain(
    rows: list[StrandedRow], reason: StrandedReason
) -> Counter[FabricDomainId]:
    """Return the number of accelerators stranded for one reason, by fabric domain."""
    counts: Counter[FabricDomainId] = Counter()
    for row in rows:
        if row.reason is reason:
            counts[row.fabric_domain] += row.accelerators
    return counts


def _groups_by_instance(tables: Tables) -> dict[InstanceId, PlacedGroup]:
    """Return the group of each assigned instance, with substitutions that are not yet written."""
    if tables.placement is None:
        return {}
    groups = (
        _with_substitutions(tables, group) for group in tables.placement.groups_by_id.values()
    )
    return {instance: group for group in groups for instance in group.members + group.spares}


def _with_substitutions(tables: Tables, group: PlacedGroup) -> PlacedGroup:
    """Return the group with the members that its row has, if this entry holds it."""
    row = tables.held_groups_by_id.get(group.group_id)
    if row is None or row.placed != group:
        return group
    return PlacedGroup(
        group.group_id,
        group.declaration,
        group.fabric_domain,
        row.members,
        row.spares,
        row.generation,
    )


def serving_groups(tables: Tables) -> set[GroupId]:
    """Return the groups that serve, by this entry's rows and the heartbeats of other holders."""
    own = {row.group_id for row in tables.held_groups_by_id.values() if row.serving}
    others = {
        summary.group_id
        for entry in tables.entries_by_id.values()
        if entry.connected
        for summary in entry.groups_by_id.values()
        if summary.serving
    }
    return own | (others - set(tables.held_groups_by_id))


def _unplaced(tables: Tables) -> list[GroupDeclaration]:
    """Return the declaration of each declared group that has no instances yet."""
    if tables.configuration is None or tables.placement is None:
        return []
    declarations_by_group = declared_groups(tables.configuration, tables.local.data_centre)
    return [
        declaration
        for group_id, declaration in declarations_by_group.items()
        if group_id not in tables.placement.groups_by_id
    ]


def _reason(
    tables: Tables,
    record: InstanceRecord,
    group: PlacedGroup | None,
    unplaced: list[GroupDeclaration],
) -> StrandedReason:
    instance = tables.instances_by_id.get(record.instance_id)
    if is_taken_out(tables, TakeOutKind.UPSTREAM, record.instance_id):
        return StrandedReason.OUT
    if group is None:
        is_kind_needed = any(declaration.kind == record.kind for declaration in unplaced)
        return StrandedReason.DOMAIN_TOO_SMALL if is_kind_needed else StrandedReason.NOT_DECLARED
    if record.instance_id in group.spares:
        return StrandedReason.SPARE
    if instance is not None and instance.state is LoadState.LOADING:
        return StrandedReason.LOADING
    return StrandedReason.WAITING_MEMBER
