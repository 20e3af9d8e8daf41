"""Parts of the duties of one instance at a time: counts, fixed contents, orders and handover."""

import asyncio
import unittest
from dataclasses import replace
from typing import cast
from unittest import mock

import cbor2

from cactuspass._revisions import make_revision
from cactuspass.exceptions import OutcomeUnknown
from cactuspass.fleet._catalog import Route, RouteKind, ScalingLimits
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties import CallOutcome, CountOrders, UsageReport
from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._usage_messages import (
    CODEC,
    MAX_MESSAGE_BYTES,
    UsageAnswer,
    split_counts,
)
from cactuspass.fleet.duties._usage_store import (
    STATE_KEY,
    FixedReports,
    HolderReplaced,
    encode_report,
    window_key,
)
from cactuspass.fleet.duties._usage_tally import AnswerProgress, UsageTally
from cactuspass.fleet.duties._windows import Windows
from cactuspass.models import CustomerId, DataCentreId, EntryId, ServiceId
from tests.duty_faults import Fault, FaultKind, FaultyDuties, start_faulty
from tests.duty_stand_ins import StoreClient
from tests.duty_world import DutyWorld, virtual_runner
from tests.fleet_path import (
    STAMP,
    Script,
    ScriptedPathCase,
    answer,
    events,
    recording_log,
    route,
    stream,
)

WINDOWS = Windows(5.0, 10.0)
C1 = CustomerId("c1")
SERVICE = ServiceId("s1")
HERE = DataCentreId("here")
AT = 1000.0  # in window 200
FIRST = UsageReport(200, {C1: 1})
OTHER = UsageReport(200, {C1: 2})


def usage_answer(count: int, lifetime: int = 1, **changes: object) -> UsageAnswer:
    """Return an answer with a count in window 200."""
    whole = UsageAnswer(EntryId("a"), lifetime, 5, 1, 0, 1, AT, ((200, {C1: count}),))
    return replace(whole, **changes)  # type: ignore[arg-type]


class BegunTest(ScriptedPathCase):
    """What counts as a request that an upstream has begun."""

    async def _count(self, target_route: Route, *scripts: Script, **changes: object) -> list[str]:
        case = await self.start_path(target_route, *scripts)
        begun: list[str] = []
        case.dispatcher._dependencies.count_begun = begun.append
        await case.serve(**changes)
        return begun

    async def test_each_attempt_counts_once_when_its_answer_begins(self) -> None:
        # Guards against counts by request or by event: a resumed stream has two attempts.
        broken = stream(events(range(1, 4)), end=False, reset=True)
        resumable = route(RouteKind.STREAM, resumable=True, gap_objective=0.2)
        begun = await self._count(resumable, broken, stream(events(range(4, 7))))
        self.assertEqual(begun, ["customer-1"] * 2)

    # Guards against reports below the truth: the failure of a plain service is the end of a run.
    async def test_failure_of_the_service_is_counted(self) -> None:
        success = answer("200 OK", b"body", STAMP)
        begun = await self._count(route(), answer("500 Oops", b"no", STAMP), success)
        self.assertEqual(begun, ["customer-1"] * 2)

    async def test_attempt_that_has_not_run_is_not_counted(self) -> None:
        success = answer("200 OK", b"body", STAMP)
        rejected = answer("503 Full", b"no", STAMP, "Cactuspass-Not-Run: 1")
        begun = await self._count(route(), rejected, success)
        self.assertEqual(begun, ["customer-1"])

    async def test_request_without_a_customer_is_not_counted(self) -> None:
        success = answer("200 OK", b"body", STAMP)
        begun = await self._count(route(public=True), success, key=None)
        self.assertEqual(begun, [])


class UsageTallyTest(unittest.TestCase):
    """Sums of counts over the runs of all instances."""

    def test_repeated_and_late_answers_change_nothing(self) -> None:
        tally = UsageTally(WINDOWS)
        for count in (3, 7, 7, 3):
            tally.add(usage_answer(count), AT)
        self.assertEqual(tally.total(200), {C1: 7})

    def test_restarted_instance_adds_to_what_it_had_reported(self) -> None:
        tally = UsageTally(WINDOWS)
        tally.add(usage_answer(7), AT)
        tally.add(usage_answer(2, lifetime=2), AT)
        self.assertEqual(tally.total(200), {C1: 9})

    def test_windows_far_away_are_left_out(self) -> None:
        # Guards against memory that grows with what a wrong clock states.
        tally = UsageTally(WINDOWS)
        tally.add(usage_answer(1, counts=((200, {C1: 1}), (900_000, {C1: 1}), (10, {C1: 1}))), AT)
        self.assertEqual([tally.total(w) for w in (200, 900_000, 10)], [{C1: 1}, {}, {}])

    def test_instance_has_answered_once_all_parts_have_arrived(self) -> None:
        progress = AnswerProgress(5)
        number = progress.begin_round(AT, 8)
        progress.note(usage_answer(1, number=number, parts=2))
        self.assertEqual(progress.lacking([EntryId("a")], AT), ["a"])
        progress.note(usage_answer(1, number=number, parts=2, part=1))
        self.assertEqual(progress.lacking([EntryId("a")], AT), [])
        self.assertEqual(progress.lacking([EntryId("a")], AT + 1), ["a"])


