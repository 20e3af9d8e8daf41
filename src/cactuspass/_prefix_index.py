"""Prompt prefixes that each target is likely to have in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

MAX_PREFIXES_PER_TARGET = 4_096
# A cache event may describe the cache as it was up to this long ago.
MAX_EVENT_LAG_SECONDS = 10.0


class CachedPrefixes:
    """Cached prefixes of one target, least recently used first.

    Each has the time at which it was last sent to the target or reported as added.
    """

    def __init__(self) -> None:
        self._times_by_prefix: OrderedDict[str, float] = OrderedDict()
        self._sequence: int | None = None

    def add(self, prefixes: Sequence[str], now: float) -> None:
        """Mark the prefixes of a prompt as cached.

        The shortest counts as the most recently used, because most prompts share it.
        """
        for prefix in reversed(prefixes):
            self._times_by_prefix[prefix] = now
            self._times_by_prefix.move_to_end(prefix)
        while len(self._times_by_prefix) > MAX_PREFIXES_PER_TARGET:
            self._times_by_prefix.popitem(last=False)

    def match_count(self, prefixes: Sequence[str]) -> int:
        """Return the length of the longest cached prefix, as a number of blocks."""
        lengths = range(len(prefixes), 0, -1)
        return next((n for n in lengths if prefixes[n - 1] in self._times_by_prefix), 0)

    def apply_cache_event(
        self, sequence: int, added: Sequence[str], removed: Sequence[str], now: float
    ) -> None:
        """Apply a cache event.

        A removal is ignored if the prefix was used within ``MAX_EVENT_LAG_SECONDS``, because the
        event may be older than that use. After a gap in the sequence, removals may have been
        lost, so only the prefixes used within that time are kept.
        """
        if self._sequence is not None and sequence <= self._sequence:
            return
        gap = self._sequence is not None and sequence > self._sequence + 1
        self._sequence = sequence
        times = self._times_by_prefix
        old = [prefix for prefix in removed if times.get(prefix, now) < now - MAX_EVENT_LAG_SECONDS]
        if gap:
            old += [key for key, at in times.items() if at < now - MAX_EVENT_LAG_SECONDS]
        for prefix in old:
            times.pop(prefix, None)
        self.add(added, now)


class PrefixIndex:
    """Cached prefixes by target, which is a group id or ``entry ID`` for a peer."""

    def __init__(self) -> None:
        self._caches_by_target: dict[str, CachedPrefixes] = {}

    def record_sent(self, target: str, prefixes: Sequence[str], now: float) -> None:
        """Mark the prefixes of a prompt that was sent to the target as cached there."""
        if prefixes:
            self._caches_by_target.setdefault(target, CachedPrefixes()).add(prefixes, now)

    def match_share(self, target: str, prefixes: Sequence[str]) -> float:
        """Return the share of the prefixes that the target is likely to have cached, 0 to 1."""
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
        """Remove a target that has restarted or is gone."""
        self._caches_by_target.pop(target, None)
