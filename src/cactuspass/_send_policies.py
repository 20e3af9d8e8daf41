"""Implementations, based on the decision tables, of the policies for sending requests."""

from collections.abc import Callable

from cactuspass._confirmation import is_confirmed
from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._gateway import RetryPolicy, SendGuard
from cactuspass._holding import holds
from cactuspass._in_force import is_taken_out
from cactuspass._retries import RetryBudget, may_retry
from cactuspass._tables import HeldGroupRow, Tables
from cactuspass.models import GroupId, InstanceId, TakeOutKind


def may_send_to(tables: Tables, row: HeldGroupRow, now: float) -> bool:
    """Return whether this entry holds the group, every member confirms it and it isn't leaving."""
    return (
        not row.leaving
        and row.may_send_from <= now
        and holds(tables, row.group_id, now)
        and is_confirmed(tables, row, now)
    )


class TableDispatchPolicy(DispatchPolicy):
    """Dispatch policy that the decision tables determine."""

    def may_send(self, tables: Tables, row: HeldGroupRow, now: float) -> bool:
        """Return whether requests may be sent to the group at ``now``."""
        return may_send_to(tables, row, now)

    def is_taken_out(self, tables: Tables, kind: TakeOutKind, target: str) -> bool:
        """Return whether an operator's take-out of the target is in force."""
        return is_taken_out(tables, kind, target)


class TableSendGuard(SendGuard):
    """Send guard that checks the tables again right before a request is sent.

    The check comes after the connection to the upstream is made, because the tables may have
    changed since the dispatch.

    :param clock: returns the monotonic time in seconds.
    :param is_open: returns whether the event connection to an instance is open at present.
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
        """Return whether requests may be sent to the group now."""
        row = self._tables.held_groups_by_id.get(group_id)
        return (
            row is not None
            and may_send_to(self._tables, row, self._clock())
            and all(self._is_open(member) for member in row.members)
        )

    def generation(self, group_id: GroupId) -> str | None:
        """Return the group's generation as ``major.minor``; None for a plain service."""
        row = self._tables.held_groups_by_id.get(group_id)
        if row is None or row.placed is None:
            return None
        return f"{row.generation.major}.{row.generation.minor}"


class BudgetRetryPolicy(RetryPolicy):
    """Retry policy that limits retries to a share of the requests."""

    def __init__(self) -> None:
        self._budget = RetryBudget()

    def count_request(self) -> None:
        """Count a new request."""
        self._budget.count_request()

    def may_retry(self, repeatable: bool) -> bool:
        """Return whether a request that may have run may be sent again.

        If so, one retry of the budget is spent.
        """
        return may_retry(repeatable, True, self._budget)
