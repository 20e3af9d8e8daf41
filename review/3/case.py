"""One server sends a body without end; the requests to another service are left unanswered."""

import asyncio
from pathlib import Path

from http_server import Request, Response
from system import (
    BROKEN,
    HELD,
    NOT_RUN,
    Answer,
    Requester,
    Server,
    System,
    manifest,
    route,
    run_case,
    trouble,
)

TIMEOUT_MS = 2000  # of both routes
LIMIT_MS = 4000  # of the requesters
LATE_SECONDS = 0.5
REQUESTERS = 12
CALM_SECONDS = 4.0
SECONDS = 24.0
MIN_LATE = 8
ENDLESS = b"8\r\nno data\n\r\n"  # one short line in each chunk


class FaultyServer(Server):
    """Answers one request with a body that goes on until the caller closes the channel."""

    fails_next = False

    async def run(self, request: Request, request_id: str) -> Response | None:
        if not self.fails_next:
            return await super().run(request, request_id)
        self.fails_next = False
        self._record.write(f"{self.server_id} answers {request_id} with a body without end")
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in self.headers(request_id))]
        lines.append("Transfer-Encoding: chunked")
        request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        sent = 0
        try:
            while True:
                request.writer.write(ENDLESS * 4096)
                await request.writer.drain()
                sent += 4096 * len(ENDLESS)
        except OSError:
            self._record.write(f"{self.server_id}: the channel was closed after {sent} bytes")
        return None


async def case() -> int:
    system = System(
        Path(__file__).resolve().parent,
        manifest(
            [
                route("lookup", "idempotent", "catalogue", TIMEOUT_MS, attempts=2),
                route("loan", "non_idempotent", "lending", TIMEOUT_MS),
            ],
            ["catalogue", "lending"],
        ),
    )
    store, record = system.store, system.record
    faulty = FaultyServer("i-catalogue-0", "catalogue", "zone-a", store, record)
    servers = [faulty]
    servers += [Server(f"i-lending-{n}", "lending", f"zone-{z}", store, record) for n, z in enumerate("abc")]
    try:
        if not await system.start(2, servers):
            return NOT_RUN
        return await judge(system, faulty)
    finally:
        await system.stop()


async def judge(system: System, faulty: FaultyServer) -> int:
    record, port = system.record, system.instances[0].port
    answers: list[Answer] = []
    stop_at = record.now() + CALM_SECONDS + SECONDS

    async def borrow(number: int) -> None:
        requester = Requester(f"loan{number}", port, record)
        while record.now() < stop_at:
            answers.append(await requester.send("POST", "/loan/new", LIMIT_MS))
            await asyncio.sleep(0.3)
        requester.close()

    async def look_up() -> None:
        await asyncio.sleep(CALM_SECONDS)
        faulty.fails_next = trouble()
        requester = Requester("lookup", port, record)
        await requester.send("GET", "/lookup/toy", LIMIT_MS)
        requester.close()

    await asyncio.gather(look_up(), *(borrow(number) for number in range(REQUESTERS)))
    timeout = TIMEOUT_MS / 1000
    unanswered = [a for a in answers if a.seconds >= timeout]
    late = [a for a in unanswered if a.seconds >= timeout + LATE_SECONDS]
    served = sum(a.status == 200 for a in answers)
    record.write(
        f"requests to the sound service: {len(answers)}, answered with 200: {served}, unanswered "
        f"at the route's timeout_ms: {len(unanswered)}, still so {LATE_SECONDS} s later: {len(late)}"
    )
    if not trouble() and served < len(answers):
        return NOT_RUN if not late else BROKEN
    return BROKEN if len(late) >= MIN_LATE and 2 * len(late) > len(unanswered) else HELD


run_case(case)
