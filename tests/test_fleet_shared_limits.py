"""Instances together keep to the limits of upstreams, and use them up."""

import asyncio
import unittest
from collections import Counter
from itertools import cycle
from statistics import fmean
from unittest import mock

import cbor2

from cactuspass.fleet import _allowance
from cactuspass.fleet._allowance import Allowance
from cactuspass.fleet._choices import NoUpstreamReason
from cactuspass.fleet._limit_messages import CODEC, LimitMessage, LoanAnswer, LoanRequest
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.models import EntryId
from tests.limit_world import MAX_WAIT_SECONDS, LimitWorld, in_virtual_time

SETTLE_SECONDS = 3.0
LIFETIME = Lifetime(UpstreamId("u0"), 1)
SEEDS = range(1, 7)


class SharedLimitTest(unittest.TestCase):
    """Limits that do not change."""

    def assert_within_limits(self, world: LimitWorld, spare: float = 3.0) -> None:
        """Check each upstream in each window of four seconds, once the limits are known.

        :param spare: requests beyond the limit that the instances with a share may send at once.
        """
        for upstream in world.upstreams:
            if upstream.rate is not None:
                most = upstream.most_in_window(SETTLE_SECONDS)
                self.assertLessEqual(most, 4.0 * upstream.rate + spare, upstream.registered)

    # Guards against an upstream that got as many requests as before, whatever limit it had named.
    def test_upstream_gets_no_more_than_its_limit_from_all_instances_together(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):

                async def scenario(seed: int = seed) -> None:
                    world = LimitWorld(6, [2.5, 0.7, None], seed)
                    await world.run(20.0, 40.0)
                    self.assert_within_limits(world)
                    self.assertEqual(world.served_share, 1.0)

                in_virtual_time(scenario)

    def test_limits_hold_when_all_messages_between_instances_are_lost(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [2.5, 4.0], loss=1.0)
            await world.run(20.0, 40.0)
            self.assert_within_limits(world, spare=4.0)

        in_virtual_time(scenario)

    def test_limits_are_used_up_when_callers_ask_for_more(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [2.5, 3.5, 5.0])
            await world.run(30.0, 60.0)
            self.assert_within_limits(world, spare=5.0)
            for upstream in world.upstreams:
                assert upstream.rate is not None
                used = upstream.rate_between(5.0, 30.0)
                self.assertGreaterEqual(used, 0.85 * upstream.rate, upstream.registered)

        in_virtual_time(scenario)

    def test_one_instance_with_all_callers_can_use_what_the_others_do_not(self) -> None:
        for number in range(4):
            with self.subTest(instance=number):

                async def scenario(number: int = number) -> None:
                    world = LimitWorld(4, [3.0, 3.0, 3.0])
                    weights = [1.0 if i == number else 0.0 for i in range(4)]
                    await world.run(30.0, 30.0, weights)
                    self.assert_within_limits(world)
                    used = sum(u.rate_between(5.0, 30.0) for u in world.upstreams)
                    self.assertGreaterEqual(used, 0.85 * 9.0)

                in_virtual_time(scenario)

    def test_limits_hold_for_many_instances_with_few_messages(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(60, [2.0] * 40)
            await world.run(8.0, 160.0)
            self.assert_within_limits(world)
            used = fmean(u.rate_between(4.0, 8.0) for u in world.upstreams)
            self.assertGreaterEqual(used, 0.75 * 2.0)
            before = world.message_count
            await world.run(4.0, 160.0)
            self.assertLessEqual((world.message_count - before) / 4.0 / 60, 25.0)

        in_virtual_time(scenario)

    def test_instances_that_restart_or_are_cut_off_add_little(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [3.0, 2.0])
            for number in cycle(range(6)):
                await world.run(1.0, 30.0)
                world.restart(number)
                world.cut_off = {world.peers[(number + 3) % 6].instance}
                if number == 5:
                    break
            await world.run(5.0, 30.0)
            # Each new instance may have a request under way when it learns of a limit.
            self.assert_within_limits(world, spare=3.0 + 4.0 * 2.0)

        in_virtual_time(scenario)


class ChangingLimitTest(unittest.TestCase):
    """Limits that begin, change and end."""

    def test_lower_and_higher_limits_apply_within_a_second(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [10.0])
            upstream = world.upstreams[0]
            await world.run(10.0, 60.0)
            for rate, start in ((3.0, 10.0), (8.0, 20.0), (1.0, 30.0)):
                upstream.rate = rate
                await world.run(10.0, 60.0)
                used = upstream.rate_between(start + 2.0, start + 10.0)
                self.assertLessEqual(used, rate + 0.5)
                self.assertGreaterEqual(used, 0.75 * rate)

        in_virtual_time(scenario)

    def test_upstream_whose_limit_has_ended_is_used_by_all_instances_again(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [1.0])
            await world.run(10.0, 30.0)
            world.upstreams[0].rate = None
            await world.run(3.0, 30.0)
            for instance in world.instances:
                self.assertFalse(instance.limits.limits.limits_by_lifetime)

        in_virtual_time(scenario)

    def test_limit_of_zero_is_tried_rarely_and_its_end_is_noticed(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(6, [0.0])
            upstream = world.upstreams[0]
            await world.run(5.0, 30.0)
            await world.run(60.0, 30.0)
            tried = upstream.rate_between(5.0, 65.0)
            self.assertTrue(0.03 <= tried <= 0.15, tried)
            upstream.rate = None
            await world.run(15.0, 30.0)
            self.assertGreater(upstream.rate_between(78.0, 80.0), 20.0)

        in_virtual_time(scenario)

    def test_end_is_noticed_though_all_messages_are_lost_where_callers_borrow(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(3, [2.0])
            await world.run(5.0, 30.0)
            world.loss = 1.0
            world.upstreams[0].rate = None
            await world.run(3.0, 30.0)
            believers = [i for i in world.instances if i.limits.limits.limits_by_lifetime]
            self.assertTrue(believers)
            world.loss = 0.0
            await world.run(3.0, 30.0)
            for instance in world.instances:
                self.assertFalse(instance.limits.limits.limits_by_lifetime)

        in_virtual_time(scenario)


class WaitTest(unittest.TestCase):
    """How long requests wait for tokens."""

    # Guards against a request that waited without end where the instance had no share of a limit.
    def test_request_at_an_instance_without_a_share_is_refused_at_once(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(3, [1.0], loss=1.0)
            await world.run(3.0, 30.0)
            without_share = [
                instance
                for instance in world.instances
                if all(
                    limit.allowance.rate == 0
                    for limit in instance.limits.limits.limits_by_lifetime.values()
                )
            ]
            self.assertEqual(len(without_share), 2)
            began = asyncio.get_running_loop().time()
            self.assertFalse(await without_share[0].serve())
            self.assertLess(asyncio.get_running_loop().time() - began, 0.1)

        in_virtual_time(scenario)

    def test_request_waits_for_a_token_that_is_due_in_time(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(1, [10.0])
            await world.run(2.0, 5.0)
            await asyncio.sleep(2.0)
            outcomes = await asyncio.gather(*(world.instances[0].serve() for _ in range(8)))
            # Tokens of a quarter of a second at once, and those due within the longest wait.
            self.assertEqual(outcomes.count(True), int(10.0 * (0.25 + MAX_WAIT_SECONDS)))

        in_virtual_time(scenario)


class PriorityTest(unittest.TestCase):
    """Who gets the tokens while they are scarce, and who is told to come back when."""

    def test_urgent_requests_come_first_and_others_are_not_starved(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(2, [10.0, 10.0])
            kinds = cycle((0, 9))
            served: Counter[int] = Counter()
            for instance in world.instances:
                serve = instance.serve

                async def counted(priority: int, serve: object = serve) -> bool:
                    was_served = await serve(priority)  # type: ignore[operator]
                    served[priority] += was_served
                    return bool(was_served)

                instance.serve = counted  # type: ignore[method-assign, assignment]
            await world.run(20.0, 40.0, priority=lambda: next(kinds))
            self.assertGreaterEqual(served[0], 1.5 * served[9])
            self.assertGreaterEqual(served[9], 20)

        in_virtual_time(scenario)

    def test_urgent_request_that_comes_later_is_served_first(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(1, [10.0])
            await world.run(2.0, 5.0)
            instance = world.instances[0]
            (limit,) = instance.limits.limits.limits_by_lifetime.values()
            limit.allowance.tokens = 0.0
            order: list[int] = []

            async def serve(priority: int, delay: float) -> None:
                await asyncio.sleep(delay)
                if await instance.serve(priority):
                    order.append(priority)

            # Within the longest wait one token becomes due.
            with mock.patch.object(_allowance, "MAX_EARLY_SHARE", 0.0):
                await asyncio.gather(serve(9, 0.0), serve(0, 0.01))
            self.assertEqual(order, [0])

        in_virtual_time(scenario)

    def test_urgent_request_may_use_a_token_before_it_is_due(self) -> None:
        allowance = Allowance(rate=1.0, refilled_at=0.0)
        allowance.refill(1.0, 0.8)
        self.assertTrue(allowance.has_token(0))
        self.assertFalse(allowance.has_token(9))
        self.assertAlmostEqual(allowance.delay(9), 0.2)
        sent = 0
        for step in range(1, 1001):
            allowance.refill(1.0, 0.8 + step / 10)
            if allowance.has_token(0):
                allowance.take()
                sent += 1
        self.assertIn(sent, (100, 101))

    def test_refused_request_is_told_that_all_are_at_their_limits(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(1, [1.0])
            await world.run(5.0, 30.0)
            refusal = world.instances[0].refusals[-1]
            self.assertIs(refusal.reason, NoUpstreamReason.ALL_AT_LIMIT)
            self.assertLessEqual(refusal.retry_after, 1.0)
            self.assertGreater(refusal.retry_after, 0.0)

        in_virtual_time(scenario)


class MessageTest(unittest.TestCase):
    """Datagrams on limits and loans."""

    MESSAGES = (
        LimitMessage(LIFETIME, 2.5, 0.1),
        LimitMessage(LIFETIME, None, 0.0),
        LoanRequest(LIFETIME, 2.5, EntryId("here-1"), 7),
        LoanAnswer(7, True, 0.5),
    )

    def test_messages_are_decoded_as_they_were_encoded(self) -> None:
        for message in self.MESSAGES:
            datagram = CODEC.encode(message)
            assert datagram is not None
            self.assertEqual(CODEC.decode(datagram), message)

    def test_other_bytes_are_no_message(self) -> None:
        limit: dict[str, object] = {
            "kind": "upstream-limit",
            "lifetime": {"upstream_id": "u0", "born_ms": 1},
            "rate": 2.5,
            "sent_ago": 0.1,
        }
        self.assertIsNotNone(CODEC.decode(cbor2.dumps(limit)))
        for changes in (
            {"rate": -1.0},
            {"rate": float("nan")},
            {"rate": float("inf")},
            {"sent_ago": -0.1},
            {"kind": "other"},
            {"lifetime": "u0"},
        ):
            with self.subTest(changes=changes):
                self.assertIsNone(CODEC.decode(cbor2.dumps({**limit, **changes})))
        for datagram in (b"", b"\xff", b"x" * 600, cbor2.dumps([1]), b"\x81" * 500):
            with self.subTest(datagram=datagram):
                self.assertIsNone(CODEC.decode(datagram))

    def test_loan_answer_that_nobody_waits_for_is_ignored(self) -> None:
        async def scenario() -> None:
            world = LimitWorld(2, [1.0])
            await world.run(2.0, 20.0)
            limits = world.instances[0].limits
            limits.receive(LoanAnswer(10_000, True, 0.0))
            (limit,) = limits.limits.limits_by_lifetime.values()
            self.assertEqual(limit.allowance.loans, [])

        in_virtual_time(scenario)
