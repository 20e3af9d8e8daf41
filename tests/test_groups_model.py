"""Model test of held groups under random sequences of faults of engines, entries and platform."""

import sys
import unittest
from collections import Counter
from copy import deepcopy
from functools import lru_cache

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.group_engines import FakeEngine, make_engines
from bench.group_world import STEP_SECONDS, FakeEntry, GroupWorld, declare, redeclare
from cactuspass._confirmation import STATUS_MAX_AGE_SECONDS
from cactuspass._plan import assigned_ids

ENGINES = st.integers(0, 8)
ENTRIES = st.integers(0, 1)
STEPS = st.sampled_from([1, 3, 8, 20, 60, 150])
REPORT_DELAY_SECONDS = 1.0
# Longest time that a group may count as serving after a member has lost its place.
MAX_CONFIRMATION_AGE_SECONDS = STATUS_MAX_AGE_SECONDS + REPORT_DELAY_SECONDS + 2 * STEP_SECONDS


@lru_cache
def started_world(checks_fence: bool, load_seconds: float) -> GroupWorld:
    """Return a world whose groups serve, cached for copying."""
    engines = make_engines([5, 4], load_seconds, checks_fence)
    entries = [FakeEntry("a"), FakeEntry("b")]
    world = GroupWorld(engines, [declare(2, 3, spares=1)], entries)
    world.run(12.0)
    return world


