"""Random interleavings of faults of the holder of the duties, the store and the platform."""

import random
import sys
import unittest
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactuspass.fleet.duties import CallOutcome, MayCall, UsageReport
from cactuspass.fleet.duties._usage_store import FixedReports
from tests import duty_world
from tests.duty_faults import FaultKind, FaultyDuties, draw_fault, start_faulty, walk
from tests.duty_stand_ins import SETTINGS, Call, FakeCalls
from tests.duty_world import virtual_runner

WALKS = 40
MAX_WALKS_TO_FIND = 60


class DutyMachine(RuleBasedStateMachine):
    """Four instances with faults of a few kinds, which coincide more often than many."""

    example_count = 0
    calls_total = 0

    @initialize(kinds=st.sets(st.sampled_from(list(FaultKind)), min_size=1, max_size=4))
    def start(self, kinds: set[FaultKind]) -> None:
        self.kinds = sorted(kinds, key=lambda kind: kind.value)
        self.context = virtual_runner()
        self.runner = self.context.__enter__()
        self.faulty: FaultyDuties = self.runner.run(start_faulty())
        DutyMachine.example_count += 1

    @rule(seed=st.integers(0, 1000))
    def inject_fault(self, seed: int) -> None:
        """Inject a fault of one of the kinds of this run."""
        self.runner.run(self.faulty.inject(draw_fault(random.Random(seed), self.kinds)))

    @invariant()
    def no_rule_of_the_platform_is_violated(self) -> None:
        if hasattr(self, "faulty"):
            assert not self.faulty.world.platform.violations, self.faulty.describe()

    def teardown(self) -> None:
        """Check that all duties are carried out again after the faults have ended."""
        if not hasattr(self, "faulty"):
            return
        try:
            if not self.faulty.world.platform.violations:
                self.runner.run(self.faulty.recover())
                self.no_rule_of_the_platform_is_violated()
            DutyMachine.calls_total += len(self.faulty.world.platform.calls)
        finally:
            self.context.__exit__(None, None, None)


class DutyMachineTest(unittest.TestCase):
    """Guards against a window with two contents, and calls of two holders that interleave."""

    def test_no_interleaving_violates_a_rule_or_ends_the_duties(self) -> None:
        case = DutyMachine.TestCase()
        case.settings = settings(
            max_examples=40,
            stateful_step_count=10,
            derandomize=True,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        case.runTest()
        print(f"duty machine: {DutyMachine.example_count} interleavings", file=sys.__stdout__)
        self.assertGreaterEqual(DutyMachine.example_count, 30)
        self.assertGreater(DutyMachine.calls_total, 500)

    def test_no_walk_violates_a_rule(self) -> None:
        # The same rules with another distribution of faults, also without shared answers.
        for seed in range(WALKS):
            found = walk(seed)
            self.assertEqual(found, [], "\n".join([f"seed {seed}", *found]))


async def _call_unchecked(
    self: FakeCalls, call: tuple[int, str, str], may_send: MayCall, receive: Callable[[Call], None]
) -> CallOutcome:
    return await CHECKED_CALL(self, call, lambda: True, receive)


async def _keep_unfixed(self: FixedReports, report: UsageReport, delete_before: int) -> None:
    self.reports_by_window[report.window] = report


CHECKED_CALL = FakeCalls._call


class RemovedCheckTest(unittest.TestCase):
    """Guards against walks that find nothing: each finds the fault when a check is taken out."""

    def _assert_found(
        self, without_check: AbstractContextManager[Any], kinds: Sequence[FaultKind], text: str
    ) -> None:
        with without_check:
            walks = (walk(seed, kinds) for seed in range(MAX_WALKS_TO_FIND))
            found = next((violations for violations in walks if violations), None)
        assert found is not None, "no walk has found the fault"
        self.assertIn(text, found[0])

    def test_without_the_check_at_the_open_connection_a_paused_holder_calls_late(self) -> None:
        patch = mock.patch.object(FakeCalls, "_call", _call_unchecked)
        self._assert_found(patch, [FaultKind.PAUSED_AT_CALL], "lower fence")

    def test_without_the_wait_a_new_holder_calls_before_the_earlier_one_has_ended(self) -> None:
        at_once = SETTINGS.model_copy(update={"lease_seconds": 0.0, "thaw_seconds": 0.0})
        patch = mock.patch.object(duty_world, "SETTINGS", at_once)
        kinds = [FaultKind.CUT_FROM_STORE, FaultKind.LEASE_OVERRUN]
        self._assert_found(patch, kinds, "lower fence")

    def test_without_fixing_a_next_holder_composes_a_window_again(self) -> None:
        patch = mock.patch.object(FixedReports, "fix", _keep_unfixed)
        self._assert_found(patch, [FaultKind.KILLED, FaultKind.LOSS], "two contents")

    def test_without_skipping_after_a_restore_a_window_is_composed_again(self) -> None:
        patch = mock.patch.object(FixedReports, "_first_window", lambda *args: 0)
        kinds = [FaultKind.RESTORED, FaultKind.KILLED, FaultKind.OTHER_KILLED]
        self._assert_found(patch, kinds, "two contents")


if __name__ == "__main__":
    unittest.main()
