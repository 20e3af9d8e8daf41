"""Commands of the operators' command line on blocked parts of prompts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cactuspass.exceptions import ArgumentError, PlatformError
from cactuspass.fleet.prompt_parts import Block, BlockKey, BlockOrders, StoredBlocks, check_names
from cactuspass.models import CustomerId, ModelId, ServiceId
from cactuspass.platform.operators import PlatformAccess, open_platform, parse_part_ids


async def stored_blocks(address: str) -> StoredBlocks:
    """Return the blocks in the store.

    :param address: ``host:port`` of the store.
    :raises PlatformError: when the store does not answer.
    """
    async with _platform(address) as platform:
        return await BlockOrders(platform.store).list_blocks()


async def set_block(
    address: str, service: str, model: str, parts: str, customers: str, note: str
) -> Block:
    """Set a block, and return it as it was written.

    :param address: ``host:port`` of the store.
    :param parts: ids separated by commas.
    :param customers: names separated by commas; empty for all customers.
    :raises ArgumentError: when a part is no such id, or the catalog lacks another name.
    :raises DocumentError: when the stored block cannot be read.
    :raises PlatformError: when the store does not answer.
    """
    key = _parse_key(service, model, parts)
    names = tuple(dict.fromkeys(CustomerId(name.strip()) for name in customers.split(",")))
    chosen = () if names == ("",) else tuple(sorted(names))
    async with _platform(address) as platform:
        documents = await platform.directory.read_operators()
        if documents.catalog is not None:
            check_names(key, chosen, documents.catalog)
        return await BlockOrders(platform.store).set_block(key, chosen, note)


async def end_block(address: str, service: str, model: str, parts: str, note: str) -> Block:
    """End a block, and return it as it was written.

    :param address: ``host:port`` of the store.
    :param parts: ids separated by commas.
    :raises ArgumentError: when a part is no such id.
    :raises NotBlocked: when the block is not in force.
    :raises DocumentError: when the stored block cannot be read.
    :raises PlatformError: when the store does not answer.
    """
    key = _parse_key(service, model, parts)
    async with _platform(address) as platform:
        return await BlockOrders(platform.store).end_block(key, note)


def _parse_key(service: str, model: str, parts: str) -> BlockKey:
    if not service:
        raise ArgumentError("SERVICE", "name a service")
    try:
        ids = parse_part_ids(parts)
    except ValueError as error:
        raise ArgumentError("PART", str(error)) from None
    # Instances sort the parts of a block in the same way.
    return BlockKey(ServiceId(service), ModelId(model), tuple(sorted(ids)))


@asynccontextmanager
async def _platform(address: str) -> AsyncIterator[PlatformAccess]:
    """Open the platform; its errors name the store's address."""
    try:
        async with open_platform(address) as platform:
            yield platform
    except PlatformError as error:
        raise PlatformError(f"store {address}: {error}") from error
