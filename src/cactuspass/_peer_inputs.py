"""Inputs and orders for peers and seats.

Times are in seconds of the clock that the I/O layer passes to the core, unless stated otherwise.
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
    """State of one group, as its holder reports it to the peers.

    :param free: number of further requests that the group can accept now.
    :param queued: number of requests that wait for the group.
    :param ramp: number of concurrent requests that the group can serve at present.
    :param missing: number of reachable members that have not loaded the weights.
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
class HeartbeatReceived(Input):
    """A heartbeat from a peer arrived.

    :param grants_returned_at: the peer uses no grant that it requested up to this time of its
        clock.
    """

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
    grants_returned_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class PeerDisconnected(Input):
    """The connection to a peer broke."""

    entry_id: EntryId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class GrantRequested(Input):
    """A peer in the same data centre requested a grant to keep its seat without the platform.

    :param sent_at: time of the request by the peer's clock; returned unchanged in the answer.
    """

    entry_id: EntryId
    incarnation: Incarnation
    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class GrantReceived(Input):
    """A peer granted that it will not remove the own seat until ``sent_at`` plus ``period``.

    :param sent_at: when the request for the grant was sent, by the local clock.
    :param period: duration of the grant in seconds.
    """

    entry_id: EntryId
    incarnation: Incarnation
    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class SeatHandoverReceived(Input):
    """A peer that shuts down handed its seat over permanently.

    :param foreign_held_by_group: number of requests that the peer still has running, by group.
    :param to_entry: the only entry that may use the seat from now on.
    """

    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]
    to_entry: EntryId = EntryId("")


@dataclass(frozen=True, slots=True)
class RequestGrant(Order):
    """Request a grant from a peer, which receives it as :class:`GrantRequested`."""

    entry_id: EntryId
    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class SendGrant(Order):
    """Send a grant to a peer in answer to its :class:`GrantRequested`."""

    entry_id: EntryId
    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class HandOverSeat(Order):
    """Hand the own seat, or one that was taken over, to a peer permanently.

    The I/O layer sends the handover to every peer in the data centre, which receives it as
    :class:`SeatHandoverReceived`; only ``to_entry`` may use the seat.
    """

    to_entry: EntryId
    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]


@dataclass(frozen=True, slots=True)
class TakeOutsReceived(Input):
    """Take-outs were accepted while the platform was unavailable, by this entry or by a peer."""

    take_outs: tuple[TakeOut, ...]
