"""Windows of the usage report."""

import math
from dataclasses import dataclass

# Time before a report is due at which its window is closed, whether or not all have answered.
CLOSE_BEFORE_DUE_SECONDS = 3.0
# Time after the end of a window in which counts of it may still arrive.
SETTLE_SECONDS = 2.0
# A report that could not be sent in time, since the platform was unreachable, is still sent.
SEND_AFTER_DUE_SECONDS = 60.0
KEPT_WINDOWS = 2  # kept by all instances in addition to those that are not yet due


@dataclass(frozen=True, slots=True)
class Windows:
    """Times of the windows, in Unix seconds.

    :param seconds: length of a window.
    :param late_seconds: time after the end of a window at which its report is due.
    """

    seconds: float
    late_seconds: float

    def at(self, time: float) -> int:
        """Return the window that a time is in."""
        return math.floor(time / self.seconds)

    def end(self, window: int) -> float:
        """Return the end of a window."""
        return (window + 1) * self.seconds

    def due(self, window: int) -> float:
        """Return the time at which the report of a window is due."""
        return self.end(window) + self.late_seconds

    def closes(self, window: int) -> float:
        """Return the time at which a window is closed, whether or not all have answered."""
        return self.due(window) - min(CLOSE_BEFORE_DUE_SECONDS, self.late_seconds / 2)

    @property
    def settle_seconds(self) -> float:
        """Time after the end of a window before which its content is not fixed."""
        return min(SETTLE_SECONDS, self.closes(0) - self.end(0))

    def settles(self, window: int) -> float:
        """Return the earliest time at which a window is closed."""
        return self.end(window) + self.settle_seconds

    def first_not_due(self, time: float) -> int:
        """Return the first window whose report is not yet due."""
        return self.at(time - self.late_seconds)

    def first_kept(self, time: float) -> int:
        """Return the first window whose counts are kept."""
        return self.first_not_due(time) - KEPT_WINDOWS

    def first_sent(self, time: float) -> int:
        """Return the first window whose report is still worth sending."""
        return self.first_not_due(time - SEND_AFTER_DUE_SECONDS)
