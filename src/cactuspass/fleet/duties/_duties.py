"""Connects the components that carry out the duties of one instance at a time."""

import time
from collections.abc import Callable
from typing import Protocol

from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass.fleet._catalog import ScalingLimits
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._presence import Term
from cactuspass.fleet._settings import DutySection
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.duties._calls import PlatformDuties
from cactuspass.fleet.duties._count_orders import CountOrders
from cactuspass.fleet.duties._duty_rows import HolderRow, UsageRow, count_rows, duties_page
from cactuspass.fleet.duties._holder import DutyHolder
from cactuspass.fleet.duties._sender import DutySender
from cactuspass.fleet.duties._stored_counts import StoredCounts
from cactuspass.fleet.duties._true_time import TrueTime
from cactuspass.fleet.duties._usage_collector import Send, UsageCollector
from cactuspass.fleet.duties._usage_counts import UsageCounts
from cactuspass.fleet.duties._usage_messages import UsageDatagram
from cactuspass.fleet.duties._usage_reporter import UsageReporter
from cactuspass.fleet.duties._usage_store import FixedReports
from cactuspass.fleet.duties._windows import Windows
from cactuspass.models import CustomerId, EntryId, ServiceId

USAGE = "usage"
SCALE = "scale"


class Leadership(Protocol):
    """The term of this instance as leader, which :class:`Presence` has."""

    @property
    def term(self) -> Term | None:
        """The current term; None while this instance does not lead."""

    @property
    def term_seconds_left(self) -> float:
        """Seconds until the term ends unless it is renewed."""


class UsageDuty(Component):
    """Counts requests, and reports them while this instance leads.

    :param instance: id of this instance.
    :param send: sends a message to the instance at an address.
    :param wall_clock: returns this instance's wall-clock time in Unix seconds.
    """

    def __init__(
        self,
        instance: EntryId,
        settings: DutySection,
        store: SharedStore,
        cluster_state: ClusterState,
        holder: DutyHolder,
        sender: DutySender,
        send: Send,
        log: DecisionLog,
        metrics: Metrics,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._windows = Windows(settings.window_seconds, settings.late_seconds)
        self._true_time = TrueTime(wall_clock)
        self._fixed = FixedReports(store, log)
        self.counts = UsageCounts(self._windows, self._true_time)
        self.collector = UsageCollector(
            instance,
            cluster_state,
            holder,
            self.counts,
            self._windows,
            self._true_time,
            send,
            lambda: self._reporter.first_open_window(),
            log,
        )
        self._stored_counts = StoredCounts(
            store, holder, self.collector, self._windows, self._true_time, log
        )
        self._reporter = UsageReporter(
            holder,
            self.collector,
            self._fixed,
            sender,
            self._windows,
            self._true_time,
            cluster_state,
            self._stored_counts,
            log,
            metrics,
        )

    async def start(self) -> None:
        """Start to collect and report."""
        await self.collector.start()
        await self._stored_counts.start()
        await self._reporter.start()

    async def stop(self) -> None:
        """Stop reporting, and send the holder the final counts."""
        await self._reporter.stop()
        await self._stored_counts.stop()
        await self.collector.stop()

    def row(self) -> UsageRow:
        """Return the state of the reports for the operators' page."""
        sent = self._reporter.last_sent
        at = self._true_time.at()
        asked_since = at - self._windows.seconds
        return UsageRow(
            sent.window if sent is not None else None,
            sent.outcome.value if sent is not None else None,
            round(now() - sent.at, 1) if sent is not None else None,
            self._windows.at(at),
            self._reporter.first_open_window(),
            len(self._fixed.reports_by_window.keys() - self._fixed.accepted),
            len(self.collector.lacking(asked_since)) if self.collector.rounds else 0,
        )


class Duties(Component):
    """The duties that the settings name, on one instance.

    :param instance: id of this instance.
    :param calls: sends the calls to the platform.
    :param limits: returns the limits of the number of upstreams of a service; None if it cannot be
        ordered.
    :param send: sends a message to the instance at an address.
    :param wall_clock: returns this instance's wall-clock time in Unix seconds.
    :ivar count_orders: orders numbers of upstreams; None without that duty.
    """

    def __init__(
        self,
        instance: EntryId,
        settings: DutySection,
        calls: PlatformDuties,
        store: SharedStore,
        cluster_state: ClusterState,
        leadership: Leadership,
        limits: Callable[[ServiceId], ScalingLimits | None],
        send: Send,
        log: DecisionLog,
        metrics: Metrics,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        wait_seconds = settings.lease_seconds + settings.thaw_seconds
        self._holder = holder = DutyHolder(
            lambda: leadership.term,
            lambda: leadership.term_seconds_left,
            wait_seconds,
            log,
            metrics,
        )
        sender = DutySender(calls, holder, settings.calls_per_second, log, metrics)
        self._usage: UsageDuty | None = None
        if USAGE in settings.names:
            self._usage = UsageDuty(
                instance,
                settings,
                store,
                cluster_state,
                holder,
                sender,
                send,
                log,
                metrics,
                wall_clock,
            )
        self.count_orders: CountOrders | None = None
        if SCALE in settings.names:
            self.count_orders = CountOrders(holder, sender, limits, log)
        parts = (self._usage, self.count_orders)
        self._parts = [part for part in parts if part is not None]

    async def start(self) -> None:
        """Start the duties."""
        for part in self._parts:
            await part.start()

    async def stop(self) -> None:
        """Stop the duties."""
        for part in reversed(self._parts):
            await part.stop()

    def count_begun(self, customer: CustomerId) -> None:
        """Count a request of a customer that an upstream has begun now."""
        if self._usage is not None:
            self._usage.counts.note_begun(customer)

    def receive(self, message: UsageDatagram, host: str) -> None:
        """Process a message of another instance.

        :param host: IP address of the sender.
        """
        if self._usage is not None:
            self._usage.collector.receive(message, host)

    def page(self) -> tuple[int, bytes]:
        """Return the status and body of the page with the duties."""
        return 200, duties_page(
            self._holder_row(),
            self._usage.row() if self._usage is not None else None,
            count_rows(
                self.count_orders.wanted_by_subject, self.count_orders.sent_by_subject, now()
            )
            if self.count_orders is not None
            else (),
        )

    def _holder_row(self) -> HolderRow:
        fence = self._holder.term_fence
        if fence is None:
            return HolderRow("none", None, None)
        state = "holder" if self._holder.fence is not None else "waiting"
        return HolderRow(state, fence, round(self._holder.held_seconds, 1))
