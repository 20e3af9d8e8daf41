"""Adopts newer versions of the placement and finds when earlier holders must have stopped."""

from collections.abc import Iterable
from dataclasses import replace

from cactuspass._holding import (
    has_ended,
    is_handed_over,
    other_seats,
    own_seat,
    process_key,
    used_seats,
)
from cactuspass._messages import Input, PlacementConfirmed, PlacementRead
from cactuspass._placement_writer import is_from_platform, is_own_write
from cactuspass._tables import SeatSnapshot, Tables
from cactuspass.models import Placement, Seat

SETTLE_SECONDS = 5.0


class Adoption:
    """Follows the reads of the own data centre's placement.

    Each change of the seats leaves an earlier epoch unsettled: until it is known that every
    other process has learned of the change or lost its right, only the groups that this entry
    held all along may be sent to.
    """

    def __init__(self) -> None:
        self._latest_read: PlacementRead | None = None
        self._adopted_at = float("-inf")
        self._epoch_at = float("-inf")
        self._epoch_version = 0
        self._settle_until = float("-inf")

    def run(self, tables: Tables, inputs: Iterable[Input], now: float) -> None:
        """Apply the reads of one tick and settle the earlier epochs when possible."""
        own = tables.local.data_centre
        for message in inputs:
            if isinstance(message, PlacementRead) and message.placement.data_centre == own:
                self._note_read(tables, message, now)
            elif isinstance(message, PlacementConfirmed):
                self._note_confirmed(tables, message, now)
        if tables.unsettled_epochs and self._is_settled(tables, now):
            tables.unsettled_epochs = ()

    def _note_confirmed(self, tables: Tables, message: PlacementConfirmed, now: float) -> None:
        """Treat a confirmation as another read of the same document."""
        read = self._latest_read
        if read is not None and read.store_revision == message.store_revision:
            self._note_read(tables, replace(read, sent_at=message.sent_at), now)

    def _note_read(self, tables: Tables, read: PlacementRead, now: float) -> None:
        from_platform = is_from_platform(read)
        latest = self._latest_read
        if from_platform and latest is not None and read.sent_at < latest.sent_at:
            return
        if from_platform:
            self._latest_read = read
        held = tables.placement
        if read.placement.version > (held.version if held else 0):
            self._adopt(tables, read.placement, now)
            tables.store_revision = read.store_revision
            tables.store_reverted = False
        elif from_platform and is_same_document(held, read.placement):
            tables.store_revision = read.store_revision
            tables.store_reverted = False
        elif from_platform and held is not None and read.sent_at >= self._adopted_at:
            tables.store_revision = 0
            tables.store_reverted = True

    def _adopt(self, tables: Tables, placement: Placement, now: float) -> None:
        self._adopted_at = now
        held = tables.placement
        if held is None or held.epoch != placement.epoch:
            self._change_epoch(tables, held, placement, now)
        tables.placement = placement

    def _change_epoch(
        self, tables: Tables, held: Placement | None, placement: Placement, now: float
    ) -> None:
        if held is not None and placement.epoch == held.epoch + 1:
            snapshot = SeatSnapshot(frozenset(held.seats_by_entry), used_seats(tables))
            is_quick = all(
                is_handed_over(tables, seat) or has_ended(tables, seat)
                for seat in _lost(held, placement)
            )
        else:
            snapshot = SeatSnapshot(frozenset(), frozenset())
            is_quick = held is None and _is_first(tables, placement)
        if not is_quick:
            self._settle_until = now + SETTLE_SECONDS
        tables.unsettled_epochs = (*tables.unsettled_epochs, snapshot)
        self._epoch_at = now
        self._epoch_version = placement.version
        _note_joined(tables, placement)

    def _is_settled(self, tables: Tables, now: float) -> bool:
        if now < self._settle_until:
            return False
        return all(self._has_stopped(tables, seat, now) for seat in other_seats(tables))

    def _has_stopped(self, tables: Tables, seat: Seat, now: float) -> bool:
        """Tell whether a process cannot hold any group under an earlier epoch."""
        if is_handed_over(tables, seat) or has_ended(tables, seat):
            return True
        row = tables.entries_by_id.get(seat.entry_id)
        if (
            row is not None
            and row.incarnation == seat.incarnation
            and row.placement_version >= self._epoch_version
        ):
            return True
        return now >= self._epoch_at + SETTLE_SECONDS and needs_our_grant(tables, seat, now)


def needs_our_grant(tables: Tables, seat: Seat, now: float) -> bool:
    """Tell whether a process needs a grant of ours to hold without the platform, and has none.

    It needs one when it has told us that it knows a placement with the seat of this process.
    """
    row = tables.entries_by_id.get(seat.entry_id)
    seated_since_version = tables.local.seated_since_version
    if row is None or row.incarnation != seat.incarnation or seated_since_version == 0:
        return False
    if row.placement_version < seated_since_version:
        return False
    return now >= tables.removal_blocked_until_by_process.get(process_key(seat), float("-inf"))


def is_same_document(held: Placement | None, read: Placement) -> bool:
    """Tell whether a read shows the very version that is held."""
    return held is not None and (held.version, held.write_id) == (read.version, read.write_id)


def _lost(held: Placement, placement: Placement) -> list[Seat]:
    kept = placement.seats_by_entry
    return [seat for seat in held.seats_by_entry.values() if kept.get(seat.entry_id) != seat]


def _is_first(tables: Tables, placement: Placement) -> bool:
    """Tell whether this process created the document and no peer has known another."""
    peers_know = any(row.placement_version > 0 for row in tables.entries_by_id.values())
    return placement.version == 1 and is_own_write(tables, placement) and not peers_know


def _note_joined(tables: Tables, placement: Placement) -> None:
    local = tables.local
    seat = placement.seats_by_entry.get(local.entry_id)
    if seat is None or process_key(seat) != local.key:
        local.seated_since_version = 0
    elif own_seat(tables) is None:
        local.seated_since_version = placement.version
