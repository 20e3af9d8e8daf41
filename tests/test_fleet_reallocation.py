"""Groups of a model that has more than it needs become groups of one that needs more."""

import unittest

from cactuspass.fleet._orders import Close, Stage
from cactuspass.models import DataCentreId, ModelId
from tests.fleet_world import ENGINE, LARGE, SMALL, EngineWorld, hosts

STEP_SECONDS = 1.0


class ReallocationTest(unittest.TestCase):
    """Four groups of the large model and two of the small one, whose hosts have the weights."""

    def setUp(self) -> None:
        large = [
            upstream
            for number in range(4)
            for upstream in hosts(4, f"e{number}", LARGE, "other" if number else "here")
        ]
        self.world = EngineWorld([*large, *hosts(6, "z", SMALL, "other")])
        self.world.knows_demand = True

    def run_with_demand(self, groups_by_model: dict[ModelId, float], seconds: float) -> None:
        """Let the planner run while so many groups of each model would be full."""
        concurrency = {model: groups * ENGINE.slots for model, groups in groups_by_model.items()}
        for _ in range(round(seconds / STEP_SECONDS)):
            self.world.planner.demand.observe_offered(ENGINE, concurrency, {}, self.world.at)
            self.world.run(STEP_SECONDS)

    # Guards against a model that has twice the groups it needs beside one that refuses requests.
    def test_model_that_lacks_groups_gets_one_while_all_serve(self) -> None:
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 12.0)
        self.assertEqual(len(self.world.serving(LARGE)), 4)
        self.assertEqual({addressed.order.model for addressed in self.world.orders(Stage)}, {SMALL})
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 12.0)
        self.assertEqual(len(self.world.serving(LARGE)), 3)
        self.assertEqual(len(self.world.serving(SMALL)), 3)
        self.assertEqual(len(self.world.orders(Close)), 1)
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 20.0)
        self.assertEqual(len(self.world.serving(LARGE)), 3)

    def test_group_comes_from_the_data_centre_that_has_fewest_of_the_model(self) -> None:
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 12.0)
        targets = {addressed.target.data_centre for addressed in self.world.orders(Stage)}
        self.assertEqual(targets, {DataCentreId("here")})

    def test_nothing_changes_while_both_have_what_they_need(self) -> None:
        self.run_with_demand({LARGE: 3.0, SMALL: 1.5}, 20.0)
        self.assertEqual(self.world.orders(Stage), [])

    def test_group_that_breaks_meanwhile_is_no_longer_turned(self) -> None:
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 6.0)
        lost = self.world.orders(Stage)[0].target.upstream_id
        self.world.kill(lost)
        self.world.remove(lost)
        self.run_with_demand({LARGE: 1.0, SMALL: 4.0}, 30.0)
        self.assertGreaterEqual(len(self.world.serving(SMALL)), 3)
        self.assertEqual(self.world.planner._memory.reallocations_by_key, {})


if __name__ == "__main__":
    unittest.main()
