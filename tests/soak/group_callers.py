"""Callers of the soak of stops beside groups, on kept, new and lingering connections."""

import asyncio
import itertools
import random

from tests.soak.answers import AnswerReader
from tests.soak.fleet import InstanceProcess
from tests.soak.group_servers import (
    PLAIN_TIMEOUT_MS,
    SIZES_BY_MODEL,
    STREAM_TIMEOUTS_MS,
    WorkPlan,
)
from tests.soak.stop_verdicts import Call, Record

ANSWER_MARGIN_SECONDS = 3.0  # after the time limit
LINGER_RANGE_SECONDS = (0.0, 0.5)
RETRY_SECONDS = 0.25  # after a connection that was refused
ROUTES = ("question", "question", "question", "report", "loan", "lookup")


class GroupCaller:
    """Sends requests to one instance on connections of three kinds, and records the answers.

    The kept connection is used until the instance closes it; others are used once, some of them
    a while after they were opened.
    """

    def __init__(self, instance: InstanceProcess, record: Record) -> None:
        self._instance = instance
        self._record = record

    async def call_repeatedly(self, name: str, ended: asyncio.Event) -> None:
        """Send requests one after the other on a kept connection."""
        rng = random.Random(name)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        for number in itertools.count():
            if ended.is_set():
                break
            try:
                connection = connection or await self._connect()
            except OSError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            call = await self._exchange(f"{name}-{number}", rng, *connection)
            if not call.is_whole:
                connection[1].close()
                connection = None
            await asyncio.sleep(0.0 if call.status == 200 else RETRY_SECONDS)
        if connection is not None:
            connection[1].close()

    async def call_once(self, request_id: str) -> Call | None:
        """Send one request on a new connection; return None when it was refused."""
        rng = random.Random(request_id)
        try:
            reader, writer = await self._connect()
        except OSError:
            return None
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(*LINGER_RANGE_SECONDS))
        try:
            return await self._exchange(request_id, rng, reader, writer)
        finally:
            writer.close()

    async def call_at(self, request_id: str, at: float) -> None:
        """Open a connection now, and send one request on it at a moment of the loop's clock."""
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        await self._exchange(request_id, random.Random(request_id), reader, writer)
        writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._instance.port)

    async def _exchange(
        self,
        request_id: str,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Call:
        route = rng.choice(ROUTES)
        model = rng.choice(list(SIZES_BY_MODEL))
        limit_ms = STREAM_TIMEOUTS_MS.get(route, PLAIN_TIMEOUT_MS)
        headers = (
            f"Cactuspass-Model: {model}\r\nCactuspass-Tokens: 460,80\r\n"
            if route in STREAM_TIMEOUTS_MS
            else ""
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        writer.write(
            f"POST /{route}/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n"
            f"Content-Length: 2\r\nCactuspass-Request-Id: {request_id}\r\n"
            f"Cactuspass-Deadline-Ms: {limit_ms}\r\n"
            f"{headers}\r\n{{}}".encode()
        )
        answer = AnswerReader(reader)
        is_whole = False
        try:
            async with asyncio.timeout(limit_ms / 1000 + ANSWER_MARGIN_SECONDS):
                await answer.read()
                is_whole = True
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        plan = WorkPlan.of(request_id, route)
        problem = _find_problem(answer.body, plan) if is_whole and answer.status == 200 else ""
        call = Call(
            request_id,
            self._instance.name,
            route,
            sent_at,
            loop.time(),
            answer.status,
            is_whole,
            problem,
        )
        self._record.calls.append(call)
        return call


def _find_problem(body: bytes, plan: WorkPlan) -> str:
    """Return what is wrong with the body of a complete answer; empty if nothing is."""
    numbers = range(1, plan.events + 1)
    expected = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers) or b"done"
    return "" if body == expected else f"body of {len(body)} bytes is not the one due"
