"""CPU, traffic and memory of a node's control plane by number of entries and upstreams."""

import json
import time
import tracemalloc
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

from cactuspass._core import Core
from cactuspass._entry import build_systems
from cactuspass._messages import (
    ConfigurationRead,
    GroupSummary,
    HeartbeatReceived,
    Input,
    InstanceReported,
    InstancesListed,
    LoadState,
    Order,
    PlacementConfirmed,
    PlacementRead,
)
from cactuspass._peer_messages import Heartbeat, encode
from cactuspass._summaries import summarize_groups
from cactuspass._tables import LocalRow, Tables
from cactuspass.models import (
    BootId,
    Configuration,
    DataCentreId,
    EntryId,
    FabricDomainId,
    GroupDeclaration,
    GroupId,
    Incarnation,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    KindId,
    ModelId,
    PlacedGroup,
    Placement,
    Seat,
    UpstreamKind,
)

DATA_CENTRE = DataCentreId("dc-0")
OTHER_DATA_CENTRE = DataCentreId("dc-1")
KIND = KindId("draft")
MODEL = ModelId("roof-draft")
TICKS_PER_SECOND = 5
STATUS_PER_SECOND = 1
HEARTBEATS_PER_SECOND = 1
TCP_IP_HEADER_BYTES = 52
WEBSOCKET_HEADER_BYTES = 8
STATUS_EVENT_BYTES = 330
RUN_SECONDS = 20.0
QUICK_RUN_SECONDS = 6.0
WARM_UP_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Size:
    """Fleet size from the view of one node.

    :param local_entries: entries of the own data centre, this one included.
    :param other_entries: entries of other data centres that this node has connections to.
    :param upstreams: upstream instances of the own data centre.
    :param group_size: instances in each group.
    """

    local_entries: int
    other_entries: int
    upstreams: int
    group_size: int = 2


@dataclass(frozen=True, slots=True)
class ControlFigures:
    """Control cost of one node at one size.

    :param watched: instances with an event stream.
    :param cpu_share: share of a core that the decision layer uses without requests.
    :param peer_bytes: bytes/s sent to peers, with the headers of TCP/IP and WebSocket.
    :param event_bytes: bytes/s received from the event streams.
    :param state_bytes: memory of the tables and systems.
    """

    size: Size
    held_groups: int
    watched: int
    cpu_share: float
    heartbeat_bytes: int
    peer_bytes: float
    event_bytes: float
    state_bytes: int


class Node:
    """The decision layer of one node, with generated inputs in place of the I/O layer."""

    def __init__(self, size: Size) -> None:
        self._size = size
        self._now = 0.0
        local = LocalRow(EntryId("e-000"), Incarnation("i-0"), DATA_CENTRE, "127.0.0.1:1")
        self.tables = Tables(local, {KIND: UpstreamKind(KIND)})
        self._core = Core(self.tables, build_systems(Random(1)))
        self._placement = _placement(size)
        self._reports: dict[InstanceId, InstanceReported] = {}
        self._start()

    def run(self, seconds: float) -> float:
        """Advance the simulated clock; return the seconds of CPU time that the core used."""
        used = 0.0
        for tick in range(int(seconds * TICKS_PER_SECOND)):
            for message in self._inputs(tick):
                self._core.accept(message)
            started = time.process_time()
            orders = self._core.tick(self._now)
            used += time.process_time() - started
            self._discard(orders)
            self._now += 1 / TICKS_PER_SECOND
        return used

    def _start(self) -> None:
        self._core.accept(InstancesListed(tuple(_records(self._size))))
        declaration = next(iter(self._placement.groups_by_id.values())).declaration
        configuration = Configuration(1, {declaration.name: declaration})
        self._core.accept(ConfigurationRead(configuration, from_platform=True))
        self._core.accept(PlacementRead(self._placement, 5, self._now))

    def _discard(self, orders: Iterable[Order]) -> None:
        """Ignore the orders: the generated reports match the placement from the start."""

    def _inputs(self, tick: int) -> Iterable[Input]:
        if tick % TICKS_PER_SECOND == 0:
            yield PlacementConfirmed(5, self._now)
            yield from _heartbeats(self._size)
        for number, instance_id in enumerate(self.tables.instances_by_id):
            if number % TICKS_PER_SECOND == tick % TICKS_PER_SECOND:
                yield from _report(self._placement, instance_id)


