"""Plans which instances form which groups; pure, and the same on every entry."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from cactuspass.models import (
    Configuration,
    DataCentreId,
    FabricDomainId,
    Generation,
    GroupDeclaration,
    GroupId,
    InstanceId,
    InstanceRecord,
    KindId,
    ModelId,
    PlacedGroup,
    Placement,
)


@dataclass(frozen=True, slots=True)
class PlanFacts:
    """What a planner knows besides the documents and the list.

    :param free: instances outside all groups that may be bound now.
    :param lost: bound instances that are to be replaced.
    :param movable: groups that may leave their domain though some members survive.
    :param settling: instances outside all groups that may be bound soon.
    :param serving: groups that serve at present.
    """

    free: frozenset[InstanceId] = frozenset()
    lost: frozenset[InstanceId] = frozenset()
    movable: frozenset[GroupId] = frozenset()
    settling: frozenset[InstanceId] = frozenset()
    serving: frozenset[GroupId] = frozenset()


Planner = Callable[
    [Placement, Configuration, Mapping[InstanceId, InstanceRecord], PlanFacts], Placement
]


def declared_groups(
    configuration: Configuration, data_centre: DataCentreId
) -> dict[GroupId, GroupDeclaration]:
    """Return the declaration of each group that a data centre should have, by group id."""
    return {
        GroupId(f"{declaration.name}-{index}"): declaration
        for declaration in configuration.declarations_by_name.values()
        if declaration.data_centre == data_centre
        for index in range(declaration.count)
    }


def assigned_ids(groups: Iterable[PlacedGroup]) -> set[InstanceId]:
    """Return every instance that the groups bind, as member or spare."""
    return {instance for group in groups for instance in group.members + group.spares}


def plan(
    draft: Placement,
    configuration: Configuration,
    records_by_id: Mapping[InstanceId, InstanceRecord],
    facts: PlanFacts,
) -> Placement:
    """Return the draft with the groups that the configuration wants, as far as they fit.

    Groups that are whole stay as they are. A lost member is replaced by one of the group's own
    spares, else by a free instance of the same domain, and the others keep their ranks. A group
    that its domain can't hold moves to another. New groups go to the domain in which they leave
    the fewest accelerators unusable. An instance that the draft binds never joins another group.

    :param draft: the document with the version that the write will have.
    """
    planner = _PlannedGroups(draft, configuration, records_by_id, facts)
    planner.keep_declared()
    planner.replace_lost()
    planner.form_missing()
    planner.yield_spares()
    planner.fill_spares()
    groups = planner.groups_by_id
    if groups == draft.groups_by_id:
        return draft
    released = _released(draft, groups, records_by_id)
    return replace(draft, groups_by_id=groups, released_by_id=released)


def _released(
    draft: Placement,
    groups: Mapping[GroupId, PlacedGroup],
    records_by_id: Mapping[InstanceId, InstanceRecord],
) -> dict[InstanceId, int]:
    """Return the version at which each listed free instance was released last."""
    after = assigned_ids(groups.values())
    released = draft.released_by_id | dict.fromkeys(
        assigned_ids(draft.groups_by_id.values()) - after, draft.version
    )
    return {
        instance: version
        for instance, version in sorted(released.items())
        if instance not in after and instance in records_by_id
    }


class _PlannedGroups:
    """Working state of one plan."""

    def __init__(
        self,
        draft: Placement,
        configuration: Configuration,
        records_by_id: Mapping[InstanceId, InstanceRecord],
        facts: PlanFacts,
    ) -> None:
        self._draft = draft
        self._wanted = declared_groups(configuration, draft.data_centre)
        self._facts = facts
        self._generation = Generation(draft.version)
        bound = assigned_ids(draft.groups_by_id.values())
        self._free = _by_domain(facts.free - bound, records_by_id)
        self._settling = _by_domain(facts.settling - bound, records_by_id)
        self.groups_by_id: dict[GroupId, PlacedGroup] = {}

    def keep_declared(self) -> None:
        """Keep the groups that are still declared with the same kind and size."""
        self.groups_by_id = {
            group_id: group
            for group_id, group in self._draft.groups_by_id.items()
            if group_id in self._wanted
            and _shape(group.declaration) == _shape(self._wanted[group_id])
        }
        reloading = {
            wanted.name
            for group_id, wanted in self._wanted.items()
            if group_id in self.groups_by_id
            and _contents(self.groups_by_id[group_id].declaration) == _contents(wanted)
            and group_id not in self._facts.serving
        }
        for group_id, group in sorted(self.groups_by_id.items()):
            self.groups_by_id[group_id] = self._redeclare(group, reloading)

    def _redeclare(self, group: PlacedGroup, reloading: set[str]) -> PlacedGroup:
        """Apply a changed declaration; serving groups load new contents one after the other.

        :param reloading: declarations of which a group with the new contents doesn't serve yet.
        """
        wanted = self._wanted[group.group_id]
        if _contents(group.declaration) == _contents(wanted):
            return replace(group, declaration=wanted)
        if group.group_id in self._facts.serving:
            if wanted.name in reloading:
                return group
            reloading.add(wanted.name)
        return replace(group, declaration=wanted, generation=self._generation)

    def replace_lost(self) -> None:
        """Replace lost members, and move the groups that their domain can't hold."""
        for group_id, group in sorted(self.groups_by_id.items()):
            lost = [member for member in group.members if member in self._facts.lost]
            if lost:
                self.groups_by_id[group_id] = self._repair(group, lost)

    def _repair(self, group: PlacedGroup, lost: list[InstanceId]) -> PlacedGroup:
        spares = [spare for spare in group.spares if spare not in self._facts.lost]
        free = self._free_in(group.declaration.kind, group.fabric_domain)
        if len(spares) + len(free) < len(lost):
            if not self._may_move(group):
                return group
            return self._form(group.group_id, group.declaration) or group
        new = [*spares, *free][: len(lost)]
        del free[: max(0, len(lost) - len(spares))]
        by_lost = dict(zip(lost, new, strict=True))
        return replace(
            group,
            members=tuple(by_lost.get(member, member) for member in group.members),
            spares=tuple(spares[len(lost) :]),
            generation=self._generation,
            lost=(),
        )

    def form_missing(self) -> None:
        """Form the declared groups that have no instances, the largest first."""
        missing = [
            (-declaration.size, group_id, declaration)
            for group_id, declaration in self._wanted.items()
            if group_id not in self.groups_by_id
        ]
        for _, group_id, declaration in sorted(missing, key=lambda item: item[:2]):
            group = self._form(group_id, declaration)
            if group is not None:
                self.groups_by_id[group_id] = group

    def _form(self, group_id: GroupId, declaration: GroupDeclaration) -> PlacedGroup | None:
        domain = self._best_domain(group_id, declaration)
        if domain is None:
            return None
        free = self._free_in(declaration.kind, domain)
        members = tuple(free[: declaration.size])
        del free[: declaration.size]
        return PlacedGroup(group_id, declaration, domain, members, (), self._generation)

    def _best_domain(
        self, group_id: GroupId, declaration: GroupDeclaration
    ) -> FabricDomainId | None:
        """Return the domain in which the group leaves the fewest instances unusable."""
        others = [
            wanted.size
            for other_id, wanted in self._wanted.items()
            if other_id != group_id
            and other_id not in self.groups_by_id
            and wanted.kind == declaration.kind
        ]
        smallest = min(others, default=declaration.size)
        fits = [
            (_fit(len(free), declaration, smallest), domain)
            for (kind, domain), free in self._free.items()
            if kind == declaration.kind and len(free) >= declaration.size
        ]
        return min(fits)[1] if fits else None

    def yield_spares(self) -> None:
        """Release the spares without which a broken or a missing group can't be whole.

        They join it in a later plan, when no holder can count them any more.
        """
        for _, group in sorted(self.groups_by_id.items()):
            lost = self._facts.lost.intersection(group.members)
            if lost:
                self._reserve_repair(group, len(lost))
        for group_id, declaration in sorted(self._wanted.items()):
            if group_id not in self.groups_by_id:
                self._reserve_anywhere(group_id, declaration)

    def _reserve_repair(self, group: PlacedGroup, lost: int) -> None:
        own = [spare for spare in group.spares if spare not in self._facts.lost]
        pool = group.declaration.kind, group.fabric_domain
        if not self._reserve(pool, lost - len(own), group.group_id) and self._may_move(group):
            self._reserve_anywhere(group.group_id, group.declaration)

    def _reserve_anywhere(self, group_id: GroupId, declaration: GroupDeclaration) -> None:
        pools = [pool for pool in sorted(self._free) if pool[0] == declaration.kind]
        any(self._reserve(pool, declaration.size, group_id) for pool in pools)

    def _may_move(self, group: PlacedGroup) -> bool:
        is_dark = self._facts.lost.issuperset(group.members)
        return is_dark or group.group_id in self._facts.movable

    def _reserve(self, pool: tuple[KindId, FabricDomainId], need: int, for_id: GroupId) -> bool:
        """Keep free instances for a group and release as many spares as it lacks besides.

        :return: False when the domain can't hold it even so.
        """
        free, settling = self._free_in(*pool), self._settling.get(pool, [])
        lenders = [
            (group, spare)
            for group in self.groups_by_id.values()
            if (group.declaration.kind, group.fabric_domain) == pool and group.group_id != for_id
            for spare in group.spares
            if spare not in self._facts.lost
        ]
        lacking = need - len(free) - len(settling)
        if lacking > len(lenders):
            return False
        for group, spare in lenders[: max(0, lacking)]:
            self._release_spare(group.group_id, spare)
        kept = need - len(settling)
        del settling[:need]
        del free[: max(0, kept)]
        return True

    def _release_spare(self, group_id: GroupId, spare: InstanceId) -> None:
        group = self.groups_by_id[group_id]
        spares = tuple(other for other in group.spares if other != spare)
        self.groups_by_id[group_id] = replace(group, spares=spares)

    def fill_spares(self) -> None:
        """Drop lost and surplus spares and reserve new ones from the same domain."""
        for group_id, group in sorted(self.groups_by_id.items()):
            usable = [spare for spare in group.spares if spare not in self._facts.lost]
            free = self._free_in(group.declaration.kind, group.fabric_domain)
            need = max(0, group.declaration.spares - len(usable))
            spares = (*usable[: group.declaration.spares], *free[:need])
            del free[:need]
            if spares != group.spares:
                bound = {*group.members, *spares}
                lost = tuple(instance for instance in group.lost if instance in bound)
                self.groups_by_id[group_id] = replace(group, spares=spares, lost=lost)

    def _free_in(self, kind: KindId, domain: FabricDomainId) -> list[InstanceId]:
        return self._free.setdefault((kind, domain), [])


def _by_domain(
    instances: Iterable[InstanceId], records_by_id: Mapping[InstanceId, InstanceRecord]
) -> dict[tuple[KindId, FabricDomainId], list[InstanceId]]:
    pools: dict[tuple[KindId, FabricDomainId], list[InstanceId]] = {}
    for record in records_by_id.values():
        pools.setdefault((record.kind, record.fabric_domain), [])
    for instance in sorted(instances):
        record = records_by_id[instance]
        pools[record.kind, record.fabric_domain].append(instance)
    return pools


def _shape(declaration: GroupDeclaration) -> tuple[KindId, int]:
    return declaration.kind, declaration.size


def _contents(declaration: GroupDeclaration) -> tuple[ModelId, str, tuple[str, ...]]:
    return declaration.model, declaration.version, declaration.adapters


def _fit(free: int, declaration: GroupDeclaration, smallest: int) -> tuple[bool, int, int]:
    """Return a key that is smallest for the best domain."""
    left = free - declaration.size
    lacks_spares = left < declaration.spares
    unusable = left if lacks_spares else (left - declaration.spares) % smallest
    return lacks_spares, unusable, left
