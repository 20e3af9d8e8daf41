"""Tests the target numbers of groups that follow from the demand of the whole fleet."""

import unittest
from dataclasses import replace
from unittest import mock

from cactuspass.fleet._catalog import MAX_TIME_FACTOR, EngineSpec, ModelSpec
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._controller import Controller
from cactuspass.fleet._demand import (
    HEADROOM_FACTOR,
    MIN_GROUPS,
    MIN_OBSERVATIONS,
    USED_SHARE,
    Demand,
)
from cactuspass.fleet._dispatch import RequestActivity
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._offered_load import (
    MAX_GAP_SECONDS,
    WAVE_SECONDS,
    PeakWindow,
    full_groups,
    offered_concurrency,
)
from cactuspass.fleet.load_exchange import DemandKey, FleetLoad, ModelDemand
from cactuspass.models import DataCentreId, ServiceId
from tests.fleet_path import recording_log
from tests.fleet_world import LARGE, SERVICE, SMALL
from tests.scaling_world import ENGINE, SCALED_SERVICE, wave

FLAT_ENGINE = EngineSpec(10, {SMALL: ModelSpec(SMALL, 4), LARGE: ModelSpec(LARGE, 8)})


def offer(demand: Demand, small: float, at: float) -> float:
    """Pass on a demand that fills so many groups of the small model, and return its target."""
    concurrency = {SMALL: small * FLAT_ENGINE.slots, LARGE: 10.0}
    demand.observe_offered(FLAT_ENGINE, concurrency, {SMALL: 20, LARGE: 3}, at)
    return demand.target_group_count(FLAT_ENGINE, FLAT_ENGINE.models_by_id[SMALL], 100)


class TargetTest(unittest.TestCase):
    """Load: a wave of 11 s, noise, an exchange that ends."""

    def test_target_follows_the_peak_of_a_wave_and_not_its_mean(self) -> None:
        demand = Demand()
        targets = [offer(demand, 10 * wave(at / 2), at / 2) for at in range(90)]
        for target in targets[30:]:
            self.assertGreater(target, 11.5)
            self.assertLess(target, 15.0)

    def test_refused_requests_are_included(self) -> None:
        key = DemandKey(SERVICE, SMALL, DataCentreId("a"))
        other = DemandKey(SERVICE, SMALL, DataCentreId("b"))
        foreign = DemandKey(ServiceId("other"), SMALL, DataCentreId("a"))
        asked = ModelDemand(arrivals_per_second=100.0, refused_per_second=60.0, mean_seconds=0.5)
        load = FleetLoad(0.0, {}, {key: asked, other: asked, foreign: asked})
        self.assertEqual(offered_concurrency(load, SERVICE, FLAT_ENGINE), {SMALL: 100.0})

    def test_requests_that_are_all_refused_count_with_their_declared_time(self) -> None:
        key = DemandKey(SERVICE, SMALL, DataCentreId("a"))
        load = FleetLoad(0.0, {}, {key: ModelDemand(10.0, 10.0, mean_seconds=0.0)})
        engine = replace(FLAT_ENGINE, usual_output_tokens=50.0)
        self.assertEqual(offered_concurrency(load, SERVICE, engine), {SMALL: 10.0 * 50.0 * 0.006})

    def test_sums_that_are_all_missing_are_not_taken_for_no_demand(self) -> None:
        self.assertIsNone(offered_concurrency(FleetLoad(0.0), SERVICE, FLAT_ENGINE))
        self.assertIsNone(offered_concurrency(None, SERVICE, FLAT_ENGINE))

    # Guards against orders for more upstreams because requests wait in the queues of engines.
    def test_time_in_a_queue_is_no_demand(self) -> None:
        engine = replace(FLAT_ENGINE, usual_output_tokens=100.0)
        key = DemandKey(SERVICE, SMALL, DataCentreId("a"))
        waiting = ModelDemand(arrivals_per_second=100.0, mean_seconds=5.0)
        offered = offered_concurrency(FleetLoad(0.0, {}, {key: waiting}), SERVICE, engine)
        assert offered is not None
        seconds = 100.0 * engine.step_seconds * MAX_TIME_FACTOR
        self.assertAlmostEqual(offered[SMALL], 100.0 * seconds)

    def test_a_floor_of_two_groups_remains(self) -> None:
        self.assertEqual(offer(Demand(), 0.1, 0.0), MIN_GROUPS)

    def test_without_an_exchange_the_observed_requests_count_as_before(self) -> None:
        demand = Demand()
        for at in range(MIN_OBSERVATIONS + 1):
            demand.observe({SMALL: 50.0})
            demand.observe_offered(FLAT_ENGINE, None, {SMALL: 5}, float(at))
        target = demand.target_group_count(FLAT_ENGINE, FLAT_ENGINE.models_by_id[SMALL], 100)
        self.assertAlmostEqual(target, 5 * HEADROOM_FACTOR)

    def test_after_the_exchange_has_ended_the_observed_requests_count_again(self) -> None:
        demand = Demand()
        for at in range(MIN_OBSERVATIONS + 1):
            demand.observe({SMALL: 50.0})
            offer(demand, 12.0, float(at))
        ended_at = MIN_OBSERVATIONS + WAVE_SECONDS + 1.0
        demand.observe_offered(FLAT_ENGINE, None, {SMALL: 5}, ended_at)
        target = demand.target_group_count(FLAT_ENGINE, FLAT_ENGINE.models_by_id[SMALL], 100)
        self.assertAlmostEqual(target, 5 * HEADROOM_FACTOR)


