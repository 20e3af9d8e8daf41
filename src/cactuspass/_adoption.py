"""Adopts newer placements and determines when earlier holders of groups must have stopped."""

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

SETTLE_DELAY_SECONDS = 5.0


class PlacementAdoption:
    """Applies the reads of this data centre's placement.

    Each change of the seats starts an epoch and leaves the earlier one unsettled: until every
    other process is known to have the change or to have lost its right, this entry may send only
    to the groups that it has held throughout.
    """

    def __init__(self) -> None:
        self._latest_read: PlacementRead | None = None
        self._adopted_at = float("-inf")
        self._epoch_changed_at = float("-inf")
        self._epoch_version = 0
        self._settle_until = float("-inf")

    def run(self, tables: Tables, inputs: Iterable[Input], now: float) -> None:
        """Apply the reads of one tick, and settle the earlier epochs when no process uses them."""
        own = tables.local.data_centre
        for message in inputs:
            if isinstance(message, PlacementRead) and message.placement.data_centre == own:
                self._apply_read(tables, message, now)
            elif isinstance(message, PlacementConfirmed):
                self._apply_confirmation(tables, message, now)
        if tables.unsettled_epochs and self._is_settled(tables, now):
            tables.unsettled_epochs = ()

    def _apply_confirmation(self, tables: Tables, message: PlacementConfirmed, now: float) -> None:
        """Apply a confirmation as another read of the same document."""
        read = self._latest_read
        if read is not None and read.store_revision == message.store_revision:
            self._apply_read(tables, replace(read, sent_at=message.sent_at), now)

    def _apply_read(self, tables: Tables, read: PlacementRead, now: float) -> None:
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
            needs_no_delay = all(
                is_handed_over(tables, seat) or has_ended(tables, seat)
                for seat in _removed_seats(held, placement)
            )
        else:
            snapshot = SeatSnapshot(frozenset(), frozenset())
            needs_no_delay = held is None and _is_first_document(tables, placement)
        if not needs_no_delay:
            self._settle_until = now + SETTLE_DELAY_SECONDS
        tables.unsettled_epochs = (*tables.unsettled_epochs, snapshot)
        self._epoch_changed_at = now
        self._epoch_version = placement.version
        _update_seated_since(tables, placement)

    def _is_settled(self, tables: Tables, now: float) -> bool:
        if now < self._settle_until:
            return False
        return all(self._has_stopped_holding(tables, seat, now) for seat in other_seats(tables))

    def _has_stopped_holding(self, tables: Tables, seat: Seat, now: float) -> bool:
        """Return whether a process can no longer hold groups under an earlier epoch."""
        if is_handed_over(tables, seat) or has_ended(tables, seat):
            return True
        row = tables.entries_by_id.get(seat.entry_id)
        if (
            row is not None
            and row.incarnation == seat.incarnation
            and row.placement_version >= self._epoch_version
        ):
            return True
        return now >= self._epoch_changed_at + SETTLE_DELAY_SECONDS and lacks_required_grant(
            tables, seat, now
        )


def lacks_required_grant(tables: Tables, seat: Seat, now: float) -> bool:
    """Return whether a process lacks the grant of this entry that it needs without the platform.

    It needs the grant when its heartbeat showed a placement that contains the seat of this
    process. Without it, it cannot hold groups once its confirmation by the platform expires.
    """
    row = tables.entries_by_id.get(seat.entry_id)
    seated_since_version = tables.local.seated_since_version
    if row is None or row.incarnation != seat.incarnation or seated_since_version == 0:
        return False
    if row.placement_version < seated_since_version:
        return False
    block = tables.removal_blocks_by_process.get(process_key(seat))
    return block is None or now >= block.until


def is_same_document(held: Placement | None, read: Placement) -> bool:
    """Return whether a read shows the same write of the document as the placement held here."""
    return held is not None and (held.version, held.write_id) == (read.version, read.write_id)


def _removed_seats(held: Placement, placement: Placement) -> list[Seat]:
    kept = placement.seats_by_entry
    return [seat for seat in held.seats_by_entry.values() if kept.get(seat.entry_id) != seat]


def _is_first_document(tables: Tables, placement: Placement) -> bool:
    """Return whether this process created the document and no peer has had another one."""
    peers_have_placement = any(row.placement_version > 0 for row in tables.entries_by_id.values())
    return placement.version == 1 and is_own_write(tables, placement) and not peers_have_placement


def _update_seated_since(tables: Tables, placement: Placement) -> None:
    local = tables.local
    seat = placement.seats_by_entry.get(local.entry_id)
    if seat is None or process_key(seat) != local.key:
        local.seated_since_version = 0
    elif own_seat(tables) is None:
        local.seated_since_version = placement.version
