"""Registration of this instance in the store, and election of the leader."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass

from cactuspass._addresses import check_address
from cactuspass._clock import now
from cactuspass._decoded_keys import DecodedKeys
from cactuspass._platform import KeyValue, LeaseId, Write
from cactuspass._revisions import era_of, number_of
from cactuspass.exceptions import OutcomeUnknown, PlatformError
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._registration import (
    DUTIES_PREFIX,
    INSTANCES_PREFIX,
    KEY_PREFIX,
    Registration,
    end_lease,
)
from cactuspass.fleet._repeating import RepeatingComponent
from cactuspass.fleet._store import HistoryLost, LeaseEnded, SharedStore
from cactuspass.fleet._sync import FEED_CHECK_SECONDS, Pause, no_feed, same_pause
from cactuspass.models import DataCentreId, EntryId

LEADER_KEY = f"{KEY_PREFIX}leader"
LEASE_SECONDS = 2
RENEW_SECONDS = 0.5
WATCH_WAIT_SECONDS = 5.0
RETRY_SECONDS = 0.25
BATCH_SECONDS = 0.3  # pause after a change, so that the next watch returns several
CLOCK_MARGIN_SECONDS = 0.2  # the term ends here this long before the lease
EPOCHS_PER_TERM = 10_000
# More changes than a restored store has lost, so that epochs rise from era to era.
CHANGES_PER_ERA = 100_000_000
UNKNOWN_DATA_CENTRE = DataCentreId("")
MAX_DATA_CENTRE_LENGTH = 256  # characters
MAX_REGISTRATION_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Term:
    """A period in which this instance leads, which ends at the latest with the lease.

    Only the leader sends orders to upstreams.

    :param revision: revision of the store at which the term began; later terms have higher ones.
    """

    revision: int

    @property
    def first_epoch(self) -> int:
        """Lowest epoch for groups formed in this term; it is above those of all earlier terms."""
        restores = era_of(self.revision)
        return (restores * CHANGES_PER_ERA + number_of(self.revision)) * EPOCHS_PER_TERM


class _KeyWatch(RepeatingComponent):
    """Watches the keys of all instances.

    :param watch_once: reads the keys, or waits for one set of changes and applies it.
    """

    def __init__(self, watch_once: Callable[[], Awaitable[None]], log: DecisionLog) -> None:
        super().__init__(log)
        self._watch_once = watch_once

    async def step(self) -> None:
        """Wait for one set of changes."""
        await self._watch_once()


def _is_reachable(address: object) -> bool:
    """Return whether an instance can be reached at the address that its key states."""
    try:
        return isinstance(address, str) and bool(check_address(address))
    except ValueError:
        return False


class Presence(RepeatingComponent):
    """Registers this instance, and acquires leadership when no other instance holds it.

    The leader key is attached to a short lease of its own, which only the leader has. It is counted
    on the local clock from the moment at which the last renewal was sent, so a term ends here
    before the lease ends in the store.

    :param on_term_change: called when a term of this instance begins or ends.
    :param data_centre: data centre of this instance.
    :param address: ``host:port`` at which this instance accepts connections of other instances;
        None when it accepts none.
    :param uses_feed: whether another instance provides the list of registered instances; this
        instance then lists the keys only once, and does not try to acquire leadership.
    :param on_keys: called with all keys of the instances after each read of them.
    :param retry_pause: returns the time in seconds before the keys are read again after a failure,
        from the shortest such time.
    """

    def __init__(
        self,
        store: SharedStore,
        instance: EntryId,
        cluster_state: ClusterState,
        log: DecisionLog,
        on_term_change: Callable[[], None] = lambda: None,
        data_centre: DataCentreId = UNKNOWN_DATA_CENTRE,
        address: str | None = None,
        uses_feed: Callable[[], bool] = no_feed,
        on_keys: Callable[[Mapping[str, KeyValue]], None] = lambda keys: None,
        retry_pause: Pause = same_pause,
    ) -> None:
        super().__init__(log)
        self._retry_pause = retry_pause
        self._on_keys = on_keys
        self._store = store
        self._instance = instance
        self._cluster_state = cluster_state
        self._on_term_change = on_term_change
        self._registration = Registration(store, Peer(instance, data_centre, address), log)
        self._uses_feed = uses_feed
        self._lease: LeaseId | None = None
        self._lease_until = float("-inf")
        self._term: Term | None = None
        self._stopping = False
        self._key_watch = _KeyWatch(self._watch_once, log)
        self._keys: dict[str, KeyValue] = {}
        self._peers = DecodedKeys(self._peer)
        self._keys_listed = False
        self._revision = 0
        self._listed_at = float("-inf")
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start to register this instance and to watch the keys of all instances."""
        self._cluster_state.on_restore(self._registration.renew_now)
        await self._registration.start()
        await super().start()
        await self._key_watch.start()

    async def drain(self) -> None:
        """End the term and revoke the leases, so that another instance can take over at once."""
        self._stopping = True
        await self._registration.drain()
        lease, self._lease = self._lease, None
        self._end_term("stopping")
        await end_lease(self._store, lease, self._log)

    async def stop(self) -> None:
        """Stop all loops."""
        await super().stop()
        await self._key_watch.stop()
        await self._registration.stop()

    @property
    def term(self) -> Term | None:
        """The current term of this instance; None while it is not the leader.

        Each read checks the lease, so it must be read again before each order.
        """
        if self._term is not None and now() > self._lease_until:
            self._end_term("lease not renewed in time")
        return self._term

    @property
    def term_seconds_left(self) -> float:
        """Seconds until the current term ends unless it is renewed; 0 without a term."""
        return max(0.0, self._lease_until - now()) if self.term is not None else 0.0

    @property
    def has_listed_keys(self) -> bool:
        """Whether the keys of all instances have been read since the start."""
        return self._keys_listed

    async def step(self) -> None:
        """Renew the lease of the leader key, or acquire leadership if no other instance holds it.

        Without a lease, the step is repeated as soon as a key has changed.
        """
        try:
            if self._lease is not None:
                await self._keep_lease()
            elif self._may_acquire_leadership():
                await self._grant_lease()
            await self._sleep_until_change()
        except LeaseEnded:
            self._lease = None
            self._end_term("lease ended")
        except PlatformError as error:
            self._log.state_change("lease-call-failed", reason=error)
            await asyncio.sleep(RETRY_SECONDS)

    async def _sleep_until_change(self) -> None:
        """Sleep for ``RENEW_SECONDS``; without a lease, until a key has changed at the latest."""
        if self._lease is not None:
            await asyncio.sleep(RENEW_SECONDS)
            return
        self._wake.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(RENEW_SECONDS):
                await self._wake.wait()

    async def _grant_lease(self) -> None:
        began = now()
        self._lease = await self._store.grant_lease(LEASE_SECONDS)
        self._lease_until = began + LEASE_SECONDS - CLOCK_MARGIN_SECONDS
        await self._try_acquire_leadership()

    async def _keep_lease(self) -> None:
        """Renew the lease; revoke it when it is of no use, since another instance leads."""
        assert self._lease is not None
        if self.term is None and (self._uses_feed() or self._is_led_by_another()):
            lease, self._lease = self._lease, None
            await self._store.revoke_lease(lease)
            return
        began = now()
        remaining = await self._store.keep_lease_alive(self._lease)
        if remaining <= 0:
            raise LeaseEnded("the lease has ended")
        self._lease_until = began + remaining - CLOCK_MARGIN_SECONDS
        await self._try_acquire_leadership()

    def _may_acquire_leadership(self) -> bool:
        """Return whether the keys are known and show no other leader.

        A restored store may have lost the lease of a leader that has not noticed it yet.
        """
        if self._term is not None or self._revision == 0 or self._stopping:
            return False
        if now() - self._cluster_state.restored_at < LEASE_SECONDS:
            return False
        if self._uses_feed() or self._cluster_state.catalog_index is None:
            return False
        return not self._is_led_by_another()

    def _is_led_by_another(self) -> bool:
        """Return whether the last known leader key is another instance's.

        A key with the lease of this instance is left from a term that has ended here.
        """
        known = self._keys.get(LEADER_KEY)
        return known is not None and known.value != self._leader_value()

    async def _try_acquire_leadership(self) -> None:
        """Write the leader key if, by the last known state, no other instance holds it.

        When a term has ended here but its key still exists, the key is written again. This starts
        a new term with a higher revision, so that no epoch is used twice.
        """
        if not self._may_acquire_leadership():
            return
        known = self._keys.get(LEADER_KEY)
        expected = known.mod_revision if known is not None else 0
        lease, value = self._lease, self._leader_value()
        try:
            result = await self._store.write([Write(LEADER_KEY, value, expected, lease)])
        except OutcomeUnknown:
            await self._confirm_leadership(value, expected)
            return
        leader = result.current.values_by_key[LEADER_KEY]
        if result.accepted and value == self._leader_value():
            self._keys[LEADER_KEY] = leader
            self._begin_term(leader.mod_revision)
        elif not result.accepted and leader.value is not None:
            self._keys[LEADER_KEY] = leader

    async def _confirm_leadership(self, value: bytes, revision_before: int) -> None:
        """Begin the term if the write of the leader key has taken effect.

        Used after a write whose outcome is unknown because its response was lost.
        """
        found = (await self._store.read([LEADER_KEY])).values_by_key[LEADER_KEY]
        holds_lease = value == self._leader_value()
        if holds_lease and found.value == value and found.mod_revision > revision_before:
            self._begin_term(found.mod_revision)

    def _leader_value(self) -> bytes:
        """Return the value of the leader key for this instance and lease, which is unique."""
        return json.dumps({"instance": self._instance, "lease": self._lease}).encode()

    def _begin_term(self, revision: int) -> None:
        self._term = Term(revision)
        self._log.state_change("lead-taken", revision=revision, until=self._lease_until)
        self._on_term_change()

    def _end_term(self, reason: str) -> None:
        if self._term is None:
            return
        self._log.state_change("lead-lost", revision=self._term.revision, reason=reason)
        self._term = None
        self._on_term_change()

    async def _watch_once(self) -> None:
        if self._uses_feed() and self._keys_listed:
            self._revision = 0
            await asyncio.sleep(FEED_CHECK_SECONDS)
            return
        try:
            await self._read_keys()
            if self._revision:
                await asyncio.sleep(BATCH_SECONDS)
        except HistoryLost:
            self._revision = 0
        except PlatformError:
            # The lease loop logs that the store is unavailable.
            self._revision = 0
            await asyncio.sleep(self._retry_pause(RETRY_SECONDS))

    async def _read_keys(self) -> None:
        """Read the keys of all instances, or wait for changes, and apply the result."""
        if self._revision == 0:
            snapshot = await self._store.read_prefix(KEY_PREFIX)
            self._keys = dict(snapshot.values_by_key)
            self._revision = snapshot.revision
            self._listed_at = now()
            self._keys_listed = True
            self._cluster_state.note_era(era_of(snapshot.revision))
        else:
            changes = await self._store.watch(KEY_PREFIX, self._revision, WATCH_WAIT_SECONDS)
            for change in changes.changed:
                if change.value is None:
                    self._keys.pop(change.key, None)
                else:
                    self._keys[change.key] = change
            self._revision = changes.revision if self._may_watch_on(changes.changed) else 0
        self._update_instances()
        self._on_keys(self._keys)
        self._wake.set()

    def _may_watch_on(self, changed: Sequence[KeyValue]) -> bool:
        """Return whether the next changes can be watched without listing the keys first.

        A watch can miss changes, so the keys are listed again after each watch that has returned
        none. Keys of duties change so often that each watch returns some, and do not count.
        """
        if any(not change.key.startswith(DUTIES_PREFIX) for change in changed):
            return True
        return bool(changed) and now() - self._listed_at < WATCH_WAIT_SECONDS

    def _peer(self, registered: KeyValue) -> Peer:
        """Return the instance that a key registers.

        An instance whose value or address is invalid has no address; it only counts as registered.
        """
        name = EntryId(registered.key.removeprefix(INSTANCES_PREFIX))
        content = registered.value or b"{}"
        try:
            if len(content) > MAX_REGISTRATION_BYTES:
                raise ValueError(f"it has over {MAX_REGISTRATION_BYTES} bytes")
            value = json.loads(content)
            address = value.get("peers")
            data_centre = DataCentreId(str(value.get("data_centre"))[:MAX_DATA_CENTRE_LENGTH])
        except (ValueError, AttributeError, RecursionError) as error:
            self._log.alarm("instance-unreadable", key=registered.key, reason=error)
            return Peer(name, UNKNOWN_DATA_CENTRE, None)
        return Peer(name, data_centre, address if _is_reachable(address) else None)

    def _update_instances(self) -> None:
        registered = [v for key, v in self._keys.items() if key.startswith(INSTANCES_PREFIX)]
        self._cluster_state.accept_peers(self._peers.decode_all(registered))
        leader = self._keys.get(LEADER_KEY)
        if self._term is None or leader is None:
            return
        if leader.mod_revision > self._term.revision:
            self._end_term("another instance leads")
