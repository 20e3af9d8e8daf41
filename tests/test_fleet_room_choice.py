"""The choice of a head while the load of all heads is known, and the waits and hedges that use it.

Answers sends to full engines: they are rejected, use up the retry budget and have callers refused.
"""

import asyncio
import json
import random
import unittest
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from unittest import mock

from cactuspass._clock import now
from cactuspass.fleet._catalog import Catalog, Evacuations, RouteKind, Service
from cactuspass.fleet._choices import (
    ChoiceStage,
    NoUpstream,
    NoUpstreamReason,
    RoomOutlook,
    Selection,
    SelectionRequest,
)
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._room_returns import RoomReturns
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, Upstream, UpstreamId
from cactuspass.fleet.choice import RoomReport, RoomWaits, _room_report
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, HeadLoad, ModelDemand
from cactuspass.models import DataCentreId, EntryId, GroupId
from tests.fleet_path import HERE, SERVICE, PathCase, ScriptedPathCase, answer, recording_log, route
from tests.fleet_world import ENGINE, SMALL
from tests.load_simulation import MODEL

AT = 100.0
EVENTS = ["room-short", "room-enough"]
SLOTS = 4
THERE = DataCentreId("there")
ME, OTHER = EntryId("me"), EntryId("other")
ONE_MEMBER_ENGINE = replace(ENGINE, slots=SLOTS, models_by_id={SMALL: MODEL})
FULL = answer("503 Service Unavailable", b"", "Cactuspass-Not-Run: 1")
NEW = SelectionRequest(SERVICE, SMALL, (), 0.1, objective_left=0.3)


def head(name: str, data_centre: DataCentreId = HERE, address: str | None = None) -> Upstream:
    """Return the head of an open group."""
    member = Membership(GroupKey(GroupId(f"g{name}"), 1), 0, MemberState.OPEN)
    return Upstream(
        UpstreamId(name),
        SERVICE,
        address or f"{name}:1",
        data_centre,
        slots=SLOTS,
        loaded=SMALL,
        membership=member,
    )


def catalog(version: int = 1) -> Catalog:
    """Return a catalog with one engine service."""
    service = Service(SERVICE, engine=ONE_MEMBER_ENGINE)
    resumable = route(RouteKind.STREAM, resumable=True)
    return Catalog(version, (resumable,), {SERVICE: service})


