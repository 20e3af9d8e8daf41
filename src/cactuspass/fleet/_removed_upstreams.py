"""Upstreams whose registry entries were removed, to tell them from those of a restored store."""

from collections.abc import Iterable
from dataclasses import dataclass

from cactuspass.fleet._upstreams import Lifetime, Upstream

MAX_REMOVED = 1024


@dataclass(frozen=True, slots=True)
class _Removal:
    """The last known state of an entry.

    :param sequence: how often the upstream had written the entry.
    :param at: clock value at which the entry was removed.
    """

    sequence: int
    at: float


class RemovedUpstreams:
    """The last removed entries, by lifetime of the upstream."""

    def __init__(self) -> None:
        self._removals_by_lifetime: dict[Lifetime, _Removal] = {}

    def add(self, removed: Iterable[Upstream], at: float) -> None:
        """Record entries that were removed; the oldest ones are dropped."""
        for upstream in removed:
            self._removals_by_lifetime.pop(upstream.lifetime, None)
            self._removals_by_lifetime[upstream.lifetime] = _Removal(upstream.sequence, at)
        while len(self._removals_by_lifetime) > MAX_REMOVED:
            del self._removals_by_lifetime[next(iter(self._removals_by_lifetime))]

    def has_later(self, upstream: Upstream, before: float) -> bool:
        """Return whether an entry was removed in this state or a later one.

        :param before: clock value before which it was removed.
        """
        removal = self._removals_by_lifetime.get(upstream.lifetime)
        return (
            removal is not None and removal.at <= before and upstream.sequence <= removal.sequence
        )
