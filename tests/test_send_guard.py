"""Tests of the checks right before a request is sent.

Between the last tick and the sending, a member's connection may break and the confirmation or
the right to hold the group may expire. The guard must see that without another tick.
"""

from bench.group_world import declare
from cactuspass._confirmation import STATUS_MAX_AGE_SECONDS
from cactuspass._send_policies import TableSendGuard
from cactuspass.models import InstanceId
from tests.test_groups import D1, G0, GroupTestCase


class SendGuardTest(GroupTestCase):
    def setUp(self) -> None:
        self.start([2], declare(2))
        self.disconnected: set[InstanceId] = set()
        self.clock_offset = 0.0
        self.guard = TableSendGuard(
            self.entries[0].tables,
            lambda: self.world.now + self.clock_offset,
            lambda instance: instance not in self.disconnected,
        )

    def test_member_lost_since_the_last_tick_stops_the_sending(self) -> None:
        self.assertTrue(self.guard.may_send(G0))
        self.disconnected = {D1}
        self.assertFalse(self.guard.may_send(G0))

    def test_confirmation_that_ran_out_since_the_last_tick_stops_the_sending(self) -> None:
        self.clock_offset = STATUS_MAX_AGE_SECONDS + 0.1
        self.entries[0].tables.local.may_hold_until = float("inf")
        self.assertFalse(self.guard.may_send(G0))

    def test_right_that_ran_out_since_the_last_tick_stops_the_sending(self) -> None:
        self.entries[0].tables.local.may_hold_until = self.world.now
        self.assertFalse(self.guard.may_send(G0))