class UsageMessageTest(unittest.TestCase):
    """Datagrams with counts."""

    def test_many_customers_are_split_into_datagrams_of_limited_size(self) -> None:
        counts = {w: {CustomerId(f"customer-{n}"): 2**40 for n in range(90)} for w in range(4)}
        parts = split_counts(counts)
        found: dict[int, dict[CustomerId, int]] = {}
        for number, part in enumerate(parts):
            message = UsageAnswer(
                EntryId("i" * 64), 2**47, 2**60, 9, number, len(parts), 1.8e9, part
            )
            datagram = CODEC.encode(message)
            assert datagram is not None and len(datagram) <= MAX_MESSAGE_BYTES
            self.assertEqual(CODEC.decode(datagram), message)
            for window, some in part:
                found.setdefault(window, {}).update(some)
        self.assertEqual(found, counts)

    def test_invalid_counts_are_no_message(self) -> None:
        valid = cbor2.loads(CODEC.encode(usage_answer(1)) or b"")
        self.assertIsNotNone(CODEC.decode(cbor2.dumps(valid)))
        for changes in (
            {"counts": [[200, {"c1": -1}]]},
            {"counts": [[-200, {"c1": 1}]]},
            {"wall_time": float("nan")},
            {"fence": 2**70},
            {"parts": 0},
        ):
            with self.subTest(changes):
                self.assertIsNone(CODEC.decode(cbor2.dumps({**valid, **changes})))


class TrueTimeTest(unittest.TestCase):
    """The time of day by the clocks of all instances."""

    def test_one_clock_that_jumps_shifts_nothing(self) -> None:
        for others in ([], [0.01], [0.01, -0.01]):
            with self.subTest(others=others):
                true_time = TrueTime(lambda: AT)
                before = true_time.at()
                base = true_time._offset
                true_time.choose([base + 3600.0, base, *(base + other for other in others)])
                self.assertAlmostEqual(true_time.at(), before, delta=0.1)

    def test_late_message_of_the_holder_does_not_turn_the_time_back(self) -> None:
        true_time = TrueTime(lambda: AT)
        true_time.adopt(2000.0)
        true_time.adopt(1990.0)
        self.assertAlmostEqual(true_time.at(), 2000.0, delta=0.1)


