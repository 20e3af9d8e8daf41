"""Random interleavings of operators, faults of the platform and cuts between entries."""

import itertools
import unittest
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from cactuspass._configuration_changes import TakeOutChange, change_of
from cactuspass._counters import Counters
from cactuspass._documents import POLLS_PER_FULL_READ, DocumentStore
from cactuspass._entry_state import EntryState
from cactuspass._in_force import ConfigurationSystem, take_outs_in_force
from cactuspass._messages import ConfigurationRead, Input, TakeOutsReceived
from cactuspass._peer_messages import Hello
from cactuspass._statements import RecommitCommand, ReturnCommand, Statement, TakeOutCommand
from cactuspass._take_out_commits import TakeOutCommits
from cactuspass.exceptions import CactuspassError, OutcomeUnknown, PlatformUnavailable
from cactuspass.models import OperationId, TakeOut, TakeOutKind, TakeOutTag
from tests.fakes import Fault, MemoryPlatform
from tests.holding_tables import DATA_CENTRE, make_tables

NAMES = ("e1", "e2", "e3")
MAX_EXAMPLES = 150
STEPS = 30
SETTLE_ROUNDS = 8
names = st.sampled_from(NAMES)
targets = st.sampled_from(["u1", "u2"])


def run(work: Coroutine[Any, Any, Any]) -> Any:
    """Run work that never waits for anything but a turn of the loop."""
    try:
        while True:
            work.send(None)
    except StopIteration as ended:
        return ended.value


class Link:
    """What a connection to a peer says of it."""

    def __init__(self, name: str) -> None:
        local = make_tables(name).local
        self.hello = Hello(name, local.incarnation, DATA_CENTRE, local.address, "")


class Node:
    """The configuration side of one entry, without its sockets."""

    def __init__(self, name: str, platform: MemoryPlatform) -> None:
        self.tables = make_tables(name)
        self.documents = DocumentStore(platform, DATA_CENTRE, lambda: 0.0)
        self.state = EntryState(
            self.tables,
            lambda: 0.0,
            self.accept,
            self.documents.record_configuration,
            poll_platform=lambda: None,
        )
        self.commits = TakeOutCommits(
            self.tables, self.documents, self.accept, lambda: 0.0, Counters(None, "")
        )
        self._system = ConfigurationSystem()

    @property
    def revision(self) -> int:
        configuration = self.tables.configuration
        return -1 if configuration is None else configuration.revision

    def accept(self, message: Input) -> None:
        self._system.run(self.tables, (message,), 0.0)


