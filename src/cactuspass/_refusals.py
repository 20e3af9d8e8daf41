"""Refusals of requests that have not run, with the time after which to retry."""

import math
from typing import TypeGuard

from cactuspass._forecast import Forecast
from cactuspass._messages import RefusalReason, Refuse, RequestArrived
from cactuspass._queues import request_cost
from cactuspass._retry_schedule import RetryReservation, RetrySchedule
from cactuspass._tables import RequestRow, Tables

DEFAULT_RETRY_SECONDS = 2.0
NOT_SERVED_RETRY_SECONDS = 10.0
FORWARDED_RETRY_SECONDS = 0.5
MAX_OUTAGE_RETRY_SECONDS = 60.0
TARGET_SHARE_OF_DEADLINE = 0.5


class RefusalPolicy:
    """Decides which deadlines can't be met and when refused callers should retry."""

    def __init__(self, forecast: Forecast, schedule: RetrySchedule) -> None:
        self._forecast = forecast
        self._schedule = schedule

    def misses_deadline(
        self, tables: Tables, item: RequestArrived, waiting: float, now: float
    ) -> bool:
        """Return whether a new request is certain to miss its deadline.

        A first attempt also waits behind the retries that are due before its deadline, so that
        callers who follow ``Retry-After`` get the capacity that is reserved for them. A retry
        claims its reservation. While no group can be sent to, no wait is certain to be too long.

        :param waiting: cost of the customer's waiting requests, in tokens.
        """
        if item.deadline <= now:
            return True
        cost = request_cost(item)
        is_marked = item.returning or bool(item.excluded)
        if not self._schedule.claim(_reservation(item), is_marked, now):
            waiting += self._schedule.expected_cost(item.model, item.customer, item.deadline)
        wait = self._forecast.expected_wait(item.model, item.customer, waiting + cost, tables, now)
        return _is_certain(wait) and now + wait > item.deadline

    def refuse_overload(
        self,
        tables: Tables,
        item: RequestArrived | RequestRow,
        reason: RefusalReason,
        waiting: float,
        now: float,
    ) -> Refuse:
        """Refuse a request because of overload, and reserve capacity for the caller's retry.

        The retry is scheduled for when its wait would take at most
        ``TARGET_SHARE_OF_DEADLINE`` of the time that the request allows.

        :param waiting: cost of the customer's waiting requests, in tokens.
        """
        rate = self._forecast.available_rate(item.model, item.customer, tables, now)
        guaranteed = self._forecast.fair_rate(item.model, item.customer, tables, now)
        if not rate or not guaranteed:
            return Refuse(item.request_id, reason, DEFAULT_RETRY_SECONDS * self._schedule.jitter())
        cost = request_cost(item)
        target_wait = TARGET_SHARE_OF_DEADLINE * max(0.0, item.deadline - now)
        earliest = now + max(0.0, (waiting + cost) / rate - target_wait)
        period = self._schedule.reserve(_reservation(item), guaranteed, earliest, now)
        return Refuse(item.request_id, reason, period)

    def refuse_outage(self, item: RequestArrived | RequestRow, down_for: float) -> Refuse:
        """Refuse a request because no group of its model can be sent to.

        The longer the outage, the later the retry.

        :param down_for: seconds since requests could last be sent to a group.
        """
        period = min(MAX_OUTAGE_RETRY_SECONDS, max(DEFAULT_RETRY_SECONDS, down_for))
        reason = RefusalReason.NO_CAPACITY
        detail = f"no group of {item.model} can be sent to"
        return Refuse(item.request_id, reason, period * self._schedule.jitter(), detail)

    def refuse_unknown_model(self, item: RequestArrived | RequestRow) -> Refuse:
        """Refuse a request because no entry is known to serve its model."""
        period = NOT_SERVED_RETRY_SECONDS * self._schedule.jitter()
        return Refuse(item.request_id, RefusalReason.NOT_SERVED, period, "unknown model")

    def refuse_forwarded(self, item: RequestArrived | RequestRow, reason: RefusalReason) -> Refuse:
        """Refuse a forwarded request, so that the forwarding peer tries another one."""
        period = FORWARDED_RETRY_SECONDS * self._schedule.jitter()
        return Refuse(item.request_id, reason, period, "the entry holds no group that can take it")

    def refuse_oversized(self, item: RequestArrived | RequestRow, limit: int) -> Refuse:
        """Refuse a request that exceeds the memory of every group.

        :param limit: tokens that fit the memory of the largest group.
        """
        detail = f"{item.tokens} tokens do not fit the memory of any upstream ({limit} tokens)"
        return Refuse(item.request_id, RefusalReason.NO_CAPACITY, 0.0, detail)

    def drop_missed_retries(self, now: float) -> None:
        """Drop reservations for retries that did not come."""
        self._schedule.drop_missed(now)


def _reservation(item: RequestArrived | RequestRow) -> RetryReservation:
    """Return the reservation for the retry of a request."""
    prompt = item.prefixes[-1] if item.prefixes else ""
    return RetryReservation(item.model, item.customer, request_cost(item), prompt)


def waits_too_long(row: RequestRow, wait: float | None, now: float) -> bool:
    """Return whether a waiting request is certain to miss its deadline.

    :param wait: expected wait in seconds; None if not known.
    """
    seconds_left = row.deadline - now
    return seconds_left <= 0 or (_is_certain(wait) and wait > seconds_left)


def _is_certain(wait: float | None) -> TypeGuard[float]:
    """Return whether an expected wait is known.

    It is infinite while nothing is served, and it is not known when that ends.
    """
    return wait is not None and wait != math.inf