class FixedReportsTest(unittest.TestCase):
    """Contents of windows in the store, with holders that write at the same time."""

    def setUp(self) -> None:
        context = virtual_runner()
        self.runner = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.world: DutyWorld = self.runner.run(self._start())
        self.log, self.handler = recording_log()

    async def _start(self) -> DutyWorld:
        return DutyWorld([])

    def fixed(self) -> FixedReports:
        """Return the contents as another instance knows them."""
        instance = mock.Mock(reaches_store=True, pass_gate=mock.AsyncMock())
        return FixedReports(cast(SharedStore, StoreClient(self.world, instance)), self.log)

    def take_over(self, fixed: FixedReports, fence: int, first_unsent: int = 0) -> None:
        """Take over in a term of the present era of the store."""
        fence = make_revision(self.world.store.era, fence)
        self.runner.run(fixed.take_over(fence, first_unsent))

    def test_next_holder_finds_the_content_and_does_not_replace_it(self) -> None:
        first, second = self.fixed(), self.fixed()
        self.take_over(first, 1)
        self.runner.run(first.fix(FIRST, 0))
        self.take_over(second, 2)
        self.assertEqual(second.reports_by_window, {200: FIRST})
        self.assertFalse(second.may_compose(200))

    def test_earlier_holder_cannot_fix_after_another_has_taken_over(self) -> None:
        # Guards against a holder that was paused in a write, or whose write arrives late.
        first, second = self.fixed(), self.fixed()
        self.take_over(first, 1)
        self.take_over(second, 2)
        with self.assertRaises(HolderReplaced):
            self.runner.run(first.fix(FIRST, 0))
        self.assertNotIn(window_key(200), self.world.store.state.items_by_key)
        with self.assertRaises(HolderReplaced):
            self.take_over(first, 1)

    def test_content_is_read_again_after_a_write_whose_answer_is_lost(self) -> None:
        fixed = self.fixed()
        self.take_over(fixed, 1)
        self.world.lose_write()
        with self.assertRaises(OutcomeUnknown):
            self.runner.run(fixed.fix(FIRST, 0))
        self.assertFalse(fixed.is_current(1))
        self.take_over(fixed, 1)
        self.assertEqual(fixed.reports_by_window, {200: FIRST})

    def test_restored_store_lets_no_window_be_composed_that_may_have_been_sent(self) -> None:
        copy = self.world.store.copy()
        first, second = self.fixed(), self.fixed()
        self.take_over(first, 1)
        self.runner.run(first.fix(FIRST, 0))
        self.world.restore(copy)
        self.take_over(second, 9, first_unsent=201)
        self.assertEqual([second.may_compose(w) for w in (200, 201)], [False, True])
        # The instance that has fixed it still knows the content, and sends it.
        self.take_over(first, 10, first_unsent=205)
        self.assertEqual(first.reports_by_window, {200: FIRST})
        self.assertTrue(first.may_compose(201))

    def test_content_that_arrives_in_a_restored_store_is_not_used(self) -> None:
        # Guards against a late write of a holder before the one whose content was sent.
        self.world.restore(self.world.store.copy())
        self.world.store.state.items_by_key[window_key(200)] = (encode_report(OTHER), 1)
        fixed = self.fixed()
        self.take_over(fixed, 9, first_unsent=201)
        self.assertEqual(fixed.reports_by_window, {})
        self.assertFalse(fixed.may_compose(200))

    def test_unreadable_content_is_logged_and_its_window_not_composed(self) -> None:
        self.world.store.state.items_by_key[window_key(200)] = (b'{"window":200,"counts":-1}', 1)
        fixed = self.fixed()
        self.take_over(fixed, 1)
        self.assertFalse(fixed.may_compose(200))
        self.assertIn(window_key(200), self.handler.lines[-1])

    def test_old_contents_are_deleted_with_the_next_one(self) -> None:
        fixed = self.fixed()
        self.take_over(fixed, 1)
        self.runner.run(fixed.fix(FIRST, 0))
        self.runner.run(fixed.fix(UsageReport(300, {}), 300))
        keys = set(self.world.store.state.items_by_key)
        self.assertEqual(keys, {STATE_KEY, window_key(300)})


class HandoverTest(unittest.TestCase):
    """Reports of all windows although the holder fails once, at any time in a window."""

    def _run_fault(self, kind: FaultKind, after: float, seconds: float = 7.0) -> FaultyDuties:
        async def run() -> FaultyDuties:
            faulty = await start_faulty()
            world = faulty.world
            faulty.copies = [world.store.copy()]
            await world.run(after)
            assert world.leader is not None
            await faulty.begin(Fault(kind, seconds, 0.0), world.leader)
            await world.run(38.0 + seconds, rate=100.0)
            return faulty

        with virtual_runner() as runner:
            return runner.run(run())

    def _assert_reported(self, kind: FaultKind, max_missing: int = 0) -> None:
        for quarter in range(0, 20, 3):
            with self.subTest(kind=kind, after=quarter / 4):
                world = self._run_fault(kind, quarter / 4).world
                self.assertEqual(world.platform.violations, [])
                first = min(world.platform.reports_by_window)
                missing = world.missing(first, world.window - 4)
                self.assertLessEqual(len(missing), max_missing)
                reported = [w for w in world.platform.reports_by_window if w > first + 1]
                self.assertLess(max(map(world.error, reported)), 0.07)

    def test_holder_that_fails_once_costs_no_window(self) -> None:
        for kind in (
            FaultKind.KILLED,
            FaultKind.PAUSED,
            FaultKind.CUT_FROM_STORE,
            FaultKind.CUT_FROM_PEERS,
        ):
            self._assert_reported(kind)

    def test_reports_that_an_outage_of_the_platform_has_held_up_are_sent_after_it(self) -> None:
        # Guards against windows that are not fixed while calls wait for answers.
        for kind in (FaultKind.ANSWERS_LOST, FaultKind.CUT_FROM_PLATFORM):
            world = self._run_fault(kind, 0.0, seconds=100.0).world
            last = world.window - 2
            missing = set(range(last - 18, last)) - world.platform.accepted_at_by_window.keys()
            self.assertEqual(missing, set(), kind)

    def test_holder_that_is_cut_off_from_the_others_for_long_reports_their_counts(self) -> None:
        # Guards against reports of one side of a partition only; the store is reached by both.
        world = self._run_fault(FaultKind.CUT_FROM_PEERS, 0.0, seconds=60.0).world
        windows = range(world.window - 18, world.window - 3)
        self.assertEqual(world.missing(windows[0], windows[-1]), [])
        self.assertLess(max(map(world.error, windows)), 0.05)

    def test_restored_store_costs_one_window_at_most(self) -> None:
        self._assert_reported(FaultKind.RESTORED, max_missing=1)


