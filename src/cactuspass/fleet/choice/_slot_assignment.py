"""Assigns the slots of heads to instances.

An instance knows its own requests exactly, and those of others only as of half a second ago. While
each uses only the slots assigned to it, no head gets more requests than it has slots.
"""

from collections import Counter
from collections.abc import Collection

from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.models import EntryId


def assign_slots(
    head_ids: Collection[UpstreamId],
    slots: int,
    instances: Collection[EntryId],
    instance: EntryId | None,
) -> Counter[UpstreamId]:
    """Return the number of slots of each head that are assigned to an instance.

    The slots of all heads in turn go to the instances in turn, so that each gets the same number,
    and an instance uses few heads. All instances that know the same heads and instances assign the
    same; otherwise a head gets more or fewer requests for a moment.

    :param instances: registered instances of the data centre of the heads.
    """
    ordered = sorted(instances)
    if instance not in ordered:
        return Counter()
    first = ordered.index(instance)
    turns = range(first, slots * len(head_ids), len(ordered))
    ordered_heads = sorted(head_ids)
    return Counter(ordered_heads[turn // slots] for turn in turns)
