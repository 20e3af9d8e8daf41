"""Decides when this entry plans the groups of its data centre, and from which facts."""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from cactuspass._confirmation import has_recent_status
from cactuspass._core import System
from cactuspass._messages import Input, Order
from cactuspass._placement_writer import PlacementWriter
from cactuspass._plan import PlanFacts, Planner, assigned_ids, declared_groups, plan
from cactuspass._release import RELEASE_SECONDS, ReleaseClock
from cactuspass._repair import LOST_SECONDS, is_leaving, seconds_since_status
from cactuspass._shortage import ShortageAlarms
from cactuspass._stranded import engine_records, serving_groups
from cactuspass._tables import Tables
from cactuspass.models import Configuration, EntryId, GroupId, InstanceId, Placement

PLAN_SECONDS = 0.25
PROBE_SECONDS = 3.0
STEP_IN_SECONDS = 3.0
SEAT_SILENT_SECONDS = 5.0
SPARE_GRACE_SECONDS = 10.0
MOVE_SECONDS = 30.0


class PlacementSystem(System):
    """Plans the groups when it is this entry's turn.

    The live seat with the lowest name acts at once; each other one steps in when a change has
    been due for longer. Compare-and-swap keeps it safe when two act.

    :param writer: takes changes of the data centre document.
    :param planner: says which instances should form which groups.
    """

    def __init__(self, writer: PlacementWriter, planner: Planner = plan) -> None:
        self._writer = writer
        self._plan = planner
        self._clock = ReleaseClock()
        self._losses = _Losses()
        self._alarms = ShortageAlarms()
        self._planned_at: float | None = None
        self._due_since: float | None = None

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Plan now and then, and propose what should change."""
        if tables.placement is not None:
            self._clock.note_version(tables.placement.version, now)
        if self._planned_at is not None and now - self._planned_at < PLAN_SECONDS:
            return ()
        self._planned_at = now
        configuration = tables.configuration
        placement = tables.placement
        if configuration is None or placement is None or not tables.local.may_hold:
            tables.probed_instances = set()
            self._due_since = None
            return self._alarms.update(tables, False, now)
        position = live_position(tables, placement, now)
        hoped = self._hoped_facts(tables, placement, configuration, now)
        is_due = self._changes(tables, placement, configuration, hoped)
        is_acting = self._is_acting(position, is_due, now)
        watched = hoped.free | _reported_lost(placement)
        tables.probed_instances = set(watched) if is_acting else set()
        if is_acting and is_due:
            self._propose(tables, placement, configuration, hoped, now)
        return self._alarms.update(tables, position == 0, now)

    def _is_acting(self, position: int, is_due: bool, now: float) -> bool:
        if not is_due:
            self._due_since = None
        elif self._due_since is None:
            self._due_since = now
        if self._due_since is None:
            return position == 0
        return now - self._due_since >= position * STEP_IN_SECONDS

    def _hoped_facts(
        self, tables: Tables, placement: Placement, configuration: Configuration, now: float
    ) -> PlanFacts:
        """Return the facts as they would be if all listed instances were alive."""
        lost = self._losses.lost(tables, placement, now) | _reported_lost(placement)
        return PlanFacts(
            free=_free_instances(tables, placement, configuration),
            lost=lost,
            movable=self._losses.movable(placement, lost, now),
            serving=self._serving(tables, placement, now),
        )

    def _serving(self, tables: Tables, placement: Placement, now: float) -> frozenset[GroupId]:
        """Return the groups that serve, but for those of which the word may be out of date."""
        return frozenset(
            group_id
            for group_id in serving_groups(tables) & placement.groups_by_id.keys()
            if self._clock.age(placement.groups_by_id[group_id].generation.major, now)
            >= RELEASE_SECONDS
        )

    def _propose(
        self,
        tables: Tables,
        placement: Placement,
        configuration: Configuration,
        hoped: PlanFacts,
        now: float,
    ) -> None:
        """Propose the plan that the facts allow which this entry has seen itself."""
        if not self._writer.is_ready(tables) or not _is_probed(tables, hoped.free, now):
            return
        heard = frozenset(
            name for name in hoped.free if has_recent_status(tables.instances_by_id.get(name), now)
        )
        settled = frozenset(name for name in heard if self._clock.is_settled(tables, name, now))
        lost = self._losses.lost(tables, placement, now) | _silent(tables, placement, now)
        facts = replace(hoped, free=settled, lost=lost, settling=heard - settled)
        if self._changes(tables, placement, configuration, facts):
            records = dict(tables.records_by_id)
            self._writer.propose(lambda draft: self._plan(draft, configuration, records, facts))

    def _changes(
        self, tables: Tables, placement: Placement, configuration: Configuration, facts: PlanFacts
    ) -> bool:
        draft = replace(placement, version=placement.version + 1)
        return self._plan(draft, configuration, tables.records_by_id, facts) != draft


class _Losses:
    """Remembers since when instances have been leaving and groups have been broken."""

    def __init__(self) -> None:
        self._leaving_since_by_id: dict[InstanceId, float] = {}
        self._broken_since_by_id: dict[GroupId, float] = {}

    def lost(self, tables: Tables, placement: Placement, now: float) -> frozenset[InstanceId]:
        """Return the leaving instances; those of a group with spares after a grace time.

        The holder replaces a member by a spare sooner, and without loading the others anew.
        """
        groups = placement.groups_by_id.values()
        leaving = [name for name in sorted(assigned_ids(groups)) if is_leaving(tables, name)]
        self._leaving_since_by_id = {
            name: self._leaving_since_by_id.get(name, now) for name in leaving
        }
        return frozenset(
            name
            for group in groups
            for name in group.members + group.spares
            if name in self._leaving_since_by_id
            and (
                name in group.spares
                or all(spare in self._leaving_since_by_id for spare in group.spares)
                or now - self._leaving_since_by_id[name] >= SPARE_GRACE_SECONDS
            )
        )

    def movable(
        self, placement: Placement, lost: frozenset[InstanceId], now: float
    ) -> frozenset[GroupId]:
        """Return the groups that have lacked a member for long."""
        broken = [
            group_id
            for group_id, group in placement.groups_by_id.items()
            if not lost.isdisjoint(group.members)
        ]
        self._broken_since_by_id = {
            group_id: self._broken_since_by_id.get(group_id, now) for group_id in broken
        }
        return frozenset(
            group_id
            for group_id, since in self._broken_since_by_id.items()
            if now - since >= MOVE_SECONDS
        )


def live_position(tables: Tables, placement: Placement, now: float) -> int:
    """Return how many live seats have a lower name than this entry."""
    local = tables.local.entry_id
    return sum(
        entry_id < local and _is_live(tables, placement, entry_id, now)
        for entry_id in placement.seats_by_entry
    )


def _is_live(tables: Tables, placement: Placement, entry_id: EntryId, now: float) -> bool:
    entry = tables.entries_by_id.get(entry_id)
    if entry is None or entry.draining or not entry.connected:
        return False
    if entry.incarnation != placement.seats_by_entry[entry_id].incarnation:
        return False
    return now - entry.last_heartbeat_at < SEAT_SILENT_SECONDS


def _free_instances(
    tables: Tables, placement: Placement, configuration: Configuration
) -> frozenset[InstanceId]:
    bound = assigned_ids(placement.groups_by_id.values())
    wanted = declared_groups(configuration, placement.data_centre)
    kinds = {declaration.kind for declaration in wanted.values()}
    return frozenset(
        record.instance_id
        for record in engine_records(tables)
        if record.kind in kinds
        and record.instance_id not in bound
        and not is_leaving(tables, record.instance_id)
    )


def _reported_lost(placement: Placement) -> frozenset[InstanceId]:
    return frozenset(name for group in placement.groups_by_id.values() for name in group.lost)


def _silent(tables: Tables, placement: Placement, now: float) -> frozenset[InstanceId]:
    """Return the instances that their holder calls lost and that this entry can't hear either."""
    return frozenset(
        name
        for name in _reported_lost(placement)
        if seconds_since_status(tables.instances_by_id.get(name), now) >= LOST_SECONDS
    )


def _is_probed(tables: Tables, free: frozenset[InstanceId], now: float) -> bool:
    """Return whether every free instance was heard or had time to be."""
    rows = [tables.instances_by_id.get(name) for name in free]
    return all(
        row is not None
        and (row.last_status_at is not None or now - row.watched_at >= PROBE_SECONDS)
        for row in rows
    )
