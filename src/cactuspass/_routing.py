"""Choice of the place where a new request goes: here, to a peer, or nowhere."""

import random
from collections import deque
from dataclasses import dataclass

from cactuspass._dispatch_policy import DispatchPolicy
from cactuspass._forecast import Forecast
from cactuspass._home_entry import PrefixCounts, home_of
from cactuspass._messages import PeerHeard, RequestArrived
from cactuspass._prefix_index import PrefixIndex
from cactuspass._ramp import concurrency_limit
from cactuspass._tables import EntryRow, HeldGroupRow, RequestRow, Tables
from cactuspass.models import EntryId, TakeOutKind

FORWARD_TRIES = 3
HEARD_SECONDS = 3.5
IN_FLIGHT_SECONDS = 0.1
AFFINITY_LOAD = 0.8
HOME_MATCH = 0.8
FORWARD_LOAD = 0.05
REMOTE_LOAD = 0.5
JITTER_LOAD = 0.05
FAILURE_LOAD = 1.0
CROWDED_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class Place:
    """A place that can take a request.

    :param entry_id: the peer; None for this entry.
    :param load: running and waiting requests over what is borne, with the cost of distance.
    :param match: share of the prompt's prefixes that its caches are thought to have.
    :param weight: requests that its groups bear; 0 in another data centre.
    :param has_room: whether little waits there beyond what its groups bear.
    """

    entry_id: EntryId | None
    load: float
    match: float
    weight: float
    has_room: bool


