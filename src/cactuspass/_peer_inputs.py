"""Inputs and orders of peers and seats.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
"""

from dataclasses import dataclass

from cactuspass._message_base import Input, Order
from cactuspass.models import (
    BootId,
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    Seat,
    TakeOut,
)


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """What a holder tells its peers of one group.

    :param free: requests the group can take now.
    :param queued: requests waiting for it.
    :param ramp: requests it bears at present.
    :param missing: reachable members that lack the weights.
    """

    group_id: GroupId
    model: str
    boot_id: BootId
    serving: bool
    free: int
    queued: int
    ramp: int
    held: int
    missing: int = 0


@dataclass(frozen=True, slots=True)
class PeerHeard(Input):
    """A peer's heartbeat arrived."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    configuration_revision: int
    take_out_tags: tuple[str, ...]
    placement_version: int
    ready: bool
    draining: bool
    groups: tuple[GroupSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerLost(Input):
    """The connection to a peer broke."""

    entry_id: EntryId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class GrantAsked(Input):
    """A peer of the data centre asks to go on holding without the platform.

    :param sent_at: the asker's clock; the answer carries it back unread.
    """

    entry_id: EntryId
    incarnation: Incarnation
    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class Granted(Input):
    """A peer promised not to remove our seat until ``sent_at`` plus ``period``.

    :param sent_at: when we asked, by our clock.
    :param period: seconds that the promise lasts.
    """

    entry_id: EntryId
    incarnation: Incarnation
    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class SeatGiven(Input):
    """A leaving peer gave up its seat for good and names who may use it.

    :param foreign_held_by_group: requests that the leaver still has running, by group.
    :param to_entry: the only entry that may use it from now on.
    """

    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]
    to_entry: EntryId = EntryId("")


@dataclass(frozen=True, slots=True)
class AskGrant(Order):
    """Send :class:`GrantAsked` to a peer."""

    entry_id: EntryId
    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class SendGrant(Order):
    """Answer a peer's :class:`GrantAsked`."""

    entry_id: EntryId
    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class GiveSeat(Order):
    """Give the own seat, or one that was taken over, to a peer for good.

    The edge sends :class:`SeatGiven` to every peer of the data centre; only ``to_entry`` may use
    the seat.
    """

    to_entry: EntryId
    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]


@dataclass(frozen=True, slots=True)
class TakeOutsHeard(Input):
    """Take-outs accepted while the platform was down, from an operator or a peer."""

    take_outs: tuple[TakeOut, ...]
