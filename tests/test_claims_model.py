"""Claims under random interleavings of faults, kills, delays and retries."""

import sys
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.claim_world import KEYS, ClaimWorld
from tests.fakes import Fault

SEEDS = 250
STEPS_OF_SEED = 60
CHOICES = 12
FAULTS = (*[Fault.NONE] * 7, *Fault)

interleavings: set[tuple[str, ...]] = set()
outcomes: Counter[str] = Counter()


@dataclass(frozen=True)
class Step:
    """Something that happens to the world, with two numbers that choose to what.

    :param weight: how often it is chosen by the seeds.
    """

    weight: float
    run: Callable[[ClaimWorld, int, int], None]


STEPS = (
    Step(6, lambda world, a, b: world.request(a % 3, KEYS[a // 3 % 2], b % 4)),
    Step(6, lambda world, a, b: world.end_call(a, FAULTS[b])),
    Step(2, lambda world, a, b: world.end_all_calls()),
    Step(1, lambda world, a, b: world.land(a)),
    Step(2, lambda world, a, b: world.advance((0.02, 1.1, 3.0)[a % 3])),
    Step(0.3, lambda world, a, b: world.hear_of_platform(a % 3, b % 2 == 0)),
    Step(1.5, lambda world, a, b: world.run_request(a)),
    Step(3, lambda world, a, b: world.release(a)),
    Step(0.7, lambda world, a, b: world.finish(a, b % 4 > 0)),
    Step(1, lambda world, a, b: world.leave(a)),
    Step(0.3, lambda world, a, b: world.kill(a % 3, b % 2 == 0)),
    Step(0.5, lambda world, a, b: world.learn_of_deaths()),
)


def end(world: ClaimWorld) -> None:
    """Check the end of a world and count it."""
    world.end()
    interleavings.add(tuple(world.trace))
    outcomes.update(world.outcomes)
    outcomes["runs"] += sum(history.runs for history in world.histories.values())


def tearDownModule() -> None:
    """Print what was tried."""
    found = ", ".join(f"{number} {name}" for name, number in sorted(outcomes.items()))
    print(f"claims: {len(interleavings)} interleavings; {found}", file=sys.__stdout__)


class ClaimMachine(RuleBasedStateMachine):
    """Chooses steps of the world so that failures can be made small."""

    def __init__(self) -> None:
        super().__init__()
        self.world = ClaimWorld()

    @rule(
        step=st.sampled_from(range(len(STEPS))),
        first=st.integers(0, CHOICES - 1),
        second=st.integers(0, CHOICES - 1),
    )
    def take_step(self, step: int, first: int, second: int) -> None:
        """Take one step."""
        STEPS[step].run(self.world, first, second)

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

    def test_seeds(self) -> None:
        weights = [step.weight for step in STEPS]
        for seed in range(SEEDS):
            with self.subTest(seed):
                world, random = ClaimWorld(), Random(seed)
                for step in random.choices(STEPS, weights, k=STEPS_OF_SEED):
                    step.run(world, random.randrange(CHOICES), random.randrange(CHOICES))
                end(world)
