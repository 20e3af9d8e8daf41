"""Instances of a fleet in virtual time: their store, their registrations, and the feed."""

import asyncio
import json
import math
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from unittest import mock

from websockets.exceptions import ConnectionClosed, ConnectionClosedError
from websockets.frames import Close

from cactuspass._platform import KeyValue, LeaseId, Snapshot, Write, WriteResult
from cactuspass.exceptions import PlatformUnavailable
from cactuspass.fleet import (
    _cluster_state,
    _feed_follower,
    _feed_source,
    _presence,
    _sync,
)
from cactuspass.fleet._catalog import Catalog, Evacuations, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._directory import (
    Directory,
    OperatorDocuments,
    UpstreamChanges,
    UpstreamListing,
)
from cactuspass.fleet._feed_follower import FeedFollower
from cactuspass.fleet._feed_source import FeedSource
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._presence import Presence
from cactuspass.fleet._registration import INSTANCES_PREFIX, REGISTRATION_SECONDS
from cactuspass.fleet._store import Changes, SharedStore
from cactuspass.fleet._store_retries import StoreRetries
from cactuspass.fleet._sync import OperatorSync, UpstreamSync
from cactuspass.fleet._upstreams import Upstream
from cactuspass.models import EntryId
from tests.fleet_path import recording_log, route
from tests.fleet_world import ENGINE, SERVICE, hosts

ITEMS_PER_PAGE = 50
STORE_ANSWER_SECONDS = 0.004
LINK_SECONDS = 0.0014
CONNECT_COST_SECONDS = 0.003  # processor time of a source for a new connection
REGISTERED_UPSTREAMS = 1095
MODELLED_UPSTREAMS = 40  # those that the instances are really told of
MAX_AGE_SECONDS = 2.4
STEP_SECONDS = 0.05
OPERATORS_CALL = "operators"
REGISTRY_CALL = "registry"
REGISTRY_WATCH_CALL = "registry-watch"


def clock() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


def busiest(times: Iterable[float], window: float) -> int:
    """Return the largest number of events within a window of so many seconds."""
    ordered = sorted(times)
    first, most = 0, 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


class StoreCall(NamedTuple):
    """A call to the store; each page of a listing is one."""

    at: float
    instance: EntryId
    kind: str
    is_write: bool


