"""What the operators' command line needs of the users' platform."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from cactuspass.fleet import ConnectionPool, Directory, Metrics, SharedStore
from cactuspass.platform._directory import MetadataDirectory
from cactuspass.platform._requests import parse_part_ids
from cactuspass.platform._store import MetadataStore

__all__ = ["PlatformAccess", "open_platform", "parse_part_ids"]


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """The platform's store, and the operators' documents in it."""

    store: SharedStore
    directory: Directory


@asynccontextmanager
async def open_platform(address: str) -> AsyncIterator[PlatformAccess]:
    """Return the platform for the time of one command.

    :param address: ``host:port`` of the store.
    """
    store = MetadataStore(address, ConnectionPool(), Metrics())
    try:
        yield PlatformAccess(store, MetadataDirectory(store))
    finally:
        await store.close()
