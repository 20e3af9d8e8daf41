"""Base of tests that run entry daemons as processes of their own."""

import unittest
from collections.abc import Callable
from typing import Any, ClassVar

from cactuspass._operator_api import CommandAnswer
from tests.invariants import Counts, Violation
from trial.fleet import KIND, MODEL, Fleet, FleetPlan
from trial.processes import wait_until

WAIT_SECONDS = 30.0
IN_FORCE_SECONDS = 7.0


class FleetCase(unittest.TestCase):
    """One fleet for each test class; each test leaves it whole."""

    plan: ClassVar[FleetPlan] = FleetPlan()
    groups_per_data_centre: ClassVar[int] = 1
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet(cls.plan)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.declare_groups()

    @classmethod
    def declare_groups(cls) -> None:
        """Declare groups of two instances in each data centre and wait until all serve."""
        count = cls.groups_per_data_centre
        for data_centre in cls.plan.data_centres:
            cls.order(
                f"declare group {data_centre}-group model {MODEL} in {data_centre} "
                f"kind {KIND} size 2 count {count}"
            )
        wanted = count * len(cls.plan.data_centres)
        cls.wait(lambda: len(cls.serving()) == wanted, f"{wanted} groups serve")

    @classmethod
    def order(cls, command: str, entry: str = "") -> CommandAnswer:
        """Carry out an operator's command at one entry."""
        name = entry or next(iter(cls.fleet.entries_by_name))
        return cls.fleet.operator(name).order(command, IN_FORCE_SECONDS)

    @classmethod
    def serving(cls, entry: str = "") -> list[dict[str, Any]]:
        """Return the groups of the model that serve."""
        return cls.fleet.rows(f"groups where model = {MODEL} and serving = true", entry)

    @classmethod
    def wait(cls, condition: Callable[[], bool], what: str, timeout: float = WAIT_SECONDS) -> float:
        """Wait until a condition holds."""
        return wait_until(condition, what, timeout)

    def counts(self) -> Counts:
        """Return the counters of all upstream stand-ins."""
        fleet = self.fleet
        names = [
            name for name in fleet.addresses_by_name if "-engine" in name or "-lending" in name
        ]
        return Counts({name: fleet.control(name, "counts") for name in names})

    def assert_no_violations(self, violations: list[Violation]) -> None:
        """Fail with every violation that a check found."""
        self.assertEqual([str(violation) for violation in violations], [])
