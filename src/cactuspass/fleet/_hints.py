"""Hints between instances on upstreams that are silent or leave, sent as datagrams.

A hint may be lost or late. That an upstream is silent only makes the receiver look sooner: an
instance that has heard from the upstream itself ignores it. That one leaves is the upstream's own
word, told twice.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

import cbor2

from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._upstreams import Lifetime, UpstreamId

REPEAT_SECONDS = 0.3
MAX_DATAGRAM_BYTES = 512
KIND_FIELD = "kind"
UPSTREAM_FIELD = "upstream"
BORN_FIELD = "born_ms"
UNRESPONSIVE_KIND = "silent"
LEAVING_KIND = "leaving"
SENT_HISTORY_SECONDS = 5.0

Address = tuple[str, int]


def encode_unresponsive(upstream_id: UpstreamId) -> bytes:
    """Return the datagram that tells of a silent upstream."""
    return cbor2.dumps({KIND_FIELD: UNRESPONSIVE_KIND, UPSTREAM_FIELD: upstream_id})


def decode_unresponsive(datagram: bytes) -> UpstreamId | None:
    """Return the upstream that a datagram tells of; None when it cannot be read."""
    body = _decode(datagram, UNRESPONSIVE_KIND)
    return UpstreamId(body[UPSTREAM_FIELD]) if body is not None else None


def encode_leaving(lifetime: Lifetime) -> bytes:
    """Return the datagram that tells of an upstream that leaves."""
    fields = {UPSTREAM_FIELD: lifetime.upstream_id, BORN_FIELD: lifetime.born_ms}
    return cbor2.dumps({KIND_FIELD: LEAVING_KIND, **fields})


def decode_leaving(datagram: bytes) -> Lifetime | None:
    """Return the lifetime that a datagram says leaves; None when it says no such thing."""
    body = _decode(datagram, LEAVING_KIND)
    born_ms = body.get(BORN_FIELD) if body is not None else None
    if body is None or not isinstance(born_ms, int) or isinstance(born_ms, bool):
        return None
    return Lifetime(UpstreamId(body[UPSTREAM_FIELD]), born_ms)


def _decode(datagram: bytes, kind: str) -> dict[str, Any] | None:
    """Return the fields of a hint of a kind, which names an upstream; None for other bytes."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        body = cbor2.loads(datagram)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        return None
    if not isinstance(body, dict) or body.get(KIND_FIELD) != kind:
        return None
    return body if isinstance(body.get(UPSTREAM_FIELD), str) else None


def _ignore(lifetime: Lifetime) -> None:
    """Take no notice of an upstream that leaves."""


class Hints(Component, asyncio.DatagramProtocol):
    """Tells the other instances of upstreams that are silent or leave, and hears from them.

    :param address: ``host:port`` to listen on; None neither tells nor hears.
    :param peers: returns the addresses of all instances.
    :param on_unresponsive: called with the upstream that another instance finds silent.
    :param on_leaving: called with the lifetime that another instance was told leaves.
    """

    def __init__(
        self,
        address: str | None,
        peers: Callable[[], Iterable[str]],
        on_unresponsive: Callable[[UpstreamId], None],
        log: DecisionLog,
        on_leaving: Callable[[Lifetime], None] = _ignore,
    ) -> None:
        self._address = address
        self._peers = peers
        self._on_unresponsive = on_unresponsive
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._on_leaving = on_leaving
        self._sent_at_by_datagram: dict[bytes, float] = {}

    async def start(self) -> None:
        """Begin to listen."""
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
        """Port that is listened on."""
        if self._transport is None:
            return None
        return int(self._transport.get_extra_info("sockname")[1])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take a hint."""
        upstream_id, leaving = decode_unresponsive(data), decode_leaving(data)
        if upstream_id is not None:
            self._on_unresponsive(upstream_id)
        elif leaving is not None:
            self._on_leaving(leaving)
        else:
            self._log.state_change("hint-unreadable", peer=addr[0], size=len(data))

    def error_received(self, exc: Exception) -> None:
        """Take note that a peer's port is closed; its instance has gone."""
        self._log.state_change("hint-not-delivered", reason=exc)

    def send_unresponsive(self, upstream_id: UpstreamId) -> None:
        """Tell the other instances of a silent upstream, unless they were told a moment ago."""
        self._send_unless_recent(encode_unresponsive(upstream_id))

    def send_leaving(self, lifetime: Lifetime) -> None:
        """Tell the other instances of an upstream that leaves, and once more a moment later."""
        datagram = encode_leaving(lifetime)
        if self._send_unless_recent(datagram):
            loop = asyncio.get_running_loop()
            loop.call_later(REPEAT_SECONDS, partial(self._broadcast, datagram))

    def _send_unless_recent(self, datagram: bytes) -> bool:
        """Send a datagram unless it was sent a moment ago; return whether it was sent now."""
        at = now()
        if (
            self._transport is None
            or at - self._sent_at_by_datagram.get(datagram, 0.0) < REPEAT_SECONDS
        ):
            return False
        recent = self._sent_at_by_datagram.items()
        self._sent_at_by_datagram = {
            sent: when for sent, when in recent if at - when < SENT_HISTORY_SECONDS
        }
        self._sent_at_by_datagram[datagram] = at
        self._broadcast(datagram)
        return True

    def _broadcast(self, datagram: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        for peer in self._peers():
            if peer != self._address:
                self._transport.sendto(datagram, _parse_address(peer))


def _parse_address(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)
