"""Decides on crash reports, once the reports and clearances of others have arrived."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.fleet.prompt_parts._crash_evidence import Cause, Doubt
from cactuspass.fleet.prompt_parts._log import PartLog
from cactuspass.fleet.prompt_parts._parts import CrashReport
from cactuspass.fleet.prompt_parts._reporter import CallLater
from cactuspass.fleet.prompt_parts._staged_evidence import StagedEvidence

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

# Time for the reports and clearances of other instances to arrive before a part is blamed.
SETTLE_SECONDS = 0.15
# Longest time to wait for the reports of further crashes.
MAX_SETTLE_SECONDS = 0.5
RECHECK_SECONDS = 2.5  # after that, the registry has the new run of an upstream

IsGone = Callable[[Lifetime], Awaitable[bool]]


class Verdicts:
    """Blames parts of crashed requests whose upstreams are gone.

    :param is_gone: returns whether an upstream accepts no connections any more; None if that
        cannot be found out, so that reports are believed.
    :param on_blamed: called with each cause that was found and the report that showed it.
    """

    def __init__(
        self,
        cluster_state: "ClusterState",
        evidence: StagedEvidence,
        log: PartLog,
        call_later: CallLater,
        is_gone: IsGone | None,
        on_blamed: Callable[[Cause, CrashReport], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._evidence = evidence
        self._log = log
        self._call_later = call_later
        self._is_gone = is_gone
        self._on_blamed = on_blamed
        self._tasks: set[asyncio.Future[None]] = set()

    def decide_later(self, report: CrashReport) -> None:
        """Decide on a report of this instance."""
        self._call_later(SETTLE_SECONDS, lambda: self._decide(report))

    def _decide(self, report: CrashReport, is_confirmed: bool = False) -> None:
        """Blame the parts of a crashed request if they are the cause.

        The upstream may only have closed a connection, or spoilt an answer, and go on.

        :param is_confirmed: whether the upstream was found to be gone.
        """
        at = now()
        evidence = self._evidence.at_stage(report.stage)
        unsettled = max(map(evidence.accused_at, report.keys)) + SETTLE_SECONDS - at
        if unsettled > 0 and at - report.broke_at < MAX_SETTLE_SECONDS and not is_confirmed:
            self._call_later(unsettled, lambda: self._decide(report))
            return
        blocks = self._cluster_state.blocks
        is_known_elsewhere = any(map(blocks.is_blocked_elsewhere, report.keys))
        cause = evidence.find_cause(report, at, is_known_elsewhere)
        needs_check = self._is_gone is not None and not is_confirmed
        if isinstance(cause, Cause) and needs_check:
            self._confirm(report, is_last=False)
        elif isinstance(cause, Cause):
            self._on_blamed(cause, report)
        elif cause is not Doubt.TOO_FEW_CRASHES:
            self._log.note_parts("part-not-blamed", report.keys, reason=cause.value)

    def _confirm(self, report: CrashReport, is_last: bool) -> None:
        task = asyncio.ensure_future(self._decide_if_gone(report, is_last))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _decide_if_gone(self, report: CrashReport, is_last: bool) -> None:
        """Decide if the upstream is gone; if not, look again once its restart would be known.

        :param is_last: whether the report is withdrawn if the upstream still runs.
        """
        assert self._is_gone is not None
        if await self._is_gone(report.lifetime):
            self._decide(report, is_confirmed=True)
        elif is_last:
            self._evidence.withdraw(report.lifetime)
        else:
            self._log.note_parts("part-not-blamed", report.keys, reason=Doubt.STILL_RUNNING.value)
            self._call_later(RECHECK_SECONDS, lambda: self._confirm(report, is_last=True))

    async def find_gone(self, lifetimes: set[Lifetime]) -> set[Lifetime]:
        """Return those of some upstreams that run no more, as far as that can be found out."""
        if self._is_gone is None:
            return lifetimes
        ordered = tuple(lifetimes)
        gone = await asyncio.gather(*map(self._is_gone, ordered))
        return {lifetime for lifetime, is_gone in zip(ordered, gone, strict=True) if is_gone}
