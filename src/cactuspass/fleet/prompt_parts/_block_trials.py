"""Decides when this instance may let a request try blocked parts of prompts again."""

import time
from typing import TYPE_CHECKING

from cactuspass._clock import now
from cactuspass.fleet._peers import choose_senders
from cactuspass.fleet.prompt_parts._block_table import MAX_BLOCKS
from cactuspass.fleet.prompt_parts._parts import Block, BlockKey
from cactuspass.models import EntryId

if TYPE_CHECKING:
    from cactuspass.fleet._cluster_state import ClusterState

TURN_SECONDS = 30.0  # for which one instance may try a block again, before another may


class BlockTrials:
    """The times from which blocks may be tried again, and the trials that are under way.

    A trial may cost an upstream, so one instance at a time may begin one, with one request.
    """

    def __init__(self, instance: EntryId, cluster_state: "ClusterState") -> None:
        self._instance = instance
        self._cluster_state = cluster_state
        self._due_at_by_key: dict[BlockKey, float] = {}
        self._running: set[BlockKey] = set()

    def note_block(self, block: Block) -> None:
        """Note the state of a block that has just become known.

        The Unix time is read only now: a later step of it makes no block due. A block that began in
        the future was made by an instance whose clock was wrong, and counts as new.
        """
        self._due_at_by_key.pop(block.key, None)
        if not block.is_active or block.seconds is None:
            return
        age = max(0.0, time.time() - block.since)
        self._due_at_by_key[block.key] = now() + block.seconds - age
        if len(self._due_at_by_key) > MAX_BLOCKS:
            self._forget_unknown()

    def try_begin(self, block: Block) -> bool:
        """Begin a trial of a block unless it is not due, or not at this instance."""
        if block.key in self._running or not self._is_due_here(block.key):
            return False
        self._running.add(block.key)
        return True

    def end(self, block: Block) -> None:
        """Allow the next trial of a block."""
        self._running.discard(block.key)

    def _is_due_here(self, key: BlockKey) -> bool:
        overdue = now() - self._due_at_by_key.get(key, float("inf"))
        if overdue < 0:
            return False
        # The turn goes round, since the first instance may get no such requests.
        turn = int(overdue / TURN_SECONDS)
        return self._instance in choose_senders(self._cluster_state.peers, f"{key}/{turn}", 1)

    def _forget_unknown(self) -> None:
        blocks = self._cluster_state.blocks
        self._due_at_by_key = {
            key: due_at
            for key, due_at in self._due_at_by_key.items()
            if blocks.get(key) is not None
        }
