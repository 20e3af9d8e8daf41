"""Tables with the state of an entry process, read and changed by the systems of the core.

Times are seconds of the core's clock, unless stated otherwise.
"""

from dataclasses import dataclass, field

from cactuspass._messages import AlarmKind, GroupSummary, LoadState, OrderLoad
from cactuspass.models import (
    BootId,
    Configuration,
    CustomerId,
    DataCentreId,
    EntryId,
    Generation,
    GroupId,
    Incarnation,
    InstanceId,
    InstanceRecord,
    KindId,
    PlacedGroup,
    Placement,
    Priority,
    RequestId,
    Seat,
    TakeOut,
    TakeOutTag,
    UpstreamKind,
)


@dataclass(frozen=True, slots=True, order=True)
class ProcessKey:
    """Key of an entry process: the id of the entry and the incarnation of the process."""

    entry_id: EntryId
    incarnation: Incarnation


@dataclass(slots=True)
class LocalRow:
    """The state of this entry process.

    :param platform_answered_at: time of the platform's latest answer; None before the first.
    :param may_hold: whether this process may hold groups.
    :param may_hold_until: time at which the right to hold groups ends.
    :param may_hold_from: time of the tick that computed ``may_hold``.
    :param seated_since_version: placement version that first contained the seat of this process;
        0 without a seat.
    :param grants_returned_at: this process uses no grant that it requested up to this time.
    """

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    draining: bool = False
    platform_answered_at: float | None = None
    may_hold: bool = False
    may_hold_until: float = 0.0
    may_hold_from: float = 0.0
    seated_since_version: int = 0
    grants_returned_at: float = float("-inf")

    @property
    def key(self) -> ProcessKey:
        """Key of this process."""
        return ProcessKey(self.entry_id, self.incarnation)


@dataclass(slots=True)
class EntryRow:
    """Another entry process, as described by its heartbeats.

    :param last_heartbeat_at: time of its latest heartbeat.
    """

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    last_heartbeat_at: float
    configuration_revision: int = 0
    take_out_tags: tuple[str, ...] = ()
    placement_version: int = 0
    ready: bool = False
    draining: bool = False
    connected: bool = True
    groups_by_id: dict[GroupId, GroupSummary] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HandedOverSeat:
    """A seat that its owner has handed over permanently.

    :param user: entry that uses the seat now.
    :param placement_version: highest placement version that an entry which handed the seat over
        had seen.
    """

    seat: Seat
    user: EntryId
    placement_version: int


@dataclass(frozen=True, slots=True)
class SeatSnapshot:
    """The seats of an earlier epoch, and the subset that this entry used."""

    seats: frozenset[EntryId]
    used: frozenset[EntryId]


