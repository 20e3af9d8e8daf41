"""Steps of an instance's stop that fail, last too long or overlap, while it serves a request."""

import asyncio
import json
import os
import signal
import socket
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from cactuspass._application import Application
from cactuspass.fleet import Instance, _stop_bounds
from tests.fleet_path import RecordingHandler
from tests.test_fleet_instance import InstanceCase, until
from tests.test_fleet_shutdown import BODY, HEAD, READ_BYTES, STREAM_REQUEST, TIMEOUT_SECONDS

NOTICE_SECONDS = 0.7
GRACE_SECONDS = 2.4
STREAM_BODY = BODY
STREAM_HEAD = STREAM_REQUEST.removesuffix(STREAM_BODY)


class StopStepCase(InstanceCase):
    """An instance with a short notice, and callers with plain sockets."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        notice = mock.patch.object(_stop_bounds, "DRAIN_NOTICE_SECONDS", NOTICE_SECONDS)
        notice.start()
        self.addCleanup(notice.stop)

    async def connect(self, instance: Instance) -> socket.socket:
        """Return a caller's socket that an instance has accepted."""
        caller = socket.create_connection(instance.caller_address, TIMEOUT_SECONDS)
        self.addCleanup(caller.close)
        await until(lambda: instance._caller_listener.connection_counts().idle == 1)
        return caller

    async def receive(self, caller: socket.socket) -> bytes:
        """Return all bytes that a caller receives until its connection ends."""
        return await asyncio.to_thread(lambda: b"".join(iter(lambda: caller.recv(READ_BYTES), b"")))

    def events_of(self, handler: RecordingHandler) -> list[str]:
        """Return the events of an instance's log lines."""
        return [json.loads(line)["event"] for line in handler.lines]

    def assert_served(self, received: bytes) -> None:
        self.assertTrue(received.startswith(b"HTTP/1.1 200 OK"), received)
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)


