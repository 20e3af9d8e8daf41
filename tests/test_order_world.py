"""Tests of the simulated hosts: protocol answers and detection of rule violations."""

import unittest

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import Close, Join, Leave, Open, OrderOutcome
from cactuspass.fleet._upstreams import GroupKey, MemberState, UpstreamId
from cactuspass.models import GroupId, ModelId
from tests.order_world import STALL_TIMEOUT_SECONDS, Host, OrderWorld

MODEL = ModelId("model")
SPECS = {MODEL: ModelSpec(MODEL, 2, 1.0, 1.0, 12.0, 1.1)}
HEAD, MEMBER, OTHER = (UpstreamId(name) for name in ("head", "member", "other"))
OLD = GroupKey(GroupId("old"), 5)
NEW = GroupKey(GroupId("new"), 6)


def join(key: GroupKey, *members: UpstreamId) -> Join:
    """Return an order to join a group."""
    return Join(key, MODEL, members)


class OrderWorldCase(unittest.TestCase):
    """Provide a group of two hosts, and a third host."""

    def setUp(self) -> None:
        self.world = OrderWorld(Host(i, SPECS, (MODEL,)) for i in (HEAD, MEMBER, OTHER))

    def send_order(
        self, host: UpstreamId, order: object, expected_sequence: int | None = None
    ) -> OrderOutcome:
        """Deliver an order at once."""
        return self.world.execute(host, order, expected_sequence)

    def run_for(self, seconds: float) -> None:
        """Advance the simulated time."""
        end = self.world.at + seconds
        while self.world.at < end:
            self.world.step()

    def join_both(self) -> None:
        """Join both members to the old group and wait until it is ready."""
        for host in (HEAD, MEMBER):
            self.send_order(host, join(OLD, HEAD, MEMBER))
        self.run_for(1.5)

    def open_old(self) -> None:
        """Form the old group and open it."""
        self.join_both()
        self.send_order(HEAD, Open(OLD))
        self.run_for(0.5)

    def state(self, host: UpstreamId) -> MemberState | None:
        """Return the membership state of a host, or None without a group."""
        membership = self.world.hosts_by_id[host].membership
        return membership.state if membership is not None else None


class AnswerTest(OrderWorldCase):
    """Outcomes of orders."""

    def test_order_with_another_sequence_number_is_refused(self) -> None:
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, MEMBER), 1), OrderOutcome.CONFLICT)
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, MEMBER), 0), OrderOutcome.BEGUN)
        self.assertEqual(self.world.hosts_by_id[HEAD].sequence, 1)

    def test_join_of_a_lower_epoch_is_outdated_for_this_lifetime_only(self) -> None:
        self.send_order(HEAD, join(NEW, HEAD, MEMBER))
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, MEMBER)), OrderOutcome.OUTDATED)
        self.world.restart(HEAD)
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, MEMBER)), OrderOutcome.BEGUN)

    def test_join_with_other_members_is_outdated(self) -> None:
        self.send_order(HEAD, join(OLD, HEAD, MEMBER))
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, OTHER)), OrderOutcome.OUTDATED)

    def test_repeated_join_changes_nothing(self) -> None:
        self.open_old()
        self.assertIs(self.send_order(HEAD, join(OLD, HEAD, MEMBER)), OrderOutcome.HOLDS)
        self.assertIs(self.state(HEAD), MemberState.OPEN)

    def test_head_reports_ready_until_it_has_opened(self) -> None:
        self.join_both()
        self.assertIs(self.send_order(HEAD, Open(OLD)), OrderOutcome.BEGUN)
        self.assertIs(self.state(HEAD), MemberState.READY)
        self.run_for(0.5)
        self.assertIs(self.state(HEAD), MemberState.OPEN)

    def test_only_a_ready_head_opens(self) -> None:
        self.send_order(HEAD, join(OLD, HEAD, MEMBER))
        self.assertIs(self.send_order(HEAD, Open(OLD)), OrderOutcome.CONFLICT)
        self.assertIs(self.send_order(HEAD, Open(NEW)), OrderOutcome.CONFLICT)

    def test_close_waits_for_running_requests_or_aborts_them(self) -> None:
        self.open_old()
        self.send_order(HEAD, Close(OLD, False))
        self.assertIs(self.state(HEAD), MemberState.CLOSING)
        self.send_order(HEAD, Close(OLD, True))
        self.assertIs(self.state(HEAD), MemberState.READY)

    def test_leave_affects_the_named_group_at_once(self) -> None:
        self.open_old()
        self.assertIs(self.send_order(MEMBER, Leave(NEW)), OrderOutcome.CONFLICT)
        self.assertIs(self.send_order(MEMBER, Leave(OLD)), OrderOutcome.HOLDS)
        self.assertIsNone(self.state(MEMBER))
        self.send_order(MEMBER, join(NEW, MEMBER, OTHER))
        self.assertEqual(self.world.violations, [])

    def test_head_that_lacks_a_member_stalls_and_is_then_broken(self) -> None:
        self.open_old()
        self.world.kill(MEMBER)
        self.run_for(STALL_TIMEOUT_SECONDS - 0.5)
        self.assertIs(self.state(HEAD), MemberState.OPEN)
        self.run_for(1.0)
        self.assertIs(self.state(HEAD), MemberState.BROKEN)


class RuleTest(OrderWorldCase):
    """Cases that violate the two rules, and cases that do not."""

    def test_joins_away_from_an_open_group_are_violations(self) -> None:
        self.open_old()
        self.send_order(MEMBER, join(NEW, MEMBER, OTHER))
        self.send_order(HEAD, join(NEW, HEAD, OTHER))
        self.assertEqual(
            [v[:20] for v in self.world.violations],
            ["TWO GROUPS: member j", "TWO GROUPS: head joi"],
        )

    def test_joins_away_from_a_closing_or_stalled_group_are_violations(self) -> None:
        for order in (Close(OLD, False), None):
            self.setUp()
            self.open_old()
            if order is not None:
                self.send_order(HEAD, order)
            else:
                self.world.cut_from_hosts.add(MEMBER)
                self.run_for(1.0)
            self.send_order(MEMBER, join(NEW, MEMBER, OTHER))
            self.assertEqual(len(self.world.violations), 1)

    def test_joins_away_from_a_group_that_no_longer_serves_are_allowed(self) -> None:
        ends = {
            "ready": lambda: self.send_order(HEAD, Close(OLD, True)),
            "killed": lambda: self.world.kill(HEAD),
            "restarted": lambda: self.world.restart(HEAD),
            "broken": lambda: (
                self.world.cut_from_hosts.add(MEMBER),
                self.run_for(STALL_TIMEOUT_SECONDS + 0.5),
            ),
        }
        for name, end_group in ends.items():
            with self.subTest(name):
                self.setUp()
                self.open_old()
                end_group()
                self.send_order(MEMBER, join(NEW, MEMBER, OTHER))
                self.assertEqual(self.world.violations, [])

    def test_opening_before_a_member_was_ready_is_a_violation(self) -> None:
        self.send_order(HEAD, join(OLD, HEAD, MEMBER))
        self.run_for(1.5)
        self.send_order(HEAD, Open(OLD))
        self.run_for(0.5)
        self.assertEqual(len(self.world.violations), 1)
        self.assertTrue(self.world.violations[0].startswith("PARTIAL GROUP: head"))

    def test_opening_after_a_ready_member_was_killed_is_allowed(self) -> None:
        self.join_both()
        self.world.kill(MEMBER)
        self.send_order(HEAD, Open(OLD))
        self.run_for(0.5)
        self.assertEqual(self.world.violations, [])
