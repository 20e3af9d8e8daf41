"""Limit on the retries that this entry sends."""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.1
MAX_BURST_RETRIES = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    :param tokens: retries that may be sent now.
    """

    tokens: float = MAX_BURST_RETRIES

    def count_request(self) -> None:
        """Add a fraction of a retry to the budget for a new request."""
        self.tokens = min(MAX_BURST_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Spend one retry, or return False if the budget is used up."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(repeatable: bool, started: bool, budget: RetryBudget) -> bool:
    """Return whether a failed request may be sent again, and if so spend one retry.

    :param repeatable: whether the request may safely run twice.
    :param started: whether any byte of it may have been sent to the upstream.
    """
    if started and not repeatable:
        return False
    return budget.spend()
