"""Decides whether this entry process may use its seats, by the platform or by its peers."""

from collections.abc import Iterable, Sequence

from cactuspass._adoption import Adoption, is_same_document, needs_our_grant
from cactuspass._alarm_changes import clear_alarm, raise_alarm
from cactuspass._core import System
from cactuspass._holding import (
    current_user_of_seat,
    has_given_seat,
    holds,
    is_given,
    is_gone,
    may_hold,
    other_seats,
    own_seat,
    owns,
    process_of,
    seat_owner,
    used_seats,
)
from cactuspass._messages import (
    AlarmChanged,
    AlarmKind,
    AskGrant,
    GrantAsked,
    Granted,
    Input,
    Order,
    PlacementConfirmed,
    PlacementRead,
    PlatformFailed,
    SeatGiven,
    SendGrant,
)
from cactuspass._tables import GivenSeat, ProcessKey, Tables
from cactuspass._writer import is_from_platform
from cactuspass.models import EntryId, Placement, Seat

__all__ = [
    "RightSystem",
    "current_user_of_seat",
    "holds",
    "may_hold",
    "may_remove_seat",
    "owns",
    "seat_owner",
    "used_seats",
]

RIGHT_SECONDS = 4.0
GRANT_SECONDS = 120.0
PROMISE_SECONDS = GRANT_SECONDS * 1.03
ASK_SECONDS = 1.0
SILENT_PLATFORM_SECONDS = 1.5
NEVER = float("-inf")
FOREVER = float("inf")


def may_remove_seat(tables: Tables, entry_id: EntryId, now: float) -> bool:
    """Tell whether this entry may write a placement without a seat.

    :return: True when the seat was given up or its process surely ended, or when its process
        cannot hold without the platform because it needs a grant of ours and has none.
    """
    seat = None if tables.placement is None else tables.placement.seats_by_entry.get(entry_id)
    if seat is None:
        return False
    if is_given(tables, seat) or is_gone(tables, seat):
        return True
    return own_seat(tables) is not None and needs_our_grant(tables, seat, now)


