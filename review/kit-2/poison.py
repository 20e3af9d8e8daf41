"""Three instances and 24 model servers, with prompts that end the servers that answer them."""

import asyncio
import itertools
import os
import random
from pathlib import Path

from standins import Caller, Instance, ModelServer, Store, answer, seconds

BAD_PART = "dead00"
STABLE_WINDOW_SECONDS = 3.0
CRASHES_BEFORE_RULE = 5
MOST_LATE_ARRIVALS = 3
GROUP_SIZE = 2
EVENTS = 12
EVENT_SECONDS = 0.04
BACK_AFTER_SECONDS = 3.0
LENGTH_SECONDS = 30.0


class Engine(ModelServer):
    """A model server that ends when it begins to write an answer on the bad part.

    :cvar events_before: events of an answer that leave the server before it ends.
    """

    fleet = None
    events_before = 0

    async def serve(self, request, reader, writer):
        if not self.is_open:
            writer.write(answer(421, [*self.identity(request), ("At-Server", self.name)]))
            return True
        is_bad = BAD_PART in request.header("Cactuspass-Prompt-Prefix", "")
        request_id = request.header("Cactuspass-Request-Id")
        if is_bad:
            self.fleet.arrivals.append((seconds(), request_id, self.name))
            self.note(f"request {request_id} with the bad part arrives")
        self.running += 1
        try:
            return await self._write(request, writer, request_id, is_bad)
        finally:
            self.running -= 1

    async def _write(self, request, writer, request_id, is_bad):
        first = int(request.header("Last-Event-Id", "0")) + 1
        await asyncio.sleep(EVENT_SECONDS)
        if is_bad and not self.events_before:
            return await self.end_on(request_id)
        headers = [*self.identity(request), self.stamp(), ("Content-Type", "text/event-stream")]
        writer.write(answer(200, [*headers, ("Transfer-Encoding", "chunked")], length=False))
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if is_bad and number == first + self.events_before - 1:
                await asyncio.sleep(EVENT_SECONDS / 4)
                return await self.end_on(request_id)
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        return True

    async def end_on(self, request_id):
        """End because of a request."""
        self.fleet.crashes.append(seconds())
        self.note(f"ends on {request_id}, end {len(self.fleet.crashes)}")
        return await self.end()

    async def end(self):
        """End with all connections, and come back later; return whether this one stays open."""
        asyncio.get_running_loop().create_task(self.restart(BACK_AFTER_SECONDS))
        return False


class Fleet:
    """The servers, and what became of requests."""

    def __init__(self):
        self.arrivals, self.crashes = [], []
        self.sound = {"served": 0, "not served": 0}


MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": "condition-report",
            "host": "toys.example",
            "prefix": "/report/",
            "kind": "stream",
            "service": "assistant-llm",
            "timeout_ms": 8000,
            "goal_ms": 300,
            "gap_aim_ms": 300,
            "attempts": 2,
            "resumable": True,
            "sticky": True,
            "priority": 1,
        }
    ],
    "services": [
        {
            "name": "assistant-llm",
            "health_path": "/health",
            "max_conns": 334,
            "cold_per_s": 0,
            "engine": {
                "slots": 13,
                "step_ms": 5.95,
                "per_seq_ms": 0.0445,
                "read_per_s": 50700,
                "stride": 7,
                "chunk": 2048,
                "loads_per_s": 10,
                "loads_at_once": 10,
                "usual": {"prompt": 1420, "answer": 170},
                "models": [
                    {
                        "name": "m0",
                        "size": GROUP_SIZE,
                        "pace": 1.0,
                        "share": 1.0,
                        "load_s": 16.0,
                        "warm_s": 1.6,
                    }
                ],
            },
        }
    ],
    "tenants": [{"name": f"library-{n}", "api_keys": [f"key-{n}"]} for n in range(4)],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
}


async def send(fleet, record, instance, number, is_bad):
    rng = random.Random(number)
    request_id = f"{'bad' if is_bad else 'ok'}{number:06x}"
    shared = "aa01:40," + (f"{BAD_PART}:20," if is_bad else "")
    headers = [
        ("Host", "toys.example"),
        ("Cactuspass-Request-Id", request_id),
        ("Cactuspass-Model", "m0"),
        ("Cactuspass-Tokens", "1460,80"),
        ("Cactuspass-Prompt-Prefix", f"{shared}{number:06x}:1400"),
        ("Cactuspass-Deadline-Ms", "8000"),
        ("Api-Key", f"key-{rng.randrange(4)}"),
    ]
    caller = Caller(instance.ip, instance.port)
    status, _, body = await caller.request("POST", "/report/x", headers, b"{}")
    whole = status == 200 and not caller.is_cut
    caller.close()
    if is_bad:
        record.add(f"caller: {request_id} at {instance.name} got {status}, {body.count(b'id:')} events")
    else:
        fleet.sound["served" if whole else "not served"] += 1


async def run_fleet(engine_class, record, folder, disturb):
    """Run the fleet; return the breaches of the rule."""
    fleet = Fleet()
    engine_class.fleet = fleet
    store = Store(record)
    await store.listen()
    store.put("op/config", MANIFEST)
    zones = ("fukuoka", "kumamoto", "kagoshima")
    engines = [
        engine_class(f"i-{zone}-{n}", "assistant-llm", store, record, zone, f"{zone}-d0")
        for zone in zones
        for n in range(8)
    ]
    for engine in engines:
        await engine.start()
    instances = [Instance(f"front-{z}", z, store.address, folder, record) for z in zones]
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        async with asyncio.timeout(20):
            while sum(engine.is_open for engine in engines) < 9:
                await asyncio.sleep(0.1)
        record.add("groups are open")
        tasks = []
        ends = seconds() + LENGTH_SECONDS
        for number in itertools.count(1):
            if seconds() > ends:
                break
            instance = instances[number % 3]
            is_bad = disturb and number % 20 == 10
            tasks.append(asyncio.create_task(send(fleet, record, instance, number, is_bad)))
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)
    finally:
        for instance in instances:
            await instance.kill()
        for engine in engines:
            engine.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for instance in instances:
                Path(keep, instance.log.name).write_bytes(instance.log.read_bytes())
    record.add(f"sound requests: {fleet.sound}; crashes: {len(fleet.crashes)}")
    print(f"sound requests {fleet.sound}; crashes {len(fleet.crashes)}")
    if fleet.sound["served"] < 50:
        raise RuntimeError("hardly any sound request was served")
    if len(fleet.crashes) < CRASHES_BEFORE_RULE:
        return []
    since = fleet.crashes[CRASHES_BEFORE_RULE - 1] + STABLE_WINDOW_SECONDS
    late = [arrival for arrival in fleet.arrivals if arrival[0] > since]
    record.add(f"requests with the part that arrived after {since:.3f}: {len(late)}")
    print(f"{len(late)} requests with the part reached servers later than 3 s after the 5th crash")
    if len(late) > MOST_LATE_ARRIVALS:
        return [f"BUDGET: {len(late)} requests with the bad part, at most {MOST_LATE_ARRIVALS}"]
    return []
