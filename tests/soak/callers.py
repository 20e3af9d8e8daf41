"""Callers of a soak, and the promises that their answers and the servers' runs must keep."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.fleet_path import events
from tests.model_servers import EVENTS
from tests.soak.fleet import SoakFleet

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
ANSWER_SECONDS = 12.0


@dataclass
class Ledger:
    """What callers got, by request id."""

    status_by_id: dict[str, int] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def check_runs(self, fleet: SoakFleet) -> None:
        """Check that bookings ran once at most, and not if a caller was told that they have not."""
        runs = Counter(
            itertools.chain.from_iterable(server.executed_request_ids for server in fleet.bookings)
        )
        self.violations += [f"{i} ran {count} times" for i, count in runs.items() if count > 1]
        self.violations += [
            f"{i} has run, though its caller got {status}"
            for i, status in self.status_by_id.items()
            if status in PROMISES_NOT_RUN and i in runs
        ]


class Caller:
    """Sends requests to one instance, one after the other.

    It uses its connection until that is gone, whatever the instance says about closing it.
    """

    def __init__(self, port: int, name: str, ledger: Ledger, rng: random.Random) -> None:
        self._port = port
        self._name = name
        self._ledger = ledger
        self._rng = rng
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until: asyncio.Event) -> None:
        """Send requests until the event is set."""
        for number in itertools.count():
            if until.is_set():
                break
            await self.ask(f"{self._name}-{number}", booking=self._rng.random() < 0.4)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def ask(self, request_id: str, booking: bool) -> bool:
        """Send one request; return whether it was answered with success."""
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                status, body, whole = await self._exchange(request_id, booking)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._ledger.outcomes["no answer"] += 1
            self.close()
            return False
        self._ledger.outcomes[f"{status}{'' if whole else ' cut'}"] += 1
        if booking:
            self._ledger.status_by_id[request_id] = status
        elif status == 200 and whole and body != events(range(1, EVENTS + 1)):
            self._ledger.violations.append(f"{request_id}: a whole answer of {len(body)} bytes")
        return status == 200 and whole

    async def _exchange(self, request_id: str, booking: bool) -> tuple[int, bytes, bool]:
        if self._connection is None:
            self._connection = await asyncio.open_connection("127.0.0.1", self._port)
        reader, writer = self._connection
        path = "/booking/x" if booking else "/stream/x"
        model = "" if booking else "Cactuspass-Model: m0\r\n"
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\nContent-Length: 2\r\n"
            f"Cactuspass-Request-Id: {request_id}\r\nCactuspass-Deadline-Ms: 6000\r\n{model}\r\n"
            "{}".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        body, whole = await self._body(reader, head.lower())
        if not whole:
            self.close()
        return status, body, whole

    async def _body(self, reader: asyncio.StreamReader, head: bytes) -> tuple[bytes, bool]:
        if b"transfer-encoding: chunked" not in head:
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            return await reader.readexactly(length), True
        parts: list[bytes] = []
        try:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return b"".join(parts), False
        return b"".join(parts), True
