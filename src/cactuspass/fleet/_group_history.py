"""Remembers who was in the groups that the registry shows, also before this instance leads."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cactuspass.fleet._upstreams import Group, GroupKey, Upstream


@dataclass(slots=True)
class GroupHistory:
    """The groups of one service, as long as any member reports them.

    :param members_by_key: the most members that each group was seen with.
    :param heads_by_key: the heads as they were last seen.
    :param first_seen_at: clock value at which each group was first seen.
    """

    members_by_key: dict[GroupKey, tuple[Upstream, ...]] = field(default_factory=dict)
    heads_by_key: dict[GroupKey, Upstream] = field(default_factory=dict)
    first_seen_at: dict[GroupKey, float] = field(default_factory=dict)

    def observe(self, groups: Iterable[Group], at: float) -> None:
        """Take in the groups that are reported now, and forget all others."""
        groups = list(groups)
        for gone in self.first_seen_at.keys() - {group.key for group in groups}:
            del self.first_seen_at[gone]
            del self.members_by_key[gone]
            self.heads_by_key.pop(gone, None)
        for group in groups:
            self.first_seen_at.setdefault(group.key, at)
            if group.head is not None:
                self.heads_by_key[group.key] = group.head
            if len(group.members) >= len(self.members_by_key.get(group.key, ())):
                self.members_by_key[group.key] = group.members
