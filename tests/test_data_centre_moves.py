"""Tests of requests that an entry can't serve in time and forwards to a peer that can."""

import unittest

from cactuspass._messages import Forward, Order, RefusalReason, Refuse, RequestFinished
from cactuspass.models import EntryId, RequestId
from tests.admission_fixtures import AdmissionFixture, arrival


class RerouteToPeerTest(unittest.TestCase):
    def setUp(self) -> None:
        """Serve one request in 2 s, then use the group's concurrency limit of two requests."""
        self.world = AdmissionFixture()
        self.world.tick(arrival("r0"))
        self.world.tick(RequestFinished(RequestId("r0"), True), after=2.0)
        self.world.tick(arrival("r1"), arrival("r2"))

    def add_request(self, seconds: float, **changes: object) -> list[Order]:
        deadline = self.world.now + seconds
        return self.world.tick(arrival("late", deadline=deadline, **changes))

    def test_new_request_that_would_be_late_here_goes_to_a_peer(self) -> None:
        self.world.add_peer("e2", free=4, held=4, data_centre="b")
        self.assertEqual(self.add_request(0.5), [Forward(RequestId("late"), EntryId("e2"))])

    def test_waiting_request_goes_to_a_peer_when_the_upstream_restarts_cold(self) -> None:
        self.assertEqual(self.add_request(3.0), [])
        peer = self.world.add_peer("e2", free=4, held=4, data_centre="b")
        self.world.report("g0", "b2")
        self.world.tick()
        self.world.now += 1.5
        peer.last_heartbeat_at = self.world.now
        self.assertEqual(self.world.tick(), [Forward(RequestId("late"), EntryId("e2"))])
        self.assertNotIn(RequestId("late"), self.world.tables.requests_by_id)

    def test_request_is_refused_when_as_many_wait_at_the_peer(self) -> None:
        self.world.add_peer("e2", free=0, held=4, data_centre="b").groups_by_id.clear()
        self.world.add_peer("e3", free=-4, held=8, data_centre="b")
        self.assert_refused(self.add_request(0.5), RefusalReason.DEADLINE)

    def test_forwarded_request_is_refused_rather_than_forwarded_again(self) -> None:
        self.world.add_peer("e2", free=4, held=4, data_centre="b")
        orders = self.add_request(0.5, forwarded_by=EntryId("e3"))
        self.assert_refused(orders, RefusalReason.DEADLINE)

    def assert_refused(self, orders: list[Order], reason: RefusalReason) -> None:
        reasons = [order.reason for order in orders if isinstance(order, Refuse)]
        self.assertEqual((len(orders), reasons), (1, [reason]))
