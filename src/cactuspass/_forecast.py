"""Forecast of waiting times from observed service times and customer rates."""

import math
from dataclasses import dataclass

from cactuspass._group_capacity import free_capacity
from cactuspass._ramp import concurrency_limit, upstream_kind
from cactuspass._tables import HeldGroupRow, RequestRow, Tables
from cactuspass.models import CustomerId, GroupId

SERVICE_SAMPLES = 20
RATE_DECAY_SECONDS = 5.0
MIN_OBSERVED_SECONDS = 1.0
SUCCESS_SAMPLES = 20
MIN_ACTIVE_TOKENS_PER_SECOND = 0.01


@dataclass(slots=True)
class ServiceTime:
    """Moving means over a model's latest completed requests.

    :param seconds: mean service time.
    :param tokens: mean cost.
    :param samples: requests that the means weigh, at most ``SERVICE_SAMPLES``.
    """

    seconds: float
    tokens: float
    samples: int = 1

    def add(self, seconds: float, tokens: float) -> None:
        """Include one completed request in the means."""
        self.samples = min(SERVICE_SAMPLES, self.samples + 1)
        self.seconds += (seconds - self.seconds) / self.samples
        self.tokens += (tokens - self.tokens) / self.samples


@dataclass(slots=True)
class RateMeter:
    """Exponentially decaying rate of dispatched tokens.

    :param started_at: time of the first dispatch.
    :param decayed_rate: tokens per second, decayed to ``updated_at``.
    """

    started_at: float
    decayed_rate: float = 0.0
    updated_at: float = 0.0

    def value(self, now: float) -> float:
        """Return the rate at ``now`` over the time observed so far, in tokens per second."""
        observed = max(MIN_OBSERVED_SECONDS, now - self.started_at)
        return self._decayed(now) / (1.0 - math.exp(-observed / RATE_DECAY_SECONDS))

    def add(self, tokens: float, now: float) -> None:
        """Add dispatched tokens to the rate."""
        self.decayed_rate = self._decayed(now) + tokens / RATE_DECAY_SECONDS
        self.updated_at = now

    def _decayed(self, now: float) -> float:
        """Return the rate decayed to ``now``."""
        return self.decayed_rate * math.exp((self.updated_at - now) / RATE_DECAY_SECONDS)


