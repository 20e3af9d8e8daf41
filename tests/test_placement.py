"""Tests of the plan of groups and of whose turn it is to write it."""

import unittest
from dataclasses import replace

from bench.group_engines import DATA_CENTRE, make_engines
from bench.group_world import FakeEntry, GroupWorld, declare, redeclare
from cactuspass._messages import AlarmKind
from cactuspass._plan import PlanFacts, plan
from cactuspass._stranded import StrandedReason, find_stranded_instances
from cactuspass.models import (
    Configuration,
    Generation,
    GroupDeclaration,
    GroupId,
    InstanceId,
    InstanceState,
    Placement,
)

G0 = GroupId("g-0")


def ids(*names: str) -> tuple[InstanceId, ...]:
    return tuple(InstanceId(name) for name in names)


class PlanTest(unittest.TestCase):
    def plan(
        self,
        domains: list[int],
        declaration: GroupDeclaration | None,
        before: Placement | None = None,
        free: tuple[InstanceId, ...] | None = None,
        **facts: frozenset[InstanceId],
    ) -> Placement:
        records = {engine.instance_id: engine.record for engine in make_engines(domains)}
        by_name = {declaration.name: declaration} if declaration else {}
        draft = before or Placement(DATA_CENTRE)
        draft = replace(draft, version=draft.version + 1)
        chosen = frozenset(records if free is None else free)
        known = PlanFacts(free=chosen, **facts)
        return plan(draft, Configuration(1, by_name), records, known)

    def test_group_goes_where_it_strands_the_fewest_instances(self) -> None:
        after = self.plan([6, 4, 5], declare(4))
        self.assertEqual(after.groups_by_id[G0].members, ids("d1-0", "d1-1", "d1-2", "d1-3"))

    def test_group_is_never_spread_over_domains(self) -> None:
        self.assertEqual(self.plan([3, 3], declare(4)).groups_by_id, {})

    def test_lost_member_is_replaced_by_a_spare_and_the_rest_keep_their_ranks(self) -> None:
        before = self.plan([6], declare(3, spares=1))
        after = self.plan(
            [6], declare(3, spares=1), before, ids("d0-4"), lost=frozenset(ids("d0-1"))
        )
        group = after.groups_by_id[G0]
        self.assertEqual(group.members, ids("d0-0", "d0-3", "d0-2"))
        self.assertEqual(group.spares, ids("d0-4"))
        self.assertEqual(group.generation, Generation(2))
        self.assertEqual(after.released_by_id, {"d0-1": 2})

    def test_group_moves_only_when_its_domain_cannot_hold_it(self) -> None:
        before = self.plan([4, 5], declare(3))
        dark = frozenset(ids("d0-0", "d0-1", "d0-2"))
        one = self.plan(
            [4, 5], declare(3), before, ids("d1-0", "d1-1", "d1-2"), lost=dark - {"d0-0"}
        )
        self.assertEqual(one.groups_by_id[G0].fabric_domain, "d0")
        all_lost = self.plan([4, 5], declare(3), before, ids("d1-0", "d1-1", "d1-2"), lost=dark)
        self.assertEqual(all_lost.groups_by_id[G0].members, ids("d1-0", "d1-1", "d1-2"))

    def test_undeclared_group_is_dissolved_and_nothing_is_bound_twice(self) -> None:
        before = self.plan([3], declare(3))
        after = self.plan([3], None, before)
        self.assertEqual(after.groups_by_id, {})
        self.assertEqual(after.released_by_id, dict.fromkeys(ids("d0-0", "d0-1", "d0-2"), 2))

    def test_new_version_of_the_model_keeps_the_members(self) -> None:
        before = self.plan([3], declare(3))
        group = self.plan([3], declare(3, version="2"), before).groups_by_id[G0]
        self.assertEqual(group.members, before.groups_by_id[G0].members)
        self.assertEqual(group.generation, Generation(2))

    def test_spares_are_given_up_for_a_group_that_lacks_room(self) -> None:
        before = self.plan([4], declare(2, 1, spares=2))
        after = self.plan([4], declare(2, 2, spares=2), before, ())
        self.assertEqual(after.groups_by_id[G0].spares, ())
        self.assertEqual(after.released_by_id, dict.fromkeys(ids("d0-2", "d0-3"), 2))

    def test_spares_elsewhere_are_given_up_for_a_group_whose_domain_is_dark(self) -> None:
        before = self.plan([2, 4], declare(2, 2, spares=1))
        dark = frozenset(ids("d0-0", "d0-1"))
        after = self.plan([2, 4], declare(2, 2, spares=1), before, ids("d1-3"), lost=dark)
        self.assertEqual(after.released_by_id, dict.fromkeys(ids("d1-2"), 2))

    def test_plan_of_a_whole_placement_changes_nothing(self) -> None:
        before = self.plan([5, 4], declare(2, 3, spares=1))
        again = self.plan([5, 4], declare(2, 3, spares=1), before)
        self.assertEqual(again.groups_by_id, before.groups_by_id)


class PlacementSystemTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entries = [FakeEntry("a"), FakeEntry("b")]

    def start(self, domains: list[int], *declarations: GroupDeclaration) -> GroupWorld:
        world = GroupWorld(make_engines(domains, 1.0), declarations, self.entries)
        world.run(12.0)
        return world

    def test_released_instance_waits_until_no_holder_can_count_it(self) -> None:
        world = self.start([4], declare(2, 1, spares=2))
        released_at = world.now
        redeclare(world, declare(2, 2))
        world.run_until(lambda: len(world.store.placement.groups_by_id) == 2, 20.0)
        self.assertEqual(len(world.store.placement.groups_by_id), 2)
        self.assertGreaterEqual(world.now - released_at, 5.0)

    def test_instance_stays_unbound_while_a_granted_holder_may_count_it(self) -> None:
        world = self.start([4], declare(2, 1, spares=2))
        holder = next(entry for entry, _ in world.serving_rows())
        other = next(entry for entry in self.entries if entry is not holder)
        holder.is_cut_off = True
        world.run(5.0)
        self.assertTrue(holder.tables.local.may_hold)
        redeclare(world, declare(2, 2))
        world.is_split = True
        world.run(30.0)
        self.assertTrue(other.tables.local.may_hold)
        self.assertTrue(holder.tables.local.may_hold)
        self.assertEqual(len(world.store.placement.groups_by_id), 1)

    def test_second_seat_steps_in_when_the_first_is_silent(self) -> None:
        world = self.start([4], declare(2, 1))
        self.entries[0].is_paused = True
        redeclare(world, declare(2, 2))
        world.run_until(lambda: len(world.store.placement.groups_by_id) == 2, 20.0)
        self.assertEqual(len(world.store.placement.groups_by_id), 2)

    def test_second_seat_steps_in_when_the_first_is_cut_off_from_the_platform(self) -> None:
        world = self.start([4], declare(2, 1))
        self.entries[0].is_cut_off = True
        redeclare(world, declare(2, 2))
        world.run_until(lambda: len(world.store.placement.groups_by_id) == 2, 20.0)
        self.assertEqual(len(world.store.placement.groups_by_id), 2)

    def test_silent_free_instance_is_never_chosen(self) -> None:
        engines = make_engines([3], 1.0)
        engines[0].kill()
        world = GroupWorld(engines, [declare(2)], self.entries)
        world.run(12.0)
        self.assertEqual(world.store.placement.groups_by_id[G0].members, ids("d0-1", "d0-2"))

    def test_leaving_member_without_spares_is_replaced(self) -> None:
        world = self.start([3], declare(2))
        world.engines_by_id[InstanceId("d0-0")].list_state = InstanceState.LEAVING
        world.run(10.0)
        self.assertEqual(world.store.placement.groups_by_id[G0].members, ids("d0-2", "d0-1"))

    def test_new_version_reaches_one_serving_group_at_a_time(self) -> None:
        world = self.start([6], declare(2, 3))
        redeclare(world, declare(2, 3, version="2"))
        fewest = 3
        for _ in range(200):
            world.step()
            fewest = min(fewest, len(list(world.serving_rows())))
        self.assertEqual(fewest, 2)
        versions = {engine.weights[1] for engine in world.engines_by_id.values() if engine.weights}
        self.assertEqual(versions, {"2"})

    def test_version_that_does_not_load_stops_one_group_only(self) -> None:
        world = self.start([6], declare(2, 3))
        for engine in world.engines_by_id.values():
            engine.load_seconds = 1e9
        redeclare(world, declare(2, 3, version="2"))
        world.run(30.0)
        self.assertEqual(len(list(world.serving_rows())), 2)

    def test_only_a_list_that_names_the_entry_tells_what_is_gone(self) -> None:
        world = self.start([3], declare(2))
        engine = world.engines_by_id[InstanceId("d0-0")]
        engine.is_listed = False
        world.run(10.0)
        self.assertEqual(world.store.placement.groups_by_id[G0].members, ids("d0-2", "d0-1"))
        world.entries_are_listed = False
        world.engines_by_id[InstanceId("d0-1")].is_listed = False
        engine.is_listed = True
        world.run(10.0)
        self.assertEqual(world.store.placement.groups_by_id[G0].members, ids("d0-2", "d0-1"))

    def test_each_stranded_accelerator_has_a_reason(self) -> None:
        world = self.start([5, 1], declare(2, 3, spares=0), replace(declare(2), name="h"))
        world.run(20.0)
        planner = self.entries[0].tables
        reasons = {row.instance_id: row.reason for row in find_stranded_instances(planner)}
        small = StrandedReason.DOMAIN_TOO_SMALL
        self.assertEqual(reasons, {"d0-4": small, "d1-0": small})
        self.assertIn((AlarmKind.STRANDED, "d0"), planner.alarms_by_key)
        self.assertIn((AlarmKind.GROUP_DOWN, "h-0"), planner.alarms_by_key)
        redeclare(world, declare(2, 2))
        world.run(1.0)
        self.assertEqual(planner.alarms_by_key, {})
        self.assertEqual(
            {row.reason for row in find_stranded_instances(planner)}, {StrandedReason.NOT_DECLARED}
        )
