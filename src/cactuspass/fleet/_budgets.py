"""Limits shared by all instances, of which each instance uses a fixed share."""

from collections import deque

SHARE_MARGIN = 0.8  # part of a shared limit that the instances use together
COLD_WINDOW_SECONDS = 1.0


class SlidingWindowCounter:
    """Counts events within a sliding window.

    :param window: length of the window in seconds.
    """

    def __init__(self, window: float) -> None:
        self._window = window
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Limits retries to a ratio of the requests plus this instance's share of a fixed number.

    :param ratio: retries allowed per request.
    :param fixed: retries allowed per window regardless of the requests, by all instances together.
    :param window: length of the window in seconds.
    """

    def __init__(self, ratio: float, fixed: float, window: float) -> None:
        self._ratio = ratio
        self._fixed = fixed
        self._requests = SlidingWindowCounter(window)
        self._retries = SlidingWindowCounter(window)

    def count_request(self, now: float) -> None:
        """Count a request, which adds ``ratio`` to the budget."""
        self._requests.add(now)

    def remaining(self, now: float, instances: int) -> float:
        """Return the number of retries that may still be sent; negative if more were sent.

        :param instances: number of instances that share the fixed number.
        """
        return self._total(now, instances) - self._retries.count(now)

    def _total(self, now: float, instances: int) -> float:
        earned = self._ratio * self._requests.count(now) + self._fixed / max(1, instances)
        return earned * SHARE_MARGIN

    def try_spend(self, now: float, instances: int, reserved_share: float = 0.0) -> bool:
        """Spend one retry; return False when the budget is exhausted.

        :param reserved_share: part of the whole budget that is reserved for more urgent retries.
        """
        reserved = reserved_share * self._total(now, instances)
        if self.remaining(now, instances) - reserved < 1:
            return False
        self.count_retry(now)
        return True

    def count_retry(self, now: float) -> None:
        """Count a retry that is sent whatever remains of the budget."""
        self._retries.add(now)


class ColdRateLimit:
    """Limits the requests that this instance sends to an upstream while it is cold.

    :param rate: requests per second that all instances together may send.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._sent = SlidingWindowCounter(COLD_WINDOW_SECONDS)

    def may_send(self, now: float, instances: int) -> bool:
        """Return whether one more request may be sent.

        :param instances: number of instances that share the rate.
        """
        return self._sent.count(now) < max(1.0, self.total_rate / max(1, instances))

    def is_unused(self, now: float) -> bool:
        """Return whether this instance has sent nothing in the last second."""
        return self._sent.count(now) == 0

    @property
    def total_rate(self) -> float:
        """Requests per second that all instances together may send, with the margin applied."""
        return self._rate * SHARE_MARGIN

    def count(self, now: float) -> None:
        """Count a sent request."""
        self._sent.add(now)
