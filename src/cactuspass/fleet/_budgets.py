"""Limits that all instances keep together, each with a fixed share."""

from collections import deque

SHARE_MARGIN = 0.8
COLD_WINDOW_SECONDS = 1.0


class SlidingWindowCounter:
    """Counts what happened within a window that slides.

    :param window: seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many happened within the window that ends now."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Bounds repeats to a ratio of the requests, plus this instance's part of a fixed amount.

    :param ratio: repeats for each request.
    :param fixed: repeats in a window whatever the requests, of all instances together.
    :param window: seconds.
    """

    def __init__(self, ratio: float, fixed: float, window: float) -> None:
        self._ratio = ratio
        self._fixed = fixed
        self._requests = SlidingWindowCounter(window)
        self._repeats = SlidingWindowCounter(window)

    def count_request(self, now: float) -> None:
        """Count a request, which earns a part of a repeat."""
        self._requests.add(now)

    def remaining(self, now: float, instances: int) -> float:
        """Return the repeats that may still be sent.

        :param instances: instances that share the fixed amount.
        """
        return self._total(now, instances) - self._repeats.count(now)

    def _total(self, now: float, instances: int) -> float:
        earned = self._ratio * self._requests.count(now) + self._fixed / max(1, instances)
        return earned * SHARE_MARGIN

    def try_spend(self, now: float, instances: int, reserved_share: float = 0.0) -> bool:
        """Spend one repeat; return False when none is left.

        :param reserved_share: part of all repeats that is kept for more pressing ones.
        """
        kept = reserved_share * self._total(now, instances)
        if self.remaining(now, instances) - kept < 1:
            return False
        self._repeats.add(now)
        return True


class ColdRateLimit:
    """Bounds what this instance sends to an upstream while that is cold.

    :param rate: requests in a second that all instances together may send.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._sent = SlidingWindowCounter(COLD_WINDOW_SECONDS)

    def may_send(self, now: float, instances: int) -> bool:
        """Return whether one more request may be sent.

        :param instances: instances that share the rate.
        """
        return self._sent.count(now) < max(1.0, self.whole / max(1, instances))

    def is_unused(self, now: float) -> bool:
        """Return whether this instance has sent nothing in the last second."""
        return self._sent.count(now) == 0

    @property
    def whole(self) -> float:
        """Requests in a second of all instances together."""
        return self._rate * SHARE_MARGIN

    def count(self, now: float) -> None:
        """Count a request that is sent."""
        self._sent.add(now)