class CountOrdersTest(unittest.IsolatedAsyncioTestCase):
    """Orders for the number of upstreams."""

    def setUp(self) -> None:
        self.log, self.handler = recording_log()
        self.fence: int | None = 7
        self.sent: list[tuple[int, int]] = []
        self.outcomes: list[CallOutcome] = []
        self.at = 0.0
        holder = mock.Mock()
        type(holder).fence = mock.PropertyMock(side_effect=lambda: self.fence)
        type(holder).term_fence = mock.PropertyMock(side_effect=lambda: self.fence)
        sender = mock.Mock()
        sender.order_upstream_count = self._send
        self.orders = CountOrders(
            holder, sender, lambda s: ScalingLimits(2, 9) if s == SERVICE else None, self.log
        )
        patch = mock.patch("cactuspass.fleet.duties._count_orders.now", lambda: self.at)
        patch.start()
        self.addCleanup(patch.stop)

    async def _send(self, order: object, fence: int) -> CallOutcome:
        self.sent.append((order.count, fence))  # type: ignore[attr-defined]
        return self.outcomes.pop(0) if self.outcomes else CallOutcome.ACCEPTED

    async def _steps(self, count: int = 3, pause: float = 0.0) -> None:
        for _ in range(count):
            with mock.patch.object(asyncio, "sleep", mock.AsyncMock()):
                await self.orders.step()
            self.at += pause

    async def test_accepted_number_is_not_ordered_again_in_the_same_term(self) -> None:
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps()
        self.orders.want(SERVICE, HERE, 3, "peak again")
        await self._steps()
        self.assertEqual(self.sent, [(3, 7)])
        self.assertEqual(self.orders.accepted_count(SERVICE, HERE), 3)

    async def test_new_holder_orders_the_number_once_more_when_it_is_wanted(self) -> None:
        # Guards against a number that was decided in an earlier term.
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps()
        self.fence = 8
        await self._steps()
        self.assertEqual(self.sent, [(3, 7)])
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps()
        self.assertEqual(self.sent, [(3, 7), (3, 8)])

    async def test_unknown_outcome_is_repeated_after_a_growing_pause(self) -> None:
        self.outcomes = [CallOutcome.UNKNOWN] * 4
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps(count=40, pause=0.1)
        self.assertEqual(self.sent, [(3, 7)] * 5)

    async def test_later_number_replaces_one_with_an_unknown_outcome(self) -> None:
        self.outcomes = [CallOutcome.UNKNOWN]
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps(1)
        self.orders.want(SERVICE, HERE, 4, "higher peak")
        await self._steps(8, pause=0.1)
        self.assertEqual(self.sent, [(3, 7), (4, 7)])

    async def test_refused_number_is_replaced_at_once_by_another(self) -> None:
        self.outcomes = [CallOutcome.REFUSED]
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps()
        self.orders.want(SERVICE, HERE, 4, "peak")
        await self._steps()
        self.assertEqual(self.sent, [(3, 7), (4, 7)])

    async def test_number_outside_the_limits_leaves_the_last_one_in_force(self) -> None:
        self.orders.want(SERVICE, HERE, 3, "peak")
        for service, count in ((SERVICE, 1), (SERVICE, 10), (ServiceId("unknown"), 3)):
            self.orders.want(service, HERE, count, "wrong")
            self.assertIn("upstreams-not-wanted", self.handler.lines[-1])
        await self._steps()
        self.assertEqual(self.sent, [(3, 7)])

    async def test_instance_that_does_not_lead_orders_nothing(self) -> None:
        self.fence = None
        self.orders.want(SERVICE, HERE, 3, "peak")
        await self._steps()
        self.assertEqual((self.sent, self.orders.wanted_by_subject), ([], {}))


if __name__ == "__main__":
    unittest.main()
