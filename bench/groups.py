"""Benchmark of group downtime and stranded accelerators: repairing groups against re-forming.

The baseline dissolves a group that lost a member and forms it anew.
"""

import sys
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, replace
from random import Random

from bench.group_engines import FakeEngine, make_engines
from bench.group_world import STEP_SECONDS, FakeEntry, GroupWorld, declare
from cactuspass._core import System
from cactuspass._groups import GroupSystem
from cactuspass._placement import PlacementSystem
from cactuspass._placement_writer import PlacementWriter
from cactuspass._plan import PlanFacts, plan
from cactuspass.models import Configuration, InstanceId, InstanceRecord, Placement

ACCELERATORS = 8
LOAD_SECONDS = 30.0
STORE_SLOTS = 4
UNLIMITED_STORE_SLOTS = 1000
SETTLING_SECONDS = 120.0
PLATFORM_OUTAGE_SHARE = 0.1
DOMAIN_OUTAGE_SHARE = 1 / 15
QUICK_SECONDS = 300.0
FULL_SECONDS = 1800.0
QUICK_SEEDS = (1,)
FULL_SEEDS = (1, 2)


@dataclass(frozen=True, slots=True)
class Shape:
    """Instances in each fabric domain, and the groups declared on them."""

    domains: tuple[int, ...]
    group_size: int
    group_count: int
    spares: int


SMALL_GROUPS = Shape((12, 12, 12, 12), 4, 8, 1)
LARGE_GROUPS = Shape((20, 20, 20), 16, 2, 2)


@dataclass(frozen=True, slots=True)
class GroupFigures:
    """Figures of one policy.

    :param down_group_seconds: seconds for which a declared group did not serve, over all groups.
    :param stranded_accelerator_seconds: accelerators of running engines that declared groups need
        but that are not in a serving group, times seconds.
    :param idle_accelerator_seconds: all accelerators of running engines that are not in a serving
        group, including spares and surplus, times seconds.
    :param weight_loads: number of loads from the weight store.
    """

    down_group_seconds: float
    stranded_accelerator_seconds: float
    idle_accelerator_seconds: float
    weight_loads: int


@dataclass(frozen=True, slots=True)
class GroupComparison:
    """Figures of both policies on the same traces, and ratios of ours to the baseline's."""

    shape: Shape
    seeds: tuple[int, ...]
    trace_seconds: float
    ours: GroupFigures
    rebuild: GroupFigures
    downtime_ratio: float
    stranded_ratio: float


@dataclass(frozen=True, slots=True)
class GroupReport:
    """Comparisons for groups of 4 and of 16 instances."""

    small: GroupComparison
    large: GroupComparison


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """Start or end of a fault.

    :param at: seconds since the start of the trace.
    """

    at: float
    action: Callable[[GroupWorld], None]


def rebuild(
    draft: Placement,
    configuration: Configuration,
    records_by_id: Mapping[InstanceId, InstanceRecord],
    facts: PlanFacts,
) -> Placement:
    """Dissolve each group that lost a member; a later plan forms it from any free instances."""
    broken = [
        group_id
        for group_id, group in draft.groups_by_id.items()
        if not facts.lost.isdisjoint(group.members)
    ]
    if not broken:
        return plan(draft, configuration, records_by_id, facts)
    kept = {key: group for key, group in draft.groups_by_id.items() if key not in broken}
    released = {name: draft.version for key in broken for name in draft.groups_by_id[key].members}
    return replace(draft, groups_by_id=kept, released_by_id={**draft.released_by_id, **released})


def _our_systems(writer: PlacementWriter) -> list[System]:
    return [PlacementSystem(writer), GroupSystem(writer, STORE_SLOTS)]


def _rebuilding_systems(writer: PlacementWriter) -> list[System]:
    return [PlacementSystem(writer, rebuild), GroupSystem(writer, UNLIMITED_STORE_SLOTS)]


def make_trace(shape: Shape, seed: int, seconds: float) -> list[TraceEvent]:
    """Return a random trace of faults.

    It holds losses and pauses of instances, slow instances, one outage of the platform and one of
    a whole fabric domain.
    """
    random = Random(seed)
    names = [engine.instance_id for engine in make_engines(shape.domains)]
    events = [
        event
        for _ in range(int(seconds / 60))
        for event in _loss(random, random.choice(names), random.uniform(0, seconds))
    ]
    for _ in range(int(seconds / 120)):
        events += _pause(random, random.choice(names), random.uniform(0, seconds))
        events += _slowness(random, random.choice(names), random.uniform(0, seconds))
    outage_at = seconds * random.uniform(0.2, 0.3)
    events += [
        TraceEvent(outage_at, lambda world: _set_platform(world, False)),
        TraceEvent(
            outage_at + seconds * PLATFORM_OUTAGE_SHARE, lambda world: _set_platform(world, True)
        ),
    ]
    domain_outage_at = seconds * random.uniform(0.6, 0.7)
    domain = f"d{random.randrange(len(shape.domains))}"
    for name in names:
        if name.startswith(domain):
            events += _outage_of(name, domain_outage_at, seconds * DOMAIN_OUTAGE_SHARE)
    return sorted(events, key=lambda event: event.at)


