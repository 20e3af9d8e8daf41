"""Waits of requests for a slot of this instance, while their first event can still be in time."""

import asyncio
import contextlib
from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._choices import NoUpstream, Selection
from cactuspass.fleet.load_shedding._waiting_line import WaitingLine
from cactuspass.models import ModelId, ServiceId

Key = tuple[ServiceId, ModelId | None]
MIN_POLL_SECONDS = 0.01


class RoomWaits:
    """Requests that wait for the end of another one of this instance.

    They wait here and not at an engine, so that the most urgent one is next, at whichever head.
    """

    def __init__(self) -> None:
        self._lines_by_key: dict[Key, WaitingLine[asyncio.Event]] = {}

    async def choose(
        self,
        key: Key,
        priority: int,
        found: NoUpstream,
        choose: Callable[[], Selection | NoUpstream],
    ) -> tuple[Selection | NoUpstream, bool]:
        """Return the upstream for a request, and whether it has waited for its turn.

        It waits only if its turn is expected in time.

        :param found: why it cannot be sent now.
        :param choose: chooses among the slots that are free then.
        """
        room = found.room
        if room is None or room.slot_interval is None:
            return found, False
        line = self._lines_by_key.setdefault(key, WaitingLine())
        if not line.may_join(priority, room.slot_interval, room.max_wait):
            return found, False
        until = now() + room.max_wait
        place = line.join(priority, asyncio.Event())
        result: Selection | NoUpstream = found
        try:
            while not isinstance(result, Selection) and (left := until - now()) > 0:
                poll = max(MIN_POLL_SECONDS, room.slot_interval)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(left, poll)):
                        await place.item.wait()
                place.item.clear()
                if line.first is place:
                    result = choose()
        finally:
            line.leave(place)
            if not line:
                self._lines_by_key.pop(key, None)
        self.notify(key)
        return result, True

    def notify(self, key: Key) -> None:
        """Let the first request in line choose again, since a slot may be free."""
        line = self._lines_by_key.get(key)
        if line is not None and line.first is not None:
            line.first.item.set()

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return sum(map(len, self._lines_by_key.values()))
