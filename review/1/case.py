"""Another writer puts one odd entry into the registry; requests everywhere are left unanswered."""

import asyncio
from pathlib import Path

from system import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Answer,
    Requester,
    Server,
    System,
    manifest,
    route,
    run_case,
    trouble,
)

TIMEOUT_MS = 2000  # of the route
LIMIT_MS = 4000  # of the requesters
LATE_SECONDS = 0.5
REQUESTERS_EACH = 4
CALM_SECONDS = 5.0
SECONDS = 30.0
MIN_LATE = 8
MAX_VALUE_BYTES = 1_048_576  # value_bytes of the settings
MEMORY_LIMIT_KB = 300 * 1024  # memory_mb of the settings
LIST_LENGTH = 350_000  # also as base64, the entry fits into one page of a listing


def odd_entry() -> dict:
    """Return an entry with a field of another type: the staged models are a list of numbers."""
    return {
        "service": "lending",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_ms": 0,
        "seq": 1,
        "staged": [0] * LIST_LENGTH,
    }


async def case() -> int:
    system = System(
        Path(__file__).resolve().parent,
        manifest([route("loan", "non_idempotent", "lending", TIMEOUT_MS)], ["lending"]),
    )
    servers = [
        Server(f"i-lending-{number}", "lending", zone, system.store, system.record)
        for number, zone in enumerate(ZONES)
    ]
    try:
        if not await system.start(len(ZONES), servers):
            return NOT_RUN
        return await judge(system)
    finally:
        await system.stop()


async def judge(system: System) -> int:
    record = system.record
    answers_by_port: dict[int, list[Answer]] = {each.port: [] for each in system.instances}
    stop_at = record.now() + CALM_SECONDS + SECONDS

    async def borrow(port: int, number: int) -> None:
        requester = Requester(f"loan-{port}-{number}", port, record)
        while record.now() < stop_at:
            answers_by_port[port].append(await requester.send("POST", "/loan/new", LIMIT_MS))
            await asyncio.sleep(0.3)
        requester.close()

    async def write_odd_entry() -> None:
        await asyncio.sleep(CALM_SECONDS)
        if trouble():
            size = await system.store.put("servers/x-another-writer", odd_entry())
            record.write(f"another writer has put an odd entry of {size} bytes into the registry")
            assert size <= MAX_VALUE_BYTES

    async def watch_readiness() -> None:
        while record.now() < stop_at:
            await asyncio.sleep(2.0)
            ready = await asyncio.gather(*(each.is_ready() for each in system.instances))
            record.write(f"ready: {ready}")

    await asyncio.gather(
        write_odd_entry(),
        watch_readiness(),
        *(borrow(port, n) for port in answers_by_port for n in range(REQUESTERS_EACH)),
    )
    for instance in system.instances:
        peak = instance.peak_memory_kb()
        state = "over" if peak > MEMORY_LIMIT_KB else "within"
        record.write(f"{instance.name}: peak memory {peak // 1024} MB, {state} memory_mb")
    answers = [answer for each in answers_by_port.values() for answer in each]
    timeout = TIMEOUT_MS / 1000
    unanswered = [a for a in answers if a.seconds >= timeout]
    late = [a for a in unanswered if a.seconds >= timeout + LATE_SECONDS]
    served = sum(a.status == 200 for a in answers)
    record.write(
        f"requests: {len(answers)}, answered with 200: {served}, unanswered at the route's "
        f"timeout_ms: {len(unanswered)}, still so {LATE_SECONDS} s later: {len(late)}"
    )
    if not trouble() and served < len(answers):
        return NOT_RUN if not late else BROKEN
    return BROKEN if len(late) >= MIN_LATE and 2 * len(late) > len(unanswered) else HELD


run_case(case)
