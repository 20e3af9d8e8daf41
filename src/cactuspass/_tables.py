"""Tables of entities that the systems of the decision layer run over."""

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
    """One entry process: an entry and its incarnation."""

    entry_id: EntryId
    incarnation: Incarnation


@dataclass(slots=True)
class LocalRow:
    """This entry process.

    :param may_hold_from: time of the tick that computed ``may_hold``.
    :param joined_version: placement version that first had the seat of this process; 0 without one.
    """

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    draining: bool = False
    platform_ok_at: float | None = None
    may_hold: bool = False
    may_hold_until: float = 0.0
    may_hold_from: float = 0.0
    joined_version: int = 0

    @property
    def key(self) -> ProcessKey:
        """Key of this process."""
        return ProcessKey(self.entry_id, self.incarnation)


@dataclass(slots=True)
class EntryRow:
    """Another entry process, as its heartbeats describe it.

    :param heard_at: time of its latest heartbeat.
    """

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    heard_at: float
    configuration_revision: int = 0
    take_out_tags: tuple[str, ...] = ()
    placement_version: int = 0
    ready: bool = False
    draining: bool = False
    connected: bool = True
    groups_by_id: dict[GroupId, GroupSummary] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class GivenSeat:
    """A seat whose owner gave it up for good.

    :param user: entry that uses it now.
    :param placement_version: latest placement version that its givers knew.
    """

    seat: Seat
    user: EntryId
    placement_version: int


@dataclass(frozen=True, slots=True)
class SeatSnapshot:
    """The seats of an earlier epoch and those of them that this entry used."""

    seats: frozenset[EntryId]
    used: frozenset[EntryId]


@dataclass(slots=True)
class InstanceRow:
    """An upstream instance whose events this entry watches.

    :param heard_at: time of its latest status event; None before the first.
    :param watched_at: time from which this entry has watched it.
    :param broken_at: time at which its event connection broke; None while it is whole.
    :param retired_boots: boot ids that it has left behind, whose late reports count nothing.
    :param ordered: latest order that this entry gave to it.
    :param ordered_at: time of that order.
    :param ordered_since: time of the first order with the same contents.
    :param needs_weights: whether the latest order made it load weights.
    """

    instance_id: InstanceId
    address: str
    kind: KindId
    boot_id: BootId = BootId("")
    heard_at: float | None = None
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
    broken_at: float | None = None
    retired_boots: tuple[BootId, ...] = ()
    ordered: OrderLoad | None = None
    ordered_at: float = 0.0
    ordered_since: float = 0.0
    needs_weights: bool = False


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load report of a group's rank 0 that is kept until it can be compared with our counts."""

    measured_at: float
    boot_id: BootId
    running: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class ForeignRequest:
    """A request that a group may still run although this entry has no connection for it.

    :param since: time from which it has been counted.
    """

    since: float
    memory_tokens: int


@dataclass(slots=True)
class HeldGroupRow:
    """A group, or a plain service's instance, that this entry alone may send to.

    :param members: instances by rank, with the holder's own substitutions.
    :param serving: whether every member has recently confirmed group, generation and rank.
    :param held_from: time from which this entry may send to it, after the settle time.
    :param ramp: requests the group bears at present.
    :param added_at: time at which this entry became the holder.
    :param leaving_since: time from which new work has been kept away; None otherwise.
    :param missing: reachable members that lack the weights.
    :param foreign_held: requests that an earlier holder, or a broken connection of our own,
        may still have running.
    :param foreign_requests: those requests, oldest first.
    :param adopted: whether the admission system has counted its own requests of the group.
    :param foreign_known: whether a report measured since ``held_from`` has come.
    :param load_sample: the load report that is compared next.
    :param ramp_boot: boot ids of all members that ``ramp`` was observed under.
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
    held_from: float = 0.0
    boot_id: BootId = BootId("")
    ramp: float = 0.0
    foreign_held: int = 0
    held_tokens: int = 0
    requests: set[RequestId] = field(default_factory=set)
    down_since: float | None = None
    added_at: float = 0.0
    leaving_since: float | None = None
    missing: int = 0
    foreign_requests: list[ForeignRequest] = field(default_factory=list)
    adopted: bool = False
    foreign_known: bool = False
    load_sample: LoadSample | None = None
    ramp_boot: BootId = BootId("")


@dataclass(slots=True)
class RequestRow:
    """A request that waits here or runs on a group held here."""

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
    ramp_boot: BootId = BootId("")


@dataclass(slots=True)
class AlarmRow:
    """An alarm that is raised at present."""

    kind: AlarmKind
    subject: str
    raised_at: float
    detail: str = ""


@dataclass(slots=True)
class Tables:
    """All entities that one entry process knows.

    :param service_models: plain services by kind, as ``service:NAME``.
    :param pending_take_outs_by_tag: take-outs accepted but not yet in the platform.
    :param store_revision: the platform's revision at which ``placement`` was read from it;
        0 when it came from a peer or the platform now has another one.
    :param store_reverted: whether the platform lost versions of it that are held here.
    :param seats_held: other entries' seats that were given to this entry for good.
    :param given_seats_by_entry: all seats known to be given up, by the entry that had them.
    :param gone_processes: entry processes of the placement that surely ended.
    :param promises_by_process: time until which this entry removes no seat of a process.
    :param unsettled: earlier epochs under which another entry may still hold groups.
    :param removals_under_way: entries whose seat a write of ours removes or may still remove.
    :param probed_instances: instances outside the held groups that placement wants watched.
    """

    local: LocalRow
    kinds_by_id: dict[KindId, UpstreamKind]
    weights_by_customer: dict[CustomerId, float] = field(default_factory=dict)
    service_models: dict[KindId, str] = field(default_factory=dict)
    configuration: Configuration | None = None
    pending_take_outs_by_tag: dict[TakeOutTag, TakeOut] = field(default_factory=dict)
    placement: Placement | None = None
    store_revision: int = 0
    store_reverted: bool = False
    seats_held: set[EntryId] = field(default_factory=set)
    given_seats_by_entry: dict[EntryId, GivenSeat] = field(default_factory=dict)
    gone_processes: set[ProcessKey] = field(default_factory=set)
    promises_by_process: dict[ProcessKey, float] = field(default_factory=dict)
    unsettled: tuple[SeatSnapshot, ...] = ()
    removals_under_way: set[EntryId] = field(default_factory=set)
    records_by_id: dict[InstanceId, InstanceRecord] = field(default_factory=dict)
    entries_by_id: dict[EntryId, EntryRow] = field(default_factory=dict)
    instances_by_id: dict[InstanceId, InstanceRow] = field(default_factory=dict)
    held_groups_by_id: dict[GroupId, HeldGroupRow] = field(default_factory=dict)
    requests_by_id: dict[RequestId, RequestRow] = field(default_factory=dict)
    alarms_by_key: dict[tuple[AlarmKind, str], AlarmRow] = field(default_factory=dict)
    probed_instances: set[InstanceId] = field(default_factory=set)
