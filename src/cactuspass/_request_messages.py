"""Inputs and orders of requests.

Times are seconds of the clock that the edge passes to the core, unless said otherwise.
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
    """A request asks for a place.

    :param model: model, or ``service:NAME`` for a plain service.
    :param tokens: prompt plus requested output tokens, the estimate of memory and cost.
    :param deadline: time by which the first byte is wanted, by the local clock.
    :param forwarded_by: peer that forwarded it; None when a caller sent it here.
    :param prefixes: hashes of the prompt's leading blocks, longest last.
    :param excluded: groups or peers already tried and found unable.
    :param returning: whether the caller says that it comes back after a refusal.
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
    """A dispatched request ended, whatever its outcome.

    :param succeeded: whether the upstream gave a whole answer.
    :param started: whether a byte may have reached the upstream.
    :param boot_id: boot that the answer named; empty when it named none.
    """

    request_id: RequestId
    succeeded: bool
    started: bool = True
    boot_id: BootId = BootId("")


@dataclass(frozen=True, slots=True)
class RequestWithdrawn(Input):
    """The caller or the forwarding peer left while the request waited."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CacheReported(Input):
    """A cache event of an engine arrived, late and maybe after a gap.

    :param sequence: number of the event; a gap means that events were lost.
    """

    instance_id: InstanceId
    sequence: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Dispatch(Order):
    """Send the request to a group that this entry holds.

    :param address: address of the group's rank 0.
    """

    request_id: RequestId
    group_id: GroupId
    instance_id: InstanceId
    address: str
    boot_id: BootId


@dataclass(frozen=True, slots=True)
class Forward(Order):
    """Hand the request to a peer that holds groups of its model."""

    request_id: RequestId
    entry_id: EntryId


@dataclass(frozen=True, slots=True)
class Refuse(Order):
    """Refuse the request, which has not run.

    :param retry_after: seconds after which a new try is likely to succeed; 0 when none will.
    :param detail: what the caller should know besides the reason.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after: float
    detail: str = ""
