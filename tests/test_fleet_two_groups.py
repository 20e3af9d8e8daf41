"""Sequences of events in which a host joined another group while the head of its own served.

Each test replays one such sequence and checks that no host joins another group meanwhile, and that
as many groups as the hosts suffice for serve again after the faults have ended.
"""

import unittest
from collections.abc import Callable

from cactuspass.fleet._orders import AddressedOrder, Close, Join, Open
from cactuspass.fleet._upstreams import MemberState, UpstreamId
from tests.leader_world import DeliveryScript, LeaderWorld, OrderDelivery
from tests.order_world import STEP_SECONDS

HEAD, SECOND, THIRD, SPARE = (UpstreamId(name) for name in ("h0", "h1", "h2", "h6"))
START_SECONDS = 5.0
RECOVERY_TIMEOUT_SECONDS = 60.0
OFFSETS_SECONDS = [step * STEP_SECONDS for step in range(12)]


def script_all_orders(kind: type, delivery: OrderDelivery) -> DeliveryScript:
    """Return a script that delivers all orders of a kind in the same way."""
    return lambda addressed: delivery if isinstance(addressed.order, kind) else None


def script_first_order(kind: type, delivery: OrderDelivery, target: UpstreamId) -> DeliveryScript:
    """Return a script that sets the delivery of only the first order of a kind to a host."""
    matching: list[AddressedOrder] = []

    def script(addressed: AddressedOrder) -> OrderDelivery | None:
        if not isinstance(addressed.order, kind) or addressed.target.upstream_id != target:
            return None
        matching.append(addressed)
        return delivery if len(matching) == 1 else None

    return script


class TwoGroupsCase(unittest.TestCase):
    """Provide a group of h0 to h2, a group of h3 to h5, and the spare hosts h6 and h7."""

    def setUp(self) -> None:
        self.world = LeaderWorld()
        self.order_world = self.world.order_world

    def start_groups(self) -> None:
        """Run until both groups serve."""
        self.world.run(START_SECONDS)
        self.assertEqual(
            [membership.members[0] for membership in self.world.serving_groups()], ["h0", "h3"]
        )

    def run_until(self, condition: Callable[[], bool], seconds: float = 10.0) -> None:
        """Advance the time until a condition holds; fail if it does not hold in time."""
        self.assertTrue(self.world.run_until(condition, seconds), self.order_world.log)

    def run_until_sent(self, kind: type, target: UpstreamId) -> None:
        """Advance the time until an order of a kind is sent to a host."""
        count_before = len(self.world.sent_orders)

        def was_sent() -> bool:
            return any(
                isinstance(a.order, kind) and a.target.upstream_id == target
                for a in self.world.sent_orders[count_before:]
            )

        self.run_until(was_sent)

    def run_until_state(self, host: UpstreamId, state: MemberState) -> None:
        """Advance the time until the true state of a member is the given one."""

        def has_state() -> bool:
            membership = self.order_world.hosts_by_id[host].membership
            return membership is not None and membership.state is state

        self.run_until(has_state)

    def assert_safe_and_recovered(self, seconds: float = 10.0, group_count: int = 2) -> None:
        """Check that no rule is violated, and that the groups serve again after the faults.

        :param seconds: time for which the faults continue.
        :param group_count: number of groups that must serve again.
        """
        self.world.run(seconds)
        self.assertEqual(self.order_world.violations, [], "\n".join(self.order_world.log))
        self.world.end_faults()
        has_recovered = self.world.run_until(
            lambda: len(self.world.serving_groups()) >= group_count, RECOVERY_TIMEOUT_SECONDS
        )
        self.assertEqual(self.order_world.violations, [], "\n".join(self.order_world.log))
        self.assertTrue(has_recovered, "\n".join(self.order_world.log))


