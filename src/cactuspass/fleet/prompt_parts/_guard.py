"""Keeps requests away from upstreams whose prompts have a part that makes upstreams crash."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._block_changes import BlockChanges
from cactuspass.fleet.prompt_parts._block_trials import BlockTrials
from cactuspass.fleet.prompt_parts._head_timing import HeadTiming
from cactuspass.fleet.prompt_parts._holds import HOLD_SECONDS, PartHolds
from cactuspass.fleet.prompt_parts._log import PartLog
from cactuspass.fleet.prompt_parts._messages import (
    BreakMessage,
    ClearanceMessage,
    CrashMessage,
    PartMessage,
)
from cactuspass.fleet.prompt_parts._parts import (
    AnswerStage,
    Block,
    BrokenAttempt,
    CrashReport,
    PartKey,
    PromptIdentity,
)
from cactuspass.fleet.prompt_parts._reporter import CallLater, PartReporter, Send
from cactuspass.fleet.prompt_parts._silence_watch import SilenceWatch, SilentAttempt
from cactuspass.fleet.prompt_parts._staged_evidence import StagedEvidence
from cactuspass.fleet.prompt_parts._verdicts import SETTLE_SECONDS, IsGone, Verdicts
from cactuspass.models import EntryId, RequestId

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

VERDICT_MARGIN_SECONDS = 0.02
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
        is_gone: IsGone | None = None,
    ) -> None:
        self._instance = instance
        self._cluster_state = cluster_state
        self._metrics = metrics
        self._reporter = PartReporter(send, metrics, call_later)
        self._evidence = StagedEvidence()
        self._log = PartLog(log, self._evidence)
        self._head_timing = HeadTiming()
        self._trials = BlockTrials(instance, cluster_state)
        self.holds = PartHolds()
        self._changes = BlockChanges(
            instance,
            cluster_state,
            self._evidence,
            self.holds,
            self._trials,
            self._reporter,
            self._log,
            metrics,
            on_own_change,
        )
        self._silences = SilenceWatch(cluster_state, call_later, self._note_ended)
        self._verdicts = Verdicts(
            cluster_state, self._evidence, self._log, call_later, is_gone, self._changes.block
        )

    # Questions of the request path.

    def begin_trial(self, request_id: RequestId, prompt: PromptIdentity) -> Block | None:
        """Return the block that a new request may try again now; None if there is none."""
        block = self.find_block(prompt)
        if block is None or not self._trials.try_begin(block):
            return None
        self._log.note_block("part-tried", block, request=request_id)
        return block

    def find_block(self, prompt: PromptIdentity, has_begun: bool = False) -> Block | None:
        """Return the block that refuses a request; None if there is none.

        :param has_begun: whether an answer to the request has begun.
        """
        return self._cluster_state.blocks.find(prompt, has_begun)

    def is_known_harmless(self, prompt: PromptIdentity) -> bool:
        """Return whether answers have begun on all parts of a prompt, and none is accused."""
        return self._evidence.is_known_harmless(prompt.keys, now())

    def is_known_whole(self, prompt: PromptIdentity) -> bool:
        """Return whether answers on all parts of a prompt were whole recently."""
        at = now()
        return not self._evidence.at_stage(AnswerStage.WHOLE).without_cleared(prompt.keys, at)

    def verdict_remaining(self, prompt: PromptIdentity, has_begun: bool = False) -> float:
        """Return the seconds until it is decided whether a part of a prompt is blamed.

        :param has_begun: whether an answer to the request has begun.
        """
        at = now()
        stages = (AnswerStage.WHOLE,) if has_begun else tuple(AnswerStage)
        accused_at = (self._last_decisive_at(prompt, stage, at) for stage in stages)
        return max(0.0, max(accused_at) + SETTLE_SECONDS + VERDICT_MARGIN_SECONDS - at)

    def _last_decisive_at(self, prompt: PromptIdentity, stage: AnswerStage, at: float) -> float:
        """Return the clock value of the last accusation of a part that may be blamed for it."""
        evidence = self._evidence.at_stage(stage)
        accused = (key for key in prompt.keys if evidence.rounds(key, at) >= evidence.min_rounds)
        return max(map(evidence.accused_at, accused), default=float("-inf"))

    async def find_gone(self, lifetimes: set[Lifetime]) -> set[Lifetime]:
        """Return those of some upstreams that run no more, as far as that can be found out."""
        return await self._verdicts.find_gone(lifetimes)

    def have_others_broken(self, lifetimes: Iterable[Lifetime]) -> bool:
        """Return whether other upstreams than some have broken connections lately."""
        ids = (lifetime.upstream_id for lifetime in lifetimes)
        return self._evidence.have_others_broken(ids, now())

    def end_trial(self, block: Block) -> None:
        """Allow the next trial of a block."""
        self._trials.end(block)

    # Evidence of this instance.

    def note_begun(
        self, prompt: PromptIdentity, request_id: RequestId, head_seconds: float = 0.0
    ) -> None:
        """Record that an answer has begun.

        That clears all shared parts of the prompt of crashes before any part of an answer.

        :param head_seconds: time in seconds from the head to the first part of the body.
        """
        self._head_timing.note_answer(prompt, head_seconds)
        self._clear(prompt, request_id, AnswerStage.BEGUN)

    def note_whole(self, prompt: PromptIdentity, request_id: RequestId) -> None:
        """Record that one upstream has written a whole answer, which clears all shared parts."""
        self._clear(prompt, request_id, AnswerStage.WHOLE)

    def _clear(self, prompt: PromptIdentity, request_id: RequestId, stage: AnswerStage) -> None:
        if not prompt.parts:
            return
        at = now()
        accused = self._evidence.at_stage(stage).clear(prompt.keys, at)
        if accused:
            self.holds.release(accused)
            self._log.note_parts("part-cleared", accused, request=request_id, by=stage.value)
            self._reporter.tell_clearances(stage, dict.fromkeys(accused, at))
        for block in self._cluster_state.blocks.contradicted_by(prompt, stage):
            if not block.is_held:
                self.end_block(block, f"an answer to {request_id} has been {stage.value}")

    def note_own_break(self, upstream_id: UpstreamId) -> None:
        """Record that an upstream has closed a connection on which an answer was expected.

        The other instances are told after a random time, unless one of them has told it before.
        """
        if self._evidence.breaks.note(upstream_id, now()):
            self._reporter.tell_break_later(upstream_id)

    def note_crash(
        self,
        request_id: RequestId,
        prompt: PromptIdentity,
        tried_block: Block | None,
        attempt: BrokenAttempt,
    ) -> None:
        """Accuse the parts of a request whose upstream closed the connection.

        :param tried_block: the block that the request has tried again; None if there is none.
        """
        if tried_block is not None:
            self._changes.renew(tried_block.key)
        if prompt.parts:
            self._note_evidence(request_id, prompt, attempt, now())

    def note_silence(
        self,
        request_id: RequestId,
        prompt: PromptIdentity,
        attempt: BrokenAttempt,
        silent_since: float,
    ) -> None:
        """Accuse the parts of a request whose upstream is silent, once it is known to have ended.

        :param silent_since: clock value at which the upstream was last heard.
        """
        if prompt.parts:
            self._silences.watch(SilentAttempt(request_id, prompt, attempt, silent_since))

    def _note_ended(self, silent: SilentAttempt) -> None:
        """Accuse the parts of a request whose silent upstream has ended."""
        self.note_own_break(silent.attempt.lifetime.upstream_id)
        self._note_evidence(silent.request_id, silent.prompt, silent.attempt, silent.silent_since)

    def _note_evidence(
        self,
        request_id: RequestId,
        prompt: PromptIdentity,
        attempt: BrokenAttempt,
        broke_at: float,
    ) -> None:
        """Accuse the parts that no answer has cleared, and tell the other instances.

        :param broke_at: clock value at which the upstream ended.
        """
        at = now()
        stage = AnswerStage.WHOLE if attempt.has_begun else AnswerStage.BEGUN
        suspects = self._evidence.at_stage(stage).without_cleared(prompt.keys, broke_at)
        if not suspects:
            self._log_no_suspect(request_id, prompt, attempt, stage)
            return
        keys = self._choose_accused(suspects, stage, at)
        report = CrashReport(
            keys,
            prompt.customer,
            attempt.lifetime,
            attempt.sent_at,
            broke_at,
            attempt.has_begun or (attempt.has_head and self._head_timing.comes_with_body(prompt)),
            self._instance,
            request_id,
            is_complete=len(keys) == len(suspects),
            stage=stage,
        )
        self._accuse(report)
        self._reporter.send_report(report, at)
        self._verdicts.decide_later(report)

    def _log_no_suspect(
        self,
        request_id: RequestId,
        prompt: PromptIdentity,
        attempt: BrokenAttempt,
        stage: AnswerStage,
    ) -> None:
        """Log why a crash accuses no part of the request that was there."""
        self._log.note_parts(
            "no-part-suspected",
            prompt.keys,
            customer=prompt.customer,
            upstream=attempt.lifetime.upstream_id,
            request=request_id,
            reason=f"answers-{stage.value}-on-all-parts",
        )

    def _choose_accused(
        self, keys: tuple[PartKey, ...], stage: AnswerStage, at: float
    ) -> tuple[PartKey, ...]:
        """Return the parts to accuse, those first that were accused most.

        If there are more than MAX_ACCUSED_PER_PROMPT, those accused equally often are drawn by lot.
        """
        evidence = self._evidence.at_stage(stage)
        shuffled = random.sample(keys, len(keys))
        shuffled.sort(key=lambda key: evidence.rounds(key, at), reverse=True)
        return tuple(shuffled[:MAX_ACCUSED_PER_PROMPT])

    def _accuse(self, report: CrashReport) -> None:
        new = self._evidence.accuse(report)
        self._hold(report)
        if new:
            self._metrics.prompt_parts.labels("suspected").inc(len(new))
            self._log.note_parts(
                "part-suspected",
                new,
                customer=report.customer,
                upstream=report.lifetime.upstream_id,
                by=report.instance,
                request=report.request,
                until=report.stage.value,
            )

    def _hold(self, report: CrashReport) -> None:
        """Let one request at a time try the accused parts.

        A crash behind the beginning of an answer says little about each request that was there, so
        others wait only for parts that the next crash could be blamed on. Nobody waits for a
        request whose upstream ended long ago.
        """
        at = now()
        if at - report.broke_at > HOLD_SECONDS:
            return
        if report.stage is AnswerStage.WHOLE:
            evidence = self._evidence.at_stage(report.stage)
            report = replace(report, keys=evidence.find_doubtful(report.keys, at))
        self.holds.hold(report, at)

    def end_block(self, block: Block, reason: str) -> None:
        """End a block on all instances."""
        self._changes.end(block, reason)

    # Evidence and blocks of other instances.

    def receive(self, message: PartMessage) -> None:
        """Apply a message of another instance."""
        if isinstance(message, CrashMessage):
            self._receive_crash(message)
        elif isinstance(message, BreakMessage):
            self._evidence.breaks.note(message.upstream_id, now())
            self._reporter.forget_break(message.upstream_id)
        elif isinstance(message, ClearanceMessage):
            self._receive_clearances(message)
        else:
            self.merge(message.block, "message")

    def _receive_crash(self, message: CrashMessage) -> None:
        at = now()
        report = message.to_report(at)
        self._evidence.breaks.note(report.lifetime.upstream_id, at)
        self._reporter.forget_break(report.lifetime.upstream_id)
        evidence = self._evidence.at_stage(report.stage)
        keys = evidence.without_cleared(report.keys, at)
        cleared = (key for key in report.keys if key not in keys)
        cleared_at_by_part = {key: evidence.cleared_at(key) for key in cleared}
        self._reporter.tell_clearances_later(report.stage, cleared_at_by_part)
        if keys:
            self._accuse(replace(report, keys=keys))

    def _receive_clearances(self, message: ClearanceMessage) -> None:
        at = now()
        evidence = self._evidence.at_stage(message.stage)
        self._reporter.forget_clearances(message.stage, (each.key for each in message.clearances))
        for each in message.clearances:
            cleared_at = at - max(0.0, each.seconds_ago)
            self.holds.release(evidence.clear([each.key], cleared_at))

    def merge(self, block: Block, source: str) -> bool:
        """Accept a state of a block, unless a later one is known; return whether it was new.

        :param source: where it comes from, for the log.
        """
        return self._changes.merge(block, source)
