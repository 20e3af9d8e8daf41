"""Decides when this entry changes the seats of its data centre's placement."""

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

REMOVE_SECONDS = 4.0
STEP_IN_SECONDS = 2.0
JOIN_STAGGER_SECONDS = 0.2
PAUSE_SECONDS = 1.0


def with_seat(draft: Placement, seat: Seat) -> Placement:
    """Return the draft with a seat added, in place of an earlier one of the same entry."""
    return replace(draft, seats_by_entry={**draft.seats_by_entry, seat.entry_id: seat})


def unchanged(draft: Placement) -> Placement:
    """Return the draft as it is; written only over a document that the platform lost."""
    return draft


def without_seat(draft: Placement, seat: Seat) -> Placement:
    """Return the draft without this seat; a newer seat of the same entry stays."""
    kept = {key: other for key, other in draft.seats_by_entry.items() if other != seat}
    return replace(draft, seats_by_entry=kept)


class SeatSystem(System):
    """Creates the document, adds the own seat and removes the seats of dead processes.

    The live seat with the lowest name acts first and the others step in later, one after the
    other; compare-and-swap keeps it safe whoever acts.
    """

    def __init__(self, writer: PlacementWriter) -> None:
        self._writer = writer
        self._seen_at_by_process: dict[ProcessKey, float] = {}
        self._due_at_by_process: dict[ProcessKey, float] = {}
        self._join_at: float | None = None
        self._reverted_at: float | None = None
        self._resumed_at = float("-inf")
        self._ticked_at = float("-inf")

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Propose the changes of the seats that are due."""
        if now - self._ticked_at >= PAUSE_SECONDS:
            self._resumed_at = now
        self._ticked_at = now
        self._note_seen(tables, now)
        if (
            not self._writer.is_ready(tables)
            or tables.local.draining
            or has_handed_over_own_seat(tables)
        ):
            return ()
        removed = [seat for seat in other_seats(tables) if self._is_due(tables, seat, now)]
        if self._is_repair_due(tables, now):
            self._writer.propose(unchanged)
        for seat in removed:
            self._writer.propose(partial(without_seat, seat=seat))
        if self._may_join(tables, now):
            local = tables.local
            seat = Seat(local.entry_id, local.incarnation, local.address)
            self._writer.propose(partial(with_seat, seat=seat))
        return ()

    def _note_seen(self, tables: Tables, now: float) -> None:
        keys = {process_key(seat) for seat in other_seats(tables)}
        seen = self._seen_at_by_process
        self._seen_at_by_process = {key: seen.get(key, now) for key in keys}

    def _is_due(self, tables: Tables, seat: Seat, now: float) -> bool:
        """Tell whether it is this entry's turn to remove a dead seat."""
        key = process_key(seat)
        if not self._is_dead(tables, seat, now):
            self._due_at_by_process.pop(key, None)
            return False
        due_at = self._due_at_by_process.setdefault(key, now)
        if seat.entry_id in used_seats(tables):
            return True
        rank = _rank(tables, now) + is_handed_over(tables, seat)
        return now >= due_at + STEP_IN_SECONDS * rank

    def _is_repair_due(self, tables: Tables, now: float) -> bool:
        if not tables.store_reverted or own_seat(tables) is None:
            self._reverted_at = None
            return False
        if self._reverted_at is None:
            self._reverted_at = now
        return now >= self._reverted_at + STEP_IN_SECONDS * _rank(tables, now)

    def _is_dead(self, tables: Tables, seat: Seat, now: float) -> bool:
        if (
            not may_remove_seat(tables, seat.entry_id, now)
            or seat.entry_id == tables.local.entry_id
        ):
            return False
        if is_handed_over(tables, seat):
            return True
        return self._silence(tables, seat, now) >= REMOVE_SECONDS

    def _silence(self, tables: Tables, seat: Seat, now: float) -> float:
        """Return for how long a process has not been heard while this one could have heard it."""
        row = tables.entries_by_id.get(seat.entry_id)
        is_same = row is not None and row.incarnation == seat.incarnation
        heard_at = row.last_heartbeat_at if row is not None and is_same else float("-inf")
        seen_at = self._seen_at_by_process.get(process_key(seat), now)
        return now - max(heard_at, seen_at, self._resumed_at)

    def _may_join(self, tables: Tables, now: float) -> bool:
        """Tell whether to add the own seat now.

        A newcomer that could not use the groups it gains yet would only make them wait.
        """
        if (
            own_seat(tables) is not None
            or tables.unsettled_epochs
            or not self._hears_all(tables, now)
        ):
            self._join_at = None
            return False
        if self._join_at is None:
            self._join_at = now + JOIN_STAGGER_SECONDS * _join_rank(tables, now)
        return now >= self._join_at

    def _hears_all(self, tables: Tables, now: float) -> bool:
        return all(
            is_seat_live(tables, seat, now)
            or is_handed_over(tables, seat)
            or has_ended(tables, seat)
            for seat in other_seats(tables)
        )


def _rank(tables: Tables, now: float) -> int:
    """Return how many live seats come before this entry in acting on the document."""
    live = [seat.entry_id for seat in other_seats(tables) if is_seat_live(tables, seat, now)]
    if own_seat(tables) is None:
        return len(live)
    return sum(entry_id < tables.local.entry_id for entry_id in live)


def _join_rank(tables: Tables, now: float) -> int:
    """Return how many live entries without a seat come before this one."""
    seats_by_entry: dict[EntryId, Seat] = {}
    if tables.placement is not None:
        seats_by_entry = tables.placement.seats_by_entry
    names = (row.entry_id for row in live_local_entries(tables, now))
    return sum(name < tables.local.entry_id and name not in seats_by_entry for name in names)
