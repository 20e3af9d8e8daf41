"""Interface of the operators' documents and of the registry of upstreams."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._findings import Finding
from cactuspass.fleet._catalog import Catalog, Evacuations
from cactuspass.fleet._upstreams import Upstream, UpstreamId


@dataclass(frozen=True, slots=True)
class OperatorDocuments:
    """The operators' documents at one revision of the store.

    :param catalog: None when the document is missing or invalid.
    :param findings: mistakes in the documents.
    """

    catalog: Catalog | None
    evacuations: Evacuations
    revision: int
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamListing:
    """All registered upstreams at one revision of the store.

    :param findings: mistakes in entries; entries with mistakes are left out.
    """

    upstreams: tuple[Upstream, ...]
    revision: int
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """Changes of registry entries up to one revision of the store.

    :param removed: ids of upstreams whose entries were deleted or are no longer valid.
    :param findings: mistakes in changed entries.
    """

    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]
    revision: int
    findings: tuple[Finding, ...] = ()


class Directory(ABC):
    """Reads the operators' documents and the registry of upstreams."""

    @abstractmethod
    async def read_operators(self) -> OperatorDocuments:
        """Read the operators' documents, as they are after the call was made.

        :raises PlatformError: when they cannot be read.
        """

    @abstractmethod
    async def read_upstreams(self) -> UpstreamListing:
        """Read all registry entries, as they are after the call was made.

        :raises PlatformError: when they cannot be read.
        """

    @abstractmethod
    async def watch_upstreams(self, after_revision: int, wait: float) -> UpstreamChanges:
        """Return the changes of registry entries after a revision, waiting for the first one.

        :param wait: seconds after which the call returns without changes.
        :raises HistoryLost: when the store no longer keeps these changes.
        :raises PlatformError: when the store does not respond.
        """
