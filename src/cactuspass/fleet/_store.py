"""The platform's store with listings and watches, which instances share."""

from abc import abstractmethod
from dataclasses import dataclass

from cactuspass._platform import KeyValue, Platform, Snapshot
from cactuspass.exceptions import PlatformError


class HistoryLost(PlatformError):
    """The store no longer has the changes that a watch asks for."""


class LeaseEnded(PlatformError):
    """The lease that a call names has ended."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes under a prefix, oldest first; a deleted key has no value.

    :param revision: revision up to which the changes are complete.
    """

    changed: tuple[KeyValue, ...]
    revision: int


class SharedStore(Platform):
    """A key-value service that also lists and watches prefixes."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix, not older than the call.

        :raises PlatformError: when the store does not answer or refuses the call.
        """

    @abstractmethod
    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Wait for changes after a revision.

        :param wait: seconds after which an answer without changes comes.
        :raises HistoryLost: when changes since that revision are no longer kept.
        :raises PlatformError: when the store does not answer or refuses the call.
        """
