"""Reads the decision logs of several instances and selects the lines that explain a request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cactuspass.exceptions import CactuspassError

CONTEXT_SECONDS = 3.0
HEADER_FIELDS = frozenset({"time", "at", "instance", "kind", "event"})
REQUEST_KIND = "request"
CLUSTER_EVENTS = frozenset({"groups-serving", "lead-taken", "lead-lost"})
LEAVING_EVENT = "upstream-leaving"
LEFT_EVENT = "upstream-left"
BACKOFF_EVENT = "upstream-quiet"
LIMIT_EVENT = "upstream-limit"
LIMIT_ENDED = "ended"
PART_EVENTS = frozenset(
    {
        "part-suspected",
        "part-cleared",
        "part-not-blamed",
        "part-blocked",
        "part-block-ended",
        "part-tried",
    }
)
INSTANCE_EVENTS = frozenset({"catalog-in-force", "evacuations-in-force"})


class LogUnreadable(CactuspassError):
    """Raised when a file cannot be read or contains no line of a decision log."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a decision log.

    :param time: wall-clock time in Unix seconds; may jump, and differs slightly between machines.
    :param at: boot-time clock of the machine in seconds, which also advances while the machine is
        suspended; comparable only on the same machine.
    :param instance: name of the instance that wrote the line.
    :param fields: all other fields of the line.
    """

    time: float
    at: float
    instance: str
    kind: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def mentions(self, values: Iterable[object]) -> bool:
        """Return whether any text field equals one of the values."""
        searched = set(values)
        return any(value in searched for value in self.fields.values() if isinstance(value, str))

    @property
    def blocked_parts(self) -> frozenset[str]:
        """The parts of a prompt that a line is about."""
        return _split(self.fields.get("parts"))

    @property
    def all_parts(self) -> frozenset[str]:
        """The shared parts of the request of a line, and those that it is about."""
        return self.blocked_parts | _split(self.fields.get("shared_parts"))

    def render(self) -> str:
        """Return the line as text for an operator."""
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time:.3f} {self.instance:20} {self.event:22} {pairs}"


def _split(value: object) -> frozenset[str]:
    """Return the items of a field with a list; lines of other programs may have other values."""
    return frozenset(value.split(",")) if isinstance(value, str) else frozenset()


def parse_line(text: str) -> LogLine | None:
    """Parse a line of a file, ignoring anything before the JSON object.

    :return: None when the text is not a line of a decision log.
    """
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
        # Other programs may write to the same file, so other lines are ignored.
        return None


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Return the lines of all files sorted by time; lines with equal times keep their order.

    :raises LogUnreadable: when a file cannot be read or contains no line of a decision log.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise LogUnreadable(f"{path}: {error.strerror}") from error
        parsed = [line for line in map(parse_line, text.splitlines()) if line is not None]
        if not parsed:
            raise LogUnreadable(f"{path}: no line of a decision log")
        lines += parsed
    return sorted(lines, key=lambda line: line.time)


def explain(request_id: str, lines: list[LogLine]) -> Iterator[str]:
    """Yield the log lines that explain a request, in order of time.

    Its own lines are marked with ``>``. The other lines, from ``CONTEXT_SECONDS`` before its first
    line to ``CONTEXT_SECONDS`` after its last, concern its upstreams, their groups, its instance or
    the whole cluster. Earlier notices of upstreams are included while they still applied, and for a
    request with a blocked part all that came to be known about the part; of what was told to all
    instances, as it was logged where it began and at the instance of the request.

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
    history = _PartHistory.of(own)
    for line in lines:
        if line.event in PART_EVENTS:
            if history.concerns(line, first, last):
                is_told = line.fields.get(REQUEST_KIND) == request_id
                yield f"{'>' if is_told else ' '} {line.render()}"
            continue
        is_own = line.fields.get(REQUEST_KIND) == request_id
        is_context = line.kind != REQUEST_KIND and first <= line.time <= last
        if (
            is_own
            or (
                is_context
                and (line.mentions(upstreams | groups) or _affects_every_request(line, own[0]))
            )
            or (line.mentions(upstreams | services) and _is_notice_in_force(line, own[0], lines))
        ):
            yield f"{'>' if is_own else ' '} {line.render()}"


@dataclass(frozen=True, slots=True)
class _PartHistory:
    """The parts of one request's prompt, to select the lines about them.

    :param instance: instance that served the request.
    :param service: service of the request; None if its lines do not name it.
    :param blocked: parts for which the request was refused.
    """

    instance: str
    service: object
    parts: frozenset[str]
    blocked: frozenset[str]

    @classmethod
    def of(cls, own: list[LogLine]) -> "_PartHistory":
        """Return what the lines of a request tell about its parts."""
        requests = [line for line in own if line.kind == REQUEST_KIND]
        return cls(
            (requests or own)[0].instance,
            next((line.fields["service"] for line in own if "service" in line.fields), None),
            frozenset[str]().union(*(line.all_parts for line in own)),
            frozenset[str]().union(*(line.blocked_parts for line in requests)),
        )

    def concerns(self, line: LogLine, first: float, last: float) -> bool:
        """Return whether a line about parts helps to explain the request.

        :param first: time from which lines about parts that are not blocked are shown.
        :param last: time of the last line that is shown.
        """
        if line.time > last or not self.parts & line.blocked_parts:
            return False
        if self.service is not None and line.fields.get("service") != self.service:
            return False
        if line.time < first and not self.blocked & line.blocked_parts:
            return False
        origin = line.fields.get("by") or line.fields.get("source") or line.instance
        return line.instance in (self.instance, origin)


def _is_notice_in_force(line: LogLine, own: LogLine, lines: list[LogLine]) -> bool:
    """Return whether a line logs an upstream's notice that still applied to a request.

    A requested backoff applies for its duration, and a notice that the upstream is leaving applies
    until the upstream has left, as a limit does until it changes. Only notices logged by the
    instance of the request count.

    :param own: first line of the request.
    """
    if line.instance != own.instance or line.time > own.time:
        return False
    if line.event == BACKOFF_EVENT:
        return own.time <= line.time + float(line.fields.get("seconds", 0.0))
    if line.event == LIMIT_EVENT and line.fields.get("change") != LIMIT_ENDED:
        return not _is_followed_by(LIMIT_EVENT, line, own, lines)
    return line.event == LEAVING_EVENT and not _is_followed_by(LEFT_EVENT, line, own, lines)


def _is_followed_by(event: str, line: LogLine, own: LogLine, lines: list[LogLine]) -> bool:
    """Return whether the instance logged an event about the same upstream before a request.

    :param own: first line of the request.
    """
    return any(
        later.event == event
        and later is not line
        and later.instance == line.instance
        and later.fields.get("upstream") == line.fields.get("upstream")
        and line.time <= later.time <= own.time
        for later in lines
    )


def _affects_every_request(line: LogLine, own: LogLine) -> bool:
    """Return whether a line logs something that affects every request of the instance.

    :param own: first line of the request.
    """
    if line.event in CLUSTER_EVENTS:
        return True
    if line.instance != own.instance:
        return False
    return line.kind in ("lifecycle", "alarm") or line.event in INSTANCE_EVENTS


def timeline(lines: list[LogLine]) -> Iterator[str]:
    """Yield the state changes, orders, lifecycle events and alarms of all instances in order."""
    for line in lines:
        if line.kind != REQUEST_KIND:
            yield line.render()
