"""Fair shares of customers in what is served while capacity is short."""

from collections.abc import Mapping
from typing import TypeVar

from cactuspass.fleet.load_shedding._rates import AveragedRates
from cactuspass.models import CustomerId

RECENT_SECONDS = 10.0
USUAL_SECONDS = 300.0
# Of a customer that has asked for nothing so far, in what all ask for.
MIN_USUAL_SHARE = 0.02
MAX_USUAL_GROWTH = 1.2
MIN_HISTORY_SECONDS = 30.0
MIN_SERVED_SHARE = 0.25  # of the share of all requests that are served
# An instance sees few requests of most customers, so a smaller excess over the usual rate, or one
# of fewer requests, is chance.
MIN_EXCESS_FACTOR = 2.0
MIN_RECENT_REQUESTS = 8.0

KeyT = TypeVar("KeyT")


class CustomerShares:
    """What each customer asks for at this instance, now and usually."""

    def __init__(self) -> None:
        self._recent: AveragedRates[CustomerId] = AveragedRates(RECENT_SECONDS)
        self._usual: AveragedRates[CustomerId] = AveragedRates(USUAL_SECONDS)

    def note_arrival(self, customer: CustomerId, at: float) -> None:
        """Count a request; a sudden excess changes little of what is usual."""
        self._recent.note(customer, at)
        usual = max(self._usual.rate(customer), MIN_USUAL_SHARE * self._usual.total)
        recent = self._recent.rate(customer)
        is_known = self._usual.observed_seconds >= MIN_HISTORY_SECONDS
        weight = min(1.0, MAX_USUAL_GROWTH * usual / recent) if is_known else 1.0
        self._usual.note(customer, at, weight)

    def passed_share(
        self,
        customer: CustomerId,
        served_rate: float,
        begun_per_second: Mapping[CustomerId, float],
    ) -> float:
        """Return the share of a customer's requests that may ask for room.

        It is 1 for a customer that asks for about what it usually does. Others are thinned out
        to their fair shares, relative to the customer that gets the largest part of what it asks
        for, so that all of them together still ask for all the room there is.

        :param served_rate: requests per second that this instance serves.
        :param begun_per_second: requests of each customer that begin in the whole fleet.
        """
        recent = self._recent.rates_by_key
        if len(recent) < 2 or not self._is_excessive(customer):
            return 1.0
        weights = {key: self._weight(key, begun_per_second) for key in recent}
        granted = divide(served_rate, recent, weights)
        served = {key: granted[key] / rate for key, rate in recent.items() if rate > 0}
        largest = max(served.values(), default=0.0)
        if largest <= 0 or customer not in served:
            return 1.0
        overall = sum(granted.values()) / sum(recent.values())
        return min(1.0, max(MIN_SERVED_SHARE * overall, served[customer]) / largest)

    def _is_excessive(self, customer: CustomerId) -> bool:
        """Return whether a customer asks for much more than it usually does."""
        recent = self._recent.rate(customer)
        usual = max(MIN_USUAL_SHARE * self._usual.total, self._usual.rate(customer))
        is_frequent = recent * RECENT_SECONDS >= MIN_RECENT_REQUESTS
        return is_frequent and recent >= MIN_EXCESS_FACTOR * usual

    def _weight(self, customer: CustomerId, begun_per_second: Mapping[CustomerId, float]) -> float:
        """Return the share that a customer has usually, less what it exceeds it in the fleet."""
        usual = max(MIN_USUAL_SHARE, _share(self._usual, customer))
        total = sum(begun_per_second.values())
        if total <= 0:
            return usual
        return usual / max(1.0, begun_per_second.get(customer, 0.0) / total / usual)


def _share(rates: AveragedRates[CustomerId], customer: CustomerId) -> float:
    total = rates.total
    return rates.rate(customer) / total if total > 0 else 1.0


def divide(
    capacity: float, demand_by_key: Mapping[KeyT, float], weights: Mapping[KeyT, float]
) -> dict[KeyT, float]:
    """Divide a capacity by weights; what one does not ask for goes to the others.

    :return: what each gets, at most what it asks for.
    """
    granted: dict[KeyT, float] = {}
    left = dict(demand_by_key)
    while left:
        total = sum(weights[key] for key in left) or 1.0
        satisfied = [key for key in left if left[key] <= capacity * weights[key] / total]
        if not satisfied:
            return granted | {key: capacity * weights[key] / total for key in left}
        for key in satisfied:
            granted[key] = left.pop(key)
            capacity -= granted[key]
    return granted
