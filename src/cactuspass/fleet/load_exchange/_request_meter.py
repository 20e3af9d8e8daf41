"""Counts the requests of one instance since its start, by model and by customer."""

from collections.abc import Callable
from dataclasses import dataclass

from cactuspass.fleet.load_exchange._fleet_load import ModelKey
from cactuspass.models import CustomerId

# Bounds of what an instance counts and sends, whatever its callers ask for.
MAX_MODELS = 64
MAX_CUSTOMERS = 64


@dataclass(slots=True)
class ModelCounters:
    """Requests for one model since the start of the instance.

    :param arrivals: requests that were admitted, including those that were refused later.
    :param refused: requests that were refused before they ran.
    :param begun_in_time: requests whose first event came within the objective of their route.
    :param begun_late: requests whose first event came later.
    :param ended: attempts that have begun and have ended.
    :param engine_seconds: time of these attempts, from sending to the end.
    """

    arrivals: int = 0
    refused: int = 0
    begun_in_time: int = 0
    begun_late: int = 0
    ended: int = 0
    engine_seconds: float = 0.0


def _is_any(_: ModelKey) -> bool:
    return True


class RequestMeter:
    """Counts requests where they arrive, are refused, begin and end.

    Requests for undeclared models are not counted, since callers choose their names.

    :param is_declared: whether a service with engines declares a model.
    """

    def __init__(self, is_declared: Callable[[ModelKey], bool] = _is_any) -> None:
        self._is_declared = is_declared
        self.counters_by_key: dict[ModelKey, ModelCounters] = {}
        self.begun_by_customer: dict[CustomerId, int] = {}

    def note_arrival(self, key: ModelKey) -> None:
        """Count a request that was admitted."""
        if (counters := self._counters(key)) is not None:
            counters.arrivals += 1

    def note_refused(self, key: ModelKey) -> None:
        """Count a request that was refused before it ran."""
        if (counters := self._counters(key)) is not None:
            counters.refused += 1

    def note_begun(self, key: ModelKey, customer: CustomerId | None, is_in_time: bool) -> None:
        """Count a request whose first event has arrived.

        :param customer: None for a request without a customer.
        """
        counters = self._counters(key)
        if counters is not None and is_in_time:
            counters.begun_in_time += 1
        elif counters is not None:
            counters.begun_late += 1
        known = self.begun_by_customer
        if customer is not None and (customer in known or len(known) < MAX_CUSTOMERS):
            known[customer] = known.get(customer, 0) + 1

    def note_ended(self, key: ModelKey, seconds: float) -> None:
        """Count an attempt that had begun and has ended.

        :param seconds: time from sending to the end.
        """
        if (counters := self._counters(key)) is not None:
            counters.ended += 1
            counters.engine_seconds += seconds

    def _counters(self, key: ModelKey) -> ModelCounters | None:
        """Return the counters of a model; None if its requests are not counted."""
        counters = self.counters_by_key.get(key)
        if counters is not None:
            return counters
        if len(self.counters_by_key) >= MAX_MODELS or not self._is_declared(key):
            return None
        counters = self.counters_by_key[key] = ModelCounters()
        return counters
