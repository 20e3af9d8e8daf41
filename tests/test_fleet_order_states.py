"""Orders, answers and views that are not tied to the state or the lifetime that they speak of."""

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
from tests.leader_world import Fate, LeaderWorld
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
    """An upstream starts again under its id, and its number of orders starts anew."""

    def test_answer_of_the_life_before_is_not_counted_for_the_new_one(self) -> None:
        # Guards against a number of one lifetime that is taken for that of the next.
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
    """Orders to one life of an upstream that the next one under its id carries out."""

    def _script(self, addressed: AddressedOrder) -> Fate | None:
        """Let the first and the last join of the head come late, and no repeat of these."""
        if not isinstance(addressed.order, Join) or addressed.target.upstream_id != HEAD:
            return None
        fate = {self.first: Fate.LATE_12, self.last: Fate.LATE_5}.get(addressed.order.key.epoch)
        if addressed.order.key.epoch in self.sent:
            return Fate.LOST if fate is not None else None
        self.sent.add(addressed.order.key.epoch)
        return fate

    def test_joins_of_the_life_before_do_not_take_the_next_one_out_of_an_open_group(self) -> None:
        # Guards against a number of orders that the next lifetime reaches again.
        self.first, self.last, self.sent = 2, 5, set[int]()
        self.world.script = self._script
        hosts_by_id, spare = self.truth.hosts_by_id, UpstreamId("h7")
        self.until_given(Join, HEAD)
        first_at = self.world.at
        self.until(lambda: hosts_by_id[SECOND].place is not None)
        self.world.run(0.5)
        hosts_by_id[SECOND].pace = hosts_by_id[THIRD].pace = 5.0
        self.until(lambda: hosts_by_id[HEAD].place is not None)
        self.truth.kill(spare)
        self.until(lambda: hosts_by_id[HEAD].place is None)
        self.truth.restart(spare)
        self.until(lambda: self.last in self.sent)
        self.world.run(first_at + Fate.LATE_12.value - 0.1 - self.world.at)
        self.truth.restart(HEAD)
        self.until(lambda: hosts_by_id[HEAD].place is not None, 0.2)
        hosts_by_id[SECOND].pace = hosts_by_id[THIRD].pace = 1.0
        self.world.run(10.0)
        self.assertEqual(self.truth.violations, [], "\n".join(self.truth.log))


class ExtraAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server sends an answer too many on a connection that is kept."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request; before the second answer comes one that belongs to no request."""
        with suppress(asyncio.IncompleteReadError):  # The caller uses this connection no more.
            for extra in (b"", _answer(200, "another")):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.lower().split(": ", 1) for line in head.splitlines()[1:] if ": " in line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                own = _answer(409, fields.get("cactuspass-request-id"))
                writer.write(extra + own)
        writer.close()

    async def test_answer_that_belongs_to_no_order_does_not_show_that_a_host_has_left(self) -> None:
        # Guards against a host that counts as free by an answer to something else.
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        target = replace(host("x"), address=address)
        pool = ConnectionPool()
        control = ServerControl(pool)
        try:
            for _ in range(2):
                outcome = await control.send_order(AddressedOrder(target, Leave(KEY), "test", 3))
            self.assertIn(outcome, (OrderOutcome.CONFLICT, OrderOutcome.UNKNOWN))
        finally:
            pool.close()
            server.close()


def _answer(status: int, request_id: str | None) -> bytes:
    named = f"Cactuspass-Request-Id: {request_id}\r\n" if request_id is not None else ""
    return f"HTTP/1.1 {status} Is\r\n{named}Content-Length: 0\r\n\r\n".encode()


class StandingStillCase(TwoGroupsCase):
    """Notes the heads that serve though a member has left."""

    def setUp(self) -> None:
        super().setUp()
        self.stood_still: list[str] = []

    def watch(self, seconds: float) -> None:
        """Let time pass, and note each head that serves though a living member has left."""

        def noted() -> bool:
            for head in self.truth.alive():
                place = head.place
                if place is None or not head.serves(place.key):
                    continue
                for member in place.members:
                    there = self.truth.hosts_by_id[member].place
                    if there is None or there.key != place.key:
                        self.stood_still.append(f"{self.truth.at:.2f} {place.key} lacks {member}")
            return False

        self.world.run_until(noted, seconds)


