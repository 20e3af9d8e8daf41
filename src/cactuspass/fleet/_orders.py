"""Orders to upstreams, their outcomes and the reports of upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cactuspass.fleet._inbound import StatedLimit
from cactuspass.fleet._upstreams import GroupKey, Membership, Upstream, UpstreamId
from cactuspass.models import ModelId


@dataclass(frozen=True, slots=True)
class Join:
    """Join a group.

    :param members: ids of all members by rank; the first member is the head.
    """

    key: GroupKey
    model: ModelId
    members: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True)
class Open:
    """Start accepting requests for a group; sent to its head."""

    key: GroupKey


@dataclass(frozen=True, slots=True)
class Close:
    """Stop accepting requests for a group; sent to its head.

    :param cut: abort running requests instead of waiting for them to finish.
    """

    key: GroupKey
    cut: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """Leave a group at once, whatever its head does."""

    key: GroupKey


@dataclass(frozen=True, slots=True)
class Stage:
    """Load the weights of a model from the weight store onto the host."""

    model: ModelId


Order = Join | Open | Close | Leave | Stage


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """An order and its target.

    :param target: the upstream as it was when the order was planned.
    :param reason: why the order is sent, for the log.
    :param expected_sequence: number of orders that the target must have accepted in this lifetime;
        otherwise it refuses the order. None disables the check.
    """

    target: Upstream
    order: Order
    reason: str
    expected_sequence: int | None = None


class OrderOutcome(Enum):
    """Outcome of an order.

    :cvar BEGUN: the upstream has accepted the order and carries it out.
    :cvar HOLDS: the upstream is already in the ordered state, or an order to leave is done.
    :cvar CONFLICT: the upstream refuses the order in its present state, for example since it has
        accepted another number of orders than expected or is not in the group.
    :cvar OUTDATED: the order refers to an epoch or member list that has been replaced.
    :cvar NOT_REACHED: the order has not arrived at this run of the upstream.
    :cvar UNKNOWN: no answer has arrived, so the order may or may not have been carried out.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    OUTDATED = "outdated"
    NOT_REACHED = "not-reached"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Status report of an upstream, which may be some hundred milliseconds old.

    :param running: requests that run.
    :param queued: requests that wait.
    :param pace: factor on the upstream's processing times; above 1 is slow.
    :param busy: whether the upstream is carrying out an order, such as to load weights.
    :param sequence: number of orders that the upstream has accepted in this lifetime.
    :param born_ms: start of this lifetime, in Unix milliseconds.
    :param limit: the limit for requests that the response states; None when there is none.
    """

    running: int
    queued: int
    pace: float
    membership: Membership | None
    busy: bool
    sequence: int
    born_ms: int
    limit: StatedLimit | None = None


class UpstreamControl(ABC):
    """Sends orders to upstreams and fetches their reports."""

    @abstractmethod
    async def send_order(
        self, addressed: AddressedOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Send one order; the upstream checks the order's expected sequence number.

        :param may_send: called just before the order is written to an open connection; returns
            whether the sender still has the right to give orders.
        :return: ``NOT_REACHED`` also when it may not be sent any more.
        """

    @abstractmethod
    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Fetch the report of an upstream.

        :param timeout: seconds to wait for the answer.
        :return: the report, or None when no valid answer arrived in time.
        """
