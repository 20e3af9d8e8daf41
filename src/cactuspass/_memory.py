"""Accounting of the bytes held for slow readers, with budgets for each stream and the node."""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

from cactuspass.models import CustomerId, RequestId

SLOW_READER_SECONDS = 10.0
PAUSE_SHARE = 0.5


class CutReason(Enum):
    """Why a stream is cut."""

    SLOW_READER = "slow-reader"
    NODE_FULL = "node-full"


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Limits of the held bytes.

    :param node_bytes: largest number of bytes held for all streams of the entry.
    :param stream_bytes: largest number of bytes held for one stream.
    """

    node_bytes: int
    stream_bytes: int


@dataclass(slots=True)
class HeldStream:
    """Bytes held for one stream.

    :param progressed_at: time at which its reader last read bytes, or last had none to read.
    """

    customer: CustomerId
    progressed_at: float
    held_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Cut:
    """A stream that must be ended with an explicit error."""

    request_id: RequestId
    reason: CutReason


class MemoryLedger:
    """Counts held bytes and refuses those that would exceed a budget.

    Times are seconds of one monotonic clock.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._streams_by_request: dict[RequestId, HeldStream] = {}
        self._held_bytes = 0
        self._node_budget_refused = False

    @property
    def held_bytes(self) -> int:
        """Bytes held for all streams."""
        return self._held_bytes

    def open(self, request_id: RequestId, customer: CustomerId, now: float) -> None:
        """Start counting a stream."""
        self._streams_by_request.setdefault(request_id, HeldStream(customer, now))

    def close(self, request_id: RequestId) -> None:
        """Stop counting a stream and release its bytes."""
        stream = self._streams_by_request.pop(request_id, None)
        if stream is not None:
            self._held_bytes -= stream.held_bytes

    def reserve(self, request_id: RequestId, size: int, now: float) -> bool:
        """Count bytes that are about to be held.

        :return: False if a budget does not allow them; the caller must not hold them then.
        """
        stream = self._streams_by_request.get(request_id)
        if stream is None:
            return False
        if stream.held_bytes + size > self._budget.stream_bytes:
            return False
        if self._held_bytes + size > self._budget.node_bytes:
            self._node_budget_refused = True
            return False
        if not stream.held_bytes:
            stream.progressed_at = now
        stream.held_bytes += size
        self._held_bytes += size
        return True

    def release(self, request_id: RequestId, size: int, now: float) -> None:
        """Count bytes that the reader has read as no longer held."""
        stream = self._streams_by_request.get(request_id)
        if stream is None or size <= 0:
            return
        released = min(size, stream.held_bytes)
        stream.held_bytes -= released
        stream.progressed_at = now
        self._held_bytes -= released

    def should_pause(self, request_id: RequestId) -> bool:
        """Return whether to pause reading the stream from its upstream.

        A stream pauses at ``PAUSE_SHARE`` of its budget, or above its share of the node budget
        while the node is above its pause threshold.
        """
        stream = self._streams_by_request.get(request_id)
        if stream is None:
            return True
        if stream.held_bytes >= PAUSE_SHARE * self._budget.stream_bytes:
            return True
        return self._is_above_pause_threshold() and stream.held_bytes > self._fair_share_bytes()

    def streams_to_cut(self, now: float) -> list[Cut]:
        """Return the streams to cut.

        These are the streams of stalled readers and, if the node budget refused bytes since the
        last call, further streams that hold more than their share. The caller closes each of
        them and ends it with an explicit error.
        """
        slow = [
            Cut(request_id, CutReason.SLOW_READER)
            for request_id, stream in self._streams_by_request.items()
            if self._is_stalled(stream, now)
        ]
        if not self._node_budget_refused:
            return slow
        self._node_budget_refused = False
        return slow + self._streams_over_share({cut.request_id for cut in slow})

    def held_bytes_by_customer(self) -> dict[CustomerId, int]:
        """Return the bytes held for each customer."""
        held: dict[CustomerId, int] = defaultdict(int)
        for stream in self._streams_by_request.values():
            held[stream.customer] += stream.held_bytes
        return dict(held)

    def _fair_share_bytes(self) -> float:
        """Return the node budget per open stream, at most the pause threshold of a stream."""
        share = self._budget.node_bytes / max(1, len(self._streams_by_request))
        return min(share, PAUSE_SHARE * self._budget.stream_bytes)

    def _is_above_pause_threshold(self) -> bool:
        """Return whether the held bytes exceed ``PAUSE_SHARE`` of the node budget."""
        return self._held_bytes > PAUSE_SHARE * self._budget.node_bytes

    def _is_stalled(self, stream: HeldStream, now: float) -> bool:
        """Return whether the reader made no progress for too long with its share or more held."""
        idle_seconds = now - stream.progressed_at
        return idle_seconds >= SLOW_READER_SECONDS and stream.held_bytes >= self._fair_share_bytes()

    def _streams_over_share(self, cut: set[RequestId]) -> list[Cut]:
        """Return the streams whose cut brings the node back to its pause threshold.

        Streams that have waited longest for their reader come first, and larger ones before
        smaller ones; streams below their share are kept.
        """
        candidates = {key: s for key, s in self._streams_by_request.items() if key not in cut}
        excess_bytes = (
            sum(s.held_bytes for s in candidates.values()) - PAUSE_SHARE * self._budget.node_bytes
        )
        chosen: list[Cut] = []
        ordered = sorted(
            candidates, key=lambda key: (candidates[key].progressed_at, -candidates[key].held_bytes)
        )
        for request_id in ordered:
            if excess_bytes <= 0:
                break
            if candidates[request_id].held_bytes >= self._fair_share_bytes():
                chosen.append(Cut(request_id, CutReason.NODE_FULL))
                excess_bytes -= candidates[request_id].held_bytes
        return chosen
