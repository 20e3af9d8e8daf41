"""Hints between instances on upstreams that are unresponsive or leave, sent as datagrams.

A hint may be lost or late. A hint that an upstream is unresponsive only makes the receiver check
the upstream earlier; an instance that has just had a response from that upstream ignores it. A
hint that an upstream leaves repeats what the upstream itself has announced, and is sent twice.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, TypeVar, cast

import cbor2

from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._limit_messages import CODEC as LIMIT_CODEC
from cactuspass.fleet._limit_messages import LimitDatagram, LimitMessage
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.duties._usage_messages import CODEC as USAGE_CODEC
from cactuspass.fleet.duties._usage_messages import KIND_PREFIX, UsageDatagram
from cactuspass.fleet.load_exchange import is_load_datagram
from cactuspass.fleet.prompt_parts import (
    BlockMessage,
    PartMessage,
    decode_part_message,
    encode_part_message,
)

REPEAT_SECONDS = 0.3  # time after which a hint that must not be lost is sent again
# Shortest time between two sends of the same hint by any instance; shorter than the time for which
# an instance that receives it avoids the upstream.
MIN_INTERVAL_SECONDS = 0.8
MAX_KNOWN_HINTS = 1024
MAX_DATAGRAM_BYTES = 512  # of hints on upstreams
KIND_FIELD = "kind"
UPSTREAM_FIELD = "upstream"
BORN_FIELD = "born_ms"
UNRESPONSIVE_KIND = "silent"
LEAVING_KIND = "leaving"

Address = tuple[str, int]
M = TypeVar("M", PartMessage, LimitDatagram)


def encode_unresponsive(upstream_id: UpstreamId) -> bytes:
    """Return the datagram for an unresponsive upstream."""
    return cbor2.dumps({KIND_FIELD: UNRESPONSIVE_KIND, UPSTREAM_FIELD: upstream_id})


def decode_unresponsive(datagram: bytes) -> UpstreamId | None:
    """Return the unresponsive upstream in a datagram; None when this is no such hint."""
    body = _decode(datagram, UNRESPONSIVE_KIND)
    return UpstreamId(body[UPSTREAM_FIELD]) if body is not None else None


def encode_leaving(lifetime: Lifetime) -> bytes:
    """Return the datagram for an upstream that leaves."""
    fields = {UPSTREAM_FIELD: lifetime.upstream_id, BORN_FIELD: lifetime.born_ms}
    return cbor2.dumps({KIND_FIELD: LEAVING_KIND, **fields})


def decode_leaving(datagram: bytes) -> Lifetime | None:
    """Return the leaving lifetime in a datagram; None when this is no such hint."""
    body = _decode(datagram, LEAVING_KIND)
    born_ms = body.get(BORN_FIELD) if body is not None else None
    if body is None or not isinstance(born_ms, int) or isinstance(born_ms, bool):
        return None
    return Lifetime(UpstreamId(body[UPSTREAM_FIELD]), born_ms)


def _decode(datagram: bytes, kind: str) -> dict[str, Any] | None:
    """Return the fields of a hint of the given kind; None for any other datagram."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        body = cbor2.loads(datagram)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        return None
    if not isinstance(body, dict) or body.get(KIND_FIELD) != kind:
        return None
    return body if isinstance(body.get(UPSTREAM_FIELD), str) else None


def _ignore(*_: object) -> None:
    """Do nothing; default of the callbacks for other news than unresponsive upstreams."""