class RightSystem(System):
    """Adopts placements and keeps ``may_hold`` of the local row.

    The right lasts until ``RIGHT_SECONDS`` after the sending of the latest platform read that
    showed the placement unchanged, or until the first grant of another seat runs out. Once it
    has lapsed, grants are of no use until the platform confirms the placement again.
    """

    def __init__(self) -> None:
        self._adoption = Adoption()
        self._confirmed_at = NEVER
        self._confirmed_version = 0
        self._grants_by_process: dict[ProcessKey, float] = {}
        self._excused: set[ProcessKey] = set()
        self._newcomers: set[ProcessKey] = set()
        self._taken: set[ProcessKey] = set()
        self._has_lapsed = True
        self._platform_failed = False
        self._asked_at = NEVER
        self._ticked_at = NEVER

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply what the platform and the peers said, and ask for grants when needed."""
        self._check_clock(now)
        self._check_lapse(tables, now)
        before = tables.placement
        self._adoption.run(tables, inputs, now)
        self._note_newcomers(before, tables)
        orders = [order for message in inputs for order in self._handle(tables, message, now)]
        self._note_ended(tables, now)
        self._forget_lost_seats(tables)
        self._update_local(tables, now)
        return [*orders, *self._ask(tables, now), *_check_store(tables, now)]

    def _check_clock(self, now: float) -> None:
        """Drop everything that was timed by a clock that has gone back since."""
        if now < self._ticked_at:
            self._has_lapsed = True
            self._confirmed_at = NEVER
            self._grants_by_process.clear()
        self._ticked_at = now

    def _check_lapse(self, tables: Tables, now: float) -> None:
        by_peers = self._peers_until(tables, self._newcomers)
        if now >= max(self._platform_until(tables), by_peers):
            self._has_lapsed = True

    def _note_newcomers(self, before: Placement | None, tables: Tables) -> None:
        """Remember seats that a peer told of, whose first grant is only asked for now.

        The right is suspended, but has not lapsed, until they grant.
        """
        is_by_peer = tables.store_revision == 0
        if before is None or before is tables.placement or not is_by_peer:
            return
        known = {process_of(seat) for seat in before.seats_by_entry.values()}
        others = {process_of(seat) for seat in other_seats(tables)}
        self._newcomers = (self._newcomers & others) | (others - known)

    def _handle(self, tables: Tables, message: Input, now: float) -> list[Order]:
        if isinstance(message, PlacementRead):
            self._note_read(tables, message, now)
        elif isinstance(message, PlacementConfirmed):
            self._note_confirmed(tables, message, now)
        elif isinstance(message, PlatformFailed):
            self._platform_failed = True
        elif isinstance(message, Granted):
            self._note_granted(tables, message, now)
        elif isinstance(message, SeatGiven):
            self._note_given(tables, message)
        elif isinstance(message, GrantAsked):
            return _answer(tables, message, now)
        return []

    def _note_read(self, tables: Tables, read: PlacementRead, now: float) -> None:
        if not is_from_platform(read):
            return
        self._note_platform_answer(tables, now)
        if is_same_document(tables.placement, read.placement):
            self._confirm(tables, read.sent_at, now)

    def _note_confirmed(self, tables: Tables, message: PlacementConfirmed, now: float) -> None:
        self._note_platform_answer(tables, now)
        if message.store_revision > 0 and message.store_revision == tables.store_revision:
            self._confirm(tables, message.sent_at, now)

    def _note_platform_answer(self, tables: Tables, now: float) -> None:
        self._platform_failed = False
        tables.local.platform_ok_at = now

    def _confirm(self, tables: Tables, sent_at: float, now: float) -> None:
        if tables.placement is None or sent_at > now or sent_at + RIGHT_SECONDS <= now:
            return
        if self._confirmed_version == tables.placement.version:
            sent_at = max(sent_at, self._confirmed_at)
        self._confirmed_at = sent_at
        self._confirmed_version = tables.placement.version
        self._has_lapsed = False
        self._newcomers.clear()

    def _note_granted(self, tables: Tables, message: Granted, now: float) -> None:
        key = ProcessKey(message.entry_id, message.incarnation)
        is_known = any(process_of(seat) == key for seat in other_seats(tables))
        if not is_known or message.sent_at > now:
            return
        until = message.sent_at + min(message.period, GRANT_SECONDS)
        self._grants_by_process[key] = max(until, self._grants_by_process.get(key, NEVER))
        if until > now:
            self._newcomers.discard(key)

    def _note_given(self, tables: Tables, message: SeatGiven) -> None:
        """Learn who uses a seat now; take it once when it was given to this entry."""
        seat = message.seat
        key = process_of(seat)
        known = tables.given_seats_by_entry.get(seat.entry_id)
        version = message.placement_version
        if known is not None and known.seat == seat:
            version = max(version, known.placement_version)
            if has_given_seat(tables, message.to_entry):
                return
        is_ours = message.to_entry == tables.local.entry_id
        if key == tables.local.key or (is_ours and key in self._taken):
            return
        if is_ours:
            self._taken.add(key)
            tables.seats_held.add(seat.entry_id)
        tables.given_seats_by_entry[seat.entry_id] = GivenSeat(seat, message.to_entry, version)

    def _note_ended(self, tables: Tables, now: float) -> None:
        """Excuse processes that ended while their last grant still ran."""
        seats_by_process = {process_of(seat): seat for seat in other_seats(tables)}
        self._excused = {
            key
            for key, seat in seats_by_process.items()
            if key in self._excused
            or (is_gone(tables, seat) and self._grants_by_process.get(key, NEVER) > now)
        }

    def _forget_lost_seats(self, tables: Tables) -> None:
        """Drop what was kept of processes whose seats the placement has no longer."""
        if tables.placement is None:
            return
        placement = tables.placement
        seated = {process_of(seat) for seat in placement.seats_by_entry.values()}
        self._grants_by_process = _only(self._grants_by_process, seated)
        tables.promises_by_process = _only(tables.promises_by_process, seated)
        tables.seats_held &= placement.seats_by_entry.keys()
        tables.given_seats_by_entry = {
            entry_id: given
            for entry_id, given in tables.given_seats_by_entry.items()
            if given.placement_version > placement.version
            or process_of(given.seat) in {*seated, tables.local.key}
        }

    def _platform_until(self, tables: Tables) -> float:
        if tables.placement is None or tables.placement.version != self._confirmed_version:
            return NEVER
        return self._confirmed_at + RIGHT_SECONDS

    def _peers_until(self, tables: Tables, ignored: set[ProcessKey]) -> float:
        if tables.placement is None:
            return NEVER
        seats = (seat for seat in other_seats(tables) if process_of(seat) not in ignored)
        return min((self._granted_until(tables, seat) for seat in seats), default=FOREVER)

    def _granted_until(self, tables: Tables, seat: Seat) -> float:
        if process_of(seat) in self._excused or _was_given_before(tables, seat):
            return FOREVER
        return self._grants_by_process.get(process_of(seat), NEVER)

    def _update_local(self, tables: Tables, now: float) -> None:
        by_peers = NEVER if self._has_lapsed else self._peers_until(tables, set())
        local = tables.local
        local.may_hold_until = max(self._platform_until(tables), by_peers)
        local.may_hold_from = now
        local.may_hold = bool(used_seats(tables)) and now < local.may_hold_until

    def _ask(self, tables: Tables, now: float) -> list[Order]:
        ok_at = tables.local.platform_ok_at
        is_silent = ok_at is None or now - ok_at >= SILENT_PLATFORM_SECONDS
        is_wanted = (self._platform_failed or is_silent) and not self._has_lapsed
        is_due = now >= self._asked_at + ASK_SECONDS
        if tables.placement is None or not is_wanted or not is_due or not used_seats(tables):
            return []
        self._asked_at = now
        return [
            AskGrant(seat.entry_id, tables.placement.version, now)
            for seat in other_seats(tables)
            if self._granted_until(tables, seat) - now < GRANT_SECONDS / 2
        ]


def _only(times: dict[ProcessKey, float], keys: set[ProcessKey]) -> dict[ProcessKey, float]:
    return {key: time for key, time in times.items() if key in keys}


def _check_store(tables: Tables, now: float) -> list[AlarmChanged]:
    subject = f"placement/{tables.local.data_centre}"
    if not tables.store_reverted or tables.placement is None:
        return clear_alarm(tables, AlarmKind.STORE_REVERTED, subject)
    detail = f"the platform lost version {tables.placement.version}, which is held here"
    return raise_alarm(tables, AlarmKind.STORE_REVERTED, subject, detail, now)


def _was_given_before(tables: Tables, seat: Seat) -> bool:
    """Tell whether a seat was given up by a process that wrote no placement after the held one."""
    if tables.placement is None or not is_given(tables, seat):
        return False
    given = tables.given_seats_by_entry[seat.entry_id]
    return given.placement_version <= tables.placement.version


def _answer(tables: Tables, message: GrantAsked, now: float) -> list[Order]:
    """Grant what was asked, if this entry can keep the promise."""
    placement = tables.placement
    if placement is None or message.placement_version != placement.version:
        return []
    key = ProcessKey(message.entry_id, message.incarnation)
    seat = placement.seats_by_entry.get(message.entry_id)
    if seat is None or process_of(seat) != key or not used_seats(tables):
        return []
    if message.entry_id in tables.removals_under_way:
        return []
    until = now + PROMISE_SECONDS
    tables.promises_by_process[key] = max(until, tables.promises_by_process.get(key, NEVER))
    return [SendGrant(message.entry_id, placement.version, message.sent_at, GRANT_SECONDS)]
