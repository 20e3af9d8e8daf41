"""Refusals of requests that have not run, and when their callers should come back."""

import math

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
    """Decides when a deadline can't be met and what to tell the refused caller."""

    def __init__(self, forecast: Forecast, schedule: RetrySchedule) -> None:
        self._forecast = forecast
        self._schedule = schedule

    def misses_deadline(
        self, tables: Tables, item: RequestArrived, waiting: float, now: float
    ) -> bool:
        """Return whether a new request would surely miss its deadline.

        A request that is neither a return nor a retry also waits behind the returns that are
        due before its deadline, so that those who follow their ``Retry-After`` find the room
        that they were told of.
        """
        if item.deadline <= now:
            return True
        cost = request_cost(item)
        known = item.returning or bool(item.excluded)
        if not self._schedule.claim(_reservation(item), known, now):
            waiting += self._schedule.expected_cost(item.model, item.customer, item.deadline)
        wait = self._forecast.expected_wait(item.model, item.customer, waiting + cost, tables, now)
        return wait is not None and now + wait > item.deadline

    def refuse_overload(
        self,
        tables: Tables,
        item: RequestArrived | RequestRow,
        reason: RefusalReason,
        waiting: float,
        now: float,
    ) -> Refuse:
        """Refuse for too much work and book the caller's return.

        :param waiting: tokens that the customer has waiting.
        """
        share = self._forecast.available_rate(item.model, item.customer, tables, now)
        guaranteed = self._forecast.fair_rate(item.model, item.customer, tables, now)
        if not share or not guaranteed:
            return Refuse(item.request_id, reason, DEFAULT_RETRY_SECONDS * self._schedule.jitter())
        cost = request_cost(item)
        patience = TARGET_SHARE_OF_DEADLINE * max(0.0, item.deadline - now)
        earliest = now + max(0.0, (waiting + cost) / share - patience)
        period = self._schedule.reserve(_reservation(item), guaranteed, earliest, now)
        return Refuse(item.request_id, reason, period)

    def refuse_outage(self, item: RequestArrived | RequestRow, down_for: float) -> Refuse:
        """Refuse because no group can be sent to; the longer the outage, the later the return.

        :param down_for: seconds since a group could last be sent to.
        """
        period = min(MAX_OUTAGE_RETRY_SECONDS, max(DEFAULT_RETRY_SECONDS, down_for))
        reason = RefusalReason.NO_CAPACITY
        detail = f"no group of {item.model} can be sent to"
        return Refuse(item.request_id, reason, period * self._schedule.jitter(), detail)

    def refuse_unknown_model(self, item: RequestArrived | RequestRow) -> Refuse:
        """Refuse because nobody is known to serve the model."""
        period = NOT_SERVED_RETRY_SECONDS * self._schedule.jitter()
        return Refuse(item.request_id, RefusalReason.NOT_SERVED, period, "unknown model")

    def refuse_forwarded(self, item: RequestArrived | RequestRow, reason: RefusalReason) -> Refuse:
        """Refuse a forwarded request, so that its forwarder tries another peer."""
        period = FORWARDED_RETRY_SECONDS * self._schedule.jitter()
        return Refuse(item.request_id, reason, period, "the entry holds no group that can take it")

    def refuse_oversized(self, item: RequestArrived | RequestRow, limit: int) -> Refuse:
        """Refuse a request that no group can ever hold.

        :param limit: tokens that the largest group can hold.
        """
        detail = f"{item.tokens} tokens do not fit the memory of any upstream ({limit} tokens)"
        return Refuse(item.request_id, RefusalReason.NO_CAPACITY, 0.0, detail)

    def drop_missed_retries(self, now: float) -> None:
        """Drop returns that did not come."""
        self._schedule.drop_missed(now)


def _reservation(item: RequestArrived | RequestRow) -> RetryReservation:
    """Return what is booked for a request when it is refused."""
    prompt = item.prefixes[-1] if item.prefixes else ""
    return RetryReservation(item.model, item.customer, request_cost(item), prompt)


def waits_too_long(row: RequestRow, wait: float | None, now: float) -> bool:
    """Return whether a waiting request surely misses its deadline.

    :param wait: forecast of its wait in seconds; None while nothing is known.
    """
    left = row.deadline - now
    return left <= 0 or (wait is not None and wait != math.inf and wait > left)
