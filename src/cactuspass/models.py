"""Ids, states and documents that are shared by the whole system."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NewType

EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", str)
DataCentreId = NewType("DataCentreId", str)
FabricDomainId = NewType("FabricDomainId", str)
InstanceId = NewType("InstanceId", str)
GroupId = NewType("GroupId", str)
ModelId = NewType("ModelId", str)
ServiceId = NewType("ServiceId", str)
KindId = NewType("KindId", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
TakeOutTag = NewType("TakeOutTag", str)
BootId = NewType("BootId", str)


class InstanceState(Enum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(Enum):
    """Role of an instance in the platform's instance list."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class TakeOutKind(Enum):
    """Kind of target that an operator's take-out names."""

    DATA_CENTRE = "data-centre"
    UPSTREAM = "upstream"
    GROUP = "group"


class Priority(IntEnum):
    """Priority of a request; a lower number is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True, order=True)
class Generation:
    """Version of a group's membership.

    :param major: placement version at which the data centre document set the members.
    :param minor: increased by each substitution that the holder has made on its own since then.
    """

    major: int
    minor: int = 0


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """One entry of the platform's instance list, which lags behind the actual state.

    :param address: ``host:port`` of the instance's listener.
    :param accelerators: number of accelerators on the instance; 0 for entries and services.
    :param kind: key of the upstream kind in the settings; empty for entries.
    """

    instance_id: InstanceId
    role: InstanceRole
    address: str
    data_centre: DataCentreId
    fabric_domain: FabricDomainId = FabricDomainId("")
    kind: KindId = KindId("")
    accelerators: int = 0
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True)
class TakeOut:
    """An operator's order to send no new work to a target.

    It stays in force until it is cancelled by a return that includes its tag.

    :param at: wall-clock time of the order, in seconds since 1970, for display only.
    """

    tag: TakeOutTag
    kind: TakeOutKind
    target: str
    by: str = ""
    at: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupDeclaration:
    """Groups that an operator has declared for one data centre.

    :param name: unique name; groups are called ``name-0``, ``name-1`` and so on.
    :param size: instances in each group.
    :param count: number of groups.
    :param spares: spare instances that are reserved for each group in its fabric domain.
    """

    name: str
    data_centre: DataCentreId
    model: ModelId
    kind: KindId
    size: int
    count: int = 1
    spares: int = 0
    version: str = "1"
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """The operators' configuration; a higher revision replaces a lower one.

    :param operations: ids of the latest committed operations, oldest first.
    :param take_outs_by_tag: take-outs in force.
    :param cancelled: tags of the take-outs that a return has cancelled, oldest first.
    """

    revision: int = 0
    declarations_by_name: dict[str, GroupDeclaration] = field(default_factory=dict)
    take_outs_by_tag: dict[TakeOutTag, TakeOut] = field(default_factory=dict)
    cancelled: tuple[TakeOutTag, ...] = ()
    operations: tuple[OperationId, ...] = ()


@dataclass(frozen=True, slots=True)
class Seat:
    """The right of one entry process to hold groups of its data centre."""

    entry_id: EntryId
    incarnation: Incarnation
    address: str


@dataclass(frozen=True, slots=True)
class PlacedGroup:
    """Instances that the data centre document assigns to one group.

    :param members: instances by rank.
    :param spares: instances reserved for this group alone.
    :param lost: members and spares that the holder reports as unreachable.
    """

    group_id: GroupId
    declaration: GroupDeclaration
    fabric_domain: FabricDomainId
    members: tuple[InstanceId, ...]
    spares: tuple[InstanceId, ...] = ()
    generation: Generation = Generation(0)
    lost: tuple[InstanceId, ...] = ()


@dataclass(frozen=True, slots=True)
class Placement:
    """The data centre document: who may hold groups and which instances form them.

    :param version: number of changes; also the fencing number of orders sent under it.
    :param epoch: number of changes of the seats.
    :param write_id: id of the write that created this version, by which the writer recognises
        its own write if the answer was lost.
    :param released_by_id: version at which each instance was last released by its group.
    """

    data_centre: DataCentreId
    version: int = 0
    epoch: int = 0
    seats_by_entry: dict[EntryId, Seat] = field(default_factory=dict)
    groups_by_id: dict[GroupId, PlacedGroup] = field(default_factory=dict)
    write_id: OperationId = OperationId("")
    released_by_id: dict[InstanceId, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UpstreamKind:
    """Properties of one kind of upstream, as configured by the operators.

    :param cold_requests: concurrent requests that a freshly started upstream can run.
    :param full_requests: concurrent requests that a warm upstream can run.
    :param warm_step: increase of the concurrency limit with each completed request.
    :param memory_tokens: prompt and output tokens that fit into its memory; 0 means no limit.
    :param checks_fence: whether it refuses an order with an outdated fencing number.
    :param is_engine: False for a plain service, whose instances serve independently.
    """

    kind: KindId
    cold_requests: int = 1
    full_requests: int = 8
    warm_step: float = 1.0
    memory_tokens: int = 0
    checks_fence: bool = False
    is_engine: bool = True
