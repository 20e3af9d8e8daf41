"""Interface of the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NewType

LeaseId = NewType("LeaseId", int)


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the store with its value.

    :param value: None if the key is missing, or if only keys were requested.
    :param mod_revision: revision of the last change; 0 if the key is missing.
    """

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State of several keys at one revision of the store."""

    values_by_key: dict[str, KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Write:
    """A change of one key, on the condition that the key is at an expected revision.

    :param value: new value; None deletes the key.
    :param expected_mod_revision: revision of the last change; 0 if the key must be missing.
    :param lease: lease whose end deletes the key; None for a key without a lease.
    """

    key: str
    value: bytes | None
    expected_mod_revision: int
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a write of several keys, which is atomic.

    :param accepted: whether the write took effect.
    :param current: the keys as stored after the call.
    """

    accepted: bool
    current: Snapshot


@dataclass(frozen=True, slots=True)
class CasResult:
    """Outcome of a compare-and-swap of one key.

    :param accepted: whether the swap took effect.
    :param current: the key as stored after the call.
    """

    accepted: bool
    current: KeyValue


class Platform(ABC):
    """A key-value service with atomic reads, conditional writes and leases."""

    @abstractmethod
    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys at one revision, in one call.

        :param keys_only: leave out the values.
        :raises PlatformUnavailable: if the store does not respond.
        :raises PlatformError: if the store refuses the call.
        """

    @abstractmethod
    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes in one call, or none if a key is not at its expected revision.

        :param writes: changes of different keys.
        :raises PlatformUnavailable: if the call certainly had no effect.
        :raises OutcomeUnknown: if the call may have taken effect.
        :raises PlatformError: if the store refuses the call.
        """

    @abstractmethod
    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease that ends after the given time unless it is renewed.

        :raises PlatformError: if the call failed; the store may still have created a lease.
        """

    @abstractmethod
    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease.

        :return: seconds until the lease ends; 0 if it has already ended.
        :raises PlatformError: if it is unknown whether the lease was renewed.
        """

    @abstractmethod
    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys.

        :raises PlatformError: if it is unknown whether the lease was ended.
        """

    async def compare_and_swap(
        self, key: str, value: bytes, expected_mod_revision: int, lease: LeaseId | None = None
    ) -> CasResult:
        """Replace the value of one key if the key is at the expected revision.

        :param expected_mod_revision: revision of the last change; 0 if the key must be missing.
        :raises PlatformUnavailable: if the call certainly had no effect.
        :raises OutcomeUnknown: if the call may have taken effect.
        :raises PlatformError: if the store refuses the call.
        """
        result = await self.write([Write(key, value, expected_mod_revision, lease)])
        return CasResult(result.accepted, result.current.values_by_key[key])

    async def close(self) -> None:
        """Close the connections."""
        return
