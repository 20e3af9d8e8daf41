"""Calculate the capacity table from measured costs.

``python -m bench.capacity measure`` writes ``docs/measured/control.json``;
``python -m bench.capacity`` prints the tables that ``docs/CAPACITY.md`` shows.
"""

import json
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy

from bench import control, path

MEASURED = Path(__file__).resolve().parent.parent / "docs" / "measured"
CONTROL_FILE = MEASURED / "control.json"
PATH_FILE = MEASURED / "path.json"

NODES = 340
DATA_CENTRES = 7
SERVERS = 610
LOCAL_ENTRIES = 49
OTHER_ENTRIES = NODES - LOCAL_ENTRIES
UPSTREAMS = 87
GROUP_SIZE = 16
HELD_GROUPS = 1
CPU_BUDGET_SHARE = 0.017
BYTES_BUDGET = 2048.0
PLATFORM_READS_BUDGET = 2000.0
PLATFORM_WRITES_BUDGET = 200.0
REQUESTS_PER_SECOND = 5300.0
TOKENS_PER_SECOND = 1_300_000.0
CONFIRM_BYTES = 1100.0
CONFIRMS_PER_SECOND = 1.0
LIST_LINE_BYTES = 170.0
LIST_READS_PER_SECOND = 0.5
LIST_CHANGES_PER_DAY = 126
SECONDS_PER_DAY = 86_400
UNCHANGED_BYTES = 500.0
SEAT_BYTES = 110
ASSIGNED_INSTANCE_BYTES = 60
VALUE_BUDGET_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Slopes:
    """Marginal costs, fitted to the measured fleet sizes.

    :param cpu_base: share of a core without peers and instances.
    :param cpu_local: share of a core for each other entry of the own data centre.
    :param cpu_other: share of a core for each connected entry of another data centre.
    :param cpu_watched: share of a core for each instance with an event stream.
    :param heartbeat_base: bytes of a heartbeat without groups.
    :param heartbeat_group: bytes of a heartbeat for each held group.
    :param state_peer: bytes of memory for each other entry.
    :param state_upstream: bytes of memory for each upstream of the data centre.
    """

    cpu_base: float
    cpu_local: float
    cpu_other: float
    cpu_watched: float
    heartbeat_base: float
    heartbeat_group: float
    state_peer: float
    state_upstream: float


@dataclass(frozen=True, slots=True)
class Role:
    """One row of the capacity table: a task of an entry and its cost.

    :param cpu_share: share of a core; None if not measured.
    :param bytes_per_second: network traffic; None if not measured.
    """

    role: str
    mechanism: str
    state: str
    messages: str
    cpu_share: float | None
    bytes_per_second: float | None
    verdict: str


def fit(found: Sequence[dict[str, Any]]) -> Slopes:
    """Fit the marginal costs to measured figures."""
    sizes = [item["size"] for item in found]
    local = [size["local_entries"] - 1 for size in sizes]
    other = [size["other_entries"] for size in sizes]
    peers = [sum(pair) for pair in zip(local, other, strict=True)]
    watched = [item["watched"] for item in found]
    cpu = _least_squares([local, other, watched], [item["cpu_share"] for item in found])
    heartbeat = _least_squares(
        [[item["held_groups"] for item in found]], [item["heartbeat_bytes"] for item in found]
    )
    state = _least_squares(
        [peers, [size["upstreams"] for size in sizes]], [item["state_bytes"] for item in found]
    )
    return Slopes(*cpu, *heartbeat, *state[1:])


def roles(slopes: Slopes, path_figures: dict[str, Any]) -> list[Role]:
    """Return the rows of the capacity table for the target fleet size."""
    return [
        _entry_path(path_figures),
        _membership(slopes),
        _holder(slopes),
        _configuration(),
        _instance_list(),
        *_on_demand(),
    ]


def _entry_path(path_figures: dict[str, Any]) -> Role:
    measured = path_figures["share_daemon"]
    node_tokens = TOKENS_PER_SECOND / NODES
    share = node_tokens * measured["cpu_share"] / measured["tokens_per_second"]
    return Role(
        "entry path",
        "callers' listener, one hop to the holder",
        "answers up to the memory budget",
        f"{REQUESTS_PER_SECOND / NODES:.1f} requests/s, {node_tokens:,.0f} tokens/s",
        share,
        None,
        _within(share, 1.0, "one core"),
    )


def _membership(slopes: Slopes) -> Role:
    peers = NODES - 1
    state = peers * slopes.state_peer + UPSTREAMS * slopes.state_upstream
    local = (LOCAL_ENTRIES - 1) * slopes.cpu_local
    sent = peers * heartbeat_bytes(slopes)
    return Role(
        "peer membership",
        "a connection and a heartbeat a second to every entry",
        f"{state / 1e6:.2f} MB of tables",
        f"{peers} heartbeats/s out, {peers} in",
        slopes.cpu_base + local + OTHER_ENTRIES * slopes.cpu_other,
        sent,
        _within(sent, BYTES_BUDGET, "2 KB/s"),
    )


