"""Keeps requests away from upstreams whose prompts have a part that makes upstreams crash."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._block_trials import BlockTrials
from cactuspass.fleet.prompt_parts._crash_evidence import MIN_ROUNDS, Cause, CrashEvidence, Doubt
from cactuspass.fleet.prompt_parts._head_timing import HeadTiming
from cactuspass.fleet.prompt_parts._holds import PartHolds
from cactuspass.fleet.prompt_parts._log import PartLog
from cactuspass.fleet.prompt_parts._messages import (
    MAX_REQUEST_ID_CHARS,
    BreakMessage,
    ClearanceMessage,
    CrashMessage,
    PartMessage,
)
from cactuspass.fleet.prompt_parts._parts import (
    EVERYONE,
    Block,
    BlockKey,
    BrokenAttempt,
    CrashReport,
    PartKey,
    PromptIdentity,
)
from cactuspass.fleet.prompt_parts._reporter import CallLater, PartReporter, Send
from cactuspass.models import CustomerId, EntryId, RequestId

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

# Time for the reports and clearances of other instances to arrive before a part is blamed.
SETTLE_SECONDS = 0.15
# Longest time to wait for the reports of further crashes.
MAX_SETTLE_SECONDS = 0.5
FIRST_BLOCK_SECONDS = 600.0
MAX_BLOCK_SECONDS = 86_400.0
VERDICT_MARGIN_SECONDS = 0.02
RECHECK_SECONDS = 2.5  # after that, the registry has the new run of an upstream
MAX_ACCUSED_PER_PROMPT = 256


def _call_later(seconds: float, call: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(seconds, call)


class PartGuard:
    """Blames parts of prompts for crashes, and knows which are blocked.

    :param send: sends a message to all other instances.
    :param on_own_change: called with each change of a block that this instance has made.
    :param call_later: calls a function after a time in seconds.
    :param is_gone: returns whether an upstream accepts no connections any more; None if that
        cannot be found out, so that reports are believed.
    """

    def __init__(
        self,
        instance: EntryId,
        cluster_state: "ClusterState",
        log: DecisionLog,
        metrics: Metrics,
        send: Send,
        on_own_change: Callable[[Block], None],
        call_later: CallLater = _call_later,
        is_gone: Callable[[Lifetime], Awaitable[bool]] | None = None,
    ) -> None:
        self._is_gone = is_gone
        self._tasks: set[asyncio.Future[None]] = set()
        self._instance = instance
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._reporter = PartReporter(send, metrics, call_later)
        self._on_own_change = on_own_change
        self._call_later = call_later
        self._evidence = CrashEvidence()
        self._log = PartLog(log, self._evidence)
        self._head_timing = HeadTiming()
        self._trials = BlockTrials(instance, cluster_state)
        self.holds = PartHolds()

    # Questions of the request path.

    def begin_trial(self, request_id: RequestId, prompt: PromptIdentity) -> Block | None:
        """Return the block that a new request may try again now; None if there is none."""
        block = self.find_block(prompt)
        if block is None or not self._trials.try_begin(block):
            return None
        self._log.note_block("part-tried", block, request=request_id)
        return block

    def find_block(self, prompt: PromptIdentity) -> Block | None:
        """Return the block that refuses a request; None if there is none."""
        return self._cluster_state.blocks.find(prompt)

    def is_known_harmless(self, prompt: PromptIdentity) -> bool:
        """Return whether answers have begun on all parts of a prompt, and none is accused."""
        return self._evidence.is_known_harmless(prompt.keys, now())

    def verdict_remaining(self, prompt: PromptIdentity) -> float:
        """Return the seconds until it is decided whether a part of a prompt is blamed."""
        at = now()
        accused = (key for key in prompt.keys if self._evidence.rounds(key, at) >= MIN_ROUNDS)
        last = max(map(self._evidence.accused_at, accused), default=float("-inf"))
        return max(0.0, last + SETTLE_SECONDS + VERDICT_MARGIN_SECONDS - at)

    def end_trial(self, block: Block) -> None:
        """Allow the next trial of a block."""
        self._trials.end(block)

    # Evidence of this instance.

    def note_begun(
        self, prompt: PromptIdentity, request_id: RequestId, head_seconds: float = 0.0
    ) -> None:
        """Record that an answer has begun, which clears all shared parts of the prompt.

        :param head_seconds: time in seconds from the head to the first part of the body.
        """
        self._head_timing.note_answer(prompt, head_seconds)
        if not prompt.parts:
            return
        at = now()
        accused = self._evidence.clear(prompt.keys, at)
        if accused:
            self.holds.release(accused)
            self._log.note_parts("part-cleared", accused, request=request_id)
            self._reporter.tell_clearances(dict.fromkeys(accused, at))
        for block in self._cluster_state.blocks.contradicted_by(prompt):
            if not block.is_held:
                self.end_block(block, f"an answer to {request_id} has begun")

    def note_own_break(self, upstream_id: UpstreamId) -> None:
        """Record that an upstream has closed a connection on which an answer was expected.

        The other instances are told after a random time, unless one of them has told it before.
        """
        if self._evidence.note_break(upstream_id, now()):
            self._reporter.tell_break_later(upstream_id)

    def note_crash(
        self,
        request_id: RequestId,
        prompt: PromptIdentity,
        tried_block: Block | None,
        attempt: BrokenAttempt,
    ) -> None:
        """Accuse the parts of a request whose upstream closed the connection before an answer.

        :param tried_block: the block that the request has tried again; None if there is none.
        """
        at = now()
        if tried_block is not None:
            self._renew_block(tried_block.key)
        if not prompt.parts:
            return
        suspects = self._evidence.without_cleared(prompt.keys, at)
        if attempt.has_begun or not suspects:
            self._log_no_suspect(request_id, prompt, attempt)
            return
        keys = self._choose_accused(suspects, at)
        report = CrashReport(
            keys,
            prompt.customer,
            attempt.lifetime,
            attempt.sent_at,
            at,
            attempt.has_head and self._head_timing.comes_with_body(prompt),
            self._instance,
            request_id,
            is_complete=len(keys) == len(suspects),
        )
        self._accuse(report)
        self._reporter.send_report(report, at)
        self._call_later(SETTLE_SECONDS, lambda: self._decide(report))

    def _log_no_suspect(
        self, request_id: RequestId, prompt: PromptIdentity, attempt: BrokenAttempt
    ) -> None:
        """Log why a crash accuses no part of the request that was there."""
        reason = "answer-had-begun" if attempt.has_begun else "answers-on-all-parts"
        self._log.note_parts(
            "no-part-suspected",
            prompt.keys,
            customer=prompt.customer,
            upstream=attempt.lifetime.upstream_id,
            request=request_id,
            reason=reason,
        )

    def _choose_accused(self, keys: tuple[PartKey, ...], at: float) -> tuple[PartKey, ...]:
        """Return the parts to accuse, those first that were accused most.

        If there are more than MAX_ACCUSED_PER_PROMPT, those accused equally often are drawn by lot.
        """
        shuffled = random.sample(keys, len(keys))
        shuffled.sort(key=lambda key: self._evidence.rounds(key, at), reverse=True)
        return tuple(shuffled[:MAX_ACCUSED_PER_PROMPT])

    def _accuse(self, report: CrashReport) -> None:
        new = self._evidence.accuse(report)
        self.holds.hold(report, now())
        if new:
            self._metrics.prompt_parts.labels("suspected").inc(len(new))
            self._log.note_parts(
                "part-suspected",
                new,
                customer=report.customer,
                upstream=report.lifetime.upstream_id,
                by=report.instance,
                request=report.request,
            )

    def _decide(self, report: CrashReport, is_confirmed: bool = False) -> None:
        """Block the parts of a crashed request if they are to blame.

        The upstream may only have closed a connection, or spoilt an answer, and go on.

        :param is_confirmed: whether the upstream was found to be gone.
        """
        at = now()
        unsettled = max(map(self._evidence.accused_at, report.keys)) + SETTLE_SECONDS - at
        if unsettled > 0 and at - report.broke_at < MAX_SETTLE_SECONDS and not is_confirmed:
            self._call_later(unsettled, lambda: self._decide(report))
            return
        blocks = self._cluster_state.blocks
        is_repeated = any(map(blocks.is_blocked_elsewhere, report.keys))
        cause = self._evidence.find_cause(report, at, 1 if is_repeated else MIN_ROUNDS)
        needs_check = self._is_gone is not None and not is_confirmed
        if isinstance(cause, Cause) and needs_check:
            self._confirm(report, is_last=False)
        elif isinstance(cause, Cause):
            self._block(cause, report)
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

    def _block(self, cause: Cause, report: CrashReport) -> None:
        blocks = self._cluster_state.blocks
        first = cause.keys[0]
        key = BlockKey(first.service, first.model, tuple(key.part for key in cause.keys))
        known = blocks.get(key)
        # A customer can only have its own requests refused, whatever it sends together.
        customers: tuple[CustomerId, ...] = (report.customer,)
        request = report.request[:MAX_REQUEST_ID_CHARS]
        if known is not None and known.is_active:
            if _covers(known.customers, customers):
                return
            customers = EVERYONE
        self._change(
            Block(
                key,
                blocks.next_version(key),
                customers,
                True,
                time.time(),
                self._seconds_until_trial(known),
                cause.crashes,
                cause.instances,
                f"crashed {cause.crashes} upstreams, the last with {request}",
            )
        )

    def _seconds_until_trial(self, known: Block | None) -> float | None:
        """Return the seconds until a trial of a block that is made or extended now."""
        if known is None:
            return FIRST_BLOCK_SECONDS
        return None if known.is_held else known.seconds or FIRST_BLOCK_SECONDS

    def _renew_block(self, key: BlockKey) -> None:
        """Refuse requests for longer after a trial has crashed another upstream."""
        block = self._cluster_state.blocks.get(key)
        if block is None or not block.is_active or block.is_held:
            return
        self._change(
            replace(
                block,
                version=self._cluster_state.blocks.next_version(block.key),
                since=time.time(),
                seconds=min(MAX_BLOCK_SECONDS, 2 * (block.seconds or FIRST_BLOCK_SECONDS)),
                crashes=block.crashes + 1,
                reason="a trial has crashed an upstream",
            )
        )

    def end_block(self, block: Block, reason: str) -> None:
        """End a block on all instances."""
        version = self._cluster_state.blocks.next_version(block.key)
        self._change(
            replace(block, version=version, is_active=False, since=time.time(), reason=reason)
        )

    def _change(self, block: Block) -> None:
        """Put a change that this instance has made in force here and at all instances."""
        if self.merge(block, self._instance):
            self._on_own_change(block)
            self._reporter.send_block(block)

    # Evidence and blocks of other instances.

    def receive(self, message: PartMessage) -> None:
        """Apply a message of another instance."""
        if isinstance(message, CrashMessage):
            self._receive_crash(message)
        elif isinstance(message, BreakMessage):
            self._evidence.note_break(message.upstream_id, now())
            self._reporter.forget_break(message.upstream_id)
        elif isinstance(message, ClearanceMessage):
            self._receive_clearances(message)
        else:
            self.merge(message.block, "message")

    def _receive_crash(self, message: CrashMessage) -> None:
        at = now()
        report = message.to_report(at)
        self._evidence.note_break(report.lifetime.upstream_id, at)
        self._reporter.forget_break(report.lifetime.upstream_id)
        keys = self._evidence.without_cleared(report.keys, at)
        cleared = (key for key in report.keys if key not in keys)
        begun_at_by_part = {key: self._evidence.cleared_at(key) for key in cleared}
        self._reporter.tell_clearances_later(begun_at_by_part)
        if keys:
            self._accuse(replace(report, keys=keys))

    def _receive_clearances(self, message: ClearanceMessage) -> None:
        at = now()
        self._reporter.forget_clearances(each.key for each in message.clearances)
        for each in message.clearances:
            begun_at = at - max(0.0, each.begun_ago)
            self.holds.release(self._evidence.clear([each.key], begun_at))

    def merge(self, block: Block, source: str) -> bool:
        """Accept a state of a block, unless a later one is known; return whether it was new.

        A block that contradicts an answer that has begun here recently is ended, unless an operator
        has set it.

        :param source: where it comes from, for the log.
        """
        before = self._cluster_state.blocks.get(block.key)
        if not self._cluster_state.accept_block(block):
            return False
        self._trials.note_block(block)
        service, model = block.key.service, block.key.model
        self.holds.release(PartKey(service, model, part) for part in block.key.parts)
        was_active = before is not None and before.is_active
        if block.is_active or was_active:
            event = "part-blocked" if block.is_active else "part-block-ended"
            self._metrics.prompt_parts.labels("blocked" if block.is_active else "ended").inc()
            self._log.note_block(event, block, source=source)
        if block.is_held or not block.is_active or source == self._instance:
            return True
        if self._is_contradicted(block):
            self.end_block(block, f"an answer has begun recently at {self._instance}")
        return True

    def _is_contradicted(self, block: Block) -> bool:
        service, model = block.key.service, block.key.model
        keys = [PartKey(service, model, part) for part in block.key.parts]
        return not self._evidence.without_cleared(keys, now())


def _covers(known: tuple[CustomerId, ...], customers: tuple[CustomerId, ...]) -> bool:
    """Return whether a block for some customers refuses all of others; empty means everyone."""
    return not known or (bool(customers) and set(customers) <= set(known))
