"""Keeps loads from the weight store within what it bears."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from cactuspass.fleet._budgets import SlidingWindowCounter
from cactuspass.fleet._orders import UpstreamReport
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import ModelId

LOAD_WINDOW_SECONDS = 5.0
RATE_MARGIN = 0.9
GIVE_UP_SECONDS = 40.0
BEGIN_SECONDS = 4.0  # until then reports may not show a load yet


@dataclass(frozen=True, slots=True)
class ActiveLoad:
    """A load that was ordered and has not ended.

    :param model: None when a controller before has ordered it, so that the model is not known.
    :param begun_at: clock value at which it was ordered or noticed.
    :param until: clock value after which it is not believed in any more.
    :param urgent: whether a group can be formed as soon as it has ended.
    """

    model: ModelId | None
    begun_at: float
    until: float
    urgent: bool = False

    def has_ended(self, host: Upstream, report: UpstreamReport | None, at: float) -> bool:
        """Return whether the host has the weights, or does not load them any more."""
        if at > self.until or (self.model is not None and self.model in host.staged):
            return True
        return report is not None and not report.busy and at - self.begun_at > BEGIN_SECONDS


@dataclass(slots=True)
class LoadSchedule:
    """Loads under way by host, and how many began lately."""

    active_loads_by_id: dict[UpstreamId, ActiveLoad] = field(default_factory=dict)
    recent: SlidingWindowCounter = field(
        default_factory=lambda: SlidingWindowCounter(LOAD_WINDOW_SECONDS)
    )

    def update(
        self,
        upstreams_by_id: Mapping[UpstreamId, Upstream],
        reports_by_id: Mapping[UpstreamId, UpstreamReport],
        at: float,
    ) -> None:
        """Drop the loads that have ended, and note those that another controller has ordered."""
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
        """Return how many loads may begin now.

        :param at_once: loads that may be under way together.
        :param per_second: loads that may begin in a second, over a few seconds.
        """
        window_room = int(per_second * LOAD_WINDOW_SECONDS * RATE_MARGIN) - self.recent.count(at)
        return max(0, min(at_once - len(self.active_loads_by_id), window_room))

    @property
    def any_urgent(self) -> bool:
        """Whether a load is under way that a group waits for."""
        return any(load.urgent for load in self.active_loads_by_id.values())

    def record_start(
        self, upstream_id: UpstreamId, model: ModelId, at: float, urgent: bool = False
    ) -> None:
        """Count a load that begins."""
        self.active_loads_by_id[upstream_id] = ActiveLoad(model, at, at + GIVE_UP_SECONDS, urgent)
        self.recent.add(at)

    def mark_busy(self, upstream_id: UpstreamId, at: float) -> None:
        """Note that a host is busy with an order of a controller before."""
        known = self.active_loads_by_id.get(upstream_id)
        begun_at = known.begun_at if known is not None else at
        self.active_loads_by_id[upstream_id] = ActiveLoad(None, begun_at, at + BEGIN_SECONDS)

    def discard(self, upstream_id: UpstreamId) -> None:
        """Drop a load that was refused."""
        self.active_loads_by_id.pop(upstream_id, None)

    def is_loading(self, upstream_id: UpstreamId) -> bool:
        """Return whether a host is loading."""
        return upstream_id in self.active_loads_by_id

    def model_of(self, upstream_id: UpstreamId) -> ModelId | None:
        """Return the model that a host is loading, if that is known."""
        load = self.active_loads_by_id.get(upstream_id)
        return load.model if load is not None else None
