"""Orders the number of upstreams that another component wants, one subject at a time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass.fleet._catalog import ScalingLimits
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet.duties._calls import CallOutcome, UpstreamCountOrder
from cactuspass.fleet.duties._holder import DutyHolder
from cactuspass.fleet.duties._retry_times import RetryTimes
from cactuspass.fleet.duties._sender import DutySender
from cactuspass.models import DataCentreId, ServiceId

STEP_SECONDS = 0.25
MAX_INVALID = 256

Subject = tuple[ServiceId, DataCentreId]


@dataclass(frozen=True, slots=True)
class WantedCount:
    """A number of upstreams, and why it is wanted.

    :param fence: number of the term in which it was wanted; it is not ordered in another one.
    """

    count: int
    reason: str
    fence: int


@dataclass(frozen=True, slots=True)
class SentOrder:
    """The last order for a subject.

    :param at: clock value at which the call ended.
    """

    wanted: WantedCount
    outcome: CallOutcome
    at: float


class CountOrders(RepeatingComponent):
    """Orders each wanted number until the platform has accepted it in the current term.

    The next call begins when the previous one has ended, so calls for a subject are never out of
    order. A number whose order has an unknown outcome is ordered again, unless another one is
    wanted by then. A new holder orders each number once, also if it is already in force.

    :param limits: returns the limits of a service; None if its number cannot be ordered.
    :ivar wanted_by_subject: the numbers wanted in the current term.
    :ivar sent_by_subject: the last order of this instance for each subject.
    """

    def __init__(
        self,
        holder: DutyHolder,
        sender: DutySender,
        limits: Callable[[ServiceId], ScalingLimits | None],
        log: DecisionLog,
    ) -> None:
        super().__init__(log)
        self._holder = holder
        self._sender = sender
        self._limits = limits
        self._retry_times: RetryTimes[Subject] = RetryTimes()
        self._invalid: set[tuple[Subject, int]] = set()
        self.wanted_by_subject: dict[Subject, WantedCount] = {}
        self.sent_by_subject: dict[Subject, SentOrder] = {}

    def want(self, service: ServiceId, data_centre: DataCentreId, count: int, reason: str) -> None:
        """Set the number of upstreams of a service in a data centre; it is ordered soon.

        It has no effect while this instance does not lead, and ends with the term, so it must be
        set in each term. A number that is not allowed leaves the last one in force.
        """
        fence = self._holder.term_fence
        subject = (service, data_centre)
        if fence is None or not self._check(subject, count):
            return
        known = self.wanted_by_subject.get(subject)
        if known is not None and (known.count, known.fence) == (count, fence):
            return
        self._retry_times.forget_refusal(subject)
        self.wanted_by_subject[subject] = WantedCount(count, reason, fence)
        self._log.state_change(
            "upstreams-wanted",
            service=service,
            data_centre=data_centre,
            count=count,
            before=known.count if known is not None else None,
            reason=reason,
        )

    def accepted_count(self, service: ServiceId, data_centre: DataCentreId) -> int | None:
        """Return the number that the platform has accepted last in this term, or None.

        There is none while the last order has another outcome.
        """
        sent = self.sent_by_subject.get((service, data_centre))
        if sent is None or sent.outcome is not CallOutcome.ACCEPTED:
            return None
        return sent.wanted.count if sent.wanted.fence == self._holder.term_fence else None

    async def step(self) -> None:
        """Send one order for each subject that needs one."""
        fence = self._holder.fence
        if fence is not None:
            for subject in sorted(self.wanted_by_subject):
                await self._send(subject, fence)
        await asyncio.sleep(STEP_SECONDS)

    async def _send(self, subject: Subject, fence: int) -> None:
        wanted = self.wanted_by_subject[subject]
        if wanted.fence != fence:
            if wanted.fence != self._holder.term_fence:
                del self.wanted_by_subject[subject]
            return
        sent = self.sent_by_subject.get(subject)
        if (
            sent is not None
            and sent.outcome is CallOutcome.ACCEPTED
            and (sent.wanted.count, sent.wanted.fence) == (wanted.count, fence)
        ):
            return
        if not self._retry_times.is_due(subject, now()):
            return
        order = UpstreamCountOrder(*subject, wanted.count)
        outcome = await self._sender.order_upstream_count(order, fence)
        at = now()
        self._retry_times.record(subject, outcome, at)
        if outcome is CallOutcome.NOT_SENT:
            return
        self.sent_by_subject[subject] = SentOrder(wanted, outcome, at)
        self._log.order(
            "upstreams-ordered",
            service=order.service,
            data_centre=order.data_centre,
            count=order.count,
            fence=fence,
            outcome=outcome.value,
            reason=wanted.reason,
        )

    def _check(self, subject: Subject, count: int) -> bool:
        """Return whether a number may be ordered; log once why it may not."""
        limits = self._limits(subject[0])
        if limits is not None and limits.min_count <= count <= limits.max_count:
            return True
        if (subject, count) not in self._invalid:
            if len(self._invalid) >= MAX_INVALID:
                self._invalid.clear()
            self._invalid.add((subject, count))
            self._log.alarm(
                "upstreams-not-wanted",
                service=subject[0],
                data_centre=subject[1],
                count=count,
                min_count=limits.min_count if limits is not None else None,
                max_count=limits.max_count if limits is not None else None,
                reason="the number of upstreams of this service cannot be ordered"
                if limits is None
                else "it is outside the limits of the service",
            )
        return False
