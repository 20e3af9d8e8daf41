"""Requests that are on their way when an entry stops, at its listeners for callers and operators.

Guards against requests that end without an answer because the shutdown does not wait for them, as
on the incident page request-lost-at-shutdown, here on the path of the entry daemon.
"""

import asyncio
import json
import os
import signal
import socket
import time
import unittest
from typing import Any
from unittest import mock

from cactuspass import _caller_connections, _entry, daemon
from cactuspass._application import Application
from cactuspass._byte_queue import ByteQueue
from cactuspass._caller_requests import RequestDefaults, RequestReader
from cactuspass._callers import CallerServer, CallerSettings
from cactuspass._clock import now
from cactuspass._entry import Entry
from cactuspass._entry_callers import EntryCallers
from cactuspass._messages import RefusalReason
from cactuspass._operator_api import CommandAnswer, OperatorApi
from cactuspass._operators import OperatorServer
from cactuspass.exceptions import RequestRefused
from cactuspass.models import CustomerId
from tests.test_callers import FakeCallerApi
from tests.test_fleet_instance import until

BODY = b'{"model": "assistant", "prompt": "x"}'
HEAD = (
    "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
).encode()
COMMAND_BODY = b'{"command": "recommit configuration"}'
COMMAND = (
    "POST /v1/do HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer token\r\n"
    f"Content-Length: {len(COMMAND_BODY)}\r\n\r\n"
).encode() + COMMAND_BODY
READ_BYTES = 65_536
TIMEOUT_SECONDS = 5.0
HOLD_SECONDS = 0.6
REST_DELAY_SECONDS = 0.1


def connect(test: unittest.TestCase, port: int) -> socket.socket:
    """Return a connected socket that is closed after the test."""
    caller = socket.create_connection(("127.0.0.1", port))
    test.addCleanup(caller.close)
    caller.setblocking(False)
    return caller


async def receive(caller: socket.socket) -> bytes:
    """Return all bytes that a caller receives until its connection ends."""
    received = b""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        try:
            while part := await asyncio.get_running_loop().sock_recv(caller, READ_BYTES):
                received += part
        except ConnectionResetError:
            received += b"(reset)"
    return received


class CallersTest(unittest.IsolatedAsyncioTestCase):
    """Requests that the listener for callers has received, at least in part."""

    async def asyncSetUp(self) -> None:
        self.api = FakeCallerApi()
        self.api.queue.put_nowait(b"data: 1\n\n")
        self.api.queue.finish()
        settings = CallerSettings(
            "127.0.0.1:0", {"key": CustomerId("library")}, body_bytes=2000, header_bytes=4000
        )
        self.server = CallerServer(settings, self.api, RequestReader(RequestDefaults(), float, {}))
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def open(self) -> socket.socket:
        """Return a caller's connection that the listener has accepted."""
        assert self.server._server is not None
        opened = len(self.server._server._connections)
        caller = connect(self, self.server.port)
        await until(lambda: len(self.server._server._connections) > opened)  # type: ignore[union-attr]
        return caller

    async def stop_and_receive(self, caller: socket.socket, rest: bytes = b"") -> bytes:
        """Stop the listener as an entry does, send the rest of a request, and return the answer."""

        async def stop() -> None:
            await self.server.drain()
            await self.server.stop()

        stopping = asyncio.create_task(stop())
        await asyncio.sleep(REST_DELAY_SECONDS if rest else 0)
        if rest:
            caller.send(rest)
        received = await receive(caller)
        await stopping
        return received

    def assert_served(self, received: bytes) -> None:
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertIn(b"data: 1\n\n", received)
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)

    async def test_whole_request_in_the_kernel_is_answered(self) -> None:
        caller = await self.open()
        caller.send(HEAD + BODY)
        self.assert_served(await self.stop_and_receive(caller))

    async def test_request_with_half_a_head_is_answered(self) -> None:
        caller = await self.open()
        caller.send(HEAD[:40])
        await asyncio.sleep(REST_DELAY_SECONDS)
        self.assert_served(await self.stop_and_receive(caller, HEAD[40:] + BODY))

    async def test_request_with_half_a_body_is_answered(self) -> None:
        caller = await self.open()
        caller.send(HEAD + BODY[:5])
        await asyncio.sleep(REST_DELAY_SECONDS)
        self.assert_served(await self.stop_and_receive(caller, BODY[5:]))

    async def test_request_on_a_connection_that_is_not_accepted_yet_is_answered(self) -> None:
        caller = connect(self, self.server.port)
        caller.send(HEAD + BODY)
        self.assert_served(await self.stop_and_receive(caller))

    # A caller that never sends the rest must not hold up a shutdown for the whole drain time.
    async def test_request_that_does_not_arrive_is_refused_as_not_run(self) -> None:
        caller = await self.open()
        caller.send(HEAD + BODY[:5])
        await asyncio.sleep(REST_DELAY_SECONDS)
        with mock.patch.object(_caller_connections, "PARTIAL_REQUEST_SECONDS", 0.2):
            received = await self.stop_and_receive(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"Connection: close", received)
        self.assertEqual(json.loads(received.split(b"\r\n\r\n", 1)[1])["run"], "not-run")
        self.assertEqual(self.api.requests, [])

    # Guards against a process that never ends, since it listens as long as requests overlap.
    async def test_listening_stops_while_requests_run(self) -> None:
        self.api.queue = ByteQueue(1000)
        self.api.queue.put_nowait(b"data: 1\n\n")
        caller = await self.open()
        caller.send(HEAD + BODY)
        await until(lambda: len(self.api.requests) == 1)
        with mock.patch.object(_caller_connections, "MAX_ACCEPT_SECONDS", 0.1):
            draining = asyncio.create_task(self.server.drain())
            await asyncio.sleep(5 * REST_DELAY_SECONDS)
            with self.assertRaises(ConnectionRefusedError):
                connect(self, self.server.port)
            self.api.queue.finish()
            self.assert_served(await receive(caller))
            await draining

    # Guards against closing the connections of requests that outlast the drain time unanswered.
    async def test_request_that_runs_at_the_end_of_the_drain_time_is_answered(self) -> None:
        serving = asyncio.Event()

        async def serve_forever(*args: Any) -> Any:
            serving.set()
            await asyncio.Event().wait()

        self.api.serve = serve_forever  # type: ignore[method-assign]
        caller = await self.open()
        caller.send(HEAD + BODY)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await serving.wait()
        await self.server.stop()
        received = await receive(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "), received)
        self.assertEqual(json.loads(received.split(b"\r\n\r\n", 1)[1])["run"], "unknown")

    # Guards against a cut answer that looks complete.
    async def test_answer_that_has_begun_is_cut_visibly_at_the_end_of_the_drain_time(self) -> None:
        self.api.queue = ByteQueue(1000)
        self.api.queue.put_nowait(b"data: 1\n\n")
        caller = await self.open()
        caller.send(HEAD + BODY)
        begin = await asyncio.get_running_loop().sock_recv(caller, READ_BYTES)
        await self.server.stop()
        received = begin + await receive(caller)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"), received)


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    """The listener for operators."""

    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.reached = asyncio.Event()

        async def order(*args: Any) -> CommandAnswer:
            self.reached.set()
            await self.release.wait()
            return mock.Mock()

        self.api = mock.Mock(spec=OperatorApi)
        self.api.order = order
        self.server = OperatorServer("127.0.0.1:0", "token", self.api)
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)

    # An operator did not learn whether a command that ran at the shutdown was carried out.
    async def test_command_that_runs_at_the_shutdown_is_answered(self) -> None:
        caller = connect(self, self.server.port)
        caller.send(COMMAND)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.reached.wait()
        with mock.patch("cactuspass._operators.asdict", lambda answer: {"done": True}):
            stopping = asyncio.create_task(self.stop())
            await asyncio.sleep(REST_DELAY_SECONDS)
            self.release.set()
            received = await receive(caller)
            await stopping
        self.assertTrue(received.endswith(b'{"done": true}'), received)

    async def stop(self) -> None:
        """Stop the listener as an entry does."""
        await self.server.drain()
        await self.server.stop()


class LateRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests that come late in the drain time of an entry."""

    # Guards against a booking that is taken late in a stop and answered 502 when it ends.
    async def test_request_that_may_outlast_the_drain_time_is_refused(self) -> None:
        gateway = mock.Mock(serve=mock.AsyncMock())
        callers = EntryCallers(gateway, mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock())
        request = mock.Mock(deadline=100.0)
        await callers.serve(request, None)
        callers.begin_stop(99.0)
        with self.assertRaises(RequestRefused) as refused:
            await callers.serve(request, None)
        self.assertIs(refused.exception.reason, RefusalReason.DRAINING)
        self.assertEqual(gateway.serve.await_count, 1)
        request.deadline = 98.0
        await callers.serve(request, None)
        self.assertEqual(gateway.serve.await_count, 2)


class DrainTimeTest(unittest.IsolatedAsyncioTestCase):
    """The longest time that an entry waits for running requests."""

    def build_entry(self, running_requests: int) -> Entry:
        """Return an entry without components, whose drain time is 0.1 s."""
        entry = Entry.__new__(Entry)
        entry.tables = mock.Mock()
        entry.network = mock.Mock()
        entry.settings = mock.Mock(limits=mock.Mock(drain_seconds=0.1))
        entry.gateway = mock.Mock(running_requests=running_requests)
        entry._caller_api = mock.Mock()
        entry._log = mock.Mock()
        entry._application = Application(())
        return entry

    # Guards against a request that keeps the process from ending after ``drain_seconds``.
    async def test_request_that_does_not_end_is_abandoned_after_the_drain_time(self) -> None:
        entry = self.build_entry(running_requests=1)
        with mock.patch.object(_entry, "DRAIN_NOTICE_DELAY_SECONDS", 0.0):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await entry.drain()

    # Guards against the fault that the time of a stop counts from the handling of its signal, so
    # that the process still serves when its supervisor ends it.
    async def test_drain_time_counts_from_the_signal_though_the_event_loop_was_held(self) -> None:
        entry = self.build_entry(running_requests=0)
        entry.start = mock.AsyncMock()  # type: ignore[method-assign]
        entry.stop = mock.AsyncMock()  # type: ignore[method-assign]
        with (
            mock.patch.object(_entry, "DRAIN_NOTICE_DELAY_SECONDS", 0.0),
            mock.patch.object(daemon, "Entry", return_value=entry),
        ):
            running = asyncio.create_task(daemon.run_entry(mock.Mock(), mock.Mock()))
            await asyncio.sleep(0.05)
            signalled_at = now()
            os.kill(os.getpid(), signal.SIGTERM)
            time.sleep(HOLD_SECONDS)
            await running
        [ends_at] = entry._caller_api.begin_stop.call_args.args  # type: ignore[attr-defined]
        self.assertAlmostEqual(ends_at, signalled_at + 0.1, delta=HOLD_SECONDS / 2)


if __name__ == "__main__":
    unittest.main()
