"""Free capacity of a group, by number of requests and by memory tokens.

A foreign request is one that a group may still run although this entry has no connection for it:
an earlier holder sent it, or the connection broke. It occupies capacity until a load report shows
that it has ended.
"""

from dataclasses import dataclass

from cactuspass._ramp import concurrency_limit, upstream_kind
from cactuspass._tables import ForeignRequest, HeldGroupRow, LoadSample, RequestRow, Tables

# A dispatched request may be missing from load reports measured within this time.
ARRIVAL_DELAY_SECONDS = 0.1
# The end of a request is reported to this entry within this time.
END_DELAY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Capacity of a group for further requests.

    :param requests: further requests that it can run.
    :param tokens: free memory tokens; None if the kind sets no limit.
    """

    requests: int
    tokens: int | None

    def fits(self, tokens: int) -> bool:
        """Return whether there is capacity for a request of that many tokens."""
        return self.requests > 0 and (self.tokens is None or tokens <= self.tokens)


NO_CAPACITY_LEFT = FreeCapacity(0, 0)


def free_capacity(tables: Tables, row: HeldGroupRow) -> FreeCapacity:
    """Return the free capacity of a group, which is 0 until its foreign requests are known."""
    if not row.reported_since_held:
        return NO_CAPACITY_LEFT
    kind = upstream_kind(tables, row)
    requests = concurrency_limit(tables, row) - len(row.requests) - row.foreign_request_count
    if not kind.memory_tokens:
        return FreeCapacity(max(0, requests), None)
    foreign = sum(item.memory_tokens for item in row.foreign_requests)
    tokens = kind.memory_tokens - row.reserved_tokens - foreign
    return FreeCapacity(max(0, requests), max(0, tokens))


def count_own_requests(tables: Tables, row: HeldGroupRow) -> None:
    """Count this entry's own requests that still run on a group it holds again.

    They were dispatched while the entry held the group before.
    """
    own = [item for item in tables.requests_by_id.values() if item.group_id == row.group_id]
    row.requests = {item.request_id for item in own}
    row.reserved_tokens = sum(item.tokens for item in own)
    row.own_requests_counted = True


def add_foreign_request(row: HeldGroupRow, request: RequestRow, now: float) -> None:
    """Count a request whose connection broke, since the upstream may still be running it."""
    _set_foreign_requests(row, [*row.foreign_requests, ForeignRequest(now, request.tokens)])


def clear_foreign_requests(row: HeldGroupRow) -> None:
    """Remove all foreign requests, which ended when the group restarted."""
    _set_foreign_requests(row, [])


def _set_foreign_requests(row: HeldGroupRow, requests: list[ForeignRequest]) -> None:
    """Replace the foreign requests and update their count."""
    row.foreign_requests = requests
    row.foreign_request_count = len(requests)


def apply_load_report(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Update the foreign requests from the load reports of rank 0.

    A report is applied ``END_DELAY_SECONDS`` after it was measured, when this entry has
    recorded all requests that had ended by then. The group has no free capacity before the first
    report that was measured after this entry became the holder.
    """
    if row.load_sample is None:
        row.load_sample = _latest_sample(tables, row)
    sample = row.load_sample
    if sample is not None and now >= sample.measured_at + END_DELAY_SECONDS:
        row.load_sample = None
        _update_foreign_requests(tables, row, sample)


def _latest_sample(tables: Tables, row: HeldGroupRow) -> LoadSample | None:
    """Return the latest load report of rank 0.

    :return: None if none has been measured since this entry became the holder.
    """
    rank_zero = tables.instances_by_id.get(row.members[0]) if row.members else None
    if rank_zero is None or not rank_zero.connected or rank_zero.last_status_at is None:
        return None
    if rank_zero.measured_at < row.may_send_from + ARRIVAL_DELAY_SECONDS:
        return None
    return LoadSample(
        rank_zero.measured_at, rank_zero.boot_id, rank_zero.running, rank_zero.memory_tokens
    )


def _update_foreign_requests(tables: Tables, row: HeldGroupRow, sample: LoadSample) -> None:
    """Reduce the foreign requests to those that a load report shows beyond this entry's own.

    The first report sets their number; later ones only lower it. Foreign requests that were
    added after the measurement are kept.
    """
    rank_zero = tables.instances_by_id.get(row.members[0])
    if rank_zero is None or rank_zero.boot_id != sample.boot_id:
        return
    latest = sample.measured_at - ARRIVAL_DELAY_SECONDS
    held, tokens = _count_foreign_load(tables, row, sample, latest)
    if not row.reported_since_held:
        each = -(-tokens // held) if held else 0
        _set_foreign_requests(
            row, [ForeignRequest(row.may_send_from, each)] * held + row.foreign_requests
        )
        row.reported_since_held = True
        return
    older = sorted(
        (item for item in row.foreign_requests if item.since <= latest),
        key=lambda item: -item.memory_tokens,
    )
    newer = [item for item in row.foreign_requests if item.since > latest]
    _set_foreign_requests(row, older[:held] + newer)


def _count_foreign_load(
    tables: Tables, row: HeldGroupRow, sample: LoadSample, latest: float
) -> tuple[int, int]:
    """Return the reported requests and tokens that can't be this entry's own.

    :param latest: dispatch time up to which own requests are included in the report.
    """
    rows = [tables.requests_by_id[request_id] for request_id in row.requests]
    sent = ((item, item.dispatched_at) for item in rows)
    own = [item for item, at in sent if at is not None and at <= latest]
    held = max(0, sample.running - len(own))
    return held, max(0, sample.memory_tokens - sum(item.tokens for item in own))
