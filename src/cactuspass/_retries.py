"""Bounded retries of requests that may be sent again."""

from dataclasses import dataclass

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that lets retries be at most a share of the requests.

    :param tokens: retries that may be sent now.
    """

    tokens: float = RETRY_BURST

    def count_request(self) -> None:
        """Earn a share of a retry for a first try."""
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one retry; return False when the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(repeatable: bool, started: bool, budget: RetryBudget) -> bool:
    """Return whether a failed request may be sent again, and spend the budget for it.

    :param repeatable: whether running the request twice does no harm.
    :param started: whether a byte may have left for the upstream.
    """
    if started and not repeatable:
        return False
    return budget.take()
