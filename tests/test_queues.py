"""Tests of the fair queue."""

import unittest

from cactuspass._queues import (
    CUSTOMER_QUEUE_REQUESTS,
    PRIORITY_LEAD_TOKENS,
    TOTAL_QUEUE_REQUESTS,
    FairQueue,
    QueueLimits,
)
from cactuspass._tables import RequestRow
from cactuspass.models import CustomerId, Priority, RequestId


def request(
    name: str,
    customer: str,
    tokens: int = 100,
    priority: Priority = Priority.NORMAL,
    arrived_at: float = 0.0,
) -> RequestRow:
    """Return a waiting request."""
    key, owner = RequestId(name), CustomerId(customer)
    return RequestRow(key, owner, "m", tokens, priority, arrived_at, 60.0)


def serve(queue: FairQueue, count: int) -> list[RequestRow]:
    """Serve up to ``count`` requests and return them in order."""
    served = []
    for _ in range(count):
        head = queue.head()
        if head is None:
            break
        queue.serve(head)
        served.append(head)
    return served


class FairQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FairQueue()

    def push(self, customer: str, count: int, weight: float = 1.0, **changes: object) -> None:
        for index in range(count):
            row = request(f"{customer}{changes}{index}", customer, **changes)  # type: ignore
            self.queue.push(row, weight)

    def served_tokens(self, count: int) -> dict[str, int]:
        served = serve(self.queue, count)
        names = {row.customer for row in served}
        return {name: sum(r.tokens for r in served if r.customer == name) for name in names}

    def test_shares_by_cost_and_weight(self) -> None:
        self.push("many", 100, tokens=100)
        self.push("large", 100, tokens=400)
        self.push("heavy", 100, weight=2.0, tokens=100)
        tokens = self.served_tokens(70)
        self.assertAlmostEqual(tokens["many"], tokens["large"], delta=400)
        self.assertAlmostEqual(tokens["heavy"], 2 * tokens["many"], delta=400)

    def test_flood_delays_a_newcomer_by_one_request(self) -> None:
        self.push("flood", 200)
        serve(self.queue, 50)
        self.push("new", 1)
        self.assertIn("new", [row.customer for row in serve(self.queue, 2)])

    def test_idle_customer_accumulates_no_credit(self) -> None:
        self.push("idle", 1)
        self.push("busy", 150)
        serve(self.queue, 101)
        self.push("idle", 20)
        tokens = self.served_tokens(20)
        self.assertAlmostEqual(tokens["idle"], tokens["busy"], delta=100)

    def test_customer_that_comes_back_keeps_its_virtual_start(self) -> None:
        self.push("large", 1, tokens=5_000)
        self.push("small", 100)
        while "large" not in [row.customer for row in serve(self.queue, 1)]:
            pass
        self.push("large", 1, tokens=5_001)
        self.assertNotIn("large", [row.customer for row in serve(self.queue, 40)])

    def test_priority_goes_first_within_its_lead(self) -> None:
        self.push("a", 3, priority=Priority.LOW)
        self.push("b", 3, priority=Priority.HIGH)
        self.assertEqual([row.customer for row in serve(self.queue, 4)], ["b", "b", "b", "a"])

    def test_high_priority_flood_gains_no_more_than_its_lead(self) -> None:
        self.push("flood", 200, priority=Priority.HIGH)
        self.push("other", 50, priority=Priority.LOW)
        tokens = self.served_tokens(100)
        self.assertLessEqual(tokens["flood"] - tokens["other"], PRIORITY_LEAD_TOKENS + 100)

    def test_no_priority_of_one_customer_starves(self) -> None:
        for at in range(60):
            for priority in Priority:
                self.push("a", 1, priority=priority, arrived_at=float(at))
        served = [row.priority for row in serve(self.queue, 60)]
        self.assertEqual(set(served), set(Priority))

    def test_bounds(self) -> None:
        self.push("a", CUSTOMER_QUEUE_REQUESTS)
        self.assertTrue(self.queue.is_full_for(CustomerId("a")))
        for name in "bcd":
            self.push(name, CUSTOMER_QUEUE_REQUESTS)
        self.assertEqual(len(self.queue), TOTAL_QUEUE_REQUESTS)
        evicted = self.queue.push(request("new", "new"), 1.0)
        self.assertNotEqual(evicted.customer if evicted else "new", "new")
        self.assertEqual(len(self.queue), TOTAL_QUEUE_REQUESTS)

    def test_limits_of_the_settings_apply(self) -> None:
        self.queue = FairQueue(QueueLimits(customer_requests=2, total_requests=3))
        self.push("a", 2)
        self.assertTrue(self.queue.is_full_for(CustomerId("a")))
        self.push("b", 2)
        self.assertEqual(len(self.queue), 3)
