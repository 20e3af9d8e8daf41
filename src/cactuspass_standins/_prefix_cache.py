"""Prefix cache of a stand-in engine."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheUse:
    """What one prompt found and changed.

    :param cached_share: part of the prompt's blocks that was cached, from 0 to 1.
    """

    cached_share: float
    added: tuple[str, ...]
    removed: tuple[str, ...]


class PrefixCache:
    """Least recently used blocks of prompts, by the hash of the prefix that ends with them."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def use(self, prefix_hashes: Sequence[str]) -> CacheUse:
        """Look up a prompt's blocks and keep them."""
        added = tuple(block for block in prefix_hashes if block not in self._blocks)
        for block in prefix_hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        excess = max(0, len(self._blocks) - self.capacity)
        removed = tuple(self._blocks.popitem(last=False)[0] for _ in range(excess))
        cached = len(prefix_hashes) - len(added)
        return CacheUse(cached / max(1, len(prefix_hashes)), added, removed)
