"""Makes, extends and ends blocks on parts of prompts, here and at the other instances."""

import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet.prompt_parts._block_trials import BlockTrials
from cactuspass.fleet.prompt_parts._crash_evidence import Cause
from cactuspass.fleet.prompt_parts._holds import PartHolds
from cactuspass.fleet.prompt_parts._log import PartLog
from cactuspass.fleet.prompt_parts._messages import MAX_REQUEST_ID_CHARS
from cactuspass.fleet.prompt_parts._parts import (
    EVERYONE,
    AnswerStage,
    Block,
    BlockKey,
    CrashReport,
    PartKey,
)
from cactuspass.fleet.prompt_parts._reporter import PartReporter
from cactuspass.fleet.prompt_parts._staged_evidence import StagedEvidence
from cactuspass.models import CustomerId, EntryId

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

FIRST_BLOCK_SECONDS = 600.0
MAX_BLOCK_SECONDS = 86_400.0


class BlockChanges:
    """Puts changes of blocks in force, those of this instance and those of others.

    :param on_own_change: called with each change of a block that this instance has made.
    """

    def __init__(
        self,
        instance: EntryId,
        cluster_state: "ClusterState",
        evidence: StagedEvidence,
        holds: PartHolds,
        trials: BlockTrials,
        reporter: PartReporter,
        log: PartLog,
        metrics: Metrics,
        on_own_change: Callable[[Block], None],
    ) -> None:
        self._instance = instance
        self._cluster_state = cluster_state
        self._evidence = evidence
        self._holds = holds
        self._trials = trials
        self._reporter = reporter
        self._log = log
        self._metrics = metrics
        self._on_own_change = on_own_change

    def block(self, cause: Cause, report: CrashReport) -> None:
        """Block the parts that are to blame for a crash."""
        blocks = self._cluster_state.blocks
        first = cause.keys[0]
        key = BlockKey(first.service, first.model, tuple(key.part for key in cause.keys))
        known = blocks.get(key)
        # A customer can only have its own requests refused, whatever it sends together.
        customers: tuple[CustomerId, ...] = (report.customer,)
        stage = report.stage
        if known is not None and known.is_active:
            if known.stage is AnswerStage.WHOLE:
                stage = known.stage
            if _covers(known.customers, customers):
                if stage is known.stage:
                    return
                customers = known.customers
            else:
                customers = EVERYONE
        request = report.request[:MAX_REQUEST_ID_CHARS]
        self.apply(
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
                stage,
            )
        )

    def _seconds_until_trial(self, known: Block | None) -> float | None:
        """Return the seconds until a trial of a block that is made or extended now."""
        if known is None:
            return FIRST_BLOCK_SECONDS
        return None if known.is_held else known.seconds or FIRST_BLOCK_SECONDS

    def renew(self, key: BlockKey) -> None:
        """Refuse requests for longer after a trial has crashed another upstream."""
        block = self._cluster_state.blocks.get(key)
        if block is None or not block.is_active or block.is_held:
            return
        self.apply(
            replace(
                block,
                version=self._cluster_state.blocks.next_version(block.key),
                since=time.time(),
                seconds=min(MAX_BLOCK_SECONDS, 2 * (block.seconds or FIRST_BLOCK_SECONDS)),
                crashes=block.crashes + 1,
                reason="a trial has crashed an upstream",
            )
        )

    def end(self, block: Block, reason: str) -> None:
        """End a block on all instances."""
        version = self._cluster_state.blocks.next_version(block.key)
        self.apply(
            replace(block, version=version, is_active=False, since=time.time(), reason=reason)
        )

    def apply(self, block: Block) -> None:
        """Put a change that this instance has made in force here and at all instances."""
        if self.merge(block, self._instance):
            self._on_own_change(block)
            self._reporter.send_block(block)

    def merge(self, block: Block, source: str) -> bool:
        """Accept a state of a block, unless a later one is known; return whether it was new.

        A block that contradicts a recent answer is ended, unless an operator has set it.

        :param source: where it comes from, for the log.
        """
        before = self._cluster_state.blocks.get(block.key)
        if not self._cluster_state.accept_block(block):
            return False
        self._trials.note_block(block)
        self._holds.release(_part_keys(block))
        was_active = before is not None and before.is_active
        if block.is_active or was_active:
            event = "part-blocked" if block.is_active else "part-block-ended"
            self._metrics.prompt_parts.labels("blocked" if block.is_active else "ended").inc()
            self._log.note_block(event, block, source=source)
        if block.is_held or not block.is_active or source == self._instance:
            return True
        if self._is_contradicted(block):
            self.end(block, f"an answer has been {block.stage.value} recently at {self._instance}")
        return True

    def _is_contradicted(self, block: Block) -> bool:
        evidence = self._evidence.at_stage(block.stage)
        return not evidence.without_cleared(_part_keys(block), now())


def _part_keys(block: Block) -> tuple[PartKey, ...]:
    service, model = block.key.service, block.key.model
    return tuple(PartKey(service, model, part) for part in block.key.parts)


def _covers(known: tuple[CustomerId, ...], customers: tuple[CustomerId, ...]) -> bool:
    """Return whether a block for some customers refuses all of others; empty means everyone."""
    return not known or (bool(customers) and set(customers) <= set(known))
