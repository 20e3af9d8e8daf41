"""Calls to a stand-in of the platform over HTTP, by one sender and by whole instances."""

import asyncio
import socket
import struct
import unittest
from itertools import chain
from unittest import mock

from cactuspass.fleet import (
    CallOutcome,
    ConnectionPool,
    DecisionLog,
    Instance,
    Metrics,
    UpstreamCountOrder,
    UsageReport,
    parse_instance_settings,
)
from cactuspass.fleet.duties._sender import DutySender
from cactuspass.models import CustomerId, DataCentreId, ServiceId
from cactuspass.platform._cloud import CloudDuties
from cactuspass.platform.entry import build_adapter
from tests.cloud_stand_in import (
    ACCEPT,
    NONSENSE,
    RATE_LIMIT,
    REFUSE,
    SILENCE,
    UNAVAILABLE,
    CloudStandIn,
)
from tests.fleet_path import RecordingHandler, recording_log
from tests.metadata_store import MetadataStoreStandIn
from tests.test_fleet_instance import until

REPORT = UsageReport(353445120, {CustomerId("hule930"): 412, CustomerId("fida11"): 7})
ORDER = UpstreamCountOrder(ServiceId("huvo11a"), DataCentreId("fukuoka"), 6)
CUSTOMER = CustomerId("t1")
CLOSED_ADDRESS = "127.0.0.1:1"


