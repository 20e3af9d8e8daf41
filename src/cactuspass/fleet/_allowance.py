"""Tokens of this instance for one upstream with a limit; each request uses one."""

import math
from dataclasses import dataclass, field

BURST_SECONDS = 0.25  # of a share that is larger than one request in this time
# Part of a token that the most urgent requests may use before it is due.
MAX_EARLY_SHARE = 0.25
LEAST_URGENT_PRIORITY = 9


def needed_tokens(priority: int) -> float:
    """Return how much of a token must be due before a request may use it.

    Urgent requests need less, so that they come first while tokens are scarce. The rest becomes due
    later, so that the rate stays the same.

    :param priority: 0 is the most urgent.
    """
    urgency = 1.0 - min(max(priority, 0), LEAST_URGENT_PRIORITY) / LEAST_URGENT_PRIORITY
    return 1.0 - MAX_EARLY_SHARE * urgency


@dataclass(slots=True)
class Allowance:
    """The tokens that have become due, and those that were borrowed.

    :param rate: tokens that become due in a second.
    :param refilled_at: clock value up to which ``tokens`` were counted.
    :param loans: clock values until which borrowed tokens may be used.
    """

    rate: float
    refilled_at: float
    tokens: float = 0.0
    loans: list[float] = field(default_factory=list)

    def refill(self, rate: float, at: float) -> None:
        """Add the tokens that have become due, and set the rate from now on."""
        due = max(0.0, at - self.refilled_at) * self.rate
        self.tokens = min(max(1.0, rate * BURST_SECONDS), self.tokens + due)
        self.rate, self.refilled_at = rate, at
        self.loans = [until for until in self.loans if until > at]

    def has_token(self, priority: int) -> bool:
        """Return whether a request may be sent."""
        return bool(self.loans) or self.tokens >= needed_tokens(priority)

    def delay(self, priority: int) -> float:
        """Return the seconds until a request may be sent; infinite without a share."""
        if self.has_token(priority):
            return 0.0
        if self.rate <= 0:
            return math.inf
        return (needed_tokens(priority) - self.tokens) / self.rate

    def take(self) -> None:
        """Use a token, a borrowed one first."""
        if self.loans:
            self.loans.pop(0)
        else:
            self.tokens -= 1.0

    @property
    def next_loan_after(self) -> float:
        """Seconds until a whole token is unused; infinite without a share."""
        return max(0.0, 1.0 - self.tokens) / self.rate if self.rate > 0 else math.inf

    def try_lend(self) -> bool:
        """Give a token to another instance, if a whole one is unused."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
