"""The limits that upstreams state for the requests of all instances together."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from cactuspass.fleet._allowance import Allowance
from cactuspass.fleet._limit_shares import LimitShares
from cactuspass.fleet._upstreams import Lifetime

MAX_LIMITS = 4096
# A stated limit that differs by less than this share is not reported as a change.
REPORTED_CHANGE_SHARE = 0.1
# Requests per second that are sent even to an upstream with a lower limit, since only a response
# can tell that it accepts more.
MIN_TOTAL_RATE = 0.1
LOAN_SECONDS = 0.5  # time for which a borrowed token may be used
EXPIRY_SECONDS = 60.0


class LimitChange(Enum):
    """What a statement of an upstream has changed."""

    BEGUN = "begun"
    CHANGED = "changed"
    ENDED = "ended"
    NONE = "none"


@dataclass(slots=True)
class RequestLimit:
    """The limit of one lifetime of an upstream.

    :param rate: requests per second from all instances together, as the upstream stated it.
    :param since: clock value of the first statement.
    :param stated_at: clock value at which the last statement was received.
    :param reported_rate: the rate that was last reported as a change.
    :param allowance: tokens of this instance.
    :param sent: requests that this instance has sent since.
    :param passed_over: choices since in which the upstream was left out for lack of a token.
    """

    rate: float
    since: float
    stated_at: float
    reported_rate: float
    allowance: Allowance
    sent: int = 0
    passed_over: int = 0

    @property
    def total_rate(self) -> float:
        """Requests per second that all instances together send."""
        return max(self.rate, MIN_TOTAL_RATE)


class RequestLimits:
    """The limits in force, by lifetime of the upstream, and this instance's tokens for each.

    Every request uses a token: first attempts, retries, hedges and resumed streams.
    """

    def __init__(self, shares: LimitShares) -> None:
        self._shares = shares
        self._limits_by_lifetime: dict[Lifetime, RequestLimit] = {}

    @property
    def limits_by_lifetime(self) -> Mapping[Lifetime, RequestLimit]:
        """The limits in force."""
        return MappingProxyType(self._limits_by_lifetime)

    def find(self, lifetime: Lifetime) -> RequestLimit | None:
        """Return the limit of an upstream; None if it states none."""
        return self._limits_by_lifetime.get(lifetime)

    def record(
        self, lifetime: Lifetime, rate: float | None, sent_at: float, at: float
    ) -> LimitChange:
        """Record what a response states about the limit of its upstream.

        Responses may overtake each other. A higher limit, or none, is accepted only from a response
        to a request that was sent after the last statement had been received.

        :param rate: requests per second; None if the response states no limit.
        :param sent_at: clock value at which the request was sent.
        :param at: clock value at which the response was received.
        """
        known = self._limits_by_lifetime.get(lifetime)
        if known is None:
            return self._begin(lifetime, rate, at) if rate is not None else LimitChange.NONE
        is_newer = sent_at >= known.stated_at
        if rate is None:
            if not is_newer:
                return LimitChange.NONE
            del self._limits_by_lifetime[lifetime]
            return LimitChange.ENDED
        if rate > known.rate and not is_newer:
            return LimitChange.NONE
        known.rate, known.stated_at = rate, at
        self._refill(lifetime, known, at)
        if abs(rate - known.reported_rate) <= REPORTED_CHANGE_SHARE * known.reported_rate:
            return LimitChange.NONE
        known.reported_rate = rate
        return LimitChange.CHANGED

    def _begin(self, lifetime: Lifetime, rate: float, at: float) -> LimitChange:
        if len(self._limits_by_lifetime) >= MAX_LIMITS:
            del self._limits_by_lifetime[next(iter(self._limits_by_lifetime))]
        limit = RequestLimit(rate, at, at, rate, Allowance(0.0, at))
        self._limits_by_lifetime[lifetime] = limit
        self._refill(lifetime, limit, at)
        return LimitChange.BEGUN

    def delay(self, lifetime: Lifetime, priority: int, at: float) -> float:
        """Return the seconds until this instance may send a request; 0 if it may now.

        :return: infinite if this instance has no share of the limit.
        """
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is None:
            return 0.0
        self._refill(lifetime, limit, at)
        return limit.allowance.delay(priority)

    def try_take(self, lifetime: Lifetime, priority: int, at: float) -> bool:
        """Take a token for a request to an upstream with a limit; return False if none is due."""
        if self.delay(lifetime, priority, at) > 0.0:
            return False
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is not None:
            limit.allowance.take()
            limit.sent += 1
        return True

    def give_back(self, lifetime: Lifetime) -> None:
        """Return the token of a request that was not sent."""
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is not None:
            limit.allowance.tokens += 1.0
            limit.sent -= 1

    def try_lend(self, lifetime: Lifetime, at: float) -> bool:
        """Give a token to another instance; return False if this one has none to spare."""
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is None:
            return False
        self._refill(lifetime, limit, at)
        return limit.allowance.try_lend()

    def next_loan_after(self, lifetime: Lifetime) -> float:
        """Return the seconds until this instance has a token to spare; infinite without a share."""
        limit = self._limits_by_lifetime.get(lifetime)
        return limit.allowance.next_loan_after if limit is not None else math.inf

    def add_loan(self, lifetime: Lifetime, asked_at: float) -> None:
        """Add a token that another instance has lent.

        :param asked_at: clock value at which it was asked for, which is not later than it was lent.
        """
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is not None:
            limit.allowance.loans.append(asked_at + LOAN_SECONDS)

    def note_passed_over(self, lifetime: Lifetime) -> None:
        """Count a choice in which an upstream was left out for lack of a token."""
        limit = self._limits_by_lifetime.get(lifetime)
        if limit is not None:
            limit.passed_over += 1

    def remove_expired(self, registered: Collection[Lifetime], at: float) -> None:
        """Remove the limits of lifetimes that are gone."""
        expired = [
            lifetime
            for lifetime, limit in self._limits_by_lifetime.items()
            if lifetime not in registered and at - limit.stated_at > EXPIRY_SECONDS
        ]
        for lifetime in expired:
            del self._limits_by_lifetime[lifetime]

    def _refill(self, lifetime: Lifetime, limit: RequestLimit, at: float) -> None:
        share = self._shares.own_share(lifetime.upstream_id, limit.total_rate)
        limit.allowance.refill(share, at)
