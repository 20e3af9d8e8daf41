"""Heads of groups with the room that they have for a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from cactuspass.fleet._upstreams import Upstream

MIN_WEIGHT = 0.1
# Connections to few heads are used again and again, while heads with more room still come first.
NEW_CONNECTION_FACTOR = 0.7
INCOMPLETE_GROUP_FACTOR = 0.2


@dataclass(frozen=True, slots=True)
class Head:
    """A head that could take a request.

    :param requests: estimated requests there, of all instances.
    :param own_requests: requests of this instance there.
    :param slots: requests that it runs at the same time.
    :param is_connected: whether an idle connection is open.
    :param is_complete: whether its group has all members.
    :param failure_share: share of recent responses that were failures.
    """

    upstream: Upstream
    requests: float
    own_requests: int
    slots: int
    is_connected: bool = True
    is_complete: bool = True
    failure_share: float = 0.0

    @property
    def free_slots(self) -> float:
        """Requests that it can run in addition; negative for those that it queues."""
        return self.slots - self.requests

    @property
    def weight(self) -> float:
        """Relative probability with which it is chosen."""
        weight = max(MIN_WEIGHT, self.free_slots) * (1.0 - min(1.0, self.failure_share))
        if not self.is_connected:
            weight *= NEW_CONNECTION_FACTOR
        return weight if self.is_complete else weight * INCOMPLETE_GROUP_FACTOR


def choose_by_room(heads: Sequence[Head], rng: random.Random) -> Head:
    """Return a head at random in proportion to its free room.

    The least loaded one would be overfilled, since all instances would choose it until its new load
    is known.
    """
    if len(heads) == 1:
        return heads[0]
    weights = [max(1e-6, head.weight) for head in heads]
    return rng.choices(heads, weights)[0]
