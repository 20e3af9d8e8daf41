"""Structured log lines for decisions and changes of belief, bounded and never blocking."""

import json
import os
import sys
import time
from collections import Counter, deque
from typing import Any

import logbook

from cactuspass._clock import now

REQUEST_LINES_PER_SECOND = 60.0
OTHER_LINES_PER_SECOND = 40.0  # of beliefs and orders, which refusals must not crowd out
BURST_LINES = 300.0
BUFFER_LINES = 2000
LOGGER_NAME = "cactuspass.decisions"


class NonBlockingHandler(logbook.Handler):  # type: ignore[misc]
    """Writes lines to a file descriptor that may refuse them, and keeps a bounded rest.

    :param descriptor: where the lines go; it is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__(level=logbook.INFO)
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: Any) -> None:
        """Write a record, or keep it until the reader has caught up."""
        if len(self._pending) >= BUFFER_LINES:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(record.message.encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
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


class _LineBudget:
    """Lines that may be written, at a steady rate and some at once."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = BURST_LINES
        self._refilled_at = now()

    def take(self, at: float) -> bool:
        """Use up a line, if there is one."""
        earned = (at - self._refilled_at) * self._per_second
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_at = at
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes one JSON line for each decision about a request or change of a belief.

    Requests that went well are counted, not written. Lines beyond a steady rate are dropped and
    counted, except alarms and changes of the life-cycle.

    :param instance: name of this instance, on each line.
    """

    def __init__(self, instance: str, handler: logbook.Handler | None = None) -> None:
        self._instance = instance
        self._handler = handler or NonBlockingHandler(sys.stdout.fileno())
        self._logger = logbook.Logger(LOGGER_NAME)
        self._logger.handlers.append(self._handler)
        others = _LineBudget(OTHER_LINES_PER_SECOND)
        self._budgets_by_kind = {
            "request": _LineBudget(REQUEST_LINES_PER_SECOND),
            "belief": others,
            "order": others,
        }
        self.dropped_by_kind: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        refused = getattr(self._handler, "dropped", 0)
        return sum(self.dropped_by_kind.values()) + int(refused)

    def request(self, event: str, request_id: str, **fields: Any) -> None:
        """Log a decision that touches one request."""
        self._write("request", event, {"request": request_id, **fields})

    def state_change(self, event: str, **fields: Any) -> None:
        """Log a change of what this instance believes."""
        self._write("belief", event, fields)

    def order(self, event: str, **fields: Any) -> None:
        """Log an order to an upstream or its outcome."""
        self._write("order", event, fields)

    def lifecycle(self, event: str, **fields: Any) -> None:
        """Log a start, stop, reload, or a dependency that was lost or regained."""
        self._write("lifecycle", event, fields)

    def alarm(self, event: str, **fields: Any) -> None:
        """Log what an operator should look at."""
        self._write("alarm", event, fields)

    def _write(self, kind: str, event: str, fields: dict[str, Any]) -> None:
        at = now()
        budget = self._budgets_by_kind.get(kind)
        if budget is not None and not budget.take(at):
            self.dropped_by_kind[kind] += 1
            return
        line: dict[str, Any] = {"time": round(time.time(), 3), "at": round(at, 3)}
        line |= {"instance": self._instance, "kind": kind, "event": event}
        line.update((name, _plain(value)) for name, value in fields.items() if value is not None)
        self._logger.info(json.dumps(line))


def _plain(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    return value if isinstance(value, str | int | bool) else str(value)
