"""Tells the other instances what this one knows of parts of prompts, without needless messages."""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from itertools import accumulate

from cactuspass._clock import now
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._token_bucket import TokenBucket
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.prompt_parts._messages import (
    BlockMessage,
    BreakMessage,
    Clearance,
    ClearanceMessage,
    PartMessage,
    message_of,
)
from cactuspass.fleet.prompt_parts._parts import AnswerStage, Block, CrashReport, PartKey

MAX_BREAK_DELAY_SECONDS = 0.05
MAX_CLEARANCE_DELAY_SECONDS = 0.08
MAX_CLEARANCES_PER_MESSAGE = 8
PART_OVERHEAD_CHARS = 2  # CBOR head of a part id of up to 255 characters
MAX_REPORTED_CHARS = 720  # of the part ids in a report with their CBOR heads, to fit a datagram
MESSAGES_PER_SECOND = 20.0
MESSAGE_BURST = 60.0

Send = Callable[[PartMessage], None]
CallLater = Callable[[float, Callable[[], None]], object]


class PartReporter:
    """Sends messages at a limited rate; what many instances know is told by few of them.

    :param send: sends a message to all other instances.
    :param call_later: calls a function after a time in seconds.
    """

    def __init__(self, send: Send, metrics: Metrics, call_later: CallLater) -> None:
        self._send = send
        self._metrics = metrics
        self._call_later = call_later
        self._reports = TokenBucket(MESSAGES_PER_SECOND, MESSAGE_BURST, now())
        self._others = TokenBucket(MESSAGES_PER_SECOND, MESSAGE_BURST, now())
        self._untold_breaks: set[UpstreamId] = set()
        self._untold_clearances: set[tuple[AnswerStage, PartKey]] = set()

    def send_block(self, block: Block) -> None:
        """Send the state of a block."""
        self._send(BlockMessage(block))

    def send_report(self, report: CrashReport, at: float) -> None:
        """Send a report of this instance, which also tells that the upstream broke connections.

        Only the first parts are named if not all fit into a datagram.

        :param at: clock value of the call.
        """
        self.forget_break(report.lifetime.upstream_id)
        self._send_if(self._reports, message_of(_shorten(report), at))

    def tell_break_later(self, upstream_id: UpstreamId) -> None:
        """Tell after a random time that an upstream broke connections."""
        self._untold_breaks.add(upstream_id)
        delay = random.uniform(0.0, MAX_BREAK_DELAY_SECONDS)
        self._call_later(delay, lambda: self._tell_break(upstream_id))

    def forget_break(self, upstream_id: UpstreamId) -> None:
        """Do not tell of an upstream of which another message has told."""
        self._untold_breaks.discard(upstream_id)

    def tell_clearances(
        self, stage: AnswerStage, cleared_at_by_part: Mapping[PartKey, float]
    ) -> None:
        """Tell which parts are cleared.

        :param cleared_at_by_part: clock value at which an answer on each part came so far.
        """
        at = now()
        found = [Clearance(key, at - cleared_at) for key, cleared_at in cleared_at_by_part.items()]
        for start in range(0, len(found), MAX_CLEARANCES_PER_MESSAGE):
            some = tuple(found[start : start + MAX_CLEARANCES_PER_MESSAGE])
            self._send_if(self._others, ClearanceMessage(some, stage))

    def tell_clearances_later(
        self, stage: AnswerStage, cleared_at_by_part: Mapping[PartKey, float]
    ) -> None:
        """Tell after a random time which parts are cleared.

        Otherwise each report would make all instances answer that have seen the same parts.
        """
        new = {
            key: cleared_at
            for key, cleared_at in cleared_at_by_part.items()
            if (stage, key) not in self._untold_clearances
        }
        if new:
            self._untold_clearances.update((stage, key) for key in new)
            delay = random.uniform(0.0, MAX_CLEARANCE_DELAY_SECONDS)
            self._call_later(delay, lambda: self._tell_untold_clearances(stage, new))

    def forget_clearances(self, stage: AnswerStage, keys: Iterable[PartKey]) -> None:
        """Do not tell of parts of which another instance has told."""
        self._untold_clearances.difference_update((stage, key) for key in keys)

    def _tell_break(self, upstream_id: UpstreamId) -> None:
        if upstream_id in self._untold_breaks:
            self._untold_breaks.discard(upstream_id)
            self._send_if(self._others, BreakMessage(upstream_id))

    def _tell_untold_clearances(
        self, stage: AnswerStage, cleared_at_by_part: Mapping[PartKey, float]
    ) -> None:
        untold = {
            key: cleared_at
            for key, cleared_at in cleared_at_by_part.items()
            if (stage, key) in self._untold_clearances
        }
        self.forget_clearances(stage, untold)
        if untold:
            self.tell_clearances(stage, untold)

    def _send_if(self, bucket: TokenBucket, message: PartMessage) -> None:
        if bucket.try_consume(now()):
            self._send(message)
        else:
            self._metrics.prompt_parts.labels("unsent").inc()


def _shorten(report: CrashReport) -> CrashReport:
    """Return a report with as many of the parts as a datagram has room for."""
    ends = accumulate(len(key.part) + PART_OVERHEAD_CHARS for key in report.keys)
    count = sum(end <= MAX_REPORTED_CHARS for end in ends)
    if count == len(report.keys):
        return report
    return replace(report, keys=report.keys[:count], is_complete=False)
