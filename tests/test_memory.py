"""Tests of the accounting of held memory, the queued requests and the backlog alarm."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._backlog import CLEAR_DELAY_SECONDS, BacklogSystem, waiting_rows
from cactuspass._memory import SLOW_READER_SECONDS, CutReason, MemoryBudget, MemoryLedger
from cactuspass._messages import AlarmChanged, RequestFinished
from cactuspass.models import CustomerId, RequestId
from tests.admission_fixtures import AdmissionFixture, arrival

BUDGET = MemoryBudget(node_bytes=1000, stream_bytes=400)
STEPS = st.tuples(st.sampled_from("orc"), st.integers(0, 5), st.integers(1, 300))


class MemoryLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = MemoryLedger(BUDGET)

    def hold(self, name: str, size: int, customer: str = "c", now: float = 0.0) -> bool:
        self.ledger.open(RequestId(name), CustomerId(customer), now)
        return self.ledger.reserve(RequestId(name), size, now)

    def cuts(self, now: float) -> list[tuple[str, CutReason]]:
        return [(cut.request_id, cut.reason) for cut in self.ledger.streams_to_cut(now)]

    def test_budgets_of_stream_and_node(self) -> None:
        self.assertFalse(self.hold("a", 401))
        self.assertEqual([self.hold(name, 400) for name in "abc"], [True, True, False])
        self.assertEqual(self.ledger.held_bytes, 800)

    def test_pauses_before_the_stream_is_full(self) -> None:
        self.hold("a", 199)
        self.assertFalse(self.ledger.should_pause(RequestId("a")))
        self.hold("a", 1)
        self.assertTrue(self.ledger.should_pause(RequestId("a")))

    def test_stalled_reader_above_its_share_is_cut(self) -> None:
        self.hold("stalled", 300)
        self.hold("small", 1)
        self.hold("moving", 300)
        self.ledger.release(RequestId("moving"), 1, SLOW_READER_SECONDS - 1.0)
        self.assertEqual(self.cuts(SLOW_READER_SECONDS - 0.1), [])
        self.assertEqual(self.cuts(SLOW_READER_SECONDS), [("stalled", CutReason.SLOW_READER)])

    def test_full_node_cuts_the_longest_stalled(self) -> None:
        for at, name in enumerate(("first", "second", "third")):
            self.hold(name, 330, now=float(at))
        self.assertFalse(self.hold("new", 100, now=3.0))
        cut = [("first", CutReason.NODE_FULL), ("second", CutReason.NODE_FULL)]
        self.assertEqual(self.cuts(3.0), cut)
        self.assertEqual(self.cuts(3.0), [])

    def test_held_bytes_by_customer(self) -> None:
        self.hold("a", 100, "c1")
        self.hold("b", 50, "c2")
        self.ledger.close(RequestId("a"))
        self.assertEqual(self.ledger.held_bytes_by_customer(), {"c2": 50})

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(STEPS, max_size=60))
    def test_held_bytes_are_the_sum_and_within_the_budget(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        ledger = MemoryLedger(BUDGET)
        for now, (step, number, size) in enumerate(steps):
            name = RequestId(str(number))
            if step == "o":
                ledger.open(name, CustomerId(str(number % 2)), now)
                ledger.reserve(name, size, now)
            elif step == "r":
                ledger.release(name, size, now)
            else:
                ledger.close(name)
            self.assertEqual(sum(ledger.held_bytes_by_customer().values()), ledger.held_bytes)
            self.assertLessEqual(ledger.held_bytes, BUDGET.node_bytes)
            self.assertGreaterEqual(ledger.held_bytes, 0)


class BacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = AdmissionFixture()
        self.backlog = BacklogSystem(self.world.forecast)
        self.world.tick(arrival("r0"))
        self.world.tick(RequestFinished(RequestId("r0"), True), after=2.0)

    def alarms(self, after: float) -> list[bool]:
        self.world.now += after
        orders = self.backlog.run(self.world.tables, (), self.world.now)
        return [order.raised for order in orders if isinstance(order, AlarmChanged)]

    def test_waiting_requests_by_customer_and_data_centre(self) -> None:
        self.world.tick(*(arrival(f"w{i}", customer=f"c{i % 2}") for i in range(6)))
        rows = waiting_rows(self.world.tables, self.world.now + 1.5)
        self.assertEqual([(row.customer, row.count) for row in rows], [("c0", 2), ("c1", 2)])
        self.assertEqual({(row.data_centre, row.oldest_seconds) for row in rows}, {("a", 1.5)})

    def test_alarm_before_the_deadline_is_missed_and_cleared_late(self) -> None:
        deadline = self.world.now + 10.0
        self.world.tick(*(arrival(f"w{i}", deadline=deadline) for i in range(10)))
        self.assertEqual(self.alarms(0.0), [True])
        self.assertEqual(self.alarms(1.0), [])
        for name in list(self.world.tables.requests_by_id):
            self.world.tables.requests_by_id.pop(name)
        self.assertEqual(self.alarms(1.0), [])
        self.assertEqual(self.alarms(CLEAR_DELAY_SECONDS), [False])
