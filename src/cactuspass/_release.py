"""Determines when an instance that left a group may be assigned to another one."""

from cactuspass._adoption import lacks_required_grant
from cactuspass._holding import has_ended, is_handed_over, other_seats
from cactuspass._tables import Tables
from cactuspass.models import InstanceId, Seat

RELEASE_DELAY_SECONDS = 5.0
VERSION_EXPIRY_SECONDS = 60.0


class ReleaseTracker:
    """Records since when this entry has had each version of the placement.

    A holder whose right has not expired may still count an instance that a newer placement has
    released. ``RELEASE_DELAY_SECONDS`` is longer than a right that the platform confirmed. A right
    granted by peers lasts longer, so every other process with a seat must also have the newer
    placement, or be unable to hold groups without the platform.
    """

    def __init__(self) -> None:
        self._first_seen_at: dict[int, float] = {}

    def record_version(self, version: int, now: float) -> None:
        """Record that this entry has the version, and discard expired versions.

        The latest of the expired versions is kept, so that :meth:`age` still has a time for it.
        """
        self._first_seen_at.setdefault(version, now)
        old = [
            known
            for known, first_seen_at in self._first_seen_at.items()
            if now - first_seen_at > VERSION_EXPIRY_SECONDS
        ]
        for known in sorted(old)[:-1]:
            del self._first_seen_at[known]

    def age(self, version: int, now: float) -> float:
        """Return the seconds since this entry first had the version or a later one."""
        known = [at for other, at in self._first_seen_at.items() if other >= version]
        return now - min(known, default=now)

    def is_reusable(self, tables: Tables, instance_id: InstanceId, now: float) -> bool:
        """Return whether no entry can still use the instance for the group that it left."""
        placement = tables.placement
        if placement is None:
            return False
        released = placement.released_by_id.get(instance_id)
        if released is None:
            return True
        return self.age(released, now) >= RELEASE_DELAY_SECONDS and all(
            _has_released(tables, seat, released, now) for seat in other_seats(tables)
        )


def _has_released(tables: Tables, seat: Seat, version: int, now: float) -> bool:
    """Return whether a process has the version, or cannot hold groups under an older one."""
    if (
        is_handed_over(tables, seat)
        or has_ended(tables, seat)
        or lacks_required_grant(tables, seat, now)
    ):
        return True
    entry = tables.entries_by_id.get(seat.entry_id)
    if entry is None or entry.incarnation != seat.incarnation:
        return False
    return entry.placement_version >= version