def _holder(slopes: Slopes) -> Role:
    watched = HELD_GROUPS * GROUP_SIZE
    received = watched * (control.STATUS_EVENT_BYTES + control.TCP_IP_HEADER_BYTES)
    return Role(
        "holder of a group of 16",
        "an event stream from each member, one status a second",
        "a row for each member and request",
        f"{watched} events/s",
        watched * slopes.cpu_watched,
        received,
        _within(received, BYTES_BUDGET, "2 KB/s"),
    )


def _configuration() -> Role:
    reads = NODES * CONFIRMS_PER_SECOND
    return Role(
        "configuration and right",
        "one confirmation read a second in one transaction",
        "two documents",
        f"{reads:.0f} reads/s of the fleet",
        None,
        CONFIRM_BYTES * CONFIRMS_PER_SECOND,
        _within(reads, PLATFORM_READS_BUDGET, "2,000 reads/s"),
    )


def _instance_list() -> Role:
    lines = NODES + SERVERS
    changes = LIST_CHANGES_PER_DAY / SECONDS_PER_DAY
    received = LIST_READS_PER_SECOND * UNCHANGED_BYTES + changes * lines * LIST_LINE_BYTES
    return Role(
        "instance list",
        "asked for every 2 s, sent whole when it changed",
        f"{lines} lines",
        f"{LIST_READS_PER_SECOND:g} reads/s",
        None,
        received,
        _within(received, BYTES_BUDGET, "2 KB/s"),
    )


def _on_demand() -> list[Role]:
    document_bytes = LOCAL_ENTRIES * SEAT_BYTES + UPSTREAMS * ASSIGNED_INSTANCE_BYTES
    return [
        Role(
            "placement of a data centre",
            "one document, compare-and-swap by the lowest-named live seat",
            f"about {document_bytes / 1000:.0f} KB",
            "a write for each change of seats or groups",
            None,
            None,
            _within(document_bytes, VALUE_BUDGET_BYTES, "1 MB"),
        ),
        Role(
            "claims",
            "batched writes, each entry within its share of the budget",
            "64 changes in a call at most",
            f"{PLATFORM_WRITES_BUDGET / NODES:.2f} calls/s of a node",
            None,
            None,
            "**waits above a second**: CLAIMS.md",
        ),
        Role(
            "operators' port",
            "a question to every connected peer",
            "none kept",
            f"{NODES - 1} messages for a fleet-wide query",
            None,
            None,
            "on demand",
        ),
    ]


def heartbeat_bytes(slopes: Slopes) -> float:
    """Return the bytes of one heartbeat, with the headers of TCP/IP and WebSocket."""
    frame = control.WEBSOCKET_HEADER_BYTES + control.TCP_IP_HEADER_BYTES
    return slopes.heartbeat_base + HELD_GROUPS * slopes.heartbeat_group + frame


def table(found: Sequence[Role]) -> str:
    """Return the roles as a Markdown table."""
    lines = [
        "| role | mechanism today | state | messages | core | bytes/s | at 340 nodes |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [
        f"| {role.role} | {role.mechanism} | {role.state} | {role.messages} | "
        f"{_format(role.cpu_share, '.3f')} | {_format(role.bytes_per_second, ',.0f')} | "
        f"{role.verdict} |"
        for role in found
    ]
    return "\n".join(lines)


def breaking_sizes(slopes: Slopes) -> str:
    """Return a Markdown table of the number of entries that exhausts each budget of a node."""
    by_bytes = BYTES_BUDGET / heartbeat_bytes(slopes) + 1
    by_cpu = (CPU_BUDGET_SHARE - slopes.cpu_base) / slopes.cpu_local + 1
    return "\n".join(
        (
            "| budget of a node | used up by | at |",
            "| --- | --- | --- |",
            f"| 2 KB/s | heartbeats to every entry | {by_bytes:.0f} entries |",
            f"| 1.7% of a core | entries of one data centre | {by_cpu:.0f} entries |",
        )
    )


def load() -> tuple[Slopes, dict[str, Any]]:
    """Return the fitted costs and the path figures from the files of measurements."""
    measured = json.loads(CONTROL_FILE.read_text(encoding="utf-8"))
    return fit(measured), json.loads(PATH_FILE.read_text(encoding="utf-8"))


def measure() -> None:
    """Measure control cost and path, and overwrite both files."""
    MEASURED.mkdir(parents=True, exist_ok=True)
    figures = [asdict(item) for item in control.run()]
    CONTROL_FILE.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    PATH_FILE.write_text(json.dumps(asdict(path.run()), indent=1) + "\n", encoding="utf-8")


def _least_squares(columns: Sequence[Sequence[float]], values: Sequence[float]) -> list[float]:
    matrix = numpy.array([numpy.ones(len(values)), *columns]).T
    solution, *_ = numpy.linalg.lstsq(matrix, numpy.array(values), rcond=None)
    return [float(item) for item in solution]


def _within(value: float, budget: float, name: str) -> str:
    return f"within {name}" if value <= budget else f"**over** {name}"


def _format(value: float | None, form: str) -> str:
    return "-" if value is None else format(value, form)


def main() -> None:
    """Measure if the argument is ``measure``; otherwise print the tables."""
    if sys.argv[1:] == ["measure"]:
        measure()
        return
    slopes, path_figures = load()
    print(table(roles(slopes, path_figures)))
    print()
    print(breaking_sizes(slopes))


if __name__ == "__main__":
    main()
