"""Base class of tests that run one instance in a process of its own, beside stand-ins."""

import asyncio
import json
import os
import tempfile
import unittest
import urllib.request
from pathlib import Path
from typing import Any, ClassVar
from unittest import mock

from tornado.web import RequestHandler

from tests.metadata_store import MetadataStoreStandIn
from tests.model_servers import ModelServerStandIn
from trial.fleet import pick_free_address
from trial.processes import Child

PROGRAM = Path(__file__).resolve().parent.parent / "src" / "cactuspass_on_platform.py"
READY_SECONDS = 30.0
ANSWER_SECONDS = 30.0
RETRY_SECONDS = 0.1
ANSWER_BYTES = 900_000
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "plain",
            "host": "a.example",
            "prefix": "/p/",
            "kind": "idempotent",
            "timeout_ms": 30_000,
            "goal_ms": 30_000,
            "service": "app",
        }
    ],
    "services": [{"name": "app"}],
    "tenants": [{"name": "t1", "api_keys": ["key-1"]}],
}
HEAD = (
    b"POST /p/%s HTTP/1.1\r\nHost: a.example\r\nCactuspass-Request-Id: q1\r\n"
    b"Cactuspass-Deadline-Ms: 30000\r\nApi-Key: key-1\r\n"
)


class PlainHandler(RequestHandler):
    """Answers with the length of the body, or with a long answer at ``/p/long``."""

    def initialize(self, server: ModelServerStandIn) -> None:
        """Store the server that the handler belongs to."""
        self.server = server

    def post(self) -> None:
        """Answer a request."""
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        self.set_header("Cactuspass-Request-Id", self.request.headers["Cactuspass-Request-Id"])
        is_long = self.request.path.endswith("/long")
        self.write(b"x" * ANSWER_BYTES if is_long else b"%d" % len(self.request.body))


class PlainServerStandIn(ModelServerStandIn):
    """A server without groups."""

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler class for callers' requests."""
        return PlainHandler


class ProcessMemory:
    """Memory and descriptors of a process."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")

    def peak_bytes(self) -> int:
        """Return the peak resident memory since the start of the process."""
        status = (self._folder / "status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self._folder / "fd").iterdir()))


class InstanceProcessCase(unittest.IsolatedAsyncioTestCase):
    """One instance as a process; the store, a server and the callers are in this process."""

    machine: ClassVar[str] = ""
    limits: ClassVar[dict[str, Any]] = {}

    async def asyncSetUp(self) -> None:
        self.store = MetadataStoreStandIn()
        self.store.start()
        self.addCleanup(self.store.stop)
        await self.store.put("op/config", {**MANIFEST, "limits": self.limits})
        self.server = PlainServerStandIn("s-0", self.store, "app")
        await self.server.start([])
        self.addCleanup(self.server.stop)
        folder = tempfile.TemporaryDirectory(prefix="cactuspass-")
        self.addCleanup(folder.cleanup)
        self.callers, self.readiness, self.metrics = (pick_free_address() for _ in range(3))
        settings = Path(folder.name) / "settings.toml"
        settings.write_text(
            f'[instance]\nname = "e0"\ndata_centre = "here"\n'
            f'[listeners]\ncallers = "{self.callers}"\nreadiness = "{self.readiness}"\n'
            f'metrics = "{self.metrics}"\n[store]\naddress = "{self.store.address}"\n'
            f"{self.machine}",
            encoding="utf-8",
        )
        with mock.patch.dict(os.environ, CACTUSPASS_SETTINGS=str(settings)):
            self.child = Child("e0", [str(PROGRAM)], Path(folder.name) / "log")
        self.addCleanup(self.child.kill)
        self.memory = ProcessMemory(self.child.pid)
        await self.wait_until_answered()

    async def request(self, body: bytes = b"hello", target: bytes = b"x") -> tuple[int, bytes]:
        """Send a whole request; return the status and the body, or status 0 without an answer."""
        host, _, port = self.callers.rpartition(":")
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = HEAD % target + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
                writer.write(head % len(body) + body)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        head, _, found = answer.partition(b"\r\n\r\n")
        return (int(head.split()[1]), found) if found else (0, b"")

    async def wait_until_answered(self, body: bytes = b"hello") -> None:
        """Wait until a request is served; one that is refused is repeated."""
        last: tuple[int, bytes] = (0, b"")
        try:
            async with asyncio.timeout(READY_SECONDS):
                while (last := await self.request(body)) != (200, b"%d" % len(body)):
                    await asyncio.sleep(RETRY_SECONDS)
        except TimeoutError:
            self.fail(f"no request is served; last answer {last}")

    def read_metrics(self) -> list[str]:
        """Return the lines of the metrics page."""
        with urllib.request.urlopen(f"http://{self.metrics}/metrics") as answer:
            return str(answer.read(), "utf-8").splitlines()

    def logged(self) -> list[dict[str, Any]]:
        """Return the decision lines so far, after ending the process."""
        self.child.terminate()
        stdout = self.child._process.stdout
        assert stdout is not None
        return [json.loads(line) for line in stdout]
