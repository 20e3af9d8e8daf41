"""Reads decision logs of several processes and tells the story of a request or of the beliefs."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cactuspass.exceptions import CactuspassError

CONTEXT_SECONDS = 3.0
HEADER_FIELDS = frozenset({"time", "at", "instance", "kind", "event"})
REQUEST_KIND = "request"
EVENTS_FOR_ALL = frozenset({"groups-serving", "lead-taken", "lead-lost"})
LEAVING_EVENT = "upstream-leaving"
LEFT_EVENT = "upstream-left"
QUIET_EVENT = "upstream-quiet"
EVENTS_FOR_INSTANCE = frozenset({"catalog-in-force", "evacuations-in-force"})


class LogUnreadable(CactuspassError):
    """A file holds no decision log."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a decision log.

    :param time: time of day, in Unix seconds; may jump, and differs a little between machines.
    :param at: clock of the machine that counts while it is suspended; only for ages within it.
    """

    time: float
    at: float
    instance: str
    kind: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def mentions(self, values: Iterable[object]) -> bool:
        """Return whether a field has one of the values."""
        wanted = set(values)
        return any(value in wanted for value in self.fields.values() if isinstance(value, str))

    def render(self) -> str:
        """Return the line for a reader."""
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time:.3f} {self.instance:20} {self.event:22} {pairs}"


def parse_line(text: str) -> LogLine | None:
    """Return the log line in a text, which may have a prefix; None when there is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        body = json.loads(text[start:])
        return LogLine(
            float(body["time"]),
            float(body["at"]),
            str(body["instance"]),
            str(body["kind"]),
            str(body["event"]),
            {name: value for name, value in body.items() if name not in HEADER_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        # Other programs may write to the same file.
        return None


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Return the lines of all files by their time; those of one process stay in order.

    :raises LogUnreadable: when a file cannot be read or holds no line of a decision log.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise LogUnreadable(f"{path}: {error.strerror}") from error
        found = [line for line in map(parse_line, text.splitlines()) if line is not None]
        if not found:
            raise LogUnreadable(f"{path}: no line of a decision log")
        lines += found
    return sorted(lines, key=lambda line: line.time)


def explain(request_id: str, lines: list[LogLine]) -> Iterator[str]:
    """Yield the story of a request: its lines, and what was believed of its upstreams meanwhile.

    :param request_id: id of one attempt of the caller.
    """
    own = [line for line in lines if line.fields.get(REQUEST_KIND) == request_id]
    if not own:
        yield f"no line names request {request_id}; a request that went well leaves none"
        return
    upstreams = {line.fields["upstream"] for line in own if "upstream" in line.fields}
    services = {line.fields["service"] for line in own if "service" in line.fields}
    groups = {
        line.fields["group"]
        for line in lines
        if line.fields.get("upstream") in upstreams and "group" in line.fields
    }
    first, last = own[0].time - CONTEXT_SECONDS, own[-1].time + CONTEXT_SECONDS
    for line in lines:
        is_own = line.fields.get(REQUEST_KIND) == request_id
        about = line.kind != REQUEST_KIND and first <= line.time <= last
        if (
            is_own
            or (about and (line.mentions(upstreams | groups) or _concerns_all(line, own[0])))
            or (line.mentions(upstreams | services) and _is_in_force(line, own[0], lines))
        ):
            yield f"{'>' if is_own else ' '} {line.render()}"


def _is_in_force(line: LogLine, own: LogLine, lines: list[LogLine]) -> bool:
    """Return whether a line tells what an upstream said of itself, and that held for a request.

    :param own: first line of the request.
    """
    if line.instance != own.instance or line.time > own.time:
        return False
    if line.event == QUIET_EVENT:
        return own.time <= line.time + float(line.fields.get("seconds", 0.0))
    return line.event == LEAVING_EVENT and not any(
        later.event == LEFT_EVENT
        and later.instance == line.instance
        and later.fields.get("upstream") == line.fields.get("upstream")
        and line.time <= later.time <= own.time
        for later in lines
    )


def _concerns_all(line: LogLine, own: LogLine) -> bool:
    """Return whether a line tells of something that touches every request of the instance."""
    if line.event in EVENTS_FOR_ALL:
        return True
    if line.instance != own.instance:
        return False
    return line.kind in ("lifecycle", "alarm") or line.event in EVENTS_FOR_INSTANCE


def timeline(lines: list[LogLine]) -> Iterator[str]:
    """Yield the changes of belief, the orders and the life-cycle of all instances in order."""
    for line in lines:
        if line.kind != REQUEST_KIND:
            yield line.render()
