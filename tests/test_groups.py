"""Tests of held groups: confirmation, substitution, load orders, alarms and downtimes."""

import unittest
from dataclasses import replace

from bench.group_engines import DATA_CENTRE, make_engines
from bench.group_world import STEP_SECONDS, FakeEntry, GroupWorld, declare
from cactuspass._confirmation import is_confirmed
from cactuspass._groups import GroupSystem
from cactuspass._held_rows import next_generation
from cactuspass._messages import AlarmKind, InstanceDisconnected, InstanceReported, LoadState
from cactuspass._placement import PlacementSystem
from cactuspass._tables import HeldGroupRow
from cactuspass.models import (
    BootId,
    Generation,
    GroupDeclaration,
    GroupId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    KindId,
    RequestId,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)

G0 = GroupId("g-0")
D0, D1, D2, D3 = (InstanceId(f"d0-{index}") for index in range(4))


class GroupTestCase(unittest.TestCase):
    load_seconds = 10.0

    def start(
        self,
        domains: list[int],
        *declarations: GroupDeclaration,
        entry_names: str = "a",
        checks_fence: bool = True,
    ) -> None:
        engines = make_engines(domains, self.load_seconds, checks_fence)
        self.entries = [FakeEntry(name) for name in entry_names]
        self.world = GroupWorld(engines, declarations, self.entries)
        self.engines = self.world.engines_by_id
        count = sum(declaration.count for declaration in declarations)
        self.assertTrue(self.wait_serving(count))

    def wait_serving(self, count: int = 1, seconds: float = 60.0) -> bool:
        return self.world.run_until(lambda: len(list(self.world.serving_rows())) == count, seconds)

    def wait_down(self) -> None:
        self.assertTrue(self.wait_serving(0, 5.0))

    @property
    def row(self) -> HeldGroupRow:
        return self.entries[0].tables.held_groups_by_id[G0]

    def orders_since(self, now: float) -> list[InstanceId]:
        return [
            order.instance_id for entry in self.entries for at, order in entry.orders if at > now
        ]


class ConfirmationTest(GroupTestCase):
    def setUp(self) -> None:
        self.start([3], declare(2))

    def tick(self, *reports: InstanceReported | InstanceDisconnected) -> bool:
        core = self.entries[0].core
        for report in reports:
            core.accept(report)
        self.world.now += STEP_SECONDS
        core.tick(self.world.now)
        return self.row.serving

    def test_any_doubt_of_a_member_stops_the_group_in_the_same_tick(self) -> None:
        ready = self.engines[D1].report()
        contradictions = [
            replace(ready, group_id=GroupId("g-1")),
            replace(ready, generation=Generation(ready.generation.major - 1)),
            replace(ready, rank=0),
            replace(ready, size=3),
            replace(ready, state=LoadState.LOADING),
            InstanceDisconnected(D1, "reset"),
        ]
        for contradiction in contradictions:
            with self.subTest(contradiction=contradiction):
                self.assertTrue(self.tick(ready))
                self.assertFalse(self.tick(contradiction))
                self.assertEqual(self.row.down_since, self.world.now)

    def test_silent_member_is_confirmed_no_longer(self) -> None:
        tables, now = self.entries[0].tables, self.world.now
        self.assertTrue(is_confirmed(tables, self.row, now))
        self.assertFalse(is_confirmed(tables, self.row, now + 3.0))

    def test_late_report_of_an_old_boot_is_ignored(self) -> None:
        ready = self.engines[D1].report()
        before = self.row.boot_id
        self.assertFalse(self.tick(replace(ready, boot_id=BootId("new"), state=LoadState.IDLE)))
        self.assertNotEqual(self.row.boot_id, before)
        self.assertFalse(self.tick(ready))

    def test_reports_that_waited_while_the_entry_was_paused_are_old(self) -> None:
        entry = self.entries[0]
        entry.is_paused = True
        self.world.step()
        self.engines[D1].kill()
        entry.unreachable.add(D1)
        self.world.run(3.0)
        entry.is_paused = False
        self.world.step()
        self.assertEqual(list(self.world.serving_rows()), [])


