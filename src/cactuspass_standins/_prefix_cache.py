"""Prefix cache of a stand-in engine."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheLookup:
    """Cache hits of one prompt and the changes that it caused.

    :param cached_share: fraction of the prompt's blocks that were cached, from 0 to 1.
    :param added: hashes of the blocks that were added.
    :param removed: hashes of the blocks that were evicted.
    """

    cached_share: float
    added: tuple[str, ...]
    removed: tuple[str, ...]


class PrefixCache:
    """LRU cache of prompt blocks; a block's key is the hash of the prefix that it ends.

    :param capacity: maximum number of blocks.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def access(self, prefix_hashes: Sequence[str]) -> CacheLookup:
        """Look up a prompt's blocks and add the missing ones."""
        added = tuple(block for block in prefix_hashes if block not in self._blocks)
        for block in prefix_hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        excess = max(0, len(self._blocks) - self.capacity)
        removed = tuple(self._blocks.popitem(last=False)[0] for _ in range(excess))
        cached = len(prefix_hashes) - len(added)
        return CacheLookup(cached / max(1, len(prefix_hashes)), added, removed)
