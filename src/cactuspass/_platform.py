"""The platform's key-value service as the rest of the package sees it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NewType

LeaseId = NewType("LeaseId", int)


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the store.

    :param value: None when the key is missing, or when only keys were asked for.
    :param mod_revision: revision of the last change; 0 when the key is missing.
    """

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Keys as they were at one revision of the store."""

    values_by_key: dict[str, KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A change of one key on the condition that it has not changed meanwhile.

    :param value: None deletes the key.
    :param expected_mod_revision: 0 when the key must be missing.
    :param lease: the key is deleted when this lease ends.
    """

    key: str
    value: bytes | None
    expected_mod_revision: int
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write of several keys, which is made as a whole or not at all.

    :param current: the keys after the call, as the store sees them.
    """

    accepted: bool
    current: Snapshot


@dataclass(frozen=True, slots=True)
class CasResult:
    """Outcome of a compare-and-swap of one key.

    :param current: the key after the call.
    """

    accepted: bool
    current: KeyValue


class Platform(ABC):
    """Compare-and-swap, reads and leases of a key-value service."""

    @abstractmethod
    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys at one revision, in one call.

        :raises PlatformUnavailable: when the store does not answer.
        :raises PlatformError: when the store refuses the call.
        """

    @abstractmethod
    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes in one call, or none when a key is not as expected.

        :param writes: changes of different keys.
        :raises PlatformUnavailable: when the call surely had no effect.
        :raises OutcomeUnknown: when the call may have taken effect.
        :raises PlatformError: when the store refuses the call.
        """

    @abstractmethod
    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that ends after the given time unless it is kept alive.

        :raises PlatformError: when no lease was learned of.
        """

    @abstractmethod
    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease.

        :return: seconds until the lease ends; 0 when it has already ended.
        :raises PlatformError: when it is unknown whether the lease was renewed.
        """

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys.

        :raises PlatformError: when it is unknown whether the lease was ended.
        """

    async def compare_and_swap(
        self, key: str, value: bytes, expected_mod_revision: int, lease: LeaseId | None = None
    ) -> CasResult:
        """Replace the value of one key when it has not changed meanwhile.

        :raises PlatformUnavailable: when the call surely had no effect.
        :raises OutcomeUnknown: when the call may have taken effect.
        :raises PlatformError: when the store refuses the call.
        """
        result = await self.write([Write(key, value, expected_mod_revision, lease)])
        return CasResult(result.accepted, result.current.values_by_key[key])

    async def close(self) -> None:
        """Release connections."""
        return
