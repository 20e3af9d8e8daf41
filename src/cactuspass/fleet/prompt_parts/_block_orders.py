"""Operators' changes of the blocks on parts of prompts, made in the store.

All instances watch the store, so that a change is in force at each of them soon after it was made.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from cactuspass._findings import Finding
from cactuspass._platform import KeyValue
from cactuspass.exceptions import (
    ArgumentError,
    CactuspassError,
    DocumentError,
    OutcomeUnknown,
    PlatformError,
)
from cactuspass.fleet._catalog import Catalog
from cactuspass.fleet._store import SharedStore
from cactuspass.fleet.prompt_parts._block_store import (
    BLOCKS_PREFIX,
    decode_block,
    encode_block,
    store_key,
)
from cactuspass.fleet.prompt_parts._parts import Block, BlockKey, all_customers
from cactuspass.models import CustomerId

MAX_TRIES = 8
SET_REASON = "set by an operator"
END_REASON = "ended by an operator"


class NotBlocked(CactuspassError):
    """The block that an operator wants to end is not in force."""


@dataclass(frozen=True, slots=True)
class StoredBlocks:
    """The blocks in the store.

    :param active: blocks that refuse requests.
    :param findings: values that could not be read.
    """

    active: tuple[Block, ...]
    findings: tuple[Finding, ...]


class BlockOrders:
    """Lists, sets and ends blocks in the store, without an instance."""

    def __init__(self, store: SharedStore) -> None:
        self._store = store

    async def list_blocks(self) -> StoredBlocks:
        """Return the blocks in force.

        :raises PlatformError: when the store does not answer.
        """
        blocks: list[Block] = []
        findings: list[Finding] = []
        stored = await self._store.read_prefix(BLOCKS_PREFIX)
        for key, value in stored.values_by_key.items():
            try:
                blocks.append(decode_block(key, value.value or b""))
            except DocumentError as error:
                findings += error.findings
        return StoredBlocks(tuple(block for block in blocks if block.is_active), tuple(findings))

    async def set_block(
        self, key: BlockKey, customers: tuple[CustomerId, ...], note: str = ""
    ) -> Block:
        """Refuse requests with certain parts until an operator ends the block.

        A block that is in force already is extended: it refuses nothing less than before.

        :param customers: customers whose requests are refused; empty for all.
        :param note: text that is added to the reason.
        :raises DocumentError: when the stored block cannot be read.
        :raises PlatformError: when the store does not answer.
        """
        reason = f"{SET_REASON}: {note}" if note else SET_REASON

        def change(known: Block | None) -> Block:
            if known is None:
                return Block(key, 1, customers, True, time.time(), None, 0, (), reason)
            is_active = known.is_active
            return Block(
                key,
                known.version + 1,
                all_customers(known.customers, customers) if is_active else customers,
                True,
                time.time(),
                None,
                known.crashes,
                known.instances,
                reason,
            )

        return await self._change(key, change)

    async def end_block(self, key: BlockKey, note: str = "") -> Block:
        """End a block, whoever has set it.

        :param note: text that is added to the reason.
        :raises NotBlocked: when the block is not in force.
        :raises DocumentError: when the stored block cannot be read.
        :raises PlatformError: when the store does not answer.
        """
        reason = f"{END_REASON}: {note}" if note else END_REASON

        def change(known: Block | None) -> Block:
            if known is None or not known.is_active:
                raise NotBlocked(f"no block on {key} is in force")
            return replace(
                known,
                version=known.version + 1,
                is_active=False,
                since=time.time(),
                reason=reason,
            )

        return await self._change(key, change)

    async def _change(self, key: BlockKey, change: Callable[[Block | None], Block]) -> Block:
        """Write the change of a block, again if another change was made meanwhile."""
        name = store_key(key)
        current = (await self._store.read([name])).values_by_key[name]
        for _ in range(MAX_TRIES):
            block = change(_stored_block(current))
            value = encode_block(block)
            try:
                result = await self._store.compare_and_swap(name, value, current.mod_revision)
            except OutcomeUnknown as error:
                raise OutcomeUnknown(f"{error}; the change may have been made") from error
            if result.accepted:
                return block
            current = result.current
        raise PlatformError(f"{name} changes all the time; nothing was written")


def _stored_block(stored: KeyValue) -> Block | None:
    return None if stored.value is None else decode_block(stored.key, stored.value)


def check_names(key: BlockKey, customers: tuple[CustomerId, ...], catalog: Catalog) -> None:
    """Check that the catalog has the service, the model and the customers of a block.

    :raises ArgumentError: when it has not; a block on a name with a mistake would refuse nothing.
    """
    service = catalog.services_by_id.get(key.service)
    if service is None:
        raise ArgumentError("SERVICE", f"the catalog has no service {key.service!r}")
    models = service.engine.models_by_id if service.engine is not None else {}
    if key.model and key.model not in models:
        raise ArgumentError("MODEL", f"service {key.service!r} has no model {key.model!r}")
    if models and not key.model:
        raise ArgumentError("MODEL", f"service {key.service!r} has models; name one")
    known = {customer.customer for customer in catalog.customers}
    for customer in customers:
        if customer not in known:
            raise ArgumentError("--customer", f"the catalog has no customer {customer!r}")
