"""Maintains the right of this entry process to hold groups.

The right comes from a read of the placement on the platform, or from grants of the peers.
"""

from collections.abc import Iterable, Sequence

from cactuspass._adoption import PlacementAdoption, is_same_document, lacks_required_grant
from cactuspass._alarms import clear_alarm, raise_alarm
from cactuspass._core import System
from cactuspass._grants import (
    GRANT_SECONDS,
    NEVER,
    PeerGrants,
    accept_returned_grants,
    answer_grant_request,
)
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
    HeartbeatReceived,
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

HOLDING_RIGHT_SECONDS = 4.0
PLATFORM_UNRESPONSIVE_SECONDS = 1.5
# A platform that fails again within this time would have the grants requested again.
GRANT_RETURN_DELAY_SECONDS = 3.0


def may_remove_seat(tables: Tables, entry_id: EntryId, now: float) -> bool:
    """Return whether this entry may write a placement without the seat of an entry.

    :return: True when the seat was handed over, its process has certainly ended, or its process
        cannot hold groups without the platform because it lacks a grant of this entry.
    """
    seat = None if tables.placement is None else tables.placement.seats_by_entry.get(entry_id)
    if seat is None:
        return False
    if is_handed_over(tables, seat) or has_ended(tables, seat):
        return True
    return own_seat(tables) is not None and lacks_required_grant(tables, seat, now)


