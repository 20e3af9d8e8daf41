"""Requests go to other data centres when their own groups cannot run them, and steadily so."""

import random
import unittest
from itertools import pairwise
from statistics import pstdev

from cactuspass.fleet.spill._division import LOCAL_FILL
from cactuspass.models import DataCentreId
from tests.spill_world import Place, Rate, SpillWorld, constant, jump, wave

SETTLE_SECONDS = 4.0


def excess_share(demand: Rate, capacity: float, period: float) -> float:
    """Return the share of a wave that exceeds what a data centre keeps for its own groups."""
    samples = [demand(period * step / 100) for step in range(100)]
    return sum(max(0.0, each - LOCAL_FILL * capacity) for each in samples) / sum(samples)


class SpillTest(unittest.TestCase):
    def assert_steady(self, world: SpillWorld, seconds: float, most: float = 0.03) -> None:
        """Check that no share changes by more than a few percent under a constant load."""
        world.reset()
        world.run(seconds)
        for name, place in world.places.items():
            self.assertLessEqual(max(place.elsewhere) - min(place.elsewhere), most, name)

    # Guards against one model's callers being refused while another data centre has room.
    def test_too_few_local_groups(self) -> None:
        world = SpillWorld(
            {
                "a": Place(48, constant(96)),
                "b": Place(120, constant(48)),
                "c": Place(120, constant(72)),
            }
        )
        world.run(SETTLE_SECONDS)
        self.assert_steady(world, 10.0)
        self.assertLess(world.rejected, 0.005 * world.arrived)
        needed = (96 - LOCAL_FILL * 48) / 96
        self.assertLessEqual(max(world.places[DataCentreId("a")].elsewhere), needed + 0.08)
        self.assertEqual({source for source, _ in world.flows}, {"a"})

    # Guards against shares that follow a wave too late, and then send where there is no room.
    def test_waves_out_of_phase(self) -> None:
        for period in (11.0, 13.0):
            world = SpillWorld(
                {
                    name: Place(100, wave(75, 0.55, period, index / 3))
                    for index, name in enumerate("abc")
                }
            )
            world.run(2 * period)
            world.reset()
            world.run(4 * period)
            with self.subTest(period=period):
                self.assertLess(world.rejected, 0.02 * world.arrived)
                excess = excess_share(wave(75, 0.55, period, 0.0), 100, period)
                self.assertLess(world.remote, (excess + 0.03) * world.arrived)
                for place in world.places.values():
                    changes = [abs(b - a) for a, b in pairwise(place.elsewhere)]
                    self.assertLess(max(changes), 0.1)

    def test_callers_that_move(self) -> None:
        world = SpillWorld(
            {
                "a": Place(100, jump(50, 140, 10.0)),
                "b": Place(100, constant(50)),
                "c": Place(100, jump(90, 0, 10.0)),
            }
        )
        world.run(13.0)
        self.assert_steady(world, 10.0)
        self.assertLess(world.rejected, 0.005 * world.arrived)

    def test_neighbour_that_fills_up(self) -> None:
        world = SpillWorld(
            {
                "a": Place(100, constant(130)),
                "b": Place(100, jump(60, 100, 10.0)),
                "c": Place(100, constant(40)),
            }
        )
        world.run(10.0)
        self.assertGreater(world.flows["a", "b"], 0.0)
        world.run(3.0)
        self.assert_steady(world, 10.0)
        self.assertEqual(world.places[DataCentreId("a")].shares.get(DataCentreId("b"), 0.0), 0.0)
        self.assertLess(world.rejected, 0.005 * world.arrived)

    # Guards against two full data centres that send each other what neither can run.
    def test_two_data_centres_that_overflow_do_not_exchange_requests(self) -> None:
        world = SpillWorld(
            {
                "a": Place(100, constant(150)),
                "b": Place(100, constant(125)),
                "c": Place(100, constant(60)),
            }
        )
        world.run(SETTLE_SECONDS)
        self.assert_steady(world, 10.0)
        self.assertEqual(set(world.flows), {("a", "c"), ("b", "c")})
        # The room is divided in proportion to the excess; shares stop 0.02 before their target.
        ratio = world.flows["a", "c"] / world.flows["b", "c"]
        excess_ratio = (150 - LOCAL_FILL * 100) / (125 - LOCAL_FILL * 100)
        self.assertAlmostEqual(ratio, excess_ratio, delta=0.25)
        full = SpillWorld({name: Place(100, constant(150)) for name in "abc"})
        full.run(10.0)
        self.assertEqual(full.remote, 0.0)

    def test_evacuation_at_the_peak_and_return_of_cold_groups(self) -> None:
        world = SpillWorld(
            {
                "a": Place(100, constant(95)),
                "b": Place(100, constant(40)),
                "c": Place(100, constant(30)),
            }
        )
        world.run(SETTLE_SECONDS)
        here = world.places[DataCentreId("a")]
        here.capacity = 0.0
        world.run(0.3)
        self.assertEqual(here.elsewhere[-1], 1.0)
        world.run(3.0)
        self.assert_steady(world, 5.0)
        self.assertLess(world.rejected, 0.005 * world.arrived)
        here.capacity = 10.0  # all groups are cold
        world.run(1.0)
        self.assertGreater(here.elsewhere[-1], 0.8)
        world.run(2.0)
        here.capacity = 100.0
        world.run(3.0)
        self.assert_steady(world, 5.0)
        self.assertLess(here.elsewhere[-1], (95 - LOCAL_FILL * 100) / 95 + 0.05)
        self.assertLess(world.rejected, 0.005 * world.arrived)

    def test_link_that_turns_slow_is_not_used(self) -> None:
        a, b = DataCentreId("a"), DataCentreId("b")
        world = SpillWorld(
            {
                "a": Place(100, constant(130)),
                "b": Place(100, constant(40)),
                "c": Place(100, constant(40)),
            },
            delay_by_pair={frozenset((a, b)): 0.0014},
        )
        world.run(SETTLE_SECONDS)
        self.assertGreater(world.places[a].shares[b], 0.1)
        world.delay_by_pair[frozenset((a, b))] = 0.15
        world.run(3.0)
        self.assert_steady(world, 5.0)
        self.assertEqual(world.places[a].shares.get(b, 0.0), 0.0)
        self.assertLess(world.rejected, 0.005 * world.arrived)

    def test_nothing_is_sent_when_nobody_answers(self) -> None:
        world = SpillWorld(
            {name: Place(100, constant(130 - 45 * i)) for i, name in enumerate("abc")}
        )
        world.run(SETTLE_SECONDS)
        self.assertGreater(world.places[DataCentreId("a")].elsewhere[-1], 0.1)
        for place in world.places.values():
            place.is_silent = True
        world.run(1.5)
        self.assertEqual(world.places[DataCentreId("a")].elsewhere[-1], 0.0)
        for place in world.places.values():
            place.is_silent = False
        world.run(3.0)
        self.assert_steady(world, 5.0)
        self.assertGreater(world.places[DataCentreId("a")].elsewhere[-1], 0.1)

    # Guards against requests that cross a link because of chance in the counts of two seconds.
    def test_chance_in_arrivals_sends_little(self) -> None:
        rng = random.Random(1)

        def noisy(demand: float) -> float:
            return max(0.0, rng.gauss(demand, demand * 0.5))

        world = SpillWorld({name: Place(100, lambda _: noisy(50)) for name in "abc"})
        world.run(60.0)
        self.assertLess(world.remote, 0.01 * world.arrived)
        short = SpillWorld(
            {
                "a": Place(50, lambda _: noisy(90)),
                "b": Place(100, lambda _: noisy(50)),
                "c": Place(100, lambda _: noisy(50)),
            }
        )
        short.run(SETTLE_SECONDS)
        short.reset()
        short.run(60.0)
        self.assertLess(pstdev(short.places[DataCentreId("a")].elsewhere), 0.05)
        self.assertLess(short.rejected, 0.01 * short.arrived)
