"""Datagrams of the load exchange: states of instances and sums of data centres.

A datagram is an array of a number and a message. The number is that of the state, and in sums the
number of the receiver's own state that they include, so that the rest is encoded only once for all
receivers.
"""

from dataclasses import dataclass, replace
from typing import Annotated, Literal, TypeVar
from zlib import crc32

import cbor2
from pydantic import Field, TypeAdapter

from cactuspass.fleet._datagrams import DatagramCodec

MAX_DATAGRAM_BYTES = 1200
MAX_PREFIX_BYTES = 10  # of the array and the number
MAX_PARTS = 16
MAX_PLACES = 64
MAX_COUNT = 2**40
MAX_REQUESTS = 1_000_000
MAX_REQUESTS_OF_INSTANCE = 10_000  # above the descriptors of any instance
MAX_PER_SECOND_MILLI = 1_000_000_000
MAX_MILLISECONDS = 3_600_000
# CBOR's first byte of an array of two; all other messages between instances are maps.
ARRAY_OF_TWO = b"\x82"

Name = Annotated[str, Field(max_length=128)]
Count = Annotated[int, Field(strict=True, ge=0, le=MAX_COUNT)]
Requests = Annotated[int, Field(strict=True, ge=0, le=MAX_REQUESTS)]
RateMilli = Annotated[int, Field(strict=True, ge=0, le=MAX_PER_SECOND_MILLI)]
Permille = Annotated[int, Field(strict=True, ge=0, le=1000)]
Milliseconds = Annotated[int, Field(strict=True, ge=0, le=MAX_MILLISECONDS)]
Position = Annotated[int, Field(strict=True, ge=0, lt=MAX_PLACES)]
Parts = Annotated[int, Field(strict=True, ge=1, le=MAX_PARTS)]

# The head of a group and requests there, from one instance or from all of a data centre.
OwnHeadEntry = tuple[Name, Annotated[Requests, Field(le=MAX_REQUESTS_OF_INSTANCE)]]
HeadEntry = tuple[Name, Requests]
# Service, model, arrivals, refused, begun in time, begun late, ended, milliseconds at engines.
CounterEntry = tuple[Name, Name, Count, Count, Count, Count, Count, Count]
CustomerCounterEntry = tuple[Name, Count]
# A data centre and its share.
ShareEntry = tuple[Name, Permille]
# Service, model, arrivals and refused per 1000 s, permille in time, mean milliseconds, shares.
DemandEntry = tuple[
    Name, Name, RateMilli, RateMilli, Permille, Milliseconds, tuple[ShareEntry, ...]
]
# The same, and the position of the data centre among the places.
FleetDemandEntry = tuple[
    Name, Name, RateMilli, RateMilli, Permille, Milliseconds, tuple[ShareEntry, ...], Position
]
# A head, requests there, and the position of the place whose sums among these are the oldest.
FleetHeadEntry = tuple[Name, Requests, Position]
# Data centre, coordinator, instances that are counted, and age.
PlaceEntry = tuple[Name, Name, Count, Milliseconds]
CustomerRateEntry = tuple[Name, RateMilli]


@dataclass(frozen=True, slots=True)
class InstanceState:
    """The state of one instance, sent to its coordinator.

    :param lifetime: random number that tells a restarted instance from the earlier one.
    :param elapsed_ms: time since the start of the sender's exchange.
    :param part: this datagram holds the entries whose hash modulo ``parts`` is this; an entry that
        is missing from its part is zero.
    """

    lifetime: Count
    elapsed_ms: Count
    heads: tuple[OwnHeadEntry, ...] = ()
    models: tuple[CounterEntry, ...] = ()
    customers: tuple[CustomerCounterEntry, ...] = ()
    part: Count = 0
    parts: Parts = 1
    kind: Literal["load-state"] = "load-state"


