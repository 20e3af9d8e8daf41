"""Lets one request at a time try a part of prompts that may make upstreams crash."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import takewhile

from cactuspass._clock import now
from cactuspass.fleet.prompt_parts._parts import CrashReport, PartKey
from cactuspass.models import RequestId

HOLD_SECONDS = 1.0  # longest time for which other requests wait for the one that tries a part
MAX_HELD_PARTS = 4096


@dataclass(slots=True, eq=False)
class UnansweredRequest:
    """A request that was sent and of whose answer nothing has come.

    :param recall: cancels the attempt; None if the request may not be repeated.
    """

    request_id: RequestId
    keys: tuple[PartKey, ...]
    recall: Callable[[], None] | None


@dataclass(slots=True)
class _Hold:
    """A part that one request tries.

    :param until: clock value at which others stop waiting.
    :param released: set once the part has been cleared or blocked.
    """

    request_id: RequestId
    until: float
    released: asyncio.Event = field(default_factory=asyncio.Event)


class PartHolds:
    """The parts that are being tried, and the requests that could be recalled.

    All holds last equally long, so the oldest are the first to expire.
    """

    def __init__(self) -> None:
        self._holds_by_part: OrderedDict[PartKey, _Hold] = OrderedDict()
        self._parts_by_request_id: dict[RequestId, set[PartKey]] = {}
        self._unanswered: dict[UnansweredRequest, None] = {}  # oldest first

    def add_unanswered(self, request: UnansweredRequest) -> None:
        """Add a request that was sent."""
        self._unanswered[request] = None

    def remove_unanswered(self, request: UnansweredRequest) -> None:
        """Remove a request whose answer has begun or whose attempt has ended."""
        self._unanswered.pop(request, None)

    def hold(self, report: CrashReport, at: float) -> None:
        """Let only the crashed request try its parts, and recall the others that have them."""
        self._remove_expired(at)
        held = {key for key in report.keys if key not in self._holds_by_part}
        for key in held:
            self._holds_by_part[key] = _Hold(report.request, at + HOLD_SECONDS)
        if held:
            self._parts_by_request_id.setdefault(report.request, set()).update(held)
        while len(self._holds_by_part) > MAX_HELD_PARTS:
            self.release([next(iter(self._holds_by_part))])
        for request in list(self._unanswered):
            is_other = request.request_id != report.request
            if is_other and request.recall is not None and not held.isdisjoint(request.keys):
                request.recall()

    def release(self, keys: Iterable[PartKey]) -> None:
        """Let the requests that wait for some parts go on."""
        for key in keys:
            hold = self._remove(key)
            if hold is not None:
                hold.released.set()

    def release_all_of(self, request_id: RequestId) -> None:
        """Let the requests go on that wait for a request which has ended."""
        self.release(tuple(self._parts_by_request_id.get(request_id, ())))

    def _remove_expired(self, at: float) -> None:
        expired = takewhile(lambda item: item[1].until <= at, self._holds_by_part.items())
        for key in [key for key, _ in expired]:
            self._remove(key)

    def _remove(self, key: PartKey) -> _Hold | None:
        hold = self._holds_by_part.pop(key, None)
        if hold is not None:
            parts = self._parts_by_request_id[hold.request_id]
            parts.discard(key)
            if not parts:
                del self._parts_by_request_id[hold.request_id]
        return hold

    def is_held(self, request_id: RequestId, keys: Iterable[PartKey], at: float) -> bool:
        """Return whether another request tries one of the parts."""
        holds = (self._holds_by_part.get(key) for key in keys)
        return any(h.request_id != request_id and h.until > at for h in holds if h is not None)

    async def wait(self, request_id: RequestId, keys: Iterable[PartKey]) -> None:
        """Wait while another request tries one of the parts."""
        for key in keys:
            hold = self._holds_by_part.get(key)
            if hold is None or hold.request_id == request_id:
                continue
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, hold.until - now())):
                    await hold.released.wait()
