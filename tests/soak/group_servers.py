"""Store and servers of a soak of groups, as one process with faults of its own.

``python -m tests.soak.group_servers --seed 1 --log FILE`` prints the store's address. Every request
that arrives, every end of a run and every fault is a line of the log, with monotonic times.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TextIO

import fire
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from tests.metadata_store import MetadataStoreStandIn
from tests.model_servers import ModelServerStandIn, ServerHandler

SIZES_BY_MODEL = {"m0": 2, "m1": 3, "m2": 4}
MODEL_SERVERS = 18
PLAIN_SERVERS = 3
GROUP_SLOTS = 13
PLAIN_SLOTS = 6
STREAM_TIMEOUTS_MS = {"question": 5000, "report": 8000}
PLAIN_TIMEOUT_MS = 2000
EVENT_SECONDS_RANGE = (0.03, 0.1)
LONG_PREFIX = "long-"  # of the ids of requests whose streams last nearly as long as they may
LONG_SHARE = 0.15  # of streams: they last nearly as long as their time limit
PLAIN_SECONDS_RANGE = (0.05, 0.15)
WARM_SECONDS = 0.5
REJOIN_SECONDS = 0.2
STALL_SECONDS = 6.0
ENTRY_EXPIRY_SECONDS = 3.6
DRAIN_SECONDS_RANGE = (2.2, 4.0)
LONGEST_DRAIN_SECONDS = 10.0
SHARED_PAUSE_RANGE_SECONDS = (0.6, 2.2)
FREEZE_RANGE_SECONDS = (1.0, 5.0)
FAULT_INTERVAL_RANGE_SECONDS = (1.0, 4.0)
SERIES_LENGTHS = (1, 1, 1, 2, 3)
TICK_SECONDS = 0.02


class FaultSet(Enum):
    """Which faults of servers are injected."""

    ALL = "all"
    PLANNED = "planned"  # those that leave the rule on losses in force: no deaths, no freezes
    NONE = "none"


def manifest(version: int) -> dict[str, object]:
    """Return the manifest; the objectives of its routes depend on the version."""
    goal_ms = 300 + 100 * (version % 3)
    common = {"host": "a.example", "goal_ms": goal_ms}
    streams = [
        {
            **common,
            "name": name,
            "prefix": f"/{name}/",
            "kind": "stream",
            "timeout_ms": timeout_ms,
            "service": "assistant",
            "attempts": 2,
            "resumable": True,
            "gap_aim_ms": 200,
        }
        for name, timeout_ms in STREAM_TIMEOUTS_MS.items()
    ]
    plain = [
        {
            **common,
            "name": name,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": PLAIN_TIMEOUT_MS,
            "service": "app",
        }
        for name, kind in (("loan", "non_idempotent"), ("lookup", "idempotent"))
    ]
    models = [
        {
            "name": name,
            "size": size,
            "share": 1 / len(SIZES_BY_MODEL),
            "load_s": 1.0,
            "warm_s": WARM_SECONDS,
        }
        for name, size in SIZES_BY_MODEL.items()
    ]
    engine = {"slots": GROUP_SLOTS, "models": models, "loads_per_s": 20, "loads_at_once": 20}
    return {
        "version": version,
        "routes": [*streams, *plain],
        "services": [
            {"name": "assistant", "max_conns": 334, "engine": engine},
            {"name": "app", "max_conns": 96},
        ],
        "tenants": [{"name": "t1", "api_keys": ["key-1"]}],
    }


@dataclass(frozen=True, slots=True)
class WorkPlan:
    """What a request asks for; it follows from the request's id and route.

    :param events: number of events of a stream; 0 for other requests.
    :param step_seconds: time of one event, or of all the work of a request without events.
    """

    events: int
    step_seconds: float

    @classmethod
    def of(cls, request_id: str, route: str) -> "WorkPlan":
        """Return the plan for a request."""
        rng = random.Random(request_id)
        if route not in STREAM_TIMEOUTS_MS:
            return cls(0, rng.uniform(*PLAIN_SECONDS_RANGE))
        step_seconds = rng.uniform(*EVENT_SECONDS_RANGE)
        limit = STREAM_TIMEOUTS_MS[route] / 1000
        is_long = rng.random() < LONG_SHARE or request_id.startswith(LONG_PREFIX)
        seconds = limit * (rng.uniform(0.8, 0.97) if is_long else rng.uniform(0.05, 0.6))
        return cls(max(3, int(seconds / step_seconds)), step_seconds)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server."""

    request_id: str
    server: str
    at: float


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a server began to work on.

    :param end: whole, closed (by the instance), broke off (by the server) or ordered (an order
        ended the work).
    """

    request_id: str
    server: str
    began_at: float
    ended_at: float
    end: str


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault of servers.

    :param is_planned: whether the fault leaves the rule on losses in force.
    """

    kind: str
    server: str
    began_at: float
    ended_at: float
    is_planned: bool


