"""Grants of the peers, by which an entry goes on holding while the platform is out."""

from collections.abc import Iterable

from cactuspass._holding import has_ended, is_handed_over, other_seats, process_key, used_seats
from cactuspass._messages import GrantReceived, GrantRequested, RequestGrant, SendGrant
from cactuspass._tables import ProcessKey, Tables
from cactuspass.models import Placement, Seat

GRANT_SECONDS = 120.0
REMOVAL_BLOCK_SECONDS = GRANT_SECONDS * 1.03
ASK_SECONDS = 1.0
NEVER = float("-inf")
FOREVER = float("inf")


def answer_ask(tables: Tables, message: GrantRequested, now: float) -> list[SendGrant]:
    """Promise not to remove the asker's seat, if this entry can keep the promise.

    The promise lasts longer than the grant, by the drift of two clocks.
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
    until = now + REMOVAL_BLOCK_SECONDS
    tables.removal_blocked_until_by_process[key] = max(
        until, tables.removal_blocked_until_by_process.get(key, NEVER)
    )
    return [SendGrant(message.entry_id, placement.version, message.sent_at, GRANT_SECONDS)]


class PeerGrants:
    """The grants that other seats gave to this process."""

    def __init__(self) -> None:
        self._until_by_process: dict[ProcessKey, float] = {}
        self._excused: set[ProcessKey] = set()
        self._newcomers: set[ProcessKey] = set()
        self._asked_at = NEVER

    def until(self, tables: Tables) -> float:
        """Return when the first grant of another seat runs out."""
        return self._first_end(tables, other_seats(tables))

    def lapse_at(self, tables: Tables) -> float:
        """Return when the right lapses; seats that have yet to be asked only suspend it."""
        seats = other_seats(tables)
        return self._first_end(tables, (s for s in seats if process_key(s) not in self._newcomers))

    def clear(self) -> None:
        """Drop all grants."""
        self._until_by_process.clear()

    def end_suspension(self) -> None:
        """Count a missing grant of any seat as a lapse again."""
        self._newcomers.clear()

    def note_adopted(self, before: Placement | None, tables: Tables) -> None:
        """Remember seats that a peer told of, whose first grant is only asked for now."""
        is_by_peer = tables.store_revision == 0
        if before is None or before is tables.placement or not is_by_peer:
            return
        known = {process_key(seat) for seat in before.seats_by_entry.values()}
        others = {process_key(seat) for seat in other_seats(tables)}
        self._newcomers = (self._newcomers & others) | (others - known)

    def note_granted(self, tables: Tables, message: GrantReceived, now: float) -> None:
        """Add a grant, which runs from the time when it was asked for."""
        key = ProcessKey(message.entry_id, message.incarnation)
        is_known = any(process_key(seat) == key for seat in other_seats(tables))
        if not is_known or message.sent_at > now:
            return
        until = message.sent_at + min(message.period, GRANT_SECONDS)
        self._until_by_process[key] = max(until, self._until_by_process.get(key, NEVER))
        if until > now:
            self._newcomers.discard(key)

    def note_ended(self, tables: Tables, now: float) -> None:
        """Excuse processes that ended while their last grant still ran."""
        seats_by_process = {process_key(seat): seat for seat in other_seats(tables)}
        self._excused = {
            key
            for key, seat in seats_by_process.items()
            if key in self._excused
            or (has_ended(tables, seat) and self._until_by_process.get(key, NEVER) > now)
        }
        self._until_by_process = {
            key: until for key, until in self._until_by_process.items() if key in seats_by_process
        }

    def ask(self, tables: Tables, now: float) -> list[RequestGrant]:
        """Ask the seats whose grant is missing or half over, at most once a second."""
        if tables.placement is None or not used_seats(tables):
            return []
        if now < self._asked_at + ASK_SECONDS:
            return []
        self._asked_at = now
        return [
            RequestGrant(seat.entry_id, tables.placement.version, now)
            for seat in other_seats(tables)
            if self._end(tables, seat) - now < GRANT_SECONDS / 2
        ]

    def _first_end(self, tables: Tables, seats: Iterable[Seat]) -> float:
        if tables.placement is None:
            return NEVER
        return min((self._end(tables, seat) for seat in seats), default=FOREVER)

    def _end(self, tables: Tables, seat: Seat) -> float:
        if process_key(seat) in self._excused or _was_given_before(tables, seat):
            return FOREVER
        return self._until_by_process.get(process_key(seat), NEVER)


def _was_given_before(tables: Tables, seat: Seat) -> bool:
    """Tell whether a seat was given up by a process that wrote no placement after the held one."""
    if tables.placement is None or not is_handed_over(tables, seat):
        return False
    given = tables.handed_over_seats_by_entry[seat.entry_id]
    return given.placement_version <= tables.placement.version
