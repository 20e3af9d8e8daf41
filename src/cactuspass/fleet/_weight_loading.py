"""Limits how many hosts load weights from the weight store at once."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._budgets import SlidingWindowCounter
from cactuspass.fleet._orders import UpstreamReport
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import ModelId

LOAD_WINDOW_SECONDS = 5.0
RATE_MARGIN = 0.9
LOAD_TIMEOUT_SECONDS = 40.0
LOAD_REPORT_DELAY_SECONDS = 4.0  # reports may show a load only after this time


@dataclass(frozen=True, slots=True)
class ActiveLoad:
    """A load of weights that was ordered and has not ended.

    :param model: model whose weights are loaded; None when it is not known, since an earlier
        controller has ordered the load.
    :param begun_at: clock value at which the load was ordered or first detected.
    :param expires_at: clock value after which the load counts as ended.
    :param urgent: whether a group can be formed as soon as the load has ended.
    """

    model: ModelId | None
    begun_at: float
    expires_at: float
    urgent: bool = False

    def has_ended(self, host: Upstream, report: UpstreamReport | None, at: float) -> bool:
        """Return whether the host has the weights or has stopped loading them."""
        if at > self.expires_at or (self.model is not None and self.model in host.staged):
            return True
        return (
            report is not None
            and not report.busy
            and at - self.begun_at > LOAD_REPORT_DELAY_SECONDS
        )


@dataclass(slots=True)
class LoadSchedule:
    """Active loads of weights by host, and the number of loads that started recently."""

    active_loads_by_id: dict[UpstreamId, ActiveLoad] = field(default_factory=dict)
    recent_starts: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(LOAD_WINDOW_SECONDS)
    )

    def update(
        self,
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        reports_by_id: Mapping[UpstreamId, UpstreamReport],
        at: float,
    ) -> None:
        """Drop loads that have ended, and add those that an earlier controller has ordered."""
        for upstream_id, load in list(self.active_loads_by_id.items()):
            upstream = upstreams_by_id.get(upstream_id)
            report = reports_by_id.get(upstream_id)
            if upstream is None or load.has_ended(upstream, report, at):
                del self.active_loads_by_id[upstream_id]
        for upstream_id, report in reports_by_id.items():
            upstream = upstreams_by_id.get(upstream_id)
            if upstream is None or upstream.membership is not None or not report.busy:
                continue
            if self.model_of(upstream_id) is None:
                self.mark_busy(upstream_id, at)

    def free_capacity(self, at_once: int, per_second: float, at: float) -> int:
        """Return how many loads may start now.

        :param at_once: loads that may be active at the same time.
        :param per_second: loads that may start in a second, averaged over the load window.
        """
        window_capacity = int(
            per_second * LOAD_WINDOW_SECONDS * RATE_MARGIN
        ) - self.recent_starts.count(at)
        return max(0, min(at_once - len(self.active_loads_by_id), window_capacity))

    @property
    def any_urgent(self) -> bool:
        """Whether a load is active that a group waits for."""
        return any(load.urgent for load in self.active_loads_by_id.values())

    def record_start(
        self, upstream_id: UpstreamId, model: ModelId, at: float, urgent: bool = False
    ) -> None:
        """Record a load that starts now."""
        self.active_loads_by_id[upstream_id] = ActiveLoad(
            model, at, at + LOAD_TIMEOUT_SECONDS, urgent
        )
        self.recent_starts.add(at)

    def mark_busy(self, upstream_id: UpstreamId, at: float) -> None:
        """Record that a host is busy with an order of an earlier controller."""
        known = self.active_loads_by_id.get(upstream_id)
        begun_at = known.begun_at if known is not None else at
        self.active_loads_by_id[upstream_id] = ActiveLoad(
            None, begun_at, at + LOAD_REPORT_DELAY_SECONDS
        )

    def discard(self, upstream_id: UpstreamId) -> None:
        """Drop the load of a host, for example when the host has refused it."""
        self.active_loads_by_id.pop(upstream_id, None)

    def is_loading(self, upstream_id: UpstreamId) -> bool:
        """Return whether a host is loading."""
        return upstream_id in self.active_loads_by_id

    def model_of(self, upstream_id: UpstreamId) -> ModelId | None:
        """Return the model that a host is loading, or None when it is loading none or unknown."""
        load = self.active_loads_by_id.get(upstream_id)
        return load.model if load is not None else None
