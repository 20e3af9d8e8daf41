"""Random interleavings of late orders, cut connections and changes of leader."""

import sys
import unittest
from copy import deepcopy
from dataclasses import replace

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactuspass.fleet._upstreams import UpstreamId
from tests.leader_world import OrderDelivery
from tests.order_faults import (
    DURATIONS_SECONDS,
    HOSTS,
    LAGS_SECONDS,
    MAX_DELIVERIES,
    TERM_ENDS_SECONDS,
    WAITS_SECONDS,
    Fault,
    FaultKind,
    inject_fault,
    recover,
    start_world,
    walk,
)

WALKS = 60
FAULTS = st.builds(
    Fault,
    st.just(FaultKind.KILLED),
    st.sampled_from(HOSTS),
    st.sampled_from(DURATIONS_SECONDS),
    st.sampled_from(WAITS_SECONDS),
    st.sampled_from(LAGS_SECONDS),
    st.sampled_from(TERM_ENDS_SECONDS),
    st.lists(st.sampled_from(list(OrderDelivery)), min_size=1, max_size=MAX_DELIVERIES).map(tuple),
)


class OrderMachine(RuleBasedStateMachine):
    """Eight hosts, groups of three, and faults of hosts, orders, views and leaders."""

    example_count = 0
    serving_total = 0

    @initialize(kinds=st.sets(st.sampled_from(list(FaultKind)), min_size=2, max_size=4))
    def start(self, kinds: set[FaultKind]) -> None:
        self.world = deepcopy(start_world())
        self.kinds = sorted(kinds, key=lambda kind: kind.value)
        self.log: list[str] = []
        OrderMachine.example_count += 1

    def _log_and_run(self, text: str, seconds: float) -> None:
        self.log.append(f"{self.world.at:.2f} {text}")
        self.world.run(seconds)
        OrderMachine.serving_total += len(self.world.serving_groups())

    @rule(fault=FAULTS, number=st.integers(0, 11))
    def inject_fault(self, fault: Fault, number: int) -> None:
        """Inject a fault of one of the kinds of this run.

        A run has only a few kinds of faults, since few kinds coincide more often than many.
        """
        fault = replace(fault, kind=self.kinds[number % len(self.kinds)])
        inject_fault(self.world, fault)
        self._log_and_run(str(fault), fault.wait)

    @invariant()
    def no_host_is_in_two_groups_and_no_group_is_partial(self) -> None:
        order_world = self.world.order_world
        assert not order_world.violations, "\n".join(
            [*order_world.violations, *self.log, *order_world.log]
        )

    def teardown(self) -> None:
        """Check that all groups that the hosts suffice for serve after the faults have ended."""
        if not hasattr(self, "world") or self.world.order_world.violations:
            return
        recovered = recover(self.world)
        self.no_host_is_in_two_groups_and_no_group_is_partial()
        assert recovered, "\n".join([*self.log, *self.world.order_world.log])


class ActiveLeaderTest(unittest.TestCase):
    """Leaders form and repair groups, so that the rules do not hold for lack of orders."""

    def setUp(self) -> None:
        self.world = deepcopy(start_world())

    def _assert_serving(self, count: int, seconds: float) -> None:
        reached = self.world.run_until(lambda: len(self.world.serving_groups()) == count, seconds)
        self.assertTrue(reached, self.world.order_world.log)
        self.assertEqual(self.world.order_world.violations, [])

    def _head(self) -> UpstreamId:
        return self.world.serving_groups()[0].members[0]

    def test_groups_form_and_serve_without_faults(self) -> None:
        self.assertEqual(len(self.world.serving_groups()), 2)
        order_count = len(self.world.sent_orders)
        self.world.run(30.0)
        self.assertEqual(len(self.world.serving_groups()), 2)
        self.assertEqual(len(self.world.sent_orders), order_count)

    def test_a_spare_replaces_a_killed_member(self) -> None:
        killed = self.world.serving_groups()[0].members[1]
        self.world.order_world.kill(killed)
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 8.0)
        self.assertNotIn(
            killed, [i for membership in self.world.serving_groups() for i in membership.members]
        )

    def test_survivors_of_a_killed_head_serve_again(self) -> None:
        self.world.order_world.kill(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_survivors_of_a_killed_head_serve_again_though_the_leader_changes(self) -> None:
        self.world.order_world.kill(self._head())
        self._assert_serving(1, 2.0)
        self.world.change_leader()
        self._assert_serving(2, 15.0)

    def test_members_of_a_restarted_head_serve_again(self) -> None:
        self.world.order_world.restart(self._head())
        self._assert_serving(1, 2.0)
        self._assert_serving(2, 12.0)

    def test_a_new_leader_does_not_change_serving_groups(self) -> None:
        order_count = len(self.world.sent_orders)
        self.world.change_leader()
        self.world.run(10.0)
        self.assertEqual(len(self.world.serving_groups()), 2)
        self.assertEqual(len(self.world.sent_orders), order_count)


class SeededWalkTest(unittest.TestCase):
    """The same faults drawn by seed; ``python -m tests.order_faults`` runs many more walks."""

    def test_no_walk_violates_a_rule_or_leaves_hosts_unused(self) -> None:
        # Guards against hosts in two groups, as the state machine does, with another distribution
        # of faults.
        for seed in range(WALKS):
            result = walk(seed)
            self.assertEqual(result.violations, [], "\n".join([f"seed {seed}", *result.log]))


class OrderMachineTest(unittest.TestCase):
    """Guards against a host in two groups at once.

    One of these groups would then answer requests though its members no longer form a group.
    """

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
        print(f"order machine: {OrderMachine.example_count} interleavings", file=sys.__stdout__)
        self.assertGreaterEqual(OrderMachine.example_count, 100)
        self.assertGreater(OrderMachine.serving_total, 500)
