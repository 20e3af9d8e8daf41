"""Connections to the peers, heartbeats and the exchange of documents."""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Hashable
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from cactuspass._component import Component
from cactuspass._messages import (
    GrantReceived,
    GrantRequested,
    HandOverSeat,
    HeartbeatReceived,
    Input,
    PeerDisconnected,
    RequestGrant,
    SeatHandoverReceived,
    SendGrant,
    TakeOutsReceived,
)
from cactuspass._peer_link import (
    CLOSE_PROTOCOL_ERROR,
    MAX_MESSAGE_BYTES,
    PeerLink,
    perform_handshake,
)
from cactuspass._peer_messages import (
    AskGrantMessage,
    Documents,
    FetchDocuments,
    GrantMessage,
    Heartbeat,
    Hello,
    PeerMessage,
    SeatMessage,
    TakeOutsMessage,
)
from cactuspass.exceptions import PeerError
from cactuspass.models import EntryId, TakeOut

HEARTBEAT_INTERVAL_SECONDS = 1.0
STATE_CHECK_INTERVAL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 2.0
PING_SECONDS = 2.0


class PeerState(ABC):
    """Interface through which the peer network accesses the state of this entry."""

    @abstractmethod
    def heartbeat(self) -> Heartbeat:
        """Return the state to send to the peers."""

    @abstractmethod
    def urgent_state(self) -> Hashable:
        """Return the part of the state whose changes are sent to the peers at once."""

    @abstractmethod
    def documents(self) -> Documents:
        """Return the documents in their stored form."""

    @abstractmethod
    def take_outs(self) -> tuple[TakeOut, ...]:
        """Return the take-outs that may not be stored on the platform yet."""

    @abstractmethod
    def needs_documents(self, link: PeerLink, heartbeat: Heartbeat) -> bool:
        """Return whether the peer has a newer document or an unknown take-out to fetch."""

    @abstractmethod
    def receive_documents(self, documents: Documents) -> None:
        """Process documents that a peer sent."""

    @abstractmethod
    def peer_addresses(self) -> dict[EntryId, str]:
        """Return the addresses of all other entries in the instance list."""


