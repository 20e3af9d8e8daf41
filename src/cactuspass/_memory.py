"""Bytes that this entry holds for slow readers, with budgets for each stream and the node."""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from cactuspass.models import CustomerId, RequestId

SLOW_READER_SECONDS = 10.0
PAUSE_SHARE = 0.5


class CutReason(Enum):
    """Why a stream has to be cut."""

    SLOW_READER = "slow-reader"
    NODE_FULL = "node-full"


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bytes that may be held.

    :param node_bytes: bytes that the entry holds at most for all streams.
    :param stream_bytes: bytes that it holds at most for one stream.
    """

    node_bytes: int
    stream_bytes: int


@dataclass(slots=True)
class HeldStream:
    """Bytes held for one stream.

    :param progressed_at: time at which its reader last took bytes, or had none to take.
    """

    customer: CustomerId
    progressed_at: float
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Cut:
    """A stream that must end with an explicit error."""

    request_id: RequestId
    reason: CutReason


class MemoryLedger:
    """Counts held bytes; never lets them exceed the budgets."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._streams_by_request: dict[RequestId, HeldStream] = {}
        self._held_bytes = 0
        self._refused = False

    @property
    def held_bytes(self) -> int:
        """Bytes held for all streams."""
        return self._held_bytes

    def open(self, request_id: RequestId, customer: CustomerId, now: float) -> None:
        """Start counting a stream."""
        self._streams_by_request.setdefault(request_id, HeldStream(customer, now))

    def close(self, request_id: RequestId) -> None:
        """Stop counting a stream and free what it held."""
        stream = self._streams_by_request.pop(request_id, None)
        if stream is not None:
            self._held_bytes -= stream.held_bytes

    def reserve(self, request_id: RequestId, size: int, now: float) -> bool:
        """Count bytes about to be held.

        :return: False when a budget does not allow them; they must not be held then.
        """
        stream = self._streams_by_request.get(request_id)
        if stream is None:
            return False
        if stream.held_bytes + size > self._budget.stream_bytes:
            return False
        if self._held_bytes + size > self._budget.node_bytes:
            self._refused = True
            return False
        if not stream.held_bytes:
            stream.progressed_at = now
        stream.held_bytes += size
        self._held_bytes += size
        return True

    def release(self, request_id: RequestId, size: int, now: float) -> None:
        """Count bytes that the reader took."""
        stream = self._streams_by_request.get(request_id)
        if stream is None or size <= 0:
            return
        taken = min(size, stream.held_bytes)
        stream.held_bytes -= taken
        stream.progressed_at = now
        self._held_bytes -= taken

    def should_pause(self, request_id: RequestId) -> bool:
        """Return whether to stop reading the stream from its upstream for now."""
        stream = self._streams_by_request.get(request_id)
        if stream is None:
            return True
        if stream.held_bytes >= PAUSE_SHARE * self._budget.stream_bytes:
            return True
        return self._is_tight() and stream.held_bytes > self._share()

    def streams_to_cut(self, now: float) -> list[Cut]:
        """Return the streams to cut: readers that stalled, and the largest ones when full.

        The caller closes each of them and ends it with an explicit error.
        """
        slow = [
            Cut(request_id, CutReason.SLOW_READER)
            for request_id, stream in self._streams_by_request.items()
            if self._is_stalled(stream, now)
        ]
        if not self._refused:
            return slow
        self._refused = False
        return slow + self._largest({cut.request_id for cut in slow})

    def held_bytes_by_customer(self) -> dict[CustomerId, int]:
        """Return the bytes held for each customer."""
        held: dict[CustomerId, int] = defaultdict(int)
        for stream in self._streams_by_request.values():
            held[stream.customer] += stream.held_bytes
        return dict(held)

    def _share(self) -> float:
        """Return the bytes of the node budget that fall to each open stream."""
        share = self._budget.node_bytes / max(1, len(self._streams_by_request))
        return min(share, PAUSE_SHARE * self._budget.stream_bytes)

    def _is_tight(self) -> bool:
        """Return whether more than half of the node budget is held."""
        return self._held_bytes > PAUSE_SHARE * self._budget.node_bytes

    def _is_stalled(self, stream: HeldStream, now: float) -> bool:
        """Return whether the reader made no progress for long while it holds much."""
        idle = now - stream.progressed_at
        return idle >= SLOW_READER_SECONDS and stream.held_bytes >= self._share()

    def _largest(self, cut: set[RequestId]) -> list[Cut]:
        """Return the largest streams that bring the node below its pause mark again."""
        rest = {key: s for key, s in self._streams_by_request.items() if key not in cut}
        excess = sum(s.held_bytes for s in rest.values()) - PAUSE_SHARE * self._budget.node_bytes
        chosen: list[Cut] = []
        ordered = sorted(rest, key=lambda key: (rest[key].progressed_at, -rest[key].held_bytes))
        for request_id in ordered:
            if excess <= 0:
                break
            if rest[request_id].held_bytes >= self._share():
                chosen.append(Cut(request_id, CutReason.NODE_FULL))
                excess -= rest[request_id].held_bytes
        return chosen
