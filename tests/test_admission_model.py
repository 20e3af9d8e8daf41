"""Model check of admission: two entries, one upstream that restarts, late and crossed news."""

import sys
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cactuspass._messages import Dispatch, Forward, Input, Refuse, RequestFinished, RequestWithdrawn
from cactuspass._queues import CUSTOMER_QUEUE_REQUESTS, TOTAL_QUEUE_REQUESTS
from cactuspass.models import CustomerId, GroupId, InstanceId, KindId, Priority, UpstreamKind
from cactuspass.models import RequestId as Id
from tests.admission_fixtures import AdmissionFixture, arrival

KIND = UpstreamKind(KindId("draft"), cold_requests=1, full_requests=3, memory_tokens=500)
GROUP, INSTANCE = GroupId("g0"), InstanceId("g0-i")
NEWS_SECONDS = 0.4
FLIGHT_SECONDS = 0.09
counts = {"steps": 0, "dispatches": 0, "restarts": 0, "takeovers": 0}


class Upstream:
    """What the upstream truly bears and runs."""

    def __init__(self) -> None:
        self.boot = 1
        self.completed = 0
        self.running: dict[Id, tuple[int, float]] = {}

    @property
    def bearable(self) -> int:
        return min(KIND.full_requests, KIND.cold_requests + int(self.completed * KIND.warm_step))

    def tokens(self) -> int:
        return sum(tokens for tokens, _ in self.running.values())


