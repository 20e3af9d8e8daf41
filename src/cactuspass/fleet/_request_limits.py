"""The limits that upstreams state for the requests of all instances together."""

from dataclasses import dataclass
from enum import Enum

from cactuspass.fleet._upstreams import Lifetime

MAX_LIMITS = 4096
# A stated limit that differs by less than this share is not logged again.
LOGGED_CHANGE_SHARE = 0.1


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
    :param logged_rate: the rate in the last log line.
    :param sent: requests that this instance has sent since.
    """

    rate: float
    since: float
    stated_at: float
    logged_rate: float
    sent: int = 0


class RequestLimits:
    """The limits in force, by lifetime of the upstream."""

    def __init__(self) -> None:
        self._limits_by_lifetime: dict[Lifetime, RequestLimit] = {}

    @property
    def limits_by_lifetime(self) -> dict[Lifetime, RequestLimit]:
        """The limits in force."""
        return dict(self._limits_by_lifetime)

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
            if rate is None:
                return LimitChange.NONE
            self._add(lifetime, RequestLimit(rate, at, at, rate))
            return LimitChange.BEGUN
        is_newer = sent_at >= known.stated_at
        if rate is None:
            if not is_newer:
                return LimitChange.NONE
            del self._limits_by_lifetime[lifetime]
            return LimitChange.ENDED
        if rate > known.rate and not is_newer:
            return LimitChange.NONE
        known.rate, known.stated_at = rate, at
        if abs(rate - known.logged_rate) <= LOGGED_CHANGE_SHARE * known.logged_rate:
            return LimitChange.NONE
        known.logged_rate = rate
        return LimitChange.CHANGED

    def _add(self, lifetime: Lifetime, limit: RequestLimit) -> None:
        if len(self._limits_by_lifetime) >= MAX_LIMITS:
            del self._limits_by_lifetime[next(iter(self._limits_by_lifetime))]
        self._limits_by_lifetime[lifetime] = limit
