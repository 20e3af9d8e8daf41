"""What goes wrong while capacity is short: sums that stop, lost instances, callers that lie.

Answers the load of 87 instances and 35 heads, at which a wrong reaction would fill all engines.
"""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from cactuspass.fleet.load_shedding import CustomerShares, DemandTrend, RequestSize
from cactuspass.fleet.load_shedding._corrections import MAX_FACTOR, MIN_FACTOR, Corrections
from cactuspass.fleet.load_shedding._fair_shares import divide
from cactuspass.models import CustomerId
from tests.load_simulation import LoadSimulation
from tests.test_fleet_load_shedding import BURST, MAX_REJECTED_SHARE, SECONDS, used_share

LIAR, HONEST = CustomerId("liar"), CustomerId("honest")
BOTH = {LIAR: 0.5, HONEST: 0.5}
TOKENS_PER_SECOND = 100


def served_shares(simulation: LoadSimulation, seconds: float = SECONDS) -> dict[CustomerId, float]:
    """Return the share of each customer's requests that were served."""
    outcome = simulation.run(seconds)
    asked = outcome.asked_by_customer
    return {customer: outcome.served_by_customer[customer] / n for customer, n in asked.items()}


class SumsTest(unittest.TestCase):
    """Without recent sums, the choice is by the reports of the heads, as without the exchange."""

    def test_sums_stop_and_come_again(self) -> None:
        simulation = LoadSimulation(lambda at: BURST if at > 13.0 else 0.5)
        simulation.sums_stop_at = 6.0

        def resume() -> None:
            simulation.sums_stop_at = float("inf")

        simulation.plan(9.0, resume)
        outcome = simulation.run(22.0)
        self.assertLess(outcome.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(used_share(simulation, outcome, 22.0), 0.6)

    def test_all_instances_restart_at_once(self) -> None:
        simulation = LoadSimulation(lambda at: BURST)
        simulation.sums_start_at = 0.6
        outcome = simulation.run(SECONDS)
        self.assertLess(outcome.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(used_share(simulation, outcome), 0.7)


class FairnessTest(unittest.TestCase):
    """A customer that asks for ten times as much as usual takes no room from another one."""

    def test_customer_that_floods_spends_its_own_share(self) -> None:
        def shares(at: float) -> Mapping[CustomerId, float]:
            return {LIAR: 10.0, HONEST: 1.0} if at > 40.0 else {LIAR: 1.0, HONEST: 1.0}

        def load(at: float) -> float:
            return 3.3 if at > 40.0 else 0.6

        simulation = LoadSimulation(load, shares_by_customer=shares, instances=30, heads=12)
        simulation.run(42.0)
        simulation.outcome = replace(simulation.outcome)
        simulation.outcome.asked_by_customer.clear()
        simulation.outcome.served_by_customer.clear()
        served = served_shares(simulation, 56.0)
        self.assertGreater(served[HONEST], 2 * served[LIAR])

    def test_unused_share_goes_to_the_others(self) -> None:
        granted = divide(10.0, {"a": 2.0, "b": 20.0}, {"a": 0.5, "b": 0.5})
        self.assertEqual(granted, {"a": 2.0, "b": 8.0})

    def test_single_customer_is_not_thinned_out(self) -> None:
        shares = CustomerShares()
        for number in range(100):
            shares.note_arrival(LIAR, number / 10)
        self.assertEqual(shares.passed_share(LIAR, 1.0, {}), 1.0)

    def test_all_that_pass_still_ask_for_all_room(self) -> None:
        shares = CustomerShares()
        for number in range(1000):
            shares.note_arrival(LIAR if number % 11 else HONEST, number / 100)
        passed = {c: shares.passed_share(c, 10.0, {}) for c in (LIAR, HONEST)}
        self.assertEqual(max(passed.values()), 1.0)


class FalseStatementTest(unittest.TestCase):
    """A caller that states few tokens to be served before others."""

    def check(self, stated: RequestSize) -> None:
        def size(customer: CustomerId, seconds: float) -> RequestSize:
            true = RequestSize(100, 500, round(seconds * TOKENS_PER_SECOND))
            return stated if customer == LIAR else true

        simulation = LoadSimulation(lambda at: BURST, shares_by_customer=lambda at: BOTH, size=size)
        served = served_shares(simulation)
        self.assertLess(served[LIAR], 1.25 * served[HONEST])

    def test_wrong_hint(self) -> None:
        self.check(RequestSize(100, 500, 1))

    def test_wrong_tokens(self) -> None:
        self.check(RequestSize(0, 1, None))

    def test_corrections_are_bounded_and_per_key(self) -> None:
        corrections = Corrections()
        for _ in range(1000):
            corrections.note("a", 1.0, 1e6)
            corrections.note("b", 1.0, 0.0)
        self.assertAlmostEqual(corrections.factor("a"), MAX_FACTOR)
        self.assertAlmostEqual(corrections.factor("b"), MIN_FACTOR)
        self.assertEqual(corrections.factor("c"), 1.0)


class SizeTest(unittest.TestCase):
    """The largest requests are served at least half as often as all."""

    def test_largest_tenth(self) -> None:
        def size(customer: CustomerId, seconds: float) -> RequestSize:
            return RequestSize(100, 500, round(seconds * TOKENS_PER_SECOND))

        outcome = LoadSimulation(lambda at: BURST, size=size).run(SECONDS)
        served = outcome.served_by_customer.total() / outcome.asked_by_customer.total()
        self.assertGreater(outcome.served_long / outcome.asked_long, 0.5 * served)


class TrendTest(unittest.TestCase):
    """A wave of 13 s, known a second late."""

    def test_rising_demand_is_extrapolated_within_bounds(self) -> None:
        trend = DemandTrend()
        for step in range(7):
            trend.note(100.0 + 10 * step, step * 0.25)
        self.assertAlmostEqual(trend.extrapolate(0.5), 180.0)
        self.assertLessEqual(trend.extrapolate(60.0), 240.0)

    def test_steady_demand_stays(self) -> None:
        trend = DemandTrend()
        for step in range(7):
            trend.note(100.0, step * 0.25)
        self.assertEqual(trend.extrapolate(1.0), 100.0)


if __name__ == "__main__":
    unittest.main()
