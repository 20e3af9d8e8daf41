"""Tests how the state of a host follows from its reports and its answers to orders."""

import unittest
from dataclasses import replace

from cactuspass.fleet._host_states import REPORT_LAG_SECONDS, RETRY_SECONDS, HostStateTable
from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Join,
    Leave,
    Order,
    OrderOutcome,
    UpstreamReport,
)
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, UpstreamView
from cactuspass.models import GroupId
from tests.fleet_world import SMALL, host

KEY = GroupKey(GroupId("g7"), 7)
NEXT_KEY = GroupKey(GroupId("g8"), 8)
READY = Membership(KEY, 0, MemberState.READY)
AT = 0.0


class HostStateTableTest(unittest.TestCase):
    """A host whose report shows it in a group after three accepted orders."""

    def setUp(self) -> None:
        self.host = replace(host("x"), membership=READY, born_ms=5)
        self.host_states = HostStateTable()
        self.report(AT, 3, READY)

    def report(
        self, at: float, sequence: int, membership: Membership | None, born: int = 5
    ) -> None:
        report = UpstreamReport(0, 0, 1.0, membership, False, sequence, born)
        hosts = {self.host.upstream_id: self.host}
        self.host_states.update(hosts, {self.host.upstream_id: report}, at)

    def answer(self, order: Order, expected: int | None, outcome: OrderOutcome, at: float) -> None:
        addressed = AddressedOrder(self.host, order, "test", expected)
        self.host_states.record_outcome(addressed, outcome, at)

    def test_host_is_free_once_it_has_answered_that_it_left(self) -> None:
        self.assertFalse(self.host_states.is_free(self.host, AT))
        self.answer(Leave(KEY), 3, OrderOutcome.HOLDS, AT)
        self.assertTrue(self.host_states.is_free(self.host, AT))
        self.assertEqual(self.host_states.states_by_id[self.host.upstream_id].sequence, 4)

    def test_host_is_not_free_while_the_order_to_leave_has_no_answer(self) -> None:
        for outcome in (OrderOutcome.UNKNOWN, OrderOutcome.NOT_REACHED, OrderOutcome.CONFLICT):
            with self.subTest(outcome=outcome):
                self.answer(Leave(KEY), 3, outcome, AT)
                self.assertFalse(self.host_states.is_free(self.host, AT + 5))

    def test_report_from_before_the_answer_changes_nothing(self) -> None:
        self.answer(Leave(KEY), 3, OrderOutcome.HOLDS, AT)
        self.report(AT + 0.1, 3, READY)
        self.assertTrue(self.host_states.is_free(self.host, AT + 0.1))

    def test_report_that_still_lags_after_the_limit_replaces_the_answer(self) -> None:
        self.answer(Leave(KEY), 3, OrderOutcome.HOLDS, AT)
        self.report(AT + REPORT_LAG_SECONDS, 3, READY)
        self.assertFalse(self.host_states.is_free(self.host, AT + REPORT_LAG_SECONDS))

    def test_answer_to_an_order_without_an_expected_sequence_changes_nothing(self) -> None:
        self.answer(Leave(KEY), None, OrderOutcome.HOLDS, AT)
        self.assertFalse(self.host_states.is_free(self.host, AT))

    def test_close_of_a_closed_group_does_not_increase_the_sequence(self) -> None:
        self.answer(Close(KEY, True), 3, OrderOutcome.HOLDS, AT)
        self.assertEqual(self.host_states.states_by_id[self.host.upstream_id].sequence, 3)

    def test_host_that_refuses_is_free_again_later_or_after_a_newer_report(self) -> None:
        self.report(AT, 4, None)
        self.answer(Join(NEXT_KEY, SMALL, (self.host.upstream_id,)), 4, OrderOutcome.CONFLICT, AT)
        self.assertFalse(self.host_states.is_free(self.host, AT))
        self.assertTrue(self.host_states.is_free(self.host, AT + RETRY_SECONDS))
        self.report(AT + 0.1, 6, None)
        self.assertTrue(self.host_states.is_free(self.host, AT + 0.1))

    def test_state_of_an_old_lifetime_does_not_count_for_the_new_one(self) -> None:
        self.report(AT, 0, None, born=4)
        self.assertFalse(self.host_states.is_free(self.host, AT))
        self.assertTrue(self.host_states.is_free(replace(self.host, born_ms=4), AT))

    def test_view_shows_no_group_that_a_host_was_made_to_leave(self) -> None:
        self.answer(Leave(KEY), 3, OrderOutcome.HOLDS, AT)
        correct_view = self.host_states.correct_view(UpstreamView.of([self.host]))
        self.assertEqual(correct_view.groups_by_key, {})
        joined = replace(self.host, membership=replace(READY, key=NEXT_KEY))
        correct_view = self.host_states.correct_view(UpstreamView.of([joined]))
        self.assertEqual(list(correct_view.groups_by_key), [NEXT_KEY])


if __name__ == "__main__":
    unittest.main()
