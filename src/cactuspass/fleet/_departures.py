"""Which upstreams have said that they leave."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId, UpstreamState

MAX_DEPARTURES = 1024


@dataclass(frozen=True, slots=True)
class Departure:
    """A lifetime that leaves.

    :param since: clock value at which this instance learned it.
    """

    lifetime: Lifetime
    since: float


class Departures:
    """Lifetimes of upstreams that leave, whatever the registry says of them.

    An upstream that returns to the registry in the same lifetime still leaves; one that was seen
    in a later lifetime has left the former behind.
    """

    def __init__(self) -> None:
        self._by_lifetime: dict[Lifetime, Departure] = {}

    def add(self, lifetime: Lifetime, at: float) -> Departure | None:
        """Note that a lifetime leaves; return the oldest if there was no room for it beside."""
        oldest = None
        if len(self._by_lifetime) >= MAX_DEPARTURES:
            oldest = self._by_lifetime.pop(next(iter(self._by_lifetime)))
        self._by_lifetime[lifetime] = Departure(lifetime, at)
        return oldest

    def __contains__(self, lifetime: Lifetime) -> bool:
        return lifetime in self._by_lifetime

    @property
    def lifetimes(self) -> tuple[Lifetime, ...]:
        """The lifetimes that leave, in the order in which they were noted."""
        return tuple(self._by_lifetime)

    def since(self, lifetime: Lifetime) -> float | None:
        """Return the clock value at which a lifetime was noted; None when it was not."""
        departure = self._by_lifetime.get(lifetime)
        return departure.since if departure is not None else None

    def remove_superseded(self, registered: Iterable[Upstream]) -> list[Departure]:
        """Drop the lifetimes that later ones have followed, and return them."""
        born_by_id: dict[UpstreamId, int] = {u.upstream_id: u.born_ms for u in registered}
        ended = [
            departure
            for lifetime, departure in self._by_lifetime.items()
            if born_by_id.get(lifetime.upstream_id, lifetime.born_ms) > lifetime.born_ms
        ]
        for departure in ended:
            del self._by_lifetime[departure.lifetime]
        return ended

    def mark_draining(self, registered: Iterable[Upstream]) -> list[Upstream]:
        """Return upstreams as they are to be treated: those that leave take no new work."""
        return [
            replace(upstream, state=UpstreamState.DRAINING)
            if upstream.lifetime in self._by_lifetime and not upstream.draining
            else upstream
            for upstream in registered
        ]
