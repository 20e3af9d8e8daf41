"""Stand-ins for the cases of this review: the metadata store, plain servers and callers.

Everything listens on 127.0.0.1 and on free ports. The instances are the project's own program, as
separate processes with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOCAL = "127.0.0.1"
BEAT_SECONDS = 1.2

Json = dict[str, Any]


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as opened:
        opened.bind((LOCAL, 0))
        return int(opened.getsockname()[1])


class Record:
    """The lines of ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.line("trouble" if TROUBLE else "no trouble")

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


class Message:
    """A request or a response of HTTP/1.1."""

    def __init__(self, first: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        """Return the value of a header."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), None)

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return Message(first, [(name, value.strip()) for name, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Read the body that a head declares."""
    if (head.get("Transfer-Encoding") or "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    length = head.get("Content-Length")
    return await reader.readexactly(int(length)) if length else b""


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a message with a length as bytes."""
    lines = [first, *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: keys, revisions, leases and watches."""

    def __init__(self) -> None:
        self.items: dict[str, Json] = {}
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.era: int | None = None
        self.log: list[Json] = []
        self.changed = asyncio.Condition()
        self.address = ""
        self.refuses: Callable[[str, str], bool] = lambda method, path: False
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, and end leases when they are due."""
        server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self._tasks.add(asyncio.create_task(self._end_leases()))

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            at = time.monotonic()
            for lease in [i for i, (until, _) in self.leases.items() if until < at]:
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        await self._note(item)
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._note({"key": key, "revision": self.revision, "deleted": True})

    async def _note(self, change: Json) -> None:
        self.log.append(change)
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.first.split(" ")
                body = await read_body(reader, head)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                if self.refuses(method, parts.path):
                    status, found = 503, None
                else:
                    await asyncio.sleep(0.004)
                    status, found = await self._answer(method, parts.path, query, body)
                headers = [("Content-Type", "application/json")]
                if self.era is not None:
                    headers.append(("Store-Era", str(self.era)))
                content = json.dumps(found).encode() if found is not None else b""
                writer.write(encode(f"HTTP/1.1 {status} X", headers, content))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Json | None]:
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "store_revision": self.revision})
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "has_more": more, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._write(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttl_ms"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": int(ttl)}
        await self.end_lease(number)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Json | None]:
        prefix, after = query["prefix"], int(query["after"])

        def found() -> list[Json]:
            return [
                c for c in self.log if c["revision"] > after and c["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(lambda: bool(found()))
        except TimeoutError:
            pass
        return 200, {"events": found(), "store_revision": self.revision}

    async def _write(self, call: Json) -> tuple[int, Json | None]:
        rows = call.get("precondition") or []
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((current[r["key"]] or {"revision": 0})["revision"] != r["revision"] for r in rows):
            return 412, {"items": [item for item in current.values() if item]}
        writes = call.get("writes") or []
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            await self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("deletes") or []:
            await self.delete(key)
        return 200, {"revision": self.revision}


class PlainServer:
    """A server of a plain service; it registers itself and repeats its entry.

    :ivar ran: ids of the requests that it began to run, in order.
    """

    def __init__(
        self, name: str, store: Store, record: Record, service: str = "lending-app",
        zone: str = "fukuoka", slots: int = 6, work: float = 0.06,
    ) -> None:
        self.name, self.store, self.record = name, store, record
        self.service, self.zone, self.slots, self.work = service, zone, slots, work
        self.ran: list[str] = []
        self.answered = 0
        self.running = 0
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        await self.register()
        self._beat = asyncio.create_task(self._keep_registered())

    async def _keep_registered(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await self.register()

    async def register(self) -> None:
        """Write the entry."""
        self.beats += 1
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_ms": 0, "seq": self.beats,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel: Json = {}
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self.handle(head, body, writer, channel)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(
        self, head: Message, body: bytes, writer: asyncio.StreamWriter, channel: Json
    ) -> None:
        """Answer one request."""
        request_id = head.get("Cactuspass-Request-Id") or ""
        expected = head.get("Cactuspass-Expect-Instance")
        if expected is not None and expected != self.name:
            writer.write(encode("HTTP/1.1 421 X", [("Cactuspass-Instance", self.name)]))
            return
        if head.first.split(" ")[1] == "/health":
            writer.write(encode("HTTP/1.1 200 OK", [("Cactuspass-Instance", self.name)]))
            return
        if self.running >= self.slots:
            writer.write(self.rejection(request_id))
            return
        await self.run(request_id, writer)

    def rejection(self, request_id: str) -> bytes:
        """Return the answer of a server that is full."""
        headers = [("Cactuspass-Request-Id", request_id), ("Cactuspass-Not-Run", "1")]
        return encode("HTTP/1.1 503 Service Unavailable", headers)

    async def run(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        self.ran.append(request_id)
        self.record.line(f"server {self.name} runs {request_id}")
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        self.answered += 1
        headers = [
            ("Cactuspass-Request-Id", request_id),
            ("Cactuspass-Server-Stamp", f"{self.name}.{request_id}"),
        ]
        writer.write(encode("HTTP/1.1 200 OK", headers, f"body of {request_id}".encode()))


class Answer:
    """What a caller got: a status and a body, or None if the channel was closed."""

    def __init__(self, status: int | None, head: Message | None, body: bytes) -> None:
        self.status, self.head, self.body = status, head, body


class Caller:
    """A caller with one kept channel at a time."""

    def __init__(self, address: str, key: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.key = key
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, request_id: str, deadline_ms: int,
        host: str = "desk.example", body: bytes = b"", key: str | None = None,
        headers: tuple[tuple[str, str], ...] = (), patience: float = 1.0,
    ) -> Answer:
        """Send a request and return the answer.

        :param patience: seconds after the deadline in which an answer is still waited for.
        """
        try:
            async with asyncio.timeout(deadline_ms / 1000 + patience):
                if self._channel is None:
                    self._channel = await asyncio.open_connection(self.host, self.port)
                reader, writer = self._channel
                fields = [
                    ("Host", host), ("Cactuspass-Request-Id", request_id),
                    ("Cactuspass-Deadline-Ms", str(deadline_ms)),
                    ("Api-Key", key or self.key), *headers,
                ]
                writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
                head = await read_head(reader)
                if head is None:
                    self.close()
                    return Answer(None, None, b"")
                content = await read_body(reader, head)
                if (head.get("Connection") or "").lower() == "close":
                    self.close()
                return Answer(head.status, head, content)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return Answer(None, None, b"")

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None


SETTINGS = """[instance]
name = "{name}"
data_centre = "{zone}"
data_centres = ["fukuoka","kumamoto","kagoshima"]

[listeners]
callers = "{callers}"
readiness = "{readiness}"
metrics = "{metrics}"
peers = "{peers}"

[store]
address = "{store}"

[bounds]
key_seconds = 5000e-3
propagation_seconds = 2000e-3
retry_ratio = 0.2
retry_slack = 130
retry_window = 10
cold_factor = 1.5
cold_slack = 5
grace_seconds = 8

[machine]
memory_megabytes = 300
descriptors = 4200

[load_exchange]
min_instances = 24
"""


class InstanceProcess:
    """One instance, as its own process."""

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        ports = [free_port() for _ in range(4)]
        self.name = name
        self.callers, self.readiness, self.metrics, self.peers = (f"{LOCAL}:{p}" for p in ports)
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name, zone=zone, callers=self.callers, readiness=self.readiness,
                metrics=self.metrics, peers=self.peers, store=store,
            )
        )
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C.UTF-8",
            "CACTUSPASS_SETTINGS": str(self._settings), "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3", "src/cactuspass_on_platform.py", cwd=ROOT, env=env,
            stdout=open(self._log, "ab"), stderr=asyncio.subprocess.STDOUT,  # noqa: SIM115
        )

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers 200."""
        host, _, port = self.readiness.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.status == 200
        except (OSError, TimeoutError):
            return False

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class NotReady(Exception):
    """The stand-ins or the instances did not start."""


async def wait_ready(instances: list[InstanceProcess], seconds: float = 20.0) -> None:
    """Wait until all instances are ready.

    :raises NotReady: if they are not in time.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await i.is_ready() for i in instances]):
            return
        await asyncio.sleep(0.1)
    raise NotReady("the instances were not ready in time")


def run_case(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: returns whether the rule was broken.
    """
    record = Record(folder)
    code = 2
    try:
        with tempfile.TemporaryDirectory() as scratch:
            broken = asyncio.run(asyncio.wait_for(case(record, Path(scratch)), 115))
            code = 1 if broken else 0
    except Exception as error:  # the exit status tells what happened
        record.line(f"could not run: {type(error).__name__}: {error}")
    record.line(f"exit {code}")
    sys.exit(code)
