"""Requests that are on their way when an instance stops serving callers.

Guards against requests that end without an answer because the shutdown does not wait for them, as
on the incident page request-lost-at-shutdown.
"""

import asyncio
import contextlib
import json
import socket
import unittest
from typing import Any
from unittest import mock

from cactuspass import _caller_connections
from cactuspass._clock import now
from cactuspass._connection_phases import ConnectionCounts
from cactuspass.fleet import _caller_listener, _stop_bounds
from cactuspass.fleet._caller_listener import CallerListener
from cactuspass.fleet._metrics import Metrics
from cactuspass.platform._requests import PlatformRequests
from tests.fleet_path import STAMP, PathCase, ScriptedUpstream, answer, route, stream
from tests.test_fleet_instance import MODEL, InstanceCase, until

HEAD = (
    b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nCactuspass-Request-Id: q1\r\n"
    b"Cactuspass-Deadline-Ms: 4000\r\nApi-Key: key-1\r\nContent-Length: 4\r\n\r\n"
)
BODY = b"body"
REQUEST = HEAD + BODY
STREAM_REQUEST = HEAD.replace(b"/p/x", b"/a/x").replace(
    b"\r\n\r\n", f"\r\nCactuspass-Model: {MODEL}\r\n\r\n".encode() + BODY
)
TIMEOUT_SECONDS = 5.0
REST_DELAY_SECONDS = 0.1
READ_BYTES = 65_536

LAST_EXCUSED_SECONDS = 3.0  # between the signal and the beginning of a request


class ShutdownCase(unittest.IsolatedAsyncioTestCase):
    """A listener whose upstream answers when it is released, and callers with plain sockets."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.reached = asyncio.Event()

        async def respond_when_released(writer: asyncio.StreamWriter, request: bytes) -> None:
            self.reached.set()
            await self.release.wait()
            await answer("200 OK", b"answer", STAMP)(writer, request)

        self.is_closing = False
        self.upstream = ScriptedUpstream([respond_when_released])
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        self.case = PathCase(route(timeout=30.0), [self.upstream], TIMEOUT_SECONDS)
        self.addCleanup(self.case.pool.close)
        self.listener = CallerListener(
            "127.0.0.1:0",
            self.case.dispatcher,
            PlatformRequests(),
            Metrics(),
            lambda: self.is_closing,
            self.fail,
        )
        self.listener.open()
        self.addAsyncCleanup(self.listener.close)

    def connect(self, receive_buffer_bytes: int | None = None) -> socket.socket:
        """Return a socket whose connection the kernel has established for the listener."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        if receive_buffer_bytes is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        caller.connect(self.listener.bound_address)
        caller.setblocking(False)
        return caller

    async def connect_and_begin(self, receive_buffer_bytes: int | None = None) -> socket.socket:
        """Return a socket from which the listener has begun to read."""
        caller = self.connect(receive_buffer_bytes)
        opened = len(self.listener._requests_by_connection)
        await until(lambda: len(self.listener._requests_by_connection) > opened)
        return caller

    async def receive(self, caller: socket.socket) -> bytes:
        """Return all bytes that a caller receives until its connection ends."""
        received = b""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            try:
                while part := await asyncio.get_running_loop().sock_recv(caller, READ_BYTES):
                    received += part
            except ConnectionResetError:
                received += b"(reset)"
        return received


class ConnectionCountsTest(ShutdownCase):
    """The counts that the log lines of a shutdown state."""

    # The lines of a shutdown once gave the requests that were being served, and could not show
    # that others had been received.
    async def test_each_phase_is_counted(self) -> None:
        await self.connect_and_begin()
        (await self.connect_and_begin()).send(HEAD[:20])
        (await self.connect_and_begin()).send(HEAD + BODY[:1])
        (await self.connect_and_begin()).send(REQUEST)
        await self.reached.wait()
        await until(lambda: self.listener.connection_counts().partial_bodies == 1)
        (await self.connect_and_begin()).send(REQUEST)
        counts = self.listener.connection_counts()
        self.assertEqual(
            counts,
            ConnectionCounts(
                idle=1,
                unread=1,
                partial_heads=1,
                partial_bodies=1,
                running=1,
                unread_bytes=len(REQUEST),
            ),
        )
        self.release.set()


