"""Replaces lost members of held groups by their reserved spares, without the platform."""

from dataclasses import replace

from cactuspass._confirmation import has_recent_status, is_ready_at_rank
from cactuspass._held_rows import LEAVING_DRAIN_SECONDS, next_generation, set_members
from cactuspass._in_force import is_taken_out
from cactuspass._messages import LoadState
from cactuspass._tables import HeldGroupRow, InstanceRow, Tables
from cactuspass._watches import bound_instances
from cactuspass.models import (
    Generation,
    GroupId,
    InstanceId,
    InstanceState,
    Placement,
    TakeOutKind,
)

SUBSTITUTE_SECONDS = 1.5
BROKEN_SECONDS = 0.5
LOST_SECONDS = 3.0
SPARE_LOST_SECONDS = 15.0


def seconds_since_status(instance: InstanceRow | None, now: float) -> float:
    """Return the seconds since the instance was last heard, or since it has been watched."""
    if instance is None:
        return 0.0
    return now - (
        instance.watched_at if instance.last_status_at is None else instance.last_status_at
    )


def is_lost(instance: InstanceRow | None, now: float) -> bool:
    """Return whether a member is unreachable for so long that a spare takes its place."""
    if instance is None:
        return False
    if instance.disconnected_at is not None and now - instance.disconnected_at >= BROKEN_SECONDS:
        return True
    return seconds_since_status(instance, now) >= SUBSTITUTE_SECONDS


def is_leaving(tables: Tables, instance_id: InstanceId) -> bool:
    """Return whether the instance, the list or an operator says that it must get no new work.

    A list that does not name this entry either says nothing of what it lacks.
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
    """Return whether the instance is alive, reachable and allowed to take work."""
    if is_leaving(tables, instance_id):
        return False
    return has_recent_status(tables.instances_by_id.get(instance_id), now, SUBSTITUTE_SECONDS)


def keeps_weights(row: HeldGroupRow, rank: int, instance: InstanceRow) -> bool:
    """Return whether the instance has the weights of this rank in its memory."""
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


def adopt_reports(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Take over the members that an earlier holder had chosen, as the members report them."""
    heard = [
        instance
        for instance in map(tables.instances_by_id.get, bound_instances(row))
        if instance is not None
        and has_recent_status(instance, now)
        and instance.group_id == row.group_id
        and instance.generation.major == row.generation.major
        and instance.generation.minor > row.generation.minor
    ]
    if not heard:
        return
    latest = max(instance.generation for instance in heard)
    by_rank = {
        instance.rank: instance.instance_id
        for instance in heard
        if instance.generation == latest and instance.size == len(row.members)
    }
    ranks = range(len(row.members))
    members = _fill_ranks(row, [by_rank.get(rank) for rank in ranks])
    is_whole = by_rank.keys() == set(ranks)
    row.generation = latest if is_whole else next_generation(tables, latest)
    set_members(row, members)


def _fill_ranks(row: HeldGroupRow, known: list[InstanceId | None]) -> tuple[InstanceId, ...]:
    """Fill the unknown ranks with their present members, or with instances left over."""
    used = {instance_id for instance_id in known if instance_id is not None}
    left = [instance for instance in bound_instances(row) if instance not in used]
    members: list[InstanceId] = []
    for rank, instance_id in enumerate(known):
        if instance_id is None:
            present = row.members[rank]
            instance_id = present if present in left else left[0]
            left.remove(instance_id)
        members.append(instance_id)
    return tuple(members)


def substitute(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Replace lost members, and leaving ones without running work, by usable spares."""
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
    """Return the spare that serves soonest at the rank, or None to keep the member."""
    member = tables.instances_by_id.get(row.members[rank])
    keepers = [spare for spare in usable if keeps_weights(row, rank, tables.instances_by_id[spare])]
    if _must_go(tables, row, row.members[rank], now):
        return next(iter(keepers + usable), None)
    is_loading = member is not None and member.needs_weights
    if is_loading and not is_ready_at_rank(row, rank, member, now):
        return next(iter(keepers), None)
    return None


def _must_go(tables: Tables, row: HeldGroupRow, member: InstanceId, now: float) -> bool:
    if is_lost(tables.instances_by_id.get(member), now):
        return True
    if not is_leaving(tables, member):
        return False
    is_idle = not row.requests and row.foreign_request_count == 0
    since = now if row.leaving_since is None else row.leaving_since
    return is_idle or now - since >= LEAVING_DRAIN_SECONDS


def lost_instances(tables: Tables, row: HeldGroupRow, now: float) -> tuple[InstanceId, ...]:
    """Return the members and spares to be replaced by instances from outside the group.

    A spare is waited for longer, since it may be a member that returns with its weights.
    """
    limits = dict.fromkeys(row.spares, SPARE_LOST_SECONDS)
    limits |= dict.fromkeys(row.members, LOST_SECONDS)
    return tuple(
        name
        for name, limit in sorted(limits.items())
        if seconds_since_status(tables.instances_by_id.get(name), now) >= limit
    )


def record_group(
    draft: Placement,
    group_id: GroupId,
    generation: Generation,
    members: tuple[InstanceId, ...],
    lost: tuple[InstanceId, ...],
) -> Placement:
    """Write a holder's substitutions and losses into the data centre document.

    The generation stays the one that the members have, so they neither load anew nor lose
    their confirmation. No instance enters or leaves the group; a draft that has other
    instances, or newer members, stays as it is.
    """
    group = draft.groups_by_id.get(group_id)
    if group is None or group.generation.major != generation.major:
        return draft
    bound = group.spares + group.members
    if generation < group.generation or not set(bound).issuperset(members):
        return draft
    spares = tuple(instance for instance in bound if instance not in members)
    changed = replace(
        group,
        members=members,
        spares=spares,
        generation=generation,
        lost=tuple(instance for instance in lost if instance in bound),
    )
    return replace(draft, groups_by_id={**draft.groups_by_id, group_id: changed})
