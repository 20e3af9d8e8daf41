"""Instances of the project as processes, servers and requesters as stand-ins, and the record."""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from http_server import HttpServer, Request, Response
from store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
STAMP = "Cactuspass-Server-Stamp"
REQUEST_ID = "cactuspass-request-id"
BEAT_SECONDS = 1.2
ZONES = ("zone-a", "zone-b", "zone-c")
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bounds of the small sites, as the platform fills them into the template.
SETTINGS = """[instance]
name = "{name}"
data_centre = "{zone}"
data_centres = ["zone-a", "zone-b", "zone-c"]

[listeners]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{ready}"
metrics = "127.0.0.1:{metrics}"
peers = "127.0.0.1:{peers}"

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
"""


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Instance:
    """One instance in its own process, started by the command of the deploy file."""

    def __init__(self, name: str, zone: str, folder: Path, store_address: str) -> None:
        ports = free_ports(4)
        self.name, self.port, self.ready_port = name, ports[0], ports[1]
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                callers=ports[0],
                ready=ports[1],
                metrics=ports[2],
                peers=ports[3],
                store=store_address,
            ),
            encoding="utf-8",
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CACTUSPASS_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "src/cactuspass_on_platform.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness page answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def peak_memory_kb(self) -> int:
        """Return the peak resident memory of the process in KB; 0 when it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return next(int(line.split()[1]) for line in status.splitlines() if "VmHWM" in line)

    def copy_log(self, target: Path) -> None:
        """Copy the log of the process to a file."""
        shutil.copyfile(self._log, target)


class Server:
    """A server of a plain service: registers itself, and answers each request as a sound one."""

    def __init__(self, server_id: str, service: str, zone: str, store: Store, record: Record) -> None:
        self.server_id, self.service, self.zone = server_id, service, zone
        self.slots = 8
        self.work_seconds = 0.02
        self.run_ids: list[str] = []
        self._store, self._record = store, record
        self._running = 0
        self._beats = 0
        self._born = int(time.time() * 1000)
        self._http = HttpServer(self.answer)
        self.address = ""

    async def start(self) -> None:
        """Listen, register and send heartbeats."""
        self.address = await self._http.start()
        await self.register()
        self._beating = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Stop listening."""
        self._beating.cancel()
        self._http.stop()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await self.register()

    async def register(self) -> None:
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_ms": 0,
            "seq": self._beats,
            "born": self._born,
        }
        await self._store.put(f"servers/{self.server_id}", entry)

    async def answer(self, request: Request) -> Response | None:
        """Run a request, or state that it has not run."""
        request_id = request.headers.get(REQUEST_ID, "")
        expected = request.headers.get("cactuspass-expect-instance", self.server_id)
        if expected != self.server_id:
            return Response(421, b"", [("Cactuspass-Not-Run", "1")])
        if request.target.startswith("/health"):
            return Response(200, b"ok", [("Cactuspass-Instance", self.server_id)])
        if not request_id:
            return Response(400, b"", [("Cactuspass-Not-Run", "1")])
        self.run_ids.append(request_id)
        self._record.write(f"run {request_id} at {self.server_id}")
        self._running += 1
        try:
            return await self.run(request, request_id)
        finally:
            self._running -= 1

    async def run(self, request: Request, request_id: str) -> Response | None:
        """Work on a request and return its answer."""
        await asyncio.sleep(self.work_seconds)
        return Response(200, b'{"done":true}', self.headers(request_id))

    def headers(self, request_id: str) -> list[tuple[str, str]]:
        """Return the headers that every answer has."""
        return [
            ("Content-Type", "application/json"),
            ("Cactuspass-Request-Id", request_id),
            (STAMP, f"{self.server_id}.{request_id}"),
            ("Cactuspass-Server-Load", f"{self._running},0,{self.slots}"),
        ]


@dataclass
class Answer:
    """What a requester got for one request.

    :param status: None if no answer, or only a part of one, arrived.
    :param seconds: time from the last byte of the request to the end of the answer, or until the
        requester gave up.
    """

    request_id: str
    sent_at: float
    seconds: float
    status: int | None
    detail: str = ""
    body: bytes = b""


