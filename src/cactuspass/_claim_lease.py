"""The lease that ends the records of old claims."""

import asyncio

from cactuspass._claims import CLAIM_KEEP_SECONDS
from cactuspass._platform import LeaseId, Platform

LEASE_SHARED_SECONDS = 3600


class ClaimLease:
    """One lease for all claims that an entry writes within an hour.

    It is never kept alive, so that the records outlive their entry.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._lease: LeaseId | None = None
        self._renew_at = 0.0

    @property
    def is_due(self) -> bool:
        """Tell whether the next use has to create a lease."""
        return self._lease is None or asyncio.get_running_loop().time() >= self._renew_at

    async def current(self) -> LeaseId:
        """Return a lease that lasts at least as long as a claim is kept.

        :raises PlatformError: when none could be created.
        """
        if self._lease is None or self.is_due:
            self._renew_at = asyncio.get_running_loop().time() + LEASE_SHARED_SECONDS
            self._lease = None
            seconds = CLAIM_KEEP_SECONDS + LEASE_SHARED_SECONDS
            self._lease = await self._platform.grant_lease(seconds)
        return self._lease

    def forget(self) -> None:
        """Create another lease at the next use, since the store refused this one."""
        self._lease = None
