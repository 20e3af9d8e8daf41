"""Tells which entry holds a group, by rendezvous hashing over the seats of the placement."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

from cactuspass._tables import ProcessKey, Tables
from cactuspass.models import EntryId, GroupId, Seat


@lru_cache(maxsize=65536)
def _weight(group_id: GroupId, entry_id: EntryId) -> bytes:
    return blake2b(f"{group_id}\0{entry_id}".encode(), digest_size=8).digest()


@lru_cache(maxsize=16384)
def _heaviest(seats: tuple[EntryId, ...], group_id: GroupId) -> EntryId | None:
    return max(seats, key=lambda entry_id: (_weight(group_id, entry_id), entry_id), default=None)


def owning_seat(seats: Iterable[EntryId], group_id: GroupId) -> EntryId | None:
    """Choose the seat of a group.

    :return: the seat with the highest weight for the group, None when there are no seats.
    """
    return _heaviest(tuple(seats), group_id)


def process_key(seat: Seat) -> ProcessKey:
    """Return the process that a seat was written for."""
    return ProcessKey(seat.entry_id, seat.incarnation)


def own_seat(tables: Tables) -> Seat | None:
    """Return the seat of this process in the placement, if it has one."""
    if tables.placement is None:
        return None
    seat = tables.placement.seats_by_entry.get(tables.local.entry_id)
    return seat if seat is not None and process_key(seat) == tables.local.key else None


def other_seats(tables: Tables) -> list[Seat]:
    """Return the seats of the placement that belong to other processes."""
    if tables.placement is None:
        return []
    seats = tables.placement.seats_by_entry.values()
    return [seat for seat in seats if process_key(seat) != tables.local.key]


def is_handed_over(tables: Tables, seat: Seat) -> bool:
    """Tell whether the process of the seat gave it up by its own word."""
    given = tables.handed_over_seats_by_entry.get(seat.entry_id)
    return given is not None and given.seat == seat


def has_handed_over_seat(tables: Tables, entry_id: EntryId) -> bool:
    """Tell whether an entry gave up the seat that it has in the placement."""
    if tables.placement is None:
        return False
    seat = tables.placement.seats_by_entry.get(entry_id)
    return seat is not None and is_handed_over(tables, seat)


def has_ended(tables: Tables, seat: Seat) -> bool:
    """Tell whether the process of the seat surely ended.

    An entry id names one instance, so an earlier process of the own id has ended.
    """
    local = tables.local
    if seat.entry_id == local.entry_id:
        return seat.incarnation != local.incarnation
    return process_key(seat) in tables.ended_processes


def current_user_of_seat(tables: Tables, entry_id: EntryId) -> EntryId | None:
    """Return the entry that uses a seat of the placement now.

    :return: None when the placement has no such seat, or its user has no seat any more.
    """
    if tables.placement is None:
        return None
    seats_by_entry = tables.placement.seats_by_entry
    seat = seats_by_entry.get(entry_id)
    if seat is None:
        return None
    user = (
        tables.handed_over_seats_by_entry[entry_id].user
        if is_handed_over(tables, seat)
        else entry_id
    )
    return user if user in seats_by_entry else None


def has_handed_over_own_seat(tables: Tables) -> bool:
    """Tell whether this process gave its own seat up."""
    given = tables.handed_over_seats_by_entry.get(tables.local.entry_id)
    return given is not None and process_key(given.seat) == tables.local.key


def used_seats(tables: Tables) -> frozenset[EntryId]:
    """Return the seats that this process may use: none without a seat of its own."""
    seat = own_seat(tables)
    if tables.placement is None or seat is None or has_handed_over_own_seat(tables):
        return frozenset()
    seats_by_entry = tables.placement.seats_by_entry
    taken = {
        entry_id
        for entry_id in tables.acquired_seats & seats_by_entry.keys()
        if is_handed_over(tables, seats_by_entry[entry_id])
    }
    return frozenset(taken | {seat.entry_id})


def seat_owner(tables: Tables, group_id: GroupId) -> EntryId | None:
    """Return the entry that holds a group of the own data centre, None when nobody does."""
    if tables.placement is None:
        return None
    seat = owning_seat(tables.placement.seats_by_entry, group_id)
    return None if seat is None else current_user_of_seat(tables, seat)


def may_hold(tables: Tables, now: float) -> bool:
    """Tell whether this entry may use its seats at this very moment.

    :param now: time of the use, not of the last tick; a time before the last tick is refused.
    """
    local = tables.local
    return local.may_hold and local.may_hold_from <= now < local.may_hold_until


def owns(tables: Tables, group_id: GroupId) -> bool:
    """Tell whether a group belongs to a seat that this entry uses.

    The entry may watch the group's instances, but must not send to them before :func:`holds`.
    """
    if tables.placement is None:
        return False
    return owning_seat(tables.placement.seats_by_entry, group_id) in used_seats(tables)


def is_settled(tables: Tables, group_id: GroupId) -> bool:
    """Tell whether no other entry can still hold a group that this entry owns."""
    return all(
        owning_seat(snapshot.seats, group_id) in snapshot.used
        for snapshot in tables.unsettled_epochs
    )


def holds(tables: Tables, group_id: GroupId, now: float) -> bool:
    """Tell whether this entry alone may send to a group, or give orders to its members, now.

    :param now: time of the sending.
    """
    return may_hold(tables, now) and owns(tables, group_id) and is_settled(tables, group_id)
