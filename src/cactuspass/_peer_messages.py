"""Messages between entries and their encoding in CBOR.

A message is encoded as the array ``[protocol version, type name, fields by name]``.
"""

from dataclasses import MISSING, dataclass, fields
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
    """Base class of all messages between entries."""


@dataclass(frozen=True, slots=True)
class Hello(PeerMessage):
    """Identifies the sender; the first message in each direction."""

    entry_id: EntryId
    incarnation: Incarnation
    data_centre: DataCentreId
    address: str
    token: str


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Reports the state of the sender.

    :param grants_returned_at: the sender uses no grant that it requested up to this time of its
        clock; entries of earlier releases do not send it.
    """

    configuration_revision: int
    take_out_tags: tuple[str, ...]
    placement_version: int
    ready: bool
    draining: bool
    groups: tuple[GroupSummary, ...]
    grants_returned_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class AskGrantMessage(PeerMessage):
    """Requests a grant: the receiver must not remove the sender's seat for a while."""

    placement_version: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class GrantMessage(PeerMessage):
    """Grants the receiver ``period`` seconds in which the sender does not remove its seat."""

    placement_version: int
    sent_at: float
    period: float


@dataclass(frozen=True, slots=True)
class SeatMessage(PeerMessage):
    """Hands a seat of the sender over to one entry permanently."""

    to_entry: EntryId
    seat: Seat
    placement_version: int
    foreign_held_by_group: dict[GroupId, int]


@dataclass(frozen=True, slots=True)
class TakeOutsMessage(PeerMessage):
    """Forwards take-outs that may not be stored on the platform yet."""

    take_outs: tuple[TakeOut, ...]


@dataclass(frozen=True, slots=True)
class FetchDocuments(PeerMessage):
    """Requests the receiver's documents and its pending take-outs."""


@dataclass(frozen=True, slots=True)
class Documents(PeerMessage):
    """The configuration and the data centre's placement as stored; empty if the sender has none."""

    data_centre: DataCentreId
    configuration: bytes
    placement: bytes


@dataclass(frozen=True, slots=True)
class ForwardRequest(PeerMessage):
    """Forwards a caller's request for a group that the receiver holds.

    :param seconds_left: seconds until the deadline when the message was sent.
    :param window: number of bytes of the answer that may be sent before the first credit.
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
    """Status and headers of the answer to a forwarded request."""

    request_id: RequestId
    status: int
    headers: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AnswerChunk(PeerMessage):
    """Part of the body of the answer."""

    request_id: RequestId
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd(PeerMessage):
    """The answer was sent completely."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerRefused(PeerMessage):
    """The request was refused and has not run."""

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerFailed(PeerMessage):
    """The request may have run, but its answer is lost or incomplete."""

    request_id: RequestId
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerCredit(PeerMessage):
    """The sender passed on ``count`` bytes of the answer and can receive as many more."""

    request_id: RequestId
    count: int


@dataclass(frozen=True, slots=True)
class CancelForward(PeerMessage):
    """Cancels a forwarded request because its caller disconnected."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AskRows(PeerMessage):
    """Requests the receiver's own rows of a view, or its burn counts.

    :param view: name of the view; empty for the burn counts.
    """

    question_id: str
    view: str


@dataclass(frozen=True, slots=True)
class Rows(PeerMessage):
    """Answer to :class:`AskRows`."""

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
_DEFAULTS_BY_TYPE = {kind: {field.name: field.default for field in fields(kind)} for kind in _TYPES}


def _encode_other(encoder: Any, value: Any) -> None:
    """Encode an enum member as its value and a data class as its fields by name."""
    if isinstance(value, Enum):
        encoder.encode(value.value)
    else:
        encoder.encode({field.name: getattr(value, field.name) for field in fields(value)})


def encode(message: PeerMessage) -> bytes:
    """Encode a message in CBOR, without the fields that have their default value."""
    kind = type(message)
    values = {
        name: getattr(message, name)
        for name, default in _DEFAULTS_BY_TYPE[kind].items()
        if default is MISSING or getattr(message, name) != default
    }
    return cbor2.dumps([PROTOCOL_VERSION, kind.__name__, values], default=_encode_other)


def decode(data: bytes) -> PeerMessage:
    """Decode a message from CBOR.

    :raises PeerError: when the data is malformed, or for another protocol version, an unknown
        type or malformed fields.
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
