"""Assigns the slots of heads to instances.

An instance knows its own requests exactly, and those of others only as of half a second ago. While
each uses only the slots assigned to it, no head gets more requests than it has slots.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from hashlib import blake2b
from itertools import chain

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.models import EntryId


class SlotAssignment:
    """Assigns the slots of some heads to the registered instances of their data centre.

    All instances that know the same heads and instances assign the same; otherwise a head gets more
    or fewer requests for a moment. Each instance gets about the same number. When a head comes or
    goes, most slots of the others stay where they were, since requests that run on slots that have
    gone to another instance would be joined by those of that one.
    """

    def __init__(self, instances: Iterable[EntryId]) -> None:
        self._instances = tuple(sorted(instances))
        self._order_by_head: dict[UpstreamId, Sequence[EntryId]] = {}

    def assign(
        self, head_ids: Collection[UpstreamId], slots: int
    ) -> dict[EntryId, Counter[UpstreamId]]:
        """Return the number of slots of each head that are assigned to each instance.

        Each slot goes to the first instance in the order of its head that has not got its share.

        :param slots: number of slots of each head.
        """
        assigned = {instance: Counter[UpstreamId]() for instance in self._instances}
        if not assigned:
            return assigned
        self._order_by_head = {head_id: self._order(head_id) for head_id in head_ids}
        most = math.ceil(slots * len(head_ids) / len(assigned))
        left = dict.fromkeys(self._instances, most)
        for head_id in sorted(head_ids):
            order = self._order_by_head[head_id]
            repeated = chain.from_iterable(order for _ in range(most))
            takers = (instance for instance in repeated if left[instance] > 0)
            for _ in range(slots):
                instance = next(takers)
                left[instance] -= 1
                assigned[instance][head_id] += 1
        return assigned

    def _order(self, head_id: UpstreamId) -> Sequence[EntryId]:
        known = self._order_by_head.get(head_id)
        if known is not None:
            return known
        return sorted(self._instances, key=lambda instance: _weight(head_id, instance))


def _weight(head_id: UpstreamId, instance: EntryId) -> bytes:
    return blake2b(f"{head_id}/{instance}".encode(), digest_size=8).digest()