class HandoverTest(StandingStillCase):
    """The leader changes while a head that it has told to open still says that it is ready."""

    def test_members_do_not_leave_a_group_that_opens_at_that_moment(self) -> None:
        # Guards against members that leave though their head, which has opened, refused to.
        for steps in range(8):
            self.world = LeaderWorld()
            self.truth = self.world.truth
            self.until_given(Open, HEAD)
            self.world.run(steps * STEP_SECONDS)
            self.world.change_leader()
            self.watch(5.0)
            with self.subTest(steps=steps):
                self.assertEqual(self.stood_still[:1], [], "\n".join(self.truth.log))
            self.stood_still.clear()


class PendingLeaveTest(StandingStillCase):
    """A member is made to leave a group that the same leader opens meanwhile."""

    def setUp(self) -> None:
        super().setUp()
        self.start()

    def test_group_is_not_opened_while_its_members_may_still_be_made_to_leave(self) -> None:
        # Guards against an order to leave that is carried out after the group serves again.
        def script(addressed: AddressedOrder) -> Fate | None:
            return Fate.LATE_5 if isinstance(addressed.order, Leave) else None

        self.world.script = script
        self.truth.hosts_by_id[THIRD].pace = 5.0
        self.until_given(Leave, SECOND)
        self.truth.hosts_by_id[THIRD].pace = 1.0
        self.watch(12.0)
        self.assertEqual(self.stood_still[:1], [], "\n".join(self.truth.log))
        self.assertEqual(self.truth.violations, [])

    def test_adopted_group_is_not_opened_without_a_member_that_reports_to_have_left(self) -> None:
        # Guards against opening a group by an entry though the member itself says that it left.
        def script(addressed: AddressedOrder) -> Fate | None:
            to_head = addressed.target.upstream_id == HEAD
            return Fate.LOST if to_head and isinstance(addressed.order, Leave) else None

        self.world.script = script
        self.truth.hosts_by_id[THIRD].pace = 5.0
        self.until_given(Leave, HEAD)
        self.world.unregistered.add(SECOND)
        self.until(lambda: self.truth.hosts_by_id[SECOND].place is None)
        self.truth.hosts_by_id[THIRD].pace = 1.0
        self.world.run(0.5)
        self.world.change_leader()
        self.watch(2.0)
        self.assertEqual(self.stood_still[:1], [], "\n".join(self.truth.log))
        self.assertEqual(self.truth.violations, [])


class PartialViewTest(TwoGroupsCase):
    """A leader takes over while the entry of one member of a serving group is missing."""

    def test_group_that_serves_is_not_cut_since_an_entry_is_missing(self) -> None:
        # Guards against taking a missing entry for the end of a member, and cutting its group.
        self.start()
        self.world.unregistered.add(THIRD)
        self.world.run(4.0)
        before = len(self.world.orders(Close))
        self.assertEqual(before, 0)
        self.world.change_leader()
        self.world.run(0.5)
        self.assertEqual(self.world.orders(Close), [], "\n".join(self.truth.log))


class OlderNewsTest(unittest.TestCase):
    """An instance learns from a source, then from another that is behind or from its own watch."""

    def setUp(self) -> None:
        log, _ = recording_log()
        self.cluster_state = ClusterState(log)
        self.ready = host("a")
        self.draining = replace(self.ready, state=UpstreamState.DRAINING)

    def test_source_that_is_behind_does_not_take_back_that_an_upstream_drains(self) -> None:
        # Guards against news that are older than what is believed already.
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

    def test_news_after_those_of_a_source_that_was_behind_leave_nothing_out(self) -> None:
        # Guards against later news that build on earlier ones which were not taken.
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
                writer = FeedUpdateWriter(behind)  # It connects anew, and is told everything.
                follower._accept(writer.write(0.0), now())
        self.assertEqual(self.cluster_state.view, behind.view)

    def test_late_answer_of_the_own_watch_does_not_take_back_what_a_source_told(self) -> None:
        # Guards against changes that are older than what is believed already.
        self.cluster_state.accept_upstreams([self.draining], 10)
        directory = ScriptedDirectory()
        sync = UpstreamSync(directory, self.cluster_state, recording_log()[0])
        sync._apply_changes(UpstreamChanges((self.ready,), (), 9))
        self.assertTrue(self.cluster_state.view.upstreams_by_id[self.ready.upstream_id].draining)


