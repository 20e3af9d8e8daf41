"""Interface of the platform's store, which all instances share."""

from abc import abstractmethod
from dataclasses import dataclass

from cactuspass._platform import KeyValue, Platform, Snapshot
from cactuspass.exceptions import PlatformError


class HistoryLost(PlatformError):
    """The store no longer keeps the changes after the revision that a watch starts from."""


class LeaseEnded(PlatformError):
    """The lease of a call has ended."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of keys under a prefix.

    :param changed: the changed keys, oldest first; the value of a deleted key is None.
    :param revision: revision up to which the changes are complete.
    """

    changed: tuple[KeyValue, ...]
    revision: int


class SharedStore(Platform):
    """A key-value store with leases that can also list and watch the keys under a prefix.

    Its revisions rise with each change, also when the store has been restored from an older copy
    and has lost the last changes and leases.
    """

    @abstractmethod
    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys under a prefix, as they are after the call was made.

        :raises PlatformError: when the store does not answer or refuses the call.
        """

    @abstractmethod
    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        :param wait: seconds after which the call returns without changes.
        :raises HistoryLost: when changes since that revision are no longer kept, or when the store
            has been restored since.
        :raises PlatformError: when the store does not answer or refuses the call.
        """
