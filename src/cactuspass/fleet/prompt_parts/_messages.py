"""Datagrams between instances on parts of prompts that make upstreams crash."""

from dataclasses import dataclass
from typing import Literal

from pydantic import TypeAdapter

from cactuspass.fleet._datagrams import DatagramCodec
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._parts import (
    AnswerStage,
    Block,
    CrashReport,
    PartKey,
    PromptPartId,
)
from cactuspass.models import CustomerId, EntryId, ModelId, RequestId, ServiceId

MAX_MESSAGE_BYTES = 1200
# A block names parts that were always together; it may be sent in fragments.
MAX_BLOCK_MESSAGE_BYTES = 32_768
MAX_REQUEST_ID_CHARS = 64  # of an id that a caller has chosen


@dataclass(frozen=True, slots=True)
class CrashMessage:
    """A crash report, with durations, since clocks of different instances cannot be compared.

    :param parts: parts of prompts for one model.
    :param sent_ago: seconds since the request was sent.
    :param broke_ago: seconds since the connection was closed.
    """

    service: ServiceId
    model: ModelId
    parts: tuple[PromptPartId, ...]
    customer: CustomerId
    lifetime: Lifetime
    sent_ago: float
    broke_ago: float
    was_writing: bool
    instance: EntryId
    request: RequestId
    is_complete: bool
    stage: AnswerStage
    kind: Literal["upstream-crash"] = "upstream-crash"

    def to_report(self, at: float) -> CrashReport:
        """Return the report by this instance's clock.

        :param at: clock value at which the message was received.
        """
        return CrashReport(
            tuple(PartKey(self.service, self.model, part) for part in self.parts),
            self.customer,
            self.lifetime,
            at - max(0.0, self.sent_ago),
            at - max(0.0, self.broke_ago),
            self.was_writing,
            self.instance,
            self.request,
            self.is_complete,
            self.stage,
        )


@dataclass(frozen=True, slots=True)
class Clearance:
    """A part on which an answer has come as far as a stage recently.

    :param seconds_ago: seconds since then.
    """

    key: PartKey
    seconds_ago: float


@dataclass(frozen=True, slots=True)
class ClearanceMessage:
    """Parts on which answers have begun, or were whole, recently."""

    clearances: tuple[Clearance, ...]
    stage: AnswerStage
    kind: Literal["part-cleared"] = "part-cleared"


@dataclass(frozen=True, slots=True)
class BreakMessage:
    """An upstream that has closed connections on which answers were expected."""

    upstream_id: UpstreamId
    kind: Literal["upstream-broke"] = "upstream-broke"


@dataclass(frozen=True, slots=True)
class BlockMessage:
    """The state of a block."""

    block: Block
    kind: Literal["part-block"] = "part-block"


PartMessage = BreakMessage | CrashMessage | ClearanceMessage | BlockMessage
_CODEC: DatagramCodec[PartMessage] = DatagramCodec(
    TypeAdapter(PartMessage), MAX_BLOCK_MESSAGE_BYTES
)


def message_of(report: CrashReport, at: float) -> CrashMessage:
    """Return the message for a crash report.

    :param at: clock value of this instance now.
    """
    first = report.keys[0]
    return CrashMessage(
        first.service,
        first.model,
        tuple(key.part for key in report.keys),
        report.customer,
        report.lifetime,
        at - report.sent_at,
        at - report.broke_at,
        report.was_writing,
        report.instance,
        RequestId(report.request[:MAX_REQUEST_ID_CHARS]),
        report.is_complete,
        report.stage,
    )


def encode_part_message(message: PartMessage) -> bytes | None:
    """Return the datagram for a message; None if it is too large."""
    datagram = _CODEC.encode(message)
    return datagram if datagram is not None and len(datagram) <= _max_bytes(message) else None


def decode_part_message(datagram: bytes) -> PartMessage | None:
    """Return the message in a datagram; None when this is no such message."""
    message = _CODEC.decode(datagram)
    return message if message is not None and len(datagram) <= _max_bytes(message) else None


def _max_bytes(message: PartMessage) -> int:
    """Return the size that the datagram of a message must not exceed."""
    return MAX_BLOCK_MESSAGE_BYTES if isinstance(message, BlockMessage) else MAX_MESSAGE_BYTES
