"""Waiting requests, and the alarm that is raised before they miss their deadlines."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cactuspass._alarms import clear_alarm, raise_alarm
from cactuspass._core import System
from cactuspass._forecast import Forecast, seconds_to_serve
from cactuspass._messages import AlarmChanged, AlarmKind, Input, Order
from cactuspass._queues import request_cost
from cactuspass._tables import RequestRow, Tables
from cactuspass.models import CustomerId, DataCentreId

RAISE_SHARE_OF_DEADLINE = 0.5
CLEAR_SHARE_OF_DEADLINE = 0.25
CLEAR_DELAY_SECONDS = 5.0
REVIEW_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class WaitingRow:
    """Requests of one customer that wait on this entry for one model.

    :param oldest_seconds: age of the oldest request.
    """

    customer: CustomerId
    model: str
    data_centre: DataCentreId
    count: int
    tokens: int
    oldest_seconds: float


def waiting_rows(tables: Tables, now: float) -> tuple[WaitingRow, ...]:
    """Return the waiting requests of this entry, by customer and model."""
    rows_by_key: dict[tuple[CustomerId, str], list[RequestRow]] = defaultdict(list)
    for row in tables.requests_by_id.values():
        if row.group_id is None:
            rows_by_key[row.customer, row.model].append(row)
    return tuple(
        WaitingRow(
            customer=customer,
            model=model,
            data_centre=tables.local.data_centre,
            count=len(rows),
            tokens=sum(row.tokens for row in rows),
            oldest_seconds=now - min(row.arrived_at for row in rows),
        )
        for (customer, model), rows in sorted(rows_by_key.items())
    )


class BacklogSystem(System):
    """Raises an alarm for a model when waiting takes too large a share of a deadline."""

    def __init__(self, forecast: Forecast) -> None:
        self._forecast = forecast
        self._low_since_by_model: dict[str, float] = {}
        self._review_at = 0.0

    def run(self, tables: Tables, inputs: Sequence[Input], now: float) -> Iterable[Order]:
        """Raise and clear the alarms of all models."""
        if now < self._review_at:
            return []
        self._review_at = now + REVIEW_INTERVAL_SECONDS
        shares_by_model = self._deadline_shares(tables, now)
        raised = {subject for kind, subject in tables.alarms_by_key if kind is AlarmKind.BACKLOG}
        orders: list[Order] = []
        for model in sorted(shares_by_model.keys() | raised):
            share = shares_by_model.get(model, 0.0)
            if model in raised:
                orders += self._clear_alarm(tables, model, share, now)
            elif share > RAISE_SHARE_OF_DEADLINE:
                orders += self._raise_alarm(tables, model, share, now)
        return orders

    def _deadline_shares(self, tables: Tables, now: float) -> dict[str, float]:
        """Return the largest share of a deadline that the expected wait takes, by model."""
        shares: dict[str, float] = defaultdict(float)
        rows = [row for row in tables.requests_by_id.values() if row.group_id is None]
        rates_by_key = {
            key: self._forecast.available_rate(key[1], key[0], tables, now)
            for key in {(row.customer, row.model) for row in rows}
        }
        ahead_by_key: dict[tuple[CustomerId, str], float] = defaultdict(float)
        for row in sorted(rows, key=lambda row: row.priority):
            key = (row.customer, row.model)
            ahead_by_key[key] += request_cost(row)
            wait = seconds_to_serve(ahead_by_key[key], rates_by_key[key]) or 0.0
            seconds = max(1e-3, row.deadline - row.arrived_at)
            shares[row.model] = max(shares[row.model], (now - row.arrived_at + wait) / seconds)
        return dict(shares)

    def _raise_alarm(
        self, tables: Tables, model: str, share: float, now: float
    ) -> list[AlarmChanged]:
        """Raise the alarm of a model."""
        rows = [row for row in waiting_rows(tables, now) if row.model == model]
        counts = ", ".join(f"{row.customer}: {row.count}" for row in rows)
        detail = f"wait takes {min(share, 9.99):.0%} of the deadline; waiting {counts}"
        return raise_alarm(tables, AlarmKind.BACKLOG, model, detail, now)

    def _clear_alarm(
        self, tables: Tables, model: str, share: float, now: float
    ) -> list[AlarmChanged]:
        """Clear the alarm of a model once waits have been short for ``CLEAR_DELAY_SECONDS``."""
        if share > CLEAR_SHARE_OF_DEADLINE:
            self._low_since_by_model.pop(model, None)
            return []
        if now - self._low_since_by_model.setdefault(model, now) < CLEAR_DELAY_SECONDS:
            return []
        del self._low_since_by_model[model]
        return clear_alarm(tables, AlarmKind.BACKLOG, model)