@dataclass(frozen=True, slots=True)
class LoadSums:
    """The sums of one data centre, sent by its coordinator to those of the other ones.

    :param instances: number of instances whose states are counted.
    :param age_ms: mean age of these states.
    :param part: see :class:`InstanceState`.
    """

    data_centre: Name
    coordinator: Name
    instances: Count
    age_ms: Milliseconds
    heads: tuple[HeadEntry, ...] = ()
    models: tuple[DemandEntry, ...] = ()
    customers: tuple[CustomerRateEntry, ...] = ()
    part: Count = 0
    parts: Parts = 1
    kind: Literal["load-sums"] = "load-sums"


@dataclass(frozen=True, slots=True)
class FleetSums:
    """The sums of all data centres, sent by a coordinator to the instances of its own.

    :param instances: number of instances of the own data centre whose states are counted.
    :param age_ms: mean age of these states.
    :param places: the data centres that are known, the same in all parts.
    :param part: see :class:`InstanceState`.
    """

    coordinator: Name
    instances: Count
    age_ms: Milliseconds
    places: tuple[PlaceEntry, ...]
    heads: tuple[FleetHeadEntry, ...] = ()
    models: tuple[FleetDemandEntry, ...] = ()
    customers: tuple[CustomerRateEntry, ...] = ()
    part: Count = 0
    parts: Parts = 1
    kind: Literal["load-fleet"] = "load-fleet"


LoadMessage = InstanceState | LoadSums | FleetSums
M = TypeVar("M", InstanceState, LoadSums, FleetSums)
_BODY_CODEC: DatagramCodec[LoadMessage] = DatagramCodec(
    TypeAdapter(LoadMessage), MAX_DATAGRAM_BYTES - MAX_PREFIX_BYTES
)
_CODEC: DatagramCodec[tuple[int, LoadMessage]] = DatagramCodec(
    TypeAdapter(tuple[Count, Annotated[LoadMessage, Field(discriminator="kind")]]),
    MAX_DATAGRAM_BYTES,
)


def is_load_datagram(datagram: bytes) -> bool:
    """Return whether a datagram can only be one of the load exchange."""
    return datagram.startswith(ARRAY_OF_TWO)


def encode_bodies(message: M, min_parts: int = 1) -> list[bytes]:
    """Return the bodies of a message, split into as many parts as its size requires.

    Entries for which ``MAX_PARTS`` are too few are left out.

    :param min_parts: smallest number of parts to try.
    """
    for parts in range(min_parts, MAX_PARTS + 1):
        bodies = [_BODY_CODEC.encode(_select_part(message, part, parts)) for part in range(parts)]
        if None not in bodies:
            break
    return [body for body in bodies if body is not None]


def add_number(number: int, body: bytes) -> bytes:
    """Return the datagram of a number and the body of a message."""
    return ARRAY_OF_TWO + cbor2.dumps(number) + body


def decode(datagram: bytes) -> tuple[int, LoadMessage] | None:
    """Return the number and the message in a datagram; None if it is invalid."""
    found = _CODEC.decode(datagram)
    return found if found is not None and _is_consistent(found[1]) else None


def _is_consistent(message: LoadMessage) -> bool:
    """Return whether the positions in a message exist."""
    if message.part >= message.parts:
        return False
    if not isinstance(message, FleetSums):
        return True
    count = len(message.places)
    return all(e[7] < count for e in message.models) and all(e[2] < count for e in message.heads)


def _select_part(message: M, part: int, parts: int) -> M:
    """Return the entries of a message that belong to a part of it."""
    if parts == 1:
        return message

    def is_in_part(*names: str) -> bool:
        return crc32("/".join(names).encode()) % parts == part

    return replace(
        message,
        heads=tuple(entry for entry in message.heads if is_in_part(entry[0])),
        models=tuple(entry for entry in message.models if is_in_part(entry[0], entry[1])),
        customers=tuple(entry for entry in message.customers if is_in_part(entry[0])),
        part=part,
        parts=parts,
    )