class GroupMachine(RuleBasedStateMachine):
    """Two domains of engines, two entries and groups of two with one spare."""

    sequences: set[tuple[str, ...]] = set()
    served = Counter[str]()

    @initialize(checks_fence=st.booleans(), load_seconds=st.sampled_from([0.1, 2.0]))
    def start(self, checks_fence: bool, load_seconds: float) -> None:
        self.world = deepcopy(started_world(checks_fence, load_seconds))
        self.log: list[str] = []
        self.seen_writes = 0

    def _advance(self, steps: int) -> None:
        for _ in range(steps):
            self.world.step()
            self._check_serving()

    def _engine(self, index: int) -> FakeEngine:
        engines = list(self.world.engines_by_id.values())
        return engines[index]

    def _record_and_advance(self, name: str, steps: int) -> None:
        """Record a fault and advance the world."""
        self.log.append(name)
        self._advance(steps)

    @rule(index=ENGINES, steps=STEPS)
    def kill_engine(self, index: int, steps: int) -> None:
        self._engine(index).kill()
        self._record_and_advance(f"kill {index}", steps)

    @rule(index=ENGINES, steps=STEPS)
    def restart_engine(self, index: int, steps: int) -> None:
        self._engine(index).kill()
        self._engine(index).start(self.world.now)
        self._record_and_advance(f"restart {index}", steps)

    @rule(index=ENGINES, steps=STEPS)
    def pause_engine(self, index: int, steps: int) -> None:
        self._engine(index).is_paused = self._engine(index).is_up
        self._record_and_advance(f"pause {index}", steps)

    @rule(steps=STEPS)
    def heal_engines(self, steps: int) -> None:
        self.world.heal_engines()
        self._record_and_advance("heal engines", steps)

    @rule(domain=st.integers(0, 1), steps=STEPS)
    def cut_power_of_domain(self, domain: int, steps: int) -> None:
        for engine in self.world.engines_by_id.values():
            if engine.fabric_domain == f"d{domain}":
                engine.kill()
        self._record_and_advance(f"cut power {domain}", steps)

    @rule(index=ENTRIES, steps=STEPS)
    def pause_entry(self, index: int, steps: int) -> None:
        entry = self.world.entries[index]
        entry.is_paused = not entry.is_paused
        self._record_and_advance(f"pause entry {index}", steps)

    @rule(index=ENTRIES, engine=ENGINES, steps=STEPS)
    def pause_engine_while_entry_is_paused(self, index: int, engine: int, steps: int) -> None:
        entry = self.world.entries[index]
        entry.is_paused = True
        self._advance(1)
        self._engine(engine).is_paused = self._engine(engine).is_up
        self._advance(steps)
        entry.is_paused = False
        self._record_and_advance(f"pause both {index} {engine}", 1)

    @rule(index=ENTRIES, steps=STEPS)
    def restart_entry(self, index: int, steps: int) -> None:
        self.world.restart_entry(self.world.entries[index])
        self._record_and_advance(f"restart entry {index}", steps)

    @rule(index=ENTRIES, steps=STEPS)
    def cut_entry_off(self, index: int, steps: int) -> None:
        entry = self.world.entries[index]
        entry.is_cut_off = not entry.is_cut_off
        self._record_and_advance(f"cut off {index}", steps)

    @rule(index=ENTRIES, engine=ENGINES, steps=STEPS)
    def cut_engine_off(self, index: int, engine: int, steps: int) -> None:
        self.world.entries[index].unreachable ^= {self._engine(engine).instance_id}
        self._record_and_advance(f"cut {index} {engine}", steps)

    @rule(steps=STEPS)
    def toggle_platform(self, steps: int) -> None:
        self.world.store.is_up = not self.world.store.is_up
        self._record_and_advance("platform", steps)

    @rule(steps=STEPS)
    def heal_all(self, steps: int) -> None:
        self.world.heal()
        self._record_and_advance("heal all", steps)

    @rule(is_split=st.booleans(), steps=STEPS)
    def split_peers(self, is_split: bool, steps: int) -> None:
        self.world.is_split = is_split
        self._record_and_advance(f"split {is_split}", steps)

    @rule(delay=st.sampled_from([0.0, 0.5, 1.9]), steps=STEPS)
    def delay_orders(self, delay: float, steps: int) -> None:
        self.world.order_delay = delay
        self._record_and_advance(f"delay {delay}", steps)

    @rule(index=ENTRIES, delay=st.sampled_from([0.0, 0.4, REPORT_DELAY_SECONDS]), steps=STEPS)
    def delay_reports(self, index: int, delay: float, steps: int) -> None:
        self.world.entries[index].report_delay = delay
        self._record_and_advance(f"reports {index} {delay}", steps)

    @rule(
        count=st.integers(1, 4),
        size=st.integers(2, 3),
        version=st.sampled_from("12"),
        steps=STEPS,
    )
    def declare_groups(self, count: int, size: int, version: str, steps: int) -> None:
        redeclare(self.world, declare(size, count, 1, version))
        self._record_and_advance(f"declare {count} {size} {version}", steps)

    def _check_serving(self) -> None:
        """Check that the members of each serving group are ready and belong to no other group.

        A member may have lost its place for ``MAX_CONFIRMATION_AGE_SECONDS`` at most.
        """
        members: Counter[str] = Counter()
        for entry, row in self.world.serving_rows():
            self.served[row.group_id] += 1
            members.update(row.members)
            for rank, member in enumerate(row.members):
                engine = self.world.engines_by_id[member]
                place = (row.group_id, row.generation, rank, len(row.members))
                age = self.world.now - engine.true_at.get(place, float("-inf"))
                assert age <= MAX_CONFIRMATION_AGE_SECONDS, (entry.name, place, member, age)
        assert all(count == 1 for count in members.values()), members

    @invariant()
    def check_placements(self) -> None:
        """Check that no document assigns an instance twice, or a group to two domains."""
        for placement in self.world.store.history[self.seen_writes :]:
            groups = list(placement.groups_by_id.values())
            size = sum(len(group.members + group.spares) for group in groups)
            assert len(assigned_ids(groups)) == size, placement
            for group in groups:
                domains = {
                    self.world.engines_by_id[name].fabric_domain
                    for name in group.members + group.spares
                }
                assert domains == {group.fabric_domain}, group
        self.seen_writes = len(self.world.store.history)

    def teardown(self) -> None:
        """Check that all groups that fit serve again after the faults have ended."""
        if not hasattr(self, "world"):
            return
        self.sequences.add(tuple(self.log))
        self.world.heal()
        self.world.heal_engines()
        declaration = self.world.configuration.declarations_by_name["g"]
        fitting = min(declaration.count, 5 // declaration.size + 4 // declaration.size)
        for _ in range(900):
            self._advance(1)
            if len(list(self.world.serving_rows())) == fitting:
                return
        raise AssertionError((self.log, self.world.describe()))


class GroupModelTest(unittest.TestCase):
    def test_no_interleaving_counts_a_partial_group_or_an_instance_twice(self) -> None:
        case = GroupMachine.TestCase()
        case.settings = settings(
            max_examples=18,
            stateful_step_count=12,
            derandomize=True,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        case.runTest()
        tried = len(GroupMachine.sequences)
        served = dict(GroupMachine.served)
        print(f"group model: {tried} interleavings, served {served}", file=sys.__stdout__)
        self.assertGreaterEqual(tried, 10)
        self.assertGreater(GroupMachine.served["g-0"], 100)