def measure(size: Size, seconds: float) -> ControlFigures:
    """Measure one node at one size; memory after the warm-up, CPU time in the seconds after."""
    tracemalloc.start()
    node = Node(size)
    node.run(WARM_UP_SECONDS)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    used = node.run(seconds)
    tables = node.tables
    heartbeat = Heartbeat(1, (), 1, True, False, summarize_groups(tables, node._now))
    sent = len(encode(heartbeat)) + WEBSOCKET_HEADER_BYTES + TCP_IP_HEADER_BYTES
    peers = size.local_entries - 1 + size.other_entries
    watched = len(tables.instances_by_id)
    return ControlFigures(
        size=size,
        held_groups=len(tables.held_groups_by_id),
        watched=watched,
        cpu_share=used / seconds,
        heartbeat_bytes=len(encode(heartbeat)),
        peer_bytes=peers * sent * HEARTBEATS_PER_SECOND,
        event_bytes=watched * (STATUS_EVENT_BYTES + TCP_IP_HEADER_BYTES) * STATUS_PER_SECOND,
        state_bytes=state_bytes,
    )


SIZES = (
    Size(2, 4, 18),
    Size(8, 4, 18),
    Size(16, 4, 18),
    Size(49, 4, 18),
    Size(49, 12, 18),
    Size(2, 4, 36),
    Size(2, 4, 87),
    Size(49, 12, 87),
    Size(49, 291, 87),
    Size(49, 12, 87, group_size=16),
)
QUICK_SIZES = (Size(2, 4, 18), Size(16, 4, 18), Size(2, 4, 87), Size(49, 12, 87))


def run(quick: bool = False) -> tuple[ControlFigures, ...]:
    """Measure all sizes.

    :param quick: whether to measure fewer sizes for a shorter time.
    """
    seconds = QUICK_RUN_SECONDS if quick else RUN_SECONDS
    return tuple(measure(size, seconds) for size in (QUICK_SIZES if quick else SIZES))


def _entry_id(number: int) -> EntryId:
    return EntryId(f"e-{number:03d}")


def _records(size: Size) -> Iterable[InstanceRecord]:
    for number in range(size.local_entries + size.other_entries):
        is_local = number < size.local_entries
        yield InstanceRecord(
            InstanceId(_entry_id(number)),
            InstanceRole.ENTRY,
            f"127.0.0.1:{number + 1}",
            DATA_CENTRE if is_local else OTHER_DATA_CENTRE,
        )
    for number in range(size.upstreams):
        yield InstanceRecord(
            InstanceId(f"u-{number:03d}"),
            InstanceRole.ENGINE,
            f"127.0.0.1:{number + 1000}",
            DATA_CENTRE,
            FabricDomainId(f"f-{number // (2 * size.group_size)}"),
            KIND,
            4,
        )


def _placement(size: Size) -> Placement:
    count = size.upstreams // size.group_size
    declaration = GroupDeclaration("g", DATA_CENTRE, MODEL, KIND, size.group_size, count)
    groups = {}
    for number in range(count):
        group_id = GroupId(f"g-{number}")
        first = number * size.group_size
        members = tuple(InstanceId(f"u-{first + rank:03d}") for rank in range(size.group_size))
        fabric = FabricDomainId(f"f-{first // (2 * size.group_size)}")
        groups[group_id] = PlacedGroup(group_id, declaration, fabric, members)
    seats = {
        _entry_id(number): Seat(
            _entry_id(number), Incarnation(f"i-{number}"), f"127.0.0.1:{number + 1}"
        )
        for number in range(size.local_entries)
    }
    return Placement(DATA_CENTRE, 1, 1, seats, groups)


def _heartbeats(size: Size) -> Iterable[HeartbeatReceived]:
    held = max(1, size.upstreams // size.group_size // max(1, size.local_entries))
    groups = tuple(
        GroupSummary(GroupId(f"p-{number}"), MODEL, BootId("b" * 12), True, 4, 0, 8, 4)
        for number in range(held)
    )
    for number in range(1, size.local_entries + size.other_entries):
        is_local = number < size.local_entries
        own = tuple(replace(item, group_id=GroupId(f"{number}-{item.group_id}")) for item in groups)
        yield HeartbeatReceived(
            _entry_id(number),
            Incarnation(f"i-{number}"),
            DATA_CENTRE if is_local else OTHER_DATA_CENTRE,
            f"127.0.0.1:{number + 1}",
            1,
            (),
            1 if is_local else 0,
            True,
            False,
            own,
        )


def _report(placement: Placement, instance_id: InstanceId) -> Iterable[InstanceReported]:
    for group in placement.groups_by_id.values():
        if instance_id in group.members:
            yield InstanceReported(
                instance_id,
                BootId(f"boot-{instance_id}"),
                group.group_id,
                group.generation,
                group.members.index(instance_id),
                len(group.members),
                LoadState.READY,
                fence=1,
                model=MODEL,
                version="1",
            )


def main() -> None:
    """Print the CPU share at each size as JSON lines."""
    for figures in run():
        print(json.dumps({"size": str(figures.size), "cpu": figures.cpu_share}))


if __name__ == "__main__":
    main()