class SubstitutionTest(GroupTestCase):
    def test_spare_takes_over_while_the_platform_is_down(self) -> None:
        self.start([4], declare(3, spares=1))
        self.world.store.is_up = False
        self.world.run(10.0)
        self.engines[D1].kill()
        killed_at = self.world.now
        self.wait_down()
        self.assertTrue(self.wait_serving())
        self.assertLessEqual(self.world.now - killed_at, self.load_seconds + 2.0)
        self.assertEqual(self.row.members, (D0, D3, D2))
        self.assertEqual([self.engines[name].load_count for name in (D0, D3, D2)], [1, 1, 1])

    def test_writing_the_substitution_costs_no_confirmation(self) -> None:
        self.start([4], declare(3, spares=1))
        self.world.store.is_up = False
        self.engines[D1].kill()
        self.wait_down()
        self.assertTrue(self.wait_serving())
        healed_at = self.world.now
        self.world.store.is_up = True
        for _ in range(50):
            self.world.step()
            self.assertTrue(self.row.serving)
        placed = self.world.store.placement.groups_by_id[G0]
        self.assertEqual((placed.members, placed.generation), ((D0, D3, D2), self.row.generation))
        self.assertEqual(self.orders_since(healed_at), [])

    def test_next_holder_adopts_an_unwritten_substitution_from_the_members(self) -> None:
        self.start([4], declare(3, spares=1), entry_names="ab")
        holder, row = next(self.world.serving_rows())
        other = next(entry for entry in self.entries if entry is not holder)
        self.world.store.is_up = False
        self.engines[D1].kill()
        self.wait_down()
        self.assertTrue(self.wait_serving())
        generation = row.generation
        holder.is_paused = True
        seat_dropped_at = self.world.now
        self.world.drop_seat(holder)
        self.world.store.is_up = True
        self.assertTrue(self.wait_serving(1, 20.0))
        adopted = other.tables.held_groups_by_id[G0]
        self.assertEqual((adopted.members, adopted.generation), ((D0, D3, D2), generation))
        self.assertEqual(self.orders_since(seat_dropped_at), [])

    def test_member_that_returns_with_its_weights_is_taken_back(self) -> None:
        self.start([3], declare(2, spares=1))
        self.engines[D1].is_paused = True
        self.wait_down()
        self.world.run(2.0)
        self.assertEqual(self.row.members, (D0, D2))
        self.engines[D1].is_paused = False
        self.assertTrue(self.wait_serving(1, 2.0))
        self.assertEqual(self.row.members, (D0, D1))

    def test_leaving_member_finishes_its_requests_first(self) -> None:
        self.start([3], declare(2, spares=1))
        self.row.requests.add(RequestId("r1"))
        self.engines[D1].list_state = InstanceState.LEAVING
        self.world.run(5.0)
        self.assertTrue(self.row.leaving)
        self.assertEqual(self.row.members, (D0, D1))
        self.row.requests.clear()
        self.world.run(1.0)
        self.assertEqual(self.row.members, (D0, D2))
        self.assertTrue(self.wait_serving())
        self.assertFalse(self.row.leaving)

    def test_group_keeps_its_members_until_running_requests_end(self) -> None:
        self.start([3], declare(2))
        self.row.requests.add(RequestId("r1"))
        declaration = declare(2, version="2")
        self.world.configuration.declarations_by_name["g"] = declaration
        generation = self.row.generation
        self.world.run(5.0)
        self.assertEqual((self.row.generation, self.row.leaving), (generation, True))
        self.row.requests.clear()
        self.world.run(1.0)
        self.assertGreater(self.row.generation, generation)

    def test_two_holders_never_choose_the_same_generation(self) -> None:
        tables = [FakeEntry(name).tables for name in "ab"]
        chosen = {next_generation(table, Generation(3)) for table in tables}
        self.assertEqual(len(chosen), 2)
        self.assertTrue(all(Generation(3) < item < Generation(4) for item in chosen))


class OrderTest(GroupTestCase):
    def test_no_order_is_given_without_the_right(self) -> None:
        self.start([3], declare(2, spares=1), entry_names="ab")
        holder = next(entry for entry, _ in self.world.serving_rows())
        holder.is_cut_off = True
        self.world.is_split = True
        self.world.run(6.0)
        self.assertFalse(holder.tables.held_groups_by_id[G0].serving)
        self.engines[D1].kill()
        killed_at = self.world.now
        self.world.run(3.0)
        self.assertEqual([at for at, _ in holder.orders if at > killed_at], [])

    def test_late_order_of_an_earlier_holder_stops_the_group_until_it_is_repaired(self) -> None:
        self.start([3], declare(2), checks_fence=False)
        late = replace(self.entries[0].orders[0][1], group_id=GroupId("h-0"), fence=1)
        self.engines[late.instance_id].accept(late, self.world.now)
        self.world.step()
        self.assertFalse(self.row.serving)
        self.assertTrue(self.wait_serving(1, 3.0))

    def test_engine_that_checks_numbers_refuses_an_order_of_an_earlier_holder(self) -> None:
        self.start([3], declare(2), checks_fence=True)
        late = replace(self.entries[0].orders[0][1], group_id=GroupId("h-0"), fence=1)
        self.assertFalse(self.engines[late.instance_id].accept(late, self.world.now))

    def test_loads_stay_within_the_weight_stores_rate(self) -> None:
        engines = make_engines([12], self.load_seconds)
        entry = FakeEntry("a", lambda writer: [PlacementSystem(writer), GroupSystem(writer, 3)])
        world = GroupWorld(engines, [declare(4, 3)], [entry])
        peak_loads = 0
        for _ in range(600):
            world.step()
            peak_loads = max(peak_loads, sum(engine.is_loading for engine in engines))
        self.assertEqual(peak_loads, 3)
        self.assertEqual(len(list(world.serving_rows())), 3)

    def first_repaired(self, lacking: dict[str, int]) -> str:
        """Restart members of two groups, of which one member at a time may load.

        :param lacking: number of members to restart, by group.
        :return: the group that serves first.
        """
        engines = make_engines([8], self.load_seconds)
        entry = FakeEntry("a", lambda writer: [PlacementSystem(writer), GroupSystem(writer, 1)])
        world = GroupWorld(engines, [declare(3, 2)], [entry])
        world.run_until(lambda: len(list(world.serving_rows())) == 2, 120.0)
        rows = world.entries[0].tables.held_groups_by_id
        for group_id, count in lacking.items():
            for name in rows[GroupId(group_id)].members[:count]:
                world.engines_by_id[name].kill()
                world.engines_by_id[name].start(world.now)
        world.run(1.0)
        world.run_until(lambda: any(world.serving_rows()), 60.0)
        return next(row.group_id for _, row in world.serving_rows())

    def test_group_that_lacks_the_fewest_members_loads_first(self) -> None:
        self.assertEqual(self.first_repaired({"g-0": 3, "g-1": 1}), "g-1")
        self.assertEqual(self.first_repaired({"g-0": 1, "g-1": 3}), "g-0")


