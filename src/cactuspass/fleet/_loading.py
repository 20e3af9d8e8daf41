"""Keeps loads from the weight store within what it bears."""

from dataclasses import dataclass, field

from cactuspass.fleet._budgets import SlidingCount
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import ModelId

LOAD_WINDOW_SECONDS = 5.0
RATE_MARGIN = 0.9
GIVE_UP_SECONDS = 40.0


@dataclass(slots=True)
class LoadSchedule:
    """Loads that were ordered and have not ended.

    :param started_by_id: model and clock value of each load under way.
    """

    started_by_id: dict[UpstreamId, tuple[ModelId, float]] = field(default_factory=dict)
    recent: SlidingCount = field(default_factory=lambda: SlidingCount(LOAD_WINDOW_SECONDS))

    def update(self, upstreams_by_id: dict[UpstreamId, Upstream], at: float) -> None:
        """Drop the loads that have ended or whose upstream is gone."""
        for upstream_id, (model, started_at) in list(self.started_by_id.items()):
            upstream = upstreams_by_id.get(upstream_id)
            ended = upstream is None or model in upstream.staged
            if ended or at - started_at > GIVE_UP_SECONDS:
                del self.started_by_id[upstream_id]

    def room(self, at_once: int, per_second: float, at: float) -> int:
        """Return how many loads may begin now.

        :param at_once: loads that may be under way together.
        :param per_second: loads that may begin in a second, over a few seconds.
        """
        window_room = int(per_second * LOAD_WINDOW_SECONDS * RATE_MARGIN) - self.recent.count(at)
        return max(0, min(at_once - len(self.started_by_id), window_room))

    def start(self, upstream_id: UpstreamId, model: ModelId, at: float) -> None:
        """Count a load that begins."""
        self.started_by_id[upstream_id] = (model, at)
        self.recent.add(at)

    def loads(self, upstream_id: UpstreamId) -> ModelId | None:
        """Return the model that a host is loading."""
        started = self.started_by_id.get(upstream_id)
        return started[0] if started is not None else None
