"""What operators and upstreams declare on the platform, as typed documents."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cactuspass._findings import Finding
from cactuspass.fleet._catalog import Catalog, Evacuations
from cactuspass.fleet._upstreams import Upstream, UpstreamId


@dataclass(frozen=True, slots=True)
class OperatorDocuments:
    """What the operators have written.

    :param catalog: None when there is none, or when it cannot be read.
    :param findings: mistakes in the documents.
    """

    catalog: Catalog | None
    evacuations: Evacuations
    revision: int
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamListing:
    """All upstreams that are registered.

    :param findings: mistakes in entries, which are left out.
    """

    upstreams: tuple[Upstream, ...]
    revision: int
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """Changes of registry entries.

    :param removed: ids whose entry is gone or cannot be used any more.
    """

    changed: tuple[Upstream, ...]
    removed: tuple[UpstreamId, ...]
    revision: int
    findings: tuple[Finding, ...] = ()


class Directory(ABC):
    """Reads the documents of operators and upstreams."""

    @abstractmethod
    async def read_operators(self) -> OperatorDocuments:
        """Read the operators' documents, not older than the call.

        :raises PlatformError: when they cannot be read.
        """

    @abstractmethod
    async def read_upstreams(self) -> UpstreamListing:
        """Read all registry entries, not older than the call.

        :raises PlatformError: when they cannot be read.
        """

    @abstractmethod
    async def watch_upstreams(self, after_revision: int, wait: float) -> UpstreamChanges:
        """Wait for changes of registry entries.

        :param wait: seconds after which an answer without changes comes.
        :raises HistoryLost: when the changes are no longer kept.
        :raises PlatformError: when the store does not answer.
        """
