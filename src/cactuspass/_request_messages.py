"""Inputs to the core and orders from it that concern requests.

Times are seconds of the clock that is passed to the core, unless stated otherwise.
"""

from dataclasses import dataclass
from enum import Enum

from cactuspass._message_base import Input, Order
from cactuspass.models import (
    BootId,
    CustomerId,
    EntryId,
    GroupId,
    InstanceId,
    Priority,
    RequestId,
)


class RefusalReason(Enum):
    """Why a request was refused before it could run."""

    NO_CAPACITY = "no-capacity"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline-cannot-be-met"
    NOT_SERVED = "not-served"
    DRAINING = "draining"
    MEMORY = "memory-full"
    NOT_HOLDER = "not-holder"
    NOT_CLAIMED = "key-not-claimed"


@dataclass(frozen=True, slots=True)
class RequestArrived(Input):
    """A request arrived and must be routed.

    :param model: model, or ``service:NAME`` for a plain service.
    :param tokens: estimate of the prompt tokens plus the requested output tokens, from which memory
        and cost are derived.
    :param deadline: time by which the first byte is due, on the local clock.
    :param forwarded_by: peer that forwarded the request; None if it came from a caller.
    :param prefixes: hashes of the leading parts of the prompt, longest part last.
    :param excluded: groups and peers that failed to serve the request in earlier attempts.
    :param returning: whether the caller marked the request as a retry.
    """

    request_id: RequestId
    customer: CustomerId
    model: str
    tokens: int
    priority: Priority
    deadline: float
    forwarded_by: EntryId | None = None
    prefixes: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    returning: bool = False


@dataclass(frozen=True, slots=True)
class RequestFinished(Input):
    """A dispatched request ended, with any outcome.

    :param succeeded: whether the upstream returned a complete answer without a server error.
    :param started: whether a byte may have reached the upstream.
    :param boot_id: boot id in the answer; empty if there was none.
    """

    request_id: RequestId
    succeeded: bool
    started: bool = True
    boot_id: BootId = BootId("")


@dataclass(frozen=True, slots=True)
class RequestWithdrawn(Input):
    """The caller or the forwarding peer disconnected while the request was queued."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CacheReported(Input):
    """A cache event of an engine arrived; events may be late or missing.

    :param sequence: number of the event; a gap in the numbers means that events were lost.
    :param added: hashes of the prefixes that the engine has cached.
    :param removed: hashes of the prefixes that the engine has evicted.
    """

    instance_id: InstanceId
    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch(Order):
    """Order to send the request to a group that this entry holds.

    :param address: address of the group's rank 0.
    """

    request_id: RequestId
    group_id: GroupId
    instance_id: InstanceId
    address: str
    boot_id: BootId


@dataclass(frozen=True, slots=True)
class Forward(Order):
    """Order to forward the request to a peer that holds groups of its model."""

    request_id: RequestId
    entry_id: EntryId


@dataclass(frozen=True, slots=True)
class Refuse(Order):
    """Order to refuse the request, which has not run.

    :param retry_after: seconds after which a retry is likely to succeed; 0 if none will.
    :param detail: further information for the caller.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str = ""
