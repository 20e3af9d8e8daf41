"""Hosts in groups are lost faster than the weight store can load new ones.

This is the pattern of the days with most losses: a member of a serving group is lost every other
second, and the empty hosts that replace the lost ones, from the twelfth second on, need their full
load time.
"""

import random
import unittest
from itertools import count

from cactuspass.fleet._upstreams import Upstream
from tests.fleet_world import LARGE, SMALL, EngineWorld, host, hosts

DATA_CENTRES = ("east", "north", "west")
SIMULATED_SECONDS = 30
LOSS_PERIOD_SECONDS = 1.5
REGISTRATION_EXPIRY_SECONDS = 3.6
NEW_HOSTS_FROM_SECONDS = 12
NEW_HOST_PERIOD_SECONDS = 1.5
SEEDS = range(5)


class LossyDay:
    """A simulated day of host losses, which counts idle hosts and serving groups.

    :param own_data_centres: whether each fabric domain is a separate data centre, so that it has to
        serve every model.
    """

    def __init__(self, seed: int, own_data_centres: bool) -> None:
        self._rng = random.Random(seed)
        self._host_numbers = count()
        self._expiring: list[tuple[float, Upstream]] = []
        self._locations = [
            (
                f"{data_centre}-{domain}" if own_data_centres else data_centre,
                f"{data_centre}-{domain}",
            )
            for data_centre in DATA_CENTRES
            for domain in ("d0", "d1")
        ]
        registered = [
            h
            for data_centre_id, domain in self._locations
            for h in hosts(9, domain, None, data_centre_id)
        ]
        self.world = EngineWorld(registered, before_traffic=True)
        self.idle_host_seconds = 0.0
        self.fewest_by_model = {LARGE: 99, SMALL: 99}

    def run(self) -> None:
        """Form the groups, then remove hosts and add empty ones."""
        self.world.run(5.0)
        self.world.before_traffic = False
        started_at = self.world.at
        next_loss, next_host = started_at, started_at + NEW_HOSTS_FROM_SECONDS
        while self.world.at < started_at + SIMULATED_SECONDS:
            self.world.run(0.5)
            self._count()
            self._remove_expired()
            if self.world.at >= next_loss:
                self._lose_member()
                next_loss += LOSS_PERIOD_SECONDS
            if self.world.at >= next_host:
                data_centre_id, domain = self._rng.choice(self._locations)
                self.world.add(
                    host(f"new-{next(self._host_numbers)}", domain, None, data_centre_id)
                )
                next_host += NEW_HOST_PERIOD_SECONDS

    def _count(self) -> None:
        serving = [self.world.serving(model) for model in (LARGE, SMALL)]
        serving_hosts = 4 * len(serving[0]) + 3 * len(serving[1])
        live_hosts = len(self.world.upstreams_by_id.keys() - self.world.dead)
        self.idle_host_seconds += 0.5 * (live_hosts - serving_hosts)
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
        self._expiring.append((self.world.at + REGISTRATION_EXPIRY_SECONDS, lost))

    def _remove_expired(self) -> None:
        for due, upstream in list(self._expiring):
            if self.world.at >= due:
                self._expiring.remove((due, upstream))
                self.world.remove(upstream.upstream_id)


class LossesFasterThanLoadsTest(unittest.TestCase):
    """Domains with one model each leave fewer hosts idle than domains that serve all models."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.one_model_days = [LossyDay(seed, own_data_centres=False) for seed in SEEDS]
        cls.all_models_days = [LossyDay(seed, own_data_centres=True) for seed in SEEDS]
        for day in cls.one_model_days + cls.all_models_days:
            day.run()

    def test_fewer_hosts_are_idle(self) -> None:
        one_model = sum(day.idle_host_seconds for day in self.one_model_days)
        all_models = sum(day.idle_host_seconds for day in self.all_models_days)
        self.assertLess(one_model, all_models)

    def test_every_model_always_has_a_group(self) -> None:
        for seed, day in zip(SEEDS, self.one_model_days, strict=True):
            with self.subTest(seed=seed):
                self.assertGreaterEqual(min(day.fewest_by_model.values()), 1)
