"""Orders of a leader: whose term ends before they are sent, and many at once.

The process may be paused for seconds at any point; the clock of its event loop may not count that
time, so that no timeout of a call shows it.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from cactuspass.fleet import _controller
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._controller import MAX_ORDERS_AT_ONCE, Controller
from cactuspass.fleet._dispatch import RequestActivity
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._orders import (
    AddressedOrder,
    Leave,
    OrderOutcome,
    Stage,
    UpstreamControl,
    UpstreamReport,
)
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._presence import Term
from cactuspass.fleet._upstreams import GroupKey, Upstream
from cactuspass.models import GroupId
from cactuspass.platform._control import ServerControl
from tests.fleet_path import recording_log
from tests.fleet_world import SERVICE, SMALL, host, hosts
from tests.virtual_time import VirtualLoop, virtual_time

ORDER = Leave(GroupKey(GroupId("g"), 7))
TERM = Term(5)
ROUND_SECONDS = 0.02  # one planning round of a large fleet on a small instance
PLANNED_SECONDS = 3.0


def make_controller(presence: mock.Mock, control: UpstreamControl) -> Controller:
    """Return a controller in the term ``TERM``."""
    log, _ = recording_log()
    controller = Controller(
        ClusterState(log), presence, control, mock.Mock(), log, Metrics(), RequestActivity()
    )
    controller._term = TERM
    return controller


class OrderPermissionTest(unittest.IsolatedAsyncioTestCase):
    """A host that records the bytes which reach it, and a leader that loses its term."""

    async def asyncSetUp(self) -> None:
        self.received = b""
        self.received_all = asyncio.Event()
        self.pool = ConnectionPool()
        server = await asyncio.start_server(self._receive, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.addressed = AddressedOrder(replace(host("x"), address=address), ORDER, "test", None)

    async def close_connections(self) -> None:
        """Close the connections of the pool, and wait until the host has seen that."""
        self.pool.close()
        async with asyncio.timeout(5.0):
            await self.received_all.wait()

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while chunk := await reader.read(1000):
            self.received += chunk
        writer.close()
        self.received_all.set()

    # Guards against an order of a process that was paused while its connection was opened, and
    # whose term has ended meanwhile.
    async def test_order_is_not_sent_once_its_term_has_ended(self) -> None:
        control = ServerControl(self.pool)
        outcome = await control.send_order(self.addressed, lambda: False)
        await self.close_connections()
        self.assertIs(outcome, OrderOutcome.NOT_REACHED)
        self.assertEqual(self.received, b"")

    async def test_controller_checks_the_term_again_after_the_connection_is_open(self) -> None:
        found: list[bool] = []
        presence = mock.Mock(term=TERM)

        class PausedControl(ServerControl):
            async def send_order(
                self, addressed: AddressedOrder, may_send: Callable[[], bool]
            ) -> OrderOutcome:
                found.append(may_send())
                presence.term = Term(6)
                found.append(may_send())
                return OrderOutcome.NOT_REACHED

        controller = make_controller(presence, PausedControl(self.pool))
        await controller._send_order(mock.Mock(spec=GroupPlanner), self.addressed)
        self.assertEqual(found, [True, False])


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
        self.presence.term = Term(6)
        self.controller._planners_by_service.clear()
        await self.send_all()
        self.assertLessEqual(len(self.control.received), MAX_ORDERS_AT_ONCE)


class PlanningShareTest(unittest.TestCase):
    """Planning rounds of a large fleet, while orders that end wake the controller all the time."""

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
