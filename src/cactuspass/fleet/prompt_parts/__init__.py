"""Shared parts of prompts: which make upstreams crash, and which requests are refused for it."""

from cactuspass.fleet.prompt_parts._block_orders import BlockOrders, StoredBlocks, check_names
from cactuspass.fleet.prompt_parts._block_rows import PARTS_PATH, block_rows, blocks_page
from cactuspass.fleet.prompt_parts._block_store import BlockStore
from cactuspass.fleet.prompt_parts._block_table import BlockTable
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._guarded_request import GuardedRequest, guard_request
from cactuspass.fleet.prompt_parts._messages import (
    BlockMessage,
    PartMessage,
    decode_part_message,
    encode_part_message,
)
from cactuspass.fleet.prompt_parts._parts import (
    ANONYMOUS,
    Block,
    BlockKey,
    BrokenAttempt,
    PromptIdentity,
    PromptPartId,
)

__all__ = [
    "ANONYMOUS",
    "PARTS_PATH",
    "Block",
    "BlockKey",
    "BlockMessage",
    "BlockOrders",
    "BlockStore",
    "BlockTable",
    "BrokenAttempt",
    "GuardedRequest",
    "PartGuard",
    "PartMessage",
    "PromptIdentity",
    "PromptPartId",
    "StoredBlocks",
    "block_rows",
    "blocks_page",
    "check_names",
    "decode_part_message",
    "encode_part_message",
    "guard_request",
]
