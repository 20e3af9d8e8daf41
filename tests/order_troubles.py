"""Troubles of hosts, orders and leaders, drawn by a state machine or by seeded walks.

``python -m tests.order_troubles --seeds 2000`` walks many seeds and prints what broke.
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
from tests.leader_world import SIZE, Fate, LeaderWorld

HOSTS = tuple(UpstreamId(f"h{number}") for number in range(8))
SLOW_PACE = 5.0
RETURN_SECONDS = 0.25
LASTS = (0.5, 1.5, 3.0, 6.0, 12.0, 40.0)
WAITS = (0.1, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0)
LAGS = (0.1, 0.5, 1.5)
TERMS = (1.0, 3.0, 8.0)
MAX_FATES = 8
STRIKES_OF_A_WALK = 15
SAMPLE_SECONDS = 0.1
RECOVERY_SECONDS = 60.0


class Trouble(Enum):
    """What may go wrong."""

    KILLED = "killed"
    RESTARTED = "restarted"
    UNREGISTERED = "unregistered"
    ALONE = "alone"
    DARK = "dark"
    CUT_FROM_LEADER = "cut-from-leader"
    SLOW = "slow"
    DRAINED = "drained"
    STORE_DOWN = "store-down"
    LEADER_CUT_OFF = "leader-cut-off"
    LEADER_BLIND = "leader-blind"
    LEADER_CHANGED = "leader-changed"
    LEADER_FROZEN = "leader-frozen"
    ORDERS = "orders"


@dataclass(frozen=True, slots=True)
class Strike:
    """One trouble.

    :param lasts: seconds until it is over.
    :param wait: seconds that pass before the next one.
    :param lag: seconds by which the view of a new leader is behind.
    :param term: seconds after which another leader follows a frozen one.
    :param fates: what becomes of the next orders.
    """

    trouble: Trouble
    host: UpstreamId
    lasts: float
    wait: float
    lag: float
    term: float
    fates: tuple[Fate, ...]

    def __str__(self) -> str:
        details = {
            Trouble.LEADER_CHANGED: f"lag {self.lag}",
            Trouble.LEADER_FROZEN: f"{self.lasts}, term ends after {self.term}",
            Trouble.ORDERS: " ".join(fate.name for fate in self.fates),
            Trouble.LEADER_BLIND: f"{self.lasts}",
            Trouble.LEADER_CUT_OFF: f"{self.lasts}",
        }
        return f"{self.trouble.value} {details.get(self.trouble, f'{self.host} {self.lasts}')}"


@lru_cache
def started_world() -> LeaderWorld:
    """Return a world whose groups serve; take a copy."""
    world = LeaderWorld(len(HOSTS))
    world.run(5.0)
    return world


def strike(world: LeaderWorld, blow: Strike) -> None:
    """Let a trouble begin, and end when its time is over."""
    trouble, host, leader = blow.trouble, blow.host, world.leader
    if trouble is Trouble.ORDERS:
        world.fates.extend(blow.fates)
    elif trouble is Trouble.LEADER_CHANGED:
        world.change_leader(blow.lag)
    elif trouble is Trouble.LEADER_FROZEN:
        world.freeze_at_next_order(blow.lasts, blow.term)
    elif trouble is Trouble.LEADER_BLIND:
        leader.blind = True
        world.truth.later(blow.lasts, lambda: setattr(leader, "blind", False))
    elif trouble in (Trouble.KILLED, Trouble.RESTARTED, Trouble.SLOW, Trouble.DRAINED):
        _strike_process(world, blow)
    elif trouble is Trouble.STORE_DOWN:
        _take_store_down(world, blow)
    else:
        cut = {
            Trouble.UNREGISTERED: world.unregistered,
            Trouble.ALONE: world.truth.alone,
            Trouble.DARK: world.truth.dark,
            Trouble.CUT_FROM_LEADER: leader.cut_from,
            Trouble.LEADER_CUT_OFF: leader.cut_from,
        }[trouble]
        struck = set(HOSTS) if trouble is Trouble.LEADER_CUT_OFF else {host}
        cut |= struck
        world.truth.later(blow.lasts, lambda: cut.difference_update(struck))


def _take_store_down(world: LeaderWorld, blow: Strike) -> None:
    """Let no host write its entry; afterwards they return one after the other."""
    first = HOSTS.index(blow.host)
    for number, host in enumerate(HOSTS):
        world.unregistered.add(host)
        turn = (number - first) * 3 % len(HOSTS)
        world.truth.later(
            blow.lasts + turn * RETURN_SECONDS, lambda host=host: world.unregistered.discard(host)
        )


def _strike_process(world: LeaderWorld, blow: Strike) -> None:
    truth = world.truth
    host = truth.hosts_by_id[blow.host]
    if blow.trouble is Trouble.RESTARTED:
        truth.restart(blow.host)
        return
    if blow.trouble is Trouble.SLOW:
        host.pace = SLOW_PACE
        truth.later(blow.lasts, lambda: setattr(host, "pace", 1.0))
        return
    if blow.trouble is Trouble.DRAINED:
        host.draining = True
    else:
        truth.kill(blow.host)

    def start_again() -> None:
        if truth.hosts_by_id[blow.host] is host:
            truth.restart(blow.host)

    truth.later(blow.lasts, start_again)


def recover(world: LeaderWorld) -> bool:
    """End all troubles; return whether the groups that fit serve again in time."""
    world.heal()
    staying = [host for host in world.truth.alive() if not host.draining]
    fitting = len(staying) // SIZE
    return world.run_until(lambda: len(world.serving()) >= fitting, RECOVERY_SECONDS)


def draw_strike(draw: random.Random, troubles: Sequence[Trouble]) -> Strike:
    """Return a random trouble out of those given."""
    return Strike(
        draw.choice(troubles),
        draw.choice(HOSTS),
        draw.choice(LASTS),
        draw.choice(WAITS),
        draw.choice(LAGS),
        draw.choice(TERMS),
        tuple(draw.choice(list(Fate)) for _ in range(draw.randint(1, MAX_FATES))),
    )


@dataclass(slots=True)
class Walk:
    """What came of one seed.

    :param broken: what broke a rule, or that hosts were left unused in the end.
    :param serving: groups that served, summed over all samples.
    """

    broken: list[str]
    log: list[str]
    serving: int = 0
    samples: int = 0


def walk(seed: int) -> Walk:
    """Strike a world again and again, and let it recover."""
    draw = random.Random(seed)
    troubles = draw.sample(list(Trouble), draw.randint(2, 4))
    world = deepcopy(started_world())
    done = Walk(world.truth.violations, world.truth.log)
    for _ in range(STRIKES_OF_A_WALK):
        blow = draw_strike(draw, troubles)
        done.log.append(f"{world.at:.2f} {blow}")
        strike(world, blow)
        end = world.at + blow.wait
        while world.at < end:
            world.run(SAMPLE_SECONDS)
            done.serving += len(world.serving())
            done.samples += 1
    if not recover(world) and not done.broken:
        done.broken.append(f"STUCK: {len(world.serving())} groups serve")
    return done


def main() -> int:
    """Walk many seeds; print what broke, and with a single seed what happened."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=500)
    parser.add_argument("--first", type=int, default=0)
    asked = parser.parse_args()
    kinds = Counter[str]()
    serving = samples = 0
    for seed in range(asked.first, asked.first + asked.seeds):
        done = walk(seed)
        serving, samples = serving + done.serving, samples + done.samples
        if done.broken:
            kinds[done.broken[0].split(":")[0]] += 1
            print(f"seed {seed}: {done.broken[0]}")
        if asked.seeds == 1:
            print("\n".join(done.log))
    print(f"{asked.seeds} walks, {serving / samples:.3f} groups served, broken: {dict(kinds)}")
    return 1 if kinds else 0


if __name__ == "__main__":
    sys.exit(main())
