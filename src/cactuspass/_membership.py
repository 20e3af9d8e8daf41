"""Maintains the tables of instances and of the other entry processes."""

from collections.abc import Iterable, Sequence

from cactuspass._core import System
from cactuspass._holding import process_key
from cactuspass._messages import HeartbeatReceived, Input, InstancesListed, Order, PeerDisconnected
from cactuspass._tables import EntryRow, ProcessKey, Tables
from cactuspass.models import EntryId, InstanceId, Seat

HEARTBEAT_TIMEOUT_SECONDS = 3.0
UNLISTED_TIMEOUT_SECONDS = 60.0  # For instances that the lagging list has not contained yet.
ROW_EXPIRY_SECONDS = 60.0


def is_live(row: EntryRow, now: float) -> bool:
    """Return whether an entry is connected and its last heartbeat is recent."""
    return row.connected and now - row.last_heartbeat_at < HEARTBEAT_TIMEOUT_SECONDS


def live_entries(tables: Tables, now: float) -> list[EntryRow]:
    """Return the live entries of all data centres, sorted by id."""
    rows_by_id = tables.entries_by_id
    return [rows_by_id[key] for key in sorted(rows_by_id) if is_live(rows_by_id[key], now)]


def live_local_entries(tables: Tables, now: float) -> list[EntryRow]:
    """Return the live entries of the own data centre, sorted by id."""
    own = tables.local.data_centre
    return [row for row in live_entries(tables, now) if row.data_centre == own]


def is_seat_live(tables: Tables, seat: Seat, now: float) -> bool:
    """Return whether the process that a seat was written for is live, ignoring later ones."""
    row = tables.entries_by_id.get(seat.entry_id)
    return row is not None and row.incarnation == seat.incarnation and is_live(row, now)


class MembershipSystem(System):
    """Updates the tables from the instance list and the peers' heartbeats.

    It also determines which processes that have a seat have certainly ended. This is so when a
    newer process uses the address of the seat, or when the process sends no heartbeats and the
    instance list no longer contains its instance. A list counts only if it contains this entry.
    """

    def __init__(self) -> None:
        self._ever_listed: set[EntryId] = set()
        self._unlisted_since: dict[EntryId, float] = {}
        self._superseded: set[ProcessKey] = set()

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Update the rows of instances and entries, and the set of ended processes."""
        for message in inputs:
            if isinstance(message, InstancesListed):
                self._apply_list(tables, message, now)
            elif isinstance(message, HeartbeatReceived):
                self._apply_heartbeat(tables, message, now)
            elif isinstance(message, PeerDisconnected):
                _mark_disconnected(tables, message)
        self._mark_ended(tables, now)
        _remove_expired_rows(tables, now)
        return ()

    def _apply_list(self, tables: Tables, message: InstancesListed, now: float) -> None:
        tables.records_by_id = {record.instance_id: record for record in message.records}
        listed = {EntryId(instance_id) for instance_id in tables.records_by_id}
        if tables.local.entry_id not in listed:
            return
        self._ever_listed |= listed
        for seat in _seats(tables):
            if seat.entry_id in listed:
                self._unlisted_since.pop(seat.entry_id, None)
            else:
                self._unlisted_since.setdefault(seat.entry_id, now)

    def _apply_heartbeat(self, tables: Tables, message: HeartbeatReceived, now: float) -> None:
        key = ProcessKey(message.entry_id, message.incarnation)
        if message.entry_id == tables.local.entry_id or key in self._superseded:
            return
        row = tables.entries_by_id.get(message.entry_id)
        if row is not None and row.incarnation != message.incarnation:
            if is_live(row, now):
                return
            self._superseded.add(ProcessKey(row.entry_id, row.incarnation))
            row = None
        known_version = 0 if row is None else row.placement_version
        tables.entries_by_id[message.entry_id] = EntryRow(
            entry_id=message.entry_id,
            incarnation=message.incarnation,
            data_centre=message.data_centre,
            address=message.address,
            last_heartbeat_at=now,
            configuration_revision=message.configuration_revision,
            take_out_tags=message.take_out_tags,
            placement_version=max(message.placement_version, known_version),
            ready=message.ready,
            draining=message.draining,
            groups_by_id={group.group_id: group for group in message.groups},
        )

    def _mark_ended(self, tables: Tables, now: float) -> None:
        tables.ended_processes = {
            process_key(seat)
            for seat in _seats(tables)
            if process_key(seat) in tables.ended_processes
            or _is_address_reused(tables, seat)
            or self._is_unlisted(tables, seat, now)
        }

    def _is_unlisted(self, tables: Tables, seat: Seat, now: float) -> bool:
        since = self._unlisted_since.get(seat.entry_id)
        if since is None or is_seat_live(tables, seat, now):
            return False
        return seat.entry_id in self._ever_listed or now - since >= UNLISTED_TIMEOUT_SECONDS


def _seats(tables: Tables) -> list[Seat]:
    if tables.placement is None:
        return []
    return list(tables.placement.seats_by_entry.values())


def _is_address_reused(tables: Tables, seat: Seat) -> bool:
    """Return whether a newer process uses the address of a seat.

    The process is newer because it has read the placement that contains the other one's seat.
    """
    row = tables.entries_by_id.get(seat.entry_id)
    if row is None or tables.placement is None or row.incarnation == seat.incarnation:
        return False
    return row.address == seat.address and row.placement_version >= tables.placement.version


def _mark_disconnected(tables: Tables, message: PeerDisconnected) -> None:
    row = tables.entries_by_id.get(message.entry_id)
    if row is not None and row.incarnation == message.incarnation:
        row.connected = False


def _remove_expired_rows(tables: Tables, now: float) -> None:
    """Remove rows without recent heartbeats that are in neither the list nor the placement."""
    seated = {seat.entry_id for seat in _seats(tables)}
    expired = [
        row.entry_id
        for row in tables.entries_by_id.values()
        if now - row.last_heartbeat_at >= ROW_EXPIRY_SECONDS
        and row.entry_id not in seated
        and InstanceId(row.entry_id) not in tables.records_by_id
    ]
    for entry_id in expired:
        del tables.entries_by_id[entry_id]
