"""The clock for the right to hold groups and for deadlines."""

import time


def now() -> float:
    """Return the time in seconds since boot, monotonic and including time spent in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
