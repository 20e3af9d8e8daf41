"""Stand-ins of the platform, its servers and callers, and the processes under review.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PHRASES = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}
STARTED = time.monotonic()


def seconds():
    """Return the time since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self._file.write(f"{seconds():8.3f}  {text}\n")
        self._file.flush()


class Request:
    """One HTTP request as it was received."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name, default=None):
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else default

    @property
    def query(self):
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}

    @property
    def path(self):
        return unquote(urlsplit(self.target).path)


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:] if line]
    length = next((int(v) for k, v in headers if k.lower() == "content-length"), 0)
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def answer(status, headers=(), body=b"", length=True):
    """Return an encoded answer."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """A server with one task for each connection."""

    def __init__(self, host="127.0.0.1", port=0):
        self._host, self._port = host, port
        self._server = None
        self._writers = set()
        self.address = ""

    async def listen(self):
        self._server = await asyncio.start_server(self._accept, self._host, self._port, limit=2**22)
        host, self._port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self._port}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, request, reader, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    def stop_listening(self):
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self):
        """Stop listening and reset all connections."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 100
        self.era = 1
        self.leases = {}
        self.events = []
        self._numbers = itertools.count(1000)
        self._changed = asyncio.Event()
        self.refused_hosts = set()

    async def listen(self):
        await super().listen()
        asyncio.get_running_loop().create_task(self._end_leases())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "deleted": True})

    def _publish(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def handle(self, request, reader, writer):
        status, body = await self._answer(request)
        text = json.dumps(body).encode() if body is not None else b""
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        writer.write(answer(status, headers, text))
        await writer.drain()
        return True

    async def _answer(self, request):
        path, query = request.path, request.query
        body = json.loads(request.body) if request.body else {}
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
            return self._write(body)
        if path == "/kv-lease":
            lease = next(self._numbers)
            self.leases[lease] = (body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self.revision:
            return 410, None
        while True:
            found = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _write(self, body):
        rows = body.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in current.values() if item]}
        for row in body.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


class Server(HttpServer):
    """A server of a service without engines."""

    slots = 6

    def __init__(self, name, service, store, record, zone="fukuoka"):
        super().__init__()
        self.name, self.service, self.store, self.record = name, service, store, record
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.writes = 0
        self.running = 0
        self.state = "ready"
        self.cold_ms = 0

    async def start(self):
        await self.listen()
        self.register()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": self.cold_ms,
            "seq": self.writes,
            "born": self.born,
        }

    def register(self):
        self.writes += 1
        self.store.put(f"servers/{self.name}", self.entry())

    def identity(self, request):
        """Return the headers by which an answer names its request and its server."""
        headers = [("Cactuspass-Server-Load", f"{self.running},0,{self.slots}")]
        if request.header("Cactuspass-Request-Id"):
            headers.append(("Cactuspass-Request-Id", request.header("Cactuspass-Request-Id")))
        return headers

    def stamp(self):
        return ("Cactuspass-Server-Stamp", f"{self.name}.{self.born}")

    def note(self, text):
        self.record.add(f"server {self.name}: {text}")

    def is_expected(self, request):
        return request.header("Cactuspass-Expect-Instance", self.name) == self.name

    async def handle(self, request, reader, writer):
        if not self.is_expected(request):
            writer.write(answer(421, [*self.identity(request), ("Cactuspass-Instance", self.name)]))
            return True
        if request.method == "GET" and request.path == "/health":
            writer.write(answer(200, [("Cactuspass-Instance", self.name)]))
            return True
        return await self.serve(request, reader, writer)

    async def serve(self, request, reader, writer):
        """Answer a request of a caller; return whether the connection stays open."""
        raise NotImplementedError


class ModelServer(Server):
    """A model server, which joins groups of one model as it is ordered."""

    slots = 13
    model = "m0"

    def __init__(self, name, service, store, record, zone="fukuoka", domain="d0"):
        super().__init__(name, service, store, record, zone)
        self.domain = domain
        self.reset()

    def reset(self):
        self.accepted = 0
        self.group = None
        self.loaded = None
        self.members = []

    def entry(self):
        models = [{"name": self.loaded, "version": 1, "adapters": []}] if self.loaded else []
        extra = {"domain": self.domain, "staged": [self.model], "models": models}
        if self.group is not None:
            extra["group"] = self.group
        return {**super().entry(), "stage": "both", **extra}

    async def handle(self, request, reader, writer):
        if self.is_expected(request) and request.path == "/report":
            report = {
                "stage": "both",
                "models": self.entry()["models"],
                "busy": False,
                "seq": self.accepted,
                "queued": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 795000,
                "handles": 0,
                "pace": 1.0,
                "born": self.born,
                "domain": self.domain,
                "staged": [self.model],
            }
            if self.group is not None:
                report["group"] = self.group
            writer.write(
                answer(200, [("Content-Type", "application/json")], json.dumps(report).encode())
            )
            return True
        if self.is_expected(request) and request.path == "/order":
            order = json.loads(request.body)
            status = self.execute(order)
            self.note(f"order {json.dumps(order)} -> {status}")
            writer.write(answer(status))
            return True
        return await super().handle(request, reader, writer)

    def execute(self, order):
        if order.get("precondition", self.accepted) != self.accepted:
            return 409
        same = self.group is not None and (self.group["name"], self.group["epoch"]) == (
            order.get("group"),
            order.get("epoch"),
        )
        op = order["op"]
        if op == "join":
            if same and self.members == order["members"]:
                return 200
            self.members = order["members"]
            rank = self.members.index(self.name)
            self.group = {
                "name": order["group"],
                "epoch": order["epoch"],
                "rank": rank,
                "state": "joining",
            }
            asyncio.get_running_loop().call_later(0.2, self._become_ready, self.group)
            status = 202
        elif op == "stage":
            return 200
        elif not same:
            return 409
        elif op == "open":
            if self.group["rank"] or self.group["state"] != "ready":
                return 409
            self.group["state"] = "open"
            status = 202
        elif op == "close":
            self.group["state"] = "ready"
            status = 202
        else:
            self.group = None
            status = 200
        self.accepted += 1
        self.register()
        return status

    def _become_ready(self, group):
        if self.group is group and group["state"] == "joining":
            group["state"] = "ready"
            self.loaded = self.model
            self.register()

    @property
    def is_open(self):
        return self.group is not None and self.group["state"] == "open"

    async def restart(self, after):
        """Crash, and come back after some seconds as a new lifetime with the same id."""
        self.crash()
        self.reset()
        await asyncio.sleep(after)
        self.born = int(time.time() * 1000)
        self.writes = 0
        await self.listen()
        self.register()


