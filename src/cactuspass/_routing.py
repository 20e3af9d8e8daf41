"""Chooses the destination of a request: a group of this entry, a peer, or none."""

import random
from collections import deque
from dataclasses import dataclass

from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast
from cactuspass._home_entry import PrefixCounts, home_entry
from cactuspass._messages import HeartbeatReceived, RequestArrived
from cactuspass._prefix_index import PrefixIndex
from cactuspass._ramp import concurrency_limit
from cactuspass._tables import EntryRow, HeldGroupRow, RequestRow, Tables
from cactuspass.models import EntryId, TakeOutKind

MAX_FORWARD_ATTEMPTS = 3
HEARTBEAT_TIMEOUT_SECONDS = 3.5
# A heartbeat may be this old when it arrives.
HEARTBEAT_DELAY_SECONDS = 0.1
# Loads are in requests divided by the concurrency limit. AFFINITY_LOAD is subtracted from a score
# for cached prefixes; the forward, remote, jitter and failure loads are added.
AFFINITY_LOAD = 0.8
# The home entry of a conversation counts as having at least this share of its prefixes cached.
HOME_MATCH = 0.8
FORWARD_LOAD = 0.05
REMOTE_LOAD = 0.5
JITTER_LOAD = 0.05
FAILURE_LOAD = 1.0
# A request that can't wait here is forwarded only to a peer with less load than this.
MAX_ACCEPTED_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that can take a request.

    :param entry_id: the peer; None for this entry.
    :param load: running and waiting requests divided by the concurrency limit, plus the cost of
        forwarding.
    :param prefix_match: share of the prompt's prefixes that its groups likely have cached.
    :param home_weight: concurrency limit of its groups; 0 in another data centre.
    :param has_capacity: whether its load without the cost of forwarding is below
        ``MAX_ACCEPTED_LOAD``.
    """

    entry_id: EntryId | None
    load: float
    prefix_match: float
    home_weight: float
    has_capacity: bool


class Router:
    """Chooses between own groups and peers by load, cached prefixes and distance."""

    def __init__(
        self, policy: DispatchPolicy, rng: random.Random, prefixes: PrefixIndex, forecast: Forecast
    ) -> None:
        self._forecast = forecast
        self._policy = policy
        self._rng = rng
        self._prefixes = prefixes
        self._prefix_counts = PrefixCounts()
        self._send_times_by_target: dict[tuple[EntryId, str], deque[float]] = {}

    def record_heartbeat(self, message: HeartbeatReceived, now: float) -> None:
        """Drop the requests that were sent before a peer's heartbeat, which counts them."""
        for (entry_id, _), times in self._send_times_by_target.items():
            while (
                entry_id == message.entry_id and times and times[0] < now - HEARTBEAT_DELAY_SECONDS
            ):
                times.popleft()

    def remove_peer(self, entry_id: EntryId) -> None:
        """Remove a peer whose connection broke."""
        for key in [key for key in self._send_times_by_target if key[0] == entry_id]:
            del self._send_times_by_target[key]
        self._prefixes.remove_target(f"entry {entry_id}")

    def record_forward(
        self, entry_id: EntryId, request: RequestRow | RequestArrived, now: float
    ) -> None:
        """Record a request that is being forwarded to a peer."""
        self._send_times_by_target.setdefault((entry_id, request.model), deque()).append(now)
        self._prefixes.record_sent(f"entry {entry_id}", request.prefixes, now)

    def available_groups(self, tables: Tables, model: str) -> list[HeldGroupRow]:
        """Return the own groups of a model that are neither leaving nor taken out."""
        data_centre = tables.local.data_centre
        if self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, data_centre):
            return []
        return [
            row
            for row in tables.held_groups_by_id.values()
            if row.model == model and not row.leaving and not self._is_group_taken_out(tables, row)
        ]

    def sendable_groups(self, tables: Tables, model: str, now: float) -> list[HeldGroupRow]:
        """Return the own groups of a model that requests may be sent to at this tick."""
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
        """Return the best candidate for a request, or None if there is none.

        :param own: own groups that can take it.
        :param queued: number of requests that wait here for the model.
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
        """Return the best peer whose last known load leaves capacity, or None."""
        candidates = (
            candidate
            for candidate in self._peer_candidates(tables, request, now)
            if candidate.has_capacity
        )
        best = min(candidates, key=lambda candidate: _score(candidate, False), default=None)
        return best.entry_id if best is not None else None

    def group_score(self, tables: Tables, request: RequestRow, row: HeldGroupRow) -> float:
        """Return the score of an own group for a request; the group with the lowest is chosen.

        The score is the load, raised by failures and lowered by cached prefixes.
        """
        load = (len(row.requests) + row.foreign_request_count) / max(
            1, concurrency_limit(tables, row)
        )
        load += FAILURE_LOAD * (1.0 - self._forecast.success_rate(row.group_id))
        return load - AFFINITY_LOAD * self._prefixes.match_share(row.group_id, request.prefixes)

    def _own_candidate(
        self,
        tables: Tables,
        request: RequestRow | RequestArrived,
        own: list[HeldGroupRow],
        queued: int,
    ) -> Candidate:
        """Return this entry as a candidate."""
        held = sum(len(row.requests) + row.foreign_request_count for row in own)
        limit = sum(concurrency_limit(tables, row) for row in own)
        matches = (self._prefixes.match_share(row.group_id, request.prefixes) for row in own)
        has_capacity = held + queued < MAX_ACCEPTED_LOAD * limit
        return Candidate(None, (held + queued) / max(1, limit), max(matches), limit, has_capacity)

    def _peer_candidates(
        self, tables: Tables, request: RequestRow | RequestArrived, now: float
    ) -> list[Candidate]:
        """Return the peers that can take a request.

        A forwarded request is never forwarded again.
        """
        if request.forwarded_by is not None or len(request.excluded) >= MAX_FORWARD_ATTEMPTS:
            return []
        rows = (row for row in tables.entries_by_id.values() if self._is_usable(tables, row, now))
        candidates = (self._peer_candidate(tables, request, row) for row in rows)
        return [candidate for candidate in candidates if candidate is not None]

    def _is_usable(self, tables: Tables, row: EntryRow, now: float) -> bool:
        """Return whether a peer accepts requests, according to its last heartbeat."""
        if not (row.connected and row.ready) or row.draining:
            return False
        if now - row.last_heartbeat_at > HEARTBEAT_TIMEOUT_SECONDS:
            return False
        return not self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, row.data_centre)

    def _peer_candidate(
        self, tables: Tables, request: RequestRow | RequestArrived, row: EntryRow
    ) -> Candidate | None:
        """Return a peer as a candidate, or None if it has no group for the request.

        Its expected load adds the requests sent since its last heartbeat. The other entries of
        the data centre are assumed to have sent as many each.
        """
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
        limit = sum(item.ramp for item in groups)
        expected = held + sent * self._count_senders(tables)
        load = expected / max(1, limit)
        load += FORWARD_LOAD + JITTER_LOAD * self._rng.random()
        prefix_match = self._prefixes.match_share(f"entry {row.entry_id}", request.prefixes)
        if row.data_centre != tables.local.data_centre:
            return Candidate(
                row.entry_id,
                load + REMOTE_LOAD,
                prefix_match,
                0.0,
                expected < MAX_ACCEPTED_LOAD * limit,
            )
        return Candidate(
            row.entry_id, load, prefix_match, limit, expected < MAX_ACCEPTED_LOAD * limit
        )

    def _count_senders(self, tables: Tables) -> int:
        """Return the number of connected entries of this data centre, including this one."""
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
    """Return the load of a candidate, lowered by cached prefixes; the lowest is chosen."""
    prefix_match = max(candidate.prefix_match, HOME_MATCH) if is_home else candidate.prefix_match
    return candidate.load - AFFINITY_LOAD * prefix_match
