"""Keeps the blocks on parts of prompts in the store, so that they outlive all instances."""

import asyncio
import json
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b

from pydantic import TypeAdapter, ValidationError

from cactuspass._decoded_keys import DecodedKeys
from cactuspass._findings import Finding, findings_from_error
from cactuspass._platform import KeyValue, Write
from cactuspass.exceptions import DocumentError, PlatformError
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._registration import KEY_PREFIX
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.prompt_parts._block_table import MAX_BLOCKS
from cactuspass.fleet.prompt_parts._parts import Block, BlockKey

BLOCKS_PREFIX = f"{KEY_PREFIX}blocked-parts/"
WRITE_INTERVAL_SECONDS = 0.5
RETRY_SECONDS = 1.0
MAX_WRITES_OF_KEY = 3
MAX_UNIX_SECONDS = 4_102_444_800.0  # in the year 2100

_ADAPTER: TypeAdapter[Block] = TypeAdapter(Block)


def store_key(key: BlockKey) -> str:
    """Return the store key of a block, which is short whatever callers send as parts."""
    text = json.dumps([key.service, key.model, *key.parts])
    return BLOCKS_PREFIX + blake2b(text.encode(), digest_size=16).hexdigest()


def encode_block(block: Block) -> bytes:
    """Return the value that is stored for a block."""
    return _ADAPTER.dump_json(block)


def decode_block(key: str, value: bytes) -> Block:
    """Return the block that a value describes.

    :param key: store key of the value, for messages.
    :raises DocumentError: when the value is invalid, with every mistake and its place.
    """
    try:
        block = _ADAPTER.validate_json(value)
    except ValidationError as error:
        raise DocumentError(findings_from_error(key, error)) from error
    if not 0.0 <= block.since <= MAX_UNIX_SECONDS or not 0.0 <= (block.seconds or 0.0) < math.inf:
        raise DocumentError((Finding(key, "since", "a time is out of range"),))
    return block


class BlockStore(RepeatingComponent):
    """Writes the changes that this instance makes, and reads those of others and of operators.

    :param on_block: called with each block that the store holds.
    :param known_blocks: returns the states that this instance knows.
    :param is_leader: whether this instance leads. The leader also writes the changes of instances
        that have ended before they could write them.
    """

    def __init__(
        self,
        store: SharedStore,
        on_block: Callable[[Block], object],
        log: DecisionLog,
        known_blocks: Callable[[], Iterable[Block]] = tuple,
        is_leader: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(log)
        self._store = store
        self._on_block = on_block
        self._known_blocks = known_blocks
        self._is_leader = is_leader
        self._pending: OrderedDict[BlockKey, Block] = OrderedDict()
        self._wake = asyncio.Event()
        self._stored = DecodedKeys(self._read)

    @property
    def has_pending(self) -> bool:
        """Whether changes wait to be written."""
        return bool(self._pending)

    def accept_keys(self, values_by_key: Mapping[str, KeyValue]) -> None:
        """Read the blocks among the keys of all instances; unchanged ones are skipped."""
        self._stored.decode_all(
            value for key, value in values_by_key.items() if key.startswith(BLOCKS_PREFIX)
        )
        if self._is_leader():
            self._write_missing()

    def _write_missing(self) -> None:
        """Write the states that this instance knows and that the store does not have."""
        for block in self._known_blocks():
            if block.supersedes(self._stored.get(store_key(block.key))):
                self.write_later(block)

    def _read(self, stored: KeyValue) -> Block | None:
        """Return the block in a value and report it; None if the value is unreadable."""
        try:
            block = decode_block(stored.key, stored.value or b"")
        except DocumentError as error:
            self._log.unreadable(error.findings)
            return None
        self._on_block(block)
        return block

    def write_later(self, block: Block) -> None:
        """Write a block soon; of several changes of one block only the last is written."""
        self._pending[block.key] = block
        if len(self._pending) > MAX_BLOCKS:
            self._pending.popitem(last=False)
        self._wake.set()

    async def step(self) -> None:
        """Write one block; after a failure, write it again later, behind the others."""
        while not self._pending:
            self._wake.clear()
            await self._wake.wait()
        key, block = next(iter(self._pending.items()))
        try:
            await self._write(block)
        except PlatformError as error:
            self._log.state_change("block-not-stored", parts=",".join(key.parts), reason=error)
            if key in self._pending:
                self._pending.move_to_end(key)
            await asyncio.sleep(RETRY_SECONDS)
            return
        if self._pending.get(key) is block:
            del self._pending[key]
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)

    async def _write(self, block: Block) -> None:
        """Write a block unless the store has a later state of it.

        :raises PlatformError: when the store does not answer, or the key changes all the time.
        """
        key, expected = store_key(block.key), 0
        for _ in range(MAX_WRITES_OF_KEY):
            result = await self._store.write([Write(key, encode_block(block), expected)])
            if result.accepted:
                return
            current = result.current.values_by_key[key]
            if current.value is not None:
                self._read(current)
                if not self._is_newer(block, current):
                    return
            expected = current.mod_revision
        raise PlatformError(f"{key} changes all the time")

    def _is_newer(self, block: Block, stored: KeyValue) -> bool:
        """Return whether a block is a later state than the stored one, or that is unreadable."""
        try:
            return block.supersedes(decode_block(stored.key, stored.value or b""))
        except DocumentError:
            return True