class ConfigurationMachine(RuleBasedStateMachine):
    """Entries over one faulty store; every step is one message, poll, order or fault."""

    tried = 0

    def __init__(self) -> None:
        super().__init__()
        ConfigurationMachine.tried += 1
        self.platform = MemoryPlatform()
        self.nodes = {name: Node(name, self.platform) for name in NAMES}
        self.cut: set[frozenset[str]] = set()
        self.snapshot = (dict(self.platform.stored_by_key), self.platform.revision)
        self.highest = dict.fromkeys(NAMES, -1)
        self.accepted: set[TakeOutTag] = set()
        self.returned: set[TakeOutTag] = set()
        self._numbers = itertools.count()
        for name in NAMES:
            self.poll(name)

    @rule(name=names)
    def poll(self, name: str) -> None:
        if frozenset((name, "platform")) in self.cut:
            return
        for message in run(self.nodes[name].documents.poll()).inputs:
            self.nodes[name].accept(message)

    @rule(name=names, peer=names)
    def hear(self, name: str, peer: str) -> None:
        """Hear a peer's heartbeat, and fetch its documents if wanted."""
        if name == peer or frozenset((name, peer)) in self.cut:
            return
        node, other = self.nodes[name].state, self.nodes[peer].state
        if node.needs_documents(Link(peer), other.heartbeat()):  # type: ignore[arg-type]
            self.nodes[name].accept(TakeOutsReceived(other.take_outs()))
            node.receive_documents(other.documents())

    @rule(name=names, upstream=targets)
    def take_out(self, name: str, upstream: str) -> None:
        self.order(name, TakeOutCommand(TakeOutKind.UPSTREAM, upstream))

    @rule(name=names, upstream=targets)
    def return_target(self, name: str, upstream: str) -> None:
        self.order(name, ReturnCommand(TakeOutKind.UPSTREAM, upstream))

    @rule(name=names)
    def recommit(self, name: str) -> None:
        self.order(name, RecommitCommand())

    @rule(name=names)
    def commit_pending(self, name: str) -> None:
        with_platform = frozenset((name, "platform")) not in self.cut
        if with_platform and self.nodes[name].tables.pending_take_outs_by_tag:
            run(self.nodes[name].commits._commit())

    @rule(faults=st.lists(st.sampled_from([Fault.UNAVAILABLE, Fault.ANSWER_LOST]), max_size=3))
    def spoil_calls(self, faults: list[Fault]) -> None:
        self.platform.faults.extend(faults)

    @rule(is_out=st.booleans())
    def set_outage(self, is_out: bool) -> None:
        self.platform.default_fault = Fault.UNAVAILABLE if is_out else Fault.NONE

    @rule(one=names, other=st.sampled_from([*NAMES, "platform"]))
    def cut_link(self, one: str, other: str) -> None:
        self.cut ^= {frozenset((one, other))}

    @rule()
    def keep_snapshot(self) -> None:
        self.snapshot = (dict(self.platform.stored_by_key), self.platform.revision)

    @rule()
    def restore_snapshot(self) -> None:
        self.platform.stored_by_key, self.platform.revision = (
            dict(self.snapshot[0]),
            self.snapshot[1],
        )

    def order(self, name: str, command: Statement) -> None:
        node = self.nodes[name]
        operation = OperationId(f"{name}/{next(self._numbers)}")
        try:
            change = change_of(command, node.tables, operation, 0.0)
        except CactuspassError:
            return
        seen = set(getattr(change, "tags", ()))
        try:
            if frozenset((name, "platform")) in self.cut:
                raise PlatformUnavailable("cut")
            committed = run(node.documents.commit_configuration(change, operation, node.revision))
            node.accept(ConfigurationRead(committed, from_platform=True))
        except (PlatformUnavailable, OutcomeUnknown):
            if not isinstance(change, TakeOutChange):
                self.returned |= seen
                return
            node.accept(TakeOutsReceived(change.take_outs))
        except CactuspassError:
            return
        self.returned |= seen
        if isinstance(change, TakeOutChange):
            self.accepted |= {order.tag for order in change.take_outs}

    @invariant()
    def revisions_never_go_down(self) -> None:
        for name, node in self.nodes.items():
            assert node.revision >= self.highest[name], f"{name} went back"
            self.highest[name] = node.revision

    def teardown(self) -> None:
        """Heal everything; all entries must agree, with every accepted take-out in force."""
        self.cut.clear()
        self.platform.faults.clear()
        self.platform.default_fault = Fault.NONE
        for _ in range(SETTLE_ROUNDS):
            for name in NAMES:
                self.poll(name)
                for peer in NAMES:
                    self.hear(name, peer)
            for name in NAMES:
                if self.nodes[name].tables.alarms_by_key:
                    self.recommit(name)
                self.commit_pending(name)
        found = {(node.revision, *sorted(self.in_force(node))) for node in self.nodes.values()}
        assert len(found) == 1, f"the entries differ: {found}"
        lost = self.accepted - self.returned - self.in_force(self.nodes["e1"])
        assert not lost, f"take-outs were lost: {lost}"

    @staticmethod
    def in_force(node: Node) -> set[TakeOutTag]:
        return set(take_outs_in_force(node.tables))


class ConfigurationModelTest(unittest.TestCase):
    def test_interleavings(self) -> None:
        ConfigurationMachine.tried = 0
        run_state_machine_as_test(
            ConfigurationMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=MAX_EXAMPLES,
                stateful_step_count=STEPS,
            ),
        )
        print(f"{ConfigurationMachine.tried} interleavings of {STEPS} steps tried")


class RevertedStoreTest(unittest.TestCase):
    """One entry has the newer configuration from a peer only when the store goes back."""

    def setUp(self) -> None:
        self.machine = ConfigurationMachine()
        self.machine.take_out("e2", "u1")
        self.machine.hear("e1", "e2")
        self.machine.restore_snapshot()
        self.node = self.machine.nodes["e1"]
        self.assertEqual(self.node.revision, 1)

    def test_it_notices_the_older_copy(self) -> None:
        for _ in range(POLLS_PER_FULL_READ):
            self.machine.poll("e1")
        self.assertEqual(len(self.node.tables.alarms_by_key), 1)

    def test_it_commits_nothing_over_the_older_copy(self) -> None:
        take_out = TakeOut(TakeOutTag("t"), TakeOutKind.UPSTREAM, "u2")
        self.node.accept(TakeOutsReceived((take_out,)))
        self.machine.commit_pending("e1")
        self.assertEqual(self.machine.platform.stored_by_key, {})
        self.assertIn(take_out.tag, self.node.tables.pending_take_outs_by_tag)
