"""Relays between named processes, so that any two of them can be cut off from each other."""

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
    """Relays each connection of a viewer to its target, and holds the bytes of cut links.

    A cut link drops nothing and closes nothing: both ends see silence, as in a partition.
    """

    def __init__(self) -> None:
        super().__init__("network")
        self._addresses_by_route: dict[tuple[str, str, str], str] = {}
        self._cut: set[Link] = set()
        self._bytes_by_link: Counter[Link] = Counter()
        self._chunks_by_link: Counter[Link] = Counter()
        self._healed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sockets: list[socket.socket] = []
        self.controls_by_name |= {"cut": self.cut, "heal": self.heal}

    def routes(self) -> list[Route]:
        """Return no paths of its own."""
        return []

    def counts(self) -> Json:
        """Return the links that are cut, and the bytes and chunks that each link has passed."""
        return {
            "cut": sorted(sorted(link) for link in self._cut),
            "bytes_by_link": {" ".join(sorted(k)): n for k, n in self._bytes_by_link.items()},
            "chunks_by_link": {" ".join(sorted(k)): n for k, n in self._chunks_by_link.items()},
        }

    def cut(self, links: list[list[str]]) -> None:
        """Cut links, each named by its two ends."""
        self._cut |= {frozenset(link) for link in links}
        self._healed.clear()

    def heal(self, links: list[list[str]] | None = None) -> None:
        """Heal the named links, or all."""
        healed = self._cut if links is None else {frozenset(link) for link in links}
        self._cut = self._cut - healed
        self._healed.set()

    def relay(self, viewer: str, target: str, address: str) -> str:
        """Return the address by which a viewer reaches a target."""
        route = (viewer, target, address)
        if route not in self._addresses_by_route:
            sockets = bind_sockets(0, LOCAL_HOST)
            self._sockets += sockets
            self._spawn(self._listen(sockets[0], frozenset((viewer, target)), address))
            self._addresses_by_route[route] = f"{LOCAL_HOST}:{sockets[0].getsockname()[1]}"
        return self._addresses_by_route[route]

    def stop(self) -> None:
        """Stop for good."""
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
            await self._wait_whole(link)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pass(reader, far_writer, link), self._pass(far_reader, writer, link)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_whole(link)
                self._bytes_by_link[link] += len(data)
                self._chunks_by_link[link] += 1
                writer.write(data)
                await writer.drain()
        await self._wait_whole(link)
        writer.close()

    async def _wait_whole(self, link: Link) -> None:
        while link in self._cut:
            self._healed.clear()
            await self._healed.wait()


class ListView(StandIn):
    """The instance list as one viewer gets it, with addresses behind relays.

    Engines keep their addresses, since they refuse orders that name them by others.

    :param viewer: name of the process that reads this list.
    """

    def __init__(self, viewer: str, instances: InstanceList, network: Network) -> None:
        super().__init__(f"list-{viewer}")
        self._viewer = viewer
        self._instances = instances
        self._network = network

    def routes(self) -> list[Route]:
        """Return path patterns with their handlers."""
        return [("/instances", ViewHandler)]

    def counts(self) -> Json:
        """Return no counters."""
        return {}

    def lines(self) -> list[Json]:
        """Return the lines of the list."""
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
    """Answers ``GET /instances`` for one viewer."""

    def get(self) -> None:
        """Write the list."""
        view: Callable[[], list[Json]] = self.stand_in.lines  # type: ignore[attr-defined]
        self.write({"instances": view()})
