"""The clock that rights and deadlines are judged by."""

import time


def now() -> float:
    """Return seconds of a clock that never goes back and counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
