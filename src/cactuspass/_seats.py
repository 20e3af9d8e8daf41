"""Decides when this entry adds or removes seats in the placement of its data centre.

A seat registers one entry process in the placement. The groups are distributed over the seats.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace
from functools import partial

from cactuspass._core import System
from cactuspass._holding import (
    has_ended,
    has_handed_over_own_seat,
    is_handed_over,
    other_seats,
    own_seat,
    process_key,
    used_seats,
)
from cactuspass._holding_right import may_remove_seat
from cactuspass._membership import is_seat_live, live_local_entries
from cactuspass._messages import Input, Order
from cactuspass._placement_writer import PlacementWriter
from cactuspass._tables import ProcessKey, Tables
from cactuspass.models import EntryId, Placement, Seat

SEAT_REMOVAL_DELAY_SECONDS = 4.0
FAILOVER_DELAY_SECONDS = 2.0
JOIN_STAGGER_SECONDS = 0.2
PAUSE_THRESHOLD_SECONDS = 1.0


def with_seat(draft: Placement, seat: Seat) -> Placement:
    """Return the draft with the seat added; it replaces an earlier seat of the same entry."""
    return replace(draft, seats_by_entry={**draft.seats_by_entry, seat.entry_id: seat})


def keep_draft(draft: Placement) -> Placement:
    """Return the draft without a change.

    It is written only when the platform has lost versions of the document.
    """
    return draft


def without_seat(draft: Placement, seat: Seat) -> Placement:
    """Return the draft without the seat; a newer seat of the same entry is kept."""
    kept = {key: other for key, other in draft.seats_by_entry.items() if other != seat}
    return replace(draft, seats_by_entry=kept)


class SeatSystem(System):
    """Creates the placement, adds this entry's seat and removes seats of other processes.

    A seat is removed when its process can no longer hold groups. Among the live entries with a
    seat, the one with the lowest id acts first; each following one acts
    ``FAILOVER_DELAY_SECONDS`` later if the change is still due. New entries join
    ``JOIN_STAGGER_SECONDS`` apart. Compare-and-swap prevents conflicting writes when several
    entries act.
    """

    def __init__(self, writer: PlacementWriter) -> None:
        self._writer = writer
        self._first_seen_at_by_process: dict[ProcessKey, float] = {}
        self._due_at_by_process: dict[ProcessKey, float] = {}
        self._join_at: float | None = None
        self._reverted_at: float | None = None
        self._resumed_at = float("-inf")
        self._ticked_at = float("-inf")

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Propose the changes to the seats that are due."""
        if now - self._ticked_at >= PAUSE_THRESHOLD_SECONDS:
            self._resumed_at = now
        self._ticked_at = now
        self._update_first_seen(tables, now)
        if (
            not self._writer.is_ready(tables)
            or tables.local.draining
            or has_handed_over_own_seat(tables)
        ):
            return ()
        removable = [
            seat for seat in other_seats(tables) if self._is_removal_due(tables, seat, now)
        ]
        if self._is_repair_due(tables, now):
            self._writer.propose(keep_draft)
        for seat in removable:
            self._writer.propose(partial(without_seat, seat=seat))
        if self._should_join(tables, now):
            local = tables.local
            seat = Seat(local.entry_id, local.incarnation, local.address)
            self._writer.propose(partial(with_seat, seat=seat))
        return ()

    def _update_first_seen(self, tables: Tables, now: float) -> None:
        keys = {process_key(seat) for seat in other_seats(tables)}
        first_seen = self._first_seen_at_by_process
        self._first_seen_at_by_process = {key: first_seen.get(key, now) for key in keys}

    def _is_removal_due(self, tables: Tables, seat: Seat, now: float) -> bool:
        """Return whether the seat is removable and it is this entry's turn to remove it."""
        key = process_key(seat)
        if not self._is_removable(tables, seat, now):
            self._due_at_by_process.pop(key, None)
            return False
        due_at = self._due_at_by_process.setdefault(key, now)
        if seat.entry_id in used_seats(tables):
            return True
        rank = _failover_rank(tables, now) + is_handed_over(tables, seat)
        return now >= due_at + FAILOVER_DELAY_SECONDS * rank

    def _is_repair_due(self, tables: Tables, now: float) -> bool:
        if not tables.store_reverted or own_seat(tables) is None:
            self._reverted_at = None
            return False
        if self._reverted_at is None:
            self._reverted_at = now
        return now >= self._reverted_at + FAILOVER_DELAY_SECONDS * _failover_rank(tables, now)

    def _is_removable(self, tables: Tables, seat: Seat, now: float) -> bool:
        if (
            not may_remove_seat(tables, seat.entry_id, now)
            or seat.entry_id == tables.local.entry_id
        ):
            return False
        if is_handed_over(tables, seat):
            return True
        return self._seconds_without_contact(tables, seat, now) >= SEAT_REMOVAL_DELAY_SECONDS

    def _seconds_without_contact(self, tables: Tables, seat: Seat, now: float) -> float:
        """Return the seconds without a heartbeat of the process while this one could receive it.

        The time before this process first saw the seat, or last resumed after a pause, is not
        counted.
        """
        row = tables.entries_by_id.get(seat.entry_id)
        is_same = row is not None and row.incarnation == seat.incarnation
        heartbeat_at = row.last_heartbeat_at if row is not None and is_same else float("-inf")
        first_seen_at = self._first_seen_at_by_process.get(process_key(seat), now)
        return now - max(heartbeat_at, first_seen_at, self._resumed_at)

    def _should_join(self, tables: Tables, now: float) -> bool:
        """Return whether to add this entry's seat now.

        The entry waits until it could use its groups at once: joining earlier would leave the
        groups that it gains without a holder until then.
        """
        if (
            own_seat(tables) is not None
            or tables.unsettled_epochs
            or not self._are_others_live(tables, now)
        ):
            self._join_at = None
            return False
        if self._join_at is None:
            self._join_at = now + JOIN_STAGGER_SECONDS * _join_rank(tables, now)
        return now >= self._join_at

    def _are_others_live(self, tables: Tables, now: float) -> bool:
        return all(
            is_seat_live(tables, seat, now)
            or is_handed_over(tables, seat)
            or has_ended(tables, seat)
            for seat in other_seats(tables)
        )


def _failover_rank(tables: Tables, now: float) -> int:
    """Return how many live seats act on the document before this entry."""
    live = [seat.entry_id for seat in other_seats(tables) if is_seat_live(tables, seat, now)]
    if own_seat(tables) is None:
        return len(live)
    return sum(entry_id < tables.local.entry_id for entry_id in live)


def _join_rank(tables: Tables, now: float) -> int:
    """Return how many live entries without a seat join before this one."""
    seats_by_entry: dict[EntryId, Seat] = {}
    if tables.placement is not None:
        seats_by_entry = tables.placement.seats_by_entry
    names = (row.entry_id for row in live_local_entries(tables, now))
    return sum(name < tables.local.entry_id and name not in seats_by_entry for name in names)
