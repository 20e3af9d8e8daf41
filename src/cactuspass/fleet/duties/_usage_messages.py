"""Datagrams by which the holder of the duties collects the counts of all instances."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter

from cactuspass.fleet._datagrams import DatagramCodec
from cactuspass.models import CustomerId, EntryId

MAX_MESSAGE_BYTES = 1200
# Size of the counts in a message; the rest is left for its other fields.
MAX_COUNT_BYTES = 800
BYTES_PER_COUNT = 12  # with the length of the name
BYTES_PER_WINDOW = 12
MAX_NUMBER = 2**63
KIND_PREFIX = b"usage-"  # in each datagram

Number = Annotated[int, Field(ge=0, lt=MAX_NUMBER)]
UnixSeconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
WindowCounts = tuple[Number, dict[CustomerId, Number]]


@dataclass(frozen=True, slots=True)
class UsageQuery:
    """Asks an instance for its counts.

    :param fence: fence number of the asking holder.
    :param number: identifies the query within the holder's term.
    :param true_time: time by the holder.
    :param first_window: first window that the holder has not fixed yet.
    """

    fence: Number
    number: Number
    holder: EntryId
    true_time: UnixSeconds
    first_window: Number
    kind: Literal["usage-query"] = "usage-query"


@dataclass(frozen=True, slots=True)
class UsageAnswer:
    """A part of the counts of an instance since its start.

    :param lifetime: identifies the run of the instance.
    :param fence: fence number of the query.
    :param number: number of the query.
    :param part: number of this part, from 0.
    :param parts: number of the parts that together answer the query.
    :param wall_time: the instance's own wall-clock time.
    """

    instance: EntryId
    lifetime: Number
    fence: Number
    number: Number
    part: Number
    parts: Annotated[int, Field(ge=1, le=1024)]
    wall_time: UnixSeconds
    counts: tuple[WindowCounts, ...]
    kind: Literal["usage-answer"] = "usage-answer"


UsageDatagram = UsageQuery | UsageAnswer
CODEC: DatagramCodec[UsageDatagram] = DatagramCodec(TypeAdapter(UsageDatagram), MAX_MESSAGE_BYTES)


def split_counts(
    counts_by_window: Mapping[int, Mapping[CustomerId, int]],
) -> list[tuple[WindowCounts, ...]]:
    """Return counts in parts that each fit into a message; a part without counts if there are none.

    A customer whose name alone is too long for a message is left out.
    """
    parts: list[dict[int, dict[CustomerId, int]]] = [{}]
    size = 0
    for window, customer, count in _rows(counts_by_window):
        needed = BYTES_PER_WINDOW + BYTES_PER_COUNT + len(customer.encode())
        if needed > MAX_COUNT_BYTES:
            continue
        if size + needed > MAX_COUNT_BYTES:
            parts.append({})
            size = 0
        parts[-1].setdefault(window, {})[customer] = count
        size += needed
    return [tuple(part.items()) for part in parts]


def _rows(
    counts_by_window: Mapping[int, Mapping[CustomerId, int]],
) -> Iterator[tuple[int, CustomerId, int]]:
    for window, counts in counts_by_window.items():
        for customer, count in counts.items():
            yield window, customer, count
