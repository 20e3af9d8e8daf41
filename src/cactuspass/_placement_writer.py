"""Writes the placement of this data centre, one compare-and-swap at a time."""

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

REPAIR_VERSION_STEP = 1000

PlacementChange = Callable[[Placement], Placement]


def is_from_platform(read: PlacementRead) -> bool:
    """Return whether a read came from the platform rather than from a peer.

    The platform answers with version 0 and revision 0 while the document does not exist.
    """
    return read.store_revision > 0 or read.placement.version == 0


def removed_seats(before: Placement, after: Placement) -> set[EntryId]:
    """Return the entries whose seat, with the same incarnation, is no longer in the placement."""
    return {
        entry_id
        for entry_id, seat in before.seats_by_entry.items()
        if after.seats_by_entry.get(entry_id) != seat
    }


def is_own_write(tables: Tables, placement: Placement) -> bool:
    """Return whether this process wrote this version of the placement."""
    return placement.write_id.startswith(_write_prefix(tables))


def _write_prefix(tables: Tables) -> str:
    return f"{tables.local.entry_id}/{tables.local.incarnation}/"


@dataclass(frozen=True, slots=True)
class _UncertainWrite:
    """A write that may still take effect as long as the platform has the expected revision."""

    order: WritePlacement
    removed: frozenset[EntryId]
    written_at: float


class PlacementWriter(System):
    """Merges the changes that systems propose in one tick into one write.

    Pass the same writer to all systems that change the placement, and run it after them::

        if writer.is_ready(tables):
            writer.propose(lambda draft: replace(draft, groups_by_id=...))

    A change is a pure function. It receives a draft whose ``version`` is already that of the
    write (use it for :class:`Generation`) and returns the draft with changed seats or groups. Only
    the writer sets ``version``, ``epoch`` and ``write_id``. A change that returns an equal draft
    causes no write.

    When the platform has lost versions of the document, the first proposal, even one without
    effect, overwrites it with the copy held here. Version and epoch are then raised by
    ``REPAIR_VERSION_STEP``, so that no other process mistakes the copy for the direct successor
    of a version that it has.

    One write is in flight at a time. After each write, whatever its result, the writer waits for
    a platform read or confirmation that was started later. Proposals made in the meantime are
    discarded: a system proposes again, based on the tables, in each tick in which the change is
    still needed. The I/O layer answers every :class:`WritePlacement` with one
    :class:`PlacementWritten` and then reads the document.
    """

    def __init__(self) -> None:
        self._changes: list[PlacementChange] = []
        self._in_flight: OperationId | None = None
        self._read_required_after = float("-inf")
        self._read_at = float("-inf")
        self._revision: int | None = None
        self._uncertain_writes: list[_UncertainWrite] = []
        self._count = 0

    def is_ready(self, tables: Tables) -> bool:
        """Return whether a change proposed now would be written.

        :return: False while a write is in flight, until the platform has been read after the
            latest write, while the placement held here differs from the platform's, and after
            this process has handed over its seat.
        """
        if (
            has_handed_over_own_seat(tables)
            or self._in_flight is not None
            or self._revision is None
        ):
            return False
        if self._read_at < self._read_required_after:
            return False
        if tables.placement is None:
            return self._revision == 0
        if tables.store_reverted:
            return True
        return self._revision == tables.store_revision and self._revision > 0

    def propose(self, change: PlacementChange) -> None:
        """Add a change to this tick's write."""
        self._changes.append(change)

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Apply the platform's answers and write the changes proposed in this tick."""
        for message in inputs:
            if isinstance(message, PlacementRead) and is_from_platform(message):
                self._apply_read(message.store_revision, message.sent_at)
            elif isinstance(message, PlacementConfirmed):
                if message.store_revision == self._revision:
                    self._apply_read(message.store_revision, message.sent_at)
            elif isinstance(message, PlacementWritten):
                self._apply_answer(message, now)
        changes, self._changes = self._changes, []
        orders = self._write(tables, changes, now) if self.is_ready(tables) else []
        tables.pending_seat_removals = {
            name for write in self._uncertain_writes for name in write.removed
        }
        return orders

    def _apply_read(self, store_revision: int, sent_at: float) -> None:
        if sent_at < self._read_at:
            return
        self._read_at = sent_at
        self._revision = store_revision
        self._uncertain_writes = [
            write
            for write in self._uncertain_writes
            if sent_at < write.written_at or store_revision == write.order.expected_revision
        ]

    def _apply_answer(self, answer: PlacementWritten, now: float) -> None:
        if answer.write_id == self._in_flight:
            self._in_flight = None
            self._read_required_after = now
        if answer.accepted is False:
            self._uncertain_writes = [
                write
                for write in self._uncertain_writes
                if write.order.placement.write_id != answer.write_id
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
        self._uncertain_writes.append(
            _UncertainWrite(order, frozenset(removed_seats(base, placement)), now)
        )
        return [order]

    def _next_id(self, tables: Tables) -> OperationId:
        return OperationId(f"{_write_prefix(tables)}{self._count}")


def _draft(base: Placement, write_id: OperationId, is_repair: bool) -> Placement:
    if not is_repair:
        return replace(base, version=base.version + 1, write_id=write_id)
    version, epoch = base.version + REPAIR_VERSION_STEP, base.epoch + REPAIR_VERSION_STEP
    return replace(base, version=version, epoch=epoch, write_id=write_id)
