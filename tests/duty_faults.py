"""Random faults of the holder of the duties, of the store and of the platform."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from unittest import mock

from cactuspass.fleet.duties import CallOutcome, _usage_collector
from tests.duty_stand_ins import StoreState
from tests.duty_world import DutyInstance, DutyWorld, virtual_runner

NAMES = ("a", "b", "c", "d")
WALK_FAULTS = 14
QUIET_SECONDS = 12.0
RECOVERY_SECONDS = 45.0
MAX_GATE = 8
COPIES = 3


class FaultKind(Enum):
    """Kinds of faults; each names what goes wrong and for whom."""

    PAUSED = "the leader is paused"
    PAUSED_AT_CALL = "the leader is paused before, during or after a call"
    KILLED = "the leader is killed and replaced"
    OTHER_KILLED = "another instance is killed and replaced"
    CUT_FROM_STORE = "the leader is cut off from the store"
    CUT_FROM_PEERS = "the leader is cut off from the instances"
    CUT_FROM_PLATFORM = "the leader is cut off from the platform"
    ANSWERS_LOST = "the platform's answers are lost"
    RATE_LIMITED = "the platform answers 429"
    DOWN = "the platform answers 503"
    WRITE_ANSWER_LOST = "the answer to a write is lost"
    WRITE_LATE = "a write takes effect after its sender has given up"
    RESTORED = "the store is restored from a copy"
    LEASE_OVERRUN = "the leader believes to lead after its lease has ended"
    CLOCK_JUMP = "the wall-clock time of one instance jumps"
    LOSS = "messages between instances are lost"


@dataclass(frozen=True)
class Fault:
    """A fault, and for how long.

    :param gate: number of calls and their answers before a pause at a call.
    :param wait: seconds until the next fault.
    """

    kind: FaultKind
    seconds: float
    wait: float
    gate: int = 0


class FaultyDuties:
    """A world with faults that end by themselves."""

    def __init__(self, world: DutyWorld) -> None:
        self.world = world
        self.copies: list[StoreState] = []
        self.log: list[str] = []

    async def inject(self, fault: Fault) -> None:
        """Begin a fault, and run until the next one."""
        self.log.append(f"{self.world.at:.2f} {fault}")
        self.copies = [*self.copies[-COPIES + 1 :], self.world.store.copy()]
        leader = self.world.leader or self.world.instances[NAMES[0]]
        await self.begin(fault, leader)
        self.world.wanted_count = self.world.wanted_count % 50 + 1
        await self.world.run(fault.wait)

    async def begin(self, fault: Fault, leader: DutyInstance) -> None:
        """Begin a fault."""
        world, kind, seconds = self.world, fault.kind, fault.seconds
        if kind is FaultKind.PAUSED:
            leader.paused_until = world.at + seconds
        elif kind is FaultKind.PAUSED_AT_CALL:
            leader.gate_pauses = [0.0] * fault.gate + [seconds]
        elif kind in (FaultKind.KILLED, FaultKind.OTHER_KILLED):
            others = [i for i in world.instances.values() if i is not leader]
            name = (leader if kind is FaultKind.KILLED else others[fault.gate % len(others)]).name
            await world.kill(name)
            await world.start(name)
        elif kind is FaultKind.WRITE_ANSWER_LOST:
            world.lose_write()
        elif kind is FaultKind.WRITE_LATE:
            world.delay_write(1.5 + seconds)
        elif kind is FaultKind.RESTORED:
            world.restore(self.copies[fault.gate % len(self.copies)])
        elif kind is FaultKind.CLOCK_JUMP:
            world.instances[NAMES[0]].wall_offset = 3600.0
        else:
            self._set(kind, leader, True)
            world.loop.call_later(seconds, self._set, kind, leader, False)

    def _set(self, kind: FaultKind, leader: DutyInstance, is_on: bool) -> None:
        platform = self.world.platform
        outcome_by_kind: dict[FaultKind, CallOutcome | None] = {
            FaultKind.ANSWERS_LOST: None,
            FaultKind.RATE_LIMITED: CallOutcome.RATE_LIMITED,
            FaultKind.DOWN: CallOutcome.UNKNOWN,
        }
        if kind in outcome_by_kind:
            platform.outcome = outcome_by_kind[kind] if is_on else CallOutcome.ACCEPTED
        elif kind is FaultKind.CUT_FROM_STORE:
            leader.reaches_store = not is_on
        elif kind is FaultKind.CUT_FROM_PEERS:
            leader.reaches_peers = not is_on
        elif kind is FaultKind.CUT_FROM_PLATFORM:
            leader.reaches_platform = not is_on
        elif kind is FaultKind.LEASE_OVERRUN:
            leader.lease_overrun = 1.5 if is_on else 0.0
        elif kind is FaultKind.LOSS:
            self.world.loss = 0.7 if is_on else 0.0

    async def recover(self) -> None:
        """Run without faults until all duties are carried out again.

        :raises AssertionError: if they are not.
        """
        await self.world.run(RECOVERY_SECONDS)
        first, last = self.world.window - 5, self.world.window - 2
        missing = self.world.missing(first, last)
        assert not missing, f"not reported in time: {missing}"
        errors = {w: self.world.error(w) for w in range(first, last + 1)}
        assert max(errors.values()) <= 0.05, f"wrong counts: {errors}"
        ordered = self.world.platform.counts_by_subject.get("s1/here")
        assert ordered == self.world.wanted_count, f"{ordered} ordered"

    def describe(self) -> str:
        """Return the violations, the faults and the log lines."""
        lines = (*self.world.platform.violations, *self.log, *self.world.log_lines())
        return "\n".join(lines)


async def start_faulty() -> FaultyDuties:
    """Return a world that has run for some time without faults."""
    world = DutyWorld(NAMES)
    for name in NAMES:
        await world.start(name)
    await world.run(QUIET_SECONDS)
    return FaultyDuties(world)


def draw_fault(rng: random.Random, kinds: Sequence[FaultKind]) -> Fault:
    """Return a random fault of some kinds."""
    seconds = rng.choice((0.3, 1.0, 2.5, 4.0, 7.0))
    return Fault(
        rng.choice(kinds), seconds, rng.choice((0.1, 0.6, 2.0, 5.0)), rng.randrange(MAX_GATE)
    )


def walk(seed: int, kinds: Sequence[FaultKind] = ()) -> list[str]:
    """Run random faults, and return the violations and what led to them; nothing without any.

    :param kinds: kinds of the faults; a few random ones by default, since few kinds coincide more
        often than many.
    """

    async def run() -> list[str]:
        rng = random.Random(seed)
        drawn = kinds or rng.sample(list(FaultKind), 3)
        faulty = await start_faulty()
        for _ in range(WALK_FAULTS):
            await faulty.inject(draw_fault(rng, drawn))
        await faulty.world.run(QUIET_SECONDS)
        violations = faulty.world.platform.violations
        return [*violations, *faulty.log] if violations else []

    # Every second walk is one of a fleet that is too large for all instances to get all answers.
    shares = mock.patch.object(_usage_collector, "MAX_INSTANCES_THAT_SHARE", 24 * (seed % 2))
    with virtual_runner() as runner, shares:
        return runner.run(run())
