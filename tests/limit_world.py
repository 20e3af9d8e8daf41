"""Instances that share upstreams with limits, in virtual time, joined by a simulated network."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from cactuspass.fleet._catalog import Catalog, Service
from cactuspass.fleet._choices import NoUpstream, Selection, SelectionRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import AnswerNotes, StatedLimit
from cactuspass.fleet._limit_messages import CODEC, LimitDatagram
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._send_permit import SendPermit
from cactuspass.fleet._upstream_limits import UpstreamLimits
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import EntryId, RequestId
from tests.fleet_path import HERE, SERVICE, recording_log, route
from tests.virtual_time import VirtualLoop

CLOCKED_MODULES = (
    "_cluster_state",
    "_decision_log",
    "_limit_loans",
    "_limit_notices",
    "_limit_waits",
    "_upstream_limits",
)
LATENCY_SECONDS = 0.002
RUN_SECONDS = 0.02
MAX_WAIT_SECONDS = 0.15
WINDOW_SECONDS = 4.0


@dataclass
class LimitedUpstream:
    """An upstream that states a limit but serves all that it gets.

    :ivar rate: requests per second that its responses state; None if they state none.
    :ivar arrivals: times at which requests arrived.
    """

    registered: Upstream
    rate: float | None = None
    arrivals: list[float] = field(default_factory=list)

    def most_in_window(self, since: float, seconds: float = WINDOW_SECONDS) -> int:
        """Return the largest number of arrivals in a window.

        :param since: earliest beginning of the window.
        """
        times = [at for at in self.arrivals if at >= since]
        return max((sum(1 for at in times if t <= at < t + seconds) for t in times), default=0)

    def rate_between(self, since: float, until: float) -> float:
        """Return the arrivals per second in a period."""
        return sum(since <= at < until for at in self.arrivals) / (until - since)


class LimitInstance:
    """One instance: chooses upstreams, keeps to their limits and reads their responses."""

    def __init__(self, world: "LimitWorld", number: int, peers: tuple[Peer, ...]) -> None:
        self.world = world
        self.name = EntryId(f"here-{number}")
        self.log, self.handler = recording_log()
        self.cluster_state = ClusterState(self.log)
        catalog = Catalog(1, (route(),), {SERVICE: Service(SERVICE)})
        self.cluster_state.accept_catalog(catalog)
        self.cluster_state.accept_upstreams([u.registered for u in world.upstreams], 1)
        self.cluster_state.peers = peers
        self.cluster_state.record_operators_read(asyncio.get_running_loop().time())
        rng = random.Random(world.rng.random())
        self.limits = UpstreamLimits(
            self.cluster_state,
            self.name,
            self.log,
            Metrics(),
            rng,
            self._send_to_all,
            lambda address, message: world.send(self.name, EntryId(address), message),
        )
        self.selector = Selector(
            self.cluster_state, LoadTable(), HERE, rng, limits=self.limits.limits
        )
        self.outcomes: Counter[bool] = Counter()
        self.refusals: list[NoUpstream] = []

    def _send_to_all(self, message: LimitDatagram) -> None:
        for peer in self.cluster_state.peers:
            if peer.instance != self.name:
                self.world.send(self.name, peer.instance, message)

    async def serve(self, priority: int = 5) -> bool:
        """Serve one request; return whether an upstream got it."""
        loop = asyncio.get_running_loop()
        wanted = SelectionRequest(SERVICE, None, (), 1.0, priority=priority)
        found = await self.limits.waits.choose(
            (SERVICE, None),
            priority,
            lambda: self.selector.choose(wanted, loop.time()),
            MAX_WAIT_SECONDS,
        )
        if not isinstance(found, Selection):
            self.outcomes[False] += 1
            self.refusals.append(found)
            return False
        permit = SendPermit(self.limits.limits, found.upstream.lifetime, priority)
        was_sent = permit.acquire(loop.time())
        self.outcomes[was_sent] += 1
        if was_sent:
            await self._exchange(self.world.upstreams_by_id[found.upstream.upstream_id])
        return was_sent

    async def _exchange(self, upstream: LimitedUpstream) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        await asyncio.sleep(LATENCY_SECONDS)
        upstream.arrivals.append(loop.time())
        stated = None if upstream.rate is None else StatedLimit(upstream.rate, str(upstream.rate))
        await asyncio.sleep(RUN_SECONDS * self.world.rng.uniform(0.5, 3.0))
        notes = AnswerNotes(not_run=False, from_application=True, limit=stated)
        self.limits.notices.apply_answer(upstream.registered, notes, RequestId("q"), sent_at)


class LimitWorld:
    """Upstreams with limits and the instances that send to them.

    :param loss: share of the messages between instances that are lost.
    """

    def __init__(
        self, instances: int, rates: Sequence[float | None], seed: int = 1, loss: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.message_count = 0
        self.cut_off: set[EntryId] = set()
        self.upstreams = [
            LimitedUpstream(
                Upstream(UpstreamId(f"u{number}"), SERVICE, f"u{number}:1", HERE, slots=1000),
                rate,
            )
            for number, rate in enumerate(rates)
        ]
        self.upstreams_by_id = {u.registered.upstream_id: u for u in self.upstreams}
        self.peers = tuple(
            Peer(EntryId(f"here-{number}"), HERE, f"here-{number}") for number in range(instances)
        )
        self.instances = [LimitInstance(self, number, self.peers) for number in range(instances)]
        self.tasks: set[asyncio.Task[Any]] = set()

    def send(self, sender: EntryId, receiver: EntryId, message: LimitDatagram) -> None:
        """Deliver a message after a delay, unless it is lost."""
        self.message_count += 1
        if self.rng.random() < self.loss or {sender, receiver} & self.cut_off:
            return
        datagram = CODEC.encode(message)
        assert datagram is not None
        decoded = CODEC.decode(datagram)
        assert decoded == message
        target = next((i for i in self.instances if i.name == receiver), None)
        if target is not None:
            delay = LATENCY_SECONDS * self.rng.uniform(0.2, 2.0)
            asyncio.get_running_loop().call_later(delay, target.limits.receive, decoded)

    def restart(self, number: int) -> None:
        """Replace an instance by one that knows nothing of limits."""
        self.instances[number] = LimitInstance(self, number, self.peers)

    async def run(
        self,
        seconds: float,
        rate: float,
        weights: Sequence[float] | None = None,
        priority: Callable[[], int] = lambda: 5,
    ) -> None:
        """Let callers send requests at random times.

        :param rate: requests per second at all instances together.
        :param weights: how likely each instance is to get a request; None for all the same.
        :param priority: returns the priority of the next request.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            pause = self.rng.expovariate(rate)
            if loop.time() + pause >= end:
                break
            await asyncio.sleep(pause)
            for instance in self.instances:
                instance.cluster_state.record_operators_read(loop.time())
            numbers = range(len(self.instances))
            number = self.rng.choices(numbers, weights)[0]
            self._start(self.instances[number].serve(priority()))
        await asyncio.sleep(end - loop.time())

    def _start(self, call: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    @property
    def served_share(self) -> float:
        """Share of the requests that an upstream got."""
        outcomes = sum((instance.outcomes for instance in self.instances), Counter[bool]())
        return outcomes[True] / max(1, outcomes.total())


def in_virtual_time(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario in virtual time, with the clock of the instances."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner, ExitStack() as patches:
        loop = runner.get_loop()
        for module in CLOCKED_MODULES:
            patches.enter_context(mock.patch(f"cactuspass.fleet.{module}.now", loop.time))
        runner.run(scenario())
