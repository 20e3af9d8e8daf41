"""Stops of instances in turn, while streams pause at upstreams whose slots are all taken.

``python -m tests.soak.stops --seeds 5`` runs instances as processes. No fault is injected but the
stops: each upstream goes on with each stream that it has begun, after a pause of its own.
"""

import asyncio
import itertools
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import fire
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from tests.metadata_store import MetadataStoreStandIn
from tests.model_servers import ModelServerStandIn, ServerHandler
from tests.soak.answers import AnswerReader
from tests.soak.fleet import InstanceProcess
from tests.soak.proxy import Proxy
from tests.soak.run import free_ports
from tests.soak.stop_verdicts import (
    DEADLINE_MARGIN_SECONDS,
    EXCUSED_SHARE_OF_GRACE,
    GRACE_SECONDS,
    LAST_EXCUSED_SENT_SECONDS,
)

INSTANCES = 3
SERVERS = 9
SLOTS = 5
EVENTS_RANGE = (4, 80)
EVENT_SECONDS_RANGE = (0.03, 0.06)
PAUSING_SHARE = 0.4
PAUSE_SECONDS_RANGE = (0.8, 2.5)
TIMEOUT_SECONDS = 5.0
THINK_SECONDS_RANGE = (0.0, 0.1)
RETRY_SECONDS = 0.25  # after a request that was not served
READY_TIMEOUT_SECONDS = 20.0
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "question",
            "host": "a.example",
            "prefix": "/question/",
            "kind": "stream",
            "timeout_ms": int(TIMEOUT_SECONDS * 1000),
            "goal_ms": 200,
            "service": "assistant",
            "attempts": 2,
            "resumable": True,
            "gap_aim_ms": 200,
        }
    ],
    "services": [{"name": "assistant", "max_conns": 96}],
    "tenants": [{"name": "t1", "api_keys": ["key-1"]}],
}


class PausingServer(ModelServerStandIn):
    """Streams as many events as the request asks for, with one pause in the middle of some."""

    running = 0

    def request_handler(self) -> type[RequestHandler]:
        """Return the handler class for callers' requests."""
        return PausingHandler


class PausingHandler(ServerHandler):
    """Handles requests for streams."""

    server: PausingServer

    async def post(self) -> None:
        """Stream the events after the one that ``Last-Event-Id`` names, or reject the request."""
        self.set_header("Cactuspass-Request-Id", self.request.headers["Cactuspass-Request-Id"])
        if self.server.running >= SLOTS:
            self.set_status(503)
            self.set_header("Cactuspass-Not-Run", "1")
            return
        self.server.running += 1
        try:
            await self._stream()
        except StreamClosedError:
            return
        finally:
            self.server.running -= 1

    async def _stream(self) -> None:
        request_id = self.request.headers["Cactuspass-Request-Id"]
        plan = StreamPlan.of(request_id)
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cactuspass-Server-Stamp", self.server.server_id)
        first = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, plan.events + 1):
            # Only the first attempt pauses.
            if number == plan.pause_before and first == 1:
                await asyncio.sleep(plan.pause_seconds)
            self.write(f"id: {number}\ndata: x\n\n")
            await self.flush()
            await asyncio.sleep(plan.event_seconds)


@dataclass(frozen=True, slots=True)
class StreamPlan:
    """What a stream consists of; it follows from the id of its request.

    :param pause_before: number of the event before which the stream pauses; 0 for none.
    """

    events: int
    event_seconds: float
    pause_before: int
    pause_seconds: float

    @classmethod
    def of(cls, request_id: str) -> "StreamPlan":
        """Return the plan for a request."""
        rng = random.Random(request_id)
        events = rng.randint(*EVENTS_RANGE)
        pauses = rng.random() < PAUSING_SHARE
        return cls(
            events,
            rng.uniform(*EVENT_SECONDS_RANGE),
            rng.randint(2, events) if pauses else 0,
            rng.uniform(*PAUSE_SECONDS_RANGE),
        )


