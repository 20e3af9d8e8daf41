"""Upstreams as their registry entries describe them, and the groups that they form."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from cactuspass.models import DataCentreId, FabricDomainId, GroupId, ModelId, ServiceId

UpstreamId = NewType("UpstreamId", str)


class UpstreamState(Enum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(Enum):
    """State of an upstream's membership in a group, as the upstream reports it."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


SERVING_STATES = frozenset({MemberState.OPEN, MemberState.CLOSING})


@dataclass(frozen=True, slots=True)
class GroupKey:
    """Identifies one formation of a group; a later formation has a higher epoch."""

    group_id: GroupId
    epoch: int


@dataclass(frozen=True, slots=True)
class Membership:
    """The group that an upstream has joined; rank 0 is the head, which receives the requests."""

    key: GroupKey
    rank: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Lifetime:
    """One run of an upstream, from the start of its process to its end.

    :param born_ms: start of the process, in Unix milliseconds.
    """

    upstream_id: UpstreamId
    born_ms: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as its registry entry describes it.

    :param slots: requests that the upstream runs at once.
    :param born_ms: start of the process, in Unix milliseconds.
    :param cold_until: clock value until which the upstream can handle only a low request rate.
    :param fabric_domain: part of the network within which upstreams can form a group.
    :param staged: models whose weights are on the host.
    :param loaded: model that the upstream runs.
    """

    upstream_id: UpstreamId
    service: ServiceId
    address: str
    data_centre: DataCentreId
    slots: int = 1
    state: UpstreamState = UpstreamState.READY
    born_ms: int = 0
    cold_until: float = 0.0
    fabric_domain: FabricDomainId = FabricDomainId("")
    staged: tuple[ModelId, ...] = ()
    loaded: ModelId | None = None
    membership: Membership | None = None

    @property
    def lifetime(self) -> Lifetime:
        """The run of the process that this entry describes."""
        return Lifetime(self.upstream_id, self.born_ms)

    @property
    def draining(self) -> bool:
        """Whether the upstream accepts no new work."""
        return self.state is UpstreamState.DRAINING


@dataclass(frozen=True, slots=True)
class Group:
    """Upstreams that report the same formation.

    :param members_by_rank: the registered members, which may be fewer than the model needs.
    """

    key: GroupKey
    service: ServiceId
    members_by_rank: dict[int, Upstream] = field(default_factory=dict)

    @property
    def head(self) -> Upstream | None:
        """The member of rank 0, which receives the requests; None while it is not registered."""
        return self.members_by_rank.get(0)

    @property
    def model(self) -> ModelId | None:
        """The model that the members run; None while none has loaded it."""
        return next((m.loaded for m in self.members_by_rank.values() if m.loaded), None)

    @property
    def members(self) -> tuple[Upstream, ...]:
        """The registered members, ordered by rank."""
        return tuple(member for _, member in sorted(self.members_by_rank.items()))

    def is_complete(self, size: int) -> bool:
        """Return whether all members of a group of this size are registered and none drains."""
        return len(self.members_by_rank) == size and not any(m.draining for m in self.members)

    def all_ready(self) -> bool:
        """Return whether every registered member has joined and none is closing or broken."""
        states = {m.membership.state for m in self.members if m.membership is not None}
        return states <= {MemberState.READY, MemberState.OPEN}

    @property
    def serves(self) -> bool:
        """Whether the head accepts requests."""
        head = self.head
        return (
            head is not None
            and head.membership is not None
            and head.membership.state is MemberState.OPEN
        )


def _group_order(key: GroupKey) -> tuple[str, int]:
    return key.group_id, key.epoch


def find_groups(upstreams: Iterable[Upstream]) -> dict[GroupKey, Group]:
    """Return the groups that upstreams report, including incomplete ones."""
    groups_by_key: dict[GroupKey, Group] = {}
    for upstream in upstreams:
        membership = upstream.membership
        if membership is None:
            continue
        group = groups_by_key.get(membership.key)
        if group is None:
            group = groups_by_key[membership.key] = Group(membership.key, upstream.service)
        group.members_by_rank[membership.rank] = upstream
    return {key: groups_by_key[key] for key in sorted(groups_by_key, key=_group_order)}


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """The upstreams and their groups at one revision of the registry."""

    upstreams_by_id: Mapping[UpstreamId, Upstream] = field(default_factory=dict)
    groups_by_key: Mapping[GroupKey, Group] = field(default_factory=dict)

    def groups_of(self, service: ServiceId) -> list[Group]:
        """Return the groups of a service, including incomplete ones."""
        return [group for group in self.groups_by_key.values() if group.service == service]

    def serving_groups(self, service: ServiceId) -> list[Group]:
        """Return the groups of a service whose head accepts requests."""
        return [group for group in self.groups_of(service) if group.serves]

    @classmethod
    def of(cls, upstreams: Iterable[Upstream]) -> "UpstreamView":
        """Return the view of a set of upstreams."""
        upstreams_by_id = {upstream.upstream_id: upstream for upstream in upstreams}
        return cls(upstreams_by_id, find_groups(upstreams_by_id.values()))
