"""Whole instances tell each other on loopback what they serve and refuse."""

import asyncio
import socket
from unittest import mock

from tornado.httpclient import AsyncHTTPClient

from cactuspass.fleet import Instance, RouteKind, _stream_relay
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, ModelDemand
from cactuspass.fleet.load_exchange._request_meter import RequestMeter
from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId
from tests.fleet_path import ScriptedUpstream, answer, events, route, stream
from tests.test_fleet_instance import MODEL, SERVICE, InstanceCase, until
from tests.test_fleet_path import NOT_RUN, PathTest

KEY = DemandKey(ServiceId(SERVICE), ModelId(MODEL), DataCentreId("here"))
REQUESTS = 6


class ExchangingInstancesTest(InstanceCase):
    more_settings = "[load_exchange]\nmin_instances = 2"

    def peers_address(self) -> str:
        """Return an address at which the others can reach an instance."""
        with socket.create_server(("127.0.0.1", 0)) as server:
            return f"127.0.0.1:{server.getsockname()[1]}"

    def latest(self, instance: Instance) -> FleetLoad | None:
        """Return what an instance knows of the loads."""
        assert instance._load_exchange is not None
        return instance._load_exchange.latest

    # Guards against an exchange that the settings do not enable, or that no request reaches.
    async def test_instances_know_what_the_others_serve(self) -> None:
        instances = [await self.start_instance(f"e{number}") for number in range(2)]
        await until(lambda: all(len(i.serving_groups()) == 2 for i in instances))
        await until(lambda: all(self.latest(i) is not None for i in instances))
        sent = [self.send_request(instances[0]) for _ in range(REQUESTS)]
        self.assertEqual({response.code for response in await asyncio.gather(*sent)}, {200})

        def demand() -> ModelDemand:
            load = self.latest(instances[1])
            return load.demand_by_key.get(KEY, ModelDemand()) if load else ModelDemand()

        await until(lambda: demand().arrivals_per_second >= REQUESTS / 2 - 1)
        await until(lambda: demand().mean_seconds > 0.0)
        load = self.latest(instances[1])
        assert load is not None
        self.assertEqual(set(load.begun_per_second_by_customer), {CustomerId("t1")})
        self.assertEqual(load.shares_by_model, {(KEY.service, KEY.model): {"here": 1.0}})
        host, port = instances[1]._pages[1].addresses[0]
        page = await AsyncHTTPClient().fetch(f"http://{host}:{port}/load")
        self.assertIn(b"coordinator e", page.body)
        self.assertIn(MODEL.encode(), page.body)
        metrics = [i.metrics_page()[1].decode() for i in instances]
        self.assertEqual(sum("cactuspass_coordinates_loads 1.0" in text for text in metrics), 1)
        self.assertTrue(any('"load-coordinator"' in line for line in self.log_handlers[0].lines))


class RequestMeterTest(PathTest):
    """Requests are counted where they arrive, begin, end and are refused."""

    async def serve(self, upstreams: list[ScriptedUpstream]) -> RequestMeter:
        case = self.case(route(), upstreams)
        await case.serve()
        return case.dispatcher._dependencies.meter

    async def test_served_request(self) -> None:
        upstreams = await self.start([answer("200 OK", b"body", "Cactuspass-Server-Stamp: s1")])
        meter = await self.serve(upstreams)
        (counters,) = meter.counters_by_key.values()
        self.assertEqual((counters.arrivals, counters.begun_in_time, counters.ended), (1, 1, 1))
        self.assertEqual((counters.refused, counters.begun_late), (0, 0))
        self.assertGreater(counters.engine_seconds, 0.0)
        self.assertEqual(meter.begun_by_customer, {CustomerId("customer-1"): 1})

    # Guards against demand that vanishes while all engines are full.
    async def test_rejected_request_is_an_arrival_without_time_at_an_engine(self) -> None:
        upstreams = await self.start([answer("503 Full", b"full", NOT_RUN)])
        meter = await self.serve(upstreams)
        (counters,) = meter.counters_by_key.values()
        self.assertEqual((counters.arrivals, counters.refused, counters.ended), (1, 1, 0))
        self.assertEqual(meter.begun_by_customer, {})

    async def test_resumed_stream_has_begun_once(self) -> None:
        upstreams = await self.start(
            [stream(events(range(1, 3)), end=False)], [stream(events(range(3, 5)))]
        )
        case = self.case(route(RouteKind.STREAM, resumable=True, gap_objective=0.2), upstreams)
        with mock.patch.object(_stream_relay, "EVENT_GAP_TIMEOUT_SECONDS", 0.02):
            await case.serve()
        (counters,) = case.dispatcher._dependencies.meter.counters_by_key.values()
        self.assertEqual((counters.arrivals, counters.ended), (1, 2))
        self.assertEqual(counters.begun_in_time + counters.begun_late, 1)

    def test_undeclared_models_are_not_counted(self) -> None:
        meter = RequestMeter(lambda key: key[1] == MODEL)
        for name in (MODEL, "x", "y"):
            meter.note_arrival((ServiceId(SERVICE), ModelId(name)))
        self.assertEqual([key[1] for key in meter.counters_by_key], [MODEL])