class HoldingRightSystem(System):
    """Adopts placements and updates ``may_hold`` of the local row.

    The right lasts until ``HOLDING_RIGHT_SECONDS`` after the latest platform read that found the
    placement unchanged was sent, or until the first of the grants of the other seats expires,
    whichever is later. After it has lapsed, grants have no effect until the platform confirms
    the placement again.

    Once the platform has answered for ``GRANT_RETURN_DELAY_SECONDS``, all grants are returned:
    while one is in force, the peers can't take the groups over if this process ends.
    """

    def __init__(self) -> None:
        self._adoption = PlacementAdoption()
        self._confirmed_at = NEVER
        self._confirmed_version = 0
        self._grants = PeerGrants()
        self._acquired: set[ProcessKey] = set()
        self._has_lapsed = True
        self._platform_failed = False
        self._grants_needed_at = NEVER
        self._ticked_at = NEVER

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply the messages of the platform and the peers, and request grants when needed."""
        self._check_clock(now)
        self._check_lapse(tables, now)
        before = tables.placement
        self._adoption.run(tables, inputs, now)
        self._grants.apply_adoption(before, tables)
        orders = [order for message in inputs for order in self._handle(tables, message, now)]
        self._grants.exempt_ended_processes(tables, now)
        _discard_removed_seats(tables, now)
        # Before the peers can learn of it, the right must no longer count on returned grants.
        self._return_grants(tables, now)
        self._update_local(tables, now)
        return [*orders, *self._request_grants(tables, now), *_update_store_alarm(tables, now)]

    def _check_clock(self, now: float) -> None:
        """Discard all earlier times when the clock has gone back."""
        if now < self._ticked_at:
            self._has_lapsed = True
            self._confirmed_at = NEVER
            self._grants.clear()
        self._ticked_at = now

    def _check_lapse(self, tables: Tables, now: float) -> None:
        peer_expiry = self._grants.lapse_time(tables)
        if now >= max(self._platform_expiry(tables), peer_expiry):
            self._has_lapsed = True

    def _handle(self, tables: Tables, message: Input, now: float) -> list[Order]:
        if isinstance(message, PlacementRead):
            self._apply_read(tables, message, now)
        elif isinstance(message, PlacementConfirmed):
            self._apply_confirmation(tables, message, now)
        elif isinstance(message, PlatformFailed):
            self._platform_failed = True
        elif isinstance(message, GrantReceived):
            self._grants.apply_grant(tables, message, now)
        elif isinstance(message, SeatHandoverReceived):
            self._apply_handover(tables, message)
        elif isinstance(message, GrantRequested):
            return [*answer_grant_request(tables, message, now)]
        elif isinstance(message, HeartbeatReceived):
            accept_returned_grants(tables, message)
        return []

    def _apply_read(self, tables: Tables, read: PlacementRead, now: float) -> None:
        if not is_from_platform(read):
            return
        self._record_platform_answer(tables, now)
        if is_same_document(tables.placement, read.placement):
            self._confirm(tables, read.sent_at, now)

    def _apply_confirmation(self, tables: Tables, message: PlacementConfirmed, now: float) -> None:
        self._record_platform_answer(tables, now)
        if message.store_revision > 0 and message.store_revision == tables.store_revision:
            self._confirm(tables, message.sent_at, now)

    def _record_platform_answer(self, tables: Tables, now: float) -> None:
        self._platform_failed = False
        tables.local.platform_answered_at = now

    def _confirm(self, tables: Tables, sent_at: float, now: float) -> None:
        if tables.placement is None or sent_at > now or sent_at + HOLDING_RIGHT_SECONDS <= now:
            return
        if self._confirmed_version == tables.placement.version:
            sent_at = max(sent_at, self._confirmed_at)
        self._confirmed_at = sent_at
        self._confirmed_version = tables.placement.version
        self._has_lapsed = False
        self._grants.end_suspension()

    def _apply_handover(self, tables: Tables, message: SeatHandoverReceived) -> None:
        """Record which entry uses a seat now, and acquire it once if that is this entry."""
        seat = message.seat
        key = process_key(seat)
        known = tables.handed_over_seats_by_entry.get(seat.entry_id)
        version = message.placement_version
        if known is not None and known.seat == seat:
            version = max(version, known.placement_version)
            if has_handed_over_seat(tables, message.to_entry):
                return
        is_ours = message.to_entry == tables.local.entry_id
        if key == tables.local.key or (is_ours and key in self._acquired):
            return
        if is_ours:
            self._acquired.add(key)
            tables.acquired_seats.add(seat.entry_id)
        tables.handed_over_seats_by_entry[seat.entry_id] = HandedOverSeat(
            seat, message.to_entry, version
        )

    def _platform_expiry(self, tables: Tables) -> float:
        if tables.placement is None or tables.placement.version != self._confirmed_version:
            return NEVER
        return self._confirmed_at + HOLDING_RIGHT_SECONDS

    def _update_local(self, tables: Tables, now: float) -> None:
        peer_expiry = NEVER if self._has_lapsed else self._grants.earliest_expiry(tables)
        local = tables.local
        local.may_hold_until = max(self._platform_expiry(tables), peer_expiry)
        local.may_hold_from = now
        local.may_hold = bool(used_seats(tables)) and now < local.may_hold_until

    def _return_grants(self, tables: Tables, now: float) -> None:
        """Return all grants when the platform alone has given the right for a while."""
        is_confirmed = now < self._platform_expiry(tables)
        if self._is_platform_away(tables, now) or not is_confirmed:
            self._grants_needed_at = now
        elif now - self._grants_needed_at >= GRANT_RETURN_DELAY_SECONDS:
            self._grants.return_all(tables)

    def _request_grants(self, tables: Tables, now: float) -> list[RequestGrant]:
        needs_grants = self._is_platform_away(tables, now) and not self._has_lapsed
        return self._grants.request_missing(tables, now) if needs_grants else []

    def _is_platform_away(self, tables: Tables, now: float) -> bool:
        """Return whether the last call of the platform failed or it has not answered for long."""
        answered_at = tables.local.platform_answered_at
        is_unresponsive = answered_at is None or now - answered_at >= PLATFORM_UNRESPONSIVE_SECONDS
        return self._platform_failed or is_unresponsive


def _discard_removed_seats(tables: Tables, now: float) -> None:
    """Discard records of seats that the placement no longer has, and expired removal blocks."""
    if tables.placement is None:
        return
    placement = tables.placement
    kept = {process_key(seat) for seat in placement.seats_by_entry.values()} | {tables.local.key}
    tables.acquired_seats &= placement.seats_by_entry.keys()
    tables.handed_over_seats_by_entry = {
        entry_id: handed_over
        for entry_id, handed_over in tables.handed_over_seats_by_entry.items()
        if handed_over.placement_version > placement.version
        or process_key(handed_over.seat) in kept
    }
    tables.removal_blocks_by_process = {
        key: block for key, block in tables.removal_blocks_by_process.items() if block.until > now
    }


def _update_store_alarm(tables: Tables, now: float) -> list[AlarmChanged]:
    subject = f"placement/{tables.local.data_centre}"
    if not tables.store_reverted or tables.placement is None:
        return clear_alarm(tables, AlarmKind.STORE_REVERTED, subject)
    detail = f"the platform lost version {tables.placement.version}, which is held here"
    return raise_alarm(tables, AlarmKind.STORE_REVERTED, subject, detail, now)
