"""Encoding of messages that instances send to each other in datagrams."""

from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError

M = TypeVar("M")


class DatagramCodec(Generic[M]):
    """Encodes messages of a set of types, which a field ``kind`` tells apart.

    :param max_bytes: size that no datagram exceeds.
    """

    def __init__(self, adapter: TypeAdapter[M], max_bytes: int) -> None:
        self._adapter = adapter
        self._max_bytes = max_bytes

    def encode(self, message: M) -> bytes | None:
        """Return the datagram for a message; None if it is too large."""
        datagram = cbor2.dumps(self._adapter.dump_python(message, mode="json"))
        return datagram if len(datagram) <= self._max_bytes else None

    def decode(self, datagram: bytes) -> M | None:
        """Return the message in a datagram; None when this is no such message."""
        if len(datagram) > self._max_bytes:
            return None
        try:
            body: Any = cbor2.loads(datagram)
            return self._adapter.validate_python(body)
        except (cbor2.CBORDecodeError, ValidationError, ValueError, RecursionError):
            return None
