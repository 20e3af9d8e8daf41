"""State that the group planner keeps between planning rounds."""

from dataclasses import dataclass, field
from typing import TypeVar

from cactuspass.fleet._demand import Demand
from cactuspass.fleet._group_history import GroupHistory
from cactuspass.fleet._host_states import HostStateTable
from cactuspass.fleet._orders import OrderOutcome
from cactuspass.fleet._slow_groups import SlowGroupLimit
from cactuspass.fleet._upstreams import GroupKey, Upstream, UpstreamId
from cactuspass.fleet._weight_loading import LoadSchedule
from cactuspass.models import FabricDomainId, ModelId

K = TypeVar("K")

RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class Formation:
    """A group that this planner is forming.

    :param expires_at: clock value after which the formation is abandoned.
    :param sequences_by_id: number of orders that each member had accepted before its order to join.
    :param refused_ids: members that have refused to join once, possibly since they have joined
        already.
    """

    key: GroupKey
    model: ModelId
    members: tuple[Upstream, ...]
    expires_at: float
    sequences_by_id: dict[UpstreamId, int]
    refused_ids: set[UpstreamId] = field(default_factory=set)

    @property
    def member_ids(self) -> tuple[UpstreamId, ...]:
        """Ids of the members, ordered by rank."""
        return tuple(member.upstream_id for member in self.members)


@dataclass(frozen=True, slots=True)
class AbandonedFormation:
    """A formation that cannot be completed.

    :param reason: why it was abandoned, for the log.
    """

    key: GroupKey
    model: ModelId
    reason: str


@dataclass(slots=True)
class MissingHead:
    """The missing head of a group whose other members are registered.

    :param head: the head as it was last registered; None when this instance has never seen it.
    :param missing_since: clock value at which the head was first found missing.
    """

    head: Upstream | None
    missing_since: float


@dataclass(slots=True)
class Reallocation:
    """A group whose hosts are to serve another model.

    :param model: model whose weights they load while the group serves.
    :param expires_at: clock value after which this is abandoned.
    :param is_prepared: whether all have the weights, so that the group is closed.
    """

    model: ModelId
    expires_at: float
    is_prepared: bool = False


@dataclass(frozen=True, slots=True)
class HostTransfer:
    """A host that leaves its group to serve another model.

    :param source: the group, which is closed for this.
    :param model: model whose weights the host is to load.
    :param expires_at: clock value after which the transfer is abandoned.
    """

    source: GroupKey
    model: ModelId
    expires_at: float


@dataclass(slots=True)
class PlannerMemory:
    """State that the planner keeps between planning rounds.

    :param first_plan_at: clock value of the first planning round.
    :param close_outcomes_by_key: last outcome of an order to close each group.
    :param refused_close_keys: groups whose heads refused an order to close that expected a sequence
        number.
    :param slow_groups: limits the closing of groups that have a slow member.
    :param refused_load_sequences_by_id: sequence number that the refused order to load expected, by
        host.
    :param release_started_at: clock values since when hosts are to leave their groups.
    :param last_sent_at: clock values at which orders were last sent, by target and order.
    :param unreachable_until_by_id: clock values until which upstreams count as unreachable since an
        order did not reach them.
    :param transfers_by_id: hosts that are to load another model than their group's.
    :param kept_sets: clock values of the first and the last round in which the incomplete set of a
        domain and model was kept together.
    :param transfer_needed_since: clock value since when a transfer is needed; None while none is.
    :param reallocations_by_key: groups whose hosts are to serve another model.
    :param reallocation_needed_since: clock value since when one is needed; None while none is.
    :param last_epoch: epoch of the last group that this planner has formed.
    :param abandoned_formations: formations that no caller has fetched yet.
    """

    demand: Demand
    history: GroupHistory
    first_plan_at: float = float("-inf")
    load_schedule: LoadSchedule = field(default_factory=LoadSchedule)
    host_states: HostStateTable = field(default_factory=HostStateTable)
    formations_by_key: dict[GroupKey, Formation] = field(default_factory=dict)
    missing_heads_by_key: dict[GroupKey, MissingHead] = field(default_factory=dict)
    close_outcomes_by_key: dict[GroupKey, OrderOutcome] = field(default_factory=dict)
    refused_close_keys: set[GroupKey] = field(default_factory=set)
    slow_groups: SlowGroupLimit = field(default_factory=SlowGroupLimit)
    refused_load_sequences_by_id: dict[UpstreamId, int] = field(default_factory=dict)
    release_started_at: dict[tuple[UpstreamId, GroupKey], float] = field(default_factory=dict)
    last_sent_at: dict[tuple[UpstreamId, str], float] = field(default_factory=dict)
    unreachable_until_by_id: dict[UpstreamId, float] = field(default_factory=dict)
    transfers_by_id: dict[UpstreamId, HostTransfer] = field(default_factory=dict)
    kept_sets: dict[tuple[FabricDomainId, ModelId], tuple[float, float]] = field(
        default_factory=dict
    )
    transfer_needed_since: float | None = None
    reallocations_by_key: dict[GroupKey, Reallocation] = field(default_factory=dict)
    reallocation_needed_since: float | None = None
    last_epoch: int = 0
    abandoned_formations: list[AbandonedFormation] = field(default_factory=list)

    def abandon(self, key: GroupKey, reason: str) -> None:
        """Drop a formation and keep the reason for the log."""
        formation = self.formations_by_key.pop(key, None)
        if formation is not None:
            self.abandoned_formations.append(AbandonedFormation(key, formation.model, reason))

    def prune(self, keys: set[GroupKey], at: float) -> None:
        """Drop the state of groups that no upstream reports any more, and old times.

        :param keys: groups that are reported.
        """
        for key in self.missing_heads_by_key.keys() - keys:
            del self.missing_heads_by_key[key]
        for key in self.close_outcomes_by_key.keys() - keys:
            del self.close_outcomes_by_key[key]
        self.refused_close_keys &= keys
        _drop_old(self.last_sent_at, at)
        _drop_old(self.release_started_at, at)


def _drop_old(times: dict[K, float], at: float) -> None:
    old_keys = [key for key, then in times.items() if at - then > RETENTION_SECONDS]
    for key in old_keys:
        del times[key]
