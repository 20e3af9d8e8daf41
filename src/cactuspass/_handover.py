"""Gives the seats of a leaving entry to a peer."""

from collections import Counter
from collections.abc import Iterable, Sequence

from cactuspass._core import System
from cactuspass._holding import has_handed_over_seat, own_seat, owning_seat, used_seats
from cactuspass._membership import is_live, is_seat_live
from cactuspass._messages import HandOverSeat, Input, Order
from cactuspass._tables import EntryRow, HandedOverSeat, Tables
from cactuspass.models import EntryId, GroupId, Placement, Seat

REPEAT_SECONDS = 1.0


class HandoverSystem(System):
    """Gives up every seat for good once this entry drains, also while the platform is out.

    It waits while a write of ours may still remove a seat, because a peer that learns that this
    seat was given up relies on that. The word is repeated until the placement has the seat no
    longer, so that a lost message leaves no seat unused.
    """

    def __init__(self) -> None:
        self._given: list[HandOverSeat] = []
        self._sent_at = float("-inf")

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Give the seats to one live peer; from then on this entry holds nothing."""
        if not tables.local.draining or tables.placement is None:
            return ()
        if not self._given and not tables.pending_seat_removals and own_seat(tables) is not None:
            self._given = _give_all(tables, tables.placement, now)
        elif now < self._sent_at + REPEAT_SECONDS:
            return ()
        self._sent_at = now
        seats = tables.placement.seats_by_entry.values()
        return [order for order in self._given if order.seat in seats]


def _give_all(tables: Tables, placement: Placement, now: float) -> list[HandOverSeat]:
    heir = _choose_heir(tables, now)
    if heir is None:
        return []
    seat_ids = sorted(used_seats(tables))
    orders = [_give(tables, placement, seat_id, heir) for seat_id in seat_ids]
    for order in orders:
        _note_given(tables, order)
    return orders


def _choose_heir(tables: Tables, now: float) -> EntryId | None:
    """Choose the live peer with a seat that holds the fewest groups."""
    if tables.placement is None:
        return None
    rows_by_id = tables.entries_by_id
    heirs = [
        rows_by_id[seat.entry_id]
        for seat in tables.placement.seats_by_entry.values()
        if is_seat_live(tables, seat, now) and _can_take(tables, rows_by_id[seat.entry_id], now)
    ]
    best = min(heirs, key=lambda row: (len(row.groups_by_id), row.entry_id), default=None)
    return None if best is None else best.entry_id


def _can_take(tables: Tables, row: EntryRow, now: float) -> bool:
    if tables.placement is None or has_handed_over_seat(tables, row.entry_id):
        return False
    knows_placement = row.placement_version == tables.placement.version
    return is_live(row, now) and row.ready and not row.draining and knows_placement


def _give(tables: Tables, placement: Placement, seat_id: EntryId, heir: EntryId) -> HandOverSeat:
    held = _held_by_group(tables, placement, seat_id)
    return HandOverSeat(heir, placement.seats_by_entry[seat_id], placement.version, held)


def _held_by_group(tables: Tables, placement: Placement, seat_id: EntryId) -> dict[GroupId, int]:
    seats = placement.seats_by_entry
    running = Counter(
        {
            group_id: len(row.requests) + row.foreign_request_count
            for group_id, row in tables.held_groups_by_id.items()
            if owning_seat(seats, group_id) == seat_id
        }
    )
    return dict(+running)


def _note_given(tables: Tables, order: HandOverSeat) -> None:
    seat: Seat = order.seat
    tables.acquired_seats.discard(seat.entry_id)
    tables.handed_over_seats_by_entry[seat.entry_id] = HandedOverSeat(
        seat, order.to_entry, order.placement_version
    )
