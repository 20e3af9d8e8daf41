"""Datagrams, bytes and processor time of the load exchange by number of instances."""

import asyncio
import json
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import product

import logbook

from cactuspass.fleet._catalog import Catalog, EngineSpec, ModelSpec, Route, RouteKind, Service
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._hints import Hints
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._peers import Peer
from cactuspass.fleet._upstreams import GroupKey, Membership, MemberState, Upstream, UpstreamId
from cactuspass.fleet.load_exchange import LoadExchange, RequestMeter
from cactuspass.fleet.spill import ShareDecider
from cactuspass.models import CustomerId, DataCentreId, EntryId, GroupId, ModelId, ServiceId

PLACES = tuple(DataCentreId(f"centre-{number}") for number in range(3))
SERVICE = ServiceId("generate1a")
MODELS = tuple(ModelId(f"model-{number}") for number in range(4))
CUSTOMERS = tuple(CustomerId(f"customer{number}") for number in range(4))
SLOTS = 24
HEADS_PER_INSTANCE = 8
INTERVAL_SECONDS = 0.25
UDP_IP_HEADER_BYTES = 28
RUN_SECONDS = 20.0
QUICK_RUN_SECONDS = 5.0
WARM_UP_SECONDS = 3.0
RECEIPTS = 20_000
BATCH = 50


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    :param heads: heads of groups in all data centres.
    """

    instances: int
    heads: int


@dataclass(frozen=True, slots=True)
class RoleFigures:
    """Cost of one instance per second.

    :param cpu_share: share of a core, including the receipt and the sending of datagrams.
    """

    sent: float
    received: float
    sent_bytes: float
    remote_bytes: float
    cpu_share: float


@dataclass(frozen=True, slots=True)
class ExchangeFigures:
    """Cost of the exchange at one size.

    :param coordinator: the instance of the first data centre that sums up.
    :param other: the mean of the other instances there.
    """

    size: Size
    coordinator: RoleFigures
    other: RoleFigures
    largest: int


@dataclass(slots=True)
class _Node:
    peer: Peer
    exchange: LoadExchange
    loads: LoadTable
    meter: RequestMeter
    used_seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)


class World:
    """All instances in one process; their sends go to a socket that nobody reads.

    :param sender: sends the datagrams to that socket.
    """

    def __init__(self, size: Size, sender: Hints) -> None:
        self._rng = random.Random(1)
        self._at = 0.0
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.bind(("127.0.0.1", 0))
        self._sink_address = f"127.0.0.1:{self._sink.getsockname()[1]}"
        self._sender = sender
        self._due: list[tuple[str, bytes, str]] = []
        self.largest = 0
        self._heads = [_head(number) for number in range(size.heads)]
        peers = tuple(
            Peer(EntryId(f"front-{place}-{number}"), place, f"10.0.{index}.{number}:7000")
            for (index, place), number in product(enumerate(PLACES), range(size.instances // 3))
        )
        self.nodes = [self._node(peer, peers) for peer in peers]
        self._by_address = {node.peer.address: node for node in self.nodes}

    def run(self, seconds: float) -> None:
        """Let requests and exchanges happen for a time."""
        for _ in range(round(seconds / INTERVAL_SECONDS)):
            self._at += INTERVAL_SECONDS
            for node in self.nodes:
                self._change_loads(node)
                _timed(node, node.exchange.exchange)
                self._deliver()

    def reset(self) -> None:
        """Forget what was measured so far."""
        for node in self.nodes:
            node.used_seconds = 0.0
            node.counts.clear()

    def close(self) -> None:
        """Close the socket."""
        self._sink.close()

    def _node(self, peer: Peer, peers: tuple[Peer, ...]) -> _Node:
        log = DecisionLog(peer.instance, logbook.NullHandler())
        state = ClusterState(log)
        engine = EngineSpec(SLOTS, {model: ModelSpec(model, 1) for model in MODELS})
        route = Route("r", "h", "/", RouteKind.STREAM, (), 10.0, 1.0)
        services = {SERVICE: Service(SERVICE, engine=engine)}
        state.accept_catalog(Catalog(1, (route,), services))
        state.accept_upstreams(self._heads, 1)
        state.peers = peers
        loads, meter = LoadTable(), RequestMeter()
        exchange = LoadExchange(
            peer.instance,
            peer.data_centre,
            2,
            state,
            loads,
            meter,
            lambda address, datagram: self._send(peer, address, datagram),
            log,
            Metrics(),
            self._rng,
            ShareDecider(state, peer.data_centre, log).decide,
            lambda: self._at,
        )
        return _Node(peer, exchange, loads, meter)

    def _send(self, peer: Peer, address: str, datagram: bytes) -> None:
        self._sender.send_datagram(self._sink_address, datagram)
        assert peer.address is not None
        self._due.append((address, datagram, peer.address))

    def _deliver(self) -> None:
        """Hand over the datagrams that were sent, and those that are sent because of them."""
        while self._due:
            address, datagram, source = self._due.pop(0)
            sender, receiver = self._by_address[source], self._by_address[address]
            size = len(datagram) + UDP_IP_HEADER_BYTES
            is_remote = sender.peer.data_centre != receiver.peer.data_centre
            sender.counts.update(sent=1, sent_bytes=size, remote_bytes=size * is_remote)
            receiver.counts["received"] += 1
            self.largest = max(self.largest, len(datagram))
            _timed(receiver, lambda: receiver.exchange.receive(datagram, source))  # noqa: B023

    def _change_loads(self, node: _Node) -> None:
        for load in node.loads.loads_by_id.values():
            load.in_flight = 0
        for head in self._rng.sample(self._heads, min(HEADS_PER_INSTANCE, len(self._heads))):
            node.loads.load(head.upstream_id).in_flight = 1 + self._rng.randrange(3)
        for model in MODELS:
            key = (SERVICE, model)
            node.meter.note_arrival(key)
            node.meter.note_begun(key, self._rng.choice(CUSTOMERS), is_in_time=True)
            node.meter.note_ended(key, 1.5)


async def measure_receipt_seconds(hints: Hints) -> float:
    """Return the processor time in which an instance receives one datagram from the kernel."""
    datagram = b"\x82\x00" + bytes(600)
    used = 0.0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(RECEIPTS // BATCH):
            for _ in range(BATCH):
                sender.sendto(datagram, ("127.0.0.1", hints.port or 0))
            started = time.process_time()
            for _ in range(BATCH):
                await asyncio.sleep(0)
            used += time.process_time() - started
    return used / RECEIPTS


def measure(size: Size, seconds: float, receipt_seconds: float, hints: Hints) -> ExchangeFigures:
    """Measure the exchange at one size."""
    world = World(size, hints)
    world.run(WARM_UP_SECONDS)
    world.reset()
    world.run(seconds)
    world.close()
    local = [node for node in world.nodes if node.peer.data_centre == PLACES[0]]
    coordinators = [n for n in local if n.exchange.coordinator == n.peer.instance]
    others = [n for n in local if n not in coordinators]
    return ExchangeFigures(
        size,
        _figures(coordinators, seconds, receipt_seconds),
        _figures(others, seconds, receipt_seconds),
        world.largest,
    )


def _figures(nodes: Iterable[_Node], seconds: float, receipt_seconds: float) -> RoleFigures:
    found = list(nodes)
    total: Counter[str] = Counter()
    for node in found:
        total.update(node.counts)
    scale = 1.0 / len(found) / seconds
    used = sum(node.used_seconds for node in found) + total["received"] * receipt_seconds
    return RoleFigures(
        total["sent"] * scale,
        total["received"] * scale,
        total["sent_bytes"] * scale,
        total["remote_bytes"] * scale,
        used * scale,
    )


def _timed(node: _Node, call: Callable[[], None]) -> None:
    started = time.process_time()
    call()
    node.used_seconds += time.process_time() - started


def _head(number: int) -> Upstream:
    upstream_id = UpstreamId(f"engine-{number % 3}-{number}")
    key = GroupKey(GroupId(f"g-{number}"), 1)
    return Upstream(
        upstream_id,
        SERVICE,
        "127.0.0.1:1",
        PLACES[number % 3],
        SLOTS,
        loaded=MODELS[number % len(MODELS)],
        membership=Membership(key, 0, MemberState.OPEN),
    )


SIZES = (Size(87, 30), Size(340, 30), Size(340, 120))


def run(quick: bool = False) -> tuple[ExchangeFigures, ...]:
    """Measure all sizes.

    :param quick: whether to measure for a shorter time.
    """
    return asyncio.run(_run(QUICK_RUN_SECONDS if quick else RUN_SECONDS))


async def _run(seconds: float) -> tuple[ExchangeFigures, ...]:
    log = DecisionLog("bench", logbook.NullHandler())
    hints = Hints("127.0.0.1:0", lambda: (), lambda _: None, log)
    await hints.start()
    receipt_seconds = await measure_receipt_seconds(hints)
    figures = tuple(measure(size, seconds, receipt_seconds, hints) for size in SIZES)
    await hints.stop()
    return figures


def main() -> None:
    """Print the figures at each size as JSON lines."""
    for figures in run():
        for role, found in (("coordinator", figures.coordinator), ("other", figures.other)):
            print(
                json.dumps(
                    {
                        "instances": figures.size.instances,
                        "heads": figures.size.heads,
                        "role": role,
                        "datagrams_sent": round(found.sent, 1),
                        "datagrams_received": round(found.received, 1),
                        "bytes_sent": round(found.sent_bytes),
                        "bytes_to_other_data_centres": round(found.remote_bytes),
                        "cpu_share": round(found.cpu_share, 4),
                        "largest": figures.largest,
                    }
                )
            )


if __name__ == "__main__":
    main()
