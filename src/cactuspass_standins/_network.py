"""TCP relays between named processes, so that the link between any two can be cut."""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from tornado.netutil import bind_sockets

from cactuspass.models import InstanceRole
from cactuspass_standins._instances import InstanceList, InstancesHandler, record_to_json
from cactuspass_standins._stand_in import LOCAL_HOST, Json, Route, StandIn

CHUNK_BYTES = 65_536
Link = frozenset[str]


class Network(StandIn):
    """Relays the connections of each viewer to their targets, and stops at cut links.

    A cut link neither drops data nor closes connections: both ends just receive nothing, as in a
    network partition.
    """

    def __init__(self) -> None:
        super().__init__("network")
        self._addresses_by_route: dict[tuple[str, str, str], str] = {}
        self._cut_links: set[Link] = set()
        self._bytes_by_link: Counter[Link] = Counter()
        self._chunks_by_link: Counter[Link] = Counter()
        self._healed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sockets: list[socket.socket] = []
        self.controls_by_name |= {"cut": self.cut, "heal": self.heal}

    def routes(self) -> list[Route]:
        """Return no paths, as the network serves only controls."""
        return []

    def counts(self) -> Json:
        """Return the cut links, and the bytes and chunks forwarded on each link."""
        return {
            "cut": sorted(sorted(link) for link in self._cut_links),
            "bytes_by_link": {" ".join(sorted(k)): n for k, n in self._bytes_by_link.items()},
            "chunks_by_link": {" ".join(sorted(k)): n for k, n in self._chunks_by_link.items()},
        }

    def cut(self, links: list[list[str]]) -> None:
        """Cut links, each given as the names of its two ends."""
        self._cut_links |= {frozenset(link) for link in links}
        self._healed.clear()

    def heal(self, links: list[list[str]] | None = None) -> None:
        """Restore the given links, or all links."""
        healed = self._cut_links if links is None else {frozenset(link) for link in links}
        self._cut_links = self._cut_links - healed
        self._healed.set()

    def relay(self, viewer: str, target: str, address: str) -> str:
        """Return the address of the relay from a viewer to a target, and create it if needed.

        :param address: ``host:port`` of the target.
        """
        route = (viewer, target, address)
        if route not in self._addresses_by_route:
            sockets = bind_sockets(0, LOCAL_HOST)
            self._sockets += sockets
            self._spawn(self._listen(sockets[0], frozenset((viewer, target)), address))
            self._addresses_by_route[route] = f"{LOCAL_HOST}:{sockets[0].getsockname()[1]}"
        return self._addresses_by_route[route]

    def stop(self) -> None:
        """Stop all relays."""
        super().stop()
        for task in tuple(self._tasks):
            task.cancel()
        for item in self._sockets:
            item.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _listen(self, listener: socket.socket, link: Link, address: str) -> None:
        loop = asyncio.get_running_loop()
        listener.setblocking(False)
        while True:
            connection, _ = await loop.sock_accept(listener)
            self._spawn(self._serve(connection, link, address))

    async def _serve(self, connection: socket.socket, link: Link, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            await self._wait_until_healed(link)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, far_writer, link), self._forward(far_reader, writer, link)
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_healed(link)
                self._bytes_by_link[link] += len(data)
                self._chunks_by_link[link] += 1
                writer.write(data)
                await writer.drain()
        await self._wait_until_healed(link)
        writer.close()

    async def _wait_until_healed(self, link: Link) -> None:
        while link in self._cut_links:
            self._healed.clear()
            await self._healed.wait()


class ListView(StandIn):
    """The instance list as served to one viewer, with the addresses of relays.

    Engines keep their own addresses, as they refuse orders that list them under other ones.

    :param viewer: name of the process that reads this list.
    """

    def __init__(self, viewer: str, instances: InstanceList, network: Network) -> None:
        super().__init__(f"list-{viewer}")
        self._viewer = viewer
        self._instances = instances
        self._network = network

    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""
        return [("/instances", ViewHandler)]

    def counts(self) -> Json:
        """Return no counters."""
        return {}

    def entries(self) -> list[Json]:
        """Return the entries of the list."""
        return [
            record_to_json(
                record
                if record.instance_id == self._viewer or record.role is InstanceRole.ENGINE
                else replace(
                    record,
                    address=self._network.relay(self._viewer, record.instance_id, record.address),
                )
            )
            for record in self._instances.records()
        ]


class ViewHandler(InstancesHandler):
    """Handles ``GET /instances`` for one viewer."""

    def get(self) -> None:
        """Respond with the viewer's list."""
        entries: Callable[[], list[Json]] = self.stand_in.entries  # type: ignore[attr-defined]
        self.write({"instances": entries()})
