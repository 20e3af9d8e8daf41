"""Choice of the place where a new request goes: here, to a peer, or nowhere."""

import random
from collections import deque
from dataclasses import dataclass

from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast
from cactuspass._home_entry import PrefixCounts, home_entry
from cactuspass._messages import PeerHeard, RequestArrived
from cactuspass._prefix_index import PrefixIndex
from cactuspass._ramp import concurrency_limit
from cactuspass._tables import EntryRow, HeldGroupRow, RequestRow, Tables
from cactuspass.models import EntryId, TakeOutKind

MAX_FORWARD_ATTEMPTS = 3
HEARTBEAT_TIMEOUT_SECONDS = 3.5
HEARTBEAT_DELAY_SECONDS = 0.1
AFFINITY_LOAD = 0.8
HOME_MATCH = 0.8
FORWARD_LOAD = 0.05
REMOTE_LOAD = 0.5
JITTER_LOAD = 0.05
FAILURE_LOAD = 1.0
MAX_ACCEPTED_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A place that can take a request.

    :param entry_id: the peer; None for this entry.
    :param load: running and waiting requests over what is borne, with the cost of distance.
    :param match: share of the prompt's prefixes that its caches are thought to have.
    :param weight: requests that its groups bear; 0 in another data centre.
    :param has_room: whether little waits there beyond what its groups bear.
    """

    entry_id: EntryId | None
    load: float
    prefix_match: float
    home_weight: float
    has_capacity: bool


class Router:
    """Compares own groups and peers by load, prefix affinity and distance."""

    def __init__(
        self, policy: DispatchPolicy, rng: random.Random, prefixes: PrefixIndex, forecast: Forecast
    ) -> None:
        self._forecast = forecast
        self._policy = policy
        self._rng = rng
        self._prefixes = prefixes
        self._prefix_counts = PrefixCounts()
        self._send_times_by_target: dict[tuple[EntryId, str], deque[float]] = {}

    def record_heartbeat(self, message: PeerHeard, now: float) -> None:
        """Stop counting what was sent before the peer's heartbeat was made."""
        for (entry_id, _), times in self._send_times_by_target.items():
            while (
                entry_id == message.entry_id and times and times[0] < now - HEARTBEAT_DELAY_SECONDS
            ):
                times.popleft()

    def remove_peer(self, entry_id: EntryId) -> None:
        """Forget a peer whose connection broke."""
        for key in [key for key in self._send_times_by_target if key[0] == entry_id]:
            del self._send_times_by_target[key]
        self._prefixes.remove_target(f"entry {entry_id}")

    def record_forward(
        self, entry_id: EntryId, request: RequestRow | RequestArrived, now: float
    ) -> None:
        """Count a request that is being forwarded."""
        self._send_times_by_target.setdefault((entry_id, request.model), deque()).append(now)
        self._prefixes.record_sent(f"entry {entry_id}", request.prefixes, now)

    def available_groups(self, tables: Tables, model: str) -> list[HeldGroupRow]:
        """Return own groups of a model that operators have not taken out."""
        data_centre = tables.local.data_centre
        if self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, data_centre):
            return []
        return [
            row
            for row in tables.held_groups_by_id.values()
            if row.model == model and not row.leaving and not self._is_group_taken_out(tables, row)
        ]

    def sendable_groups(self, tables: Tables, model: str, now: float) -> list[HeldGroupRow]:
        """Return own groups of a model that may be sent to at this tick."""
        rows = self.available_groups(tables, model)
        return [row for row in rows if self._policy.may_send(tables, row, now)]

    def choose(
        self,
        tables: Tables,
        request: RequestRow | RequestArrived,
        own: list[HeldGroupRow],
        queued: int,
        now: float,
    ) -> Candidate | None:
        """Return the best place for a request.

        :param own: own groups that could take it.
        :param queued: requests that wait here for the model.
        """
        own = [row for row in own if row.group_id not in request.excluded]
        candidates = self._peer_candidates(tables, request, now)
        if own:
            candidates.append(self._own_candidate(tables, request, own, queued))
        if len(candidates) < 2:
            return next(iter(candidates), None)
        local = tables.local.entry_id
        names = [candidate.entry_id or local for candidate in candidates]
        weights = {
            name: candidate.home_weight for name, candidate in zip(names, candidates, strict=True)
        }
        home = home_entry(self._prefix_counts.distinct_prefix(request.prefixes), weights)
        return min(
            candidates,
            key=lambda candidate: _score(candidate, (candidate.entry_id or local) == home),
        )

    def choose_peer_with_capacity(
        self, tables: Tables, request: RequestRow | RequestArrived, now: float
    ) -> EntryId | None:
        """Return the best peer where little waits, as far as we know."""
        candidates = (
            candidate
            for candidate in self._peer_candidates(tables, request, now)
            if candidate.has_capacity
        )
        best = min(candidates, key=lambda candidate: _score(candidate, False), default=None)
        return best.entry_id if best is not None else None

    def group_score(self, tables: Tables, request: RequestRow, row: HeldGroupRow) -> float:
        """Return load and failures less affinity of one own group; the lowest is chosen."""
        load = (len(row.requests) + row.foreign_held) / max(1, concurrency_limit(tables, row))
        load += FAILURE_LOAD * (1.0 - self._forecast.success_rate(row.group_id))
        return load - AFFINITY_LOAD * self._prefixes.match_share(row.group_id, request.prefixes)

    def _own_candidate(
        self,
        tables: Tables,
        request: RequestRow | RequestArrived,
        own: list[HeldGroupRow],
        queued: int,
    ) -> Candidate:
        """Return this entry's place for a request."""
        held = sum(len(row.requests) + row.foreign_held for row in own)
        ramp = sum(concurrency_limit(tables, row) for row in own)
        matches = (self._prefixes.match_share(row.group_id, request.prefixes) for row in own)
        has_capacity = held + queued < MAX_ACCEPTED_LOAD * ramp
        return Candidate(None, (held + queued) / max(1, ramp), max(matches), ramp, has_capacity)

    def _peer_candidates(
        self, tables: Tables, request: RequestRow | RequestArrived, now: float
    ) -> list[Candidate]:
        """Return the peers that can take a request, none for one that was forwarded here."""
        if request.forwarded_by is not None or len(request.excluded) >= MAX_FORWARD_ATTEMPTS:
            return []
        rows = (row for row in tables.entries_by_id.values() if self._is_usable(tables, row, now))
        candidates = (self._peer_candidate(tables, request, row) for row in rows)
        return [candidate for candidate in candidates if candidate is not None]

    def _is_usable(self, tables: Tables, row: EntryRow, now: float) -> bool:
        """Return whether a peer takes new work, as far as we know."""
        if not (row.connected and row.ready) or row.draining:
            return False
        if now - row.heard_at > HEARTBEAT_TIMEOUT_SECONDS:
            return False
        return not self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, row.data_centre)

    def _peer_candidate(
        self, tables: Tables, request: RequestRow | RequestArrived, row: EntryRow
    ) -> Candidate | None:
        """Return a peer's place for a request, or None when it has no group for it."""
        if row.entry_id in request.excluded:
            return None
        groups = [
            summary
            for summary in row.groups_by_id.values()
            if summary.model == request.model
            and summary.serving
            and summary.group_id not in request.excluded
            and not self._policy.is_taken_out(tables, TakeOutKind.GROUP, summary.group_id)
        ]
        if not groups:
            return None
        sent = len(self._send_times_by_target.get((row.entry_id, request.model), ()))
        held = sum(item.held + item.queued for item in groups)
        ramp = sum(item.ramp for item in groups)
        expected = held + sent * self._count_senders(tables)
        load = expected / max(1, ramp)
        load += FORWARD_LOAD + JITTER_LOAD * self._rng.random()
        prefix_match = self._prefixes.match_share(f"entry {row.entry_id}", request.prefixes)
        if row.data_centre != tables.local.data_centre:
            return Candidate(
                row.entry_id,
                load + REMOTE_LOAD,
                prefix_match,
                0.0,
                expected < MAX_ACCEPTED_LOAD * ramp,
            )
        return Candidate(
            row.entry_id, load, prefix_match, ramp, expected < MAX_ACCEPTED_LOAD * ramp
        )

    def _count_senders(self, tables: Tables) -> int:
        """Return the entries of the data centre, which all send about as much as this one."""
        rows = tables.entries_by_id.values()
        own = tables.local.data_centre
        return 1 + sum(1 for row in rows if row.connected and row.data_centre == own)

    def _is_group_taken_out(self, tables: Tables, row: HeldGroupRow) -> bool:
        """Return whether the group or any of its members is taken out."""
        if self._policy.is_taken_out(tables, TakeOutKind.GROUP, row.group_id):
            return True
        return any(
            self._policy.is_taken_out(tables, TakeOutKind.UPSTREAM, member)
            for member in row.members
        )


def _score(candidate: Candidate, is_home: bool) -> float:
    """Return load less affinity of a place; the lowest is chosen."""
    prefix_match = max(candidate.prefix_match, HOME_MATCH) if is_home else candidate.prefix_match
    return candidate.load - AFFINITY_LOAD * prefix_match
