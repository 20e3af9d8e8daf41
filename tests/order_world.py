"""Hosts that carry out orders to the letter of the protocol, early, late or never.

Nothing here knows of planners or views: it is the truth that those only see parts of. A host is
one life of an upstream; its sequence number and the epochs that it has seen end with it.
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

HOT_SECONDS = 0.2
FORM_SECONDS = 0.3
FINISH_SECONDS = 1.5
STALL_SECONDS = 6.0
STEP_SECONDS = 0.05
ROUNDING_SECONDS = 1e-6

Formed = tuple[GroupKey, tuple[UpstreamId, ...]]


@dataclass(slots=True)
class Place:
    """A host's membership in a group.

    :param until: clock value at which the state changes by itself.
    :param forms: whether the head has accepted to open, and still says that it is ready.
    """

    key: GroupKey
    members: tuple[UpstreamId, ...]
    model: ModelId
    rank: int
    state: MemberState = MemberState.JOINING
    until: float = float("inf")
    forms: bool = False

    @property
    def formed(self) -> Formed:
        """What the members must have in common."""
        return self.key, self.members

    @property
    def membership(self) -> Membership:
        """What the host says of it."""
        return Membership(self.key, self.rank, self.state)


@dataclass(slots=True)
class Host:
    """One life of an upstream.

    :param seq: orders that began something in this life.
    :param lists_by_key: members of each group that this life was told to join.
    """

    host_id: UpstreamId
    specs_by_model: dict[ModelId, ModelSpec]
    staged: tuple[ModelId, ...] = ()
    born_ms: int = 0
    seq: int = 0
    highest_epoch: int = -1
    lists_by_key: dict[GroupKey, tuple[UpstreamId, ...]] = field(default_factory=dict)
    loaded: ModelId | None = None
    place: Place | None = None
    draining: bool = False
    pace: float = 1.0
    staging_until: float = float("-inf")

    def is_busy(self, at: float) -> bool:
        """Return whether an order is in progress."""
        place = self.place
        return self.staging_until > at or (place is not None and place.until != float("inf"))

    def face(self, at: float) -> tuple[object, ...]:
        """Return all that the host's entry and report are made of, to tell when they change."""
        place = self.place
        whereabouts = (place.key, place.rank, place.state) if place is not None else None
        busy = self.is_busy(at)
        return (self.born_ms, self.seq, whereabouts, busy, self.pace, self.draining, self.loaded)

    def serves(self, key: GroupKey) -> bool:
        """Return whether this is the head of a group and takes or finishes requests."""
        place = self.place
        return (
            place is not None
            and place.key == key
            and place.rank == 0
            and place.state in SERVING_STATES
        )

    def would_accept(self, join: Join) -> OrderOutcome:
        """Return what the host answers to a join."""
        known = self.lists_by_key.get(join.key, join.members)
        if join.key.epoch < self.highest_epoch or known != join.members:
            return OrderOutcome.OUTDATED
        place = self.place
        if place is not None and place.key == join.key and place.state is not MemberState.BROKEN:
            return OrderOutcome.HOLDS
        return OrderOutcome.BEGUN

    def carry_out(self, order: object, expected_seq: int | None, at: float) -> OrderOutcome:
        """Carry out an order.

        :param expected_seq: the sequence number on which the order depends; None for any.
        """
        if expected_seq is not None and expected_seq != self.seq:
            return OrderOutcome.CONFLICT
        if isinstance(order, Join):
            outcome = self._join(order, at)
        elif isinstance(order, Stage):
            outcome = self._stage(order, at)
        else:
            outcome = self._change(order, at)
        if outcome is OrderOutcome.BEGUN or (
            outcome is OrderOutcome.HOLDS and isinstance(order, Leave)
        ):
            self.seq += 1
        return outcome

    def _join(self, join: Join, at: float) -> OrderOutcome:
        outcome = self.would_accept(join)
        if outcome is not OrderOutcome.BEGUN:
            return outcome
        spec = self.specs_by_model[join.model]
        if self.loaded == join.model:
            seconds = HOT_SECONDS
        elif join.model in self.staged:
            seconds = spec.warm_seconds
        else:
            seconds = spec.load_seconds
        self.highest_epoch = join.key.epoch
        self.lists_by_key[join.key] = join.members
        rank = join.members.index(self.host_id)
        place = Place(join.key, join.members, join.model, rank)
        place.until = max(at, self.staging_until) + seconds
        self.place = place
        return outcome

    def _stage(self, order: Stage, at: float) -> OrderOutcome:
        if order.model in self.staged:
            return OrderOutcome.HOLDS
        if self.staging_until > at:
            return OrderOutcome.CONFLICT
        self.staging_until = at + self.specs_by_model[order.model].load_seconds
        self.staged = (*self.staged, order.model)
        return OrderOutcome.BEGUN

    def _change(self, order: object, at: float) -> OrderOutcome:
        """Carry out an order that affects one group only."""
        place = self.place
        if place is None or place.key != order.key:  # type: ignore[attr-defined]
            return OrderOutcome.CONFLICT
        if isinstance(order, Open):
            return _open(place, at)
        if isinstance(order, Close):
            return _close(place, order, at)
        assert isinstance(order, Leave)
        self.place = None
        return OrderOutcome.HOLDS

    def settle(self, at: float) -> None:
        """Finish what is due."""
        place = self.place
        if place is None or place.until > at:
            return
        place.until = float("inf")
        if place.state is MemberState.READY and place.forms:
            place.state, place.forms = MemberState.OPEN, False
        elif place.state in (MemberState.JOINING, MemberState.CLOSING):
            self.loaded = place.model
            place.state = MemberState.READY