class LapsedInstancesTest(unittest.TestCase):
    """Instances whose entries have lapsed with the store, and that serve on."""

    def test_shares_of_instances_that_are_registering_again_stay_within_the_limit(self) -> None:
        # Guards against taking an instance whose entry has lapsed for one that has gone.
        limit = 100.0
        everyone = tuple(Peer(EntryId(f"e{n}"), UNKNOWN_DATA_CENTRE, None) for n in range(6))
        left = 0.0
        for _ in everyone:
            cluster_state = ClusterState(recording_log()[0], min_instances=3)
            cluster_state.accept_peers(everyone)
            cluster_state.accept_peers(everyone[:1])
            left += RetryBudget(0.0, limit, 10.0).remaining(AT, cluster_state.instance_count)
        self.assertLessEqual(left, limit)


class SlowReadStore(MemoryStore):
    """A store whose answers to reads of who leads come late."""

    def __init__(self) -> None:
        super().__init__()
        self.reads_begun = asyncio.Event()
        self.answers = asyncio.Event()

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read now, and answer when the test lets it."""
        found = await super().read(keys, keys_only)
        if LEADER_KEY in keys:
            self.reads_begun.set()
            await self.answers.wait()
        return found


class LateAnswerTest(unittest.TestCase):
    """An instance stops while it looks up whether it leads."""

    @virtual_time
    async def test_instance_that_stops_does_not_lead_by_an_answer_from_before(self) -> None:
        # Guards against a term that begins after its lease was given up.
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
            await store.reads_begun.wait()
        await presence.drain()
        self.assertEqual(store.keys, {})
        store.answers.set()
        await asyncio.sleep(0.1)
        term = presence.term
        await presence.stop()
        self.assertIsNone(term)


class RefusedLoadTest(unittest.TestCase):
    """A load is refused since the host has carried out a late order meanwhile."""

    def test_host_that_refuses_a_number_is_not_taken_for_one_that_loads(self) -> None:
        # Guards against reading a refusal for the number of orders as that of a busy host.
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
        # Guards against a load under way that is taken for the one that was refused.
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

    def test_groups_of_two_services_are_never_taken_for_one(self) -> None:
        # Guards against one name and epoch for groups of two services.
        other = ServiceId("other")
        mine = hosts(3, "d0", SMALL)
        theirs = [replace(u, service=other) for u in hosts(3, "d1", SMALL)]
        members: list[Upstream] = []
        for service, registered in ((SERVICE, mine), (other, theirs)):
            members += _joined(service, registered, [*mine, *theirs])
        groups = UpstreamView.of(members).groups_by_key.values()
        self.assertEqual(sorted(len(group.members) for group in groups), [3, 3])
        for group in groups:
            self.assertEqual({member.service for member in group.members}, {group.service})


def _joined(
    service: ServiceId, registered: list[Upstream], everyone: list[Upstream]
) -> list[Upstream]:
    """Return a service's upstreams after the first joins that a term's planner orders."""
    reports = {u.upstream_id: UpstreamReport(0, 0, 1.0, None, False, 0, 0) for u in everyone}
    view = UpstreamView.of(everyone)
    planner_input = PlannerInput(AT, service, ENGINE, view, 10_000, reports_by_id=reports)
    by_id = {u.upstream_id: u for u in registered}
    joined = []
    for addressed in GroupPlanner(Demand()).plan(planner_input):
        order = addressed.order
        if isinstance(order, Join):
            rank = order.members.index(addressed.target.upstream_id)
            membership = Membership(order.key, rank, MemberState.READY)
            joined.append(replace(by_id[addressed.target.upstream_id], membership=membership))
    return joined


if __name__ == "__main__":
    unittest.main()
