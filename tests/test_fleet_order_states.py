"""Late orders, answers and views that refer to an earlier state or lifetime of a host."""

import asyncio
import unittest
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import replace
from unittest import mock

from cactuspass._clock import now
from cactuspass._platform import Snapshot
from cactuspass.fleet import _presence
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._catalog import Catalog
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._demand import Demand
from cactuspass.fleet._directory import UpstreamChanges
from cactuspass.fleet._feed_follower import FEED_ERRORS, FeedFollower
from cactuspass.fleet._feed_source import FeedUpdateWriter
from cactuspass.fleet._host_states import HostStateTable
from cactuspass.fleet._orders import (
    AddressedOrder,
    Close,
    Join,
    Leave,
    Open,
    OrderOutcome,
    Stage,
    UpstreamReport,
)
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._planner import GroupPlanner
from cactuspass.fleet._planning_round import PlannerInput
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._presence import LEADER_KEY, UNKNOWN_DATA_CENTRE, Presence
from cactuspass.fleet._sync import UpstreamSync
from cactuspass.fleet._upstreams import (
    GroupKey,
    Membership,
    MemberState,
    Upstream,
    UpstreamId,
    UpstreamState,
    UpstreamView,
)
from cactuspass.models import EntryId, GroupId, ServiceId
from cactuspass.platform._control import ServerControl
from tests.fleet_path import recording_log
from tests.fleet_world import ENGINE, SERVICE, SMALL, EngineWorld, host, hosts
from tests.leader_world import LeaderWorld, OrderDelivery
from tests.order_world import STEP_SECONDS
from tests.test_fleet_presence import MemoryStore, clock
from tests.test_fleet_sync import ScriptedDirectory
from tests.test_fleet_two_groups import (
    HEAD,
    SECOND,
    THIRD,
    TwoGroupsCase,
)
from tests.virtual_time import virtual_time

KEY = GroupKey(GroupId("g7"), 7)
AT = 50.0


class LifetimeTest(unittest.TestCase):
    """An upstream restarts under the same id, and its sequence number starts at 0 again."""

    def test_answer_of_the_previous_lifetime_is_not_counted_for_the_new_one(self) -> None:
        # Guards against counting an order that the previous lifetime has accepted in the sequence
        # number of the new one.
        before = replace(host("x"), born_ms=5)
        after = replace(before, born_ms=6)
        report = UpstreamReport(0, 0, 1.0, None, False, 0, 6)
        host_states = HostStateTable()
        host_states.update({after.upstream_id: after}, {after.upstream_id: report}, AT)
        late = AddressedOrder(before, Stage(SMALL), "test", 0)
        host_states.record_outcome(late, OrderOutcome.BEGUN, AT)
        state = host_states.state_of(after)
        assert state is not None
        self.assertEqual(state.sequence, 0)


class SameIdTest(TwoGroupsCase):
    """Orders to one lifetime of an upstream that its next lifetime carries out."""

    def _script(self, addressed: AddressedOrder) -> OrderDelivery | None:
        """Deliver the head's joins of the first and last epoch late, and lose their repetitions."""
        if not isinstance(addressed.order, Join) or addressed.target.upstream_id != HEAD:
            return None
        delivery = {
            self.first_epoch: OrderDelivery.LATE_12,
            self.last_epoch: OrderDelivery.LATE_5,
        }.get(addressed.order.key.epoch)
        if addressed.order.key.epoch in self.scripted_epochs:
            return OrderDelivery.LOST if delivery is not None else None
        self.scripted_epochs.add(addressed.order.key.epoch)
        return delivery

    def test_joins_of_the_previous_lifetime_do_not_take_the_next_one_out_of_a_group(self) -> None:
        # Guards against late orders to the previous lifetime that the next one accepts because it
        # reaches the same sequence number; one of them would make it leave an open group.
        self.first_epoch, self.last_epoch, self.scripted_epochs = 2, 5, set[int]()
        self.world.delivery_script = self._script
        hosts_by_id, spare = self.order_world.hosts_by_id, UpstreamId("h7")
        self.run_until_sent(Join, HEAD)
        first_sent_at = self.world.at
        self.run_until(lambda: hosts_by_id[SECOND].membership is not None)
        self.world.run(0.5)
        hosts_by_id[SECOND].pace = hosts_by_id[THIRD].pace = 5.0
        self.run_until(lambda: hosts_by_id[HEAD].membership is not None)
        self.order_world.kill(spare)
        self.run_until(lambda: hosts_by_id[HEAD].membership is None)
        self.order_world.restart(spare)
        self.run_until(lambda: self.last_epoch in self.scripted_epochs)
        self.world.run(first_sent_at + OrderDelivery.LATE_12.value - 0.1 - self.world.at)
        self.order_world.restart(HEAD)
        self.run_until(lambda: hosts_by_id[HEAD].membership is not None, 0.2)
        hosts_by_id[SECOND].pace = hosts_by_id[THIRD].pace = 1.0
        self.world.run(10.0)
        self.assertEqual(self.order_world.violations, [], "\n".join(self.order_world.log))


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server sends a surplus answer on a connection that is kept open."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request, the second one after an answer that belongs to no request."""
        with suppress(asyncio.IncompleteReadError):  # The client has closed this connection.
            for unrelated in (b"", _answer(200, "another")):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.lower().split(": ", 1) for line in head.splitlines()[1:] if ": " in line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                own = _answer(409, fields.get("cactuspass-request-id"))
                writer.write(unrelated + own)
        writer.close()

    async def test_answer_that_belongs_to_no_order_does_not_show_that_a_host_has_left(self) -> None:
        # Guards against treating a host as free because of an answer that does not belong to the
        # leave order.
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        target = replace(host("x"), address=address)
        pool = ConnectionPool()
        control = ServerControl(pool)
        try:
            for _ in range(2):
                outcome = await control.send_order(
                    AddressedOrder(target, Leave(KEY), "test", 3), lambda: True
                )
            self.assertIn(outcome, (OrderOutcome.CONFLICT, OrderOutcome.UNKNOWN))
        finally:
            pool.close()
            server.close()


