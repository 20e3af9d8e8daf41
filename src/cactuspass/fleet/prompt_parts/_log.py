"""Decision lines on parts of prompts and on the blocks of these."""

import time
from collections.abc import Iterable

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet.prompt_parts._parts import Block, PartKey
from cactuspass.fleet.prompt_parts._staged_evidence import StagedEvidence


class PartLog:
    """Writes what is decided on parts, with the evidence for it."""

    def __init__(self, log: DecisionLog, evidence: StagedEvidence) -> None:
        self._log = log
        self._evidence = evidence

    def note_parts(self, event: str, keys: Iterable[PartKey], **fields: object) -> None:
        """Log a step of the evidence on some parts of one model."""
        keys = tuple(keys)
        self._log.state_change(
            event,
            parts=",".join(key.part for key in keys),
            service=keys[0].service,
            model=keys[0].model or None,
            crashes=max(self._evidence.rounds(key, now()) for key in keys),
            **fields,
        )

    def note_block(self, event: str, block: Block, **fields: object) -> None:
        """Log a change or a trial of a block."""
        self._log.state_change(
            event,
            parts=",".join(block.key.parts),
            service=block.key.service,
            model=block.key.model or None,
            customers=",".join(block.customer_names) or "all",
            crashes=block.crashes,
            reason=block.reason,
            age=max(0.0, time.time() - block.since),
            reported_by=",".join(block.instances) or None,
            version=block.version,
            **fields,
        )
