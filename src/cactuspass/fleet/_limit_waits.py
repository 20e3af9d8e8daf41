"""Waits of requests for a token, while only upstreams at their limits could serve them."""

import asyncio
import itertools
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

from cactuspass._clock import now
from cactuspass.fleet._choices import NoUpstream, Selection
from cactuspass.fleet._limit_loans import LimitLoans
from cactuspass.models import ModelId, ServiceId

MIN_WAIT_SECONDS = 0.001

Key = tuple[ServiceId, ModelId | None]
Choose = Callable[[], Selection | NoUpstream]


class LimitWaits:
    """Requests that wait for a token, the most urgent first.

    A request waits only if its turn is expected in time; otherwise a token is borrowed for it, or
    it is refused at once.
    """

    def __init__(self, loans: LimitLoans) -> None:
        self._loans = loans
        self._numbers = itertools.count()
        self._waiting_by_key: defaultdict[Key, list[tuple[int, int]]] = defaultdict(list)

    async def choose(
        self, key: Key, priority: int, choose: Choose, max_wait: float
    ) -> Selection | NoUpstream:
        """Return the upstream for a request, after a wait if a token is expected in time.

        :param key: requests with the same one are served by the same upstreams.
        :param priority: priority of the request, where 0 is the most urgent.
        :param choose: chooses among the upstreams as they are now.
        :param max_wait: longest acceptable wait in seconds.
        """
        found = choose()
        if isinstance(found, Selection) or not found.at_limit:
            return found
        found = await self._wait(key, priority, choose, found, now() + max_wait)
        if isinstance(found, Selection) or not found.at_limit:
            return found
        return choose() if await self._loans.borrow(found.at_limit) else found

    async def _wait(
        self, key: Key, priority: int, choose: Choose, found: NoUpstream, until: float
    ) -> Selection | NoUpstream:
        """Wait for a token of this instance, if it is expected before a clock value."""
        with self._place(key, priority) as place:
            while True:
                ahead = bisect_left(self._waiting_by_key[key], place)
                # Without a share, the next token is infinitely far away, for the first one too.
                delay = found.token_delay + (ahead * found.token_interval if ahead else 0.0)
                if now() + delay > until:
                    return found
                await asyncio.sleep(max(MIN_WAIT_SECONDS, delay))
                if self._waiting_by_key[key][0] < place:
                    # One that came later and is more urgent takes the token that is due now.
                    found = replace(found, token_delay=0.0)
                    continue
                result = choose()
                if isinstance(result, Selection) or not result.at_limit:
                    return result
                found = result

    @contextmanager
    def _place(self, key: Key, priority: int) -> Iterator[tuple[int, int]]:
        """Give a request a place among those that wait, until it no longer does."""
        place = (priority, next(self._numbers))
        insort(self._waiting_by_key[key], place)
        try:
            yield place
        finally:
            self._waiting_by_key[key].remove(place)
            if not self._waiting_by_key[key]:
                del self._waiting_by_key[key]
