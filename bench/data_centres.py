"""Benchmark of service while a data centre is taken out at short notice and returns cold."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import groupby
from pathlib import Path

from matplotlib.figure import Figure

from bench.data_centre_strategies import PlainWorld, RoutedWorld
from bench.data_centre_world import ORDER_SPREAD_SECONDS, Call, DataCentreWorld, Move

BASELINE = PlainWorld.name
PLOT = Path(__file__).resolve().parent / "results" / "data-centres.svg"
ORDER_APPLIED_SECONDS = ORDER_SPREAD_SECONDS + 0.1
LOADS = (0.6, 0.85)
SEEDS = (3, 4)
WHILE_OUT = "restarted while out"
ON_RETURN = "restarting on return"
FULL_MOVES = {
    WHILE_OUT: Move(0.0, 5.0, 12.0, 20.0, 28.0, 42.0, 0),
    ON_RETURN: Move(0.0, 5.0, 12.0, 28.9, 28.0, 42.0, 0),
}
QUICK_MOVES = {
    WHILE_OUT: Move(0.0, 4.0, 7.0, 10.0, 13.0, 20.0, 0),
    ON_RETURN: Move(0.0, 4.0, 7.0, 13.9, 13.0, 20.0, 0),
}


@dataclass(frozen=True, slots=True)
class Second:
    """Figures of the requests that arrived in one second.

    :param whole: share of them with a complete answer in time.
    :param avoidable: refused, late or failed requests that free capacity could have served.
    :param sent_while_out: requests sent to the data centre in this second while it was out.
    :param peak_over_bearable: largest ratio of running requests to the concurrency limit at a send.
    """

    second: int
    arrived: int
    whole: float
    avoidable: int
    sent_while_out: int
    peak_over_bearable: float


@dataclass(frozen=True, slots=True)
class MoveFigures:
    """Figures of one strategy at one load.

    :param restart: when the data centre's upstreams restart.
    :param whole: share of requests with a complete answer in time.
    :param worst_second: smallest share of complete answers in time in any second.
    :param avoidable: refused, late or failed requests that free capacity could have served.
    :param unavoidable: all other refused, late or failed requests.
    :param sent_late: requests sent to the data centre after every entry applied the take-out.
    :param peak_on_return: largest ratio of running requests to the concurrency limit after the
        return.
    :param falls: restarts of upstreams that exceeded their concurrency limit.
    """

    way: str
    restart: str
    load: float
    seed: int
    calls: int
    whole: float
    worst_second: float
    avoidable: int
    unavoidable: int
    sent_late: int
    peak_on_return: float
    falls: int
    seconds: tuple[Second, ...]


def run(quick: bool) -> tuple[MoveFigures, ...]:
    """Run both strategies at each load, with upstreams that restart while out or on return.

    :param quick: whether to simulate one seed and a shorter absence only.
    """
    moves = QUICK_MOVES if quick else FULL_MOVES
    seeds = SEEDS[:1] if quick else SEEDS
    return tuple(
        _figures(world_type(replace(move, load=load, seed=seed)), restart)
        for restart, move in moves.items()
        for load in LOADS
        for seed in seeds
        for world_type in ((RoutedWorld, PlainWorld) if seed == seeds[0] else (RoutedWorld,))
    )


def _figures(world: DataCentreWorld, restart: str) -> MoveFigures:
    """Run one simulation and return its figures."""
    world.run()
    move = world.move
    calls = [call for call in world.calls if call.arrived_at >= move.counted_from]
    seconds = tuple(_seconds(world, calls))
    bad = [call for call in calls if call.outcome != "whole"]
    avoidable = sum(world.is_avoidable(call) for call in bad)
    late = move.out_at + ORDER_APPLIED_SECONDS
    return MoveFigures(
        world.name,
        restart,
        move.load,
        move.seed,
        len(calls),
        1.0 - len(bad) / len(calls),
        min(item.whole for item in seconds),
        avoidable,
        len(bad) - avoidable,
        sum(count for second, count in world.sent_while_out.items() if second >= late),
        max(item.peak_over_bearable for item in seconds if item.second >= int(move.back_at)),
        world.overload_count,
        seconds,
    )


def _seconds(world: DataCentreWorld, calls: Sequence[Call]) -> Iterable[Second]:
    """Return the figures of each second of arrival."""
    for second, grouped in groupby(calls, lambda call: int(call.arrived_at)):
        own = list(grouped)
        bad = [call for call in own if call.outcome != "whole"]
        yield Second(
            second,
            len(own),
            1.0 - len(bad) / len(own),
            sum(world.is_avoidable(call) for call in bad),
            world.sent_while_out[second],
            world.peak_by_second.get(second, 0.0),
        )


def write_plot(found: Sequence[MoveFigures], path: Path) -> None:
    """Plot the figures per second for the first seed of each strategy and load."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure = Figure(figsize=(10, 10))
    shares, failures, peaks = figure.subplots(3, 1, sharex=True)
    for item in found:
        if item.seed != SEEDS[0]:
            continue
        label = f"{item.way}, {item.restart}, load {item.load:g}"
        times = [second.second for second in item.seconds]
        shares.plot(times, [second.whole for second in item.seconds], label=label)
        failures.plot(times, [second.avoidable for second in item.seconds])
        peaks.plot(times, [second.peak_over_bearable for second in item.seconds])
    shares.set_ylabel("whole and in time")
    failures.set_ylabel("avoidable failures")
    peaks.set_ylabel("peak over bearable")
    peaks.set_xlabel("second")
    shares.legend()
    figure.savefig(path)


if __name__ == "__main__":
    results = run(quick=False)
    for row in results:
        print(replace(row, seconds=()))
    write_plot(results, PLOT)
