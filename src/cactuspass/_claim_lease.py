"""The store's lease that deletes the records of old claims."""

import asyncio

from cactuspass._claims import CLAIM_RETENTION_SECONDS
from cactuspass._platform import LeaseId, Platform

LEASE_REUSE_SECONDS = 3600


class ClaimLease:
    """One lease for all claims that an entry writes within ``LEASE_REUSE_SECONDS``.

    The lease is long and never renewed, so the records stay when the entry process ends.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._lease: LeaseId | None = None
        self._replace_at = 0.0

    @property
    def needs_new_lease(self) -> bool:
        """Whether the next call of :meth:`get_lease` has to create a lease."""
        return self._lease is None or asyncio.get_running_loop().time() >= self._replace_at

    async def get_lease(self) -> LeaseId:
        """Return a lease that lasts at least ``CLAIM_RETENTION_SECONDS``.

        :raises PlatformError: if the lease could not be created.
        """
        if self._lease is None or self.needs_new_lease:
            self._replace_at = asyncio.get_running_loop().time() + LEASE_REUSE_SECONDS
            self._lease = None
            seconds = CLAIM_RETENTION_SECONDS + LEASE_REUSE_SECONDS
            self._lease = await self._platform.grant_lease(seconds)
        return self._lease

    def discard(self) -> None:
        """Discard the lease after the store refused it; the next use creates another one."""
        self._lease = None
