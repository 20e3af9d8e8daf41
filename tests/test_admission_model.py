"""Model check of admission: no interleaving of events sends an upstream too much.

Two entries take turns in holding a group whose only upstream restarts at any time. Load reports
and the ends of requests reach the entries late and out of order.
"""

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
# An entry receives the end of a request within this time.
MAX_END_DELAY_SECONDS = 0.4
# A dispatched request may be missing from load reports within this time.
ARRIVAL_SECONDS = 0.09
counts = {"steps": 0, "dispatches": 0, "restarts": 0, "takeovers": 0}


class Upstream:
    """Actual state of the upstream, which the entries receive only through reports."""

    def __init__(self) -> None:
        self.boot = 1
        self.completed = 0
        self.running: dict[Id, tuple[int, float]] = {}

    @property
    def concurrency_limit(self) -> int:
        return min(KIND.full_requests, KIND.cold_requests + int(self.completed * KIND.warm_step))

    def tokens(self) -> int:
        return sum(tokens for tokens, _ in self.running.values())


class AdmissionMachine(RuleBasedStateMachine):
    """Drives two entries that take turns in holding the group."""

    def __init__(self) -> None:
        super().__init__()
        self.worlds = [AdmissionFixture(KIND, groups=0) for _ in range(2)]
        self.upstream = Upstream()
        self.holder = 0
        self.now = 0.0
        self.arrived_ids: list[Id] = []
        self.withdrawn_ids: set[Id] = set()
        self.order_counts: dict[Id, int] = {}
        self.entry_by_request: dict[Id, int] = {}
        self.tokens_by_request: dict[Id, int] = {}
        self.pending_ends: list[tuple[float, int, Input]] = []
        self.reports: list[tuple[float, int, int, int]] = []
        self.reported_boots = [0, 0]
        self.take_over(0)
        self.send_fresh_report()
        for _ in range(2):
            self.arrive_together(1)
            for name in sorted(self.upstream.running):
                self.finish(name)

    def take_over(self, index: int) -> None:
        """Make an entry the holder of the group; the other one may no longer send."""
        other = self.worlds[1 - index]
        other.tables.held_groups_by_id.pop(GROUP, None)
        self.holder = index
        world = self.worlds[index]
        world.add_held_group("g0", KIND)
        world.row().may_send_from = self.now
        self.reports.clear()
        self.report_to_holder(
            0, self.upstream.boot, len(self.upstream.running), self.upstream.tokens()
        )

    def report_to_holder(self, lag: float, boot: int, running: int, tokens: int) -> None:
        """Apply one status report at the holder."""
        self.worlds[self.holder].now = self.now
        self.worlds[self.holder].report("g0", f"b{boot}", running, tokens, lag)
        self.reported_boots[self.holder] = boot

    def tick(self, index: int, *inputs: Input) -> None:
        """Run one entry and carry out its orders."""
        counts["steps"] += 1
        world = self.worlds[index]
        world.now = self.now
        for order in world.tick(*inputs):
            assert isinstance(order, Dispatch | Forward | Refuse)
            self.order_counts[order.request_id] = self.order_counts.get(order.request_id, 0) + 1
            if isinstance(order, Dispatch):
                self.dispatch(index, order)

    def dispatch(self, index: int, order: Dispatch) -> None:
        """Send a request to the upstream, and check its limits if the entry knows its boot."""
        counts["dispatches"] += 1
        assert index == self.holder
        self.upstream.running[order.request_id] = (
            self.tokens_by_request[order.request_id],
            self.now,
        )
        if self.reported_boots[index] == self.upstream.boot:
            assert len(self.upstream.running) <= self.upstream.concurrency_limit
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
        name = Id(f"r{len(self.arrived_ids)}")
        self.arrived_ids.append(name)
        self.entry_by_request[name], self.tokens_by_request[name] = index, tokens
        deadline = self.now + patience
        changes = {"customer": CustomerId(customer), "priority": priority, "deadline": deadline}
        self.tick(index, arrival(name, tokens=tokens, **changes))

    @precondition(lambda self: self.arrived_ids)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(self.arrived_ids))
        self.withdrawn_ids.add(name)
        self.tick(self.entry_by_request[name], RequestWithdrawn(name))

    @precondition(lambda self: self.upstream.running)
    @rule(data=st.data(), still_running=st.booleans())
    def end(self, data: st.DataObject, still_running: bool) -> None:
        """Complete a request, or break its connection while the upstream continues to run it."""
        name = data.draw(st.sampled_from(sorted(self.upstream.running)))
        is_end_pending = any(item.request_id == name for _, _, item in self.pending_ends)  # type: ignore
        is_known = name in self.worlds[self.entry_by_request[name]].tables.requests_by_id
        if still_running and is_known and not is_end_pending:
            self.pending_ends.append(
                (self.now, self.entry_by_request[name], RequestFinished(name, False))
            )
            return
        del self.upstream.running[name]
        if is_known and not is_end_pending:
            self.upstream.completed += 1
            self.pending_ends.append(
                (self.now, self.entry_by_request[name], RequestFinished(name, True))
            )

    @precondition(lambda self: self.pending_ends)
    @rule(data=st.data())
    def handle_end(self, data: st.DataObject) -> None:
        at = data.draw(st.integers(0, len(self.pending_ends) - 1))
        _, index, item = self.pending_ends.pop(at)
        self.tick(index, item)

    @rule(includes_in_flight=st.booleans())
    def measure(self, includes_in_flight: bool) -> None:
        """Measure the load, which may lack requests that have not arrived yet."""
        token_counts = [
            tokens
            for tokens, at in self.upstream.running.values()
            if includes_in_flight or at <= self.now - ARRIVAL_SECONDS
        ]
        self.reports.append((self.now, self.upstream.boot, len(token_counts), sum(token_counts)))

    @precondition(lambda self: self.reports)
    @rule()
    def handle_report(self) -> None:
        measured_at, boot, running, tokens = self.reports.pop(0)
        self.report_to_holder(self.now - measured_at, boot, running, tokens)
        self.tick(self.holder)

    @precondition(lambda self: self.upstream.running)
    @rule()
    def restart(self) -> None:
        """Restart the upstream, which breaks its connections; the entries learn of it later."""
        counts["restarts"] += 1
        for name in self.upstream.running:
            is_end_pending = any(item.request_id == name for _, _, item in self.pending_ends)  # type: ignore
            if not is_end_pending:
                self.pending_ends.append(
                    (self.now, self.entry_by_request[name], RequestFinished(name, False))
                )
        self.upstream.running.clear()
        self.upstream.boot += 1
        self.upstream.completed = 0
        self.reports.clear()

    @precondition(lambda self: self.upstream.running)
    @rule()
    def restart_under_load(self) -> None:
        """Restart the upstream, report its new boot to the holder and submit more requests."""
        self.restart()
        self.send_fresh_report()
        self.arrive_together(3)

    @rule()
    def break_events(self) -> None:
        """Break the event connection between the holder and the upstream."""
        self.worlds[self.holder].tables.instances_by_id[INSTANCE].connected = False
        self.worlds[self.holder].row().serving = False
        self.tick(self.holder)
        self.worlds[self.holder].row().serving = True

    @precondition(lambda self: self.order_counts)
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
    def send_fresh_report(self) -> None:
        """Measure the load and deliver the report to the holder."""
        self.wait(0.2)
        self.measure(True)
        self.wait(0.6)
        self.reports = self.reports[-1:]
        if self.reports:
            self.handle_report()

    @precondition(lambda self: self.upstream.running)
    @rule(data=st.data())
    def complete(self, data: st.DataObject) -> None:
        """Complete a request and report its end at once."""
        self.finish(data.draw(st.sampled_from(sorted(self.upstream.running))))

    def finish(self, name: Id) -> None:
        """Complete a request and report its end at once, unless an end is already pending."""
        del self.upstream.running[name]
        is_end_pending = any(item.request_id == name for _, _, item in self.pending_ends)  # type: ignore
        if (
            name in self.worlds[self.entry_by_request[name]].tables.requests_by_id
            and not is_end_pending
        ):
            self.upstream.completed += 1
            self.tick(self.entry_by_request[name], RequestFinished(name, True))

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Advance the clock; ends are reported within ``MAX_END_DELAY_SECONDS``."""
        late = [
            item
            for item in self.pending_ends
            if item[0] < self.now + seconds - MAX_END_DELAY_SECONDS
        ]
        for item in late:
            self.pending_ends.remove(item)
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
                assert held.reserved_tokens == sum(rows[name].tokens for name in held.requests)
                assert held.foreign_request_count == len(held.foreign_requests)

    @invariant()
    def no_request_has_two_orders(self) -> None:
        assert all(count == 1 for count in self.order_counts.values())

    def teardown(self) -> None:
        """Check that every request that was not withdrawn has an order after its deadline."""
        self.now += 31.0
        for index in (0, 1):
            self.tick(index)
        missing = set(self.arrived_ids) - self.order_counts.keys() - self.withdrawn_ids
        assert not missing, missing


class AdmissionModelTest(unittest.TestCase):
    def test_no_interleaving_overloads_the_upstream(self) -> None:
        options = settings(
            derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
        )
        run_state_machine_as_test(AdmissionMachine, settings=options)
        print(f"admission model: {counts}", file=sys.__stderr__)
        self.assertGreater(min(counts.values()), 0)
