"""Grants with which an entry keeps its right to hold groups during a platform outage.

A grant is a peer's commitment not to remove the seat of a process for a limited time.
"""

from collections.abc import Iterable

from cactuspass._holding import has_ended, is_handed_over, other_seats, process_key, used_seats
from cactuspass._messages import (
    GrantReceived,
    GrantRequested,
    HeartbeatReceived,
    RequestGrant,
    SendGrant,
)
from cactuspass._tables import ProcessKey, RemovalBlock, Tables
from cactuspass.models import Placement, Seat

GRANT_SECONDS = 120.0
REMOVAL_BLOCK_SECONDS = GRANT_SECONDS * 1.03
REQUEST_INTERVAL_SECONDS = 1.0
NEVER = float("-inf")
FOREVER = float("inf")


def answer_grant_request(tables: Tables, message: GrantRequested, now: float) -> list[SendGrant]:
    """Grant the sender the right to hold groups, if this entry can keep its seat in place.

    This entry does not remove the seat for ``REMOVAL_BLOCK_SECONDS``. They exceed the duration of
    the grant to allow for the drift between the two clocks.

    :return: the grant, or nothing when the request is rejected.
    """
    placement = tables.placement
    if placement is None or message.placement_version != placement.version:
        return []
    key = ProcessKey(message.entry_id, message.incarnation)
    seat = placement.seats_by_entry.get(message.entry_id)
    if seat is None or process_key(seat) != key or not used_seats(tables):
        return []
    if message.entry_id in tables.pending_seat_removals:
        return []
    earlier = tables.removal_blocks_by_process.get(key, RemovalBlock(NEVER, NEVER))
    tables.removal_blocks_by_process[key] = RemovalBlock(
        until=max(now + REMOVAL_BLOCK_SECONDS, earlier.until),
        requested_at=max(message.sent_at, earlier.requested_at),
    )
    return [SendGrant(message.entry_id, placement.version, message.sent_at, GRANT_SECONDS)]


def accept_returned_grants(tables: Tables, heartbeat: HeartbeatReceived) -> None:
    """Lift the removal block of the sender's seat if it has returned all grants of this entry."""
    key = ProcessKey(heartbeat.entry_id, heartbeat.incarnation)
    block = tables.removal_blocks_by_process.get(key)
    if block is not None and block.requested_at <= heartbeat.grants_returned_at:
        del tables.removal_blocks_by_process[key]


class PeerGrants:
    """The grants that this process has received from the processes of the other seats."""

    def __init__(self) -> None:
        self._expiry_by_process: dict[ProcessKey, float] = {}
        self._exempt: set[ProcessKey] = set()
        self._awaiting_first_grant: set[ProcessKey] = set()
        self._requested_at = NEVER

    def earliest_expiry(self, tables: Tables) -> float:
        """Return the time at which the first of the required grants expires."""
        return self._first_expiry(tables, other_seats(tables))

    def lapse_time(self, tables: Tables) -> float:
        """Return the time at which the right lapses.

        Seats whose first grant is still awaited only suspend the right.
        """
        seats = other_seats(tables)
        return self._first_expiry(
            tables, (s for s in seats if process_key(s) not in self._awaiting_first_grant)
        )

    def clear(self) -> None:
        """Discard all grants."""
        self._expiry_by_process.clear()

    def end_suspension(self) -> None:
        """Treat a missing grant of any seat as a lapse again."""
        self._awaiting_first_grant.clear()

    def apply_adoption(self, before: Placement | None, tables: Tables) -> None:
        """Record the new seats of a placement from a peer; their first grants must be requested."""
        is_from_peer = tables.store_revision == 0
        if before is None or before is tables.placement or not is_from_peer:
            return
        known = {process_key(seat) for seat in before.seats_by_entry.values()}
        others = {process_key(seat) for seat in other_seats(tables)}
        self._awaiting_first_grant = (self._awaiting_first_grant & others) | (others - known)

    def apply_grant(self, tables: Tables, message: GrantReceived, now: float) -> None:
        """Record a grant, whose duration starts when it was requested."""
        key = ProcessKey(message.entry_id, message.incarnation)
        is_known = any(process_key(seat) == key for seat in other_seats(tables))
        is_returned = message.sent_at <= tables.local.grants_returned_at
        if not is_known or is_returned or message.sent_at > now:
            return
        until = message.sent_at + min(message.period, GRANT_SECONDS)
        self._expiry_by_process[key] = max(until, self._expiry_by_process.get(key, NEVER))
        if until > now:
            self._awaiting_first_grant.discard(key)

    def exempt_ended_processes(self, tables: Tables, now: float) -> None:
        """Require no grants from processes that ended before their latest grant expired."""
        seats_by_process = {process_key(seat): seat for seat in other_seats(tables)}
        self._exempt = {
            key
            for key, seat in seats_by_process.items()
            if key in self._exempt
            or (has_ended(tables, seat) and self._expiry_by_process.get(key, NEVER) > now)
        }
        self._expiry_by_process = {
            key: until for key, until in self._expiry_by_process.items() if key in seats_by_process
        }

    def request_missing(self, tables: Tables, now: float) -> list[RequestGrant]:
        """Request the grants that are missing or have passed half of their duration.

        Requests are sent at most every ``REQUEST_INTERVAL_SECONDS``.
        """
        if tables.placement is None or not used_seats(tables):
            return []
        if now < self._requested_at + REQUEST_INTERVAL_SECONDS:
            return []
        self._requested_at = now
        return [
            RequestGrant(seat.entry_id, tables.placement.version, now)
            for seat in other_seats(tables)
            if self._expiry(tables, seat) - now < GRANT_SECONDS / 2
        ]

    def return_all(self, tables: Tables) -> None:
        """Give up all grants requested so far, also those whose answers are still on their way."""
        if self._requested_at > tables.local.grants_returned_at:
            self._expiry_by_process.clear()
            tables.local.grants_returned_at = self._requested_at

    def _first_expiry(self, tables: Tables, seats: Iterable[Seat]) -> float:
        if tables.placement is None:
            return NEVER
        return min((self._expiry(tables, seat) for seat in seats), default=FOREVER)

    def _expiry(self, tables: Tables, seat: Seat) -> float:
        if process_key(seat) in self._exempt or _handed_over_without_newer_version(tables, seat):
            return FOREVER
        return self._expiry_by_process.get(process_key(seat), NEVER)


def _handed_over_without_newer_version(tables: Tables, seat: Seat) -> bool:
    """Return whether a seat was handed over by a process without a newer placement than ours."""
    if tables.placement is None or not is_handed_over(tables, seat):
        return False
    handed_over = tables.handed_over_seats_by_entry[seat.entry_id]
    return handed_over.placement_version <= tables.placement.version