def free_address(host: str) -> str:
    """Return a free address of a host."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


class CloudDutiesTest(unittest.IsolatedAsyncioTestCase):
    """Calls of one sender, by what the platform answers."""

    async def asyncSetUp(self) -> None:
        self.cloud = CloudStandIn()
        await self.cloud.start()
        self.addCleanup(self.cloud.stop)
        self.holder = mock.Mock(fence=12, seconds_left=0.7)
        self.sender = self.sender_to(self.cloud.address)

    def sender_to(self, address: str) -> DutySender:
        """Return a sender to an address."""
        duties = CloudDuties(address, "front-1", ConnectionPool(0.5, 1.0))
        self.log, self.handler = recording_log()
        return DutySender(duties, self.holder, 50.0, self.log, Metrics())

    async def test_calls_have_the_fields_and_headers_of_the_platform(self) -> None:
        self.assertIs(await self.sender.report_usage(REPORT, 12), CallOutcome.ACCEPTED)
        self.assertIs(await self.sender.order_upstream_count(ORDER, 12), CallOutcome.ACCEPTED)
        usage, scale = self.cloud.calls
        self.assertEqual((usage.target, usage.holder, usage.fence), ("/usage", "front-1", 12))
        self.assertEqual(usage.json, {"window": 353445120, "counts": {"hule930": 412, "fida11": 7}})
        self.assertEqual(scale.target, "/scale")
        self.assertEqual(scale.json, {"service": "huvo11a", "zone": "fukuoka", "desired": 6})

    async def test_equal_reports_are_the_same_bytes(self) -> None:
        reordered = UsageReport(
            REPORT.window, dict(reversed(list(REPORT.counts_by_customer.items())))
        )
        for report in (REPORT, reordered):
            await self.sender.report_usage(report, 12)
        self.assertEqual(self.cloud.calls[0].body, self.cloud.calls[1].body)

    async def test_outcome_by_answer(self) -> None:
        for answer, outcome in (
            (ACCEPT, CallOutcome.ACCEPTED),
            (RATE_LIMIT, CallOutcome.RATE_LIMITED),
            (UNAVAILABLE, CallOutcome.UNKNOWN),
            (REFUSE, CallOutcome.REFUSED),
            (NONSENSE, CallOutcome.UNKNOWN),
            (SILENCE, CallOutcome.UNKNOWN),
        ):
            with self.subTest(answer=answer):
                self.cloud.answers = [answer]
                self.assertIs(await self.sender.report_usage(REPORT, 12), outcome)

    async def test_address_that_accepts_no_connection_is_sent_nothing(self) -> None:
        sender = self.sender_to(CLOSED_ADDRESS)
        self.assertIs(await sender.report_usage(REPORT, 12), CallOutcome.NOT_SENT)
        self.assertIn("duties-unreachable", self.handler.lines[-1])

    async def test_call_is_not_written_when_the_term_ends_while_the_connection_opens(self) -> None:
        # Guards against calls of a paused holder after the next one has begun.
        fences = iter([12])
        type(self.holder).fence = mock.PropertyMock(side_effect=lambda: next(fences, None))
        self.assertIs(await self.sender.report_usage(REPORT, 12), CallOutcome.NOT_SENT)
        await asyncio.sleep(0.05)
        self.assertEqual(self.cloud.calls, [])

    async def test_no_call_begins_shortly_before_the_lease_ends(self) -> None:
        self.holder.seconds_left = 0.35
        self.assertIs(await self.sender.report_usage(REPORT, 12), CallOutcome.NOT_SENT)
        self.assertEqual(self.cloud.calls, [])

    async def test_connection_discards_what_has_not_arrived_when_it_is_closed(self) -> None:
        # Guards against a call that the kernel delivers after a link has recovered.
        pool = ConnectionPool(0.5, 1.0)
        connection = await pool._connect(self.cloud.address)
        assert connection._transport is not None
        opened = connection._transport.get_extra_info("socket")
        linger = opened.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        self.assertEqual(struct.unpack("ii", linger), (1, 0))
        timeout = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(timeout, 1000)
        connection.abort()

    async def test_calls_stay_within_the_rate_of_all_instances(self) -> None:
        outcomes = [await self.sender.report_usage(REPORT, 12) for _ in range(60)]
        self.assertLess(outcomes.count(CallOutcome.ACCEPTED), 50)
        self.assertIn(CallOutcome.NOT_SENT, outcomes)


class InstanceDutiesTest(unittest.IsolatedAsyncioTestCase):
    """Two instances on loopback, of which the holder is lost at one step of a report."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStoreStandIn()
        self.store.start()
        self.addCleanup(self.store.stop)
        await self.store.put("op/config", {"version": 1, "routes": [], "services": []})
        self.cloud = CloudStandIn()
        await self.cloud.start()
        self.addCleanup(self.cloud.stop)
        self.handlers: dict[str, RecordingHandler] = {}
        self.instances: dict[str, Instance] = {}

    async def start(self, host: int, has_duties: bool = True) -> Instance:
        """Start an instance at a loopback address of its own."""
        name = f"e{host}"
        text = f"""
            [instance]
            name = "{name}"
            data_centre = "here"
            [listeners]
            callers = "127.0.0.1:0"
            readiness = "127.0.0.1:0"
            peers = "{free_address(f"127.0.0.{host}")}"
            [store]
            address = "{self.store.address}"
        """
        if has_duties:
            text += f"""
            [duties]
            address = "{self.cloud.address}"
            names = ["usage", "scale"]
            lease_seconds = 0.3
            thaw_seconds = 0.1
            window_seconds = 1.0
            late_seconds = 8.0
            """
        settings = parse_instance_settings(text, "settings.toml")
        metrics = Metrics()
        self.handlers[name] = handler = RecordingHandler()
        adapter, log = build_adapter(settings, metrics), DecisionLog(name, handler)
        self.instances[name] = instance = Instance(
            settings, adapter, log, metrics, ConnectionPool()
        )
        await instance.start()
        self.addAsyncCleanup(instance.stop)
        return instance

    async def lose(self, name: str) -> None:
        """End an instance without its draining, so that its leases end by themselves."""
        await self.instances.pop(name).stop()

    def leader(self) -> str:
        """Return the name of the instance that leads."""
        return next(n for n, i in self.instances.items() if i._presence.term is not None)

    async def _assert_same_content_after_loss(self, answer: bytes, at_fix: bool) -> None:
        """Lose the holder, and check that the next one sends no other content of a window."""
        await self.start(2)
        await self.start(3)
        self.cloud.answers = [answer]
        lines = [handler.lines for handler in self.handlers.values()]
        if at_fix:
            await until(lambda: "usage-fixed" in "\n".join(chain(*lines)))
        else:
            await until(lambda: bool(self.cloud.calls))
        for instance in self.instances.values():
            instance._duties.count_begun(CUSTOMER)
        first_leader = self.leader()
        await self.lose(first_leader)
        seen = len(self.cloud.reports())
        windows = {call.json["window"] for call in self.cloud.reports()}
        self.cloud.answers = [ACCEPT]
        await until(lambda: len({c.holder for c in self.cloud.reports()[seen:]}) == 1)
        last = max(windows, default=0) + 1
        await until(lambda: any(c.json["window"] > last + 1 for c in self.cloud.reports()[seen:]))
        self.assertNotEqual(self.cloud.reports()[-1].holder, first_leader)
        self._assert_one_content()
        fences = [call.fence for call in self.cloud.calls]
        self.assertEqual(fences, sorted(fences))

    def _assert_one_content(self) -> None:
        body_by_window: dict[int, bytes] = {}
        for call in self.cloud.reports():
            known = body_by_window.setdefault(call.json["window"], call.body)
            self.assertEqual(call.body, known)

    async def test_holder_is_lost_after_it_has_fixed_a_window(self) -> None:
        await self._assert_same_content_after_loss(ACCEPT, at_fix=True)

    async def test_holder_is_lost_while_it_waits_for_an_answer(self) -> None:
        await self._assert_same_content_after_loss(SILENCE, at_fix=False)

    async def test_holder_is_lost_after_an_answer(self) -> None:
        await self._assert_same_content_after_loss(ACCEPT, at_fix=False)

    async def test_requests_of_both_instances_are_reported(self) -> None:
        both = [await self.start(2), await self.start(3)]
        await until(lambda: bool(self.cloud.reports()))
        for instance in both:
            instance._duties.count_begun(CUSTOMER)
        await until(
            lambda: sum(c.json["counts"].get(CUSTOMER, 0) for c in self.cloud.reports()) == 2
        )
        self.assertIn(b"holder", self.instances[self.leader()]._duties.page()[1])

    async def test_without_the_section_nothing_is_sent_or_stored(self) -> None:
        instance = await self.start(2, has_duties=False)
        with mock.patch.object(instance._hints, "send_usage_message") as send:
            await until(lambda: instance._presence.term is not None)
            await asyncio.sleep(1.5)
        send.assert_not_called()
        self.assertEqual(self.cloud.calls, [])
        self.assertEqual(self.store.read("cactuspass/duties", "cactuspass/duties\x7f"), [])


if __name__ == "__main__":
    unittest.main()