class FailingStepTest(StopStepCase):
    """Steps that raise an error, or never end."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.start_instance("e0")
        await until(lambda: len(self.instance.serving_groups()) == 2)
        self.caller = await self.connect(self.instance)

    async def drain_with(self, step: Callable[[], Awaitable[None]]) -> None:
        """Drain and stop with another step in place of the end of the leases."""
        with mock.patch.object(self.instance._presence, "drain", step):
            self.caller.send(STREAM_REQUEST)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await self.instance.drain()
            await self.instance.stop()

    # An error in it ended the process at once, with all requests that it served.
    async def test_request_is_answered_if_the_leases_cannot_be_ended(self) -> None:
        async def fail() -> None:
            raise ValueError("wrong")

        await self.drain_with(fail)
        self.assert_served(await self.receive(self.caller))

    # A store that does not answer took the time that is kept for running requests.
    async def test_notice_is_not_prolonged_by_a_store_that_does_not_answer(self) -> None:
        async def wait_forever() -> None:
            await asyncio.Event().wait()

        await self.drain_with(wait_forever)
        self.assert_served(await self.receive(self.caller))

    # The error ended the process before it had closed all else and reported its stop.
    async def test_stop_is_completed_if_a_component_cannot_be_stopped(self) -> None:
        self.caller.send(STREAM_REQUEST)
        stop = self.instance._hints.stop
        with mock.patch.object(self.instance._hints, "stop", side_effect=ValueError("wrong")):
            await self.instance.drain()
            await self.instance.stop()
        await stop()
        self.assert_served(await self.receive(self.caller))
        [handler] = self.log_handlers
        self.assertEqual(self.events_of(handler)[-2:], ["stop-failed", "stopped"])

    # A caller that had connected to an instance whose start failed was reset.
    async def test_callers_cannot_connect_before_the_components_have_started(self) -> None:
        instance = self.build_instance("e1")
        listening: list[bool] = []

        async def fail(application: Application) -> None:
            listening.append(instance.caller_address != ("", 0))
            raise ValueError("wrong")

        with mock.patch.object(Application, "start", fail), self.assertRaises(ValueError):
            await instance.start()
        await instance.stop()
        self.assertEqual(listening, [False])


class SignalCase(StopStepCase):
    """An instance whose process, that of the test, gets signals."""

    async def run_instance(self) -> asyncio.Task[None]:
        """Run an instance as its process does, once its signals are handled."""
        self.instance = self.build_instance("e0")
        running = asyncio.create_task(self.instance.run())
        await until(lambda: signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(asyncio.get_running_loop().remove_signal_handler, number)
        return running

    async def run_until_serving(self) -> asyncio.Task[None]:
        """Run an instance until it can serve requests."""
        running = await self.run_instance()
        await until(lambda: len(self.instance.serving_groups()) == 2)
        return running


class SignalTest(SignalCase):
    """Signals to the process of an instance."""

    async def finish_request(self, caller: socket.socket, running: asyncio.Task[None]) -> None:
        """Send the rest of a request after the notice; check that it is served before the end."""
        [handler] = self.log_handlers
        await until(lambda: "callers-draining" in self.events_of(handler))
        caller.send(STREAM_BODY)
        self.assert_served(await self.receive(caller))
        await running
        self.assertEqual(self.events_of(handler).count("stopped"), 1)

    # A further signal must not shorten or repeat the stop.
    async def test_request_is_answered_if_the_stop_signal_is_repeated(self) -> None:
        running = await self.run_until_serving()
        caller = await self.connect(self.instance)
        caller.send(STREAM_HEAD)
        [handler] = self.log_handlers
        for event in ("stopping", "callers-draining"):
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda event=event: event in self.events_of(handler))
        os.kill(os.getpid(), signal.SIGINT)
        await self.finish_request(caller, running)

    # The settings are read in the process that stops, also if they are invalid by then.
    async def test_request_is_answered_if_the_settings_change_at_the_stop(self) -> None:
        running = await self.run_until_serving()
        self.instance._settings_path = os.devnull
        caller = await self.connect(self.instance)
        caller.send(STREAM_HEAD)
        [handler] = self.log_handlers
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        await until(lambda: "callers-draining" in self.events_of(handler))
        os.kill(os.getpid(), signal.SIGHUP)
        await self.finish_request(caller, running)
        self.assertEqual(self.events_of(handler).count("settings-unreadable"), 2)

    # The signal came before the stop was awaited; a caller may be connected already.
    async def test_request_is_answered_if_the_stop_signal_comes_during_the_start(self) -> None:
        starting = asyncio.Event()
        may_start = asyncio.Event()
        start = Application.start

        async def start_later(application: Application) -> None:
            starting.set()
            await may_start.wait()
            await start(application)

        with mock.patch.object(Application, "start", start_later):
            running = await self.run_instance()
            await starting.wait()
            os.kill(os.getpid(), signal.SIGTERM)
            may_start.set()
            await until(lambda: bool(self.instance.caller_address[1]))
            caller = await self.connect(self.instance)
            caller.send(STREAM_HEAD + STREAM_BODY)
            received = await self.receive(caller)
            await running
        self.assertRegex(received, rb"^HTTP/1.1 (200|503) ")


class ShortGraceTest(InstanceCase):
    """A deployment that allows an instance less time than the usual notice."""

    # The notice alone outlasted the grace time, at whose end the process is killed.
    async def test_stop_ends_within_a_grace_time_that_is_shorter_than_the_notice(self) -> None:
        instance = await self.start_instance("e0")
        bounds = instance._settings.bounds.model_copy(update={"grace_seconds": GRACE_SECONDS})
        instance._settings = instance._settings.model_copy(update={"bounds": bounds})
        caller = socket.create_connection(instance.caller_address, TIMEOUT_SECONDS)
        self.addCleanup(caller.close)
        caller.send(HEAD)
        await until(lambda: instance._caller_listener.connection_counts().partial_bodies == 1)
        async with asyncio.timeout(GRACE_SECONDS):
            await instance.drain()
        self.assertTrue(caller.recv(READ_BYTES).startswith(b"HTTP/1.1 503 "))


if __name__ == "__main__":
    unittest.main()
