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
    :param sequence: counts the writes of the entry in this run of the upstream; two entries that
        differ in nothing else are equal.
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
    sequence: int = field(default=0, compare=False)

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
    :param members: the same, ordered by rank.
    """

    key: GroupKey
    service: ServiceId
    members_by_rank: Mapping[int, Upstream]
    members: tuple[Upstream, ...]

    @classmethod
    def of(cls, key: GroupKey, upstreams: Iterable[Upstream]) -> "Group":
        """Return the group of the upstreams that report a formation.

        :param upstreams: one at least; of two with the same rank, the one that started last is the
            member.
        """
        members_by_rank = {
            upstream.membership.rank: upstream
            for upstream in sorted(upstreams, key=_member_order)
            if upstream.membership is not None
        }
        members = tuple(members_by_rank.values())
        return cls(key, members[0].service, members_by_rank, members)

    @property
    def head(self) -> Upstream | None:
        """The member of rank 0, which receives the requests; None while it is not registered."""
        return self.members_by_rank.get(0)

    @property
    def model(self) -> ModelId | None:
        """The model that the members run; None while none has loaded it."""
        return next((m.loaded for m in self.members if m.loaded), None)

    def is_complete(self, size: int) -> bool:
        """Return whether all members of a group of this size are registered and none drains."""
        return len(self.members) == size and not any(m.draining for m in self.members)

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


def _member_order(upstream: Upstream) -> tuple[int, int, str]:
    rank = upstream.membership.rank if upstream.membership is not None else 0
    return rank, upstream.born_ms, upstream.upstream_id


def _group_order(key: GroupKey) -> tuple[str, int]:
    return key.group_id, key.epoch


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """The upstreams and their groups at one revision of the registry.

    A view never changes. The next one is made from it by what has changed in the registry, and has
    the same objects for all other upstreams and groups.

    :param groups_by_key: the groups, including incomplete ones, in the order of their keys.
    :param reporting_by_key: ids of the upstreams that report each group.
    """

    upstreams_by_id: Mapping[UpstreamId, Upstream] = field(default_factory=dict)
    groups_by_key: Mapping[GroupKey, Group] = field(default_factory=dict)
    reporting_by_key: Mapping[GroupKey, frozenset[UpstreamId]] = field(default_factory=dict)

    def groups_of(self, service: ServiceId) -> list[Group]:
        """Return the groups of a service, including incomplete ones."""
        return [group for group in self.groups_by_key.values() if group.service == service]

    def serving_groups(self, service: ServiceId) -> list[Group]:
        """Return the groups of a service whose head accepts requests."""
        return [group for group in self.groups_of(service) if group.serves]

    @classmethod
    def of(cls, upstreams: Iterable[Upstream]) -> "UpstreamView":
        """Return the view of a set of upstreams."""
        return cls().with_changes(upstreams)

    def with_changes(
        self, changed: Iterable[Upstream], removed: Iterable[UpstreamId] = ()
    ) -> "UpstreamView":
        """Return the view after upstreams were added, replaced or removed.

        The time for it depends on the number of changes and the sizes of their groups; only the
        tables are copied as a whole.
        """
        upstreams_by_id = dict(self.upstreams_by_id)
        ids_by_key = _CopiedIds(self.reporting_by_key)
        for upstream_id in removed:
            ids_by_key.remove(upstreams_by_id.pop(upstream_id, None))
        for upstream in changed:
            ids_by_key.remove(upstreams_by_id.get(upstream.upstream_id))
            ids_by_key.add(upstream)
            upstreams_by_id[upstream.upstream_id] = upstream
        if not ids_by_key.copied:
            return UpstreamView(upstreams_by_id, self.groups_by_key, self.reporting_by_key)
        groups_by_key = dict(self.groups_by_key)
        reporting_by_key = dict(self.reporting_by_key)
        for key, ids in ids_by_key.copied.items():
            groups_by_key.pop(key, None)
            reporting_by_key.pop(key, None)
            if ids:
                groups_by_key[key] = Group.of(key, map(upstreams_by_id.__getitem__, ids))
                reporting_by_key[key] = frozenset(ids)
        ordered = {key: groups_by_key[key] for key in sorted(groups_by_key, key=_group_order)}
        return UpstreamView(upstreams_by_id, ordered, reporting_by_key)


class _CopiedIds:
    """Ids of the upstreams that report a group, by group, copied where they change.

    :param reporting_by_key: the ids before the changes.
    """

    def __init__(self, reporting_by_key: Mapping[GroupKey, frozenset[UpstreamId]]) -> None:
        self._reporting_by_key = reporting_by_key
        self.copied: dict[GroupKey, set[UpstreamId]] = {}

    def add(self, upstream: Upstream) -> None:
        """Add an upstream to the group that it reports, if it reports one."""
        if upstream.membership is not None:
            self._ids(upstream.membership.key).add(upstream.upstream_id)

    def remove(self, upstream: Upstream | None) -> None:
        """Remove an upstream from the group that it reported, if it reported one."""
        if upstream is not None and upstream.membership is not None:
            self._ids(upstream.membership.key).discard(upstream.upstream_id)

    def _ids(self, key: GroupKey) -> set[UpstreamId]:
        if key not in self.copied:
            self.copied[key] = set(self._reporting_by_key.get(key, ()))
        return self.copied[key]
