"""Counts, in each instance, of the requests that upstreams began."""

import random
from collections import Counter

from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._windows import Windows
from cactuspass.models import CustomerId

LIFETIME_BITS = 48


class UsageCounts:
    """Requests begun at the sends of this instance, by window and customer.

    :ivar lifetime: number that tells this run of the instance from an earlier one.
    """

    def __init__(self, windows: Windows, true_time: TrueTime) -> None:
        self._windows = windows
        self._true_time = true_time
        self._counts_by_window: dict[int, Counter[CustomerId]] = {}
        self.lifetime = random.getrandbits(LIFETIME_BITS)

    def note_begun(self, customer: CustomerId) -> None:
        """Count a request of a customer that an upstream has begun now."""
        at = self._true_time.at()
        window = self._windows.at(at)
        if window not in self._counts_by_window:
            self._remove_old(at)
            self._counts_by_window[window] = Counter()
        self._counts_by_window[window][customer] += 1

    def since(self, first_window: int) -> dict[int, dict[CustomerId, int]]:
        """Return the counts by customer of a window and all later ones that have any."""
        return {
            window: dict(counts)
            for window, counts in self._counts_by_window.items()
            if window >= first_window
        }

    def _remove_old(self, at: float) -> None:
        first, last = self._windows.first_kept(at), self._windows.at(at) + 1
        for window in [w for w in self._counts_by_window if not first <= w <= last]:
            del self._counts_by_window[window]
