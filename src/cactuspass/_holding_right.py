"""Decides whether this entry process may use its seats, by the platform or by its peers."""

from collections.abc import Iterable, Sequence

from cactuspass._adoption import Adoption, is_same_document, needs_our_grant
from cactuspass._alarms import clear_alarm, raise_alarm
from cactuspass._core import System
from cactuspass._grants import GRANT_SECONDS, NEVER, PeerGrants, answer_ask
from cactuspass._holding import (
    current_user_of_seat,
    has_ended,
    has_handed_over_seat,
    holds,
    is_handed_over,
    may_hold,
    own_seat,
    owns,
    process_key,
    seat_owner,
    used_seats,
)
from cactuspass._messages import (
    AlarmChanged,
    AlarmKind,
    GrantReceived,
    GrantRequested,
    Input,
    Order,
    PlacementConfirmed,
    PlacementRead,
    PlatformFailed,
    RequestGrant,
    SeatHandoverReceived,
)
from cactuspass._placement_writer import is_from_platform
from cactuspass._tables import HandedOverSeat, ProcessKey, Tables
from cactuspass.models import EntryId

__all__ = [
    "GRANT_SECONDS",
    "HoldingRightSystem",
    "current_user_of_seat",
    "holds",
    "may_hold",
    "may_remove_seat",
    "owns",
    "seat_owner",
    "used_seats",
]

RIGHT_SECONDS = 4.0
PLATFORM_UNRESPONSIVE_SECONDS = 1.5


def may_remove_seat(tables: Tables, entry_id: EntryId, now: float) -> bool:
    """Tell whether this entry may write a placement without a seat.

    :return: True when the seat was given up or its process surely ended, or when its process
        cannot hold without the platform because it needs a grant of ours and has none.
    """
    seat = None if tables.placement is None else tables.placement.seats_by_entry.get(entry_id)
    if seat is None:
        return False
    if is_handed_over(tables, seat) or has_ended(tables, seat):
        return True
    return own_seat(tables) is not None and needs_our_grant(tables, seat, now)


class HoldingRightSystem(System):
    """Adopts placements and keeps ``may_hold`` of the local row.

    The right lasts until ``RIGHT_SECONDS`` after the sending of the latest platform read that
    showed the placement unchanged, or until the first grant of another seat runs out. Once it
    has lapsed, grants are of no use until the platform confirms the placement again.
    """

    def __init__(self) -> None:
        self._adoption = Adoption()
        self._confirmed_at = NEVER
        self._confirmed_version = 0
        self._grants = PeerGrants()
        self._taken: set[ProcessKey] = set()
        self._has_lapsed = True
        self._platform_failed = False
        self._ticked_at = NEVER

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply what the platform and the peers said, and ask for grants when needed."""
        self._check_clock(now)
        self._check_lapse(tables, now)
        before = tables.placement
        self._adoption.run(tables, inputs, now)
        self._grants.note_adopted(before, tables)
        orders = [order for message in inputs for order in self._handle(tables, message, now)]
        self._grants.note_ended(tables, now)
        _forget_lost_seats(tables, now)
        self._update_local(tables, now)
        return [*orders, *self._ask(tables, now), *_check_store(tables, now)]

    def _check_clock(self, now: float) -> None:
        """Drop everything that was timed by a clock that has gone back since."""
        if now < self._ticked_at:
            self._has_lapsed = True
            self._confirmed_at = NEVER
            self._grants.clear()
        self._ticked_at = now

    def _check_lapse(self, tables: Tables, now: float) -> None:
        by_peers = self._grants.lapse_at(tables)
        if now >= max(self._platform_until(tables), by_peers):
            self._has_lapsed = True

    def _handle(self, tables: Tables, message: Input, now: float) -> list[Order]:
        if isinstance(message, PlacementRead):
            self._note_read(tables, message, now)
        elif isinstance(message, PlacementConfirmed):
            self._note_confirmed(tables, message, now)
        elif isinstance(message, PlatformFailed):
            self._platform_failed = True
        elif isinstance(message, GrantReceived):
            self._grants.note_granted(tables, message, now)
        elif isinstance(message, SeatHandoverReceived):
            self._note_given(tables, message)
        elif isinstance(message, GrantRequested):
            return [*answer_ask(tables, message, now)]
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
        tables.local.platform_answered_at = now

    def _confirm(self, tables: Tables, sent_at: float, now: float) -> None:
        if tables.placement is None or sent_at > now or sent_at + RIGHT_SECONDS <= now:
            return
        if self._confirmed_version == tables.placement.version:
            sent_at = max(sent_at, self._confirmed_at)
        self._confirmed_at = sent_at
        self._confirmed_version = tables.placement.version
        self._has_lapsed = False
        self._grants.end_suspension()

    def _note_given(self, tables: Tables, message: SeatHandoverReceived) -> None:
        """Learn who uses a seat now; take it once when it was given to this entry."""
        seat = message.seat
        key = process_key(seat)
        known = tables.handed_over_seats_by_entry.get(seat.entry_id)
        version = message.placement_version
        if known is not None and known.seat == seat:
            version = max(version, known.placement_version)
            if has_handed_over_seat(tables, message.to_entry):
                return
        is_ours = message.to_entry == tables.local.entry_id
        if key == tables.local.key or (is_ours and key in self._taken):
            return
        if is_ours:
            self._taken.add(key)
            tables.acquired_seats.add(seat.entry_id)
        tables.handed_over_seats_by_entry[seat.entry_id] = HandedOverSeat(
            seat, message.to_entry, version
        )

    def _platform_until(self, tables: Tables) -> float:
        if tables.placement is None or tables.placement.version != self._confirmed_version:
            return NEVER
        return self._confirmed_at + RIGHT_SECONDS

    def _update_local(self, tables: Tables, now: float) -> None:
        by_peers = NEVER if self._has_lapsed else self._grants.until(tables)
        local = tables.local
        local.may_hold_until = max(self._platform_until(tables), by_peers)
        local.may_hold_from = now
        local.may_hold = bool(used_seats(tables)) and now < local.may_hold_until

    def _ask(self, tables: Tables, now: float) -> list[RequestGrant]:
        ok_at = tables.local.platform_answered_at
        is_silent = ok_at is None or now - ok_at >= PLATFORM_UNRESPONSIVE_SECONDS
        is_wanted = (self._platform_failed or is_silent) and not self._has_lapsed
        return self._grants.ask(tables, now) if is_wanted else []


def _forget_lost_seats(tables: Tables, now: float) -> None:
    """Drop the seats that the placement has no longer, and promises that ran out."""
    if tables.placement is None:
        return
    placement = tables.placement
    kept = {process_key(seat) for seat in placement.seats_by_entry.values()} | {tables.local.key}
    tables.acquired_seats &= placement.seats_by_entry.keys()
    tables.handed_over_seats_by_entry = {
        entry_id: given
        for entry_id, given in tables.handed_over_seats_by_entry.items()
        if given.placement_version > placement.version or process_key(given.seat) in kept
    }
    tables.removal_blocked_until_by_process = {
        key: until for key, until in tables.removal_blocked_until_by_process.items() if until > now
    }


def _check_store(tables: Tables, now: float) -> list[AlarmChanged]:
    subject = f"placement/{tables.local.data_centre}"
    if not tables.store_reverted or tables.placement is None:
        return clear_alarm(tables, AlarmKind.STORE_REVERTED, subject)
    detail = f"the platform lost version {tables.placement.version}, which is held here"
    return raise_alarm(tables, AlarmKind.STORE_REVERTED, subject, detail, now)
