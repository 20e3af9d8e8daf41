"""Makes calls to the platform within the holder's right and the rate limit of all instances."""

import asyncio
from collections.abc import Awaitable, Callable

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._token_bucket import TokenBucket
from cactuspass.fleet.duties._calls import (
    CallOutcome,
    MayCall,
    PlatformDuties,
    UpstreamCountOrder,
    UsageReport,
)
from cactuspass.fleet.duties._holder import DutyHolder

MAX_CALL_SECONDS = 1.0
MIN_CALL_SECONDS = 0.2  # less is seldom enough for an answer
# Time before the end of the lease in which no call may be open.
LEASE_MARGIN_SECONDS = 0.2
# Rate and burst stay below the limit in any second.
SHARE_OF_RATE = 0.5
SHARE_OF_BURST = 0.3


class DutySender:
    """Makes each call only while this instance holds the duties, and ends it before the lease does.

    :param calls_per_second: calls that the platform accepts from all instances together.
    """

    def __init__(
        self,
        duties: PlatformDuties,
        holder: DutyHolder,
        calls_per_second: float,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._duties = duties
        self._holder = holder
        self._log = log
        self._metrics = metrics
        self._is_reachable = True
        burst = max(1.0, SHARE_OF_BURST * calls_per_second)
        self._rate_limit = TokenBucket(SHARE_OF_RATE * calls_per_second, burst, now())

    async def report_usage(self, report: UsageReport, fence: int) -> CallOutcome:
        """Send the report of a window.

        :param fence: number of the term in which the report may be sent.
        """
        return await self._call(
            "usage", fence, lambda may_send: self._duties.report_usage(report, fence, may_send)
        )

    async def order_upstream_count(self, order: UpstreamCountOrder, fence: int) -> CallOutcome:
        """Order a number of upstreams.

        :param fence: number of the term in which the order may be sent.
        """
        return await self._call(
            "scale",
            fence,
            lambda may_send: self._duties.order_upstream_count(order, fence, may_send),
        )

    async def _call(
        self, duty: str, fence: int, make_call: Callable[[MayCall], Awaitable[CallOutcome]]
    ) -> CallOutcome:
        seconds = min(MAX_CALL_SECONDS, self._holder.seconds_left - LEASE_MARGIN_SECONDS)
        if self._holder.fence != fence or seconds < MIN_CALL_SECONDS:
            return CallOutcome.NOT_SENT
        if not self._rate_limit.try_consume(now()):
            return CallOutcome.NOT_SENT
        ends_at = now() + seconds
        was_allowed = False

        def may_send() -> bool:
            # The process may have been paused, or the term may have ended, since the call began.
            nonlocal was_allowed
            was_allowed = self._holder.fence == fence and now() < ends_at
            return was_allowed

        try:
            async with asyncio.timeout(seconds):
                outcome = await make_call(may_send)
        except TimeoutError:
            outcome = CallOutcome.UNKNOWN if was_allowed else CallOutcome.NOT_SENT
        self._metrics.duty_calls.labels(duty, outcome.value).inc()
        if self._holder.fence == fence:
            self._note_reachable(outcome is not CallOutcome.NOT_SENT, duty)
        return outcome

    def _note_reachable(self, is_reachable: bool, duty: str) -> None:
        """Log when the platform's address stops or begins to accept connections."""
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            event = "duties-reachable" if is_reachable else "duties-unreachable"
            self._log.lifecycle(event, duty=duty)