class WorldStore:
    """The keys and leases of the store, and the calls that reached it.

    :ivar rejected: instances whose calls the store rejects.
    """

    def __init__(self) -> None:
        self.calls: list[StoreCall] = []
        self.rejected: set[EntryId] = set()
        self._values_by_key: dict[str, tuple[KeyValue, LeaseId | None]] = {}
        self._history: list[KeyValue] = []
        self._expiry_by_lease: dict[LeaseId, float] = {}
        self._seconds_by_lease: dict[LeaseId, int] = {}
        self.revision = 1
        self._changed = asyncio.Event()

    def register(self, peers: Iterable[Peer]) -> None:
        """Register instances as an earlier process of each did."""
        for peer in peers:
            fields = {
                "instance": peer.instance,
                "data_centre": peer.data_centre,
                "peers": peer.address,
            }
            lease = self.grant(REGISTRATION_SECONDS)
            self.put(f"{INSTANCES_PREFIX}{peer.instance}", json.dumps(fields).encode(), lease)

    def grant(self, seconds: int) -> LeaseId:
        """Create a lease."""
        lease = LeaseId(len(self._seconds_by_lease) + 1)
        self._seconds_by_lease[lease] = seconds
        self._expiry_by_lease[lease] = clock() + seconds
        return lease

    def keep_alive(self, lease: LeaseId) -> float:
        """Renew a lease; return the seconds until it ends."""
        if lease not in self._expiry_by_lease:
            return 0.0
        seconds = self._seconds_by_lease[lease]
        self._expiry_by_lease[lease] = clock() + seconds
        return seconds

    def end(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._expiry_by_lease.pop(lease, None)
        for key in [k for k, (_, held) in self._values_by_key.items() if held == lease]:
            self.put(key, None)

    def put(self, key: str, value: bytes | None, lease: LeaseId | None = None) -> KeyValue:
        """Set a key, or delete it."""
        self.revision += 1
        written = KeyValue(key, value, self.revision)
        self._history.append(written)
        if value is None:
            self._values_by_key.pop(key, None)
        else:
            self._values_by_key[key] = written, lease
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return written

    def end_expired_leases(self) -> None:
        """End the leases that were not renewed in time."""
        for lease in [k for k, expiry in self._expiry_by_lease.items() if expiry < clock()]:
            self.end(lease)

    def get(self, key: str) -> KeyValue:
        """Return a key."""
        return self._values_by_key[key][0] if key in self._values_by_key else KeyValue(key, None, 0)

    def under(self, prefix: str) -> dict[str, KeyValue]:
        """Return the keys under a prefix."""
        return {k: v for k, (v, _) in self._values_by_key.items() if k.startswith(prefix)}

    def changes(self, prefix: str, after: int) -> tuple[KeyValue, ...]:
        """Return the changes under a prefix after a revision."""
        newer = (item for item in reversed(self._history) if item.mod_revision > after)
        return tuple(reversed([item for item in newer if item.key.startswith(prefix)]))

    async def wait_for_change(self) -> None:
        """Wait until some key changes."""
        await self._changed.wait()


class StoreClient(SharedStore):
    """The store as one instance calls it."""

    def __init__(self, store: WorldStore, instance: EntryId) -> None:
        self._store = store
        self._instance = instance

    async def call(self, kind: str, pages: int = 1, is_write: bool = False) -> None:
        """Make a call, and further ones for the pages of a listing.

        :param pages: number of pages.
        :raises PlatformUnavailable: if the store rejects the calls of this instance.
        """
        for _ in range(max(1, pages)):
            self._store.calls.append(StoreCall(clock(), self._instance, kind, is_write))
            await asyncio.sleep(STORE_ANSWER_SECONDS)
            if self._instance in self._store.rejected:
                raise PlatformUnavailable("the store refused the call")
        self._store.end_expired_leases()

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys."""
        await self.call("read")
        return Snapshot({key: self._store.get(key) for key in keys}, self._store.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read the keys under a prefix."""
        pages = math.ceil(len(self._store.under(prefix)) / ITEMS_PER_PAGE)
        await self.call("list", pages)
        return Snapshot(self._store.under(prefix), self._store.revision)

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Wait for changes."""
        await self.call("watch")
        until = clock() + wait
        while not self._store.changes(prefix, after_revision) and clock() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._store.wait_for_change()
            except TimeoutError:
                break
        return Changes(self._store.changes(prefix, after_revision), self._store.revision)

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Make all writes or none."""
        await self.call("write", is_write=True)
        current = {write.key: self._store.get(write.key) for write in writes}
        if any(current[w.key].mod_revision != w.expected_mod_revision for w in writes):
            return WriteResult(False, Snapshot(current, self._store.revision))
        written = {w.key: self._store.put(w.key, w.value, w.lease) for w in writes}
        return WriteResult(True, Snapshot(written, self._store.revision))

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Create a lease."""
        await self.call("grant", is_write=True)
        return self._store.grant(seconds)

    async def keep_lease_alive(self, lease: LeaseId) -> float:
        """Renew a lease."""
        await self.call("renew", is_write=True)
        return self._store.keep_alive(lease)

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        await self.call("revoke", is_write=True)
        self._store.end(lease)


class WorldDirectory(Directory):
    """The operators' documents, and a registry in which some upstream always changes."""

    def __init__(self, client: StoreClient, upstreams: tuple[Upstream, ...]) -> None:
        self._client = client
        self._upstreams = upstreams

    async def read_operators(self) -> OperatorDocuments:
        """Read the documents."""
        await self._client.call(OPERATORS_CALL)
        catalog = Catalog(1, (route(),), {SERVICE: Service(SERVICE, engine=ENGINE)})
        return OperatorDocuments(catalog, Evacuations(), 1)

    async def read_upstreams(self) -> UpstreamListing:
        """List the registry."""
        await self._client.call(REGISTRY_CALL, math.ceil(REGISTERED_UPSTREAMS / ITEMS_PER_PAGE))
        return UpstreamListing(self._upstreams, 1)

    async def watch_upstreams(self, after_revision: int, wait: float) -> UpstreamChanges:
        """Return one upstream, whose entry was renewed."""
        await self._client.call(REGISTRY_WATCH_CALL)
        return UpstreamChanges(self._upstreams[:1], (), after_revision)


class MemoryTransport:
    """The transport of a connection in memory."""

    def __init__(self, connection: "MemoryConnection") -> None:
        self._connection = connection

    def abort(self) -> None:
        """Close the connection without a close frame."""
        self._connection.end(None)


class MemoryConnection:
    """One end of a WebSocket connection in memory."""

    remote_address = None

    def __init__(self) -> None:
        self.other: MemoryConnection = self
        self.transport = MemoryTransport(self)
        self.is_silent = False
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._closed: ConnectionClosed | None = None

    def end(self, close: Close | None) -> None:
        """Close both ends; the other machine notices nothing when this one has lost power."""
        for end in (self,) if self.is_silent else (self, self.other):
            if end._closed is None:
                end._closed = ConnectionClosedError(close, None)
                end._received.put_nowait(None)

    async def send(self, data: bytes) -> None:
        """Send a message to the other end."""
        if self._closed is not None:
            raise self._closed
        if self.is_silent or self.other.is_silent:
            return
        loop, other = asyncio.get_running_loop(), self.other
        loop.call_later(LINK_SECONDS, other._received.put_nowait, data)

    async def recv(self, decode: bool | None = None) -> bytes:
        """Return the next message."""
        data = await self._received.get()
        if data is None:
            assert self._closed is not None
            raise self._closed
        return data

    async def close(self, code: int, reason: str) -> None:
        """Close the connection with a close frame."""
        self.end(Close(code, reason))

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the messages until the connection is closed."""
        while True:
            yield await self.recv()


@dataclass
class WorldInstance:
    """A running process of an instance.

    :ivar ready_at: time at which it first had a state that it may serve by.
    :ivar max_state_age: highest age of its state, in seconds, since it was ready.
    """

    peer: Peer
    started_at: float
    cluster_state: ClusterState
    source: FeedSource
    follower: FeedFollower
    presence: Presence
    syncs: tuple[OperatorSync, UpstreamSync]
    busy_until: float = 0.0
    connections: list[MemoryConnection] = field(default_factory=list)
    tasks: list["asyncio.Task[None]"] = field(default_factory=list)
    ready_at: float | None = None
    max_state_age: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether it knows the documents and the upstreams, as the readiness page asks."""
        state = self.cluster_state
        if state.catalog_index is None or not state.view.upstreams_by_id:
            return False
        if state.operators_age() >= MAX_AGE_SECONDS:
            return False
        return self.presence.has_listed_keys or self.follower.is_active

    def note_readiness(self) -> None:
        """Note that it is ready, and then how old its state gets."""
        if self.ready_at is not None:
            age = self.cluster_state.operators_age()
            self.max_state_age = max(self.max_state_age, age)
        elif self.is_ready:
            self.ready_at = clock()


class FeedWorld:
    """Instances that share a store and have connections to each other in memory.

    :param peers: all instances, running or not.
    :ivar connects: time and address of each new connection, refused ones included.
    """

    def __init__(self, peers: Sequence[Peer]) -> None:
        self.peers_by_id = {peer.instance: peer for peer in peers}
        self.store = WorldStore()
        self.running_by_id: dict[EntryId, WorldInstance] = {}
        self.connects: list[tuple[float, str]] = []
        self._upstreams = tuple(hosts(MODELLED_UPSTREAMS))
        self._running_by_address: dict[str, WorldInstance] = {}
        self._dark_until_by_address: dict[str, float] = {}

    async def start_all(self, peers: Iterable[Peer], within: float) -> None:
        """Start a process of each instance at some time within so many seconds."""
        async with asyncio.TaskGroup() as tasks:
            for peer in peers:
                tasks.create_task(self.start(peer, random.uniform(0.0, within)))
            tasks.create_task(self.run(within))

    async def start(self, peer: Peer, delay: float = 0.0) -> None:
        """Start a process of an instance after a delay, with nothing known."""
        await asyncio.sleep(delay)
        instance = self._make(peer)
        self.running_by_id[peer.instance] = instance
        assert peer.address is not None
        self._running_by_address[peer.address] = instance
        for sync in instance.syncs:
            await sync.start()
        await instance.follower.start()
        await instance.presence.start()

    async def lose_power(self, instance_id: EntryId, seconds: float) -> None:
        """End an instance without a sign to others; its machine answers nothing for a while."""
        instance = self.running_by_id[instance_id]
        assert instance.peer.address is not None
        for connection in instance.connections:
            connection.is_silent = True
        self._dark_until_by_address[instance.peer.address] = clock() + seconds
        await self.kill(instance_id)

    async def kill(self, instance_id: EntryId) -> None:
        """End the process of an instance at once."""
        instance = self.running_by_id.pop(instance_id)
        assert instance.peer.address is not None
        del self._running_by_address[instance.peer.address]
        for component in (*instance.syncs, instance.follower, instance.presence):
            await component.stop()
        for connection in instance.connections:
            connection.end(None)
        for task in instance.tasks:
            task.cancel()

    async def run(self, seconds: float) -> None:
        """Let the time pass, and note which instances are ready."""
        until = clock() + seconds
        while clock() < until:
            await asyncio.sleep(STEP_SECONDS)
            for instance in self.running_by_id.values():
                instance.note_readiness()

    async def connect(self, url: str, **_: object) -> MemoryConnection:
        """Connect to the feed of an instance, which accepts one connection after the other.

        :raises ConnectionRefusedError: if no process listens there.
        """
        address = url.removeprefix("ws://").removesuffix("/")
        self.connects.append((clock(), address))
        await asyncio.sleep(2 * LINK_SECONDS)
        await asyncio.sleep(self._dark_until_by_address.get(address, 0.0) - clock())
        source = self._running_by_address.get(address)
        if source is None:
            raise ConnectionRefusedError(f"nothing listens at {address}")
        source.busy_until = max(clock(), source.busy_until) + CONNECT_COST_SECONDS
        await asyncio.sleep(source.busy_until - clock())
        near, far = MemoryConnection(), MemoryConnection()
        near.other, far.other = far, near
        self._connecting().connections.append(near)
        source.connections.append(far)
        source.tasks.append(asyncio.create_task(source.source._serve(far)))  # type: ignore[arg-type]
        return near

    def _connecting(self) -> WorldInstance:
        """Return the instance whose follower opens a connection in the current task."""
        task = asyncio.current_task()
        return next(i for i in self.running_by_id.values() if i.follower._loop_task is task)

    def leaders(self) -> list[EntryId]:
        """Return the running instances that lead."""
        return [i for i, found in self.running_by_id.items() if found.presence.term is not None]

    async def run_until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Let the time pass until a condition holds; return after how many seconds it did.

        :return: infinity if it did not hold in time.
        """
        since = clock()
        while clock() < since + seconds:
            if condition():
                return clock() - since
            await self.run(STEP_SECONDS)
        return math.inf

    def calls(self, since: float) -> list[StoreCall]:
        """Return the calls to the store since a time."""
        return [call for call in self.store.calls if call.at >= since]

    def readers(self, since: float) -> set[EntryId]:
        """Return the instances that have read documents or the registry since a time."""
        kinds = (OPERATORS_CALL, REGISTRY_CALL, REGISTRY_WATCH_CALL)
        return {call.instance for call in self.calls(since) if call.kind in kinds}

    def most_connects(self, since: float) -> int:
        """Return the most connections that one instance was asked for since a time."""
        counts = Counter(address for at, address in self.connects if at >= since)
        return max(counts.values(), default=0)

    def _make(self, peer: Peer) -> WorldInstance:
        log, _ = recording_log()
        state = ClusterState(log, 5)
        client = StoreClient(self.store, peer.instance)
        directory = WorldDirectory(client, self._upstreams)
        retries = StoreRetries(peer.instance, state)
        follower = FeedFollower(
            peer.instance,
            peer.data_centre,
            state,
            lambda: presence.term is not None,
            lambda: None,
            log,
            max_age=MAX_AGE_SECONDS,
            are_peers_known=lambda: presence.has_listed_keys,
        )

        def uses_feed() -> bool:
            return follower.is_expected

        presence = Presence(
            client,
            peer.instance,
            state,
            log,
            data_centre=peer.data_centre,
            address=peer.address,
            uses_feed=uses_feed,
            retry_pause=retries.pause,
        )
        syncs = (
            OperatorSync(
                directory,
                state,
                log,
                uses_feed,
                retries.pause,
                follower.record_own_read,
                follower.catch_up,
            ),
            UpstreamSync(
                directory,
                state,
                log,
                is_leader=lambda: presence.term is not None,
                uses_feed=uses_feed,
                retry_pause=retries.pause,
            ),
        )
        source = FeedSource(None, state, log, MAX_AGE_SECONDS)
        return WorldInstance(peer, clock(), state, source, follower, presence, syncs)


def patches(world: FeedWorld) -> list[Any]:
    """Return the patches that give the instances virtual time and connections in memory."""
    modules = (_cluster_state, _feed_follower, _feed_source, _presence, _sync)
    clocks = [mock.patch.object(module, "now", clock) for module in modules]
    return [*clocks, mock.patch.object(_feed_follower, "connect", world.connect)]