class World:
    """Two instances, of which this one has half of the slots of the heads in its data centre."""

    def __init__(self, *heads: Upstream) -> None:
        self.cluster_state = ClusterState(recording_log()[0])
        self.cluster_state.accept_catalog(catalog())
        self.cluster_state.accept_upstreams(heads, 1)
        self.cluster_state.accept_peers((Peer(ME, HERE, None), Peer(OTHER, HERE, None)))
        self.loads = LoadTable()
        self.fleet_load: FleetLoad | None = FleetLoad(AT)
        self.selector = Selector(
            self.cluster_state,
            self.loads,
            HERE,
            random.Random(1),
            instance=ME,
            fleet_load=lambda: self.fleet_load,
        )

    def set_load(
        self,
        requests: Mapping[str, float],
        arrivals: float = 0.0,
        shares: Mapping[DataCentreId, float] | None = None,
        arrivals_there: float = 0.0,
    ) -> None:
        """Set what is known of the other instance."""
        self.fleet_load = FleetLoad(
            AT,
            {UpstreamId(name): HeadLoad(number, 0.3) for name, number in requests.items()},
            {
                DemandKey(SERVICE, SMALL, HERE): ModelDemand(arrivals, mean_seconds=1.0),
                DemandKey(SERVICE, SMALL, THERE): ModelDemand(arrivals_there, mean_seconds=1.0),
            },
            {(SERVICE, SMALL): shares} if shares is not None else {},
        )

    def fill_own_slots(self) -> None:
        """Use all slots of this instance."""
        for name in ("a", "b"):
            for _ in range(SLOTS // 2):
                self.loads.record_send(UpstreamId(name), AT)

    def count(self, request: SelectionRequest = NEW, number: int = 200) -> Counter[str]:
        """Return how often each head is chosen, and how often a request is refused."""
        found = (self.selector.choose(request, AT) for _ in range(number))
        return Counter(
            f.upstream.upstream_id if isinstance(f, Selection) else "refused" for f in found
        )


class RoomChoiceTest(unittest.TestCase):
    """Heads that are full by what is known get nothing."""

    def test_full_head_gets_nothing_while_another_has_room(self) -> None:
        world = World(head("a"), head("b"))
        world.set_load({"a": SLOTS})
        self.assertEqual(set(world.count()), {"b"})

    def test_head_that_rejected_a_request_counts_as_full_for_a_moment(self) -> None:
        world = World(head("a"), head("b"))
        world.loads.record_full(UpstreamId("a"), AT)
        self.assertEqual(set(world.count()), {"b"})

    def test_later_statement_of_a_head_is_used_instead_of_sums(self) -> None:
        world = World(head("a"), head("b"))
        world.set_load({"a": 0.0})
        world.loads.record_report(UpstreamId("a"), LoadReport(SLOTS, 3, SLOTS), AT - 0.1)
        self.assertEqual(set(world.count()), {"b"})

    def test_other_data_centre_is_used_only_without_room_here(self) -> None:
        world = World(head("a"), head("b"), head("c", THERE))
        self.assertNotIn("c", world.count())
        world.set_load({"a": 2 * SLOTS, "b": 2 * SLOTS})
        self.assertEqual(set(world.count()), {"c"})

    def test_model_without_a_local_group_is_served_elsewhere(self) -> None:
        world = World(head("c", THERE))
        self.assertEqual(set(world.count()), {"c"})
        self.assertEqual(set(world.count(replace(NEW, stage=ChoiceStage.HEDGE))), {"c"})

    def test_callers_without_a_local_group_do_not_starve(self) -> None:
        world = World(head("c", THERE))
        world.set_load({}, arrivals_there=4 * SLOTS)
        self.assertTrue(5 < world.count()["c"] < 60)

    def test_evacuated_data_centre_gets_nothing(self) -> None:
        world = World(head("a"), head("b"), head("c", THERE))
        world.cluster_state.accept_evacuations(Evacuations(frozenset({HERE})))
        self.assertEqual(set(world.count()), {"c"})

    def test_data_centre_without_room_for_its_own_callers_lends_nothing(self) -> None:
        world = World(head("a"), head("b"), head("c", THERE))
        world.fill_own_slots()
        world.set_load({}, 4 * SLOTS, arrivals_there=4 * SLOTS)
        self.assertEqual(set(world.count()), {"refused"})
        world.set_load({}, 4 * SLOTS)
        self.assertEqual(set(world.count()), {"c"})

    def test_shares_decide_the_data_centre(self) -> None:
        world = World(head("a"), head("b"), head("c", THERE))
        world.set_load({}, shares={HERE: 0.5, THERE: 0.5})
        self.assertTrue(60 < world.count()["c"] < 140)

    def test_request_without_own_slot_is_refused_while_room_is_short(self) -> None:
        world = World(head("a"), head("b"))
        world.fill_own_slots()
        world.set_load({}, arrivals=4 * SLOTS)
        self.assertEqual(set(world.count()), {"refused"})
        world.set_load({}, arrivals=0.1)
        self.assertEqual(set(world.count()), {"a", "b"})

    def test_resumed_stream_goes_before_new_requests(self) -> None:
        world = World(head("a"), head("b"))
        world.fill_own_slots()
        world.set_load({"a": SLOTS, "b": SLOTS}, arrivals=4 * SLOTS)
        self.assertEqual(set(world.count()), {"refused"})
        self.assertNotIn("refused", world.count(replace(NEW, is_resumed=True)))

    def test_hedge_needs_clearly_free_room_and_no_shortage(self) -> None:
        world = World(head("a"), head("b"))
        hedge = replace(NEW, stage=ChoiceStage.HEDGE)
        self.assertNotIn("refused", world.count(hedge))
        world.set_load({"a": 2, "b": 2})
        self.assertEqual(set(world.count(hedge)), {"refused"})
        world.set_load({}, arrivals=4 * SLOTS)
        self.assertEqual(set(world.count(hedge)), {"refused"})

    def test_sums_that_are_not_known_change_nothing(self) -> None:
        world = World(head("a"), head("b"))
        world.fleet_load = None
        world.fill_own_slots()
        self.assertNotIn("refused", world.count())


class RoomReportTest(unittest.TestCase):
    """An operator asks why callers are refused."""

    def test_shortage_is_logged_once_and_shown(self) -> None:
        world = World(head("a"), head("b"))
        log, handler = recording_log()
        metrics = Metrics()
        report = RoomReport(world.selector.room_choice, log, metrics)
        for arrivals in (4 * SLOTS, 4 * SLOTS, 0.1):
            world.set_load({}, arrivals)
            world.selector.choose(NEW, AT)
            with mock.patch.object(_room_report, "now", lambda: AT):
                report.log_changes()
                report.update_metrics()
        self.assertEqual([json.loads(line)["event"] for line in handler.lines], EVENTS)
        self.assertIn(b"cactuspass_room_lent_share", metrics.render())


class RoomWaitsTest(unittest.IsolatedAsyncioTestCase):
    """Requests that would take a slot that a more urgent one waits for."""

    key = (SERVICE, SMALL)

    def setUp(self) -> None:
        self.waits = RoomWaits()
        self.order: list[int] = []
        self.free = 0

    def refusal(self, max_wait: float, interval: float = 0.01) -> NoUpstream:
        room = RoomOutlook(0.1, interval, max_wait)
        return NoUpstream(NoUpstreamReason.ALL_BUSY, 0.1, room=room)

    async def ask(self, priority: int, max_wait: float = 5.0) -> bool:
        def choose() -> Selection | NoUpstream:
            if not self.free:
                return self.refusal(max_wait)
            self.free -= 1
            self.order.append(priority)
            return Selection(head("a"), 0.0)

        found, _ = await self.waits.choose(self.key, priority, self.refusal(max_wait), choose)
        return isinstance(found, Selection)

    async def test_most_urgent_is_next(self) -> None:
        asked = [asyncio.create_task(self.ask(priority)) for priority in (2, 0, 1)]
        await asyncio.sleep(0)
        for _ in asked:
            self.free += 1
            self.waits.notify(self.key)
            await asyncio.sleep(0.005)
        self.assertEqual(await asyncio.gather(*asked), [True] * 3)
        self.assertEqual((self.order, self.waits.count), ([0, 1, 2], 0))

    async def test_wait_ends_when_the_objective_can_no_longer_be_met(self) -> None:
        before = now()
        self.assertFalse(await self.ask(0, max_wait=0.05))
        self.assertLess(now() - before, 1.0)
        self.assertEqual(self.waits.count, 0)

    async def test_request_whose_turn_comes_too_late_is_refused_at_once(self) -> None:
        found, has_waited = await self.waits.choose(
            self.key, 0, self.refusal(0.05, interval=1.0), lambda: self.refusal(0.05)
        )
        self.assertIsInstance(found, NoUpstream)
        self.assertFalse(has_waited)

    async def test_request_whose_caller_leaves_gives_up_its_place(self) -> None:
        task = asyncio.create_task(self.ask(0))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(self.waits.count, 0)


class RoomReturnsTest(unittest.TestCase):
    """Callers that come back too late take the room of those that can be in time."""

    key = (SERVICE, SMALL)

    def book(self, room: RoomOutlook, number: int, latest: float = 3.0) -> list[float]:
        returns = RoomReturns(random.Random(1))
        return [returns.book(self.key, room, latest, AT) for _ in range(number)]

    def test_callers_come_back_one_after_the_other(self) -> None:
        times = self.book(RoomOutlook(0.1, max_wait=0.8), 3)
        self.assertEqual([round(each, 3) for each in times], [0.1, 0.3, 0.5])

    def test_few_come_back_who_cannot_be_in_time(self) -> None:
        times = self.book(RoomOutlook(0.25, max_wait=0.07), 20)
        self.assertEqual(sum(each <= 3.0 for each in times), 1)

    def test_turns_after_the_objective_are_late_ones(self) -> None:
        times = self.book(RoomOutlook(0.1, max_wait=0.4), 20)
        self.assertEqual(sum(each <= 0.4 for each in times), 2)
        self.assertLessEqual(sum(each <= 3.0 for each in times), 4)


class RoomPathTest(ScriptedPathCase):
    """The way of a request to its refusal."""

    async def case(self, requests: float) -> PathCase:
        case = await self.start_path(route(RouteKind.STREAM, resumable=True), FULL)
        case.cluster_state.accept_catalog(catalog(2))
        case.cluster_state.accept_upstreams([head("u0", HERE, self.upstreams[0].address)], 2)
        load = {UpstreamId("u0"): HeadLoad(requests, 0.0)}
        demand = {DemandKey(SERVICE, SMALL, HERE): ModelDemand(0.1, mean_seconds=1.0)}
        case.fleet_load = FleetLoad(now(), load, demand)
        return case

    async def test_request_is_refused_at_once_with_a_time_to_return(self) -> None:
        case = await self.case(3 * SLOTS)
        got = await case.serve(model=SMALL)
        self.assertEqual((got.status, len(self.upstreams[0].requests)), (503, 0))
        self.assertGreater(float(got.header("Retry-After") or 0), 0)
        self.assertIn('"lent_share"', " ".join(case.handler.lines))

    async def test_rejection_counts_the_head_as_full(self) -> None:
        case = await self.case(0)
        got = await case.serve(model=SMALL)
        self.assertEqual((got.status, len(self.upstreams[0].requests)), (503, 1))
        self.assertTrue(case.loads.load(UpstreamId("u0")).is_full(now()))


if __name__ == "__main__":
    unittest.main()