class AdmissionMachine(RuleBasedStateMachine):
    """Drives two entries that hold the group in turn."""

    def __init__(self) -> None:
        super().__init__()
        self.worlds = [AdmissionFixture(KIND, groups=0) for _ in range(2)]
        self.upstream = Upstream()
        self.holder = 0
        self.now = 0.0
        self.arrived: list[Id] = []
        self.withdrawn: set[Id] = set()
        self.final: dict[Id, int] = {}
        self.owner: dict[Id, int] = {}
        self.tokens: dict[Id, int] = {}
        self.news: list[tuple[float, int, Input]] = []
        self.reports: list[tuple[float, int, int, int]] = []
        self.told_boot = [0, 0]
        self.take_over(0)
        self.settle()
        for _ in range(2):
            self.arrive_together(1)
            for name in sorted(self.upstream.running):
                self.finish(name)

    def take_over(self, index: int) -> None:
        """Move the group to an entry; the other may not send from now on."""
        other = self.worlds[1 - index]
        other.tables.held_groups_by_id.pop(GROUP, None)
        self.holder = index
        world = self.worlds[index]
        world.add_held_group("g0", KIND)
        world.row().held_from = self.now
        self.reports.clear()
        self.see(0, self.upstream.boot, len(self.upstream.running), self.upstream.tokens())

    def see(self, lag: float, boot: int, running: int, tokens: int) -> None:
        """Let the holder see one status report."""
        self.worlds[self.holder].now = self.now
        self.worlds[self.holder].report("g0", f"b{boot}", running, tokens, lag)
        self.told_boot[self.holder] = boot

    def tick(self, index: int, *inputs: Input) -> None:
        """Run one entry and carry its orders out."""
        counts["steps"] += 1
        world = self.worlds[index]
        world.now = self.now
        for order in world.tick(*inputs):
            assert isinstance(order, Dispatch | Forward | Refuse)
            self.final[order.request_id] = self.final.get(order.request_id, 0) + 1
            if isinstance(order, Dispatch):
                self.dispatch(index, order)

    def dispatch(self, index: int, order: Dispatch) -> None:
        """Send a request to the upstream and compare with what it bears."""
        counts["dispatches"] += 1
        assert index == self.holder
        self.upstream.running[order.request_id] = (self.tokens[order.request_id], self.now)
        if self.told_boot[index] == self.upstream.boot:
            assert len(self.upstream.running) <= self.upstream.bearable
            assert self.upstream.tokens() <= KIND.memory_tokens

    @rule(
        index=st.integers(0, 1),
        tokens=st.sampled_from([50, 150, 300, 501]),
        patience=st.sampled_from([0.5, 3.0, 30.0]),
        customer=st.sampled_from(["c1", "c2"]),
        priority=st.sampled_from(Priority),
    )
    def arrive(
        self, index: int, tokens: int, patience: float, customer: str, priority: Priority
    ) -> None:
        name = Id(f"r{len(self.arrived)}")
        self.arrived.append(name)
        self.owner[name], self.tokens[name] = index, tokens
        deadline = self.now + patience
        changes = {"customer": CustomerId(customer), "priority": priority, "deadline": deadline}
        self.tick(index, arrival(name, tokens=tokens, **changes))

    @precondition(lambda self: self.arrived)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.arrived))
        self.withdrawn.add(name)
        self.tick(self.owner[name], RequestWithdrawn(name))

    @precondition(lambda self: self.upstream.running)
    @rule(data=st.data(), kept=st.booleans())
    def end(self, data: st.DataObject, kept: bool) -> None:
        """Complete a request, or break its connection while the upstream goes on with it."""
        name = data.draw(st.sampled_from(sorted(self.upstream.running)))
        told = any(item.request_id == name for _, _, item in self.news)  # type: ignore
        known = name in self.worlds[self.owner[name]].tables.requests_by_id
        if kept and known and not told:
            self.news.append((self.now, self.owner[name], RequestFinished(name, False)))
            return
        del self.upstream.running[name]
        if known and not told:
            self.upstream.completed += 1
            self.news.append((self.now, self.owner[name], RequestFinished(name, True)))

    @precondition(lambda self: self.news)
    @rule(data=st.data())
    def hear_end(self, data: st.DataObject) -> None:
        at = data.draw(st.integers(0, len(self.news) - 1))
        _, index, item = self.news.pop(at)
        self.tick(index, item)

    @rule(seen=st.booleans())
    def measure(self, seen: bool) -> None:
        """Measure the load; requests that are still on their way may be missing from it."""
        arrived = [
            tokens
            for tokens, at in self.upstream.running.values()
            if seen or at <= self.now - FLIGHT_SECONDS
        ]
        self.reports.append((self.now, self.upstream.boot, len(arrived), sum(arrived)))

    @precondition(lambda self: self.reports)
    @rule()
    def hear_report(self) -> None:
        measured_at, boot, running, tokens = self.reports.pop(0)
        self.see(self.now - measured_at, boot, running, tokens)
        self.tick(self.holder)

    @precondition(lambda self: self.upstream.running)
    @rule()
    def restart(self) -> None:
        """Restart the upstream; its connections break, but the news of it comes later."""
        counts["restarts"] += 1
        for name in self.upstream.running:
            told = any(item.request_id == name for _, _, item in self.news)  # type: ignore
            if not told:
                self.news.append((self.now, self.owner[name], RequestFinished(name, False)))
        self.upstream.running.clear()
        self.upstream.boot += 1
        self.upstream.completed = 0
        self.reports.clear()

    @precondition(lambda self: self.upstream.running)
    @rule()
    def restart_under_load(self) -> None:
        """Restart the upstream and let the holder learn of it while more requests come."""
        self.restart()
        self.settle()
        self.arrive_together(3)

    @rule()
    def break_events(self) -> None:
        """Tell the holder that the event connection broke."""
        self.worlds[self.holder].tables.instances_by_id[INSTANCE].connected = False
        self.worlds[self.holder].row().serving = False
        self.tick(self.holder)
        self.worlds[self.holder].row().serving = True

    @precondition(lambda self: self.final)
    @rule()
    def change_holder(self) -> None:
        counts["takeovers"] += 1
        self.take_over(1 - self.holder)
        self.tick(0)
        self.tick(1)

    @rule(count=st.integers(2, 6), tokens=st.sampled_from([100, 300]))
    def arrive_together(self, count: int, tokens: int = 100) -> None:
        for _ in range(count):
            self.arrive(self.holder, tokens, 30.0, "c1", Priority.NORMAL)

    @rule()
    def settle(self) -> None:
        """Let a fresh report arrive."""
        self.wait(0.2)
        self.measure(True)
        self.wait(0.6)
        self.reports = self.reports[-1:]
        if self.reports:
            self.hear_report()

    @precondition(lambda self: self.upstream.running)
    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        """Complete a request and deliver the news at once."""
        self.finish(data.draw(st.sampled_from(sorted(self.upstream.running))))

    def finish(self, name: Id) -> None:
        """Complete a request and deliver the news at once, unless it was told before."""
        del self.upstream.running[name]
        told = any(item.request_id == name for _, _, item in self.news)  # type: ignore
        if name in self.worlds[self.owner[name]].tables.requests_by_id and not told:
            self.upstream.completed += 1
            self.tick(self.owner[name], RequestFinished(name, True))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass; no news of an ended request takes longer than its bound."""
        late = [item for item in self.news if item[0] < self.now + seconds - NEWS_SECONDS]
        for item in late:
            self.news.remove(item)
            self.tick(item[1], item[2])
        self.now += seconds
        self.tick(0)
        self.tick(1)

    @invariant()
    def queues_are_bounded(self) -> None:
        for world in self.worlds:
            for queue in world.system._queues_by_model.values():
                assert len(queue) <= TOTAL_QUEUE_REQUESTS
                waiting = queue.active_queues().values()
                assert all(len(item) <= CUSTOMER_QUEUE_REQUESTS for item in waiting)

    @invariant()
    def counts_agree(self) -> None:
        for world in self.worlds:
            rows = world.tables.requests_by_id
            for held in world.tables.held_groups_by_id.values():
                assert held.held_tokens == sum(rows[name].tokens for name in held.requests)
                assert held.foreign_held == len(held.foreign_requests)

    @invariant()
    def no_request_has_two_orders(self) -> None:
        assert all(count == 1 for count in self.final.values())

    def teardown(self) -> None:
        """After the last deadline every request has its order, unless it was withdrawn."""
        self.now += 31.0
        for index in (0, 1):
            self.tick(index)
        missing = set(self.arrived) - self.final.keys() - self.withdrawn
        assert not missing, missing


class AdmissionModelTest(unittest.TestCase):
    def test_no_interleaving_overloads_the_upstream(self) -> None:
        options = settings(
            derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
        )
        run_state_machine_as_test(AdmissionMachine, settings=options)
        print(f"admission model: {counts}", file=sys.__stderr__)
        self.assertGreater(min(counts.values()), 0)