class Requester:
    """Sends requests to one instance, one after the other, on a connection that it keeps."""

    def __init__(self, name: str, port: int, record: Record, key: str = "key-one") -> None:
        self._name, self._port, self._record, self._key = name, port, record, key
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._count = 0

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def send(
        self, method: str, path: str, limit_ms: int, body: bytes = b"{}", tag: str = ""
    ) -> Answer:
        """Send one request and wait for its answer, for as long as it may last."""
        self._count += 1
        request_id = f"{self._name}{tag}-{self._count}"
        sent_at, status, detail, content = self._record.now(), None, "", b""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                status, content, closes = await self._exchange(
                    method, path, limit_ms, body, request_id
                )
            if closes:
                self.close()
        except TimeoutError:
            detail = "gave up"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            detail = f"channel ended: {type(error).__name__}"
            self.close()
        seconds = self._record.now() - sent_at
        self._record.write(
            f"{'answer' if status else 'no answer'} {request_id} to {self._port} sent at "
            f"{sent_at:.3f} after {seconds:.3f} s: {status or detail}"
        )
        return Answer(request_id, sent_at, seconds, status, detail, content)

    async def _exchange(
        self, method: str, path: str, limit_ms: int, body: bytes, request_id: str
    ) -> tuple[int, bytes, bool]:
        if self._connection is None:
            self._connection = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._connection
        content = b"" if method == "GET" else body
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: a.example",
            f"Api-Key: {self._key}",
            f"Cactuspass-Request-Id: {request_id}",
            f"Cactuspass-Deadline-Ms: {limit_ms}",
        ]
        if method != "GET":
            lines.append(f"Content-Length: {len(content)}")
        self._record.write(f"send {request_id} {method} {path} to {self._port}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        return await read_response(reader)


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return the status, the body, and whether the connection ends with the response."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    closes = headers.get("connection", "").lower() == "close"
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readexactly(2)
        return status, b"".join(parts), closes
    return status, await reader.readexactly(int(headers.get("content-length", "0"))), closes


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(("127.0.0.1", 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


class System:
    """The store, the instances and the servers of one case."""

    def __init__(self, folder: Path, manifest: dict) -> None:
        self.folder = folder
        self.manifest = manifest
        self.record = Record(folder)
        self.store = Store()
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, instance_count: int, servers: list[Server]) -> bool:
        """Start all parts; return whether every instance has become ready."""
        await self.store.start()
        await self.store.put("op/config", self.manifest)
        self.servers = servers
        for server in servers:
            await server.start()
        for number in range(instance_count):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number}"
            instance = Instance(name, zone, self.temporary, self.store.address)
            self.instances.append(instance)
            await instance.start()
        for _ in range(60):
            await asyncio.sleep(0.5)
            if all([await instance.is_ready() for instance in self.instances]):
                self.record.write("all instances are ready")
                return True
        return False

    async def stop(self) -> None:
        """End everything that was started."""
        for instance in self.instances:
            await instance.end()
            if os.environ.get("KEEP_LOGS"):
                instance.copy_log(self.folder / f"{instance.name}.log")
        for server in self.servers:
            server.stop()
        self.store.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)


def route(name: str, kind: str, service: str, timeout_ms: int, **fields: object) -> dict:
    """Return a route of the manifest, whose requests have the path ``/NAME/``."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 400,
        "attempts": 1,
        "priority": 2,
        "service": service,
        **fields,
    }


def manifest(routes: list[dict], services: list[str]) -> dict:
    """Return a manifest with plain services and one tenant."""
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 96, "cold_per_s": 0}
            for name in services
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 4194304,
            "header_ms": 3000,
            "idle_ms": 15000,
        },
        "tenants": [{"name": "tenant-one", "api_keys": ["key-one"]}],
    }


def run_case(case) -> None:
    """Run a case and exit with its result; whatever fails in the case itself exits with 2."""

    async def guarded() -> int:
        async with asyncio.timeout(115):
            return await case()

    try:
        sys.exit(asyncio.run(guarded()))
    except SystemExit:
        raise
    except BaseException as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)


def dump(value: object) -> str:
    """Return a value as one line of JSON."""
    return json.dumps(value, sort_keys=True)
