"""Registration of this instance in the store, by a key that lasts as long as its lease."""

import asyncio
import json
import random
from contextlib import suppress

from cactuspass._platform import LeaseId, Write
from cactuspass.exceptions import PlatformError
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._store import LeaseEnded, SharedStore

KEY_PREFIX = "cactuspass/"
INSTANCES_PREFIX = f"{KEY_PREFIX}instances/"
DUTIES_PREFIX = f"{KEY_PREFIX}duties/"
# Long, since each instance renews its lease: other instances learn sooner from their connections
# that one has gone, and one that is cut off goes on sending and must stay counted.
REGISTRATION_SECONDS = 20
RENEW_SECONDS = 6.5
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
RENEWAL_RETRY_SECONDS = 3.0  # the lease lasts long enough for several
MAX_WRITES_OF_KEY = 3  # another write of the key may come between reading and writing it


async def end_lease(store: SharedStore, lease: LeaseId | None, log: DecisionLog) -> None:
    """Revoke a lease that is no longer needed, which deletes its keys; log a failure.

    :param lease: None if there is none to revoke.
    """
    if lease is None:
        return
    try:
        await store.revoke_lease(lease)
    except PlatformError as error:
        log.lifecycle("lease-not-ended", reason=error)


class Registration(RepeatingComponent):
    """Keeps the key of this instance in the store.

    :param peer: data centre and address that the key states.
    """

    def __init__(self, store: SharedStore, peer: Peer, log: DecisionLog) -> None:
        super().__init__(log)
        self._store = store
        self._peer = peer
        self._lease: LeaseId | None = None
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._stopping = False
        self._wake = asyncio.Event()

    def renew_now(self) -> None:
        """Renew the lease without waiting for the interval, since it may be lost."""
        self._wake.set()

    async def step(self) -> None:
        """Register or renew the lease, then wait; after a failure, wait longer each time."""
        try:
            if not self._stopping:
                await self._keep()
            self._retry_seconds = FIRST_RETRY_SECONDS
            await self._wait(RENEW_SECONDS * random.uniform(0.8, 1.0))
        except LeaseEnded:
            self._lease = None
            # All leases may have ended together with an outage of the store.
            await asyncio.sleep(random.uniform(0.0, FIRST_RETRY_SECONDS))
        except PlatformError as error:
            self._log.state_change("registration-failed", reason=error)
            pause = RENEWAL_RETRY_SECONDS if self._lease is not None else self._retry_seconds
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            self._retry_seconds = min(MAX_RETRY_SECONDS, 2 * self._retry_seconds)

    async def _wait(self, seconds: float) -> None:
        """Wait until ``renew_now`` is called, or for some seconds."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        self._wake.clear()

    async def drain(self) -> None:
        """Revoke the lease, which deletes the key."""
        self._stopping = True
        lease, self._lease = self._lease, None
        await end_lease(self._store, lease, self._log)

    async def _keep(self) -> None:
        if self._lease is not None:
            if await self._store.keep_lease_alive(self._lease) <= 0:
                raise LeaseEnded("the lease of the registration has ended")
            return
        lease = await self._store.grant_lease(REGISTRATION_SECONDS)
        await self._write_key(lease)
        if self._stopping:
            await self._store.revoke_lease(lease)  # The stop came while the key was written.
            return
        self._lease = lease

    async def _write_key(self, lease: LeaseId) -> None:
        """Write the key, whatever an earlier process of this instance has left there."""
        key = f"{INSTANCES_PREFIX}{self._peer.instance}"
        fields = {
            "instance": self._peer.instance,
            "data_centre": self._peer.data_centre,
            "peers": self._peer.address,
        }
        value = json.dumps(fields).encode()
        expected = 0
        for _ in range(MAX_WRITES_OF_KEY):
            result = await self._store.write([Write(key, value, expected, lease)])
            if result.accepted:
                return
            expected = result.current.values_by_key[key].mod_revision
        raise PlatformError(f"{key} changes all the time")