@dataclass
class StopResults:
    """Outcomes of the requests.

    :param lost: requests that ended without a whole answer around a stop, and have no excuse.
    :param cut_elsewhere: the same away from stops.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    cut_elsewhere: list[str] = field(default_factory=list)


class StopSoak:
    """Three instances that are stopped in turn, nine upstreams, and callers on kept connections.

    :param callers: callers of each instance.
    """

    def __init__(self, seed: int, callers: int, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._callers = callers
        self._folder = folder
        self._store = MetadataStoreStandIn()
        self._instances: list[InstanceProcess] = []
        self._servers = [
            PausingServer(f"s-{number}", self._store, "assistant") for number in range(SERVERS)
        ]
        self._proxies: list[Proxy] = []
        self._stopped_at_by_port: dict[int, float] = {}
        self.results = StopResults()

    async def run(self) -> StopResults:
        """Run the soak and return the outcomes."""
        self._store.start()
        await self._store.put("op/config", MANIFEST)
        for server in self._servers:
            await server.start([])
        ports = free_ports(2 * INSTANCES)
        for number, (port, peer_port) in enumerate(zip(ports[::2], ports[1::2], strict=True)):
            proxy = Proxy(self._store.address)
            await proxy.start()
            self._proxies.append(proxy)
            instance = InstanceProcess(f"e-{number}", self._folder, proxy, port, peer_port)
            self._instances.append(instance)
            await instance.start()
        try:
            await self._wait_until_serving(ports[::2])
            await self._stop_in_turn(ports[::2])
        finally:
            await self._end()
        return self.results

    async def _stop_in_turn(self, ports: list[int]) -> None:
        ended = asyncio.Event()
        callers = [
            asyncio.create_task(self._call_repeatedly(port, f"{self._seed}-{port}-{n}", ended))
            for port in ports
            for n in range(self._callers)
        ]
        for instance in self._instances:
            await asyncio.sleep(self._rng.uniform(1.5, 3.0))
            self._stopped_at_by_port[instance.port] = asyncio.get_running_loop().time()
            instance.send_signal(signal.SIGTERM)
            await instance.restart()
        await asyncio.sleep(self._rng.uniform(1.0, 2.0))
        ended.set()
        await asyncio.gather(*callers)

    async def _end(self) -> None:
        for instance in self._instances:
            instance.send_signal(signal.SIGKILL)
            await instance.wait()
        for server in self._servers:
            server.stop()
        for proxy in self._proxies:
            await proxy.stop()
        self._store.stop()

    async def _wait_until_serving(self, ports: list[int]) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for port in ports:
                caller = StopCaller(port)
                while not await caller.send_request("probe"):
                    await asyncio.sleep(0.1)
                caller.close()

    async def _call_repeatedly(self, port: int, name: str, ended: asyncio.Event) -> None:
        caller = StopCaller(port)
        rng = random.Random(name)
        for number in itertools.count():
            if ended.is_set():
                break
            await self._call(caller, port, f"{name}-{number}")
            pause = 0.0 if caller.status == 200 else RETRY_SECONDS
            await asyncio.sleep(pause + rng.uniform(*THINK_SECONDS_RANGE))
        caller.close()

    async def _call(self, caller: "StopCaller", port: int, request_id: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        is_complete = await caller.send_request(request_id)
        ended_at = loop.time()
        outcome = "whole" if is_complete else f"{caller.status or 'no answer'} not whole"
        if is_complete or caller.status != 200:
            self.results.outcomes[outcome if caller.status == 200 else str(caller.status)] += 1
            return
        if ended_at - sent_at >= TIMEOUT_SECONDS - DEADLINE_MARGIN_SECONDS:
            self.results.outcomes["time limit"] += 1
            return
        text = f"{request_id} after {ended_at - sent_at:.2f} s"
        stopped_at = self._stopped_at_by_port.get(port)
        if stopped_at is None or not stopped_at <= ended_at <= stopped_at + GRACE_SECONDS + 1:
            self.results.cut_elsewhere.append(text)
            return
        was_early = sent_at <= stopped_at + LAST_EXCUSED_SENT_SECONDS
        if was_early and ended_at >= stopped_at + GRACE_SECONDS * EXCUSED_SHARE_OF_GRACE:
            self.results.outcomes["end of the grace time"] += 1
            return
        self.results.lost.append(f"{text}, {ended_at - stopped_at:.2f} s after SIGTERM")


class StopCaller:
    """Sends requests on a connection that it keeps.

    :ivar status: status of the last answer; None if there was none.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.status: int | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def send_request(self, request_id: str) -> bool:
        """Send one request; return whether its whole answer with status 200 was received."""
        self.status = None
        try:
            return await self._exchange(request_id)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return False

    async def _exchange(self, request_id: str) -> bool:
        if self._connection is None:
            self._connection = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._connection
        limit = int(TIMEOUT_SECONDS * 1000)
        writer.write(
            "POST /question/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n"
            f"Content-Length: 2\r\nCactuspass-Request-Id: {request_id}\r\n"
            f"Cactuspass-Deadline-Ms: {limit}\r\n\r\n{{}}".encode()
        )
        answer = AnswerReader(reader)
        try:
            await answer.read()
        finally:
            self.status = answer.status
        if answer.closes:
            self.close()
        return self.status == 200


async def soak_stops(seed: int, callers: int, keep: Path | None = None) -> StopResults:
    """Run one soak of stops and return the outcomes.

    :param keep: folder for the logs of the instances; None for one that is deleted.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return await StopSoak(seed, callers, keep).run()
    with tempfile.TemporaryDirectory(prefix="stops-") as folder:
        return await StopSoak(seed, callers, Path(folder)).run()


def run(first: int = 1, seeds: int = 1, callers: int = 24, keep: str = "") -> None:
    """Run one soak per seed, one after the other; exit with 1 when an answer was lost.

    :param callers: callers of each instance.
    :param keep: folder for the logs of the instances; empty to delete them.
    """
    lost = 0
    for seed in range(first, first + seeds):
        folder = Path(keep) / str(seed) if keep else None
        results = asyncio.run(soak_stops(seed, callers, folder))
        lost += len(results.lost)
        print(
            f"seed {seed}: {dict(results.outcomes)}; lost around a stop {len(results.lost)}; "
            f"cut elsewhere {len(results.cut_elsewhere)}",
            flush=True,
        )
        for text in results.lost:
            print(f"  lost: {text}", flush=True)
    sys.exit(1 if lost else 0)


if __name__ == "__main__":
    fire.Fire(run)
