"""A token bucket, which limits a rate and allows bursts."""


class TokenBucket:
    """Limits events per second, and allows some at once.

    :param per_second: events per second in the long run.
    :param burst: events at once after a pause.
    :param at: clock value at which the bucket is full.
    """

    def __init__(self, per_second: float, burst: float, at: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = at

    def try_consume(self, at: float) -> bool:
        """Consume a token and return True, or return False when the bucket is empty.

        :param at: clock value of the call.
        """
        refill = (at - self._refilled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = at
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
