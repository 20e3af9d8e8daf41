"""Replaces lost members of held groups by the groups' spares.

This needs no access to the platform. The changes are written to the data centre document later.
"""

from dataclasses import replace

from cactuspass._confirmation import has_recent_status, is_ready_at_rank
from cactuspass._held_rows import LEAVING_DRAIN_SECONDS, next_generation, set_members
from cactuspass._in_force import is_taken_out
from cactuspass._messages import LoadState
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass._watches import assigned_instances
from cactuspass.models import (
    Generation,
    GroupId,
    InstanceId,
    InstanceState,
    Placement,
    TakeOutKind,
)

# A spare replaces a member without a status event for this long.
SUBSTITUTE_SECONDS = 1.5
# A spare replaces a member whose event connection has been broken for this long.
DISCONNECTED_SECONDS = 0.5
# Members and spares without a status event for this long are reported as lost. Spares get more
# time, since a spare may be a former member that returns with its weights.
LOST_SECONDS = 3.0
SPARE_LOST_SECONDS = 15.0


def seconds_since_status(instance: InstanceRow | None, now: float) -> float:
    """Return the seconds since the latest status event.

    Before the first event, return the seconds since the entry started to watch the instance;
    0 for an instance that is not watched.
    """
    if instance is None:
        return 0.0
    return now - (
        instance.watched_at if instance.last_status_at is None else instance.last_status_at
    )


def is_lost(instance: InstanceRow | None, now: float) -> bool:
    """Return whether a member has been unreachable for so long that a spare replaces it."""
    if instance is None:
        return False
    if (
        instance.disconnected_at is not None
        and now - instance.disconnected_at >= DISCONNECTED_SECONDS
    ):
        return True
    return seconds_since_status(instance, now) >= SUBSTITUTE_SECONDS


def is_leaving(tables: Tables, instance_id: InstanceId) -> bool:
    """Return whether an instance must get no new requests.

    That is so if the instance reports that it is leaving, if the instance list marks it as
    leaving or lacks it, or if an operator took it out. A list that lacks this entry too is
    incomplete, so it does not count that the instance is missing.
    """
    record = tables.records_by_id.get(instance_id)
    instance = tables.instances_by_id.get(instance_id)
    if record is None:
        return InstanceId(tables.local.entry_id) in tables.records_by_id
    if record.state is InstanceState.LEAVING:
        return True
    if instance is not None and instance.leaving:
        return True
    return is_taken_out(tables, TakeOutKind.UPSTREAM, instance_id)


def is_usable(tables: Tables, instance_id: InstanceId, now: float) -> bool:
    """Return whether the instance is reachable and may get new requests."""
    if is_leaving(tables, instance_id):
        return False
    return has_recent_status(tables.instances_by_id.get(instance_id), now, SUBSTITUTE_SECONDS)


def has_weights(row: HeldGroupRow, rank: int, instance: InstanceRow) -> bool:
    """Return whether the instance has the weights for this rank of the group in memory.

    An instance that does not report its model has them if it is ready in this group under the
    same major generation.
    """
    if row.placed is None or instance.state is not LoadState.READY:
        return False
    if instance.rank != rank or instance.size != len(row.members):
        return False
    if not instance.model:
        return instance.group_id == row.group_id and (
            instance.generation.major == row.generation.major
        )
    declaration = row.placed.declaration
    return (instance.model, instance.version) == (declaration.model, declaration.version)


