"""Orders of a leader whose term ends while an order is on its way to be sent.

The process may be paused for seconds at any point; the clock of its event loop may not count that
time, so that no timeout of a call shows it.
"""

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._controller import Controller
from cactuspass.fleet._dispatch import RequestActivity
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._orders import (
    AddressedOrder,
    Leave,
    OrderOutcome,
    UpstreamControl,
)
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._presence import Term
from cactuspass.fleet._upstreams import GroupKey
from cactuspass.models import GroupId
from cactuspass.platform._control import ServerControl
from tests.fleet_path import recording_log
from tests.fleet_world import host

ORDER = Leave(GroupKey(GroupId("g"), 7))
TERM = Term(5)


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


if __name__ == "__main__":
    unittest.main()
