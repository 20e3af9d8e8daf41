"""Counts and logs callers that lose their place."""

from cactuspass._caller_boundary import CallerRemoval
from cactuspass._clock import now
from cactuspass._counters import Counters
from cactuspass._logs import StateLog

# They may be many; all of them are counted.
LINE_INTERVAL_SECONDS = 0.05


class CallerReports:
    """Reports callers that lose their place.

    :param log: gets a line for each of them, up to a rate.
    """

    def __init__(self, counters: Counters, log: StateLog) -> None:
        self._counters = counters
        self._log = log
        self._next_line_at = 0.0

    def report(self, removal: CallerRemoval) -> None:
        """Report one caller."""
        self._counters.count(f"callers.removed.{removal.limit.value}.{removal.outcome}")
        at = now()
        if at >= self._next_line_at:
            self._next_line_at = at + LINE_INTERVAL_SECONDS
            self._log.warning(removal.event, **removal.log_fields())
