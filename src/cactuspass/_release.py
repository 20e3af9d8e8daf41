"""Tells when an instance that left a group may join another one."""

from cactuspass._tables import Tables
from cactuspass.models import InstanceId

RELEASE_SECONDS = 5.0
UNHEARD_RELEASE_SECONDS = 125.0


class ReleaseClock:
    """Remembers since when this entry has known each version of the placement.

    A holder whose right still runs may count an instance that a newer document has released.
    ``RELEASE_SECONDS`` outlasts a right that the platform confirms. A right that peers grant runs
    longer; it ends the wait only when that holder has said that it knows the newer document.
    """

    def __init__(self) -> None:
        self._learned_at: dict[int, float] = {}

    def note_version(self, version: int, now: float) -> None:
        """Note that this entry knows the version, and forget what is long past."""
        self._learned_at.setdefault(version, now)
        old = [
            known
            for known, learned_at in self._learned_at.items()
            if now - learned_at > UNHEARD_RELEASE_SECONDS
        ]
        for known in sorted(old)[:-1]:
            del self._learned_at[known]

    def is_settled(self, tables: Tables, instance_id: InstanceId, now: float) -> bool:
        """Return whether no entry can still hold the instance for the group that it left."""
        placement = tables.placement
        if placement is None:
            return False
        released = placement.released_by_id.get(instance_id)
        if released is None:
            return True
        known = [at for version, at in self._learned_at.items() if version >= released]
        age = now - min(known, default=now)
        if age >= UNHEARD_RELEASE_SECONDS:
            return True
        return age >= RELEASE_SECONDS and _all_seats_know(tables, released)


def _all_seats_know(tables: Tables, version: int) -> bool:
    placement = tables.placement
    if placement is None:
        return False
    entries = tables.entries_by_id
    return all(
        entry_id in entries
        and entries[entry_id].incarnation == seat.incarnation
        and entries[entry_id].placement_version >= version
        for entry_id, seat in placement.seats_by_entry.items()
        if entry_id != tables.local.entry_id
    )
