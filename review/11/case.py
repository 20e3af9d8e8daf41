"""A model server in trouble answers few requests with bytes that are no answer and have no end."""

import asyncio
import itertools
import json
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit-3"))

from engines import ModelServer  # noqa: E402
from kit import (  # noqa: E402
    TROUBLE,
    Caller,
    InstanceProcess,
    Json,
    NotReady,
    PlainServer,
    Record,
    Store,
    run_case,
    wait_ready,
)

ZONES = ("fukuoka", "kumamoto", "kagoshima")
GROUP_SIZE = 4
SPARES = 2  # in each domain
STREAMS_PER_SECOND = 74.8  # of the whole deployment, as its sheet says
PLAIN_PER_SECOND = 8.96
# Share of the traffic by instance: kumamoto has one machine, kagoshima two.
TRAFFIC_SHARES = {"front-kumamoto-1": 0.306, "front-kagoshima-1": 0.173}
TROUBLE_SECONDS = 5.5
GROUPS = 5
HEADS_IN_TROUBLE = 3  # share 0.6
ANSWERS_PER_SPOILT = 20  # of each: 5 in 100
ROUNDS = 3
ROUND_SECONDS = 16.0
TIMEOUT_SECONDS = {"question": 5.0, "loan": 2.0, "lookup": 2.0}
GRACE_SECONDS = 0.5  # an answer is due so long after the timeout of its route
# What the server writes again and again: the beginning of its status line.
ENDLESS = b"HTTP/1.1 200 " * 4720
KEY = "key-of-the-desk"

MANIFEST: Json = {
    "version": 7,
    "routes": [
        {
            "name": "question", "host": "desk.example", "prefix": "/question/", "kind": "stream",
            "timeout_ms": 5000, "goal_ms": 200, "priority": 1, "service": "assistant-llm",
            "attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 200,
        },
        {
            "name": "loan", "host": "desk.example", "prefix": "/loan/", "kind": "non_idempotent",
            "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "service": "lending-app",
            "attempts": 1, "public": False,
        },
        {
            "name": "lookup", "host": "desk.example", "prefix": "/lookup/", "kind": "idempotent",
            "timeout_ms": 2000, "goal_ms": 300, "priority": 2, "service": "lending-app",
            "attempts": 2, "public": False,
        },
    ],
    "services": [
        {
            "name": "assistant-llm", "health_path": "/health", "max_conns": 334, "cold_s": 3.0,
            "cold_per_s": 26.0,
            "engine": {
                "slots": 13, "kv_capacity": 795000, "stride": 7,
                "models": [
                    {"name": "m0", "size": GROUP_SIZE, "share": 1.0, "pace": 1.0, "load_s": 16.0,
                     "warm_s": 1.6},
                ],
                "step_ms": 5.95, "per_seq_ms": 0.089, "context_per_k": 0.01626,
                "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
                "report_lag_ms": 200.0, "loads_per_s": 4.5, "loads_at_once": 6,
                "usual": {"prompt": 1115, "answer": 178}, "keeps": 1, "far_x": 4.0,
                "form_ms": 300.0,
            },
        },
        {
            "name": "lending-app", "health_path": "/health", "max_conns": 96, "cold_s": 0.0,
            "cold_per_s": 0.0,
        },
    ],
    "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
    "tenants": [{"name": "desk", "api_keys": [KEY], "priority": 1}],
}


class TroubledServer(ModelServer):
    """A head; while it is in trouble, some of its answers are bytes without end."""

    in_trouble = False
    spoilt = 0
    answers_in_trouble = 0

    async def stream(self, request_id: str, after: int, writer: asyncio.StreamWriter) -> None:
        """Stream the events, or bytes that are no answer until the channel is closed."""
        if self.in_trouble:
            self.answers_in_trouble += 1
        if not self.in_trouble or self.answers_in_trouble % ANSWERS_PER_SPOILT:
            await super().stream(request_id, after, writer)
            return
        self.spoilt += 1
        self.ran.append(request_id)
        self.record.line(f"server {self.name} answers {request_id} with bytes without end")
        sent = 0
        try:
            writer.write(self.stream_head(request_id, ""))
            while True:
                writer.write(ENDLESS)
                await writer.drain()
                sent += len(ENDLESS)
        except ConnectionError:
            self.record.line(f"server {self.name}: channel closed after {sent} bytes")
            raise


@dataclass(frozen=True)
class Call:
    """One request as its caller saw it."""

    route: str
    sent_at: float
    seconds: float
    status: int | None

    def waited(self, seconds: float) -> bool:
        """Return whether there was no answer so long after the timeout of the route."""
        return self.seconds > TIMEOUT_SECONDS[self.route] + seconds


