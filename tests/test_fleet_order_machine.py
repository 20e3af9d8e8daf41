"""Random interleavings of late orders, cut views and changes of leader, over truthful hosts."""

import sys
import unittest
from copy import deepcopy
from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactuspass.fleet._upstreams import UpstreamId
from tests.leader_world import Fate
from tests.order_troubles import (
    HOSTS,
    LAGS,
    LASTS,
    MAX_FATES,
    TERMS,
    WAITS,
    Strike,
    Trouble,
    recover,
    started_world,
    strike,
    walk,
)

WALKS = 60
STRIKES = st.builds(
    Strike,
    st.just(Trouble.KILLED),
    st.sampled_from(HOSTS),
    st.sampled_from(LASTS),
    st.sampled_from(WAITS),
    st.sampled_from(LAGS),
    st.sampled_from(TERMS),
    st.lists(st.sampled_from(list(Fate)), min_size=1, max_size=MAX_FATES).map(tuple),
)


class OrderMachine(RuleBasedStateMachine):
    """Eight hosts, groups of three, and whatever may happen to orders, views and leaders."""

    tried = 0
    served = 0

    @initialize(troubles=st.sets(st.sampled_from(list(Trouble)), min_size=2, max_size=4))
    def start(self, troubles: set[Trouble]) -> None:
        self.world = deepcopy(started_world())
        self.troubles = sorted(troubles, key=lambda trouble: trouble.value)
        self.log: list[str] = []
        OrderMachine.tried += 1

    def _pass(self, what: str, seconds: float) -> None:
        self.log.append(f"{self.world.at:.2f} {what}")
        self.world.run(seconds)
        OrderMachine.served += len(self.world.serving())

    @rule(blow=STRIKES, number=st.integers(0, 11))
    def strike(self, blow: Strike, number: int) -> None:
        """Few kinds of trouble in one run meet more often than many."""
        blow = replace(blow, trouble=self.troubles[number % len(self.troubles)])
        strike(self.world, blow)
        self._pass(str(blow), blow.wait)

    @invariant()
    def no_host_is_in_two_groups_and_no_group_is_partial(self) -> None:
        truth = self.world.truth
        assert not truth.violations, "\n".join([*truth.violations, *self.log, *truth.log])

    def teardown(self) -> None:
        """All groups that fit serve again once the troubles are over."""
        if not hasattr(self, "world") or self.world.truth.violations:
            return
        recovered = recover(self.world)
        self.no_host_is_in_two_groups_and_no_group_is_partial()
        assert recovered, "\n".join([*self.log, *self.world.truth.log])


class UntroubledTest(unittest.TestCase):
    """The rules hold for leaders that do their work, and not because nothing is ever ordered."""

    def setUp(self) -> None:
        self.world = deepcopy(started_world())

    def _assert_serving(self, count: int, seconds: float) -> None:
        reached = self.world.run_until(lambda: len(self.world.serving()) == count, seconds)
        self.assertTrue(reached, self.world.truth.log)
        self.assertEqual(self.world.truth.violations, [])

    def _head(self) -> UpstreamId:
        return self.world.serving()[0].members[0]

    def test_groups_form_and_serve_when_nothing_is_wrong(self) -> None:
        self.assertEqual(len(self.world.serving()), 2)
        given = len(self.world.given)
        self.world.run(30.0)
        self.assertEqual(len(self.world.serving()), 2)
        self.assertEqual(len(self.world.given), given)

    def test_a_spare_replaces_a_killed_member(self) -> None:
        lost = self.world.serving()[0].members[1]
        self.world.truth.kill(lost)
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 8.0)
        self.assertNotIn(lost, [i for place in self.world.serving() for i in place.members])

    def test_survivors_of_a_dead_head_serve_again(self) -> None:
        self.world.truth.kill(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_survivors_of_a_dead_head_serve_again_though_the_leader_changes(self) -> None:
        self.world.truth.kill(self._head())
        self._assert_serving(1, 2.0)
        self.world.change_leader()
        self._assert_serving(2, 15.0)

    def test_members_of_a_restarted_head_serve_again(self) -> None:
        self.world.truth.restart(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_a_new_leader_leaves_groups_that_serve_alone(self) -> None:
        given = len(self.world.given)
        self.world.change_leader()
        self.world.run(10.0)
        self.assertEqual(len(self.world.serving()), 2)
        self.assertEqual(len(self.world.given), given)


class SeededWalkTest(unittest.TestCase):
    """The same troubles by plain seeds; ``python -m tests.order_troubles`` walks many more."""

    def test_no_walk_breaks_a_rule_or_leaves_hosts_unused(self) -> None:
        # Guards against hosts in two groups, as the machine does, on draws of another kind.
        for seed in range(WALKS):
            done = walk(seed)
            self.assertEqual(done.broken, [], "\n".join([f"seed {seed}", *done.log]))


class OrderMachineTest(unittest.TestCase):
    """A host that serves in two groups at once answers from a group that nobody holds together."""

    def test_no_host_joins_another_group_while_its_own_may_serve(self) -> None:
        case = OrderMachine.TestCase()
        case.settings = settings(
            max_examples=120,
            stateful_step_count=15,
            derandomize=True,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        )
        case.runTest()
        print(f"order machine: {OrderMachine.tried} interleavings", file=sys.__stdout__)
        self.assertGreaterEqual(OrderMachine.tried, 100)
        self.assertGreater(OrderMachine.served, 500)
