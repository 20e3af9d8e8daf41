"""What shares are decided on: groups that serve, demand, the age of sums; and what travels."""

import json
import unittest
from dataclasses import replace

from cactuspass._clock import now
from cactuspass.fleet._catalog import Evacuations
from cactuspass.fleet._upstreams import UpstreamState
from cactuspass.fleet.load_exchange import DemandKey, KnownLoads, ModelDemand
from cactuspass.fleet.spill import ModelState
from cactuspass.fleet.spill._inputs import find_states
from cactuspass.models import DataCentreId
from tests.load_world import (
    COLD_RATE,
    KEY,
    MODEL,
    SERVICE,
    SLOTS,
    STEP_SECONDS,
    ExchangeInstance,
    LoadWorld,
    head_id,
)

A, B, C = (DataCentreId(name) for name in "abc")
HEADS_PER_PLACE = 2


def serve(world: LoadWorld, per_second_by_place: dict[str, float], seconds: float) -> None:
    """Let requests arrive that run for two seconds, spread over the instances of a place."""
    counts = dict.fromkeys(per_second_by_place, 0.0)

    def tick() -> None:
        for place, rate in per_second_by_place.items():
            counts[place] += rate * STEP_SECONDS
            while counts[place] >= 1.0:
                counts[place] -= 1.0
                meter = world.rng.choice(world.at_place(place)).meter
                meter.note_arrival(KEY)
                meter.note_begun(KEY, None, is_in_time=True)
                meter.note_ended(KEY, 2.0)

    world.on_tick.append(tick)
    world.run(seconds)
    world.on_tick.remove(tick)


class StateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = LoadWorld()
        self.instance = self.world.at_place("a")[0]
        self.loads = KnownLoads(
            {DemandKey(*KEY, B): ModelDemand(4.0, 0.0, 1.0, 2.0)},
            {A: 0.0, B: 1.2, C: 0.3},
            {head_id("b", 0): 5, head_id("b", 1): 2, head_id("a", 0): 9},
        )

    def find(self, instance: ExchangeInstance | None = None) -> ModelState:
        """Return the state of the model."""
        state = (instance or self.instance).cluster_state
        return find_states(state, A, self.loads, now())[KEY]

    def test_groups_demand_and_requests_of_each_data_centre(self) -> None:
        places = self.find().places_by_id
        self.assertEqual({p.capacity for p in places.values()}, {float(HEADS_PER_PLACE * SLOTS)})
        self.assertEqual((places[B].demand, places[B].present), (8.0, 7.0))
        self.assertEqual((places[A].trust, places[C].trust), (1.0, 1.0))
        self.assertAlmostEqual(places[B].trust, 0.4)

    # Guards against room that is offered by groups which take no requests, or hardly any.
    def test_evacuated_draining_and_cold_groups_count_nothing_or_less(self) -> None:
        state = self.instance.cluster_state
        state.evacuations = Evacuations(frozenset({C}))
        heads = {head.upstream_id: head for head in self.world.heads}
        state.accept_upstreams(
            [
                *heads.values(),
                replace(heads[head_id("a", 0)], state=UpstreamState.DRAINING),
                replace(heads[head_id("b", 0)], cold_until=now() + 60.0),
            ],
            2,
        )
        places = self.find().places_by_id
        self.assertEqual(places[C].capacity, 0.0)
        self.assertEqual(places[A].capacity, SLOTS)
        self.assertEqual(places[B].capacity, SLOTS + COLD_RATE * 2.0)

    # Guards against groups that nobody uses once all instances beside them are gone.
    def test_room_counts_where_no_instance_is_registered(self) -> None:
        del self.loads.age_by_place[C]  # type: ignore[attr-defined]
        self.assertEqual(self.find().places_by_id[C].trust, 0.0)
        peers = self.instance.cluster_state.peers
        self.instance.cluster_state.peers = tuple(p for p in peers if p.data_centre != C)
        self.assertEqual(self.find().places_by_id[C].trust, 1.0)


class SharesTest(unittest.TestCase):
    def shares(self, world: LoadWorld, place: str) -> set[float]:
        """Return the shares of a place that stay there, as its instances know them."""
        found = [i.latest.shares_by_model[KEY] for i in world.at_place(place)]
        for shares in found:
            self.assertAlmostEqual(sum(shares.values()), 1.0)
        return {shares.get(DataCentreId(place), 0.0) for shares in found}

    # Guards against instances of one data centre that go by different shares.
    def test_all_instances_of_a_data_centre_know_the_same_shares(self) -> None:
        world = LoadWorld()
        serve(world, {"a": 16.0, "b": 2.0, "c": 2.0}, 6.0)
        (share,) = self.shares(world, "a")
        self.assertAlmostEqual(share, 0.5, delta=0.15)
        self.assertEqual(self.shares(world, "b"), {1.0})
        lines = [json.loads(line) for i in world.at_place("a") for line in i.handler.lines]
        decided = [line for line in lines if line["event"] == "spill-shares"]
        self.assertTrue(decided)
        self.assertEqual({line["model"] for line in decided}, {MODEL})
        self.assertEqual({line["service"] for line in decided}, {SERVICE})

    # Guards against shares that begin anew with each coordinator.
    def test_successor_goes_on_from_the_last_shares(self) -> None:
        world = LoadWorld()
        serve(world, {"a": 16.0, "b": 2.0, "c": 2.0}, 6.0)
        (before,) = self.shares(world, "a")
        (dead,) = world.coordinators("a")
        assert dead is not None
        world.dead.add(dead)
        for _ in range(12):
            serve(world, {"a": 16.0, "b": 2.0, "c": 2.0}, 0.25)
            for share in self.shares(world, "a"):
                self.assertAlmostEqual(share, before, delta=0.12)

    def test_evacuated_data_centre_sends_everything(self) -> None:
        world = LoadWorld()
        serve(world, {"a": 5.0, "b": 2.0, "c": 2.0}, 4.0)
        self.assertEqual(self.shares(world, "a"), {1.0})
        for instance in world.instances.values():
            instance.cluster_state.evacuations = Evacuations(frozenset({A}))
        serve(world, {"a": 5.0, "b": 2.0, "c": 2.0}, 0.6)
        self.assertEqual(self.shares(world, "a"), {0.0})