@dataclass(slots=True)
class InstanceRow:
    """An upstream instance whose event stream this entry watches.

    :param last_status_at: time of the latest status event; None before the first.
    :param measured_at: time at which the load in the latest status event was measured.
    :param watched_at: time at which this entry started to watch the instance.
    :param disconnected_at: time at which the event stream broke; None while it is connected.
    :param retired_boot_ids: earlier boot ids, whose late status events are ignored.
    :param last_order: latest order that this entry sent to the instance.
    :param last_order_at: time of that order.
    :param order_unchanged_since: time of the first order with the same contents.
    :param needs_weights: whether the latest order requires the instance to load weights.
    """

    instance_id: InstanceId
    address: str
    kind: KindId
    boot_id: BootId = BootId("")
    last_status_at: float | None = None
    connected: bool = False
    group_id: GroupId = GroupId("")
    generation: Generation = Generation(0)
    rank: int = -1
    size: int = 0
    state: LoadState = LoadState.IDLE
    fence: int = 0
    running: int = 0
    memory_tokens: int = 0
    measured_at: float = 0.0
    leaving: bool = False
    model: str = ""
    version: str = ""
    watched_at: float = 0.0
    disconnected_at: float | None = None
    retired_boot_ids: tuple[BootId, ...] = ()
    last_order: OrderLoad | None = None
    last_order_at: float = 0.0
    order_unchanged_since: float = 0.0
    needs_weights: bool = False


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load report of a group's rank 0, kept until it is compared with this entry's counts."""

    measured_at: float
    boot_id: BootId
    running: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class ForeignRequest:
    """A request that a group may still run although this entry has no connection for it.

    :param since: time from which the request has been counted.
    """

    since: float
    memory_tokens: int


@dataclass(slots=True)
class HeldGroupRow:
    """A group, or an instance of a plain service, that this entry alone may send to.

    :param members: instances by rank, including the substitutions made by the holder.
    :param serving: whether every member has recently confirmed its group, generation and rank.
    :param may_send_from: time from which this entry may send to the group, after the settle time.
    :param ramp: number of requests that the group can currently run concurrently; it grows with
        each completed request after a start.
    :param reserved_tokens: memory tokens reserved for this entry's running requests.
    :param added_at: time at which this entry became the holder.
    :param leaving_since: time since which no new requests are sent to the group; None if they are.
    :param members_without_weights: number of reachable members that lack the weights.
    :param foreign_request_count: number of requests that may still run although they were sent by
        an earlier holder, or over a connection of this entry that has broken.
    :param foreign_requests: those requests, oldest first.
    :param own_requests_counted: whether the requests that this entry already runs on the group
        have been counted.
    :param reported_since_held: whether a load report measured since ``may_send_from`` has arrived.
    :param load_sample: the next load report to compare with this entry's counts.
    :param ramp_boot_id: joined boot ids of all members under which ``ramp`` was observed.
    """

    group_id: GroupId
    model: str
    kind: KindId
    placed: PlacedGroup | None
    members: tuple[InstanceId, ...]
    spares: tuple[InstanceId, ...] = ()
    generation: Generation = Generation(0)
    serving: bool = False
    leaving: bool = False
    may_send_from: float = 0.0
    boot_id: BootId = BootId("")
    ramp: float = 0.0
    foreign_request_count: int = 0
    reserved_tokens: int = 0
    requests: set[RequestId] = field(default_factory=set)
    down_since: float | None = None
    added_at: float = 0.0
    leaving_since: float | None = None
    members_without_weights: int = 0
    foreign_requests: list[ForeignRequest] = field(default_factory=list)
    own_requests_counted: bool = False
    reported_since_held: bool = False
    load_sample: LoadSample | None = None
    ramp_boot_id: BootId = BootId("")


@dataclass(slots=True)
class RequestRow:
    """A request that is queued in this entry or runs on a group that it holds.

    :param deadline: time by which the first byte of the answer is due.
    :param forwarded_by: entry that forwarded the request; None if a caller sent it here.
    :param excluded: groups and peers that failed to serve the request in earlier attempts.
    :param ramp_boot_id: joined boot ids of the group's members at the dispatch.
    """

    request_id: RequestId
    customer: CustomerId
    model: str
    tokens: int
    priority: Priority
    arrived_at: float
    deadline: float
    forwarded_by: EntryId | None = None
    prefixes: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    group_id: GroupId | None = None
    dispatched_at: float | None = None
    ramp_boot_id: BootId = BootId("")


@dataclass(slots=True)
class AlarmRow:
    """An alarm that is currently raised."""

    kind: AlarmKind
    subject: str
    raised_at: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class RemovalBlock:
    """A commitment of this entry not to remove the seat of a process.

    :param until: time at which it ends, by the local clock.
    :param requested_at: when the process requested its latest grant, by the clock of the process.
    """

    until: float
    requested_at: float


@dataclass(slots=True)
class Tables:
    """The complete state of one entry process.

    :param service_models_by_kind: model names of the plain services, in the form ``service:NAME``.
    :param pending_take_outs_by_tag: take-outs that were accepted but are not yet stored in the
        platform.
    :param store_revision: store revision at which ``placement`` was read from the platform; 0 if
        it came from a peer or the platform now stores another one.
    :param store_reverted: whether the platform has lost versions of the placement that this entry
        still has.
    :param acquired_seats: other entries' seats that were handed over to this entry permanently.
    :param handed_over_seats_by_entry: all seats known to be handed over, by their original entry.
    :param ended_processes: entry processes of the placement that have certainly ended.
    :param removal_blocks_by_process: processes that this entry granted the right to hold groups,
        so that it must not remove their seats for a time.
    :param unsettled_epochs: earlier epochs under which another entry may still hold groups.
    :param pending_seat_removals: entries whose seat is removed, or may still be removed, by a
        write of this entry.
    :param probed_instances: instances outside the held groups that the placement system watches.
    """

    local: LocalRow
    kinds_by_id: dict[KindId, UpstreamKind]
    weights_by_customer: dict[CustomerId, float] = field(default_factory=dict)
    service_models_by_kind: dict[KindId, str] = field(default_factory=dict)
    configuration: Configuration | None = None
    pending_take_outs_by_tag: dict[TakeOutTag, TakeOut] = field(default_factory=dict)
    placement: Placement | None = None
    store_revision: int = 0
    store_reverted: bool = False
    acquired_seats: set[EntryId] = field(default_factory=set)
    handed_over_seats_by_entry: dict[EntryId, HandedOverSeat] = field(default_factory=dict)
    ended_processes: set[ProcessKey] = field(default_factory=set)
    removal_blocks_by_process: dict[ProcessKey, RemovalBlock] = field(default_factory=dict)
    unsettled_epochs: tuple[SeatSnapshot, ...] = ()
    pending_seat_removals: set[EntryId] = field(default_factory=set)
    records_by_id: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    entries_by_id: dict[EntryId, EntryRow] = field(default_factory=dict)
    instances_by_id: dict[InstanceId, InstanceRow] = field(default_factory=dict)
    held_groups_by_id: dict[GroupId, HeldGroupRow] = field(default_factory=dict)
    requests_by_id: dict[RequestId, RequestRow] = field(default_factory=dict)
    alarms_by_key: dict[tuple[AlarmKind, str], AlarmRow] = field(default_factory=dict)
    probed_instances: set[InstanceId] = field(default_factory=set)