class StoppingTest(ShutdownCase):
    """Requests at the listener when it is told to stop, as Instance does it."""

    async def stop_listener(self, grace_seconds: float = TIMEOUT_SECONDS) -> None:
        """Stop the listener as an instance does, within a grace time."""
        self.is_closing = True
        self.listener.drain()
        await self.listener.wait_until_drained(now() + grace_seconds)
        await self.listener.close()

    async def stop_and_receive(self, caller: socket.socket, rest: bytes = b"") -> bytes:
        """Stop the listener, send the rest of a request meanwhile, and return what arrives."""
        self.release.set()
        stopping = asyncio.create_task(self.stop_listener())
        await asyncio.sleep(0)
        if rest:
            await asyncio.sleep(REST_DELAY_SECONDS)
            with contextlib.suppress(ConnectionError):
                caller.send(rest)
        received = await self.receive(caller)
        await stopping
        return received

    def assert_served(self, received: bytes) -> None:
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertIn(b"Connection: close", received)
        self.assertTrue(received.endswith(b"answer"), received)

    # A whole request that waits in the kernel was not counted, and was closed once it was read.
    async def test_whole_request_in_the_kernel_is_answered(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        self.assert_served(await self.stop_and_receive(caller))

    # A connection whose head had been read in part was closed as idle.
    async def test_request_with_half_a_head_is_answered(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(HEAD[:40])
        await until(lambda: self.listener.connection_counts().partial_heads == 1)
        self.assert_served(await self.stop_and_receive(caller, HEAD[40:] + BODY))

    # A request whose body was on its way was not counted, and its connection was closed.
    async def test_request_with_half_a_body_is_answered(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(HEAD + BODY[:1])
        await until(lambda: self.listener.connection_counts().partial_bodies == 1)
        self.assert_served(await self.stop_and_receive(caller, BODY[1:]))

    # Connections that nobody had accepted yet were reset with the listening socket.
    async def test_request_on_a_connection_that_is_not_accepted_yet_is_answered(self) -> None:
        caller = self.connect()
        caller.send(REQUEST)
        self.assert_served(await self.stop_and_receive(caller))

    # A caller that has just connected sends its request next; it was closed as idle.
    async def test_request_on_a_new_connection_is_answered(self) -> None:
        caller = await self.connect_and_begin()
        self.assert_served(await self.stop_and_receive(caller, REQUEST))

    async def test_request_on_a_connection_just_accepted_is_answered(self) -> None:
        caller = self.connect()
        self.assert_served(await self.stop_and_receive(caller, REQUEST))

    # The response that was being written announced no close, so the next request may have been
    # sent before its caller knew; it was closed unread.
    async def test_request_behind_a_response_that_announced_no_close_is_answered(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        await self.reached.wait()
        with mock.patch.object(self.listener, "is_closing", lambda: False):
            self.listener.drain()
            caller.send(REQUEST)
            self.release.set()
            await until(lambda: len(self.upstream.requests) == 2)
        received = await self.receive(caller)
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 2)

    # Guards against closing a connection between two requests of a caller that sends one after the
    # other, and was told of no close.
    async def test_request_that_follows_a_response_without_an_announced_close_is_answered(
        self,
    ) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        await self.reached.wait()
        with mock.patch.object(self.listener, "is_closing", lambda: False):
            self.listener.drain()
            self.release.set()
            first = await asyncio.get_running_loop().sock_recv(caller, READ_BYTES)
        self.is_closing = True
        self.assertNotIn(b"Connection: close", first)
        await asyncio.sleep(REST_DELAY_SECONDS)
        caller.send(REQUEST)
        self.assert_served(await self.receive(caller))

    # Guards against running a request that is cut when the grace time ends.
    async def test_request_that_follows_a_response_late_in_a_stop_is_refused(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        await self.reached.wait()
        with (
            mock.patch.object(self.listener, "is_closing", lambda: False),
            mock.patch.object(_caller_listener, "LAST_REQUESTS_SECONDS", 0.0),
        ):
            self.listener.drain()
            self.release.set()
            await asyncio.get_running_loop().sock_recv(caller, READ_BYTES)
        self.is_closing = True
        caller.send(REQUEST)
        received = await self.receive(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(len(self.upstream.requests), 1)

    # A response that announces the close ends its connection: a request behind it is not run, and
    # its bytes do not reset the connection under the response.
    async def test_request_behind_a_response_that_announces_the_close_is_not_run(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        await self.reached.wait()
        caller.send(REQUEST)
        self.assert_served(await self.stop_and_receive(caller))
        self.assertEqual(len(self.upstream.requests), 1)

    # Guards against running a request, which its caller repeats elsewhere, behind a response that
    # announced the close while the load balancer is given time to notice the stop.
    async def test_request_behind_an_announced_close_is_not_run_before_the_drain(self) -> None:
        self.is_closing = True
        self.release.set()
        caller = await self.connect_and_begin()
        caller.send(REQUEST + REQUEST)
        self.assert_served(await self.receive(caller))
        self.assertEqual(len(self.upstream.requests), 1)

    async def test_idle_connection_is_closed_at_once(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        self.release.set()
        await until(lambda: self.listener.connection_counts().idle == 1)
        [stream] = self.listener._server._streams
        stream.idle_since -= _caller_connections.NEXT_REQUEST_SECONDS
        self.listener.drain()
        self.assertTrue((await self.receive(caller)).endswith(b"answer"))

    async def test_response_is_flushed_before_its_connection_is_closed(self) -> None:
        size = 8_000_000
        self.upstream.scripts = [answer("200 OK", b"x" * size, STAMP)]
        caller = await self.connect_and_begin(receive_buffer_bytes=4096)
        caller.send(REQUEST)
        await until(lambda: any(stream.writing() for stream in self.listener._server._streams))
        received = await self.stop_and_receive(caller)
        self.assertTrue(received.endswith(b"\r\n0\r\n\r\n"), len(received))
        self.assertGreater(len(received), size)


class GraceTimeTest(ShutdownCase):
    """What callers get whose requests are not served when the grace time ends."""

    async def end(self, caller: socket.socket) -> bytes:
        """Stop the listener without waiting for requests, and return what a caller receives."""
        self.is_closing = True
        self.listener.drain()
        receiving = asyncio.create_task(self.receive(caller))
        await self.listener.end_requests()
        await self.listener.close()
        return await receiving

    def assert_refused(self, received: bytes, status: int, run: str) -> None:
        self.assertTrue(received.startswith(f"HTTP/1.1 {status} ".encode()), received)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(json.loads(received.split(b"\r\n\r\n", 1)[1])["run"], run)

    # Each of these callers got no answer at all: their connections were closed.
    async def test_unread_request_is_refused_as_not_run(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        self.assert_refused(await self.end(caller), 503, "not-run")
        self.assertEqual(self.upstream.requests, [])

    async def test_half_a_head_is_refused_as_not_run(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(HEAD[:40])
        await until(lambda: self.listener.connection_counts().partial_heads == 1)
        self.assert_refused(await self.end(caller), 503, "not-run")

    async def test_half_a_body_is_refused_as_not_run(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(HEAD + BODY[:1])
        await until(lambda: self.listener.connection_counts().partial_bodies == 1)
        self.assert_refused(await self.end(caller), 503, "not-run")

    async def test_request_that_was_not_sent_yet_is_refused_as_not_run(self) -> None:
        connecting = asyncio.Event()

        async def connect_forever(address: str) -> None:
            connecting.set()
            await asyncio.Event().wait()

        with mock.patch.object(self.case.pool, "_connect", connect_forever):
            caller = await self.connect_and_begin()
            caller.send(REQUEST)
            await connecting.wait()
            self.assert_refused(await self.end(caller), 503, "not-run")

    async def test_request_that_may_have_run_is_answered_so(self) -> None:
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        await self.reached.wait()
        self.assert_refused(await self.end(caller), 502, "unknown")
        self.release.set()

    async def test_response_that_has_begun_is_cut_visibly(self) -> None:
        self.upstream.scripts = [stream(b"x" * 2_000_000, end=False)]
        caller = await self.connect_and_begin()
        caller.send(REQUEST)
        begin = await asyncio.get_running_loop().sock_recv(caller, READ_BYTES)
        received = begin + await self.end(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"))
        self.assertFalse(received.endswith(b"0\r\n\r\n"))


class CloseTest(ShutdownCase):
    """Requests that come between the end of all requests and the close of the listener."""

    # Guards against closing connections on which requests have arrived after all partial ones were
    # refused.
    async def test_requests_that_arrive_last_are_refused_as_not_run(self) -> None:
        parts = (HEAD[:40], HEAD + BODY[:1], REQUEST)
        callers = [await self.connect_and_begin() for _ in parts]
        self.is_closing = True
        await self.listener.end_requests()
        for caller, part in zip(callers, parts, strict=True):
            caller.send(part)
        await self.listener.close()
        for caller in callers:
            received = await self.receive(caller)
            self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertEqual(self.upstream.requests, [])


class StopOrderTest(InstanceCase):
    """What is still there while requests run, when an instance stops."""

    # Requests that were still running lost the parts that a further attempt needs.
    async def test_components_are_stopped_after_the_connections_of_callers(self) -> None:
        instance = await self.start_instance("e0")
        caller = socket.create_connection(instance.caller_address)
        self.addCleanup(caller.close)
        caller.send(HEAD)
        listener = instance._caller_listener
        await until(lambda: listener.in_flight == 1)
        stop = instance._application.stop
        in_flight_at_stop: list[int] = []

        async def record_and_stop() -> None:
            in_flight_at_stop.append(listener.in_flight)
            await stop()

        with mock.patch.object(instance._application, "stop", record_and_stop):
            await instance.stop()
        self.assertEqual(in_flight_at_stop, [0])

    # The request of the incident: it arrived while the event loop of a stopping instance was held
    # up, so that it was unread when the time of notice ended, and no other request was running.
    async def test_request_that_is_unread_at_the_end_of_the_notice_is_answered(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        caller = socket.create_connection(instance.caller_address)
        self.addCleanup(caller.close)
        listener = instance._caller_listener
        await until(lambda: listener.connection_counts().idle == 1)
        drain = listener.drain

        def send_and_drain() -> None:
            caller.send(STREAM_REQUEST)
            drain()

        with (
            mock.patch.object(_stop_bounds, "DRAIN_NOTICE_SECONDS", 0.7),
            mock.patch.object(listener, "drain", send_and_drain),
        ):
            await instance.drain()
            await instance.stop()
        received = b"".join(iter(lambda: caller.recv(READ_BYTES), b""))
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)


class ShutdownLinesTest(InstanceCase):
    """The log lines of a shutdown."""

    async def test_lines_of_a_shutdown_state_the_connections(self) -> None:
        instance = await self.start_instance("e0")
        caller = socket.create_connection(instance.caller_address)
        self.addCleanup(caller.close)
        caller.send(HEAD[:20])
        await until(lambda: instance._caller_listener.connection_counts().partial_heads == 1)
        instance._log_connections("stopping")
        caller.close()
        await until(lambda: instance._caller_listener.connection_counts() == ConnectionCounts())
        await instance.stop()
        [stopping] = self.lines("stopping")
        [stopped] = self.lines("stopped")
        self.assertEqual((stopping["partial_heads"], stopping["in_flight"]), (1, 1))
        self.assertEqual((stopped["partial_heads"], stopped["unread_bytes"]), (0, 0))

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        lines = [json.loads(line) for handler in self.log_handlers for line in handler.lines]
        return [line for line in lines if line["event"] == event]


class LastRequestsTest(unittest.TestCase):
    """The time in a stop until which requests are taken."""

    # Guards against a request that is taken so late that its cut at the end of the grace time has
    # no excuse any more.
    def test_requests_begin_while_their_cut_would_be_excused(self) -> None:
        last = _stop_bounds.DRAIN_NOTICE_SECONDS + _caller_listener.LAST_REQUESTS_SECONDS
        self.assertLess(last, LAST_EXCUSED_SECONDS)


if __name__ == "__main__":
    unittest.main()
