"""Times at which callers should come back for whom there was no room."""

import random

from cactuspass.fleet._choices import RoomOutlook
from cactuspass.fleet._return_schedule import ReturnSchedule
from cactuspass.models import ModelId, ServiceId

# Part of the slots that becomes free which is promised to callers whose answer can still be in
# time, and to all others. A late answer takes up as much room and is worth little.
IN_TIME_SHARE = 0.5
LATE_SHARE = 0.02
# So short that the answer of another instance can still be in time.
ELSEWHERE_SECONDS = 0.03
ELSEWHERE_JITTER = 0.5


class RoomReturns:
    """The next free times for the callers of each model."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_time = ReturnSchedule()
        self._late = ReturnSchedule()

    def book(
        self,
        key: tuple[ServiceId, ModelId | None],
        room: RoomOutlook,
        latest: float,
        at: float,
    ) -> float:
        """Return the seconds after which a caller should come back.

        :param latest: seconds within which the caller can come back.
        :param at: current clock value.
        """
        if room.may_try_elsewhere:
            return ELSEWHERE_SECONDS * (1 + ELSEWHERE_JITTER * self._rng.random())
        interval = room.return_interval
        in_time_latest = min(latest, room.max_wait)
        if interval <= in_time_latest:
            after = self._in_time.book(key, interval, interval / IN_TIME_SHARE, in_time_latest, at)
            if after <= in_time_latest:
                return after
        earliest = max(interval, room.max_wait)
        return self._late.book(key, earliest, interval / LATE_SHARE, latest, at)