class ServerLog:
    """Writes records as lines of JSON."""

    def __init__(self, file: TextIO) -> None:
        self._file = file

    def add(self, record: Arrival | Run | InjectedFault) -> None:
        """Write one record at once."""
        row = {"record": type(record).__name__, **asdict(record)}
        self._file.write(json.dumps(row) + "\n")
        self._file.flush()


class WorkingServer(ModelServerStandIn):
    """A server with slots that can stand still, die and drain.

    :ivar running: number of requests that the server works on.
    """

    slots = PLAIN_SLOTS

    def __init__(self, server_id: str, service: str, fleet: "ServerFleet") -> None:
        super().__init__(server_id, fleet.store, service)
        self.fleet = fleet
        self.running = 0
        self.is_dead = False
        self.is_frozen = False
        self.is_draining = False

    @property
    def stands_still(self) -> bool:
        """Whether the server itself does nothing."""
        return not self.is_dead and (self.is_frozen or self.fleet.is_paused)

    @property
    def moves(self) -> bool:
        """Whether the server makes progress with its work."""
        return not self.stands_still

    async def wait_until_running(self) -> None:
        """Wait while the whole server stands still."""
        while self.stands_still:
            await asyncio.sleep(TICK_SECONDS)

    def rejection(self) -> int | None:
        """Return the status with which a request is rejected; None to run it."""
        return 503 if self.running >= self.slots else None

    def report(self) -> dict[str, Any]:
        """Return the body of the report page."""
        return {**super().report(), "running": self.running}

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler class for callers' requests."""
        return WorkHandler

    async def register(self) -> None:
        """Write the registry entry."""
        if self.is_dead:
            return
        await super().register()
        if self.is_draining:
            key = f"servers/{self.server_id}"
            entry = json.loads(self._store.read(key)[0].value)
            await self._store.put(key, {**entry, "state": "draining", "seq": entry["seq"] + 1})

    def die(self) -> None:
        """Close all connections and stay away."""
        self.is_dead = True
        self.stop()


class GroupServer(WorkingServer):
    """A model server; as a head it works only while all members are in its group and move."""

    slots = GROUP_SLOTS

    def __init__(self, server_id: str, fleet: "ServerFleet") -> None:
        super().__init__(server_id, "assistant", fleet)
        self._members: list[str] = []
        self._unsound_since: float | None = None

    @property
    def group_key(self) -> tuple[str, int] | None:
        """The name and epoch of the group of which this server is a member."""
        return None if self._group is None else (self._group["name"], self._group["epoch"])

    @property
    def is_closing(self) -> bool:
        """Whether the group finishes its work before it closes."""
        return self._group is not None and self._group["state"] == "closing"

    @property
    def is_broken(self) -> bool:
        """Whether the group has stood still for too long."""
        return self._group is not None and self._group["state"] == "broken"

    @property
    def moves(self) -> bool:
        """Whether this server and all members of its group make progress."""
        return super().moves and self._unsound_since is None

    def rejection(self) -> int | None:
        """Return the status with which a request is rejected; None to run it."""
        if self.is_broken:
            return 503
        return super().rejection() if self.serves else 421

    async def check_group(self) -> None:
        """Look at the members, and finish an order to close."""
        if self._group is None or self._group["rank"] != 0:
            self._unsound_since = None
            return
        if self._group["state"] == "closing" and not self.running:
            await self._set_state("ready")
        if self._group["state"] not in ("open", "closing"):
            return
        now = asyncio.get_running_loop().time()
        if all(self._is_sound(member) for member in self._members):
            self._unsound_since = None
        elif self._unsound_since is None:
            self._unsound_since = now
        elif now - self._unsound_since >= STALL_SECONDS:
            await self._set_state("broken")

    def _is_sound(self, member: str) -> bool:
        found = self.fleet.by_id.get(member)
        if not isinstance(found, GroupServer) or found.is_dead or found.is_frozen:
            return False
        return found.group_key == self.group_key

    async def _set_state(self, state: str) -> None:
        assert self._group is not None
        self._group["state"] = state
        await self.register()

    def _apply(self, order: dict[str, Any]) -> int:
        closes = order["op"] == "close" and order.get("close_mode") != "cut" and self.running
        if order["op"] == "join":
            for task in self._pending:
                task.cancel()
            self._members = order["members"]
            self._unsound_since = None
        status = super()._apply(order)
        if status == 202 and closes and self._group is not None:
            self._group["state"] = "closing"
        return status

    async def _become_ready(self, model: str) -> None:
        await asyncio.sleep(REJOIN_SECONDS if model == self._model else WARM_SECONDS)
        self._model = model
        await self._set_state("ready")


