"""Records the members of the groups in the registry, also before this instance is the leader."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cactuspass.fleet._upstreams import Group, GroupKey, Upstream


@dataclass(slots=True)
class GroupHistory:
    """Members of the groups of one service, kept while any member reports the group.

    :param members_by_key: largest set of members that each group was observed with, the latest if
        there are several.
    :param heads_by_key: the head of each group as it was last observed.
    :param first_seen_at_by_key: clock value at which each group was first observed.
    """

    members_by_key: dict[GroupKey, tuple[Upstream, ...]] = field(default_factory=dict)
    heads_by_key: dict[GroupKey, Upstream] = field(default_factory=dict)
    first_seen_at_by_key: dict[GroupKey, float] = field(default_factory=dict)

    def observe(self, groups: Iterable[Group], at: float) -> None:
        """Record the groups that are reported now, and drop all others."""
        groups = list(groups)
        for gone in self.first_seen_at_by_key.keys() - {group.key for group in groups}:
            del self.first_seen_at_by_key[gone]
            del self.members_by_key[gone]
            self.heads_by_key.pop(gone, None)
        for group in groups:
            self.first_seen_at_by_key.setdefault(group.key, at)
            if group.head is not None:
                self.heads_by_key[group.key] = group.head
            if len(group.members) >= len(self.members_by_key.get(group.key, ())):
                self.members_by_key[group.key] = group.members