def _answer(status: int, request_id: str | None) -> bytes:
    id_header = f"Cactuspass-Request-Id: {request_id}\r\n" if request_id is not None else ""
    return f"HTTP/1.1 {status} Is\r\n{id_header}Content-Length: 0\r\n\r\n".encode()


class StalledHeadCase(TwoGroupsCase):
    """Record the heads that serve though a member has left."""

    def setUp(self) -> None:
        super().setUp()
        self.stalled_heads: list[str] = []

    def run_and_record_stalls(self, seconds: float) -> None:
        """Advance the time, and record each head that serves though a member has left."""

        def record_stalled_heads() -> bool:
            for head in self.order_world.running_hosts():
                membership = head.membership
                if membership is None or not head.serves(membership.key):
                    continue
                for member in membership.members:
                    member_membership = self.order_world.hosts_by_id[member].membership
                    if member_membership is None or member_membership.key != membership.key:
                        self.stalled_heads.append(
                            f"{self.order_world.at:.2f} {membership.key} lacks {member}"
                        )
            return False

        self.world.run_until(record_stalled_heads, seconds)


class HandoverTest(StalledHeadCase):
    """The leader changes while a head that it has ordered to open still reports ready."""

    def test_members_do_not_leave_a_group_that_opens_at_that_moment(self) -> None:
        # Guards against members that leave though their head has opened and has therefore refused
        # the order to leave.
        for steps in range(8):
            self.world = LeaderWorld()
            self.order_world = self.world.order_world
            self.run_until_sent(Open, HEAD)
            self.world.run(steps * STEP_SECONDS)
            self.world.change_leader()
            self.run_and_record_stalls(5.0)
            with self.subTest(steps=steps):
                self.assertEqual(self.stalled_heads[:1], [], "\n".join(self.order_world.log))
            self.stalled_heads.clear()


class PendingLeaveTest(StalledHeadCase):
    """The leader orders members to leave a group, and opens that group before they do."""

    def setUp(self) -> None:
        super().setUp()
        self.start_groups()

    def test_group_is_not_opened_while_orders_to_leave_are_in_transit(self) -> None:
        # Guards against a late leave order that a member carries out after its group serves again.
        def script(addressed: AddressedOrder) -> OrderDelivery | None:
            return OrderDelivery.LATE_5 if isinstance(addressed.order, Leave) else None

        self.world.delivery_script = script
        self.order_world.hosts_by_id[THIRD].pace = 5.0
        self.run_until_sent(Leave, SECOND)
        self.order_world.hosts_by_id[THIRD].pace = 1.0
        self.run_and_record_stalls(12.0)
        self.assertEqual(self.stalled_heads[:1], [], "\n".join(self.order_world.log))
        self.assertEqual(self.order_world.violations, [])

    def test_adopted_group_is_not_opened_without_a_member_that_reports_to_have_left(self) -> None:
        # Guards against opening a group because the registry entry of a member still shows it,
        # though the member itself reports that it has left.
        def script(addressed: AddressedOrder) -> OrderDelivery | None:
            to_head = addressed.target.upstream_id == HEAD
            return OrderDelivery.LOST if to_head and isinstance(addressed.order, Leave) else None

        self.world.delivery_script = script
        self.order_world.hosts_by_id[THIRD].pace = 5.0
        self.run_until_sent(Leave, HEAD)
        self.world.unregistered.add(SECOND)
        self.run_until(lambda: self.order_world.hosts_by_id[SECOND].membership is None)
        self.order_world.hosts_by_id[THIRD].pace = 1.0
        self.world.run(0.5)
        self.world.change_leader()
        self.run_and_record_stalls(2.0)
        self.assertEqual(self.stalled_heads[:1], [], "\n".join(self.order_world.log))
        self.assertEqual(self.order_world.violations, [])


