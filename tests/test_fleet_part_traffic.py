"""Blocks on parts in simulated traffic: each on a crashing part, and none for other losses."""

import itertools
from functools import partial

from tests.part_traffic import Heads, PartTraffic
from tests.part_world import PartWorld, PartWorldCase

SHARED_PARTS = 40
STREAM_SECONDS = 1.2
MAX_CRASHES = 5
# Requests with a crashing part that may be sent when the fifth crash is this long ago.
MAX_LATE_REQUESTS = 3
LATE_SECONDS = 3.0


class TrafficCase(PartWorldCase):
    """Base of tests with random traffic, some of it with new parts."""

    def begin(
        self,
        seed: int,
        loss: float = 0.0,
        delay_seed: int | None = None,
        heads: Heads = Heads.BEFORE_CRASH,
        stream_seconds: float = 0.0,
    ) -> tuple[PartWorld, PartTraffic]:
        """Return a world after some seconds of traffic."""
        world = self.start(6, seed, loss=loss, delay_seed=delay_seed)
        traffic = PartTraffic(world, 24, heads, stream_seconds)
        self.send_for(world, traffic, 3.0)
        return world, traffic

    def send_for(
        self,
        world: PartWorld,
        traffic: PartTraffic,
        seconds: float,
        bad_parts: tuple[str, ...] = (),
    ) -> None:
        """Send 80 requests per second, a few of them with crashing parts or with new ones."""
        until = world.at + seconds
        while world.at < until:
            group = world.rng.randrange(4)
            second = f"{group}-{world.rng.randrange(SHARED_PARTS)}"
            if world.rng.random() < 0.05:
                second = f"new-{world.rng.random()}"
            if bad_parts and world.rng.random() < 0.08:
                second = world.rng.choice(bad_parts)
            traffic.send(f"first-{group}", second, customer=f"c{group}")
            world.run(world.rng.expovariate(80.0))


