"""The blocks that this instance knows, merged from all instances and from the store."""

from cactuspass.fleet.prompt_parts._parts import (
    AnswerStage,
    Block,
    BlockKey,
    PartKey,
    PromptIdentity,
)

MAX_BLOCKS = 256  # ended ones included


class BlockTable:
    """The latest known state of each block.

    Instances that have received the same states in any order hold the same table. When it is full,
    the block that was changed longest ago is forgotten, ended ones first and held ones last.
    """

    def __init__(self) -> None:
        self._blocks_by_key: dict[BlockKey, Block] = {}
        self._blocks_by_part: dict[PartKey, tuple[Block, ...]] = {}
        self.snapshot: tuple[Block, ...] = ()

    def merge(self, block: Block) -> bool:
        """Add a state of a block unless a later one is known; return whether it was added."""
        if not block.key.parts or not block.supersedes(self._blocks_by_key.get(block.key)):
            return False
        blocks_by_key = {**self._blocks_by_key, block.key: block}
        if len(blocks_by_key) > MAX_BLOCKS:
            oldest = min(blocks_by_key.values(), key=_keeping_order)
            if oldest is block:
                return False
            del blocks_by_key[oldest.key]
        self._blocks_by_key = blocks_by_key
        self._index()
        return True

    def get(self, key: BlockKey) -> Block | None:
        """Return the latest known state of a block."""
        return self._blocks_by_key.get(key)

    def next_version(self, key: BlockKey) -> int:
        """Return the version for a change of a block that is made now."""
        known = self._blocks_by_key.get(key)
        return known.version + 1 if known is not None else 1

    def find(self, prompt: PromptIdentity, has_begun: bool = False) -> Block | None:
        """Return the block that refuses a request, the longest if several do; None if none does.

        :param has_begun: whether an answer to the request has begun.
        """
        if not self._blocks_by_part or not prompt.parts:
            return None
        found = (
            block
            for key in prompt.keys
            for block in self._blocks_by_part.get(key, ())
            if block.matches(prompt, has_begun)
        )
        return max(found, key=lambda block: block.trial_order, default=None)

    def contradicted_by(self, prompt: PromptIdentity, stage: AnswerStage) -> list[Block]:
        """Return the active blocks that an answer on a prompt ends, whoever its customer is.

        :param stage: how far the answer has come.
        """
        return [
            block
            for key in prompt.keys
            for block in self._blocks_by_part.get(key, ())
            if set(block.key.parts) <= set(prompt.parts)
            and stage in (block.stage, AnswerStage.WHOLE)
        ]

    def is_blocked_elsewhere(self, key: PartKey) -> bool:
        """Return whether a part is blocked for another model of the same service."""
        return any(
            block.is_active
            and block.key.parts == (key.part,)
            and block.key.service == key.service
            and block.key.model != key.model
            for block in self.snapshot
        )

    @property
    def active(self) -> list[Block]:
        """The blocks that refuse requests."""
        return [block for block in self.snapshot if block.is_active]

    def _index(self) -> None:
        self.snapshot = tuple(self._blocks_by_key.values())
        blocks_by_part: dict[PartKey, list[Block]] = {}
        for block in self.active:
            first = PartKey(block.key.service, block.key.model, block.key.parts[0])
            blocks_by_part.setdefault(first, []).append(block)
        self._blocks_by_part = {key: tuple(blocks) for key, blocks in blocks_by_part.items()}


def _keeping_order(block: Block) -> tuple[object, ...]:
    """Return the place of a block in the order in which blocks are forgotten."""
    return (block.is_active, block.is_held, block.since, block.key)
