"""Fake engine instances for the tests and the benchmark of groups."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from cactuspass._messages import InstanceReported, LoadState, OrderLoad
from cactuspass.models import (
    BootId,
    DataCentreId,
    FabricDomainId,
    Generation,
    GroupId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    InstanceState,
    KindId,
)

DATA_CENTRE = DataCentreId("sapa-a")
KIND = KindId("draft")
REJOIN_SECONDS = 0.2


@dataclass(slots=True)
class FakeEngine:
    """Engine that loads weights, reports its position in a group and may check fencing numbers.

    A position consists of group, generation, rank and group size.

    :param load_seconds: time of a load from the weight store at the full rate.
    :param boots: number of the current process.
    :param weights: model, version, rank and size of the weights in memory.
    :param target_weights: model, version, rank and size that the latest order requires.
    :param remaining_seconds: load time that remains, at the full rate.
    :param is_slow: whether it loads at a quarter of the rate.
    :param load_count: number of loads from the weight store.
    :param keeps_weights: whether weights stay in memory when the position changes.
    :param changed_at: time of the last change of the reported state.
    :param true_at: time at which it was last ready, by position.
    """

    instance_id: InstanceId
    fabric_domain: FabricDomainId
    load_seconds: float
    checks_fence: bool
    boots: int = 1
    is_up: bool = True
    is_paused: bool = False
    list_state: InstanceState = InstanceState.LIVE
    is_listed: bool = True
    group_id: GroupId = GroupId("")
    generation: Generation = Generation(0)
    rank: int = -1
    size: int = 0
    state: LoadState = LoadState.IDLE
    fence: int = 0
    weights: tuple[str, str, int, int] | None = None
    target_weights: tuple[str, str, int, int] | None = None
    remaining_seconds: float = 0.0
    is_slow: bool = False
    load_count: int = 0
    keeps_weights: bool = True
    changed_at: float = 0.0
    true_at: dict[tuple[GroupId, Generation, int, int], float] = field(default_factory=dict)

    @property
    def record(self) -> InstanceRecord:
        """Return the engine's record in the instance list."""
        return InstanceRecord(
            self.instance_id,
            InstanceRole.ENGINE,
            f"10.0.0.1:{self.instance_id}",
            DATA_CENTRE,
            self.fabric_domain,
            KIND,
            8,
            self.list_state,
        )

    @property
    def is_loading(self) -> bool:
        """Return whether the engine reads weights from the weight store."""
        return (
            self.is_running
            and self.state is LoadState.LOADING
            and self.weights != self.target_weights
        )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs and is not paused."""
        return self.is_up and not self.is_paused

    @property
    def is_ready(self) -> bool:
        """Return whether the engine can run requests."""
        return self.is_running and self.state is LoadState.READY

    @property
    def position(self) -> tuple[GroupId, Generation, int, int]:
        """Return the engine's group, generation, rank and group size."""
        return self.group_id, self.generation, self.rank, self.size

    def accept(self, order: OrderLoad, now: float) -> bool:
        """Execute an order; return False if its fencing number is outdated."""
        if self.checks_fence and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        position = (order.group_id, order.generation, order.rank, len(order.addresses))
        if position == self.position:
            return True
        if not self.keeps_weights:
            self.weights = None
        self.group_id, self.generation, self.rank, self.size = position
        self.target_weights = (order.model, order.version, order.rank, len(order.addresses))
        self.remaining_seconds = (
            REJOIN_SECONDS if self.weights == self.target_weights else self.load_seconds
        )
        self.state = LoadState.LOADING
        self.changed_at = now
        return True

    def serves(self, group_id: GroupId, generation: Generation) -> bool:
        """Return whether the engine would run a request for the group and generation."""
        return self.is_ready and (self.group_id, self.generation) == (group_id, generation)

    def advance(self, seconds: float, now: float) -> None:
        """Advance a load by a time at the full rate; record the position of a ready engine."""
        if self.is_running and self.state is LoadState.LOADING:
            self.remaining_seconds -= seconds * (0.25 if self.is_slow else 1.0)
            if self.remaining_seconds <= 0:
                self.state = LoadState.READY
                self.load_count += self.weights != self.target_weights
                self.weights = self.target_weights
                self.changed_at = now
        if self.is_running and self.state is LoadState.READY:
            self.true_at[self.position] = now

    def kill(self) -> None:
        """End the process; its weights and position are lost."""
        self.is_up = False
        self.is_paused = False
        self.weights = self.target_weights = None
        self.group_id, self.generation = GroupId(""), Generation(0)
        self.rank, self.size, self.fence = -1, 0, 0
        self.state = LoadState.IDLE

    def start(self, now: float) -> None:
        """Start a new process, unless one runs."""
        if not self.is_up:
            self.is_up = True
            self.boots += 1
            self.changed_at = now

    def report(self) -> InstanceReported:
        """Return a status event."""
        model, version = self.weights[:2] if self.weights else ("", "")
        return InstanceReported(
            self.instance_id,
            BootId(f"{self.instance_id}-b{self.boots}"),
            self.group_id,
            self.generation,
            self.rank,
            self.size,
            self.state,
            self.fence,
            model=model,
            version=version,
        )


def make_engines(
    domains: Sequence[int], load_seconds: float = 10.0, checks_fence: bool = True
) -> list[FakeEngine]:
    """Return engines ``d0-0``, ``d0-1`` and so on, with the given count in each domain."""
    return [
        FakeEngine(
            InstanceId(f"d{domain}-{index}"),
            FabricDomainId(f"d{domain}"),
            load_seconds,
            checks_fence,
        )
        for domain, count in enumerate(domains)
        for index in range(count)
    ]
