"""Simulated hosts that execute orders exactly as the protocol defines.

Orders may arrive early, late or never. The module holds the true state of the hosts and does not
depend on planners or on their views, which show only part of that state. A host is one lifetime of
an upstream: its sequence number and the epochs that it has seen end with that lifetime.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush

from cactuspass.fleet._catalog import ModelSpec
from cactuspass.fleet._orders import Close, Join, Leave, Open, OrderOutcome, Stage
from cactuspass.fleet._upstreams import (
    SERVING_STATES,
    GroupKey,
    Membership,
    MemberState,
    UpstreamId,
)
from cactuspass.models import ModelId

HOT_JOIN_SECONDS = 0.2
OPENING_SECONDS = 0.3
CLOSING_SECONDS = 1.5
STALL_TIMEOUT_SECONDS = 6.0
STEP_SECONDS = 0.05
ROUNDING_TOLERANCE_SECONDS = 1e-6

Formation = tuple[GroupKey, tuple[UpstreamId, ...]]


@dataclass(slots=True)
class HostMembership:
    """Membership of a host in a group.

    :param members: ids of all members by rank; the first member is the head.
    :param transition_at: clock value in seconds at which the state changes without another order.
    :param is_opening: whether the head has accepted an open order but still reports that it is
        ready.
    """

    key: GroupKey
    members: tuple[UpstreamId, ...]
    model: ModelId
    rank: int
    state: MemberState = MemberState.JOINING
    transition_at: float = float("inf")
    is_opening: bool = False

    @property
    def formation(self) -> Formation:
        """The key and member list, which are equal on all members of the group."""
        return self.key, self.members

    @property
    def published(self) -> Membership:
        """The membership as the host registers and reports it."""
        return Membership(self.key, self.rank, self.state)


@dataclass(slots=True)
class Host:
    """One lifetime of an upstream.

    :param sequence: number of orders that this lifetime has accepted.
    :param highest_epoch: epoch of the group that this lifetime has joined last; joins of lower
        epochs are outdated.
    :param members_by_key: member list of each group that this lifetime has joined.
    :param staging_until: clock value in seconds at which the ordered load of weights is complete.
    """

    host_id: UpstreamId
    specs_by_model: dict[ModelId, ModelSpec]
    staged: tuple[ModelId, ...] = ()
    born_ms: int = 0
    sequence: int = 0
    highest_epoch: int = -1
    members_by_key: dict[GroupKey, tuple[UpstreamId, ...]] = field(default_factory=dict)
    loaded: ModelId | None = None
    membership: HostMembership | None = None
    draining: bool = False
    pace: float = 1.0
    staging_until: float = float("-inf")

    def is_busy(self, at: float) -> bool:
        """Return whether the host is carrying out an order."""
        membership = self.membership
        return self.staging_until > at or (
            membership is not None and membership.transition_at != float("inf")
        )

    def published_state(self, at: float) -> tuple[object, ...]:
        """Return the values that the entry and report contain, to detect changes of these."""
        membership = self.membership
        membership_state = (
            (membership.key, membership.rank, membership.state) if membership is not None else None
        )
        busy = self.is_busy(at)
        return (
            self.born_ms,
            self.sequence,
            membership_state,
            busy,
            self.pace,
            self.draining,
            self.loaded,
        )

    def serves(self, key: GroupKey) -> bool:
        """Return whether this is the head of the group and accepts or finishes requests."""
        membership = self.membership
        return (
            membership is not None
            and membership.key == key
            and membership.rank == 0
            and membership.state in SERVING_STATES
        )

    def evaluate_join(self, join: Join) -> OrderOutcome:
        """Return the outcome of a join order without executing it."""
        known_members = self.members_by_key.get(join.key, join.members)
        if join.key.epoch < self.highest_epoch or known_members != join.members:
            return OrderOutcome.OUTDATED
        membership = self.membership
        if (
            membership is not None
            and membership.key == join.key
            and membership.state is not MemberState.BROKEN
        ):
            return OrderOutcome.HOLDS
        return OrderOutcome.BEGUN

    def execute(self, order: object, expected_sequence: int | None, at: float) -> OrderOutcome:
        """Execute an order.

        :param expected_sequence: the sequence number that the order requires; None for any.
        :param at: clock value in seconds.
        """
        if expected_sequence is not None and expected_sequence != self.sequence:
            return OrderOutcome.CONFLICT
        if isinstance(order, Join):
            outcome = self._join(order, at)
        elif isinstance(order, Stage):
            outcome = self._stage(order, at)
        else:
            outcome = self._execute_for_group(order, at)
        if outcome is OrderOutcome.BEGUN or (
            outcome is OrderOutcome.HOLDS and isinstance(order, Leave)
        ):
            self.sequence += 1
        return outcome

    def _join(self, join: Join, at: float) -> OrderOutcome:
        outcome = self.evaluate_join(join)
        if outcome is not OrderOutcome.BEGUN:
            return outcome
        spec = self.specs_by_model[join.model]
        if self.loaded == join.model:
            seconds = HOT_JOIN_SECONDS
        elif join.model in self.staged:
            seconds = spec.warm_seconds
        else:
            seconds = spec.load_seconds
        self.highest_epoch = join.key.epoch
        self.members_by_key[join.key] = join.members
        rank = join.members.index(self.host_id)
        membership = HostMembership(join.key, join.members, join.model, rank)
        membership.transition_at = max(at, self.staging_until) + seconds
        self.membership = membership
        return outcome

    def _stage(self, order: Stage, at: float) -> OrderOutcome:
        if order.model in self.staged:
            return OrderOutcome.HOLDS
        if self.staging_until > at:
            return OrderOutcome.CONFLICT
        self.staging_until = at + self.specs_by_model[order.model].load_seconds
        self.staged = (*self.staged, order.model)
        return OrderOutcome.BEGUN

    def _execute_for_group(self, order: object, at: float) -> OrderOutcome:
        """Execute an order that refers to the present group of the host."""
        membership = self.membership
        if membership is None or membership.key != order.key:  # type: ignore[attr-defined]
            return OrderOutcome.CONFLICT
        if isinstance(order, Open):
            return _open(membership, at)
        if isinstance(order, Close):
            return _close(membership, order, at)
        assert isinstance(order, Leave)
        self.membership = None
        return OrderOutcome.HOLDS

    def apply_due_transition(self, at: float) -> None:
        """Complete joining, opening or closing once its time has passed."""
        membership = self.membership
        if membership is None or membership.transition_at > at:
            return
        membership.transition_at = float("inf")
        if membership.state is MemberState.READY and membership.is_opening:
            membership.state, membership.is_opening = MemberState.OPEN, False
        elif membership.state in (MemberState.JOINING, MemberState.CLOSING):
            self.loaded = membership.model
            membership.state = MemberState.READY


def _open(membership: HostMembership, at: float) -> OrderOutcome:
    if membership.rank != 0:
        return OrderOutcome.CONFLICT
    if membership.state is MemberState.OPEN or membership.is_opening:
        return OrderOutcome.HOLDS
    if membership.state is not MemberState.READY:
        return OrderOutcome.CONFLICT
    membership.is_opening, membership.transition_at = True, at + OPENING_SECONDS
    return OrderOutcome.BEGUN


def _close(membership: HostMembership, close: Close, at: float) -> OrderOutcome:
    if membership.rank != 0 or membership.state in (MemberState.JOINING, MemberState.BROKEN):
        return OrderOutcome.CONFLICT
    if membership.state is MemberState.READY and not membership.is_opening:
        return OrderOutcome.HOLDS
    if membership.state is MemberState.CLOSING and not close.cut:
        return OrderOutcome.HOLDS
    finishes_running = membership.state is MemberState.OPEN and not close.cut
    membership.state = MemberState.CLOSING if finishes_running else MemberState.READY
    membership.transition_at = at + CLOSING_SECONDS if finishes_running else float("inf")
    membership.is_opening = False
    return OrderOutcome.BEGUN


class OrderWorld:
    """Hosts, the orders that are in transit to them, and checks of two rules.

    A host must not join another group while the head of its present group serves, and a head may
    serve only after each member of the group has been ready.

    :param hosts: the hosts at the start.
    :ivar at: simulated time in seconds.
    :ivar killed_ids: hosts whose process has ended.
    :ivar cut_from_hosts: hosts that other hosts cannot reach; the leader and the registry may.
    :ivar cut_from_all: hosts without any connection, whose processes continue to run.
    :ivar violations: descriptions of the violations of the two rules, in order.
    :ivar log: events by time, for the messages of failed tests.
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        self.at = 100.0
        self.hosts_by_id = {host.host_id: host for host in hosts}
        self.killed_ids: set[UpstreamId] = set()
        self.cut_from_hosts: set[UpstreamId] = set()
        self.cut_from_all: set[UpstreamId] = set()
        self.violations: list[str] = []
        self.log: list[str] = []
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        self._members_seen_ready: set[tuple[Formation, UpstreamId]] = set()
        self._stalled_since: dict[tuple[UpstreamId, GroupKey], float] = {}

    def step(self) -> None:
        """Advance the time by one step."""
        self.at += STEP_SECONDS
        while self._scheduled and self._scheduled[0][0] <= self.at + ROUNDING_TOLERANCE_SECONDS:
            heappop(self._scheduled)[2]()
        for host in self.running_hosts():
            self._apply_due_transition(host)
        self._break_stalled_heads()

    def schedule(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay.

        :param seconds: the delay.
        """
        self._scheduled_count += 1
        heappush(self._scheduled, (self.at + seconds, self._scheduled_count, callback))

    def running_hosts(self) -> Iterator[Host]:
        """Yield the hosts whose process runs."""
        return (host for host in self.hosts_by_id.values() if host.host_id not in self.killed_ids)

    def kill(self, host_id: UpstreamId) -> None:
        """End the process of a host without informing the registry, the leader or hosts."""
        self.killed_ids.add(host_id)

    def restart(self, host_id: UpstreamId) -> None:
        """Start a new lifetime under the same id; it keeps only the staged weights."""
        old = self.hosts_by_id[host_id]
        born_ms = int(self.at * 1000)
        self.hosts_by_id[host_id] = Host(host_id, old.specs_by_model, old.staged, born_ms)
        self.killed_ids.discard(host_id)

    def execute(
        self, host_id: UpstreamId, order: object, expected_sequence: int | None
    ) -> OrderOutcome:
        """Execute an order in the present lifetime of a host."""
        host = self.hosts_by_id[host_id]
        if host_id in self.killed_ids or host_id in self.cut_from_all:
            return OrderOutcome.NOT_REACHED
        before = host.membership
        outcome = host.execute(order, expected_sequence, self.at)
        if outcome is OrderOutcome.BEGUN:
            self.log.append(f"{self.at:.2f} {host_id} {order}")
            if isinstance(order, Join) and before is not None and before.key != order.key:
                self._check_single_group(host_id, before, order)
        return outcome

    def serving_groups(self) -> list[HostMembership]:
        """Return the memberships of the heads whose groups are open with all members."""
        heads = [host.membership for host in self.running_hosts() if host.membership is not None]
        return [
            membership
            for membership in heads
            if membership.rank == 0
            and membership.state is MemberState.OPEN
            and self._has_all_members(membership)
        ]

    def _check_single_group(self, host_id: UpstreamId, before: HostMembership, join: Join) -> None:
        """Record a violation if a host joins another group while its own head serves."""
        head = self.hosts_by_id[before.members[0]]
        # The join has already replaced the membership if the host is the head itself.
        is_serving_head = (
            host_id == head.host_id and before.rank == 0 and before.state in SERVING_STATES
        )
        head_serves = head.host_id not in self.killed_ids and head.serves(before.key)
        if is_serving_head or head_serves:
            state = before.state if is_serving_head else head.membership and head.membership.state
            self.violations.append(
                f"TWO GROUPS: {host_id} joins {join.key} at {self.at:.2f}, though the head"
                f" {head.host_id} of its group {before.key} is {state}"
            )

    def _apply_due_transition(self, host: Host) -> None:
        before = host.membership.state if host.membership is not None else None
        host.apply_due_transition(self.at)
        membership = host.membership
        if membership is None or membership.state is before:
            return
        if membership.state is MemberState.READY:
            self._members_seen_ready.add((membership.formation, host.host_id))
        elif membership.state is MemberState.OPEN:
            self._check_complete_formation(host.host_id, membership)

    def _check_complete_formation(self, head_id: UpstreamId, membership: HostMembership) -> None:
        """Record a violation if a head opens before each member was ready in the same formation."""
        never_ready = [
            m
            for m in membership.members
            if (membership.formation, m) not in self._members_seen_ready
        ]
        size = self.hosts_by_id[head_id].specs_by_model[membership.model].size
        if never_ready or len(membership.members) != size:
            self.violations.append(
                f"PARTIAL GROUP: {head_id} serves {membership.key} at {self.at:.2f},"
                f" never ready: {never_ready}"
            )

    def _has_all_members(self, membership: HostMembership) -> bool:
        """Return whether the head reaches all members and these have the same formation."""
        return all(self._is_reachable_member(member, membership) for member in membership.members)

    def _is_reachable_member(self, member: UpstreamId, membership: HostMembership) -> bool:
        host = self.hosts_by_id[member]
        return (
            member not in self.killed_ids
            and member not in self.cut_from_all
            and member not in self.cut_from_hosts
            and host.membership is not None
            and host.membership.formation == membership.formation
        )

    def _break_stalled_heads(self) -> None:
        """Mark serving heads as broken that have lacked a member for the stall timeout.

        A head that lacks a member stalls: it still serves but makes no progress.
        """
        stalled: dict[tuple[UpstreamId, GroupKey], float] = {}
        for host in self.running_hosts():
            membership = host.membership
            if (
                membership is None
                or not host.serves(membership.key)
                or self._has_all_members(membership)
            ):
                continue
            since = self._stalled_since.get((host.host_id, membership.key), self.at)
            if self.at - since >= STALL_TIMEOUT_SECONDS:
                membership.state, membership.transition_at = MemberState.BROKEN, float("inf")
            else:
                stalled[(host.host_id, membership.key)] = since
        self._stalled_since = stalled
