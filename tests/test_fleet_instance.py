"""Tests of whole instances between a caller, model servers and the metadata store, on loopback."""

import asyncio
import unittest
from collections.abc import Callable, Mapping

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from cactuspass.fleet import ConnectionPool, DecisionLog, Instance, Metrics, parse_instance_settings
from cactuspass.fleet.prompt_parts._block_orders import BlockOrders
from cactuspass.fleet.prompt_parts._parts import BlockKey, PromptPartId
from cactuspass.models import ModelId, ServiceId
from cactuspass.platform._store import MetadataStore
from cactuspass.platform.entry import build_adapter
from tests.fleet_path import RecordingHandler, events
from tests.metadata_store import MetadataStoreStandIn
from tests.model_servers import EVENTS, ModelServerStandIn

SERVICE = "llm"
MODEL = "m0"
KEY = "key-1"
WAIT_SECONDS = 20.0
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 8000,
            "goal_ms": 5000,
            "service": SERVICE,
            "attempts": 2,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "engine": {
                "slots": 4,
                "models": [{"name": MODEL, "size": 2, "share": 1.0, "load_s": 0.1, "warm_s": 0.1}],
                "loads_per_s": 10,
                "loads_at_once": 10,
            },
        }
    ],
    "tenants": [{"name": "t1", "api_keys": [KEY]}],
}


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


class InstanceCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with four servers in one fabric domain, and instances that they start.

    :cvar more_settings: further sections of the settings.
    """

    more_settings = ""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStoreStandIn()
        self.store.start()
        self.addCleanup(self.store.stop)
        await self.store.put("op/config", MANIFEST)
        self.servers = [ModelServerStandIn(f"i-{n}", self.store, SERVICE) for n in range(4)]
        for server in self.servers:
            await server.start([MODEL])
            self.addCleanup(server.stop)
        self.log_handlers: list[RecordingHandler] = []

    async def start_instance(self, name: str) -> Instance:
        """Start an instance on free ports and return it."""
        instance = self.build_instance(name)
        await instance.start()
        self.addAsyncCleanup(instance.stop)
        return instance

    def build_instance(self, name: str) -> Instance:
        """Return an instance on free ports that has not been started."""
        text = f"""
            [instance]
            name = "{name}"
            data_centre = "here"
            [listeners]
            callers = "127.0.0.1:0"
            readiness = "127.0.0.1:0"
            metrics = "127.0.0.1:0"
            peers = "{self.peers_address()}"
            [store]
            address = "{self.store.address}"
            {self.more_settings}
        """
        settings = parse_instance_settings(text, "settings.toml")
        handler = RecordingHandler()
        self.log_handlers.append(handler)
        metrics = Metrics()
        return Instance(
            settings,
            build_adapter(settings, metrics),
            DecisionLog(name, handler),
            metrics,
            ConnectionPool(),
        )

    def peers_address(self) -> str:
        """Return the address for other instances; by this one, nobody can follow an instance."""
        return "127.0.0.1:0"

    def heads(self) -> list[ModelServerStandIn]:
        """Return the heads of open groups, which receive the requests."""
        return [server for server in self.servers if server.serves]

    async def send_request(
        self, instance: Instance, key: str = KEY, headers: Mapping[str, str] | None = None
    ) -> HTTPResponse:
        """Send a request to an instance and return the response.

        :param headers: further headers.
        """
        host, port = instance.caller_address
        request = HTTPRequest(
            f"http://{host}:{port}/a/x",
            method="POST",
            body=b"{}",
            headers={
                "Host": "a.example",
                "Cactuspass-Request-Id": "q1",
                "Cactuspass-Deadline-Ms": "8000",
                "Cactuspass-Model": MODEL,
                "Api-Key": key,
                **(headers or {}),
            },
        )
        return await AsyncHTTPClient().fetch(request, raise_error=False)


class InstanceTest(InstanceCase):
    """One or two instances and four servers in one fabric domain."""

    async def test_groups_are_formed_and_a_stream_is_served(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(self.heads()) == 2 and len(instance.serving_groups()) == 2)
        orders = [order for server in self.servers for order in server.orders]
        self.assertTrue(all("precondition" in order for order in orders))
        response = await self.send_request(instance)
        self.assertEqual((response.code, response.body), (200, events(range(1, EVENTS + 1))))

    async def test_stream_is_resumed_after_the_crash_of_its_head(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        request = asyncio.create_task(self.send_request(instance))
        await until(lambda: any(server.executed_request_ids for server in self.servers))
        next(server for server in self.servers if server.executed_request_ids).stop()
        response = await request
        self.assertEqual((response.code, response.body), (200, events(range(1, EVENTS + 1))))

    async def test_request_with_unknown_key_is_refused_and_not_run(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        response = await self.send_request(instance, key="other")
        self.assertEqual(response.code, 401)
        self.assertFalse(any(server.executed_request_ids for server in self.servers))

    async def test_only_one_of_two_instances_sends_orders(self) -> None:
        instances = [await self.start_instance("e0"), await self.start_instance("e1")]
        await until(lambda: all(len(i.serving_groups()) == 2 for i in instances))
        leaders = [
            handler
            for handler in self.log_handlers
            if any('"join"' in line for line in handler.lines)
        ]
        self.assertEqual(len(leaders), 1)
        for instance in instances:
            self.assertEqual((await self.send_request(instance)).code, 200)

    async def test_instance_is_ready_only_after_it_has_read_the_documents(self) -> None:
        self.store.refusing = True
        instance = await self.start_instance("e0")
        self.assertEqual(instance.readiness()[0], 503)
        self.store.refusing = False
        await until(lambda: instance.readiness()[0] == 200)

    # The registry may show late, or never, that a server is leaving; the server's responses
    # announce it immediately.
    async def test_head_that_announces_leaving_gets_no_more_requests_and_its_group_is_closed(
        self,
    ) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        for head in self.heads():
            head.leaving = True
        self.assertEqual((await self.send_request(instance)).code, 200)
        [leaving] = [server for server in self.servers if server.executed_request_ids]
        for server in self.servers:
            server.leaving = server is leaving
        await until(lambda: any(order["op"] == "close" for order in leaving.orders))
        self.assertEqual(leaving.orders[-1]["close_mode"], "wait")
        for _ in range(4):
            self.assertEqual((await self.send_request(instance)).code, 200)
        self.assertEqual(len(leaving.executed_request_ids), 1)
        page = instance.metrics_page()[1].decode()
        self.assertIn('cactuspass_upstreams_leaving_total{source="answer"} 1.0', page)

    async def test_heads_that_request_backoff_get_no_more_requests_and_callers_get_the_delay(
        self,
    ) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        for head in self.heads():
            head.backoff = "30"
        async with asyncio.timeout(WAIT_SECONDS):
            while sum(server.rejected_count for server in self.servers) < 2:
                self.assertEqual((await self.send_request(instance)).code, 503)
        for _ in range(4):
            response = await self.send_request(instance)
            self.assertEqual(response.code, 503)
            self.assertGreater(float(response.headers["Retry-After"]), 8.0)
        self.assertEqual(sum(server.rejected_count for server in self.servers), 2)
        page = instance.metrics_page()[1].decode()
        self.assertIn('cactuspass_upstreams_quiet_total{taken="as-asked"} 2.0', page)

    async def test_block_of_an_operator_is_in_force_at_all_instances_until_ended(
        self,
    ) -> None:
        """Guards against an order in the store that some instance does not follow."""
        instances = [await self.start_instance(f"e{number}") for number in range(2)]
        await until(lambda: all(len(instance.serving_groups()) == 2 for instance in instances))
        store = MetadataStore(self.store.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(store.close)
        orders = BlockOrders(store)
        key = BlockKey(ServiceId(SERVICE), ModelId(MODEL), (PromptPartId("a1"),))
        prompt = {"Cactuspass-Prompt-Prefix": "a1:40,ff:40"}
        for instance in instances:
            self.assertEqual((await self.send_request(instance, headers=prompt)).code, 200)
        await orders.set_block(key, ())
        await until(lambda: all(b"a1" in instance.parts_page()[1] for instance in instances))
        for instance in instances:
            refused = await self.send_request(instance, headers=prompt)
            self.assertEqual((refused.code, refused.headers.get("Retry-After")), (503, None))
            self.assertIn(b"prompt-part-blocked", refused.body)
            self.assertEqual((await self.send_request(instance)).code, 200)
            gauge = b"cactuspass_blocked_prompt_parts 1.0"
            self.assertIn(gauge, instance.metrics_page()[1])
        self.assertTrue((await orders.list_blocks()).active[0].is_held)
        await orders.end_block(key)
        await until(lambda: all(b"no rows" in instance.parts_page()[1] for instance in instances))
        for instance in instances:
            self.assertEqual((await self.send_request(instance, headers=prompt)).code, 200)

    async def test_limits_in_reports_apply_before_any_request_and_end_with_the_header(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(self.heads()) == 2 and len(instance.serving_groups()) == 2)
        for server in self.servers:
            server.limit = "0"
        gauge = b"cactuspass_limited_upstreams 4.0"
        await until(lambda: gauge in instance.metrics_page()[1])
        self.assertIn(b"i-0", instance.limits_page()[1])
        refused = await self.send_request(instance)
        self.assertEqual(refused.code, 503)
        self.assertIn(b"all-upstreams-at-limit", refused.body)
        self.assertGreater(float(refused.headers["Retry-After"]), 0.0)
        self.assertIsNone(refused.headers.get("Server-Limit"))
        for server in self.servers:
            server.limit = None
        await until(lambda: b"no rows" in instance.limits_page()[1])
        self.assertEqual((await self.send_request(instance)).code, 200)

    async def test_metrics_page_shows_the_requests(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        await self.send_request(instance)
        page = instance.metrics_page()[1].decode()
        self.assertIn('cactuspass_requests_total{kind="stream",outcome="served"} 1.0', page)


if __name__ == "__main__":
    unittest.main()