class UnregisteredHeadTest(TwoGroupsCase):
    """The registry does not contain the head, which continues to serve."""

    def setUp(self) -> None:
        super().setUp()
        self.start_groups()

    def test_head_that_only_the_leader_does_not_reach(self) -> None:
        # Guards against joining the members to another group because the leader, and only the
        # leader, cannot connect to the head.
        self.world.leader.cut_off_hosts.add(HEAD)
        self.world.unregistered.add(HEAD)
        self.assert_safe_and_recovered()

    def test_head_that_this_term_has_never_seen(self) -> None:
        # Guards against a new leader that treats a head as ended because it is not registered and
        # this leader has never received an answer from it.
        self.world.leader.frozen_until = self.world.at + 60.0
        self.world.unregistered.add(HEAD)
        self.world.run(4.0)
        self.world.change_leader()
        self.assert_safe_and_recovered()

    def test_head_whose_whole_group_was_missing_for_a_while(self) -> None:
        # Guards against losing the record of a group, and thus of its head, when the registry
        # entries of all its members have expired.
        self.world.unregistered.update((HEAD, SECOND, THIRD))
        self.world.run(4.0)
        self.world.unregistered -= {SECOND, THIRD}
        self.assert_safe_and_recovered()

    def test_head_that_never_answered_the_order_to_close(self) -> None:
        # Guards against treating a close order as carried out because it was sent long ago, though
        # it has not been answered.
        self.world.leader.cut_off_hosts.add(HEAD)
        self.world.unregistered.add(HEAD)
        self.world.delivery_script = script_all_orders(Close, OrderDelivery.LOST)
        self.assert_safe_and_recovered()

    def test_head_that_did_not_get_an_earlier_close_of_its_group(self) -> None:
        # Guards against applying the outcome of an earlier close order to the present one: the
        # earlier one did not reach the head, the present one is lost.
        self.world.delivery_script = script_all_orders(Close, OrderDelivery.NOT_REACHED)
        self.order_world.hosts_by_id[SECOND].pace = 5.0
        self.run_until_sent(Close, HEAD)
        self.order_world.hosts_by_id[SECOND].pace = 1.0
        self.world.run(3.0)
        self.world.delivery_script = script_all_orders(Close, OrderDelivery.LOST)
        self.world.unregistered.add(HEAD)
        self.assert_safe_and_recovered()


class StaleHeadStateTest(TwoGroupsCase):
    """The head has opened, but the leader's view of the registry still shows it as ready."""

    def test_head_whose_entry_expires_while_its_group_is_being_formed(self) -> None:
        # Guards against abandoning a formation whose head may already serve: its entry is no
        # longer renewed once the open order has been sent.
        self.start_groups()
        self.order_world.cut_from_hosts.add(THIRD)
        self.run_until_state(HEAD, MemberState.BROKEN)
        self.order_world.cut_from_hosts.clear()
        self.run_until_sent(Open, HEAD)
        self.world.unregistered.add(HEAD)
        self.assert_safe_and_recovered()

    def test_head_that_a_leader_without_registry_updates_has_opened(self) -> None:
        # Guards against treating an open order as failed because it was sent long ago and the
        # view, which is no longer updated, still shows the head as ready.
        self.run_until_sent(Open, HEAD)
        self.world.leader.is_cut_from_registry = True
        self.run_until_state(HEAD, MemberState.OPEN)
        self.world.delivery_script = script_all_orders(Close, OrderDelivery.LOST)
        self.order_world.kill(THIRD)
        self.assert_safe_and_recovered()

    def test_head_that_the_previous_leader_has_opened(self) -> None:
        # Guards against a new leader that treats the outdated entry of a head as its present state.
        self.run_until_sent(Open, HEAD)
        self.world.unregistered.add(HEAD)
        self.run_until_state(HEAD, MemberState.OPEN)
        self.order_world.kill(THIRD)
        self.world.change_leader()
        self.assert_safe_and_recovered()

    def test_head_of_a_group_that_is_newer_than_the_new_leaders_view(self) -> None:
        # Guards against a new leader that treats the outdated entry of a member as its present
        # state.
        self.start_groups()
        self.order_world.restart(THIRD)
        self.run_until(lambda: len(self.world.serving_groups()) == 1)
        self.run_until(lambda: len(self.world.serving_groups()) == 2)
        self.world.change_leader(view_lag=1.5)
        self.assert_safe_and_recovered()


