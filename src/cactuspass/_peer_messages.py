"""Messages between entries, and their CBOR form.

A message is the CBOR array ``[protocol version, type name, fields by name]``.
"""

from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from cactuspass._messages import GroupSummary, RefusalReason
from cactuspass.exceptions import PeerError
from cactuspass.models import (
    CustomerId,
    DataCentreId,
    EntryId,
    GroupId,
    Incarnation,
    Priority,
    RequestId,
    Seat,
    TakeOut,
)

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base of all messages between entries."""


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """First message in each direction."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    token: str


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """State of the sender."""

    configuration_revision: int
    take_out_tags: tuple[str, ...]
    placement_version: int
    ready: bool
    draining: bool
    groups: tuple[GroupSummary, ...]


@dataclass(frozen=True, slots=True)
class AskGrantMessage(PeerMessage):
    """Asks for a promise not to remove the sender's seat."""

    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class GrantMessage(PeerMessage):
    """Promises not to remove the receiver's seat for a period in seconds."""

    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class SeatMessage(PeerMessage):
    """Says that the sender gives a seat to one entry for good."""

    to_entry: EntryId
    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]


@dataclass(frozen=True, slots=True)
class TakeOutsMessage(PeerMessage):
    """Passes on take-outs that the platform may not have yet."""

    take_outs: tuple[TakeOut, ...]


@dataclass(frozen=True, slots=True)
class FetchDocuments(PeerMessage):
    """Asks for the sender's documents."""


@dataclass(frozen=True, slots=True)
class Documents(PeerMessage):
    """The configuration and the data centre's placement in their stored form; empty if unknown."""

    data_centre: DataCentreId
    configuration: bytes
    placement: bytes


@dataclass(frozen=True, slots=True)
class ForwardRequest(PeerMessage):
    """A request for a group that the receiver holds.

    :param seconds_left: time until the deadline, by the sender's clock.
    :param window: bytes of the answer that may be sent before any credit.
    """

    request_id: RequestId
    customer: CustomerId
    model: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int
    priority: Priority
    seconds_left: float
    repeatable: bool
    prefixes: tuple[str, ...]
    window: int
    returning: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead(PeerMessage):
    """Status and headers of a forwarded request's answer."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AnswerChunk(PeerMessage):
    """A part of the answer's body."""

    request_id: RequestId
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd(PeerMessage):
    """The answer is whole."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerRefused(PeerMessage):
    """The request has not run."""

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerFailed(PeerMessage):
    """The request may have run; its answer is lost or broken off."""

    request_id: RequestId
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerCredit(PeerMessage):
    """The receiver of an answer has passed on bytes and can take as many more."""

    request_id: RequestId
    count: int


@dataclass(frozen=True, slots=True)
class CancelForward(PeerMessage):
    """The caller left."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AskRows(PeerMessage):
    """Asks for the receiver's own rows of a view, or for its burn counts.

    :param view: name of the view; empty for the burn counts.
    """

    question_id: str
    view: str


@dataclass(frozen=True, slots=True)
class Rows(PeerMessage):
    """Answers :class:`AskRows`."""

    question_id: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str | int | float | bool | None, ...], ...]


_TYPES: tuple[type[PeerMessage], ...] = (
    Hello,
    Heartbeat,
    AskGrantMessage,
    GrantMessage,
    SeatMessage,
    TakeOutsMessage,
    FetchDocuments,
    Documents,
    ForwardRequest,
    AnswerHead,
    AnswerChunk,
    AnswerEnd,
    AnswerRefused,
    AnswerFailed,
    AnswerCredit,
    CancelForward,
    AskRows,
    Rows,
)
_ADAPTERS_BY_NAME: dict[str, TypeAdapter[Any]] = {
    kind.__name__: TypeAdapter(kind) for kind in _TYPES
}
_FIELDS_BY_TYPE = {kind: tuple(field.name for field in fields(kind)) for kind in _TYPES}


def _encode_other(encoder: Any, value: Any) -> None:
    """Encode enums by value and data classes by their fields."""
    if isinstance(value, Enum):
        encoder.encode(value.value)
    else:
        encoder.encode({field.name: getattr(value, field.name) for field in fields(value)})


def encode(message: PeerMessage) -> bytes:
    """Return the CBOR form of a message."""
    kind = type(message)
    values = {name: getattr(message, name) for name in _FIELDS_BY_TYPE[kind]}
    return cbor2.dumps([PROTOCOL_VERSION, kind.__name__, values], default=_encode_other)


def decode(data: bytes) -> PeerMessage:
    """Return the message of a CBOR form.

    :raises PeerError: for another protocol version, an unknown type or malformed fields.
    """
    try:
        version, name, values = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, TypeError) as error:
        raise PeerError(f"malformed peer message: {error}") from error
    if version != PROTOCOL_VERSION:
        raise PeerError(f"peer speaks protocol version {version!r}, not {PROTOCOL_VERSION}")
    adapter = _ADAPTERS_BY_NAME.get(name) if isinstance(name, str) else None
    if adapter is None:
        raise PeerError(f"unknown peer message type {name!r}")
    try:
        message = adapter.validate_python(values)
    except ValidationError as error:
        raise PeerError(f"malformed peer message {name}: {error}") from error
    assert isinstance(message, PeerMessage)
    return message
