"""Structured log of decisions and state changes, rate-limited and non-blocking."""

import atexit
import json
import os
import select
import sys
import time
from collections import Counter, deque
from collections.abc import Iterable
from typing import Any

import logbook

from cactuspass._clock import now
from cactuspass._findings import Finding
from cactuspass.fleet._token_bucket import TokenBucket

REQUEST_LINES_PER_SECOND = 60.0
# State changes and orders have a limit of their own, which refused requests cannot use up.
OTHER_LINES_PER_SECOND = 40.0
# So do answers that end early, which the lines of their attempts come before.
ENDING_LINES_PER_SECOND = 20.0
# Callers that lose their place may be many, and must not use up the lines of others.
CALLER_LINES_PER_SECOND = 20.0
BURST_LINES = 300.0
BUFFER_LINES = 2000
# Time at the end of the process for a slow reader to take the lines that are left.
FLUSH_AT_EXIT_SECONDS = 0.3
LOGGER_NAME = "cactuspass.decisions"
ENDING = "ending"


class NonBlockingHandler(logbook.Handler):  # type: ignore[misc]
    """Writes lines to a non-blocking file descriptor and buffers those not yet accepted.

    When the buffer is full, the oldest line is dropped and counted.

    :param descriptor: file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__(level=logbook.INFO)
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Write a record, or buffer it while the descriptor is not writable."""
        if len(self._pending) >= BUFFER_LINES:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(record.message.encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._pending)
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def flush_within(self, seconds: float) -> None:
        """Write the buffered lines, and wait for the reader.

        :param seconds: time after which lines that are left are given up.
        """
        until = now() + seconds
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self._pending and (left := until - now()) > 0:
            poll.poll(left * 1000)
            self.flush()


class DecisionLog:
    """Writes one JSON line for each decision about a request, state change and order.

    Successful requests only appear in the metrics. Lines above a rate limit are dropped and
    counted, except alarms and lifecycle events.

    :param instance: name of this instance, written in each line.
    :param handler: handler that writes the lines; None writes to standard output.
    """

    def __init__(self, instance: str, handler: logbook.Handler | None = None) -> None:
        self._instance = instance
        self._handler = handler or _open_standard_output()
        self._logger = logbook.Logger(LOGGER_NAME)
        self._logger.handlers.append(self._handler)
        at = now()
        other_limit = TokenBucket(OTHER_LINES_PER_SECOND, BURST_LINES, at)
        self._rate_limits_by_share = {
            "request": TokenBucket(REQUEST_LINES_PER_SECOND, BURST_LINES, at),
            ENDING: TokenBucket(ENDING_LINES_PER_SECOND, BURST_LINES, at),
            "caller": TokenBucket(CALLER_LINES_PER_SECOND, BURST_LINES, at),
            "belief": other_limit,
            "order": other_limit,
        }
        self.dropped_by_share: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far by the rate limits and by the handler."""
        dropped_by_handler = getattr(self._handler, "dropped", 0)
        return sum(self.dropped_by_share.values()) + int(dropped_by_handler)

    def request(self, event: str, request_id: str, **fields: Any) -> None:
        """Log a decision about one request."""
        self._write("request", event, {"request": request_id, **fields})

    def ending(self, event: str, request_id: str, **fields: Any) -> None:
        """Log that a caller has got a part of an answer at most, or had its connection closed."""
        self._write("request", event, {"request": request_id, **fields}, ENDING)

    def caller(self, event: str, **fields: Any) -> None:
        """Log that a caller has lost its place, before its request was known."""
        self._write("caller", event, fields)

    def state_change(self, event: str, **fields: Any) -> None:
        """Log a change in this instance's view of the cluster."""
        self._write("belief", event, fields)

    def order(self, event: str, **fields: Any) -> None:
        """Log an order to an upstream, or its outcome."""
        self._write("order", event, fields)

    def lifecycle(self, event: str, **fields: Any) -> None:
        """Log a start, stop or reload, or a dependency that is lost or available again."""
        self._write("lifecycle", event, fields)

    def alarm(self, event: str, **fields: Any) -> None:
        """Log a condition that needs an operator's attention."""
        self._write("alarm", event, fields)

    def unreadable(self, findings: Iterable[Finding]) -> None:
        """Log each mistake in a document that cannot be used."""
        for finding in findings:
            self.alarm("document-unreadable", finding=str(finding))

    def _write(
        self, kind: str, event: str, fields: dict[str, Any], share: str | None = None
    ) -> None:
        """Write a line, unless its share of the lines is used up.

        :param share: whose rate limit applies; None for that of the kind.
        """
        share = share or kind
        at = now()
        rate_limit = self._rate_limits_by_share.get(share)
        if rate_limit is not None and not rate_limit.try_consume(at):
            self.dropped_by_share[share] += 1
            return
        line: dict[str, Any] = {"time": round(time.time(), 3), "at": round(at, 3)}
        line |= {"instance": self._instance, "kind": kind, "event": event}
        line.update((name, _to_json(value)) for name, value in fields.items() if value is not None)
        self._logger.info(json.dumps(line))


def _open_standard_output() -> NonBlockingHandler:
    handler = NonBlockingHandler(sys.stdout.fileno())
    atexit.register(handler.flush_within, FLUSH_AT_EXIT_SECONDS)
    return handler


def _to_json(value: Any) -> Any:
    """Return a value that JSON can represent; floats are rounded to 4 decimal places."""
    if isinstance(value, float):
        return round(value, 4)
    return value if isinstance(value, str | int | bool) else str(value)