class LateOpenTest(TwoGroupsCase):
    """An unanswered open order is carried out after its timeout."""

    def _check_late_open(self, script: DeliveryScript, kill_third: bool, restart_at: float) -> None:
        """Form the only possible group out of three hosts, then start a fourth host.

        :param kill_third: whether to kill a member once the head has opened.
        :param restart_at: seconds from the first open order until the fourth host starts.
        """
        self.world = LeaderWorld(4)
        self.order_world = self.world.order_world
        self.order_world.kill(UpstreamId("h3"))
        self.world.delivery_script = script
        self.run_until_sent(Open, HEAD)
        open_sent_at = self.world.at
        if kill_third:
            self.run_until_state(HEAD, MemberState.OPEN)
            self.order_world.kill(THIRD)
        self.world.run(open_sent_at + restart_at - self.world.at)
        self.order_world.restart(UpstreamId("h3"))
        self.assert_safe_and_recovered(4.0, group_count=1)

    def test_open_that_is_carried_out_after_the_group_was_closed(self) -> None:
        # Guards against the assumption that a closed head stays closed: an open order from before
        # the close is still in transit and opens it again.
        for offset in OFFSETS_SECONDS:
            self._check_late_open(
                script_first_order(Open, OrderDelivery.LATE_8, HEAD), True, 7.9 + offset
            )

    def test_open_that_is_carried_out_after_another_did_not_arrive(self) -> None:
        # Guards against applying the failure of the second open order, which did not reach the
        # head, to the first one, which is still in transit.
        opens: list[AddressedOrder] = []

        def script(addressed: AddressedOrder) -> OrderDelivery | None:
            if not isinstance(addressed.order, Open):
                return None
            opens.append(addressed)
            return OrderDelivery.LATE_2 if len(opens) == 1 else OrderDelivery.NOT_REACHED

        for offset in OFFSETS_SECONDS:
            opens.clear()
            self._check_late_open(script, False, 1.9 + offset)


class LateJoinTest(TwoGroupsCase):
    """An unanswered join order is carried out after its timeout."""

    def setUp(self) -> None:
        super().setUp()
        self.start_groups()

    def _slow_down_member_until_close(self) -> None:
        self.order_world.hosts_by_id[THIRD].pace = 5.0
        self.run_until_state(HEAD, MemberState.READY)

    def test_join_that_is_carried_out_after_the_old_group_was_opened_again(self) -> None:
        # Guards against opening a group again while orders that make its members join another
        # group are still in transit.
        def script(addressed: AddressedOrder) -> OrderDelivery | None:
            if not isinstance(addressed.order, Join):
                return None
            is_old_member = addressed.target.upstream_id in (HEAD, SECOND)
            return OrderDelivery.LATE_8 if is_old_member else OrderDelivery.NOT_REACHED

        self.world.delivery_script = script
        self._slow_down_member_until_close()
        self.world.run(1.0)
        self.order_world.hosts_by_id[THIRD].pace = 1.0
        self.assert_safe_and_recovered(12.0)

    def test_join_that_a_frozen_leader_sends_after_the_old_group_was_opened_again(self) -> None:
        # Guards against a new leader that opens a group again whose members the previous leader
        # has planned to join to another group; that leader sends these orders after a freeze.
        self._slow_down_member_until_close()
        self.world.freeze_at_next_order(7.0, term_ends_after=2.0)
        self.world.run(1.0)
        self.order_world.hosts_by_id[THIRD].pace = 1.0
        self.assert_safe_and_recovered(12.0)

    def _start_with_late_join(self, arrives_after: float) -> None:
        """Run until both groups serve while one of the first join orders is still in transit.

        :param arrives_after: seconds from the end of this call until that order arrives.
        """
        self.world = LeaderWorld()
        self.order_world = self.world.order_world
        self.world.delivery_script = script_first_order(Join, OrderDelivery.LATE_12, THIRD)
        self.run_until_sent(Join, THIRD)
        arrives_at = self.world.at + OrderDelivery.LATE_12.value
        self.run_until(lambda: len(self.world.serving_groups()) == 2)
        self.world.run(arrives_at - arrives_after - self.world.at)

    def test_join_that_the_next_lifetime_of_a_member_carries_out(self) -> None:
        # Guards against treating a member that has just restarted as free, though a join order to
        # its previous lifetime is still in transit and takes effect on the new one.
        for offset in range(30):
            self._start_with_late_join(offset * STEP_SECONDS)
            self.world.delivery_script = script_all_orders(Close, OrderDelivery.LOST)
            self.order_world.restart(THIRD)
            self.assert_safe_and_recovered(5.0)

    def test_join_that_a_member_carries_out_after_it_has_left(self) -> None:
        # Guards against joining a member to another group on the basis of a report from before an
        # earlier join order arrived.
        for offset in range(20, 70):
            self._start_with_late_join(offset * 2 * STEP_SECONDS)
            self.world.leader.cut_off_hosts.add(HEAD)
            self.world.unregistered.add(HEAD)
            self.assert_safe_and_recovered(10.0)
