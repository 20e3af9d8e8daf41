"""The upstreams that have broken connections lately, whatever was under way there."""

from collections import OrderedDict
from collections.abc import Collection

from cactuspass.fleet._upstreams import UpstreamId

BREAK_WINDOW_SECONDS = 3.0
MAX_BREAKS = 2048


class RecentBreaks:
    """When each upstream last broke connections, at any instance; the oldest are forgotten."""

    def __init__(self) -> None:
        self._broke_at_by_id: OrderedDict[UpstreamId, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._broke_at_by_id)

    def note(self, upstream_id: UpstreamId, at: float) -> bool:
        """Record that an upstream broke connections.

        :return: whether it was not known to have done so in the last seconds.
        """
        known_at = self._broke_at_by_id.get(upstream_id, float("-inf"))
        is_new = at - known_at > BREAK_WINDOW_SECONDS
        self._broke_at_by_id[upstream_id] = max(at, known_at)
        self._broke_at_by_id.move_to_end(upstream_id)
        if len(self._broke_at_by_id) > MAX_BREAKS:
            self._broke_at_by_id.popitem(last=False)
        return is_new

    def count_others(self, upstream_ids: Collection[UpstreamId], at: float) -> int:
        """Return how many upstreams other than some broke connections in the last seconds."""
        since = at - BREAK_WINDOW_SECONDS
        recent = (i for i, broke_at in self._broke_at_by_id.items() if broke_at >= since)
        return sum(upstream_id not in upstream_ids for upstream_id in recent)