class PartialViewTest(TwoGroupsCase):
    """A leader takes over while the entry of one member of a serving group is missing."""

    def test_serving_group_is_not_closed_because_an_entry_is_missing(self) -> None:
        # Guards against treating a member without an entry as ended, and aborting the requests of
        # its group.
        self.start_groups()
        self.world.unregistered.add(THIRD)
        self.world.run(4.0)
        count_before = len(self.world.orders(Close))
        self.assertEqual(count_before, 0)
        self.world.change_leader()
        self.world.run(0.5)
        self.assertEqual(self.world.orders(Close), [], "\n".join(self.order_world.log))


class OlderUpdateTest(unittest.TestCase):
    """An instance receives an older state than it has, from a feed or from its own watch."""

    def setUp(self) -> None:
        log, _ = recording_log()
        self.cluster_state = ClusterState(log)
        self.ready = host("a")
        self.draining = replace(self.ready, state=UpstreamState.DRAINING)

    def test_source_that_is_behind_does_not_revert_a_draining_upstream(self) -> None:
        # Guards against applying a feed update that is older than the present state.
        behind = ClusterState(recording_log()[0])
        behind.accept_upstreams([self.ready], 9)
        self.cluster_state.accept_upstreams([self.draining], 10)
        follower = FeedFollower(
            EntryId("e"),
            UNKNOWN_DATA_CENTRE,
            self.cluster_state,
            lambda: False,
            lambda: None,
            recording_log()[0],
        )
        follower._accept(FeedUpdateWriter(behind).write(0.0), now())
        self.assertTrue(self.cluster_state.view.upstreams_by_id[self.ready.upstream_id].draining)

    def test_updates_after_those_of_a_source_that_was_behind_are_complete(self) -> None:
        # Guards against missing changes: a later update contains only the changes since an earlier
        # one, which was not applied because it was older than the present state.
        gone, other = host("gone"), host("other")
        self.cluster_state.accept_upstreams([self.ready, gone], 10)
        behind = ClusterState(recording_log()[0])
        behind.accept_upstreams([self.ready], 9)
        follower = FeedFollower(
            EntryId("e"),
            UNKNOWN_DATA_CENTRE,
            self.cluster_state,
            lambda: False,
            lambda: None,
            recording_log()[0],
        )
        writer = FeedUpdateWriter(behind)
        for upstreams, revision in (((self.ready,), 9), ((self.ready, other), 11)):
            behind.accept_upstreams(upstreams, revision)
            try:
                follower._accept(writer.write(0.0), now())
            except FEED_ERRORS:
                writer = FeedUpdateWriter(
                    behind
                )  # A new connection starts with the complete state.
                follower._accept(writer.write(0.0), now())
        self.assertEqual(self.cluster_state.view, behind.view)

    def test_late_answer_of_the_own_watch_does_not_revert_an_update_from_a_source(self) -> None:
        # Guards against applying watched changes that are older than the present state.
        self.cluster_state.accept_upstreams([self.draining], 10)
        directory = ScriptedDirectory()
        sync = UpstreamSync(directory, self.cluster_state, recording_log()[0])
        sync._apply_changes(UpstreamChanges((self.ready,), (), 9))
        self.assertTrue(self.cluster_state.view.upstreams_by_id[self.ready.upstream_id].draining)


class ExpiredInstancesTest(unittest.TestCase):
    """Instances whose entries have expired in a store outage, and that continue to serve."""

    def test_shares_of_instances_that_register_again_stay_within_the_limit(self) -> None:
        # Guards against treating an instance whose entry has expired as gone: the others would take
        # its share of the retry budget, which it still uses.
        limit = 100.0
        all_peers = tuple(Peer(EntryId(f"e{n}"), UNKNOWN_DATA_CENTRE, None) for n in range(6))
        remaining = 0.0
        for _ in all_peers:
            cluster_state = ClusterState(recording_log()[0], min_instances=3)
            cluster_state.accept_peers(all_peers)
            cluster_state.accept_peers(all_peers[:1])
            remaining += RetryBudget(0.0, limit, 10.0).remaining(AT, cluster_state.instance_count)
        self.assertLessEqual(remaining, limit)