SETTINGS = """[instance]
name = "{name}"
data_centre = "{zone}"
data_centres = ["fukuoka","kumamoto","kagoshima"]

[listeners]
callers = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
metrics = "{ip}:{metrics}"
peers = "{ip}:{peers}"

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


# Below the ports that kernels give to outgoing connections, which could take one meanwhile.
PORTS = range(20_000, 32_000)


def free_ports(count):
    """Return ports on which nothing listens, drawn so that scripts beside each other differ."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Instance:
    """One instance, as a process with the command of the deploy file."""

    def __init__(self, name, zone, store_address, folder, record):
        self.name, self.record = name, record
        self._folder = Path(folder)
        self.ip = "127.0.0.1"
        ports = free_ports(4)
        self.port, self.readiness, self.metrics, self.peers = ports
        self._settings = self._folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ip=self.ip,
                store=store_address,
                callers=ports[0],
                readiness=ports[1],
                metrics=ports[2],
                peers=ports[3],
            )
        )
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["CACTUSPASS_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(f"instance {self.name} started")

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout=20.0):
        try:
            async with asyncio.timeout(timeout):
                while True:
                    status, _, _ = await Caller(self.ip, self.readiness).get("/ready")
                    if status == 200:
                        return
                    await asyncio.sleep(0.1)
        except TimeoutError:
            log = self.log.read_text(errors="replace")[-2000:]
            state = f"exit {self.process.returncode}, last readiness {status}"
            self.record.add(f"instance {self.name} is not ready: {state}\n{log}")
            raise

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Caller:
    """A caller with one connection."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None

    async def get(self, path):
        try:
            await self.connect()
            self.writer.write(
                f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
            )
            return await self.read_answer()
        except (OSError, asyncio.IncompleteReadError):
            return None, [], b""
        finally:
            self.close()

    async def request(self, method, path, headers, body=b"", timeout=10.0):
        """Send a request and return status, headers, body and whether the body was complete."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(timeout):
                if self.writer is None:
                    await self.connect()
                self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
                return await self.read_answer()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return None, [], b""

    async def read_answer(self):
        """Return status, headers and body; the body of a cut answer has None behind it."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = [tuple(p.strip() for p in line.split(":", 1)) for line in lines[1:] if line]
        by_name = {k.lower(): v for k, v in headers}
        if status < 200:
            return await self.read_answer()
        body = b""
        self.is_cut = False
        try:
            if by_name.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await self.reader.readline(), 16)
                    part = await self.reader.readexactly(size + 2)
                    if not size:
                        break
                    body += part[:-2]
            else:
                body = await self.reader.readexactly(int(by_name.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.is_cut = True
            self.close()
        if by_name.get("connection") == "close":
            self.close()
        return status, headers, body


def run_script(case, main, disturb, seconds_limit=110):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param main: coroutine function with a record, a folder and whether to disturb; returns the
        list of breaches.
    :param disturb: False to do the same without the disruption.
    """
    folder = Path(case).resolve().parent
    record = Record(folder / "record.txt")
    record.add(f"disruption: {'yes' if disturb else 'no'}")

    async def guarded(scratch):
        async with asyncio.timeout(seconds_limit):
            return await main(record, scratch, disturb)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            breaches = asyncio.run(guarded(scratch))
    except Exception as error:
        import traceback

        record.add("could not run: " + "".join(traceback.format_exception(error)))
        print(f"could not run: {type(error).__name__}: {error}")
        raise SystemExit(2) from None
    for breach in breaches:
        record.add(f"BREACH {breach}")
        print(breach)
    record.add("result: " + ("broken" if breaches else "held"))
    print("broken" if breaches else "held")
    raise SystemExit(1 if breaches else 0)
