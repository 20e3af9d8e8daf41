"""Base class of tests in which groups and their holders fail, with real processes."""

from collections.abc import Iterable

from tests.fleet_case import FleetCase
from tests.group_traffic import Ending, Outcome, Traffic, book_with_key, request_ids, stream_short
from tests.invariants import (
    at_most_once,
    no_over_admission,
    no_partial_group,
    none_accepted,
    within_concurrency_limit,
)
from trial.fleet import KIND, MODEL

SERVE_TIMEOUT_SECONDS = 30.0


class GroupCase(FleetCase):
    """Groups of two with spares, and the checks that must pass after every failure."""

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
    def wait_serving(cls, entry: str = "", timeout: float = SERVE_TIMEOUT_SECONDS) -> None:
        """Wait until the group of each data centre serves."""
        count = len(cls.plan.data_centres)
        cls.wait(lambda: len(cls.serving(entry)) == count, f"{count} groups serve", timeout)

    def group(self, data_centre: str, entry: str = "") -> dict[str, object]:
        """Return the row of a data centre's group; empty unless there is exactly one."""
        rows = self.fleet.rows(f"groups where model = {MODEL}", entry)
        found = [row for row in rows if row["data_centre"] == data_centre]
        return found[0] if len(found) == 1 else {}

    def members(self, data_centre: str, entry: str = "") -> list[str]:
        """Return the members of a data centre's group by rank."""
        found = self.group(data_centre, entry).get("members", "")
        return str(found).replace(",", " ").split()

    def serves_without(self, lost: str, data_centre: str) -> bool:
        """Return whether the group of a data centre serves and the instance is not a member."""
        row = self.group(data_centre)
        return bool(row.get("serving")) and lost not in str(row["members"])

    @classmethod
    def callers(cls) -> list[str]:
        """Return the callers' addresses of all entries."""
        return [entry.callers for entry in cls.fleet.entries_by_name.values()]

    def streams(self, callers: int = 2) -> Traffic:
        """Return traffic of short streams through every entry.

        :param callers: number of callers of each entry.
        """
        return Traffic(self.callers(), stream_short, callers)

    def bookings(self, callers: int = 2) -> Traffic:
        """Return traffic of bookings through every entry.

        :param callers: number of callers of each entry.
        """
        return Traffic(self.callers(), book_with_key, callers)

    @classmethod
    def wait_more(cls, traffic: Traffic, count: int) -> None:
        """Wait until the traffic has got a number of further complete answers."""
        goal = traffic.complete_count + count
        cls.wait(lambda: traffic.complete_count >= goal, f"{count} more complete answers")

    def is_up(self, stand_in: str) -> bool:
        """Return whether a stand-in answers."""
        return self.fleet.status(self.fleet.addresses_by_name[stand_in], "/standin/counts") == 200

    def assert_outcomes_true(self, outcomes: Iterable[Outcome]) -> None:
        """Check the outcomes that callers saw against the counters of the upstreams.

        No answer looks complete without being so, no request refused as not run was accepted by
        an upstream, and each completed request was.
        """
        seen = list(outcomes)
        counts = self.counts()
        self.assertEqual([item for item in seen if item.ending is Ending.FALSELY_COMPLETE], [])
        self.assert_no_violations(none_accepted(counts, request_ids(seen, Ending.NOT_RUN)))
        accepted = counts.merged("accepted_by_request_id")
        completed = request_ids(seen, Ending.COMPLETE)
        self.assertTrue(completed and all(accepted[request_id] for request_id in completed))

    def assert_upstream_invariants(self) -> None:
        """Check the invariants of the upstreams.

        No group answered while a member was not ready, no upstream got more than it can run, and
        no idempotency key ran twice.
        """
        counts = self.counts()
        self.assert_no_violations(no_partial_group(counts))
        self.assert_no_violations([*no_over_admission(counts), *within_concurrency_limit(counts)])
        self.assert_no_violations(at_most_once(counts))
