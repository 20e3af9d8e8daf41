"""Closes windows, fixes their contents in the store and sends them to the platform."""

import asyncio
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass._revisions import era_of
from cactuspass.exceptions import PlatformError
from cactuspass.fleet._cluster_state import NEVER, ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet.duties._calls import CallOutcome, UsageReport
from cactuspass.fleet.duties._holder import DutyHolder
from cactuspass.fleet.duties._retry_times import RetryTimes
from cactuspass.fleet.duties._sender import DutySender
from cactuspass.fleet.duties._stored_counts import StoredCounts
from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._usage_collector import UsageCollector
from cactuspass.fleet.duties._usage_store import FixedReports
from cactuspass.fleet.duties._windows import Windows

STEP_SECONDS = 0.25
RETRY_SECONDS = 0.5
# Rounds of queries in a term before the time of day is known by the clocks of all instances, and
# before the counts that could be collected are complete.
ROUNDS_BEFORE_TAKE_OVER = 2
ROUNDS_BEFORE_CLOSING = 5
# An answer counts for a window only if it was asked for so long after the window's end, since the
# instances' clocks differ.
ANSWER_MARGIN_SECONDS = 0.3
# A window that ended less than this share of the time to settle before a restore was not fixed by
# then. The rest allows for clocks of two holders that differ.
NOT_FIXED_SHARE = 0.75
MAX_NAMES_IN_LINE = 5
MAX_WINDOWS_LOGGED_AS_MISSED = 100


@dataclass(frozen=True, slots=True)
class SentReport:
    """The last attempt to send a report.

    :param at: clock value at which the call ended.
    """

    window: int
    outcome: CallOutcome
    at: float


