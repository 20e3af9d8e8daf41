"""How much of the room at heads may go to instances to which it is not assigned."""

import math
from dataclasses import dataclass

# Share of the slots up to which requests may be sent by known loads. Nobody knows what the others
# have sent since, so above it some heads get more requests than they have slots.
MAX_KNOWN_SHARE = 0.76
SHARE_LOST_PER_SECOND_OF_AGE = 0.1
# An instance with few slots sends most of its requests by known loads.
FEW_SLOTS = 2.0
SHARE_LOST_WITHOUT_SLOTS = 0.14
MAX_OFFERED_PER_SLOT = 10.0


@dataclass(frozen=True, slots=True)
class Shortage:
    """How short the room is.

    :param lent_share: share of the requests without a slot of their own instance that may use one
        of another; 1 while there is room for all, and 0 when the owners need all slots.
    :param own_share: share of the requests that find a slot of their own instance.
    """

    lent_share: float
    own_share: float

    @property
    def is_short(self) -> bool:
        """Whether some requests are refused."""
        return self.lent_share < 1.0


def carried_share(offered_per_slot: float, slots_per_instance: float) -> float:
    """Return the share of the assigned slots that the requests of their own instances use.

    :param offered_per_slot: requests that would run at the same time, for each slot.
    :param slots_per_instance: slots that are assigned to each instance, on average.
    """
    if offered_per_slot <= 0 or slots_per_instance <= 0:
        return 0.0
    offered = min(offered_per_slot, MAX_OFFERED_PER_SLOT) * slots_per_instance
    whole = math.floor(slots_per_instance)
    more_share = slots_per_instance - whole
    carried = (1 - more_share) * _carried(offered, whole) + more_share * _carried(
        offered, whole + 1
    )
    return carried / slots_per_instance


def _carried(offered: float, slots: int) -> float:
    """Return the mean number of slots in use when requests that find none are lost (Erlang B)."""
    blocked = 1.0
    for count in range(1, slots + 1):
        blocked = offered * blocked / (count + offered * blocked)
    return offered * (1 - blocked)


def find_shortage(offered_per_slot: float, slots_per_instance: float, age: float) -> Shortage:
    """Return how short the room of a data centre is.

    :param age: seconds since the known loads were true.
    """
    target = MAX_KNOWN_SHARE - SHARE_LOST_PER_SECOND_OF_AGE * age
    target -= SHARE_LOST_WITHOUT_SLOTS * max(0.0, 1.0 - slots_per_instance / FEW_SLOTS)
    if offered_per_slot <= target:
        return Shortage(1.0, 1.0)
    carried = carried_share(offered_per_slot, slots_per_instance)
    lent_share = (target - carried) / (offered_per_slot - carried)
    return Shortage(min(1.0, max(0.0, lent_share)), carried / offered_per_slot)