async def case(record: Record, folder: Path) -> bool:
    """Return whether too many requests that were unanswered at their timeout stayed so."""
    store = Store()
    await store.start()
    models = [
        TroubledServer(f"i-{group}-{n}", store, record, ZONES[group % 3], f"d-{group}", "m0")
        for group in range(GROUPS)
        for n in range(GROUP_SIZE + SPARES)
    ]
    plain = [PlainServer(f"i-app-{zone}", store, record, "lending-app", zone) for zone in ZONES]
    for server in (*models, *plain):
        await server.start()
    await store.put("op/config", json.dumps(MANIFEST).encode())
    instances = [
        InstanceProcess(name, name.split("-")[1], store.address, folder) for name in TRAFFIC_SHARES
    ]
    try:
        for instance in instances:
            await instance.start()
        await wait_ready(instances)
        await wait_groups(models)
        record.line("all groups are open")
        calls = await play(models, instances, record)
        return judge(calls, models, record)
    finally:
        for instance in instances:
            await instance.end()


async def wait_groups(models: list[TroubledServer]) -> None:
    """Wait until each domain has an open group.

    :raises NotReady: if they are not open in time.
    """
    for _ in range(200):
        if sum(1 for m in models if m.group and m.group["state"] == "open") == GROUPS:
            await asyncio.sleep(2.0)
            return
        await asyncio.sleep(0.1)
    raise NotReady("the groups were not open in time")


async def play(
    models: list[TroubledServer], instances: list[InstanceProcess], record: Record
) -> list[Call]:
    """Send requests to both instances, with a server in trouble for a while in each round."""
    calls: list[Call] = []
    numbers = itertools.count()
    began = time.monotonic()

    async def ask(instance: InstanceProcess, route: str) -> None:
        request_id = f"{next(numbers):016x}"
        caller = Caller(instance.callers, KEY)
        limit = int(TIMEOUT_SECONDS[route] * 1000)
        headers = ()
        if route == "question":
            headers = (
                ("Cactuspass-Model", "m0"), ("Cactuspass-Tokens", "714,180"),
                ("Cactuspass-Prompt-Prefix", f"5c1e07a2:40,{request_id}:674"),
            )
        sent_at = time.monotonic()
        method = "GET" if route == "lookup" else "POST"
        answer = await caller.send(
            method, f"/{route}/x", request_id, limit, headers=headers, patience=10.0
        )
        seconds = time.monotonic() - sent_at
        caller.close()
        calls.append(Call(route, sent_at - began, seconds, answer.status))
        record.line(
            f"{instance.name} {route} {request_id} sent at {sent_at - began:.3f}: "
            f"{answer.status} after {seconds:.3f}"
        )

    tasks: list[asyncio.Task[None]] = []

    async def send_all(instance: InstanceProcess, seed: int) -> None:
        rng = random.Random(seed)
        rate = (STREAMS_PER_SECOND + PLAIN_PER_SECOND) * TRAFFIC_SHARES[instance.name]
        stream_share = STREAMS_PER_SECOND / (STREAMS_PER_SECOND + PLAIN_PER_SECOND)
        while time.monotonic() - began < ROUNDS * ROUND_SECONDS:
            is_stream = rng.random() < stream_share
            route = "question" if is_stream else rng.choice(("loan", "loan", "lookup"))
            tasks.append(asyncio.create_task(ask(instance, route)))
            await asyncio.sleep(rng.expovariate(rate))

    async def trouble() -> None:
        heads = [m for m in models if m.group and m.group["state"] == "open"][:HEADS_IN_TROUBLE]
        for number in range(ROUNDS):
            at = number * ROUND_SECONDS + 4.0
            await asyncio.sleep(at - (time.monotonic() - began))
            names = ", ".join(head.name for head in heads)
            record.line(f"{names} are in trouble for {TROUBLE_SECONDS} s")
            for head in heads:
                head.in_trouble = TROUBLE
            await asyncio.sleep(TROUBLE_SECONDS)
            for head in heads:
                head.in_trouble = False

    sending = (send_all(instance, seed) for seed, instance in enumerate(instances))
    await asyncio.gather(trouble(), *sending)
    await asyncio.gather(*tasks)
    return calls


def judge(calls: list[Call], models: list[TroubledServer], record: Record) -> bool:
    """Return whether the rule was broken, and record the counts."""
    unanswered = [call for call in calls if call.waited(0.0)]
    still = [call for call in calls if call.waited(GRACE_SECONDS)]
    spoilt = sum(model.spoilt for model in models)
    answers = sum(model.answers_in_trouble for model in models)
    record.line(f"{len(calls)} requests; {spoilt} of {answers} answers in trouble had no end")
    record.line(f"unanswered at their route's timeout: {len(unanswered)}")
    record.line(f"unanswered {GRACE_SECONDS} s later: {len(still)}")
    record.line(f"longest: {max(call.seconds for call in calls):.3f} s")
    most = len(still) > len(unanswered) / 2
    eight_and_quarter = len(still) >= 8 and len(still) > len(unanswered) / 4
    record.line(f"more than half: {most}; eight or more and over a quarter: {eight_and_quarter}")
    return most or eight_and_quarter


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
