"""A server of streams that may go on without end, and the judgement of the other requests."""

import asyncio

from http_server import Request, Response
from system import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Answer,
    Record,
    Requester,
    Server,
    Store,
    System,
    manifest,
    route,
    trouble,
)

STREAM_MS = 8000  # timeout of the streams' route
TIMEOUT_MS = 2000  # timeout of the other route
LIMIT_MS = 4000  # of the requesters
LATE_SECONDS = 0.5
REQUESTERS = 12
CALM_SECONDS = 4.0
SECONDS = 24.0
MIN_LATE = 8
EVENTS = 20
EVENT_SECONDS = 0.02


class StreamServer(Server):
    """Streams events; in trouble, its streams go on without end.

    :ivar filler: what it then sends again and again, as chunks.
    """

    filler = b""
    in_trouble = False

    def __init__(
        self, server_id: str, service: str, zone: str, store: Store, record: Record
    ) -> None:
        super().__init__(server_id, service, zone, store, record)
        self.endless_ids: list[str] = []

    async def run(self, request: Request, request_id: str) -> Response | None:
        """Stream the events, and then the end of the stream or the filler without end."""
        writer = request.writer
        headers = dict(self.headers(request_id)) | {"Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, EVENTS + 1):
            writer.write(chunk(f"id: {number}\ndata: x\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        if self.in_trouble:
            await self._go_on(writer, request_id)
        else:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            writer.close()
        return None

    async def _go_on(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        self.endless_ids.append(request_id)
        self._record.write(f"{self.server_id} goes on with {request_id} without end")
        sent = 0
        try:
            while True:
                writer.write(self.filler)
                await writer.drain()
                sent += len(self.filler)
        except OSError:
            self._record.write(f"{self.server_id}: the channel was closed after {sent} bytes")


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def run_streams(folder, filler: bytes, askers: int) -> int:
    """Run the case: one of two stream servers sends a filler without end.

    :param askers: number of streams that are asked for at once when the trouble begins.
    """
    routes = [
        route("ask", "stream", "assistant", STREAM_MS, attempts=2, resumable=True, gap_aim_ms=300),
        route("loan", "non_idempotent", "lending", TIMEOUT_MS),
    ]
    system = System(folder, manifest(routes, ["assistant", "lending"]))
    store, record = system.store, system.record
    faulty = StreamServer("i-assistant-0", "assistant", "zone-a", store, record)
    faulty.filler = filler
    sound = StreamServer("i-assistant-1", "assistant", "zone-b", store, record)
    lenders = [
        Server(f"i-lending-{number}", "lending", zone, store, record)
        for number, zone in enumerate(ZONES)
    ]
    try:
        if not await system.start(2, [faulty, sound, *lenders]):
            return NOT_RUN
        return await _judge(system, faulty, askers)
    finally:
        await system.stop()


async def _judge(system: System, faulty: StreamServer, askers: int) -> int:
    record, port = system.record, system.instances[0].port
    answers: list[Answer] = []
    stop_at = record.now() + CALM_SECONDS + SECONDS

    async def borrow(number: int) -> None:
        requester = Requester(f"loan{number}", port, record)
        while record.now() < stop_at:
            answers.append(await requester.send("POST", "/loan/new", LIMIT_MS))
            await asyncio.sleep(0.3)
        requester.close()

    async def ask(number: int) -> None:
        await asyncio.sleep(CALM_SECONDS)
        faulty.in_trouble = trouble()
        while record.now() < stop_at and not (trouble() and faulty.endless_ids):
            requester = Requester(f"ask{number}", port, record)
            await requester.send("POST", "/ask/question", STREAM_MS)
            requester.close()
            await asyncio.sleep(0.5)

    await asyncio.gather(*map(ask, range(askers)), *map(borrow, range(REQUESTERS)))
    timeout = TIMEOUT_MS / 1000
    unanswered = [a for a in answers if a.seconds >= timeout]
    late = [a for a in unanswered if a.seconds >= timeout + LATE_SECONDS]
    served = sum(a.status == 200 for a in answers)
    record.write(
        f"streams without end: {len(faulty.endless_ids)}; requests to the sound service: "
        f"{len(answers)}, answered with 200: {served}, unanswered at the route's timeout_ms: "
        f"{len(unanswered)}, still so {LATE_SECONDS} s later: {len(late)}"
    )
    if trouble() and not faulty.endless_ids:
        return NOT_RUN
    if not trouble() and served < len(answers):
        return BROKEN if late else NOT_RUN
    return BROKEN if len(late) >= MIN_LATE and 2 * len(late) > len(unanswered) else HELD