def adopt_reported_members(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Adopt substitutions of an earlier holder from the status reports of the instances.

    Ranks that no instance reports keep their members or get instances that are left over; the
    generation then increases, since the members have changed.
    """
    reporting = [
        instance
        for instance in map(tables.instances_by_id.get, assigned_instances(row))
        if instance is not None
        and has_recent_status(instance, now)
        and instance.group_id == row.group_id
        and instance.generation.major == row.generation.major
        and instance.generation.minor > row.generation.minor
    ]
    if not reporting:
        return
    latest = max(instance.generation for instance in reporting)
    by_rank = {
        instance.rank: instance.instance_id
        for instance in reporting
        if instance.generation == latest and instance.size == len(row.members)
    }
    ranks = range(len(row.members))
    members = _fill_ranks(row, [by_rank.get(rank) for rank in ranks])
    is_complete = by_rank.keys() == set(ranks)
    row.generation = latest if is_complete else next_generation(tables, latest)
    set_members(row, members)


def _fill_ranks(row: HeldGroupRow, reported: list[InstanceId | None]) -> tuple[InstanceId, ...]:
    """Fill the ranks without a reported member.

    Each gets its present member, or an unused instance if that one has another rank.
    """
    used = {instance_id for instance_id in reported if instance_id is not None}
    unused = [instance for instance in assigned_instances(row) if instance not in used]
    members: list[InstanceId] = []
    for rank, instance_id in enumerate(reported):
        if instance_id is None:
            present = row.members[rank]
            instance_id = present if present in unused else unused[0]
            unused.remove(instance_id)
        members.append(instance_id)
    return tuple(members)


def substitute(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Replace members that are lost or leaving by usable spares.

    A leaving member stays until the group's running requests have ended, for
    ``LEAVING_DRAIN_SECONDS`` at most.
    """
    usable = [spare for spare in row.spares if is_usable(tables, spare, now)]
    members = list(row.members)
    for rank in range(len(members)):
        spare = _choose_spare(tables, row, rank, usable, now)
        if spare is not None:
            usable.remove(spare)
            members[rank] = spare
    if tuple(members) != row.members:
        row.generation = next_generation(tables, row.generation)
        set_members(row, tuple(members))


def _choose_spare(
    tables: Tables, row: HeldGroupRow, rank: int, usable: list[InstanceId], now: float
) -> InstanceId | None:
    """Return the spare that replaces the member of a rank, or None to keep the member.

    Spares that have the weights in memory come first. Such a spare also replaces a member that
    is still loading.
    """
    member = tables.instances_by_id.get(row.members[rank])
    loaded = [spare for spare in usable if has_weights(row, rank, tables.instances_by_id[spare])]
    if _must_replace(tables, row, row.members[rank], now):
        return next(iter(loaded + usable), None)
    is_loading = member is not None and member.needs_weights
    if is_loading and not is_ready_at_rank(row, rank, member, now):
        return next(iter(loaded), None)
    return None


def _must_replace(tables: Tables, row: HeldGroupRow, member: InstanceId, now: float) -> bool:
    """Return whether a member is lost, or leaving and without requests or out of time."""
    if is_lost(tables.instances_by_id.get(member), now):
        return True
    if not is_leaving(tables, member):
        return False
    is_idle = not row.requests and row.foreign_request_count == 0
    since = now if row.leaving_since is None else row.leaving_since
    return is_idle or now - since >= LEAVING_DRAIN_SECONDS


def lost_instances(tables: Tables, row: HeldGroupRow, now: float) -> tuple[InstanceId, ...]:
    """Return the members and spares that are to be replaced by instances from outside the group."""
    limits = dict.fromkeys(row.spares, SPARE_LOST_SECONDS)
    limits |= dict.fromkeys(row.members, LOST_SECONDS)
    return tuple(
        name
        for name, limit in sorted(limits.items())
        if seconds_since_status(tables.instances_by_id.get(name), now) >= limit
    )


def record_members(
    draft: Placement,
    group_id: GroupId,
    generation: Generation,
    members: tuple[InstanceId, ...],
    lost: tuple[InstanceId, ...],
) -> Placement:
    """Return the draft with a holder's substitutions and lost instances.

    The members keep the generation that they already have, so that they neither load again nor
    lose their confirmation. The group keeps the same instances. A draft whose group has other
    instances or a later generation is returned unchanged.

    :param draft: data centre document to change.
    """
    group = draft.groups_by_id.get(group_id)
    if group is None or group.generation.major != generation.major:
        return draft
    instances = group.spares + group.members
    if generation < group.generation or not set(instances).issuperset(members):
        return draft
    spares = tuple(instance for instance in instances if instance not in members)
    changed = replace(
        group,
        members=members,
        spares=spares,
        generation=generation,
        lost=tuple(instance for instance in lost if instance in instances),
    )
    return replace(draft, groups_by_id={**draft.groups_by_id, group_id: changed})