def _loss(random: Random, name: InstanceId, at: float) -> list[TraceEvent]:
    return _outage_of(name, at, random.uniform(30.0, 120.0))


def _outage_of(name: InstanceId, at: float, seconds: float) -> list[TraceEvent]:
    return [
        TraceEvent(at, lambda world: world.engines_by_id[name].kill()),
        TraceEvent(at + seconds, lambda world: world.engines_by_id[name].start(world.now)),
    ]


def _pause(random: Random, name: InstanceId, at: float) -> list[TraceEvent]:
    return [
        TraceEvent(at, lambda world: _set_paused(world.engines_by_id[name], True)),
        TraceEvent(
            at + random.uniform(3.0, 12.0),
            lambda world: _set_paused(world.engines_by_id[name], False),
        ),
    ]


def _slowness(random: Random, name: InstanceId, at: float) -> list[TraceEvent]:
    return [
        TraceEvent(at, lambda world: _set_slow(world.engines_by_id[name], True)),
        TraceEvent(
            at + random.uniform(60.0, 120.0),
            lambda world: _set_slow(world.engines_by_id[name], False),
        ),
    ]


def _set_paused(engine: FakeEngine, is_paused: bool) -> None:
    engine.is_paused = is_paused and engine.is_up


def _set_slow(engine: FakeEngine, is_slow: bool) -> None:
    engine.is_slow = is_slow


def _set_platform(world: GroupWorld, is_up: bool) -> None:
    world.store.is_up = is_up


def _measure(shape: Shape, is_ours: bool, seed: int, seconds: float) -> GroupFigures:
    """Start a simulation, wait until all groups serve, and replay one trace under one policy."""
    engines = make_engines(shape.domains, LOAD_SECONDS)
    for engine in engines:
        engine.keeps_weights = is_ours
    systems = _our_systems if is_ours else _rebuilding_systems
    declaration = declare(shape.group_size, shape.group_count, shape.spares if is_ours else 0)
    entries = [FakeEntry("a", systems), FakeEntry("b", systems)]
    world = GroupWorld(engines, [declaration], entries, STORE_SLOTS)
    world.run_until(lambda: len(list(world.serving_rows())) == shape.group_count, 900.0)
    return _replay(world, shape, make_trace(shape, seed, seconds), seconds)


def _replay(
    world: GroupWorld, shape: Shape, events: list[TraceEvent], seconds: float
) -> GroupFigures:
    engines = list(world.engines_by_id.values())
    required = shape.group_count * shape.group_size
    start = world.now
    loads = sum(engine.load_count for engine in engines)
    down = stranded = idle = 0.0
    while world.now - start < seconds + SETTLING_SECONDS:
        while events and events[0].at <= world.now - start:
            events.pop(0).action(world)
        world.step()
        serving = len(list(world.serving_rows()))
        running = sum(engine.is_running for engine in engines)
        used = serving * shape.group_size
        down += (shape.group_count - serving) * STEP_SECONDS
        stranded += max(0, min(running, required) - used) * STEP_SECONDS
        idle += max(0, running - used) * STEP_SECONDS
    return GroupFigures(
        round(down, 1),
        round(stranded * ACCELERATORS, 1),
        round(idle * ACCELERATORS, 1),
        sum(engine.load_count for engine in engines) - loads,
    )


def _total(figures: list[GroupFigures]) -> GroupFigures:
    return GroupFigures(
        round(sum(item.down_group_seconds for item in figures), 1),
        round(sum(item.stranded_accelerator_seconds for item in figures), 1),
        round(sum(item.idle_accelerator_seconds for item in figures), 1),
        sum(item.weight_loads for item in figures),
    )


def compare(shape: Shape, quick: bool) -> GroupComparison:
    """Replay the traces of one shape under both policies."""
    seeds = QUICK_SEEDS if quick else FULL_SEEDS
    seconds = QUICK_SECONDS if quick else FULL_SECONDS
    ours = _total([_measure(shape, True, seed, seconds) for seed in seeds])
    other = _total([_measure(shape, False, seed, seconds) for seed in seeds])
    return GroupComparison(
        shape,
        seeds,
        seconds + SETTLING_SECONDS,
        ours,
        other,
        round(ours.down_group_seconds / other.down_group_seconds, 3),
        round(ours.stranded_accelerator_seconds / other.stranded_accelerator_seconds, 3),
    )


def run(quick: bool = False) -> GroupReport:
    """Compare both policies on small and on large groups.

    Engines of the baseline load all weights again, since it dissolves a group to repair it.

    :param quick: whether to replay one short trace instead of several long ones.
    """
    return GroupReport(compare(SMALL_GROUPS, quick), compare(LARGE_GROUPS, quick))


if __name__ == "__main__":
    for comparison in asdict(run("--quick" in sys.argv)).values():
        print(comparison)
