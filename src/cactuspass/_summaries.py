"""Summaries of the held groups, which an entry sends to its peers in heartbeats."""

from itertools import groupby

from cactuspass._group_capacity import free_capacity
from cactuspass._messages import GroupSummary
from cactuspass._ramp import concurrency_limit, connected_boot_id
from cactuspass._tables import HeldGroupRow, Tables


def summarize_groups(tables: Tables, now: float) -> tuple[GroupSummary, ...]:
    """Return a summary of each held group.

    The requests queued for a model are split evenly over its groups.
    """
    rows = sorted(tables.held_groups_by_id.values(), key=lambda row: (row.model, row.group_id))
    grouped = ((model, list(items)) for model, items in groupby(rows, lambda row: row.model))
    return tuple(
        _summary(tables, row, _share(queued, len(items), index), now)
        for model, items in grouped
        for queued in [_queued_count(tables, model)]
        for index, row in enumerate(items)
    )


def accepts_requests(row: HeldGroupRow, now: float) -> bool:
    """Return whether peers may forward requests for a held group now."""
    return row.serving and not row.leaving and row.may_send_from <= now


def _queued_count(tables: Tables, model: str) -> int:
    """Return the number of requests for a model that are queued at this entry."""
    rows = tables.requests_by_id.values()
    return sum(1 for row in rows if row.group_id is None and row.model == model)


def _share(total: int, count: int, index: int) -> int:
    """Return share ``index`` of a total split into ``count`` integer shares of similar size."""
    return total // count + (1 if index < total % count else 0)


def _summary(tables: Tables, row: HeldGroupRow, queued: int, now: float) -> GroupSummary:
    return GroupSummary(
        group_id=row.group_id,
        model=row.model,
        boot_id=connected_boot_id(tables, row),
        serving=accepts_requests(row, now),
        free=free_capacity(tables, row).requests,
        queued=queued,
        ramp=concurrency_limit(tables, row),
        held=len(row.requests) + row.foreign_request_count,
        missing=row.members_without_weights,
    )