class ControllerTest(unittest.TestCase):
    """Load: 20 full groups of one model in one data centre, most of it refused elsewhere."""

    def test_exchanged_demand_reaches_the_planner_and_its_lack_does_not(self) -> None:
        log, _ = recording_log()
        loads: list[FleetLoad | None] = [None]
        controller = Controller(
            ClusterState(log),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            log,
            Metrics(),
            RequestActivity(),
            lambda: loads[0],
        )
        demand, spec = Demand(), ENGINE.models_by_id[SMALL]
        controller._observe_offered(demand, SCALED_SERVICE)
        declared = demand.target_group_count(ENGINE, spec, 171)
        self.assertAlmostEqual(declared, 0.5 * 171 * USED_SHARE / spec.size)
        key = DemandKey(SERVICE, SMALL, DataCentreId("a"))
        loads[0] = FleetLoad(0.0, {}, {key: ModelDemand(340.0, 300.0, 1.0, mean_seconds=1.0)})
        controller._observe_offered(demand, SCALED_SERVICE)
        self.assertGreater(demand.target_group_count(ENGINE, spec, 171), 20.0)


class FullGroupsTest(unittest.TestCase):
    """Load: the same arrivals, spread over many or few groups."""

    def test_few_full_groups_need_longer_steps_than_many_idle_ones(self) -> None:
        # 1,100 tokens a second in 10 groups: 8.4 requests run in each with steps of 10.1 ms.
        spread = full_groups(ENGINE, 84.0, 10)
        self.assertGreater(spread, 84.0 / ENGINE.slots * 1.3)
        self.assertAlmostEqual(full_groups(ENGINE, 170.0, 10), 10.0)

    def test_more_requests_than_slots_count_as_they_are(self) -> None:
        self.assertAlmostEqual(full_groups(ENGINE, 340.0, 10), 20.0)
        self.assertAlmostEqual(full_groups(ENGINE, 34.0, 0), 2.0)


class PeakWindowTest(unittest.TestCase):
    """Load: a rise over two waves, a gap, a peak that is over."""

    def test_a_rise_over_two_waves_is_continued(self) -> None:
        window = PeakWindow()
        for at in range(31):
            window.add(10.0 + at * 0.2, float(at))
        self.assertGreater(window.forecast(30.0, 24.0) or 0.0, 17.0)

    def test_a_steady_demand_is_not_continued_upwards(self) -> None:
        window = PeakWindow()
        for at in range(31):
            window.add(10.0 + at % 2, float(at))
        self.assertEqual(window.forecast(30.0, 24.0), window.peak(30.0))

    def test_a_peak_is_forgotten_after_a_wave(self) -> None:
        window = PeakWindow()
        for at in range(40):
            window.add(20.0 if at < 10 else 10.0, float(at))
        self.assertEqual(window.peak(39.0), 10.0)

    def test_after_a_gap_the_demand_counts_as_just_known(self) -> None:
        window = PeakWindow()
        for at in range(20):
            window.add(10.0, float(at))
        self.assertEqual(window.known_seconds(19.0), 19.0)
        after = 20.0 + MAX_GAP_SECONDS
        self.assertEqual(window.known_seconds(after), 0.0)
        window.add(10.0, after)
        self.assertEqual(window.known_seconds(after + 1.0), 1.0)
