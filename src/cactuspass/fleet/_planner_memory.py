"""What the group planner remembers between its decisions."""

from dataclasses import dataclass, field
from typing import TypeVar

from cactuspass.fleet._demand import Demand
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._host_states import HostStateTable
from cactuspass.fleet._orders import OrderOutcome
from cactuspass.fleet._upstreams import GroupKey, Upstream, UpstreamId
from cactuspass.fleet._weight_loading import LoadSchedule
from cactuspass.models import ModelId

K = TypeVar("K")

FORGET_SECONDS = 60.0


@dataclass(slots=True)
class Formation:
    """A group that this planner has ordered.

    :param expected_by: clock value after which the formation is given up.
    :param sequences_by_id: orders that each member had accepted before it was told to join.
    :param refused_by: members that have refused to join, perhaps since they already have.
    """

    key: GroupKey
    model: ModelId
    members: tuple[Upstream, ...]
    expected_by: float
    sequences_by_id: dict[UpstreamId, int]
    refused_by: set[UpstreamId] = field(default_factory=set)

    @property
    def member_ids(self) -> tuple[UpstreamId, ...]:
        """Ids of the members by rank."""
        return tuple(member.upstream_id for member in self.members)


@dataclass(frozen=True, slots=True)
class AbandonedFormation:
    """A formation that cannot become whole.

    :param reason: for the log.
    """

    key: GroupKey
    model: ModelId
    reason: str


@dataclass(slots=True)
class Headless:
    """A group whose head has no registry entry.

    :param head: the head as it was last seen; None when it never was.
    :param since: clock value at which the head was first missed.
    """

    head: Upstream | None
    since: float


@dataclass(slots=True)
class PlannerMemory:
    """What the planner remembers between decisions.

    :param began_at: clock value of the first decision.
    :param close_outcomes_by_key: last outcome of an order to close.
    :param closes_refused: groups whose heads were not in the state that an order to close named.
    :param loads_refused_by_id: numbers of accepted orders that refused orders to load named.
    :param released_at: when hosts were first told to leave their groups.
    """

    demand: Demand
    history: GroupHistory
    began_at: float = float("-inf")
    schedule: LoadSchedule = field(default_factory=LoadSchedule)
    host_states: HostStateTable = field(default_factory=HostStateTable)
    formations_by_key: dict[GroupKey, Formation] = field(default_factory=dict)
    headless_by_key: dict[GroupKey, Headless] = field(default_factory=dict)
    close_outcomes_by_key: dict[GroupKey, OrderOutcome] = field(default_factory=dict)
    closes_refused: set[GroupKey] = field(default_factory=set)
    loads_refused_by_id: dict[UpstreamId, int] = field(default_factory=dict)
    released_at: dict[tuple[UpstreamId, GroupKey], float] = field(default_factory=dict)
    sent_at: dict[tuple[UpstreamId, str], float] = field(default_factory=dict)
    unreachable_until: dict[UpstreamId, float] = field(default_factory=dict)
    last_epoch: int = 0
    abandoned_formations: list[AbandonedFormation] = field(default_factory=list)

    def abandon(self, key: GroupKey, reason: str) -> None:
        """Drop a formation."""
        formation = self.formations_by_key.pop(key, None)
        if formation is not None:
            self.abandoned_formations.append(AbandonedFormation(key, formation.model, reason))

    def forget(self, keys: set[GroupKey], at: float) -> None:
        """Drop what is remembered of groups that nobody reports any more."""
        for key in self.headless_by_key.keys() - keys:
            del self.headless_by_key[key]
        for key in self.close_outcomes_by_key.keys() - keys:
            del self.close_outcomes_by_key[key]
        self.closes_refused &= keys
        _forget_old(self.sent_at, at)
        _forget_old(self.released_at, at)


def _forget_old(times: dict[K, float], at: float) -> None:
    old = [what for what, then in times.items() if at - then > FORGET_SECONDS]
    for what in old:
        del times[what]
