"""Upstreams that have announced that they are leaving."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId, UpstreamState

MAX_DEPARTURES = 1024


@dataclass(frozen=True, slots=True)
class Departure:
    """A lifetime of an upstream that is leaving.

    :param since: clock value at which this instance was informed of it.
    """

    lifetime: Lifetime
    since: float


class Departures:
    """Lifetimes of upstreams that are leaving, whatever state the registry lists for them.

    An upstream that reappears in the registry with the same lifetime is still leaving. A lifetime
    is removed once the registry lists a later lifetime of the same upstream.
    """

    def __init__(self) -> None:
        self._by_lifetime: dict[Lifetime, Departure] = {}

    def add(self, lifetime: Lifetime, at: float) -> Departure | None:
        """Add a lifetime; return the oldest one if the table was full and it was removed."""
        oldest = None
        if len(self._by_lifetime) >= MAX_DEPARTURES:
            oldest = self._by_lifetime.pop(next(iter(self._by_lifetime)))
        self._by_lifetime[lifetime] = Departure(lifetime, at)
        return oldest

    def __contains__(self, lifetime: Lifetime) -> bool:
        return lifetime in self._by_lifetime

    @property
    def lifetimes(self) -> tuple[Lifetime, ...]:
        """The lifetimes that are leaving, in the order in which they were added."""
        return tuple(self._by_lifetime)

    def since(self, lifetime: Lifetime) -> float | None:
        """Return the clock value at which a lifetime was added; None if it was not."""
        departure = self._by_lifetime.get(lifetime)
        return departure.since if departure is not None else None

    def remove_superseded(self, registered: Iterable[Upstream]) -> list[Departure]:
        """Remove and return the lifetimes for which a later one is registered."""
        if not self._by_lifetime:
            return []
        born_by_id: dict[UpstreamId, int] = {u.upstream_id: u.born_ms for u in registered}
        superseded = [
            departure
            for lifetime, departure in self._by_lifetime.items()
            if born_by_id.get(lifetime.upstream_id, lifetime.born_ms) > lifetime.born_ms
        ]
        for departure in superseded:
            del self._by_lifetime[departure.lifetime]
        return superseded

    def mark_draining(self, registered: Iterable[Upstream]) -> list[Upstream]:
        """Return the registered upstreams, where those that are leaving count as draining."""
        return [self._mark(upstream) for upstream in registered]

    def _mark(self, upstream: Upstream) -> Upstream:
        if upstream.draining or not self._by_lifetime or upstream.lifetime not in self:
            return upstream
        return replace(upstream, state=UpstreamState.DRAINING)
