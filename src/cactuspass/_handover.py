"""Hands over the seats of a draining entry to a peer."""

from collections import Counter
from collections.abc import Iterable, Sequence

from cactuspass._core import System
from cactuspass._holding import has_handed_over_seat, own_seat, owning_seat, used_seats
from cactuspass._membership import is_live, is_seat_live
from cactuspass._messages import HandOverSeat, Input, Order
from cactuspass._tables import EntryRow, HandedOverSeat, Tables
from cactuspass.models import EntryId, GroupId, Placement, Seat

REPEAT_INTERVAL_SECONDS = 1.0


class HandoverSystem(System):
    """Hands over all seats permanently once this entry drains, even during a platform outage.

    The handover is delayed while a write of this entry may still remove a seat, because peers
    rely on there being no such write once they receive the handover. The message is repeated
    until the placement no longer contains the seat, so that a lost message leaves no seat unused.
    """

    def __init__(self) -> None:
        self._orders: list[HandOverSeat] = []
        self._sent_at = float("-inf")

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Hand over the seats to one live peer, after which this entry holds no groups."""
        if not tables.local.draining or tables.placement is None:
            return ()
        if not self._orders and not tables.pending_seat_removals and own_seat(tables) is not None:
            self._orders = _hand_over_all(tables, tables.placement, now)
        elif now < self._sent_at + REPEAT_INTERVAL_SECONDS:
            return ()
        self._sent_at = now
        seats = tables.placement.seats_by_entry.values()
        return [order for order in self._orders if order.seat in seats]


def _hand_over_all(tables: Tables, placement: Placement, now: float) -> list[HandOverSeat]:
    successor = _choose_successor(tables, now)
    if successor is None:
        return []
    seat_ids = sorted(used_seats(tables))
    orders = [_hand_over(tables, placement, seat_id, successor) for seat_id in seat_ids]
    for order in orders:
        _record_handover(tables, order)
    return orders


def _choose_successor(tables: Tables, now: float) -> EntryId | None:
    """Return the live peer with a seat that holds the fewest groups, None if there is none."""
    if tables.placement is None:
        return None
    rows_by_id = tables.entries_by_id
    candidates = [
        rows_by_id[seat.entry_id]
        for seat in tables.placement.seats_by_entry.values()
        if is_seat_live(tables, seat, now) and _can_accept(tables, rows_by_id[seat.entry_id], now)
    ]
    best = min(candidates, key=lambda row: (len(row.groups_by_id), row.entry_id), default=None)
    return None if best is None else best.entry_id


def _can_accept(tables: Tables, row: EntryRow, now: float) -> bool:
    if tables.placement is None or has_handed_over_seat(tables, row.entry_id):
        return False
    has_same_placement = row.placement_version == tables.placement.version
    return is_live(row, now) and row.ready and not row.draining and has_same_placement


def _hand_over(
    tables: Tables, placement: Placement, seat_id: EntryId, successor: EntryId
) -> HandOverSeat:
    running = _running_by_group(tables, placement, seat_id)
    return HandOverSeat(successor, placement.seats_by_entry[seat_id], placement.version, running)


def _running_by_group(tables: Tables, placement: Placement, seat_id: EntryId) -> dict[GroupId, int]:
    seats = placement.seats_by_entry
    running = Counter(
        {
            group_id: len(row.requests) + row.foreign_request_count
            for group_id, row in tables.held_groups_by_id.items()
            if owning_seat(seats, group_id) == seat_id
        }
    )
    return dict(+running)


def _record_handover(tables: Tables, order: HandOverSeat) -> None:
    seat: Seat = order.seat
    tables.acquired_seats.discard(seat.entry_id)
    tables.handed_over_seats_by_entry[seat.entry_id] = HandedOverSeat(
        seat, order.to_entry, order.placement_version
    )
