"""Service-level burn: how fast each objective's error budget is used up."""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain

from cactuspass.models import CustomerId

BUCKET_SECONDS = 10.0
WINDOWS_SECONDS = (300.0, 3600.0, 21600.0, 86400.0)
WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class Objective:
    """The share of requests whose first byte must arrive within a time limit.

    :param customer: customer, or ``*`` for each.
    :param model: model, or ``*`` for each.
    :param first_token_seconds: longest time to the first byte of a good answer.
    :param share: share of requests that must be good, such as 0.95.
    :param period_seconds: time for which the error budget is meant to last.
    """

    customer: str
    model: str
    first_token_seconds: float
    share: float
    period_seconds: float = 30 * 86400.0

    def covers(self, customer: CustomerId, model: str) -> bool:
        """Return whether the objective applies to this customer and model."""
        return self.customer in (WILDCARD, customer) and self.model in (WILDCARD, model)


@dataclass(slots=True)
class Bucket:
    """Requests that ended within one interval of :data:`BUCKET_SECONDS`.

    :param start: start of the interval, in seconds since 1970.
    :param missed: requests that did not meet the objective.
    """

    start: float
    requests: int = 0
    missed: int = 0


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn of one objective over one window.

    :param burn_rate: use of the budget; at 1 it is used up exactly at the end of its period.
    :param budget_left: share of the period's budget left, estimated from the longest window.
    :param hours_left: hours until the budget is used up at this rate; None when the rate is 0.
    """

    customer: str
    model: str
    objective: str
    window_minutes: float
    requests: int
    missed: int
    burn_rate: float
    budget_left: float
    hours_left: float | None


@dataclass(slots=True)
class Series:
    """Buckets of one objective, customer and model, oldest first."""

    buckets: deque[Bucket] = field(default_factory=deque)

    def add(self, now: float, good: bool) -> None:
        """Count one request that ended, and remove buckets older than the longest window."""
        start = now - now % BUCKET_SECONDS
        if not self.buckets or self.buckets[-1].start < start:
            self.buckets.append(Bucket(start))
        self.buckets[-1].requests += 1
        self.buckets[-1].missed += not good
        while self.buckets[0].start < now - max(WINDOWS_SECONDS) - BUCKET_SECONDS:
            self.buckets.popleft()


@dataclass(frozen=True, slots=True)
class BurnPoint:
    """One bucket of one objective, customer and model, in the form that entries exchange.

    :param objective: index of the objective in the settings.
    """

    customer: str
    model: str
    objective: int
    start: float
    requests: int
    missed: int


class BurnTracker:
    """Counts good and missed requests against the objectives."""

    def __init__(self, objectives: Sequence[Objective]) -> None:
        self.objectives = tuple(objectives)
        self._series_by_key: dict[tuple[int, CustomerId, str], Series] = {}

    def record(
        self, customer: CustomerId, model: str, first_byte_seconds: float | None, now: float
    ) -> None:
        """Count one request.

        :param first_byte_seconds: time to the first byte; None when no complete answer was sent.
        :param now: wall-clock time in seconds since 1970.
        """
        for number, objective in enumerate(self.objectives):
            if not objective.covers(customer, model):
                continue
            good = (
                first_byte_seconds is not None
                and first_byte_seconds <= objective.first_token_seconds
            )
            series = self._series_by_key.setdefault((number, customer, model), Series())
            series.add(now, good)

    def points(self) -> tuple[BurnPoint, ...]:
        """Return all buckets."""
        return tuple(
            BurnPoint(customer, model, number, bucket.start, bucket.requests, bucket.missed)
            for (number, customer, model), series in sorted(self._series_by_key.items())
            for bucket in series.buckets
        )


def burn_rows(
    objectives: Sequence[Objective], points: Iterable[BurnPoint], now: float
) -> list[BurnRow]:
    """Return the burn of each objective, customer and model over each window."""
    points_by_key: dict[tuple[int, str, str], list[BurnPoint]] = {}
    for point in points:
        key = (point.objective, point.customer, point.model)
        points_by_key.setdefault(key, []).append(point)
    rows = (
        _objective_rows(objectives[number], customer, model, found, now)
        for (number, customer, model), found in sorted(points_by_key.items())
        if number < len(objectives)
    )
    return list(chain.from_iterable(rows))


def _objective_rows(
    objective: Objective, customer: str, model: str, points: Sequence[BurnPoint], now: float
) -> list[BurnRow]:
    allowed = 1.0 - objective.share
    longest = max(WINDOWS_SECONDS)
    used = _burn_rate(points, now, longest, allowed) * longest / objective.period_seconds
    left = max(0.0, 1.0 - used)
    rows = []
    for window in WINDOWS_SECONDS:
        rate = _burn_rate(points, now, window, allowed)
        recent = [point for point in points if point.start >= now - window]
        hours = left * objective.period_seconds / rate / 3600 if rate > 0 else None
        rows.append(
            BurnRow(
                customer,
                model,
                f"{objective.share:.0%} within {objective.first_token_seconds:g} s",
                window / 60,
                sum(point.requests for point in recent),
                sum(point.missed for point in recent),
                round(rate, 3),
                round(left, 4),
                None if hours is None else round(hours, 2),
            )
        )
    return rows


def _burn_rate(points: Sequence[BurnPoint], now: float, window: float, allowed: float) -> float:
    recent = [point for point in points if point.start >= now - window]
    requests = sum(point.requests for point in recent)
    missed = sum(point.missed for point in recent)
    if not requests or not missed:
        return 0.0
    return missed / requests / allowed if allowed > 0 else float("inf")