class PeerNetwork(Component):
    """Maintains one connection to each listed peer, opened by the entry with the lower id.

    :param listen: ``host:port`` of the own listener; port 0 selects a free port.
    """

    def __init__(
        self,
        own: Hello,
        listen: str,
        state: PeerState,
        accept_input: Callable[[Input], None],
    ) -> None:
        self.links_by_entry: dict[EntryId, PeerLink] = {}
        self._own = own
        self._listen = listen
        self._state = state
        self._accept_input = accept_input
        self._receivers: list[Callable[[PeerLink, PeerMessage], bool]] = []
        self._loss_handlers: list[Callable[[PeerLink], None]] = []
        self._server: Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connecting: set[EntryId] = set()
        self.port = 0

    def add_receiver(
        self,
        receive: Callable[[PeerLink, PeerMessage], bool],
        on_link_lost: Callable[[PeerLink], None],
    ) -> None:
        """Register a component that handles some types of peer messages.

        :param receive: called with each message; returns whether the component handled it.
        :param on_link_lost: called with each connection that ended.
        """
        self._receivers.append(receive)
        self._loss_handlers.append(on_link_lost)

    async def start(self) -> None:
        """Open the listener and connect to the listed peers."""
        host, _, port = self._listen.rpartition(":")
        self._server = await serve(
            self._accept,
            host,
            int(port),
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=PING_SECONDS,
            ping_timeout=PING_SECONDS,
        )
        self.port = next(iter(self._server.sockets)).getsockname()[1]
        self._spawn(self._connect_forever())
        self._spawn(self._send_heartbeats())

    async def stop(self) -> None:
        """Close all connections and the listener."""
        for task in tuple(self._tasks):
            task.cancel()
        for link in tuple(self.links_by_entry.values()):
            with contextlib.suppress(ConnectionClosed, TimeoutError):
                await link.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    # Orders from the core

    def request_grant(self, order: RequestGrant) -> None:
        """Send a request for a grant to a peer."""
        self._send(order.entry_id, AskGrantMessage(order.placement_version, order.sent_at))

    def send_grant(self, order: SendGrant) -> None:
        """Send a grant to a peer."""
        message = GrantMessage(order.placement_version, order.sent_at, order.period)
        self._send(order.entry_id, message)

    def hand_over_seat(self, order: HandOverSeat) -> None:
        """Send the handover of a seat to all connected peers of the data centre."""
        message = SeatMessage(
            order.to_entry, order.seat, order.placement_version, order.foreign_held_by_group
        )
        for link in self.links_by_entry.values():
            if link.hello.data_centre == self._own.data_centre:
                link.send(message)

    def broadcast_take_outs(self) -> None:
        """Send the pending take-outs to every connected peer at once."""
        for link in self.links_by_entry.values():
            link.send(TakeOutsMessage(self._state.take_outs()))

    def broadcast_heartbeat(self) -> None:
        """Send the own state to every connected peer at once."""
        heartbeat = self._state.heartbeat()
        for link in self.links_by_entry.values():
            link.send(heartbeat)

    def _send(self, entry_id: EntryId, message: PeerMessage) -> None:
        link = self.links_by_entry.get(entry_id)
        if link is not None:
            link.send(message)

    # Connections

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_forever(self) -> None:
        while True:
            missing_addresses = {
                entry_id: address
                for entry_id, address in self._state.peer_addresses().items()
                if entry_id > self._own.entry_id
                and entry_id not in self.links_by_entry
                and entry_id not in self._connecting
            }
            for entry_id, address in missing_addresses.items():
                self._connecting.add(entry_id)
                self._spawn(self._connect(entry_id, address))
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS / 4)

    async def _connect(self, entry_id: EntryId, address: str) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                socket = await connect(
                    f"ws://{address}/",
                    compression=None,
                    max_size=MAX_MESSAGE_BYTES,
                    ping_interval=PING_SECONDS,
                    ping_timeout=PING_SECONDS,
                    proxy=None,
                )
            await self._run(socket)
        except (OSError, TimeoutError, WebSocketException, PeerError):
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS / 2)
        finally:
            self._connecting.discard(entry_id)

    async def _accept(self, socket: Any) -> None:
        with contextlib.suppress(PeerError):
            await self._run(socket)

    async def _run(self, socket: Any) -> None:
        link = await perform_handshake(socket, self._own)
        entry_id = link.hello.entry_id
        previous = self.links_by_entry.get(entry_id)
        self.links_by_entry[entry_id] = link
        if previous is not None:
            previous.abort()
            if previous.hello.incarnation != link.hello.incarnation:
                self._accept_input(PeerDisconnected(entry_id, previous.hello.incarnation))
        link.send(self._state.heartbeat())
        try:
            async for message in link.messages():
                self._receive(link, message)
        except PeerError as error:
            await link.close(CLOSE_PROTOCOL_ERROR, str(error))
        finally:
            self._remove_link(link)

    def _remove_link(self, link: PeerLink) -> None:
        link.abort()
        for on_link_lost in self._loss_handlers:
            on_link_lost(link)
        if self.links_by_entry.get(link.hello.entry_id) is link:
            del self.links_by_entry[link.hello.entry_id]
            self._accept_input(PeerDisconnected(link.hello.entry_id, link.hello.incarnation))

    async def _send_heartbeats(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sent_state = self._state.urgent_state()
            self.broadcast_heartbeat()
            next_at = loop.time() + HEARTBEAT_INTERVAL_SECONDS
            while loop.time() < next_at and self._state.urgent_state() == sent_state:
                await asyncio.sleep(STATE_CHECK_INTERVAL_SECONDS)

    # Incoming messages

    def _receive(self, link: PeerLink, message: PeerMessage) -> None:
        if any(receive(link, message) for receive in self._receivers):
            return
        hello = link.hello
        match message:
            case Heartbeat():
                self._receive_heartbeat(link, message)
            case AskGrantMessage(version, sent_at):
                self._accept_input(
                    GrantRequested(hello.entry_id, hello.incarnation, version, sent_at)
                )
            case GrantMessage(version, sent_at, period):
                self._accept_input(
                    GrantReceived(hello.entry_id, hello.incarnation, version, sent_at, period)
                )
            case SeatMessage(to_entry, seat, version, held):
                self._accept_input(SeatHandoverReceived(seat, version, held, to_entry))
            case TakeOutsMessage(take_outs):
                self._accept_input(TakeOutsReceived(take_outs))
            case FetchDocuments():
                link.send(TakeOutsMessage(self._state.take_outs()))
                link.send(self._state.documents())
            case Documents():
                self._state.receive_documents(message)

    def _receive_heartbeat(self, link: PeerLink, message: Heartbeat) -> None:
        hello = link.hello
        self._accept_input(
            HeartbeatReceived(
                entry_id=hello.entry_id,
                incarnation=hello.incarnation,
                data_centre=hello.data_centre,
                address=hello.address,
                configuration_revision=message.configuration_revision,
                take_out_tags=message.take_out_tags,
                placement_version=message.placement_version,
                ready=message.ready,
                draining=message.draining,
                groups=message.groups,
                grants_returned_at=message.grants_returned_at,
            )
        )
        if self._state.needs_documents(link, message):
            link.send(FetchDocuments())
