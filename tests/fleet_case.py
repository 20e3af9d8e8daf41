"""Base class of tests that run entry daemons in separate processes."""

import unittest
from collections.abc import Callable
from typing import Any, ClassVar

from cactuspass._operator_api import CommandAnswer
from tests.invariants import Counts, Violation
from trial.fleet import KIND, MODEL, Fleet, FleetPlan
from trial.processes import TrialError, wait_until

WAIT_SECONDS = 30.0
IN_FORCE_SECONDS = 7.0


class FleetCase(unittest.TestCase):
    """Runs one fleet for all tests of a class; each test has to restore it to its normal state."""

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
        """Declare groups of size two in each data centre and wait until all of them serve."""
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
        """Run an operator's command at one entry.

        :param entry: name of the entry; the first one by default.
        """
        name = entry or next(iter(cls.fleet.entries_by_name))
        return cls.fleet.operator(name).order(command, IN_FORCE_SECONDS)

    @classmethod
    def serving(cls, entry: str = "") -> list[dict[str, Any]]:
        """Return the rows of the model's serving groups, as one entry lists them."""
        return cls.fleet.rows(f"groups where model = {MODEL} and serving = true", entry)

    @classmethod
    def wait(cls, condition: Callable[[], bool], what: str, timeout: float = WAIT_SECONDS) -> float:
        """Wait until a condition holds.

        :param what: description of the condition, for the message of a failure.
        :param timeout: seconds after which the test fails.
        """
        try:
            return wait_until(condition, what, timeout)
        except TrialError as error:
            raise TrialError(f"{error}\n{cls.fleet.describe()}") from error

    def counts(self) -> Counts:
        """Return the counters of all upstream stand-ins."""
        fleet = self.fleet
        names = [
            name for name in fleet.addresses_by_name if "-engine" in name or "-lending" in name
        ]
        return Counts({name: fleet.control(name, "counts") for name in names})

    def assert_no_violations(self, violations: list[Violation]) -> None:
        """Fail with all violations if there are any."""
        self.assertEqual([str(violation) for violation in violations], [])
