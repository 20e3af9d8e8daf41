"""Room of a group for further requests, by count and by memory."""

from dataclasses import dataclass

from cactuspass._ramp import concurrency_limit, upstream_kind
from cactuspass._tables import ForeignRequest, HeldGroupRow, LoadSample, RequestRow, Tables

ARRIVAL_SECONDS = 0.1
END_DELAY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """What a group can take now.

    :param requests: further requests that it bears.
    :param tokens: further memory tokens; None where the kind sets no limit.
    """

    requests: int
    tokens: int | None

    def fits(self, tokens: int) -> bool:
        """Return whether a request of that many tokens may be sent."""
        return self.requests > 0 and (self.tokens is None or tokens <= self.tokens)


NO_CAPACITY_LEFT = FreeCapacity(0, 0)


def free_capacity(tables: Tables, row: HeldGroupRow) -> FreeCapacity:
    """Return the room of a group; none before foreign requests are known."""
    if not row.foreign_known:
        return NO_CAPACITY_LEFT
    kind = upstream_kind(tables, row)
    requests = concurrency_limit(tables, row) - len(row.requests) - row.foreign_held
    if not kind.memory_tokens:
        return FreeCapacity(max(0, requests), None)
    foreign = sum(item.memory_tokens for item in row.foreign_requests)
    tokens = kind.memory_tokens - row.held_tokens - foreign
    return FreeCapacity(max(0, requests), max(0, tokens))


def adopt_group(tables: Tables, row: HeldGroupRow) -> None:
    """Count requests of our own that still run from an earlier holding of the group."""
    mine = [item for item in tables.requests_by_id.values() if item.group_id == row.group_id]
    row.requests = {item.request_id for item in mine}
    row.held_tokens = sum(item.tokens for item in mine)
    row.adopted = True


def add_foreign(row: HeldGroupRow, request: RequestRow, now: float) -> None:
    """Count a request whose connection broke, because the upstream may still run it."""
    _set_foreign(row, [*row.foreign_requests, ForeignRequest(now, request.tokens)])


def forget_foreign(row: HeldGroupRow) -> None:
    """Drop what an earlier boot had running."""
    _set_foreign(row, [])


def _set_foreign(row: HeldGroupRow, requests: list[ForeignRequest]) -> None:
    """Replace the foreign requests."""
    row.foreign_requests = requests
    row.foreign_held = len(requests)


def observe_report(tables: Tables, row: HeldGroupRow, now: float) -> None:
    """Lower the count of foreign requests by the load reports of rank 0.

    A report is compared only once the ends of all requests that had ended when it was measured
    are known here. Before the first report measured since the takeover the group has no room.
    """
    if row.load_sample is None:
        row.load_sample = _take_sample(tables, row)
    sample = row.load_sample
    if sample is not None and now >= sample.measured_at + END_DELAY_SECONDS:
        row.load_sample = None
        _compare(tables, row, sample)


def _take_sample(tables: Tables, row: HeldGroupRow) -> LoadSample | None:
    """Return the latest report of rank 0, if it was measured since the takeover."""
    first = tables.instances_by_id.get(row.members[0]) if row.members else None
    if first is None or not first.connected or first.heard_at is None:
        return None
    if first.measured_at < row.held_from + ARRIVAL_SECONDS:
        return None
    return LoadSample(first.measured_at, first.boot_id, first.running, first.memory_tokens)


def _compare(tables: Tables, row: HeldGroupRow, sample: LoadSample) -> None:
    """Take a report's requests beyond our own as the foreign ones; their count only falls.

    Those that were added after the measurement stay.
    """
    first = tables.instances_by_id.get(row.members[0])
    if first is None or first.boot_id != sample.boot_id:
        return
    latest = sample.measured_at - ARRIVAL_SECONDS
    held, tokens = _beyond_our_own(tables, row, sample, latest)
    if not row.foreign_known:
        each = -(-tokens // held) if held else 0
        _set_foreign(row, [ForeignRequest(row.held_from, each)] * held + row.foreign_requests)
        row.foreign_known = True
        return
    older = sorted(
        (item for item in row.foreign_requests if item.since <= latest),
        key=lambda item: -item.memory_tokens,
    )
    newer = [item for item in row.foreign_requests if item.since > latest]
    _set_foreign(row, older[:held] + newer)


def _beyond_our_own(
    tables: Tables, row: HeldGroupRow, sample: LoadSample, latest: float
) -> tuple[int, int]:
    """Return the reported requests and tokens that are surely not ours."""
    rows = [tables.requests_by_id[request_id] for request_id in row.requests]
    sent = ((item, item.dispatched_at) for item in rows)
    ours = [item for item, at in sent if at is not None and at <= latest]
    held = max(0, sample.running - len(ours))
    return held, max(0, sample.memory_tokens - sum(item.tokens for item in ours))
