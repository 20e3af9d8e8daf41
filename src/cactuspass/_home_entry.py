"""Home entry of a conversation, where its prompt prefixes are most likely cached.

All entries compute the same home entry without any communication.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from hashlib import blake2b

from cactuspass.models import EntryId

POPULAR_SHARE_OF_REQUESTS = 0.03
MAX_COUNTED_REQUESTS = 4_096
MAX_COUNTED_PREFIXES = 8_192


class PrefixCounts:
    """Counts prompts by prefix, to find the prefixes that many prompts share."""

    def __init__(self) -> None:
        self._counts_by_prefix: OrderedDict[str, float] = OrderedDict()
        self._requests = 0.0

    def distinct_prefix(self, prefixes: Sequence[str]) -> str:
        """Count a prompt, and return its shortest prefix that few other prompts share."""
        if not prefixes:
            return ""
        self._requests += 1.0
        if self._requests > MAX_COUNTED_REQUESTS:
            self._halve_counts()
        return next((key for key in prefixes if not self._count(key)), prefixes[-1])

    def _count(self, prefix: str) -> bool:
        """Count a prefix, and return whether many prompts share it."""
        count = self._counts_by_prefix.get(prefix, 0.0) + 1.0
        self._counts_by_prefix[prefix] = count
        self._counts_by_prefix.move_to_end(prefix)
        if len(self._counts_by_prefix) > MAX_COUNTED_PREFIXES:
            self._counts_by_prefix.popitem(last=False)
        return count > 1.0 + POPULAR_SHARE_OF_REQUESTS * self._requests

    def _halve_counts(self) -> None:
        """Halve all counts, so that recent prompts weigh more."""
        self._requests /= 2.0
        for prefix, count in self._counts_by_prefix.items():
            self._counts_by_prefix[prefix] = count / 2.0


def home_entry(prefix: str, weights_by_entry: Mapping[EntryId, float]) -> EntryId | None:
    """Return the entry that weighted rendezvous hashing chooses for a prefix.

    :param weights_by_entry: concurrency limits of the entries' groups; an entry with 0 is never
        chosen.
    :return: None if the prefix is empty or no entry has a weight.
    """
    if not prefix:
        return None
    usable = (entry for entry, weight in weights_by_entry.items() if weight > 0)
    return max(
        usable,
        key=lambda entry: _rendezvous_score(prefix, entry, weights_by_entry[entry]),
        default=None,
    )


def _rendezvous_score(prefix: str, entry: EntryId, weight: float) -> float:
    """Return the score of an entry for a prefix; the highest wins."""
    digest = blake2b(f"{prefix}|{entry}".encode(), digest_size=8).digest()
    fraction = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
    return -weight / math.log(fraction)