class WorkHandler(ServerHandler):
    """Handles requests of callers."""

    server: WorkingServer

    def initialize(self, server: ModelServerStandIn) -> None:
        """Store the server."""
        super().initialize(server)
        self._closed_at: float | None = None

    def on_connection_close(self) -> None:
        """Note when the channel was closed."""
        self._closed_at = asyncio.get_running_loop().time()

    async def post(self) -> None:
        """Run the request, or reject it."""
        server = self.server
        loop = asyncio.get_running_loop()
        request_id = self.request.headers["Cactuspass-Request-Id"]
        server.fleet.log.add(Arrival(request_id, server.server_id, loop.time()))
        self.set_header("Cactuspass-Request-Id", request_id)
        await server.wait_until_running()
        if self._closed_at is not None:
            return
        status = server.rejection()
        if status is not None:
            self.set_status(status)
            self.set_header("Cactuspass-Not-Run", "1")
            return
        began_at = loop.time()
        server.running += 1
        end = "broke off"
        try:
            end = await self._work(WorkPlan.of(request_id, self.request.path.split("/")[1]))
        finally:
            server.running -= 1
            ended_at = self._closed_at or loop.time()
            server.fleet.log.add(Run(request_id, server.server_id, began_at, ended_at, end))
        if end in ("broke off", "ordered"):
            self.request.connection.stream.close()  # type: ignore[union-attr]

    async def _work(self, plan: WorkPlan) -> str:
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        if not plan.events:
            return await self._work_plainly(plan.step_seconds)
        self.set_header("Content-Type", "text/event-stream")
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, plan.events + 1):
            end = await self._wait_for_progress(plan.step_seconds)
            if end is not None:
                return end
            self.write(f"id: {number}\ndata: x\n\n")
            try:
                await self.flush()
            except StreamClosedError:
                return "broke off" if self.server.is_dead else "closed"
        return "whole"

    async def _work_plainly(self, seconds: float) -> str:
        await asyncio.sleep(seconds)
        while not self.server.moves and not self.server.is_dead:
            await asyncio.sleep(TICK_SECONDS)
        if self.server.is_dead:
            return "broke off"
        self.write(b"done")
        return "closed" if self._closed_at is not None else "whole"

    async def _wait_for_progress(self, seconds: float) -> str | None:
        """Wait for the time of one event; return how the run has ended, None if it goes on."""
        server = self.server
        assert isinstance(server, GroupServer)
        group = server.group_key
        await asyncio.sleep(seconds)
        while True:
            if server.is_dead or server.is_broken:
                return "broke off"
            if self._closed_at is not None:
                return "closed"
            if server.group_key != group or not (server.serves or server.is_closing):
                return "ordered"
            if server.moves:
                return None
            await asyncio.sleep(TICK_SECONDS)