class UsageReporter(RepeatingComponent):
    """Reports each window once all instances have answered for it, while this instance leads.

    Contents are fixed during the whole term; they are sent once the holder may call.

    :ivar last_sent: the last attempt of this instance to send a report.
    """

    def __init__(
        self,
        holder: DutyHolder,
        collector: UsageCollector,
        fixed: FixedReports,
        sender: DutySender,
        windows: Windows,
        true_time: TrueTime,
        cluster_state: ClusterState,
        stored_counts: StoredCounts,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        super().__init__(log)
        self._holder = holder
        self._collector = collector
        self._fixed = fixed
        self._sender = sender
        self._windows = windows
        self._true_time = true_time
        self._cluster_state = cluster_state
        self._stored_counts = stored_counts
        self._metrics = metrics
        self._term_fence: int | None = None
        self._next_window: int | None = None
        self._retry_times: RetryTimes[int] = RetryTimes()
        self.last_sent: SentReport | None = None

    async def step(self) -> None:
        """Take over, close and fix windows, and send what is fixed, each if there is any."""
        fence = self._holder.term_fence
        if fence != self._term_fence:
            self._term_fence = fence
            self._next_window = None
            self._retry_times.clear()
        pause = STEP_SECONDS
        if fence is not None:
            try:
                await self._fix_windows(fence)
            except PlatformError as error:
                self._log.state_change("usage-not-fixed", fence=fence, reason=error)
                pause = RETRY_SECONDS
            await self._send_reports(fence)
        await asyncio.sleep(pause)

    def first_open_window(self) -> int:
        """Return the first window whose content is not fixed yet, by the time of this instance."""
        first = self._windows.first_not_due(self._true_time.at())
        return max(first, self._next_window) if self._next_window is not None else first

    async def _fix_windows(self, fence: int) -> None:
        """Fix the contents of the windows that are closed.

        :raises PlatformError: if the store does not answer, or another holder has taken over.
        """
        if not self._fixed.is_current(fence):
            if self._collector.rounds < ROUNDS_BEFORE_TAKE_OVER:
                return
            await self._fixed.take_over(fence, self._first_unsent(fence))
        at = self._true_time.at()
        first = self._windows.first_not_due(at)
        if self._next_window is None:
            last_fixed = max(self._fixed.reports_by_window, default=first - 1)
            self._next_window = min(first, last_fixed + 1)
        elif self._next_window > self._windows.at(at) + 1:
            self._next_window = first  # the time had jumped forward
        first_logged = max(self._next_window, first - MAX_WINDOWS_LOGGED_AS_MISSED)
        for window in range(first_logged, first):
            # Before the first report of a fleet, windows have passed in which it did not run.
            if self._fixed.reports_by_window and self._fixed.may_compose(window):
                self._metrics.usage_windows.labels("missed").inc()
                self._log.alarm("usage-window-missed", window=window, fence=fence)
        self._next_window = max(self._next_window, first)
        while self._holder.term_fence == fence:
            window = self._next_window
            if self._fixed.may_compose(window):
                if not self._is_closed(window):
                    return
                await self._fix(window, fence)
            elif window >= self._windows.at(self._true_time.at()):
                return
            self._next_window = window + 1

    def _first_unsent(self, fence: int) -> int:
        """Return the first window that was not fixed before the last restore of the store.

        A window is fixed some time after its end. An instance that has started since the restore
        does not know when that was.
        """
        state = self._cluster_state
        at = now()
        if state.era == era_of(fence) and state.restored_at > NEVER:
            at = state.restored_at
        before_restore = now() - at + NOT_FIXED_SHARE * self._windows.settle_seconds
        return self._windows.at(self._true_time.at() - before_restore)

    def _is_closed(self, window: int) -> bool:
        """Return whether the content of a window can be composed."""
        at = self._true_time.at()
        has_asked = self._collector.rounds >= ROUNDS_BEFORE_CLOSING
        if not has_asked or at < self._windows.settles(window):
            return False
        return at >= self._windows.closes(window) or not self._lacking(window)

    def _lacking(self, window: int) -> list[str]:
        since = self._windows.end(window) + ANSWER_MARGIN_SECONDS
        return list(self._collector.lacking(since))

    async def _fix(self, window: int, fence: int) -> None:
        if self._lacking(window):
            await self._stored_counts.read()
        report = UsageReport(window, self._collector.total(window))
        lacking = self._lacking(window)
        first_kept = self._windows.first_sent(self._true_time.at())
        await self._fixed.fix(report, first_kept)
        self._metrics.usage_windows.labels("incomplete" if lacking else "complete").inc()
        self._log.state_change(
            "usage-fixed",
            window=window,
            fence=fence,
            customers=len(report.counts_by_customer),
            requests=sum(report.counts_by_customer.values()),
            after_end=self._true_time.at() - self._windows.end(window),
            lacking=len(lacking),
            lacking_names=",".join(lacking[:MAX_NAMES_IN_LINE]) or None,
        )

    async def _send_reports(self, fence: int) -> None:
        """Send the fixed reports that the platform has not accepted, the oldest first.

        Sending ends with the first call that is not answered, so that fixing goes on meanwhile.
        """
        for window in self._unsent():
            if self._holder.fence != fence:
                return
            if self._retry_times.is_due(window, now()):
                outcome = await self._send(window, fence)
                if outcome not in (CallOutcome.ACCEPTED, CallOutcome.REFUSED):
                    return

    def _unsent(self) -> list[int]:
        first = self._windows.first_sent(self._true_time.at())
        fixed = self._fixed.reports_by_window.keys() - self._fixed.accepted
        return sorted(window for window in fixed if window >= first)

    async def _send(self, window: int, fence: int) -> CallOutcome:
        outcome = await self._sender.report_usage(self._fixed.reports_by_window[window], fence)
        at = now()
        self._retry_times.record(window, outcome, at)
        if outcome is CallOutcome.NOT_SENT:
            return outcome
        self.last_sent = SentReport(window, outcome, at)
        if outcome is CallOutcome.ACCEPTED:
            self._fixed.accepted.add(window)
        self._log.order(
            "usage-sent",
            window=window,
            fence=fence,
            outcome=outcome.value,
            after_end=self._true_time.at() - self._windows.end(window),
        )
        return outcome
