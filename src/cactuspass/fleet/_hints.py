"""Hints between instances that an upstream has fallen silent, sent as datagrams.

A hint may be lost, late or wrong. It only makes its receiver look sooner: an instance that has
heard from the upstream itself ignores it.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, cast

import cbor2

from cactuspass._clock import now
from cactuspass._component import Component
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._upstreams import UpstreamId

REPEAT_SECONDS = 0.3
MAX_DATAGRAM_BYTES = 512
KIND_FIELD = "kind"
UPSTREAM_FIELD = "upstream"
SILENT_KIND = "silent"

Address = tuple[str, int]


def encode_silence(upstream_id: UpstreamId) -> bytes:
    """Return the datagram that tells of a silent upstream."""
    return cbor2.dumps({KIND_FIELD: SILENT_KIND, UPSTREAM_FIELD: upstream_id})


def decode_silence(datagram: bytes) -> UpstreamId | None:
    """Return the upstream that a datagram tells of; None when it cannot be read."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        body = cbor2.loads(datagram)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        return None
    if not isinstance(body, dict) or body.get(KIND_FIELD) != SILENT_KIND:
        return None
    upstream_id = body.get(UPSTREAM_FIELD)
    return UpstreamId(upstream_id) if isinstance(upstream_id, str) else None


class Hints(Component, asyncio.DatagramProtocol):
    """Tells the other instances of silent upstreams, and hears from them.

    :param address: ``host:port`` to listen on; None neither tells nor hears.
    :param peers: returns the addresses of all instances.
    :param heard: called with the upstream that another instance tells of.
    """

    def __init__(
        self,
        address: str | None,
        peers: Callable[[], Iterable[str]],
        heard: Callable[[UpstreamId], None],
        log: DecisionLog,
    ) -> None:
        self._address = address
        self._peers = peers
        self._heard = heard
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._told_at: dict[UpstreamId, float] = {}

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
        upstream_id = decode_silence(data)
        if upstream_id is None:
            self._log.belief("hint-unreadable", peer=addr[0], size=len(data))
            return
        self._heard(upstream_id)

    def error_received(self, exc: Exception) -> None:
        """Take note that a peer's port is closed; its instance has gone."""
        self._log.belief("hint-not-delivered", reason=exc)

    def tell(self, upstream_id: UpstreamId) -> None:
        """Tell the other instances, unless they were told a moment ago."""
        at = now()
        if self._transport is None or at - self._told_at.get(upstream_id, 0.0) < REPEAT_SECONDS:
            return
        self._told_at = {known: told for known, told in self._told_at.items() if at - told < 5.0}
        self._told_at[upstream_id] = at
        datagram = encode_silence(upstream_id)
        for peer in self._peers():
            if peer != self._address:
                self._transport.sendto(datagram, _parse(peer))


def _parse(address: str) -> Address:
    host, _, port = address.rpartition(":")
    return host, int(port)
