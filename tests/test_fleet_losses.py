"""Hosts in groups are lost faster than the weight store can load new ones.

The pattern of the heaviest days: every other second a member of a serving group goes dark, and the
empty hosts that replace them from the twelfth second on take their whole load time.
"""

import random
import unittest
from itertools import count

from cactuspass.fleet._upstreams import Upstream
from tests.fleet_world import LARGE, SMALL, EngineWorld, host, hosts

DATA_CENTRES = ("east", "north", "west")
DAY_SECONDS = 30
LOSS_PERIOD_SECONDS = 1.5
ENTRY_LAPSES_SECONDS = 3.6
NEW_HOSTS_FROM_SECONDS = 12
NEW_HOST_PERIOD_SECONDS = 1.5
SEEDS = range(5)


class LossyDay:
    """A day of losses, with what served counted.

    :param own_data_centres: whether each domain is a data centre by itself, so that it has to
        serve every model.
    """

    def __init__(self, seed: int, own_data_centres: bool) -> None:
        self._rng = random.Random(seed)
        self._names = count()
        self._lapsing: list[tuple[float, Upstream]] = []
        self._places = [
            (
                f"{data_centre}-{domain}" if own_data_centres else data_centre,
                f"{data_centre}-{domain}",
            )
            for data_centre in DATA_CENTRES
            for domain in ("d0", "d1")
        ]
        registered = [h for place, domain in self._places for h in hosts(9, domain, None, place)]
        self.world = EngineWorld(registered, before_traffic=True)
        self.idle_host_seconds = 0.0
        self.fewest_by_model = {LARGE: 99, SMALL: 99}

    def play(self) -> None:
        """Form the groups, then lose hosts and add empty ones."""
        self.world.run(5.0)
        self.world.before_traffic = False
        began = self.world.at
        next_loss, next_host = began, began + NEW_HOSTS_FROM_SECONDS
        while self.world.at < began + DAY_SECONDS:
            self.world.run(0.5)
            self._count()
            self._lapse()
            if self.world.at >= next_loss:
                self._lose_member()
                next_loss += LOSS_PERIOD_SECONDS
            if self.world.at >= next_host:
                place, domain = self._rng.choice(self._places)
                self.world.add(host(f"new-{next(self._names)}", domain, None, place))
                next_host += NEW_HOST_PERIOD_SECONDS

    def _count(self) -> None:
        serving = [self.world.serving(model) for model in (LARGE, SMALL)]
        busy = 4 * len(serving[0]) + 3 * len(serving[1])
        living = len(self.world.upstreams_by_id.keys() - self.world.dead)
        self.idle_host_seconds += 0.5 * (living - busy)
        for model, groups in zip((LARGE, SMALL), serving, strict=True):
            self.fewest_by_model[model] = min(self.fewest_by_model[model], len(groups))

    def _lose_member(self) -> None:
        members = [
            upstream
            for upstream in self.world.upstreams_by_id.values()
            if upstream.membership is not None and upstream.upstream_id not in self.world.dead
        ]
        lost = self._rng.choice(sorted(members, key=lambda member: member.upstream_id))
        self.world.kill(lost.upstream_id)
        self._lapsing.append((self.world.at + ENTRY_LAPSES_SECONDS, lost))

    def _lapse(self) -> None:
        for due, upstream in list(self._lapsing):
            if self.world.at >= due:
                self._lapsing.remove((due, upstream))
                self.world.remove(upstream.upstream_id)


class LossesFasterThanLoadsTest(unittest.TestCase):
    """Domains with a model of their own strand fewer hosts than domains that serve all models."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.own = [LossyDay(seed, own_data_centres=False) for seed in SEEDS]
        cls.mixed = [LossyDay(seed, own_data_centres=True) for seed in SEEDS]
        for day in cls.own + cls.mixed:
            day.play()

    def test_fewer_hosts_serve_nobody(self) -> None:
        own = sum(day.idle_host_seconds for day in self.own)
        mixed = sum(day.idle_host_seconds for day in self.mixed)
        self.assertLess(own, mixed)

    def test_no_model_goes_without_a_group(self) -> None:
        for seed, day in zip(SEEDS, self.own, strict=True):
            with self.subTest(seed=seed):
                self.assertGreaterEqual(min(day.fewest_by_model.values()), 1)
