"""Orders and planning rounds of the leader of a large fleet on a small instance.

Answers the seconds in which a leader forms many groups at once, or in which many of its orders end
at once: it must still read the answers of its hosts in time.
"""

import asyncio
import unittest
from collections.abc import Callable
from unittest import mock

from cactuspass.fleet import _controller
from cactuspass.fleet._controller import MAX_ORDERS_AT_ONCE, PLAN_INTERVAL_SECONDS
from cactuspass.fleet._orders import (
    AddressedOrder,
    OrderOutcome,
    Stage,
    UpstreamControl,
    UpstreamReport,
)
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._presence import Term
from cactuspass.fleet._upstreams import Upstream
from tests.fleet_world import SERVICE, SMALL, hosts
from tests.test_fleet_order_permission import TERM, make_controller
from tests.virtual_time import VirtualLoop, virtual_time

LATER_TERM = Term(6)
ROUND_SECONDS = 0.02  # one planning round of a large fleet on a small instance
PLANNED_SECONDS = 3.0
PAUSE_SECONDS = 5.0


class BoundedControl(UpstreamControl):
    """Counts the orders that are under way together."""

    def __init__(self) -> None:
        self.received: list[AddressedOrder] = []
        self.under_way = self.most = 0

    async def send_order(
        self, addressed: AddressedOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Take an order and answer a little later."""
        self.received.append(addressed)
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await asyncio.sleep(0.01)
        self.under_way -= 1
        return OrderOutcome.BEGUN

    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Return no report."""
        return None


class ManyOrdersTest(unittest.IsolatedAsyncioTestCase):
    """Orders for a large fleet at once, as when a leader forms the first groups.

    On a small instance, all of them together would each take longer than the timeout.
    """

    def setUp(self) -> None:
        self.control = BoundedControl()
        self.presence = mock.Mock(term=TERM)
        self.controller = make_controller(self.presence, self.control)
        self.planner = mock.Mock(spec=GroupPlanner)
        self.controller._planners_by_service[SERVICE] = self.planner
        self.orders = [
            AddressedOrder(upstream, Stage(SMALL), "test", 0)
            for upstream in hosts(3 * MAX_ORDERS_AT_ONCE)
        ]

    async def send_all(self) -> None:
        await asyncio.gather(*self.controller._order_tasks)

    async def test_each_order_is_sent_once_and_few_are_under_way_together(self) -> None:
        for addressed in [*self.orders, *self.orders]:
            self.controller._start_order(self.planner, addressed)
        await self.send_all()
        self.assertCountEqual(self.control.received, self.orders)
        self.assertEqual(self.control.most, MAX_ORDERS_AT_ONCE)

    async def test_order_that_was_sent_can_be_sent_again(self) -> None:
        for _ in range(2):
            self.controller._start_order(self.planner, self.orders[0])
            await self.send_all()
        self.assertEqual(self.control.received, self.orders[:1] * 2)

    async def test_orders_that_wait_when_the_term_ends_are_not_sent(self) -> None:
        for addressed in self.orders:
            self.controller._start_order(self.planner, addressed)
        await asyncio.sleep(0)
        self.presence.term = LATER_TERM
        self.controller._planners_by_service.clear()
        await self.send_all()
        self.assertLessEqual(len(self.control.received), MAX_ORDERS_AT_ONCE)


class PlanningShareTest(unittest.TestCase):
    """Planning rounds of a large fleet, while orders that end wake the controller all the time."""

    @virtual_time
    async def test_process_that_was_paused_during_a_round_plans_again_soon(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        controller = make_controller(mock.Mock(term=TERM), BoundedControl())
        with (
            mock.patch.object(_controller, "now", loop.time),
            mock.patch.object(controller, "_plan_services", lambda: loop.advance(PAUSE_SECONDS)),
        ):
            controller.wake()
            await controller.step()
        self.assertLessEqual(loop.time() - PAUSE_SECONDS, PLAN_INTERVAL_SECONDS + 0.01)

    @virtual_time
    async def test_most_of_the_time_is_left_for_the_rest_of_the_instance(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        controller = make_controller(mock.Mock(term=TERM), BoundedControl())
        rounds = 0

        def plan() -> None:
            nonlocal rounds
            rounds += 1
            loop.advance(ROUND_SECONDS)
            controller.wake()

        with (
            mock.patch.object(_controller, "now", loop.time),
            mock.patch.object(controller, "_plan_services", plan),
        ):
            controller.wake()
            while loop.time() < PLANNED_SECONDS:
                await controller.step()
        self.assertLessEqual(rounds * ROUND_SECONDS, PLANNED_SECONDS / 3)
        self.assertGreater(rounds * ROUND_SECONDS, PLANNED_SECONDS / 6)


if __name__ == "__main__":
    unittest.main()
