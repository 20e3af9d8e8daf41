"""Requests that come late in the grace time of a stop, on real connections."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet import Instance
from cactuspass.fleet._caller_listener import LAST_REQUESTS_SECONDS
from cactuspass.fleet._catalog import RouteKind
from cactuspass.fleet._dispatch import USUAL_SECONDS
from tests.fleet_path import STAMP, PathCase, answer, events, route, stream
from tests.test_fleet_instance import InstanceCase, until
from tests.test_fleet_shutdown import (
    READ_BYTES,
    REQUEST,
    STREAM_REQUEST,
    TIMEOUT_SECONDS,
    ShutdownCase,
)

ROUTE_SECONDS = 3.0


class LateRequestTest(ShutdownCase):
    """Requests while the listener stops, with some seconds left until they would be ended."""

    async def serve_late(
        self, kind: RouteKind, seconds_left: float, requests: bytes = REQUEST, **changes: object
    ) -> bytes:
        """Return what a caller receives whose requests come when so much time is left."""
        case = PathCase(
            route(kind, timeout=ROUTE_SECONDS, **changes), [self.upstream], TIMEOUT_SECONDS
        )
        self.addCleanup(case.pool.close)
        self.listener._dispatcher = case.dispatcher
        caller = await self.connect_and_begin()
        self.is_closing = True
        ends_at = now() + seconds_left
        self.listener.begin_stop(now(), ends_at)
        self.listener.drain()
        caller.send(requests)
        receiving = asyncio.create_task(self.receive(caller))
        await self.listener.wait_until_drained(ends_at)
        await self.listener.end_requests()
        await self.listener.close()
        self.release.set()
        return await receiving

    def assert_not_run(self, received: bytes) -> None:
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"Connection: close", received)
        body = json.loads(received.split(b"\r\n\r\n", 1)[1])
        self.assertEqual((body["run"], self.upstream.requests), ("not-run", []))

    # Guards against a booking that is taken late in a stop and cut when it ends.
    async def test_request_that_may_run_only_once_is_refused_without_its_whole_time(self) -> None:
        received = await self.serve_late(RouteKind.NON_IDEMPOTENT, ROUTE_SECONDS - 0.5)
        self.assert_not_run(received)

    async def test_request_that_may_run_only_once_is_refused_just_before_the_end(self) -> None:
        self.assert_not_run(await self.serve_late(RouteKind.NON_IDEMPOTENT, 0.1))

    async def test_request_that_may_run_only_once_is_served_with_its_whole_time(self) -> None:
        self.release.set()
        received = await self.serve_late(RouteKind.NON_IDEMPOTENT, ROUTE_SECONDS + 0.5)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)

    async def test_stream_is_refused_without_the_usual_time(self) -> None:
        self.upstream.scripts = [stream(events(range(1, 4)), end=False)]
        received = await self.serve_late(RouteKind.STREAM, 0.5, resumable=True)
        self.assert_not_run(received)

    async def test_stream_is_served_with_the_usual_time(self) -> None:
        self.upstream.scripts = [stream(events(range(1, 4)))]
        received = await self.serve_late(RouteKind.STREAM, 2.5, resumable=True)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)

    async def test_pipelined_requests_are_refused_or_not_read(self) -> None:
        received = await self.serve_late(RouteKind.NON_IDEMPOTENT, 0.4, REQUEST * 3)
        self.assertEqual(received.count(b"HTTP/1.1 503 "), 1)
        self.assert_not_run(received)

    async def test_request_that_is_quick_is_served_late_if_it_may_be_repeated(self) -> None:
        self.upstream.scripts = [answer("200 OK", b"body", STAMP)]
        received = await self.serve_late(RouteKind.IDEMPOTENT, 2.5)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)


class SlowBodyTest(ShutdownCase):
    """Requests that begin in time, and whose last byte comes after the time for requests."""

    # Guards against a request that is taken too late, since its head came in time, and then cut.
    async def test_request_whose_body_ends_too_late_is_refused(self) -> None:
        self.upstream.scripts = [stream(events(range(1, 4)), end=False)]
        case = PathCase(
            route(RouteKind.STREAM, timeout=ROUTE_SECONDS, resumable=True),
            [self.upstream],
            TIMEOUT_SECONDS,
        )
        self.addCleanup(case.pool.close)
        self.listener._dispatcher = case.dispatcher
        caller = await self.connect_and_begin()
        caller.send(REQUEST[:-1])
        self.is_closing = True
        ends_at = now() + USUAL_SECONDS + 3 * LAST_REQUESTS_SECONDS
        self.listener.begin_stop(now(), ends_at)
        self.listener.drain()
        receiving = asyncio.create_task(self.receive(caller))
        await asyncio.sleep(2 * LAST_REQUESTS_SECONDS)
        caller.send(REQUEST[-1:])
        await self.listener.wait_until_drained(ends_at)
        await self.listener.end_requests()
        received = await receiving
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertEqual(self.upstream.requests, [])


class ShortGraceTest(InstanceCase):
    """Whole instances with short grace times, and streams that do not end."""

    async def stop_with_late_request(
        self, grace: float, send: Callable[[Instance], Awaitable[socket.socket]]
    ) -> bytes:
        """Stop an instance, send a request after a part of the grace time, and return the rest."""
        instance = await self.start_instance("e0")
        bounds = instance._settings.bounds.model_copy(update={"grace_seconds": grace})
        instance._settings = instance._settings.model_copy(update={"bounds": bounds})
        await until(lambda: len(instance.serving_groups()) == 2)
        stopping = asyncio.create_task(instance.drain())
        await asyncio.sleep(grace * 0.3)
        caller = await send(instance)
        receive = asyncio.to_thread(lambda: b"".join(iter(lambda: caller.recv(READ_BYTES), b"")))
        async with asyncio.timeout(grace + TIMEOUT_SECONDS):
            received = await receive
            await stopping
        return received

    async def test_stream_that_cannot_end_in_the_rest_of_the_grace_time_is_refused(self) -> None:
        async def send(instance: Instance) -> socket.socket:
            caller = socket.create_connection(instance.caller_address, TIMEOUT_SECONDS)
            self.addCleanup(caller.close)
            caller.send(STREAM_REQUEST)
            return caller

        for grace in (0.5, 1.0, 2.0):
            with self.subTest(grace=grace):
                for server in self.servers:
                    server.stalled = True
                    server.executed_request_ids.clear()
                received = await self.stop_with_late_request(grace, send)
                self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
                ran = [server.executed_request_ids for server in self.servers]
                self.assertEqual(ran, [[]] * len(self.servers))