class ServerFleet:
    """The store, the model servers and the plain servers, and the faults that befall them.

    :param faults: which faults are injected.
    """

    def __init__(self, seed: int, log: ServerLog, faults: FaultSet) -> None:
        self._rng = random.Random(seed)
        self._faults = faults
        self.log = log
        self.store = MetadataStoreStandIn()
        self.by_id: dict[str, WorkingServer] = {}
        self.is_paused = False
        self._started = 0
        self._version = 1

    async def start(self) -> None:
        """Start the store and the servers."""
        self.store.start()
        await self.store.put("op/config", manifest(1))
        for _ in range(MODEL_SERVERS):
            await self._add_model_server()
        for _ in range(PLAIN_SERVERS):
            await self._add_plain_server()

    async def check_groups(self) -> None:
        """Look at all groups, time and again."""
        while True:
            for server in tuple(self.by_id.values()):
                if isinstance(server, GroupServer) and not server.is_dead:
                    await server.check_group()
            await asyncio.sleep(TICK_SECONDS)

    async def inject_faults(self) -> None:
        """Start series of faults one after the other, which may overlap."""
        running: set[asyncio.Task[None]] = set()
        while self._faults is not FaultSet.NONE:
            task = asyncio.create_task(self._inject_series())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_SECONDS))

    async def _inject_series(self) -> None:
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._drain_server,
            self._pause_all,
            self._pause_all,
            self._change_manifest,
        ]
        if self._faults is FaultSet.ALL:
            kinds += [self._kill_member, self._freeze_member]
        kind = self._rng.choice(kinds)
        count = 1 if kind == self._pause_all else self._rng.choice(SERIES_LENGTHS)
        for _ in range(count):
            await kind()
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))

    async def _add_model_server(self) -> None:
        self._started += 1
        server = GroupServer(f"m-{self._started}", self)
        self.by_id[server.server_id] = server
        await server.start(list(SIZES_BY_MODEL))

    async def _add_plain_server(self) -> None:
        self._started += 1
        server = WorkingServer(f"a-{self._started}", "app", self)
        self.by_id[server.server_id] = server
        await server.start([])

    def _choose(self, kind: type[WorkingServer]) -> WorkingServer:
        return self._rng.choice(
            [
                server
                for server in self.by_id.values()
                if isinstance(server, kind) and not (server.is_dead or server.is_draining)
            ]
        )

    async def _kill_member(self) -> None:
        server = self._choose(GroupServer)
        now = asyncio.get_running_loop().time()
        self.log.add(InjectedFault("death", server.server_id, now, now + STALL_SECONDS, False))
        server.die()
        await self._add_model_server()
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        await self.store.delete(f"servers/{server.server_id}")

    async def _freeze_member(self) -> None:
        server = self._choose(GroupServer)
        seconds = self._rng.uniform(*FREEZE_RANGE_SECONDS)
        now = asyncio.get_running_loop().time()
        self.log.add(InjectedFault("freeze", server.server_id, now, now + seconds, False))
        server.is_frozen = True
        await asyncio.sleep(seconds)
        server.is_frozen = False

    async def _drain_server(self) -> None:
        server = self._choose(WorkingServer)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        server.is_draining = True
        await server.register()
        if isinstance(server, GroupServer):
            await self._add_model_server()
        else:
            await self._add_plain_server()
        await asyncio.sleep(self._rng.uniform(*DRAIN_SECONDS_RANGE))
        while self._has_work(server) and loop.time() < began_at + LONGEST_DRAIN_SECONDS:
            await asyncio.sleep(TICK_SECONDS)
        self.log.add(InjectedFault("drain", server.server_id, began_at, loop.time(), True))
        server.die()
        await self.store.delete(f"servers/{server.server_id}")

    def _has_work(self, server: WorkingServer) -> bool:
        if not isinstance(server, GroupServer) or server.group_key is None:
            return server.running > 0
        return any(
            other.running
            for other in self.by_id.values()
            if isinstance(other, GroupServer) and other.group_key == server.group_key
        )

    async def _pause_all(self) -> None:
        if self.is_paused:
            return
        seconds = self._rng.uniform(*SHARED_PAUSE_RANGE_SECONDS)
        now = asyncio.get_running_loop().time()
        self.log.add(InjectedFault("shared pause", "", now, now + seconds, True))
        self.is_paused = True
        await asyncio.sleep(seconds)
        self.is_paused = False

    async def _change_manifest(self) -> None:
        self._version += 1
        now = asyncio.get_running_loop().time()
        self.log.add(InjectedFault("manifest", "", now, now, True))
        await self.store.put("op/config", manifest(self._version))


async def serve(seed: int, log: Path, faults: FaultSet, quiet_seconds: float) -> None:
    """Run the servers until the process is killed.

    :param faults: which faults are injected.
    :param quiet_seconds: time before the first fault.
    """
    with log.open("w", encoding="utf-8") as file:
        fleet = ServerFleet(seed, ServerLog(file), faults)
        await fleet.start()
        print(fleet.store.address, flush=True)
        checks = asyncio.create_task(fleet.check_groups())
        await asyncio.sleep(quiet_seconds)
        await asyncio.gather(checks, fleet.inject_faults())


def run(seed: int, log: str, faults: str = FaultSet.ALL.value, quiet_seconds: float = 8.0) -> None:
    """Run the servers until the process is killed."""
    asyncio.run(serve(seed, Path(log), FaultSet(faults), quiet_seconds))


if __name__ == "__main__":
    fire.Fire(run)
