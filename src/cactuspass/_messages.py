"""Typed inputs and orders of the decision layer.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
"""

from dataclasses import dataclass
from enum import Enum

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
    ModelId,
    OperationId,
    Placement,
    Priority,
    RequestId,
    Seat,
    TakeOut,
)


@dataclass(frozen=True, slots=True)
class Input:
    """Something that happened; the base of all inputs of the core."""


@dataclass(frozen=True, slots=True)
class Order:
    """Something the edge must do; the base of all orders of the core."""


# Instances and documents ------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class InstancesListed(Input):
    """The platform's lagging list was read."""

    records: tuple[InstanceRecord, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationRead(Input):
    """The configuration was read.

    :param from_platform: False when a peer passed it on.
    """

    configuration: Configuration
    from_platform: bool


@dataclass(frozen=True, slots=True)
class PlacementRead(Input):
    """A data centre document was read.

    :param store_revision: the platform's revision of the key, 0 when a peer passed it on.
    :param sent_at: when the read was started, by the local clock.
    """

    placement: Placement
    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlacementConfirmed(Input):
    """The platform said that the own data centre's document still has this revision.

    :param sent_at: when the question was sent, by the local clock.
    """

    store_revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class PlatformFailed(Input):
    """A call of the platform failed or timed out."""

    reason: str


@dataclass(frozen=True, slots=True)
class PlacementWritten(Input):
    """Answer to :class:`WritePlacement`.

    :param accepted: None when it is unknown whether the write took effect.
    """

    write_id: OperationId
    accepted: bool | None


@dataclass(frozen=True, slots=True)
class WritePlacement(Order):
    """Write the own data centre's document by compare-and-swap.

    :param expected_revision: platform's revision that it replaces; 0 creates the key.
    """

    placement: Placement
    expected_revision: int


# Peers ------------------------------------------------------------------------------------


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


# Upstream instances and groups ------------------------------------------------------------


class LoadState(Enum):
    """State of an engine's copy of the model."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class InstanceReported(Input):
    """A status or load event of an upstream instance arrived.

    :param fence: highest fencing number that the instance has accepted.
    :param running: requests it holds, as of ``measured_at``.
    :param memory_tokens: tokens it holds, as of ``measured_at``.
    :param lag: seconds between the measurement and its arrival, as the instance says.
    :param model: model whose weights the instance has; empty when it did not say.
    """

    instance_id: InstanceId
    boot_id: BootId
    group_id: GroupId
    generation: Generation
    rank: int
    size: int
    state: LoadState
    fence: int = 0
    running: int = 0
    memory_tokens: int = 0
    lag: float = 0.0
    leaving: bool = False
    model: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class InstanceBroken(Input):
    """The event connection to an upstream instance broke or could not be made."""

    instance_id: InstanceId
    reason: str


@dataclass(frozen=True, slots=True)
class WatchInstance(Order):
    """Keep an event connection to the instance."""

    instance_id: InstanceId
    address: str


@dataclass(frozen=True, slots=True)
class UnwatchInstance(Order):
    """Close the event connection to the instance."""

    instance_id: InstanceId


@dataclass(frozen=True, slots=True)
class OrderLoad(Order):
    """Tell an engine to load a model as one member of a group.

    :param addresses: addresses of all members by rank.
    :param lifetime: seconds after which an engine must ignore the order.
    """

    instance_id: InstanceId
    address: str
    group_id: GroupId
    generation: Generation
    rank: int
    addresses: tuple[str, ...]
    model: ModelId
    version: str
    adapters: tuple[str, ...]
    fence: int
    lifetime: float


@dataclass(frozen=True, slots=True)
class OrderUnload(Order):
    """Tell an engine to leave its group."""

    instance_id: InstanceId
    address: str
    fence: int
    lifetime: float


# Requests ---------------------------------------------------------------------------------


class RefusalReason(Enum):
    """Why a request was refused before it could run."""

    NO_CAPACITY = "no-capacity"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline-cannot-be-met"
    NOT_SERVED = "not-served"
    DRAINING = "draining"
    MEMORY = "memory-full"
    NOT_HOLDER = "not-holder"
    NOT_CLAIMED = "key-not-claimed"


@dataclass(frozen=True, slots=True)
class RequestArrived(Input):
    """A request asks for a place.

    :param model: model, or ``service:NAME`` for a plain service.
    :param tokens: prompt plus requested output tokens, the estimate of memory and cost.
    :param deadline: time by which the first byte is wanted, by the local clock.
    :param forwarded_by: peer that forwarded it; None when a caller sent it here.
    :param prefixes: hashes of the prompt's leading blocks, longest last.
    :param excluded: groups or peers already tried and found unable.
    :param returning: whether the caller says that it comes back after a refusal.
    """

    request_id: RequestId
    customer: CustomerId
    model: str
    tokens: int
    priority: Priority
    deadline: float
    forwarded_by: EntryId | None = None
    prefixes: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    returning: bool = False


@dataclass(frozen=True, slots=True)
class RequestFinished(Input):
    """A dispatched request ended, whatever its outcome.

    :param succeeded: whether the upstream gave a whole answer.
    :param started: whether a byte may have reached the upstream.
    :param boot_id: boot that the answer named; empty when it named none.
    """

    request_id: RequestId
    succeeded: bool
    started: bool = True
    boot_id: BootId = BootId("")


@dataclass(frozen=True, slots=True)
class RequestWithdrawn(Input):
    """The caller or the forwarding peer left while the request waited."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CacheReported(Input):
    """A cache event of an engine arrived, late and maybe after a gap.

    :param sequence: number of the event; a gap means that events were lost.
    """

    instance_id: InstanceId
    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch(Order):
    """Send the request to a group that this entry holds.

    :param address: address of the group's rank 0.
    """

    request_id: RequestId
    group_id: GroupId
    instance_id: InstanceId
    address: str
    boot_id: BootId


@dataclass(frozen=True, slots=True)
class Forward(Order):
    """Hand the request to a peer that holds groups of its model."""

    request_id: RequestId
    entry_id: EntryId


@dataclass(frozen=True, slots=True)
class Refuse(Order):
    """Refuse the request, which has not run.

    :param retry_after: seconds after which a new try is likely to succeed; 0 when none will.
    :param detail: what the caller should know besides the reason.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str = ""


# Operators --------------------------------------------------------------------------------


class AlarmKind(Enum):
    """Conditions that an operator must know of."""

    BACKLOG = "backlog"
    GROUP_DOWN = "group-down"
    STRANDED = "stranded"
    MEMORY = "memory"
    PLATFORM_DOWN = "platform-down"
    STORE_REVERTED = "store-reverted"
    NOT_HOLDING = "not-holding"


@dataclass(frozen=True, slots=True)
class AlarmChanged(Order):
    """An alarm was raised or cleared."""

    kind: AlarmKind
    subject: str
    raised: bool
    detail: str = ""