class Router:
    """Compares own groups and peers by load, prefix affinity and distance."""

    def __init__(
        self, policy: DispatchPolicy, rng: random.Random, prefixes: PrefixIndex, forecast: Forecast
    ) -> None:
        self._forecast = forecast
        self._policy = policy
        self._rng = rng
        self._prefixes = prefixes
        self._counts = PrefixCounts()
        self._sent_by_target: dict[tuple[EntryId, str], deque[float]] = {}

    def hear(self, message: PeerHeard, now: float) -> None:
        """Stop counting what was sent before the peer's heartbeat was made."""
        for (entry_id, _), times in self._sent_by_target.items():
            while entry_id == message.entry_id and times and times[0] < now - IN_FLIGHT_SECONDS:
                times.popleft()

    def forget(self, entry_id: EntryId) -> None:
        """Forget a peer whose connection broke."""
        for key in [key for key in self._sent_by_target if key[0] == entry_id]:
            del self._sent_by_target[key]
        self._prefixes.forget(f"entry {entry_id}")

    def sent(self, entry_id: EntryId, request: RequestRow | RequestArrived, now: float) -> None:
        """Count a request that is being forwarded."""
        self._sent_by_target.setdefault((entry_id, request.model), deque()).append(now)
        self._prefixes.sent(f"entry {entry_id}", request.prefixes, now)

    def own_rows(self, tables: Tables, model: str) -> list[HeldGroupRow]:
        """Return own groups of a model that operators have not taken out."""
        data_centre = tables.local.data_centre
        if self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, data_centre):
            return []
        return [
            row
            for row in tables.held_groups_by_id.values()
            if row.model == model and not row.leaving and not self._group_out(tables, row)
        ]

    def able_rows(self, tables: Tables, model: str, now: float) -> list[HeldGroupRow]:
        """Return own groups of a model that may be sent to at this tick."""
        rows = self.own_rows(tables, model)
        return [row for row in rows if self._policy.may_send(tables, row, now)]

    def choose(
        self,
        tables: Tables,
        request: RequestRow | RequestArrived,
        own: list[HeldGroupRow],
        queued: int,
        now: float,
    ) -> Place | None:
        """Return the best place for a request.

        :param own: own groups that could take it.
        :param queued: requests that wait here for the model.
        """
        own = [row for row in own if row.group_id not in request.excluded]
        places = self._peer_places(tables, request, now)
        if own:
            places.append(self._own_place(tables, request, own, queued))
        if len(places) < 2:
            return next(iter(places), None)
        local = tables.local.entry_id
        names = [place.entry_id or local for place in places]
        weights = {name: place.weight for name, place in zip(names, places, strict=True)}
        home = home_of(self._counts.distinct_prefix(request.prefixes), weights)
        return min(places, key=lambda place: _score(place, (place.entry_id or local) == home))

    def choose_peer_with_room(
        self, tables: Tables, request: RequestRow | RequestArrived, now: float
    ) -> EntryId | None:
        """Return the best peer where little waits, as far as we know."""
        places = (place for place in self._peer_places(tables, request, now) if place.has_room)
        best = min(places, key=lambda place: _score(place, False), default=None)
        return best.entry_id if best is not None else None

    def group_score(self, tables: Tables, request: RequestRow, row: HeldGroupRow) -> float:
        """Return load and failures less affinity of one own group; the lowest is chosen."""
        load = (len(row.requests) + row.foreign_held) / max(1, concurrency_limit(tables, row))
        load += FAILURE_LOAD * (1.0 - self._forecast.success(row.group_id))
        return load - AFFINITY_LOAD * self._prefixes.matched(row.group_id, request.prefixes)

    def _own_place(
        self,
        tables: Tables,
        request: RequestRow | RequestArrived,
        own: list[HeldGroupRow],
        queued: int,
    ) -> Place:
        """Return this entry's place for a request."""
        held = sum(len(row.requests) + row.foreign_held for row in own)
        ramp = sum(concurrency_limit(tables, row) for row in own)
        matches = (self._prefixes.matched(row.group_id, request.prefixes) for row in own)
        has_room = held + queued < CROWDED_LOAD * ramp
        return Place(None, (held + queued) / max(1, ramp), max(matches), ramp, has_room)

    def _peer_places(
        self, tables: Tables, request: RequestRow | RequestArrived, now: float
    ) -> list[Place]:
        """Return the peers that can take a request, none for one that was forwarded here."""
        if request.forwarded_by is not None or len(request.excluded) >= FORWARD_TRIES:
            return []
        rows = (row for row in tables.entries_by_id.values() if self._usable(tables, row, now))
        places = (self._peer_place(tables, request, row) for row in rows)
        return [place for place in places if place is not None]

    def _usable(self, tables: Tables, row: EntryRow, now: float) -> bool:
        """Return whether a peer takes new work, as far as we know."""
        if not (row.connected and row.ready) or row.draining:
            return False
        if now - row.heard_at > HEARD_SECONDS:
            return False
        return not self._policy.is_taken_out(tables, TakeOutKind.DATA_CENTRE, row.data_centre)

    def _peer_place(
        self, tables: Tables, request: RequestRow | RequestArrived, row: EntryRow
    ) -> Place | None:
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
        sent = len(self._sent_by_target.get((row.entry_id, request.model), ()))
        held = sum(item.held + item.queued for item in groups)
        ramp = sum(item.ramp for item in groups)
        expected = held + sent * self._senders(tables)
        load = expected / max(1, ramp)
        load += FORWARD_LOAD + JITTER_LOAD * self._rng.random()
        match = self._prefixes.matched(f"entry {row.entry_id}", request.prefixes)
        if row.data_centre != tables.local.data_centre:
            return Place(
                row.entry_id, load + REMOTE_LOAD, match, 0.0, expected < CROWDED_LOAD * ramp
            )
        return Place(row.entry_id, load, match, ramp, expected < CROWDED_LOAD * ramp)

    def _senders(self, tables: Tables) -> int:
        """Return the entries of the data centre, which all send about as much as this one."""
        rows = tables.entries_by_id.values()
        own = tables.local.data_centre
        return 1 + sum(1 for row in rows if row.connected and row.data_centre == own)

    def _group_out(self, tables: Tables, row: HeldGroupRow) -> bool:
        """Return whether the group or any of its members is taken out."""
        if self._policy.is_taken_out(tables, TakeOutKind.GROUP, row.group_id):
            return True
        return any(
            self._policy.is_taken_out(tables, TakeOutKind.UPSTREAM, member)
            for member in row.members
        )


def _score(place: Place, is_home: bool) -> float:
    """Return load less affinity of a place; the lowest is chosen."""
    match = max(place.match, HOME_MATCH) if is_home else place.match
    return place.load - AFFINITY_LOAD * match
