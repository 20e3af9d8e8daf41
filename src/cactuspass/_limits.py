"""Room of a group for further requests, by count and by memory."""

from dataclasses import dataclass

from cactuspass._ramp import bearable_requests, kind_of
from cactuspass._tables import HeldGroupRow, InstanceRow, RequestRow, Tables

ARRIVAL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Room:
    """What a group can take now.

    :param requests: further requests that it bears.
    :param tokens: further memory tokens; None where the kind sets no limit.
    """

    requests: int
    tokens: int | None

    def fits(self, tokens: int) -> bool:
        """Return whether a request of that many tokens may be sent."""
        return self.requests > 0 and (self.tokens is None or tokens <= self.tokens)


NO_ROOM = Room(0, 0)


def room_of(tables: Tables, row: HeldGroupRow) -> Room:
    """Return the room of a group; none before foreign requests are known."""
    if not row.foreign_known:
        return NO_ROOM
    kind = kind_of(tables, row)
    requests = bearable_requests(tables, row) - len(row.requests) - row.foreign_held
    if not kind.memory_tokens:
        return Room(max(0, requests), None)
    tokens = kind.memory_tokens - row.held_tokens - row.foreign_tokens
    return Room(max(0, requests), max(0, tokens))


def adopt_group(tables: Tables, row: HeldGroupRow) -> None:
    """Count requests of our own that still run from an earlier holding of the group."""
    mine = [item for item in tables.requests_by_id.values() if item.group_id == row.group_id]
    row.requests = {item.request_id for item in mine}
    row.held_tokens = sum(item.tokens for item in mine)
    row.foreign_since = row.held_from
    row.foreign_known = False


def add_foreign(row: HeldGroupRow, request: RequestRow, now: float) -> None:
    """Count a request whose connection broke, because the upstream may still run it."""
    row.foreign_held += 1
    row.foreign_tokens += request.tokens
    row.foreign_since = max(row.foreign_since or now, now)


def forget_foreign(row: HeldGroupRow) -> None:
    """Drop what an earlier boot had running."""
    row.foreign_held = 0
    row.foreign_tokens = 0


def observe_report(tables: Tables, row: HeldGroupRow) -> None:
    """Lower the count of foreign requests by the latest report of rank 0.

    A report counts only when it was measured after the last moment at which a foreign request
    can have been added. Before the first such report the group has no room at all.
    """
    first = tables.instances_by_id.get(row.members[0]) if row.members else None
    if first is None or first.heard_at is None or not first.connected:
        return
    if row.foreign_since is None or first.measured_at < row.foreign_since + ARRIVAL_SECONDS:
        return
    held, tokens = _beyond_our_own(tables, row, first)
    row.foreign_held = min(row.foreign_held, held) if row.foreign_known else held
    row.foreign_tokens = min(row.foreign_tokens, tokens) if row.foreign_known else tokens
    row.foreign_known = True


def _beyond_our_own(tables: Tables, row: HeldGroupRow, report: InstanceRow) -> tuple[int, int]:
    """Return the reported requests and tokens that are surely not ours."""
    rows = [tables.requests_by_id[request_id] for request_id in row.requests]
    latest = report.measured_at - ARRIVAL_SECONDS
    ours = [
        item for item in rows if item.dispatched_at is not None and item.dispatched_at <= latest
    ]
    held = report.running - len(ours)
    tokens = report.memory_tokens - sum(item.tokens for item in ours)
    if held <= 0:
        return 0, 0
    return held, max(0, tokens)
