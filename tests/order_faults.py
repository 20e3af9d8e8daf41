"""Faults of hosts, orders and leaders, for a state machine and for random walks by seed.

``python -m tests.order_faults --seeds 2000`` runs many walks and prints the violations.
"""

import argparse
import random
import sys
from collections import Counter
from collections.abc import Sequence
from copy import deepcopy
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from cactuspass.fleet._upstreams import UpstreamId
from tests.leader_world import GROUP_SIZE, LeaderWorld, OrderDelivery

HOSTS = tuple(UpstreamId(f"h{number}") for number in range(8))
SLOW_PACE = 5.0
RETURN_INTERVAL_SECONDS = 0.25
DURATIONS_SECONDS = (0.5, 1.5, 3.0, 6.0, 12.0, 40.0)
WAITS_SECONDS = (0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0)
LAGS_SECONDS = (0.1, 0.5, 1.5)
TERM_ENDS_SECONDS = (1.0, 3.0, 8.0)
MAX_DELIVERIES = 8
FAULTS_PER_WALK = 15
SAMPLE_INTERVAL_SECONDS = 0.1
RECOVERY_TIMEOUT_SECONDS = 60.0


class FaultKind(Enum):
    """Kinds of faults.

    :cvar KILLED: the process of a host ends, and starts again after the duration.
    :cvar RESTARTED: a host restarts at once.
    :cvar UNREGISTERED: the writes of a host do not reach the registry.
    :cvar CUT_FROM_HOSTS: other hosts cannot reach a host.
    :cvar CUT_FROM_ALL: a host has no connection at all.
    :cvar CUT_FROM_LEADER: the leader cannot reach a host.
    :cvar SLOW: a host reports a slow pace.
    :cvar DRAINED: a host drains, and restarts after the duration.
    :cvar STORE_DOWN: the writes of no host reach the registry.
    :cvar LEADER_CUT_FROM_HOSTS: the leader cannot reach any host.
    :cvar LEADER_CUT_FROM_REGISTRY: the leader receives no changes of the registry.
    :cvar LEADER_CHANGED: another leader takes over.
    :cvar LEADER_FROZEN: the leader freezes between planning and sending orders.
    :cvar ORDERS: the next orders are delivered late, or not at all, or without an answer.
    """

    KILLED = "killed"
    RESTARTED = "restarted"
    UNREGISTERED = "unregistered"
    CUT_FROM_HOSTS = "alone"
    CUT_FROM_ALL = "dark"
    CUT_FROM_LEADER = "cut-from-leader"
    SLOW = "slow"
    DRAINED = "drained"
    STORE_DOWN = "store-down"
    LEADER_CUT_FROM_HOSTS = "leader-cut-off"
    LEADER_CUT_FROM_REGISTRY = "leader-blind"
    LEADER_CHANGED = "leader-changed"
    LEADER_FROZEN = "leader-frozen"
    ORDERS = "orders"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    :param duration: seconds until the fault ends.
    :param wait: seconds until the next fault.
    :param view_lag: seconds by which the view of a new leader is behind the registry.
    :param term_ends_after: seconds after which another leader replaces a frozen one.
    :param deliveries: deliveries of the next orders.
    """

    kind: FaultKind
    host: UpstreamId
    duration: float
    wait: float
    view_lag: float
    term_ends_after: float
    deliveries: tuple[OrderDelivery, ...]

    def __str__(self) -> str:
        details = {
            FaultKind.LEADER_CHANGED: f"lag {self.view_lag}",
            FaultKind.LEADER_FROZEN: f"{self.duration}, term ends after {self.term_ends_after}",
            FaultKind.ORDERS: " ".join(delivery.name for delivery in self.deliveries),
            FaultKind.LEADER_CUT_FROM_REGISTRY: f"{self.duration}",
            FaultKind.LEADER_CUT_FROM_HOSTS: f"{self.duration}",
        }
        return f"{self.kind.value} {details.get(self.kind, f'{self.host} {self.duration}')}"


@lru_cache
def start_world() -> LeaderWorld:
    """Return a world whose groups serve; it is cached, so callers must work on a copy."""
    world = LeaderWorld(len(HOSTS))
    world.run(5.0)
    return world


def inject_fault(world: LeaderWorld, fault: Fault) -> None:
    """Start a fault, and schedule its end."""
    kind, host, leader = fault.kind, fault.host, world.leader
    if kind is FaultKind.ORDERS:
        world.next_deliveries.extend(fault.deliveries)
    elif kind is FaultKind.LEADER_CHANGED:
        world.change_leader(fault.view_lag)
    elif kind is FaultKind.LEADER_FROZEN:
        world.freeze_at_next_order(fault.duration, fault.term_ends_after)
    elif kind is FaultKind.LEADER_CUT_FROM_REGISTRY:
        leader.is_cut_from_registry = True
        world.order_world.schedule(
            fault.duration, lambda: setattr(leader, "is_cut_from_registry", False)
        )
    elif kind in (FaultKind.KILLED, FaultKind.RESTARTED, FaultKind.SLOW, FaultKind.DRAINED):
        _inject_process_fault(world, fault)
    elif kind is FaultKind.STORE_DOWN:
        _inject_store_outage(world, fault)
    else:
        cut_ids = {
            FaultKind.UNREGISTERED: world.unregistered,
            FaultKind.CUT_FROM_HOSTS: world.order_world.cut_from_hosts,
            FaultKind.CUT_FROM_ALL: world.order_world.cut_from_all,
            FaultKind.CUT_FROM_LEADER: leader.cut_off_hosts,
            FaultKind.LEADER_CUT_FROM_HOSTS: leader.cut_off_hosts,
        }[kind]
        affected_ids = set(HOSTS) if kind is FaultKind.LEADER_CUT_FROM_HOSTS else {host}
        cut_ids |= affected_ids
        world.order_world.schedule(fault.duration, lambda: cut_ids.difference_update(affected_ids))


def _inject_store_outage(world: LeaderWorld, fault: Fault) -> None:
    """Cut all hosts from the registry; after the outage they register one after the other."""
    first = HOSTS.index(fault.host)
    for number, host in enumerate(HOSTS):
        world.unregistered.add(host)
        position = (number - first) * 3 % len(HOSTS)
        world.order_world.schedule(
            fault.duration + position * RETURN_INTERVAL_SECONDS,
            lambda host=host: world.unregistered.discard(host),
        )


def _inject_process_fault(world: LeaderWorld, fault: Fault) -> None:
    order_world = world.order_world
    host = order_world.hosts_by_id[fault.host]
    if fault.kind is FaultKind.RESTARTED:
        order_world.restart(fault.host)
        return
    if fault.kind is FaultKind.SLOW:
        host.pace = SLOW_PACE
        order_world.schedule(fault.duration, lambda: setattr(host, "pace", 1.0))
        return
    if fault.kind is FaultKind.DRAINED:
        host.draining = True
    else:
        order_world.kill(fault.host)

    def restart_host() -> None:
        if order_world.hosts_by_id[fault.host] is host:
            order_world.restart(fault.host)

    order_world.schedule(fault.duration, restart_host)


def recover(world: LeaderWorld) -> bool:
    """End all faults; return whether as many groups as the hosts suffice for serve in time."""
    world.end_faults()
    remaining_hosts = [host for host in world.order_world.running_hosts() if not host.draining]
    fitting_count = len(remaining_hosts) // GROUP_SIZE
    return world.run_until(
        lambda: len(world.serving_groups()) >= fitting_count, RECOVERY_TIMEOUT_SECONDS
    )


def draw_fault(rng: random.Random, kinds: Sequence[FaultKind]) -> Fault:
    """Return a random fault of one of the given kinds."""
    return Fault(
        rng.choice(kinds),
        rng.choice(HOSTS),
        rng.choice(DURATIONS_SECONDS),
        rng.choice(WAITS_SECONDS),
        rng.choice(LAGS_SECONDS),
        rng.choice(TERM_ENDS_SECONDS),
        tuple(rng.choice(list(OrderDelivery)) for _ in range(rng.randint(1, MAX_DELIVERIES))),
    )


@dataclass(slots=True)
class WalkResult:
    """Result of the walk of one seed.

    :param violations: violations of rules, or the statement that hosts were unused at the end.
    :param log: events by time.
    :param serving_total: number of serving groups, summed over all samples.
    """

    violations: list[str]
    log: list[str]
    serving_total: int = 0
    sample_count: int = 0


def walk(seed: int) -> WalkResult:
    """Inject a sequence of random faults into a world, then let it recover."""
    rng = random.Random(seed)
    kinds = rng.sample(list(FaultKind), rng.randint(2, 4))
    world = deepcopy(start_world())
    result = WalkResult(world.order_world.violations, world.order_world.log)
    for _ in range(FAULTS_PER_WALK):
        fault = draw_fault(rng, kinds)
        result.log.append(f"{world.at:.2f} {fault}")
        inject_fault(world, fault)
        end = world.at + fault.wait
        while world.at < end:
            world.run(SAMPLE_INTERVAL_SECONDS)
            result.serving_total += len(world.serving_groups())
            result.sample_count += 1
    if not recover(world) and not result.violations:
        result.violations.append(f"NOT RECOVERED: {len(world.serving_groups())} groups serve")
    return result


def main() -> int:
    """Run the walks of many seeds; print the violations, and the events of a single seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--first", type=int, default=0)
    args = parser.parse_args()
    counts_by_violation = Counter[str]()
    serving = samples = 0
    for seed in range(args.first, args.first + args.seeds):
        result = walk(seed)
        serving, samples = serving + result.serving_total, samples + result.sample_count
        if result.violations:
            counts_by_violation[result.violations[0].split(":")[0]] += 1
            print(f"seed {seed}: {result.violations[0]}")
        if args.seeds == 1:
            print("\n".join(result.log))
    print(
        f"{args.seeds} walks, {serving / samples:.3f} groups served on average,"
        f" violations: {dict(counts_by_violation)}"
    )
    return 1 if counts_by_violation else 0


if __name__ == "__main__":
    sys.exit(main())
