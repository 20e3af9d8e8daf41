"""Forecast of waits, from observed service times and the rates of the customers."""

import math
from dataclasses import dataclass

from cactuspass._group_capacity import free_capacity
from cactuspass._ramp import concurrency_limit, upstream_kind
from cactuspass._tables import HeldGroupRow, RequestRow, Tables
from cactuspass.models import CustomerId, GroupId

SERVICE_SAMPLES = 20
RATE_SECONDS = 5.0
MIN_RATE_SECONDS = 1.0
SUCCESS_SAMPLES = 20
ACTIVE_TOKENS_PER_SECOND = 0.01


@dataclass(slots=True)
class ServiceTime:
    """Moving means of one model's completed requests."""

    seconds: float
    tokens: float
    samples: int = 1

    def add(self, seconds: float, tokens: float) -> None:
        """Count one completed request."""
        self.samples = min(SERVICE_SAMPLES, self.samples + 1)
        self.seconds += (seconds - self.seconds) / self.samples
        self.tokens += (tokens - self.tokens) / self.samples


@dataclass(slots=True)
class RateMeter:
    """Exponentially decaying rate of dispatched tokens."""

    since: float
    sum_per_second: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        """Return the rate at ``now``, in tokens per second, of the time observed so far."""
        observed = max(MIN_RATE_SECONDS, now - self.since)
        return self._decayed(now) / (1.0 - math.exp(-observed / RATE_SECONDS))

    def add(self, tokens: float, now: float) -> None:
        """Count dispatched tokens."""
        self.sum_per_second = self._decayed(now) + tokens / RATE_SECONDS
        self.at = now

    def _decayed(self, now: float) -> float:
        """Return the decayed sum at ``now``."""
        return self.sum_per_second * math.exp((self.at - now) / RATE_SECONDS)


class Forecast:
    """Estimates how long a customer's request waits for a model."""

    def __init__(self) -> None:
        self._services_by_model: dict[str, ServiceTime] = {}
        self._meters_by_model: dict[str, dict[CustomerId, RateMeter]] = {}
        self._capacities_by_model: dict[str, float] = {}
        self._success_by_group: dict[GroupId, float] = {}

    def dispatched(self, row: RequestRow, now: float) -> None:
        """Count a request as served to its customer."""
        meters = self._meters_by_model.setdefault(row.model, {})
        meters.setdefault(row.customer, RateMeter(now)).add(max(1, row.tokens), now)

    def success(self, group_id: GroupId) -> float:
        """Return the share of a group's latest requests that succeeded."""
        return self._success_by_group.get(group_id, 1.0)

    def ended(self, group_id: GroupId, succeeded: bool) -> None:
        """Count the outcome of a request for its group."""
        success = self.success(group_id)
        change = (float(succeeded) - success) / SUCCESS_SAMPLES
        self._success_by_group[group_id] = success + change

    def forget_group(self, group_id: GroupId) -> None:
        """Forget the outcomes of a group that is held no longer or has restarted."""
        self._success_by_group.pop(group_id, None)

    def completed(self, row: RequestRow, now: float) -> None:
        """Count the service time of a request that succeeded."""
        if row.dispatched_at is None:
            return
        seconds = max(1e-3, now - row.dispatched_at)
        service = self._services_by_model.get(row.model)
        if service is None:
            self._services_by_model[row.model] = ServiceTime(seconds, max(1, row.tokens))
        else:
            service.add(seconds, max(1, row.tokens))

    def set_capacity(self, tables: Tables, model: str, rows: list[HeldGroupRow]) -> None:
        """Recompute the capacity of a model from the groups that may be sent to.

        :param rows: groups of the model that take work at present.
        """
        service = self._services_by_model.get(model)
        if service is None:
            self._capacities_by_model.pop(model, None)
            return
        slots = sum(self._slots(tables, row, service) * self.success(row.group_id) for row in rows)
        self._capacities_by_model[model] = slots * service.tokens / service.seconds

    def _slots(self, tables: Tables, row: HeldGroupRow, service: ServiceTime) -> float:
        """Return the requests of mean size that a group serves at once."""
        memory = upstream_kind(tables, row).memory_tokens
        bearable = float(concurrency_limit(tables, row) - row.foreign_held)
        return max(0.0, min(bearable, memory / service.tokens if memory else bearable))

    def share(self, model: str, customer: CustomerId, tables: Tables, now: float) -> float | None:
        """Return the rate at which the customer is served, in tokens per second.

        It is the larger of the fair share and of what the other customers leave.

        :return: None while nothing is known of the model.
        """
        capacity = self._capacities_by_model.get(model)
        fair = self.fair_share(model, customer, tables, now)
        if capacity is None or fair is None:
            return None
        return max(fair, capacity - sum(self._other_rates(model, customer, now).values()))

    def fair_share(
        self, model: str, customer: CustomerId, tables: Tables, now: float
    ) -> float | None:
        """Return the rate that the customer gets whatever the others send.

        :return: None while nothing is known of the model.
        """
        capacity = self._capacities_by_model.get(model)
        if capacity is None:
            return None
        weights = tables.weights_by_customer
        own = weights.get(customer, 1.0)
        others = self._other_rates(model, customer, now)
        return capacity * own / (own + sum(weights.get(key, 1.0) for key in others))

    def _other_rates(self, model: str, customer: CustomerId, now: float) -> dict[CustomerId, float]:
        """Return the rates of the other customers that were served lately."""
        meters = self._meters_by_model.get(model, {})
        rates = {key: meter.value(now) for key, meter in meters.items() if key != customer}
        return {key: rate for key, rate in rates.items() if rate > ACTIVE_TOKENS_PER_SECOND}

    def wait(
        self, model: str, customer: CustomerId, cost: float, tables: Tables, now: float
    ) -> float | None:
        """Return the seconds until ``cost`` tokens of the customer have been served.

        :return: None while nothing is known; infinity while nothing is served.
        """
        return wait_of(cost, self.share(model, customer, tables, now))

    def forget_idle(self, now: float) -> None:
        """Forget the rates of customers that have been idle for long."""
        for meters in self._meters_by_model.values():
            idle = [key for key, m in meters.items() if m.value(now) < ACTIVE_TOKENS_PER_SECOND]
            for key in idle:
                del meters[key]


def wait_of(cost: float, share: float | None) -> float | None:
    """Return the seconds in which a share serves a cost.

    :param share: tokens per second; None while nothing is known.
    """
    if share is None:
        return None
    return cost / share if share > 0 else math.inf


def has_free_room(tables: Tables, rows: list[HeldGroupRow], tokens: int) -> bool:
    """Return whether any of the groups can take a request of that size now."""
    return any(free_capacity(tables, row).fits(tokens) for row in rows)
