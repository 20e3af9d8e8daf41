"""Claims under random interleavings of faults, kills, delays and retries."""

import sys
import unittest
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import ClassVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tests.claim_world import KEYS, ClaimWorld
from tests.fakes import Fault

SEEDS = 400
STEPS = 60
MANY = st.integers(0, 5)
PROCESS = st.sampled_from(range(3))

interleavings: set[tuple[str, ...]] = set()
outcomes: Counter[str] = Counter()


def setUpModule() -> None:
    """Begin to count."""
    interleavings.clear()
    outcomes.clear()


def tearDownModule() -> None:
    """Print what was tried."""
    found = ", ".join(f"{number} {name}" for name, number in sorted(outcomes.items()))
    print(f"claims: {len(interleavings)} interleavings; {found}", file=sys.__stdout__)


def end(world: ClaimWorld) -> None:
    """Check the end of a world and count it."""
    world.end()
    interleavings.add(tuple(world.trace))
    outcomes.update(world.outcomes)
    outcomes["runs"] += sum(history.runs for history in world.histories.values())


class ClaimMachine(RuleBasedStateMachine):
    """Chooses steps of the world so that failures can be made small."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimWorld()

    @rule(process=PROCESS, key=st.sampled_from(KEYS), body=st.integers(0, 3))
    def request(self, process: int, key: str, body: int) -> None:
        """A caller sends a request."""
        self.world.request(process, key, body)

    @precondition(lambda self: self.world.gate.calls)
    @rule(index=MANY, fault=st.sampled_from(Fault))
    def end_call(self, index: int, fault: Fault) -> None:
        """The platform ends a call."""
        self.world.end_call(index, fault)

    @precondition(lambda self: self.world.gate.calls)
    @rule()
    def end_all_calls(self) -> None:
        """The platform answers whatever is open."""
        self.world.end_all_calls()

    @precondition(lambda self: self.world.gate.delayed)
    @rule(index=MANY)
    def land(self, index: int) -> None:
        """A delayed write reaches the store."""
        self.world.land(index)

    @rule(seconds=st.sampled_from((1.1, 3.0)))
    def advance(self, seconds: float) -> None:
        """Time passes."""
        self.world.advance(seconds)

    @rule(process=PROCESS, answers=st.booleans())
    def hear_of_platform(self, process: int, answers: bool) -> None:
        """Another part of the process learns whether the platform answers."""
        self.world.hear_of_platform(process, answers)

    @precondition(lambda self: self.world.claimed)
    @rule(index=MANY)
    def run_request(self, index: int) -> None:
        """A claimed request is sent to the upstream."""
        self.world.run_request(index)

    @precondition(lambda self: self.world.claimed)
    @rule(index=MANY)
    def release(self, index: int) -> None:
        """A claimed request is given up."""
        self.world.release(index)

    @precondition(lambda self: self.world.running)
    @rule(index=MANY, is_known=st.booleans())
    def finish(self, index: int, is_known: bool) -> None:
        """A request ends."""
        self.world.finish(index, is_known)

    @precondition(lambda self: self.world.waiting)
    @rule(index=MANY)
    def leave(self, index: int) -> None:
        """A caller leaves."""
        self.world.leave(index)

    @rule(process=PROCESS, lands=st.booleans())
    def kill(self, process: int, lands: bool) -> None:
        """An entry process dies."""
        self.world.kill(process, lands)

    @precondition(lambda self: self.world.dead)
    @rule()
    def learn_of_deaths(self) -> None:
        """The list of instances catches up."""
        self.world.learn_of_deaths()

    def teardown(self) -> None:
        """Check the end."""
        end(self.world)


class ClaimMachineTest(ClaimMachine.TestCase):  # type: ignore[misc,name-defined]
    """Runs the machine."""

    settings = settings(
        derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None
    )


class ClaimSeedsTest(unittest.TestCase):
    """Long interleavings from fixed seeds, in which faults are rarer than progress."""

    steps: ClassVar[tuple[tuple[float, Callable[[ClaimWorld, Random], None]], ...]] = (
        (6, lambda w, r: w.request(r.randrange(3), r.choice(KEYS), r.randrange(4))),
        (6, lambda w, r: w.end_call(r.randrange(6), r.choice((Fault.NONE, r.choice([*Fault]))))),
        (2, lambda w, r: w.end_all_calls()),
        (1, lambda w, r: w.land(r.randrange(6))),
        (2, lambda w, r: w.advance(r.choice((0.02, 1.1, 3.0)))),
        (0.3, lambda w, r: w.hear_of_platform(r.randrange(3), r.random() < 0.5)),
        (1.5, lambda w, r: w.run_request(r.randrange(6))),
        (3, lambda w, r: w.release(r.randrange(6))),
        (0.7, lambda w, r: w.finish(r.randrange(6), r.random() < 0.8)),
        (1, lambda w, r: w.leave(r.randrange(6))),
        (0.3, lambda w, r: w.kill(r.randrange(3), r.random() < 0.5)),
        (0.5, lambda w, r: w.learn_of_deaths()),
    )

    def test_seeds(self) -> None:
        weights, steps = zip(*self.steps, strict=True)
        for seed in range(SEEDS):
            with self.subTest(seed):
                self.check_seed(Random(seed), steps, weights)

    def check_seed(
        self,
        random: Random,
        steps: tuple[Callable[[ClaimWorld, Random], None], ...],
        weights: tuple[float, ...],
    ) -> None:
        world = ClaimWorld()
        for step in random.choices(steps, weights, k=STEPS):
            step(world, random)
        end(world)
