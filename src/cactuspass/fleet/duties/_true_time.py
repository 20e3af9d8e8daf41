"""The time of day by the clocks of all instances."""

import time
from collections import deque
from collections.abc import Callable, Collection

from cactuspass._clock import now

# A message that arrives late makes its sender's clock look slow, so the largest of the last offsets
# is the best one.
MAX_SAMPLES = 8


class TrueTime:
    """Wall-clock time of the fleet, as an offset from this instance's monotonic clock.

    Until the holder of the duties has stated the time, it is this instance's own wall-clock time at
    the start.

    :param wall_clock: returns this instance's wall-clock time in Unix seconds.
    """

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._offset = wall_clock() - now()
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    def own_wall_time(self) -> float:
        """Return this instance's own wall-clock time in Unix seconds."""
        return self._wall_clock()

    def at(self) -> float:
        """Return the current time in Unix seconds."""
        return now() + self._offset

    def adopt(self, stated: float) -> None:
        """Adopt the time that the holder has stated in a message that has just arrived.

        :param stated: Unix seconds.
        """
        self._samples.append(stated - now())
        self._offset = max(self._samples)

    def choose(self, offsets: Collection[float]) -> None:
        """Adopt the median of the instances' offsets from this instance's monotonic clock.

        Of the two in the middle of an even number, the one nearer to the current offset is used, so
        that one of two clocks that jumps shifts nothing.
        """
        if not offsets:
            return
        ordered = sorted(offsets)
        middle = (ordered[(len(ordered) - 1) // 2], ordered[len(ordered) // 2])
        self._offset = min(middle, key=lambda offset: abs(offset - self._offset))
        self._samples.clear()