def _open(place: Place, at: float) -> OrderOutcome:
    if place.rank != 0:
        return OrderOutcome.CONFLICT
    if place.state is MemberState.OPEN or place.forms:
        return OrderOutcome.HOLDS
    if place.state is not MemberState.READY:
        return OrderOutcome.CONFLICT
    place.forms, place.until = True, at + FORM_SECONDS
    return OrderOutcome.BEGUN


def _close(place: Place, close: Close, at: float) -> OrderOutcome:
    if place.rank != 0 or place.state in (MemberState.JOINING, MemberState.BROKEN):
        return OrderOutcome.CONFLICT
    if place.state is MemberState.READY and not place.forms:
        return OrderOutcome.HOLDS
    if place.state is MemberState.CLOSING and not close.cut:
        return OrderOutcome.HOLDS
    ends_later = place.state is MemberState.OPEN and not close.cut
    place.state = MemberState.CLOSING if ends_later else MemberState.READY
    place.until = at + FINISH_SECONDS if ends_later else float("inf")
    place.forms = False
    return OrderOutcome.BEGUN


class OrderWorld:
    """Hosts, the orders on their way to them, and the two rules that must hold.

    :param alone: hosts that the other hosts do not reach; the leader and the registry may.
    :param dark: hosts that reach nobody, and that nobody reaches; they run on.
    :param violations: what broke a rule, in order.
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        self.at = 100.0
        self.hosts_by_id = {host.host_id: host for host in hosts}
        self.dead: set[UpstreamId] = set()
        self.alone: set[UpstreamId] = set()
        self.dark: set[UpstreamId] = set()
        self.violations: list[str] = []
        self.log: list[str] = []
        self._late: list[tuple[float, int, Callable[[], None]]] = []
        self._late_count = 0
        self._was_ready: set[tuple[Formed, UpstreamId]] = set()
        self._still_since: dict[tuple[UpstreamId, GroupKey], float] = {}

    def step(self) -> None:
        """Let a little time pass."""
        self.at += STEP_SECONDS
        while self._late and self._late[0][0] <= self.at + ROUNDING_SECONDS:
            heappop(self._late)[2]()
        for host in self.alive():
            self._settle(host)
        self._stall()

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something after a while."""
        self._late_count += 1
        heappush(self._late, (self.at + seconds, self._late_count, act))

    def alive(self) -> Iterator[Host]:
        """Yield the hosts whose process runs."""
        return (host for host in self.hosts_by_id.values() if host.host_id not in self.dead)

    def kill(self, host_id: UpstreamId) -> None:
        """End a host's life without a word."""
        self.dead.add(host_id)

    def restart(self, host_id: UpstreamId) -> None:
        """Begin a new life under the same id; only the weights on the host remain."""
        old = self.hosts_by_id[host_id]
        born_ms = int(self.at * 1000)
        self.hosts_by_id[host_id] = Host(host_id, old.specs_by_model, old.staged, born_ms)
        self.dead.discard(host_id)

    def carry_out(
        self, host_id: UpstreamId, order: object, expected_seq: int | None
    ) -> OrderOutcome:
        """Let an order arrive at whatever life the host has now."""
        host = self.hosts_by_id[host_id]
        if host_id in self.dead or host_id in self.dark:
            return OrderOutcome.NOT_REACHED
        before = host.place
        outcome = host.carry_out(order, expected_seq, self.at)
        if outcome is OrderOutcome.BEGUN:
            self.log.append(f"{self.at:.2f} {host_id} {order}")
            if isinstance(order, Join) and before is not None and before.key != order.key:
                self._check_two(host_id, before, order)
        return outcome

    def serving(self) -> list[Place]:
        """Return the groups that serve in truth with every member in its place."""
        heads = [host.place for host in self.alive() if host.place is not None]
        return [
            place
            for place in heads
            if place.rank == 0 and place.state is MemberState.OPEN and self._is_whole(place)
        ]

    def _check_two(self, host_id: UpstreamId, before: Place, join: Join) -> None:
        """No host takes a join of another group while the head of its present one serves."""
        head = self.hosts_by_id[before.members[0]]
        # For the head itself its place was replaced a moment ago.
        own = host_id == head.host_id and before.rank == 0 and before.state in SERVING_STATES
        others = head.host_id not in self.dead and head.serves(before.key)
        if own or others:
            state = before.state if own else head.place and head.place.state
            self.violations.append(
                f"TWO: {host_id} joins {join.key} at {self.at:.2f}, though the head"
                f" {head.host_id} of its group {before.key} is {state}"
            )

    def _settle(self, host: Host) -> None:
        before = host.place.state if host.place is not None else None
        host.settle(self.at)
        place = host.place
        if place is None or place.state is before:
            return
        if place.state is MemberState.READY:
            self._was_ready.add((place.formed, host.host_id))
        elif place.state is MemberState.OPEN:
            self._check_partial(host.host_id, place)

    def _check_partial(self, head_id: UpstreamId, place: Place) -> None:
        """A head begins to serve only after each member was ready in this very formation."""
        never = [m for m in place.members if (place.formed, m) not in self._was_ready]
        size = self.hosts_by_id[head_id].specs_by_model[place.model].size
        if never or len(place.members) != size:
            self.violations.append(
                f"PARTIAL: {head_id} serves {place.key} at {self.at:.2f}, never ready: {never}"
            )

    def _is_whole(self, place: Place) -> bool:
        """Return whether the head still reaches each member in its place."""
        return all(self._is_at_work(member, place) for member in place.members)

    def _is_at_work(self, member: UpstreamId, place: Place) -> bool:
        host = self.hosts_by_id[member]
        return (
            member not in self.dead
            and member not in self.dark
            and member not in self.alone
            and host.place is not None
            and host.place.formed == place.formed
        )

    def _stall(self) -> None:
        """A serving head that misses a member stands still, and is broken after a while."""
        still: dict[tuple[UpstreamId, GroupKey], float] = {}
        for host in self.alive():
            place = host.place
            if place is None or not host.serves(place.key) or self._is_whole(place):
                continue
            since = self._still_since.get((host.host_id, place.key), self.at)
            if self.at - since >= STALL_SECONDS:
                place.state, place.until = MemberState.BROKEN, float("inf")
            else:
                still[(host.host_id, place.key)] = since
        self._still_since = still
