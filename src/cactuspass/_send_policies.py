"""Binds the edges' and the admission's questions to the decision tables."""

from collections.abc import Callable

from cactuspass._confirm import is_confirmed
from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._gateway import RetryPolicy, SendGuard
from cactuspass._holding import holds
from cactuspass._in_force import is_taken_out
from cactuspass._retries import RetryBudget, may_retry
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import GroupId, InstanceId, TakeOutKind


def may_send_to(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Return whether this entry holds a group, every member confirms it and none leaves."""
    return (
        not row.leaving
        and row.held_from <= now
        and holds(tables, row.group_id, now)
        and is_confirmed(tables, row, now)
    )


class TableDispatchPolicy(DispatchPolicy):
    """Answers the admission system from the tables."""

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether the group may be sent to at ``now``."""
        return may_send_to(tables, row, now)

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return whether an operator's take-out is in force."""
        return is_taken_out(tables, kind, target)


class TableSendGuard(SendGuard):
    """Judges at the moment of sending, after the connection was made.

    :param clock: monotonic time in seconds.
    :param is_open: tells whether an instance's event connection is whole at this very moment.
    """

    def __init__(
        self,
        tables: Tables,
        clock: Callable[[], float],
        is_open: Callable[[InstanceId], bool],
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._is_open = is_open

    def may_send(self, group_id: GroupId) -> bool:
        """Return whether the group may be sent to now."""
        row = self._tables.held_groups_by_id.get(group_id)
        return (
            row is not None
            and may_send_to(self._tables, row, self._clock())
            and all(self._is_open(member) for member in row.members)
        )

    def generation(self, group_id: GroupId) -> str | None:
        """Return the group's generation; None for a plain service."""
        row = self._tables.held_groups_by_id.get(group_id)
        if row is None or row.placed is None:
            return None
        return f"{row.generation.major}.{row.generation.minor}"


class BudgetRetryPolicy(RetryPolicy):
    """Retries within the share of requests that the budget allows."""

    def __init__(self) -> None:
        self._budget = RetryBudget()

    def count_request(self) -> None:
        """Count a new request."""
        self._budget.count_request()

    def may_retry(self, repeatable: bool) -> bool:
        """Return whether a request that may have run may be sent again, and spend the budget."""
        return may_retry(repeatable, True, self._budget)