class FalseBlameTest(TrafficCase):
    """Upstreams that are lost for other reasons than a prompt."""

    # Guards against blocks for the loss of a rack or data centre while requests are repeated.
    def test_upstreams_that_are_lost_together_block_no_part(self) -> None:
        for seed in (*range(12), 36, 79, 83):
            with self.subTest(seed=seed):
                self.check_lost_together(seed)

    # Guards against a block on a part whose only request was at three of four lost upstreams.
    def test_request_repeated_into_three_of_four_lost_upstreams_blocks_no_part(self) -> None:
        for seed in (613, 1663, 2121, 2690):
            with self.subTest(seed=seed):
                self.check_lost_together(seed)

    # Guards against a verdict that hangs on which instance tells of a broken upstream first.
    def test_upstreams_that_are_lost_together_block_no_part_at_other_delays(self) -> None:
        for seed, delay_seed in itertools.product((6, 83, 613), range(1, 9)):
            with self.subTest(seed=seed, delay_seed=delay_seed):
                self.check_lost_together(seed, delay_seed)

    # Guards against a block by heads that upstreams send before they begin to write an answer.
    def test_lost_upstreams_that_send_heads_at_once_block_no_part(self) -> None:
        for seed in (6, 11, 14, 15, 31, 33, 36, 38):
            with self.subTest(seed=seed):
                self.check_lost_together(seed, heads=Heads.AT_ONCE)

    # Guards against blocks for streams that broke while they were being written.
    def test_upstreams_that_are_lost_together_while_they_write_block_no_part(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                self.check_lost_together(seed, stream_seconds=STREAM_SECONDS)

    # Guards against blocks of parts that one stream after the other is resumed with.
    def test_upstreams_that_are_lost_one_by_one_while_they_write_block_no_part(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                world, traffic = self.begin(500 + seed, stream_seconds=STREAM_SECONDS)
                for _ in range(16):
                    traffic.lose(f"u{world.rng.randrange(8)}")
                    self.send_for(world, traffic, 0.6)
                self.assertEqual(world.all_blocked, set())

    def check_lost_together(
        self,
        seed: int,
        delay_seed: int | None = None,
        heads: Heads = Heads.BEFORE_CRASH,
        stream_seconds: float = 0.0,
    ) -> None:
        """Lose some upstreams within a second, and check that no part is blocked.

        :param delay_seed: seed of the delays before messages are sent; by default the same seed.
        """
        world, traffic = self.begin(seed, 0.1 * (seed % 4), delay_seed, heads, stream_seconds)
        for upstream in range(world.rng.choice([4, 8, 12])):
            delay = world.rng.uniform(0.0, 1.0)
            world.call_later(delay, partial(traffic.lose, f"u{upstream}"))
        self.send_for(world, traffic, 3.0)
        self.assertEqual(world.all_blocked, set())

    # Guards against blocks for upstreams that are lost one by one.
    def test_upstreams_that_are_lost_one_by_one_block_no_part(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                world, traffic = self.begin(100 + seed)
                for _ in range(8):
                    traffic.lose(f"u{world.rng.randrange(8)}")
                    self.send_for(world, traffic, 0.6)
                self.assertEqual(world.all_blocked, set())


class TrueBlameTest(TrafficCase):
    """Parts that crash each upstream, one or two at once, beside other traffic."""

    # Guards against parts that crash upstream after upstream, and blocks on other parts for it.
    def test_only_crashing_parts_are_blocked_after_few_crashes(self) -> None:
        for seed in range(200, 212):
            with self.subTest(seed=seed):
                self.check_crashes(seed)

    # Guards against two parts whose crashes each keep the other from being blamed.
    def test_two_crashing_parts_at_once_are_blocked_after_few_crashes(self) -> None:
        self.check_crashes(1029)

    # Guards against upstreams that crash before their heads say that they write an answer.
    def test_crashing_part_without_such_heads_reaches_few_upstreams_later(self) -> None:
        for seed, heads in itertools.product(range(212, 216), (Heads.NEVER, Heads.AT_ONCE)):
            with self.subTest(seed=seed, heads=heads):
                world, traffic = self.begin(seed, heads=heads)
                self.send_for(world, traffic, 8.0, ("bad-1",))
                world.run(1.0)
                self.assertEqual(world.all_blocked, {"bad-1"})
                late = traffic.count_sent_after("bad-1", MAX_CRASHES, LATE_SECONDS)
                self.assertLessEqual(late, MAX_LATE_REQUESTS)

    # Guards against parts that crash upstreams behind the beginning of each answer.
    def test_part_that_crashes_upstreams_later_reaches_few_of_them(self) -> None:
        for seed in range(700, 708):
            with self.subTest(seed=seed):
                world, traffic = self.begin(seed, stream_seconds=STREAM_SECONDS)
                self.send_for(world, traffic, 8.0, ("late-1",))
                world.run(2 * STREAM_SECONDS)
                self.assertEqual(world.all_blocked, {"late-1"})
                late = traffic.count_sent_after("late-1", MAX_CRASHES, LATE_SECONDS)
                self.assertLessEqual(late, MAX_LATE_REQUESTS)

    def check_crashes(self, seed: int, heads: Heads = Heads.BEFORE_CRASH) -> None:
        """Send requests with one or two crashing parts, and check what is blocked and when."""
        bad_parts = ("bad-1", "bad-2")[: 1 + seed % 2]
        world, traffic = self.begin(seed, heads=heads)
        self.send_for(world, traffic, 5.0, bad_parts)
        world.run(1.0)
        self.assertEqual(world.all_blocked, set(bad_parts))
        crashes = max(map(len, traffic.crashed_at_by_part.values()))
        self.assertLessEqual(crashes, MAX_CRASHES)


class SharedPartTest(TrafficCase):
    """A customer that sends another one's shared part beside parts that crash upstreams."""

    # Guards against a customer that has the requests of another one refused.
    def test_requests_of_the_other_customer_are_served(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                world, traffic = self.begin(300 + seed)
                for number in range(60):
                    traffic.send("victims", f"bad-{number}", customer="attacker")
                    if world.rng.random() < 0.2 * (seed % 4):
                        delay = world.rng.uniform(0.0, 1.0)
                        send = partial(traffic.send, "victims", customer="victim")
                        world.call_later(delay, send)
                    world.run(1.0)
                traffic.send("victims", customer="victim")
                world.run(3.0)
                outcomes = traffic.outcomes_by_customer["victim"]
                self.assertEqual((outcomes["blocked"], outcomes["failed"]), (0, 0))