class RowTest(GroupTestCase):
    def test_long_downtime_raises_an_alarm_that_says_why(self) -> None:
        self.start([2], declare(2))
        self.engines[D1].kill()
        self.world.run(4.0)
        alarms = self.entries[0].tables.alarms_by_key
        self.assertEqual(alarms[AlarmKind.GROUP_DOWN, G0].detail, "no word from d0-1")
        self.engines[D1].start(self.world.now)
        self.assertTrue(self.wait_serving())
        self.assertEqual(alarms, {})

    def test_taken_out_data_centre_gets_no_new_work(self) -> None:
        self.start([2], declare(2))
        out = TakeOut(TakeOutTag("t"), TakeOutKind.DATA_CENTRE, DATA_CENTRE)
        self.world.configuration.take_outs_by_tag[out.tag] = out
        self.world.step()
        self.assertTrue(self.row.leaving)

    def test_instance_of_a_plain_service_is_a_group_of_one(self) -> None:
        self.start([2], declare(2))
        kind = KindId("jobs")
        record = InstanceRecord(
            InstanceId("s1"), InstanceRole.SERVICE, "10.0.0.3:1", DATA_CENTRE, kind=kind
        )
        entry = self.entries[0]
        entry.tables.service_models_by_kind[kind] = "service:jobs"
        self.world.extra_records.append(record)
        self.world.run(1.5)
        report = InstanceReported(
            record.instance_id, BootId("s"), GroupId(""), Generation(0), -1, 0, LoadState.READY
        )
        entry.pending_inputs.append(report)
        self.world.step()
        row = entry.tables.held_groups_by_id[GroupId("service-s1")]
        self.assertEqual((row.model, row.serving), ("service:jobs", True))

    def test_document_that_binds_an_instance_twice_yields_one_group(self) -> None:
        self.start([2], declare(2))
        placement = self.world.store.placement
        twin = replace(placement.groups_by_id[G0], group_id=GroupId("g-1"))
        groups = {**placement.groups_by_id, twin.group_id: twin}
        self.world.store.put(replace(placement, groups_by_id=groups))
        tables = self.entries[0].tables
        seen = set()
        for _ in range(15):
            self.world.step()
            seen.add(tables.placement.version)
            self.assertEqual(list(tables.held_groups_by_id), [G0])
        self.assertIn(placement.version + 1, seen)


class TraceTest(GroupTestCase):
    def run_trace(self) -> tuple[list[float], str]:
        """Kill one member after the other; return all downtimes in seconds and all orders."""
        self.start([5, 5], declare(4, 2, spares=1), entry_names="ab")
        downtimes = []
        for victim in ("d0-1", "d1-0", "d0-3", "d1-2"):
            engine = self.engines[InstanceId(victim)]
            engine.kill()
            lost_at = self.world.now
            self.assertTrue(self.wait_serving(1, 5.0))
            self.assertTrue(self.wait_serving(2, 60.0))
            downtimes.append(self.world.now - lost_at)
            engine.start(self.world.now)
            self.world.run(15.0)
        orders = [repr(order) for entry in self.entries for order in entry.orders]
        return downtimes, "\n".join(orders)

    def test_each_lost_member_costs_its_load_time_and_two_seconds_at_most(self) -> None:
        downtimes, orders = self.run_trace()
        self.assertLessEqual(max(downtimes), self.load_seconds + 2.0)
        self.assertEqual(self.run_trace(), (downtimes, orders))
