"""Base of tests that break groups and their holders on real processes."""

from collections.abc import Iterable

from tests.fleet_case import FleetCase
from tests.group_traffic import Ending, Outcome, Traffic, ask, book_once, ids_of
from tests.invariants import (
    at_most_once,
    no_over_admission,
    no_partial_group,
    none_accepted,
    within_bearable,
)
from trial.fleet import KIND, MODEL

SERVE_SECONDS = 30.0


class GroupCase(FleetCase):
    """Groups of two with spares, and the checks that hold whatever was broken."""

    spares = 1

    @classmethod
    def declare_groups(cls) -> None:
        """Declare one group of two with spares in each data centre."""
        for data_centre in cls.plan.data_centres:
            cls.order(
                f"declare group {data_centre}-group model {MODEL} in {data_centre} "
                f"kind {KIND} size 2 count 1 spares {cls.spares}"
            )
        cls.wait_serving()

    @classmethod
    def wait_serving(cls, entry: str = "", timeout: float = SERVE_SECONDS) -> None:
        """Wait until the group of each data centre serves."""
        wanted = len(cls.plan.data_centres)
        cls.wait(lambda: len(cls.serving(entry)) == wanted, f"{wanted} groups serve", timeout)

    def group(self, data_centre: str, entry: str = "") -> dict[str, object]:
        """Return the row of a data centre's group; empty while nobody holds it."""
        rows = self.fleet.rows(f"groups where model = {MODEL}", entry)
        found = [row for row in rows if row["data_centre"] == data_centre]
        return found[0] if len(found) == 1 else {}

    def members(self, data_centre: str, entry: str = "") -> list[str]:
        """Return the members of a data centre's group by rank."""
        found = self.group(data_centre, entry).get("members", "")
        return str(found).replace(",", " ").split()

    def serves_without(self, lost: str, data_centre: str) -> bool:
        """Tell whether the group of a data centre serves and the instance is no member."""
        row = self.group(data_centre)
        return bool(row.get("serving")) and lost not in str(row["members"])

    @classmethod
    def callers(cls) -> list[str]:
        """Return the callers' addresses of all entries."""
        return [entry.callers for entry in cls.fleet.entries_by_name.values()]

    def streams(self, callers: int = 2) -> Traffic:
        """Return traffic of short streams through every entry."""
        return Traffic(self.callers(), ask, callers)

    def bookings(self, callers: int = 2) -> Traffic:
        """Return traffic of bookings through every entry."""
        return Traffic(self.callers(), book_once, callers)

    @classmethod
    def wait_more(cls, traffic: Traffic, count: int) -> None:
        """Wait until the traffic got further whole answers."""
        goal = traffic.whole + count
        cls.wait(lambda: traffic.whole >= goal, f"{count} more whole answers")

    def is_up(self, stand_in: str) -> bool:
        """Tell whether a stand-in answers."""
        return self.fleet.status(self.fleet.addresses_by_name[stand_in], "/standin/counts") == 200

    def assert_truthful(self, outcomes: Iterable[Outcome]) -> None:
        """Check what callers saw against the counters of the upstreams."""
        seen = list(outcomes)
        counts = self.counts()
        self.assertEqual([item for item in seen if item.ending is Ending.FALSE], [])
        self.assert_no_violations(none_accepted(counts, ids_of(seen, Ending.NOT_RUN)))
        accepted = counts.merged("accepted_by_request_id")
        whole = ids_of(seen, Ending.WHOLE)
        self.assertTrue(whole and all(accepted[request_id] for request_id in whole))

    def assert_bounds(self) -> None:
        """Check that no group served in part and no upstream got more than it bears."""
        counts = self.counts()
        self.assert_no_violations(no_partial_group(counts))
        self.assert_no_violations([*no_over_admission(counts), *within_bearable(counts)])
        self.assert_no_violations(at_most_once(counts))
