"""Extrapolates a demand that is known with a delay."""

from collections import deque

HISTORY_SECONDS = 1.5
MIN_FACTOR, MAX_FACTOR = 0.85, 1.5


class DemandTrend:
    """The last values of a demand."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, float]] = deque()

    def note(self, value: float, at: float) -> None:
        """Record a value; it replaces one of the same time."""
        if self._history and self._history[-1][0] >= at:
            self._history.pop()
        self._history.append((at, value))
        while at - self._history[0][0] > HISTORY_SECONDS:
            self._history.popleft()

    def extrapolate(self, seconds: float) -> float:
        """Return the value to expect some seconds after the last one.

        :param seconds: time for which the demand is assumed to go on changing as it did.
        """
        if not self._history:
            return 0.0
        (first_at, first), (last_at, last) = self._history[0], self._history[-1]
        if last_at - first_at < HISTORY_SECONDS / 2:
            return last
        expected = last + (last - first) / (last_at - first_at) * seconds
        return min(MAX_FACTOR * last, max(MIN_FACTOR * last, expected))
