"""Keeps callers within the bounds on bytes and connections, and closes those that lose their place.

A request that has not run gets an answer that says so; an answer that its caller does not read is
cut visibly.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from cactuspass._caller_memory import HEADER_BYTES, CallerAccount, CallerMemory
from cactuspass._caller_stream import CallerStream
from cactuspass._clock import now
from cactuspass._connection_phases import ConnectionPhase
from cactuspass._lingering import LingeringSockets
from cactuspass._problems import Problem, RunState, bad_request

MAX_LENGTH_DIGITS = 18  # more are beyond any limit
RETRY_AFTER_SECONDS = 1.0


class CallerLimit(Enum):
    """Limit for which callers lose their place."""

    BODY = "body-bytes"
    HEAD_TIME = "header-seconds"
    MEMORY = "caller-memory"
    CONNECTIONS = "caller-connections"


PROBLEMS_BY_LIMIT = {
    limit: Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        limit.value,
        "The request was refused and has not run",
        detail,
        RunState.NOT_RUN,
        RETRY_AFTER_SECONDS,
    )
    for limit, detail in (
        (CallerLimit.MEMORY, "the requests of all callers take too much memory"),
        (CallerLimit.CONNECTIONS, "callers have too many connections"),
    )
}


@dataclass(frozen=True, slots=True)
class CallerRemoval:
    """A caller that lost its place.

    :param refused: whether it got an answer that its request has not run.
    :param seconds: time since its request began, or since it was idle.
    """

    limit: CallerLimit
    refused: bool
    address: str
    phase: ConnectionPhase
    held_bytes: int
    received_bytes: int
    seconds: float

    @property
    def outcome(self) -> str:
        """What became of the caller, for counters."""
        return "refused" if self.refused else "closed"

    @property
    def event(self) -> str:
        """Name of the log event."""
        return f"caller-{self.outcome}"

    def log_fields(self) -> dict[str, str | int | float]:
        """Return the fields of a log line."""
        return {
            "reason": self.limit.value,
            "caller": self.address,
            "phase": self.phase.value,
            "held_bytes": self.held_bytes,
            "received_bytes": self.received_bytes,
            "seconds": self.seconds,
        }


ReportRemoval = Callable[[CallerRemoval], None]


class CallerBoundary:
    """Counts what the connections of a server hold, and closes those that lose their place.

    :param streams: open connections of the server, which keeps them up to date.
    :param report: called with each caller that loses its place.
    :param max_body_bytes: largest body of a request; None if the handlers of requests check it.
    """

    def __init__(
        self,
        memory: CallerMemory,
        streams: Collection[CallerStream],
        report: ReportRemoval | None = None,
        max_body_bytes: int | None = None,
    ) -> None:
        self.memory = memory
        self._max_body_bytes = max_body_bytes
        self.lingering = LingeringSockets()
        self._streams = streams
        self._report = report
        self._check: asyncio.Handle | None = None

    def open_stream(self, stream: IOStream, address: Any) -> CallerStream | None:
        """Return the stream of a new connection; None if there are too many, so it is closed."""
        caller_stream = CallerStream(
            stream.socket,
            _describe_address(address),
            self.memory,
            self.lingering,
            self._check_later,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        if len(self._streams) + len(self.lingering) < self.memory.bounds.connections:
            return caller_stream
        victim = self._choose_connection()
        if victim is not None:
            self._remove(victim, CallerLimit.CONNECTIONS, victim.phase is not ConnectionPhase.IDLE)
            return caller_stream
        self._remove(caller_stream, CallerLimit.CONNECTIONS, True)
        return None

    def count_head(self, stream: CallerStream, headers: HTTPHeaders) -> None:
        """Count the head of a request and the body that it announces."""
        account = stream.account
        account.head_bytes = HEADER_BYTES * sum(1 for _ in headers.get_all())
        announced = headers.get("Content-Length", "0")
        is_number = announced.isascii() and announced.isdigit()
        self._count_request(stream, int(announced[:MAX_LENGTH_DIGITS]) if is_number else 0)

    def count_body(self, stream: CallerStream, count: int) -> None:
        """Count a part of the body that has arrived."""
        stream.account.received_bytes += count
        stream.count_buffers()
        self._count_request(stream, stream.account.received_bytes)

    def _count_request(self, stream: CallerStream, body_bytes: int) -> None:
        account = stream.account
        account.progressed_at = now()
        if self._max_body_bytes is not None and body_bytes > self._max_body_bytes:
            self.refuse(stream, CallerLimit.BODY, _too_large_problem(self._max_body_bytes))
            return
        held = account.head_bytes + body_bytes * self.memory.bounds.copies
        if held > account.request_bytes:
            self.memory.hold_request(account, held)
            self._make_room(stream)

    def _make_room(self, stream: CallerStream) -> None:
        """Close connections until there is room for a request, or refuse it."""
        if self.memory.excess_bytes(stream.account):
            self._remove_accounts(self.memory.choose_victims(stream.account, now()))

    def _check_later(self) -> None:
        """Close connections when buffers have grown too much; not while tornado reads into one."""
        if self._check is None and self.memory.excess_bytes():
            self._check = asyncio.get_running_loop().call_soon(self._check_buffers)

    def _check_buffers(self) -> None:
        self._check = None
        self._remove_accounts(self.memory.choose_victims(None, now()))

    def _remove_accounts(self, accounts: Iterable[CallerAccount]) -> None:
        removed = set(accounts)
        if removed:
            for stream in [stream for stream in self._streams if stream.account in removed]:
                self._remove(stream, CallerLimit.MEMORY, not stream.account.is_whole)

    def _remove(self, stream: CallerStream, limit: CallerLimit, refused: bool) -> None:
        if refused:
            self.refuse(stream, limit, PROBLEMS_BY_LIMIT[limit])
        elif not stream.closed():
            self._report_removal(stream, limit, refused)
            stream.close()
            self.memory.close(stream.account)

    def refuse(self, stream: CallerStream, limit: CallerLimit, problem: Problem) -> None:
        """Answer a request that has not run, and close its connection."""
        if not stream.closed():
            self._report_removal(stream, limit, True)
            stream.send_problem_and_close(problem)
            self.memory.close(stream.account)

    def _report_removal(self, stream: CallerStream, limit: CallerLimit, refused: bool) -> None:
        account = stream.account
        removal = CallerRemoval(
            limit,
            refused,
            account.address,
            stream.phase,
            account.held_bytes,
            account.received_bytes,
            now() - account.began_at,
        )
        if self._report is not None:
            self._report(removal)

    def _choose_connection(self) -> CallerStream | None:
        """Return the connection that is closed for a new one: the longest idle or unfinished."""
        longest_first = sorted(
            (stream for stream in self._streams if not stream.account.is_whole),
            key=lambda stream: (stream.first_byte_at is not None, stream.account.began_at),
        )
        unread = None
        for stream in longest_first:
            if stream.closed():
                continue
            if stream.phase is not ConnectionPhase.UNREAD:
                return stream
            unread = unread or stream
        return unread


def _too_large_problem(limit: int) -> Problem:
    detail = f"the body of the request is over the limit of {limit} bytes"
    return bad_request(detail, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body-too-large")


def _describe_address(address: Any) -> str:
    """Return ``host:port`` of a caller."""
    return f"{address[0]}:{address[1]}" if isinstance(address, tuple) else str(address)