class SlowReadStore(MemoryStore):
    """A store that delays its answers to reads of the leader key."""

    def __init__(self) -> None:
        super().__init__()
        self.read_started = asyncio.Event()
        self.answer_allowed = asyncio.Event()

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read now, and return the result once the test allows it."""
        found = await super().read(keys, keys_only)
        if LEADER_KEY in keys:
            self.read_started.set()
            await self.answer_allowed.wait()
        return found


class LateAnswerTest(unittest.TestCase):
    """An instance stops while it reads whether it is the leader."""

    @virtual_time
    async def test_instance_that_stops_does_not_become_leader_by_a_late_answer(self) -> None:
        # Guards against a term that begins after the instance has revoked its lease: the answer to
        # the read arrives after that.
        patch = mock.patch.object(_presence, "now", clock)
        patch.start()
        self.addCleanup(patch.stop)
        store = SlowReadStore()
        store.lose_next_write = True
        cluster_state = ClusterState(recording_log()[0])
        cluster_state.accept_catalog(Catalog(1))
        presence = Presence(store, EntryId("e"), cluster_state, recording_log()[0])
        await presence.start()
        async with asyncio.timeout(10):
            await store.read_started.wait()
        await presence.drain()
        self.assertEqual(store.keys, {})
        store.answer_allowed.set()
        await asyncio.sleep(0.1)
        term = presence.term
        await presence.stop()
        self.assertIsNone(term)


class RefusedLoadTest(unittest.TestCase):
    """A host refuses a load order because of its sequence number or another load."""

    def test_host_that_refuses_a_sequence_number_is_not_treated_as_loading(self) -> None:
        # Guards against treating the refusal of an outdated sequence number as that of a busy host;
        # the host has accepted a late order since the order was planned.
        world = EngineWorld([host("x")])
        planner_input = world.planner_input()
        world.sequences_by_id[UpstreamId("x")] += 1
        [addressed] = world.planner.plan(planner_input)
        self.assertIsInstance(addressed.order, Stage)
        outcome = world._carry_out(addressed)
        self.assertIs(outcome, OrderOutcome.CONFLICT)
        world.planner.record_outcome(addressed, outcome, world.at)
        world.run(2.0)
        self.assertEqual([a.expected_sequence for a in world.orders(Stage)], [1])

    def test_load_that_begins_later_is_not_dropped_for_an_earlier_refusal(self) -> None:
        # Guards against discarding a load that has begun because an earlier one was refused.
        world = EngineWorld([host("x")])
        world.busy.add(UpstreamId("x"))
        world.run(1.0)
        world.busy.clear()
        while len(world.orders(Stage)) < 2:
            world.run(0.1)
        world.run(1.0)
        self.assertEqual(len(world.orders(Stage)), 2)


class TwoServicesTest(unittest.TestCase):
    """Two services whose engines form groups."""

    def test_groups_of_two_services_have_different_keys(self) -> None:
        # Guards against giving groups of two services the same id and epoch.
        other_service = ServiceId("other")
        own_upstreams = hosts(3, "d0", SMALL)
        other_upstreams = [replace(u, service=other_service) for u in hosts(3, "d1", SMALL)]
        members: list[Upstream] = []
        for service, registered in ((SERVICE, own_upstreams), (other_service, other_upstreams)):
            members += _upstreams_after_joins(
                service, registered, [*own_upstreams, *other_upstreams]
            )
        groups = UpstreamView.of(members).groups_by_key.values()
        self.assertEqual(sorted(len(group.members) for group in groups), [3, 3])
        for group in groups:
            self.assertEqual({member.service for member in group.members}, {group.service})


def _upstreams_after_joins(
    service: ServiceId, registered: list[Upstream], all_upstreams: list[Upstream]
) -> list[Upstream]:
    """Return the upstreams of a service after the first join orders of a new planner."""
    reports = {u.upstream_id: UpstreamReport(0, 0, 1.0, None, False, 0, 0) for u in all_upstreams}
    view = UpstreamView.of(all_upstreams)
    planner_input = PlannerInput(AT, service, ENGINE, view, 10_000, reports_by_id=reports)
    by_id = {u.upstream_id: u for u in registered}
    upstreams = []
    for addressed in GroupPlanner(Demand()).plan(planner_input):
        order = addressed.order
        if isinstance(order, Join):
            rank = order.members.index(addressed.target.upstream_id)
            membership = Membership(order.key, rank, MemberState.READY)
            upstreams.append(replace(by_id[addressed.target.upstream_id], membership=membership))
    return upstreams


if __name__ == "__main__":
    unittest.main()
