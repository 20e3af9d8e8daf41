"""Prompt prefixes that each target is thought to have in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

PREFIXES_PER_TARGET = 4_096
EVENT_LAG_SECONDS = 10.0


class CachedPrefixes:
    """Prefixes of one target, least recently used first, with the time last sent or seen."""

    def __init__(self) -> None:
        self._times_by_prefix: OrderedDict[str, float] = OrderedDict()
        self._sequence: int | None = None

    def add(self, prefixes: Sequence[str], now: float) -> None:
        """Note prefixes as cached; the shortest counts as used last, for it is shared most."""
        for prefix in reversed(prefixes):
            self._times_by_prefix[prefix] = now
            self._times_by_prefix.move_to_end(prefix)
        while len(self._times_by_prefix) > PREFIXES_PER_TARGET:
            self._times_by_prefix.popitem(last=False)

    def match_count(self, prefixes: Sequence[str]) -> int:
        """Return how many of the leading prefixes are cached."""
        lengths = range(len(prefixes), 0, -1)
        return next((n for n in lengths if prefixes[n - 1] in self._times_by_prefix), 0)

    def apply_cache_event(
        self, sequence: int, added: Sequence[str], removed: Sequence[str], now: float
    ) -> None:
        """Apply a cache event, which never outweighs what was sent since it may have happened.

        After a gap, removals may have been lost, so only recently used prefixes are kept.
        """
        if self._sequence is not None and sequence <= self._sequence:
            return
        gap = self._sequence is not None and sequence > self._sequence + 1
        self._sequence = sequence
        times = self._times_by_prefix
        old = [prefix for prefix in removed if times.get(prefix, now) < now - EVENT_LAG_SECONDS]
        if gap:
            old += [key for key, at in times.items() if at < now - EVENT_LAG_SECONDS]
        for prefix in old:
            times.pop(prefix, None)
        self.add(added, now)


class PrefixIndex:
    """Cached prefixes of groups and peers, by their name."""

    def __init__(self) -> None:
        self._caches_by_target: dict[str, CachedPrefixes] = {}

    def record_sent(self, target: str, prefixes: Sequence[str], now: float) -> None:
        """Note that a prompt with these prefixes went to the target."""
        if prefixes:
            self._caches_by_target.setdefault(target, CachedPrefixes()).add(prefixes, now)

    def match_share(self, target: str, prefixes: Sequence[str]) -> float:
        """Return the share of the prefixes that the target is thought to have, 0 to 1."""
        cache = self._caches_by_target.get(target)
        if cache is None or not prefixes:
            return 0.0
        return cache.match_count(prefixes) / len(prefixes)

    def apply_cache_event(
        self,
        target: str,
        sequence: int,
        added: Sequence[str],
        removed: Sequence[str],
        now: float,
    ) -> None:
        """Apply a cache event of the target."""
        cache = self._caches_by_target.setdefault(target, CachedPrefixes())
        cache.apply_cache_event(sequence, added, removed, now)

    def remove_target(self, target: str) -> None:
        """Forget a target that has restarted or is gone."""
        self._caches_by_target.pop(target, None)
