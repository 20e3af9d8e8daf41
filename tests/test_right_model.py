"""Model test: at any instant at most one process may send to a group, whatever fails."""

import sys
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactuspass import _grants
from cactuspass.models import EntryId
from tests.holding_world import World

GRANT_SECONDS = 12.0
NAMES = ("e1", "e2", "e3", "e4")
names = st.sampled_from(NAMES)
interleavings: set[tuple[str, ...]] = set()


class HoldingMachine(RuleBasedStateMachine):
    """Breaks a data centre of three entries; grants are shortened so that they run out."""

    world: World

    @initialize(seed=st.integers(0, 10**6), loss=st.sampled_from([0.0, 0.1, 0.3]))
    def begin(self, seed: int, loss: float) -> None:
        seconds = {"GRANT_SECONDS": GRANT_SECONDS, "PROMISE_SECONDS": GRANT_SECONDS * 1.03}
        self.patch = mock.patch.multiple(_grants, **seconds)
        self.patch.start()
        self.steps: list[str] = []
        self.world = World(seed)
        self.world.run(12)
        self.world.loss = loss

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 5.0, 9.0, 14.0]))
    def run(self, seconds: float) -> None:
        self.note(f"run {seconds}")
        self.world.run(seconds)

    @rule(name=names, seconds=st.sampled_from([0.5, 2.0, 5.0, 15.0]))
    def pause(self, name: str, seconds: float) -> None:
        self.note(f"pause {name}")
        for process in self.processes(name):
            process.paused_until = self.world.time + seconds

    @rule(delay=st.sampled_from([0.05, 1.0, 6.0]))
    def delay(self, delay: float) -> None:
        self.note("delay")
        self.world.delay = delay

    @rule(one=names, other=names)
    def cut_or_heal(self, one: str, other: str) -> None:
        self.note(f"cut {one} {other}")
        self.world.cuts ^= {frozenset({EntryId(one), EntryId(other)})}

    @rule()
    def platform(self) -> None:
        self.note("platform")
        self.world.store.is_up = not self.world.store.is_up

    @rule(name=names)
    def cut_from_platform(self, name: str) -> None:
        self.note(f"cut off {name}")
        self.world.cut_off ^= {EntryId(name)}

    @rule(side=st.sets(names, min_size=1, max_size=3))
    def split(self, side: set[str]) -> None:
        self.note(f"split {sorted(side)}")
        every_name = frozenset(map(EntryId, NAMES))
        self.world.split(frozenset(map(EntryId, side)), every_name)

    @rule()
    def heal(self) -> None:
        self.note("heal")
        self.world.heal()

    @rule(name=names)
    def start_or_replace(self, name: str) -> None:
        self.note(f"start {name}")
        for process in self.processes(name):
            self.world.kill(process)
        self.world.start(EntryId(name))

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.note(f"kill {name}")
        for process in self.processes(name):
            self.world.kill(process)

    @rule(name=names)
    def drain(self, name: str) -> None:
        self.note(f"drain {name}")
        for process in self.processes(name):
            self.world.drain(process)

    @invariant()
    def at_most_one_holder(self) -> None:
        if hasattr(self, "world"):
            self.world.check()

    def processes(self, name: str):
        return [process for process in self.world.processes if process.entry_id == name]

    def note(self, step: str) -> None:
        self.steps.append(step)

    def teardown(self) -> None:
        if hasattr(self, "patch"):
            interleavings.add(tuple(self.steps))
            self.patch.stop()


class HoldingModelTest(HoldingMachine.TestCase):
    settings = settings(derandomize=True, deadline=None, max_examples=40, stateful_step_count=25)

    @classmethod
    def tearDownClass(cls) -> None:
        print(f"{len(interleavings)} interleavings of holders tried", file=sys.stderr)
