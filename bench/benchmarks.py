"""The benchmarks by name, and the lines that each one reports beside baseline and target."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain
from typing import Any

from bench import (
    claims,
    control,
    data_centres,
    groups,
    load_exchange,
    overload,
    path,
    routing,
    slow_readers,
    warmup,
)
from bench.report import Line, at_least, at_most, share_of_baseline

MAX_DOWNTIME_SHARE = 1 / 3
MAX_STRANDED_SHARE = 1 / 2
MIN_OTHERS_GOODPUT = 0.95
MIN_RETURN_SUCCESS = 0.9
MAX_AMPLIFICATION = 1.1
MAX_FULL_LOAD_RATIO = 1.3
MIN_HIT_FACTOR = 2.0
MAX_CPU_SHARE = 1.0
MAX_CONTROL_CPU_SHARE = 0.017
MAX_CONTROL_BYTES_PER_SECOND = 2048.0
MAX_COORDINATOR_CPU_SHARE = 0.1  # of a core, 0.4 of the smallest instance's
MAX_EXCHANGE_CPU_SHARE = 0.0025  # a hundredth of the smallest instance's
ADOPTED_STRATEGY = "one holder"


@dataclass(frozen=True, slots=True)
class BenchmarkResult:
    """Lines to print and the figures from which they are calculated."""

    lines: tuple[Line, ...]
    figures: tuple[Any, ...]


def measure_small_groups(quick: bool) -> BenchmarkResult:
    """Compare repairing groups of 4 instances with forming them anew."""
    return _groups("groups of 4", groups.compare(groups.SMALL_GROUPS, quick))


def measure_large_groups(quick: bool) -> BenchmarkResult:
    """Compare repairing groups of 16 instances with forming them anew."""
    return _groups("groups of 16", groups.compare(groups.LARGE_GROUPS, quick))


def _groups(matter: str, found: groups.GroupComparison) -> BenchmarkResult:
    ours, rebuild = found.ours, found.rebuild
    lines = (
        share_of_baseline(
            matter,
            "group-seconds down",
            ours.down_group_seconds,
            rebuild.down_group_seconds,
            MAX_DOWNTIME_SHARE,
        ),
        share_of_baseline(
            matter,
            "accelerator-seconds stranded",
            ours.stranded_accelerator_seconds,
            rebuild.stranded_accelerator_seconds,
            MAX_STRANDED_SHARE,
        ),
        Line(matter, "weight loads", ours.weight_loads, rebuild.weight_loads),
    )
    return BenchmarkResult(lines, (found,))


def measure_warmup(quick: bool) -> BenchmarkResult:
    """Compare strategies that keep a cold upstream within its concurrency limit."""
    found = warmup.run(quick)
    lines: list[Line] = []
    for item in found:
        matter = f"warm-up, {item.entries} entries"
        own = [at_most(matter, f"peak over bearable: {item.way}", item.peak_over_bearable, 1)]
        if item.full_over_ideal is not None:
            measure = f"time to full load over ideal: {item.way}"
            own.append(at_most(matter, measure, item.full_over_ideal, MAX_FULL_LOAD_RATIO))
        lines += [replace(line, taken=item.way == ADOPTED_STRATEGY) for line in own]
        lines.append(
            Line(matter, f"control bytes/s for each entry: {item.way}", item.control_bytes)
        )
    return BenchmarkResult(tuple(lines), tuple(found))


def measure_overload(quick: bool) -> BenchmarkResult:
    """Compare fair queues and bounded retries with a FIFO queue while one customer floods."""
    report = overload.run(quick)
    ours, naive = report.figures[0], report.figures[-1]
    lines = [
        at_least(
            "overload",
            "others' share of their fair goodput",
            ours.others_goodput,
            MIN_OTHERS_GOODPUT,
            naive.others_goodput,
        ),
        at_most("overload", "tries for each request", ours.amplification, MAX_AMPLIFICATION),
        Line("overload", "most requests waiting", ours.peak_waiting, naive.peak_waiting),
    ]
    lines += [
        replace(
            at_least(
                "overload",
                f"returns served: {item.policy}",
                item.return_success,
                MIN_RETURN_SUCCESS,
            ),
            taken=item is ours,
        )
        for item in report.figures
        if item.return_success is not None
    ]
    return BenchmarkResult(tuple(lines), (report,))


def measure_data_centres(quick: bool) -> BenchmarkResult:
    """Compare service during the absence and return of a data centre with a plain balancer."""
    found = data_centres.run(quick)
    data_centres.write_plot(found, data_centres.PLOT)
    lines: list[Line] = []
    for restart, load in sorted({(item.restart, item.load) for item in found}):
        same = [item for item in found if (item.restart, item.load) == (restart, load)]
        plain = next(item for item in same if item.way == data_centres.BASELINE)
        ours = [item for item in same if item.way != data_centres.BASELINE]
        lines += _data_centre_lines(f"data centre, load {load:g}, {restart}", ours, plain)
    return BenchmarkResult(tuple(lines), found)


def _data_centre_lines(
    matter: str, ours: Sequence[data_centres.MoveFigures], plain: data_centres.MoveFigures
) -> Iterator[Line]:
    """Return the worst figures over our seeds beside the baseline."""
    whole = min(item.worst_second for item in ours)
    yield Line(matter, "whole in time, worst second", whole, plain.worst_second)
    avoidable = max(item.avoidable for item in ours)
    yield at_most(matter, "avoidable refusals and misses", avoidable, 0, plain.avoidable)
    sent = max(item.sent_late for item in ours)
    yield at_most(matter, "requests sent once out is known", sent, 0, plain.sent_late)
    peak = max(item.peak_on_return for item in ours)
    yield at_most(matter, "peak over bearable on return", peak, 1, plain.peak_on_return)


def measure_slow_readers(quick: bool) -> BenchmarkResult:
    """Compare memory budgets and flow control with unbounded queues, under slow peers."""
    found = slow_readers.run(quick)
    plain, *ours, unbounded = found
    lines = chain.from_iterable(_slow_reader_lines(item, plain, unbounded) for item in ours)
    return BenchmarkResult(tuple(lines), found)


def _slow_reader_lines(
    item: slow_readers.MemoryFigures,
    plain: slow_readers.MemoryFigures,
    unbounded: slow_readers.MemoryFigures,
) -> Iterator[Line]:
    """Return the lines of one load profile."""
    matter = f"memory, {item.load.name}"
    is_same_budget = item.load.budget == unbounded.load.budget
    yield at_most(
        matter,
        "peak held over budget",
        item.peak_over_budget,
        1.0,
        unbounded.peak_over_budget if is_same_budget else None,
    )
    yield at_least(
        matter,
        "others' goodput over a run without slow callers",
        item.goodput / plain.goodput,
        MIN_OTHERS_GOODPUT,
        unbounded.goodput / plain.goodput,
    )
    yield at_most(matter, "answers cut of callers that go on reading", item.cut_slow, 0)
    yield at_most(matter, "answers cut of other callers", item.cut_others, 0)
    yield Line(matter, "answers cut of readers that stopped", item.cut_stopped)


def measure_routing(quick: bool) -> BenchmarkResult:
    """Compare prefix-affinity routing with least-loaded routing."""
    found = routing.run(quick)
    by_policy = {item.policy: item for item in found}
    ours, least = found[0], by_policy["least loaded"]
    lines = (
        Line(
            "routing",
            "prefix-cache hits",
            ours.hit_ratio,
            least.hit_ratio,
            f"at least {MIN_HIT_FACTOR:g} times least loaded",
            ours.hit_ratio >= MIN_HIT_FACTOR * least.hit_ratio,
        ),
        share_of_baseline("routing", "p95 wait, seconds", ours.wait_p95, least.wait_p95, 1.0),
    )
    return BenchmarkResult(lines, tuple(found))


def measure_claims(quick: bool) -> BenchmarkResult:
    """Compare batched claims with one platform call per change."""
    report = claims.run(quick)
    plain = {item.load.rate: item for item in report.figures if item.load.batch == 1}
    lines: list[Line] = []
    for item in report.figures:
        load = item.load
        if load.batch == 1:
            continue
        matter = f"claims, {load.entries} entries" + (" with faults" if load.is_faulty else "")
        base = plain.get(load.rate) if load.entries == 6 and not load.is_faulty else None
        offered = f"of {load.rate:g} keys/s"
        lines += [
            Line(
                matter,
                f"claimed/s {offered}",
                item.claimed_per_second,
                None if base is None else base.claimed_per_second,
            ),
            Line(
                matter,
                f"p95 added ms {offered}",
                item.p95_ms,
                None if base is None else base.p95_ms,
            ),
            at_most(matter, f"duplicates {offered}", item.duplicates, 0),
        ]
    return BenchmarkResult(tuple(lines), (report,))


def measure_path(quick: bool) -> BenchmarkResult:
    """Compare requests through one daemon with the same requests sent to the engines."""
    found = path.run(quick)
    ours, direct = found.target_daemon, found.target_direct
    lines = (
        Line(
            "path",
            "added first token p50 at a node's share, s",
            found.added_p50,
        ),
        at_most(
            "path",
            "added first token p99 at a node's share, s",
            found.added_p99,
            path.TARGET_ADDED_P99_SECONDS,
        ),
        at_least("path", "whole answers of 75 requests/s", ours.whole, ours.sent, direct.whole),
        Line(
            "path",
            "first token p99 at 75 requests/s, s",
            ours.first_token_p99,
            direct.first_token_p99,
        ),
        Line("path", "tokens/s at 75 requests/s", ours.tokens_per_second, direct.tokens_per_second),
        at_most("path", "cores used at 75 requests/s", ours.cpu_share, MAX_CPU_SHARE),
    )
    return BenchmarkResult(lines, (found,))


def measure_control(quick: bool) -> BenchmarkResult:
    """Measure the control cost of a node at several fleet sizes."""
    found = control.run(quick)
    lines: list[Line] = []
    for item in found:
        size = item.size
        matter = f"control, {size.local_entries}+{size.other_entries} entries"
        place = f"{size.upstreams} upstreams, groups of {size.group_size}"
        lines += [
            at_most(matter, f"share of a core, {place}", item.cpu_share, MAX_CONTROL_CPU_SHARE),
            at_most(
                matter, f"bytes/s to peers, {place}", item.peer_bytes, MAX_CONTROL_BYTES_PER_SECOND
            ),
            Line(matter, f"bytes of tables, {place}", item.state_bytes),
        ]
    return BenchmarkResult(tuple(lines), tuple(found))


def measure_load_exchange(quick: bool) -> BenchmarkResult:
    """Measure what the exchange of loads costs a coordinator and another instance."""
    found = load_exchange.run(quick)
    lines: list[Line] = []
    for item in found:
        matter = f"load exchange, {item.size.instances} instances, {item.size.heads} heads"
        for name, role, most in (
            ("coordinator", item.coordinator, MAX_COORDINATOR_CPU_SHARE),
            ("other instance", item.other, MAX_EXCHANGE_CPU_SHARE),
        ):
            lines += [
                at_most(matter, f"share of a core: {name}", role.cpu_share, most),
                Line(matter, f"datagrams/s sent: {name}", role.sent),
                Line(matter, f"bytes/s sent: {name}", role.sent_bytes),
                Line(matter, f"bytes/s to other data centres: {name}", role.remote_bytes),
            ]
    return BenchmarkResult(tuple(lines), found)


SIMULATED: Mapping[str, Callable[[bool], BenchmarkResult]] = {
    "groups of 4": measure_small_groups,
    "groups of 16": measure_large_groups,
    "warm-up": measure_warmup,
    "overload": measure_overload,
    "routing": measure_routing,
    "claims": measure_claims,
    "data centres": measure_data_centres,
    "slow readers": measure_slow_readers,
}
ON_PROCESSES: Mapping[str, Callable[[bool], BenchmarkResult]] = {
    "control": measure_control,
    "load exchange": measure_load_exchange,
    "path": measure_path,
}
