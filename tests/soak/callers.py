"""Callers of a soak, and the checks of their responses and of the servers' executions."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.fleet_path import events
from tests.model_servers import EVENTS
from tests.soak.fleet import SoakFleet

# Statuses that guarantee the caller that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RESPONSE_TIMEOUT_SECONDS = 12.0


@dataclass
class CallerResults:
    """Responses that the callers received, and the violations found in them.

    :param status_by_id: statuses of the booking requests.
    :param outcomes: number of requests by outcome.
    """

    status_by_id: dict[str, int] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def check_executions(self, fleet: SoakFleet) -> None:
        """Check that no booking ran twice, or ran although its response denied the execution."""
        executions = Counter(
            itertools.chain.from_iterable(server.executed_request_ids for server in fleet.bookings)
        )
        self.violations += [
            f"{i} ran {count} times" for i, count in executions.items() if count > 1
        ]
        self.violations += [
            f"{i} has run, though its caller got {status}"
            for i, status in self.status_by_id.items()
            if status in NOT_RUN_STATUSES and i in executions
        ]


class Caller:
    """Sends requests to one instance, one after the other.

    It keeps using its connection until it fails, also when a response announces that the instance
    will close it.
    """

    def __init__(self, port: int, name: str, results: CallerResults, rng: random.Random) -> None:
        self._port = port
        self._name = name
        self._results = results
        self._rng = rng
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until ``stop`` is set."""
        for number in itertools.count():
            if stop.is_set():
                break
            await self.send_request(f"{self._name}-{number}", booking=self._rng.random() < 0.4)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def send_request(self, request_id: str, booking: bool) -> bool:
        """Send one request.

        :param booking: whether it is a booking; otherwise it requests a stream.
        :return: whether a complete response with status 200 was received.
        """
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                status, body, is_complete = await self._exchange(request_id, booking)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._results.outcomes["no answer"] += 1
            self.close()
            return False
        self._results.outcomes[f"{status}{'' if is_complete else ' cut'}"] += 1
        if booking:
            self._results.status_by_id[request_id] = status
        elif status == 200 and is_complete and body != events(range(1, EVENTS + 1)):
            self._results.violations.append(
                f"{request_id}: complete stream with an unexpected body of {len(body)} bytes"
            )
        return status == 200 and is_complete

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
        body, is_complete = await self._read_body(reader, head.lower())
        if not is_complete:
            self.close()
        return status, body, is_complete

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> tuple[bytes, bool]:
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