class Hints(Component, asyncio.DatagramProtocol):
    """Sends hints on upstreams to the other instances and receives theirs.

    :param address: ``host:port`` to listen on; with None hints are neither sent nor received.
    :param peers: returns the addresses of all instances.
    :param on_unresponsive: called with an upstream that another instance reports as unresponsive.
    :param on_leaving: called with a lifetime that another instance reports as leaving.
    :param on_part_message: called with a message of another instance on parts of prompts.
    :param on_limit_message: called with a message of another instance on limits of upstreams.
    :param on_load_datagram: called with a datagram of the load exchange, and the address
        ``host:port`` that it was sent from.
    :param on_usage_message: called with a message on the usage report and the IP address of its
        sender, which may have deregistered; None where usage is not reported.
    """

    def __init__(
        self,
        address: str | None,
        peers: Callable[[], Iterable[str]],
        on_unresponsive: Callable[[UpstreamId], None],
        log: DecisionLog,
        on_leaving: Callable[[Lifetime], None] = _ignore,
        on_part_message: Callable[[PartMessage], None] = _ignore,
        on_limit_message: Callable[[LimitDatagram], None] = _ignore,
        on_load_datagram: Callable[[bytes, str], None] = _ignore,
        on_usage_message: Callable[[UsageDatagram, str], None] | None = None,
    ) -> None:
        self._on_load_datagram = on_load_datagram
        self._on_usage_message = on_usage_message
        self._on_limit_message = on_limit_message
        self._on_part_message = on_part_message
        self._address = address
        self._peers = peers
        self._on_unresponsive = on_unresponsive
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._on_leaving = on_leaving
        self._known_at_by_datagram: dict[bytes, float] = {}

    async def start(self) -> None:
        """Start to listen."""
        if self._address is None:
            return
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    async def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    @property
    def port(self) -> int | None:
        """The port that hints are received on; None before the socket is open."""
        if self._transport is None:
            return None
        return int(self._transport.get_extra_info("sockname")[1])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a hint and call its callback; log a datagram that is no hint."""
        if is_load_datagram(data):
            self._on_load_datagram(data, f"{addr[0]}:{addr[1]}")
            return
        # Messages on usage come first, since the holder receives many of them.
        if self._on_usage_message is not None and KIND_PREFIX in data:
            usage_message = USAGE_CODEC.decode(data)
            if usage_message is not None:
                self._on_usage_message(usage_message, addr[0])
                return
        upstream_id, leaving = decode_unresponsive(data), decode_leaving(data)
        if upstream_id is not None:
            self._remember(data, now())
            self._on_unresponsive(upstream_id)
        elif leaving is not None:
            self._on_leaving(leaving)
        elif (message := decode_part_message(data)) is not None:
            self._accept_from_peer(self._on_part_message, message, addr[0])
        elif (limit_message := LIMIT_CODEC.decode(data)) is not None:
            self._accept_from_peer(self._on_limit_message, limit_message, addr[0])
        else:
            self._log.state_change("hint-unreadable", peer=addr[0], size=len(data))

    def _accept_from_peer(self, accept: Callable[[M], None], message: M, host: str) -> None:
        """Pass on a message that has an effect by itself, if a registered instance has sent it."""
        if host in {_parse_address(peer)[0] for peer in self._peers()}:
            accept(message)
        else:
            self._log.state_change("hint-from-stranger", peer=host, message=message.kind)

    def error_received(self, exc: Exception) -> None:
        """Log that a hint was not delivered, which happens when a peer's port is closed."""
        self._log.state_change("hint-not-delivered", reason=exc)

    def send_unresponsive(self, upstream_id: UpstreamId) -> None:
        """Send the other instances a hint on an unresponsive upstream.

        None is sent if this or another instance has just sent it to all. Otherwise, each loss would
        cost as many datagrams as there are pairs of instances.
        """
        self._send_unless_recent(encode_unresponsive(upstream_id))

    def send_leaving(self, lifetime: Lifetime) -> None:
        """Send the other instances a hint on an upstream that leaves, unless one was just sent.

        The hint is sent a second time after ``REPEAT_SECONDS``, since a datagram may be lost.
        """
        datagram = encode_leaving(lifetime)
        if self._send_unless_recent(datagram):
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_SECONDS, partial(self._broadcast, datagram))

    def send_part_message(self, message: PartMessage) -> None:
        """Send the other instances a message on parts of prompts; one on a block is sent twice."""
        datagram = encode_part_message(message)
        if datagram is None:
            self._log.alarm("part-message-too-large", message=type(message).__name__)
            return
        self._broadcast(datagram)
        if isinstance(message, BlockMessage):
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_SECONDS, partial(self._broadcast, datagram))

    def send_limit(self, message: LimitMessage) -> None:
        """Send the other instances what an upstream states about its limit, twice."""
        datagram = LIMIT_CODEC.encode(message)
        if datagram is None:
            return
        self._broadcast(datagram)
        loop = asyncio.get_running_loop()
        loop.call_later(REPEAT_SECONDS, partial(self._broadcast, datagram))

    def send_limit_message(self, address: str, message: LimitDatagram) -> None:
        """Send one other instance a message on the limit of an upstream.

        :param address: ``host:port`` of the instance.
        """
        datagram = LIMIT_CODEC.encode(message)
        if datagram is not None:
            self.send_datagram(address, datagram)

    def send_datagram(self, address: str, datagram: bytes) -> None:
        """Send one other instance a datagram.

        :param address: ``host:port`` of the instance.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, _parse_address(address))

    def send_usage_message(self, address: str, message: UsageDatagram) -> None:
        """Send one other instance a message on the usage report.

        :param address: ``host:port`` of the instance.
        """
        datagram = USAGE_CODEC.encode(message)
        if datagram is None:
            self._log.alarm("usage-message-too-large", message=message.kind)
        else:
            self.send_datagram(address, datagram)

    def _send_unless_recent(self, datagram: bytes) -> bool:
        """Send a datagram unless it was sent or received less than ``MIN_INTERVAL_SECONDS`` ago.

        :return: whether it was sent now.
        """
        at = now()
        if (
            self._transport is None
            or at - self._known_at_by_datagram.get(datagram, 0.0) < MIN_INTERVAL_SECONDS
        ):
            return False
        self._remember(datagram, at)
        self._broadcast(datagram)
        return True

    def _remember(self, datagram: bytes, at: float) -> None:
        """Keep when a hint was sent or received; the oldest ones are dropped."""
        self._known_at_by_datagram.pop(datagram, None)
        self._known_at_by_datagram[datagram] = at
        if len(self._known_at_by_datagram) > MAX_KNOWN_HINTS:
            del self._known_at_by_datagram[next(iter(self._known_at_by_datagram))]

    def _broadcast(self, datagram: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for peer in self._peers():
            if peer != self._address:
                self._transport.sendto(datagram, _parse_address(peer))


def _parse_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)
