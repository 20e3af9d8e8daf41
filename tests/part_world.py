"""Part guards of several instances, joined by a simulated network with delays and losses."""

import heapq
import itertools
import random
import unittest
from collections.abc import Callable
from unittest import mock

from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._messages import (
    BlockMessage,
    PartMessage,
    decode_part_message,
    encode_part_message,
)
from cactuspass.fleet.prompt_parts._parts import (
    Block,
    BlockKey,
    BrokenAttempt,
    PartKey,
    PromptIdentity,
    PromptPartId,
)
from cactuspass.models import CustomerId, DataCentreId, EntryId, ModelId, RequestId, ServiceId
from tests.fleet_path import recording_log

SERVICE = ServiceId("chat")
MODEL = ModelId("large")
CUSTOMER = CustomerId("customer-1")
UNIX_TIME = 1_700_000_000.0
START_SECONDS = 1000.0
RESEND_SECONDS = 0.25
MODULES_WITH_RANDOM_CHOICES = (
    "cactuspass.fleet.prompt_parts._guard",
    "cactuspass.fleet.prompt_parts._reporter",
    "cactuspass.fleet.prompt_parts._crash_evidence",
)


def part_key(part: str) -> PartKey:
    """Return the key of a part."""
    return PartKey(SERVICE, MODEL, PromptPartId(part))


def prompt(*parts: str, customer: str = CUSTOMER) -> PromptIdentity:
    """Return a prompt with some shared parts."""
    return PromptIdentity(
        SERVICE, MODEL, CustomerId(customer), tuple(PromptPartId(part) for part in parts)
    )


def block_of(*parts: str, version: int = 1, **changes: object) -> Block:
    """Return an active block for all customers."""
    fields: dict[str, object] = {
        "key": BlockKey(SERVICE, MODEL, tuple(PromptPartId(part) for part in parts)),
        "version": version,
        "customers": (),
        "is_active": True,
        "since": UNIX_TIME,
        "seconds": 600.0,
        "crashes": 2,
        "instances": (),
        "reason": "",
    }
    return Block(**{**fields, **changes})  # type: ignore[arg-type]


class PartWorld:
    """Instances whose clock and network are simulated; every message is encoded and decoded.

    :param delay: longest time in seconds until a message arrives.
    :param loss: share of messages that are lost.
    """

    def __init__(
        self, instance_count: int, seed: int = 1, delay: float = 0.005, loss: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.delay = delay
        self.loss = loss
        self.at = START_SECONDS
        self.sent: list[tuple[int, PartMessage]] = []
        self.cut_off: set[int] = set()
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._metrics = Metrics()
        self.log, self.handler = recording_log()
        peers = tuple(
            Peer(
                EntryId(f"front-fukuoka-{number}"), DataCentreId("here"), f"127.0.0.1:{number + 1}"
            )
            for number in range(instance_count)
        )
        self.peers = peers
        self.guards = [self._create(number) for number in range(instance_count)]

    def _create(self, number: int) -> PartGuard:
        cluster_state = ClusterState(self.log)
        cluster_state.peers = self.peers
        return PartGuard(
            EntryId(f"front-fukuoka-{number}"),
            cluster_state,
            self.log,
            self._metrics,
            lambda message: self.send(number, message),
            lambda block: None,
            self.call_later,
        )

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function at a later simulated time."""
        heapq.heappush(self._calls, (self.at + seconds, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.at + seconds
        while self._calls and self._calls[0][0] <= until:
            self.at, _, call = heapq.heappop(self._calls)
            call()
        self.at = until

    def send(self, source: int, message: PartMessage) -> None:
        """Send a message to all other instances, as the hints do."""
        self._broadcast(source, message)
        if isinstance(message, BlockMessage):
            self.call_later(RESEND_SECONDS, lambda: self._broadcast(source, message))

    def _broadcast(self, source: int, message: PartMessage) -> None:
        self.sent.append((source, message))
        datagram = encode_part_message(message)
        assert datagram is not None, f"{type(message).__name__} does not fit into a datagram"
        received = decode_part_message(datagram)
        assert received == message
        for number, guard in enumerate(self.guards):
            is_cut = number in self.cut_off or source in self.cut_off
            if number != source and not is_cut and self.rng.random() >= self.loss:
                self.call_later(
                    self.rng.uniform(0.0005, self.delay),
                    lambda guard=guard: guard.receive(message),  # type: ignore[misc]
                )

    def begin(self, instance: int, *parts: str, customer: str = CUSTOMER) -> None:
        """Let an answer begin."""
        request = RequestId(f"q{next(self._numbers)}")
        self.guards[instance].note_begun(prompt(*parts, customer=customer), request)

    def crash(
        self,
        instance: int,
        upstream: str,
        *parts: str,
        customer: str = CUSTOMER,
        sent_ago: float = 0.1,
        was_writing: bool = True,
    ) -> None:
        """Let an upstream close the connection of a request before its answer has begun."""
        guard = self.guards[instance]
        guard.note_own_break(UpstreamId(upstream))
        guard.note_crash(
            RequestId(f"q{next(self._numbers)}"),
            prompt(*parts, customer=customer),
            None,
            BrokenAttempt(Lifetime(UpstreamId(upstream), 1), self.at - sent_ago, was_writing),
        )

    def active(self, instance: int = 0) -> list[Block]:
        """Return the blocks that an instance has in force."""
        return self.guards[instance]._cluster_state.blocks.active

    def blocked(self, instance: int = 0) -> set[str]:
        """Return the parts of the active blocks of an instance."""
        return {"+".join(block.key.parts) for block in self.active(instance)}

    @property
    def all_blocked(self) -> set[str]:
        """The parts that any instance blocks."""
        return set().union(*(self.blocked(number) for number in range(len(self.guards))))


class PartWorldCase(unittest.TestCase):
    """Base of tests in simulated time."""

    def start(
        self,
        instance_count: int,
        seed: int = 1,
        delay: float = 0.005,
        loss: float = 0.0,
        delay_seed: int | None = None,
    ) -> PartWorld:
        """Return a new world whose clock the product uses until the test ends.

        The world, and so the verdict of a test, follows from the seeds alone.

        :param delay_seed: seed of the product's random choices; by default the same seed.
        """
        world: list[PartWorld] = []

        def read_clock(*_: object) -> float:
            return world[0].at if world else START_SECONDS

        clock = mock.Mock(CLOCK_BOOTTIME=0, clock_gettime=read_clock)
        patches = [
            mock.patch("cactuspass._clock.time", clock),
            mock.patch(
                "cactuspass.fleet.prompt_parts._block_changes.time.time",
                lambda: UNIX_TIME + read_clock(),
            ),
        ]
        rng = random.Random(seed if delay_seed is None else delay_seed)
        patches += [mock.patch(f"{module}.random", rng) for module in MODULES_WITH_RANDOM_CHOICES]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        world.append(PartWorld(instance_count, seed, delay, loss))
        return world[0]