class Forecast:
    """Estimates how long a customer's request waits for a model."""

    def __init__(self) -> None:
        self._service_times_by_model: dict[str, ServiceTime] = {}
        self._meters_by_model: dict[str, dict[CustomerId, RateMeter]] = {}
        self._capacities_by_model: dict[str, float] = {}
        self._success_rates_by_group: dict[GroupId, float] = {}

    def record_dispatch(self, row: RequestRow, now: float) -> None:
        """Add a dispatched request to the rate of its customer."""
        meters = self._meters_by_model.setdefault(row.model, {})
        meters.setdefault(row.customer, RateMeter(now)).add(max(1, row.tokens), now)

    def success_rate(self, group_id: GroupId) -> float:
        """Return the share of a group's latest requests that succeeded, 0 to 1."""
        return self._success_rates_by_group.get(group_id, 1.0)

    def record_outcome(self, group_id: GroupId, succeeded: bool) -> None:
        """Include the outcome of a request in its group's success rate."""
        rate = self.success_rate(group_id)
        change = (float(succeeded) - rate) / SUCCESS_SAMPLES
        self._success_rates_by_group[group_id] = rate + change

    def remove_group(self, group_id: GroupId) -> None:
        """Remove the success rate of a group that has restarted or is no longer held."""
        self._success_rates_by_group.pop(group_id, None)

    def record_completion(self, row: RequestRow, now: float) -> None:
        """Include the service time of a request that succeeded."""
        if row.dispatched_at is None:
            return
        seconds = max(1e-3, now - row.dispatched_at)
        service_time = self._service_times_by_model.get(row.model)
        if service_time is None:
            self._service_times_by_model[row.model] = ServiceTime(seconds, max(1, row.tokens))
        else:
            service_time.add(seconds, max(1, row.tokens))

    def set_capacity(self, tables: Tables, model: str, rows: list[HeldGroupRow]) -> None:
        """Recompute the capacity of a model, in tokens per second.

        :param rows: groups of the model that accept requests at present.
        """
        service_time = self._service_times_by_model.get(model)
        if service_time is None:
            self._capacities_by_model.pop(model, None)
            return
        requests = sum(
            self._concurrent_requests(tables, row, service_time) * self.success_rate(row.group_id)
            for row in rows
        )
        self._capacities_by_model[model] = requests * service_time.tokens / service_time.seconds

    def _concurrent_requests(
        self, tables: Tables, row: HeldGroupRow, service_time: ServiceTime
    ) -> float:
        """Return how many requests of mean size a group serves concurrently."""
        memory = upstream_kind(tables, row).memory_tokens
        limit = float(concurrency_limit(tables, row) - row.foreign_request_count)
        return max(0.0, min(limit, memory / service_time.tokens if memory else limit))

    def available_rate(
        self, model: str, customer: CustomerId, tables: Tables, now: float
    ) -> float | None:
        """Return the rate at which a customer's requests are served, in tokens per second.

        It is the larger of the customer's fair rate and of the capacity that other customers
        leave unused.

        :return: None if the model's capacity is not known yet.
        """
        capacity = self._capacities_by_model.get(model)
        fair = self.fair_rate(model, customer, tables, now)
        if capacity is None or fair is None:
            return None
        return max(fair, capacity - sum(self._other_rates(model, customer, now).values()))

    def fair_rate(
        self, model: str, customer: CustomerId, tables: Tables, now: float
    ) -> float | None:
        """Return the rate that a customer gets whatever the others send, in tokens per second.

        :return: None if the model's capacity is not known yet.
        """
        capacity = self._capacities_by_model.get(model)
        if capacity is None:
            return None
        weights = tables.weights_by_customer
        own = weights.get(customer, 1.0)
        others = self._other_rates(model, customer, now)
        return capacity * own / (own + sum(weights.get(key, 1.0) for key in others))

    def _other_rates(self, model: str, customer: CustomerId, now: float) -> dict[CustomerId, float]:
        """Return the rates of the other customers that were served recently."""
        meters = self._meters_by_model.get(model, {})
        rates = {key: meter.value(now) for key, meter in meters.items() if key != customer}
        return {key: rate for key, rate in rates.items() if rate > MIN_ACTIVE_TOKENS_PER_SECOND}

    def expected_wait(
        self, model: str, customer: CustomerId, cost: float, tables: Tables, now: float
    ) -> float | None:
        """Return the seconds until ``cost`` tokens of a customer have been served.

        :return: None if the model's capacity is not known yet; infinity if it is 0.
        """
        return seconds_to_serve(cost, self.available_rate(model, customer, tables, now))

    def remove_idle_customers(self, now: float) -> None:
        """Remove the rates of customers that have decayed to almost nothing."""
        for meters in self._meters_by_model.values():
            idle = [key for key, m in meters.items() if m.value(now) < MIN_ACTIVE_TOKENS_PER_SECOND]
            for key in idle:
                del meters[key]


def seconds_to_serve(cost: float, rate: float | None) -> float | None:
    """Return the seconds that it takes to serve a cost at a rate.

    :param cost: tokens to serve.
    :param rate: tokens per second; None if not known.
    :return: None if the rate is not known; infinity if it is 0.
    """
    if rate is None:
        return None
    return cost / rate if rate > 0 else math.inf


def has_free_capacity(tables: Tables, rows: list[HeldGroupRow], tokens: int) -> bool:
    """Return whether any of the groups has capacity for a request of that many tokens now."""
    return any(free_capacity(tables, row).fits(tokens) for row in rows)
