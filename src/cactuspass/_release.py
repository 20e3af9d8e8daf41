"""Tells when an instance that left a group may join another one."""

from cactuspass._adoption import needs_our_grant
from cactuspass._holding import has_ended, is_handed_over, other_seats
from cactuspass._tables import Tables
from cactuspass.models import InstanceId, Seat

RELEASE_SECONDS = 5.0
FORGET_SECONDS = 60.0


class ReleaseClock:
    """Remembers since when this entry has known each version of the placement.

    A holder whose right still runs may count an instance that a newer document has released.
    ``RELEASE_SECONDS`` outlasts a right that the platform confirms. A right that peers grant runs
    longer, so every other seat must know the newer document, or be unable to hold without
    the platform.
    """

    def __init__(self) -> None:
        self._learned_at: dict[int, float] = {}

    def note_version(self, version: int, now: float) -> None:
        """Note that this entry knows the version, and forget what is long past."""
        self._learned_at.setdefault(version, now)
        old = [
            known
            for known, learned_at in self._learned_at.items()
            if now - learned_at > FORGET_SECONDS
        ]
        for known in sorted(old)[:-1]:
            del self._learned_at[known]

    def age(self, version: int, now: float) -> float:
        """Return the seconds for which this entry has known the version or a later one."""
        known = [at for other, at in self._learned_at.items() if other >= version]
        return now - min(known, default=now)

    def is_settled(self, tables: Tables, instance_id: InstanceId, now: float) -> bool:
        """Return whether no entry can still hold the instance for the group that it left."""
        placement = tables.placement
        if placement is None:
            return False
        released = placement.released_by_id.get(instance_id)
        if released is None:
            return True
        return self.age(released, now) >= RELEASE_SECONDS and all(
            _has_learned(tables, seat, released, now) for seat in other_seats(tables)
        )


def _has_learned(tables: Tables, seat: Seat, version: int, now: float) -> bool:
    """Return whether a process knows the version, or can't hold anything by an older one."""
    if (
        is_handed_over(tables, seat)
        or has_ended(tables, seat)
        or needs_our_grant(tables, seat, now)
    ):
        return True
    entry = tables.entries_by_id.get(seat.entry_id)
    if entry is None or entry.incarnation != seat.incarnation:
        return False
    return entry.placement_version >= version
