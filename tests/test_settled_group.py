"""Tests that a group has free capacity after its settle time."""

import math
import unittest

from cactuspass._forecast import Forecast
from cactuspass._group_capacity import END_DELAY_SECONDS, free_capacity
from cactuspass._held_groups import HeldGroupTracker
from cactuspass._prefix_index import PrefixIndex
from cactuspass._tables import HeldGroupRow, InstanceRow, LocalRow, Tables
from cactuspass.models import (
    BootId,
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    InstanceId,
    KindId,
    UpstreamKind,
)

KIND = KindId("draft")
MEMBER = InstanceId("e1")


class SettledGroupTest(unittest.TestCase):
    def test_capacity_is_free_with_the_first_report_after_the_settle_time(self) -> None:
        local = LocalRow(EntryId("n1"), Incarnation("i1"), DataCentreId("a"), "127.0.0.1:1")
        tables = Tables(local, {KIND: UpstreamKind(KIND, cold_requests=2)})
        group = HeldGroupRow(
            GroupId("g"), "m", KIND, placed=None, members=(MEMBER,), may_send_from=math.inf
        )
        member = InstanceRow(MEMBER, "127.0.0.1:2", KIND, BootId("b1"), connected=True)
        tables.held_groups_by_id[group.group_id] = group
        tables.instances_by_id[MEMBER] = member
        held = HeldGroupTracker(PrefixIndex(), Forecast())
        member.last_status_at = member.measured_at = 1.0
        held.refresh(tables, (), 1.0)
        self.assertEqual(free_capacity(tables, group).requests, 0)
        group.may_send_from = 5.0
        member.last_status_at = member.measured_at = 6.0
        held.refresh(tables, (), 6.0)
        held.refresh(tables, (), 6.0 + END_DELAY_SECONDS)
        self.assertEqual(free_capacity(tables, group).requests, 2)
