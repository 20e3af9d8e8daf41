"""Writes the placement of the own data centre, one compare-and-swap at a time."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from cactuspass._core import System
from cactuspass._holding import has_handed_over_own_seat
from cactuspass._messages import (
    Input,
    Order,
    PlacementConfirmed,
    PlacementRead,
    PlacementWritten,
    WritePlacement,
)
from cactuspass._tables import Tables
from cactuspass.models import EntryId, OperationId, Placement

REPAIR_STEP = 1000

PlacementChange = Callable[[Placement], Placement]


def is_from_platform(read: PlacementRead) -> bool:
    """Tell whether a read came from the platform rather than from a peer.

    The platform answers with version 0 and revision 0 while the document does not exist.
    """
    return read.store_revision > 0 or read.placement.version == 0


def removed_seats(before: Placement, after: Placement) -> set[EntryId]:
    """Name the entries whose seat, of that incarnation, is no longer in the document."""
    return {
        entry_id
        for entry_id, seat in before.seats_by_entry.items()
        if after.seats_by_entry.get(entry_id) != seat
    }


def is_own_write(tables: Tables, placement: Placement) -> bool:
    """Tell whether this process wrote this version of the document."""
    return placement.write_id.startswith(_write_prefix(tables))


def _write_prefix(tables: Tables) -> str:
    return f"{tables.local.entry_id}/{tables.local.incarnation}/"


@dataclass(frozen=True, slots=True)
class _Doubt:
    """A write that may still take effect while the platform has the expected revision."""

    order: WritePlacement
    removed: frozenset[EntryId]
    written_at: float


class PlacementWriter(System):
    """Merges the changes that systems propose in one tick into one write.

    Pass one writer to every system that changes the placement, and run it after them::

        if writer.is_ready(tables):
            writer.propose(lambda draft: replace(draft, groups_by_id=...))

    A change is a pure function. It gets a draft whose ``version`` is already that of the write
    (use it for :class:`Generation`) and returns the draft with other seats or groups. The writer
    alone sets ``version``, ``epoch`` and ``write_id``. A change that returns an equal draft
    writes nothing.

    When the platform lost versions of the document, the first proposal, even one without effect,
    writes the copy held here over it. Its version and epoch are so much higher that no other
    process takes it for the successor of a version that it knows.

    One write is in flight at a time, and after each, whatever its answer, the writer waits for a
    platform read or confirmation that was started later. Proposals made meanwhile are dropped:
    a system proposes anew, from the tables, in each tick in which it still wants the change.
    The edge answers every :class:`WritePlacement` with one :class:`PlacementWritten` and then
    reads the document.
    """

    def __init__(self) -> None:
        self._changes: list[PlacementChange] = []
        self._in_flight: OperationId | None = None
        self._fresh_after = float("-inf")
        self._read_at = float("-inf")
        self._revision: int | None = None
        self._doubts: list[_Doubt] = []
        self._count = 0

    def is_ready(self, tables: Tables) -> bool:
        """Tell whether a change proposed now would be written.

        :return: False while a write is in flight, until the platform was read after the last write,
            while the placement held here is not the one that the platform has, and once this
            process gave its seat up.
        """
        if (
            has_handed_over_own_seat(tables)
            or self._in_flight is not None
            or self._revision is None
        ):
            return False
        if self._read_at < self._fresh_after:
            return False
        if tables.placement is None:
            return self._revision == 0
        if tables.store_reverted:
            return True
        return self._revision == tables.store_revision and self._revision > 0

    def propose(self, change: PlacementChange) -> None:
        """Add a change to the write of this tick."""
        self._changes.append(change)

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Follow the platform's answers and write what was proposed in this tick."""
        for message in inputs:
            if isinstance(message, PlacementRead) and is_from_platform(message):
                self._note_read(message.store_revision, message.sent_at)
            elif isinstance(message, PlacementConfirmed):
                if message.store_revision == self._revision:
                    self._note_read(message.store_revision, message.sent_at)
            elif isinstance(message, PlacementWritten):
                self._note_written(message, now)
        changes, self._changes = self._changes, []
        orders = self._write(tables, changes, now) if self.is_ready(tables) else []
        tables.pending_seat_removals = {name for doubt in self._doubts for name in doubt.removed}
        return orders

    def _note_read(self, store_revision: int, sent_at: float) -> None:
        if sent_at < self._read_at:
            return
        self._read_at = sent_at
        self._revision = store_revision
        self._doubts = [
            doubt
            for doubt in self._doubts
            if sent_at < doubt.written_at or store_revision == doubt.order.expected_revision
        ]

    def _note_written(self, answer: PlacementWritten, now: float) -> None:
        if answer.write_id == self._in_flight:
            self._in_flight = None
            self._fresh_after = now
        if answer.accepted is False:
            self._doubts = [
                doubt for doubt in self._doubts if doubt.order.placement.write_id != answer.write_id
            ]

    def _write(self, tables: Tables, changes: Sequence[PlacementChange], now: float) -> list[Order]:
        base = tables.placement or Placement(tables.local.data_centre)
        draft = _draft(base, self._next_id(tables), tables.store_reverted)
        after = draft
        for change in changes:
            after = change(after)
        is_repair = tables.store_reverted and len(changes) > 0
        if after == draft and not is_repair:
            return []
        seats_changed = after.seats_by_entry != base.seats_by_entry
        placement = replace(
            after,
            version=draft.version,
            epoch=draft.epoch + seats_changed,
            write_id=draft.write_id,
        )
        order = WritePlacement(placement, self._revision or 0)
        self._in_flight = placement.write_id
        self._count += 1
        self._doubts.append(_Doubt(order, frozenset(removed_seats(base, placement)), now))
        return [order]

    def _next_id(self, tables: Tables) -> OperationId:
        return OperationId(f"{_write_prefix(tables)}{self._count}")


def _draft(base: Placement, write_id: OperationId, is_repair: bool) -> Placement:
    if not is_repair:
        return replace(base, version=base.version + 1, write_id=write_id)
    version, epoch = base.version + REPAIR_STEP, base.epoch + REPAIR_STEP
    return replace(base, version=version, epoch=epoch, write_id=write_id)
