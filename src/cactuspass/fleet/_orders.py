"""Orders to upstreams, and what the upstreams answer."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from cactuspass.fleet._upstreams import GroupKey, Membership, Upstream, UpstreamId
from cactuspass.models import ModelId


@dataclass(frozen=True, slots=True)
class Join:
    """Become a member of a group; the first member is the head."""

    key: GroupKey
    model: ModelId
    members: tuple[UpstreamId, ...]


@dataclass(frozen=True, slots=True)
class Open:
    """Begin to take requests, as the head of a group."""

    key: GroupKey


@dataclass(frozen=True, slots=True)
class Close:
    """Take no more requests, as the head of a group.

    :param cut: break off what is running instead of waiting for its end.
    """

    key: GroupKey
    cut: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """Be a member of no group any more, whatever its head does."""

    key: GroupKey


@dataclass(frozen=True, slots=True)
class Stage:
    """Load the weights of a model onto the host."""

    model: ModelId


Order = Join | Open | Close | Leave | Stage


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """An order and the upstream that it is for, as it was when the order was decided.

    :param reason: why the order is given, for the log.
    :param expected_sequence: the upstream refuses the order unless it has accepted exactly so many
        orders in this lifetime; None accepts any number.
    """

    target: Upstream
    order: Order
    reason: str
    expected_sequence: int | None = None


class OrderOutcome(Enum):
    """What became of an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    CONFLICT = "conflict"
    OUTDATED = "outdated"
    NOT_REACHED = "not-reached"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream says when asked, some hundred milliseconds old.

    :param pace: factor on its times; above 1 is slow.
    :param busy: whether it carries out an order, such as to load weights.
    :param sequence: orders that it has accepted in this lifetime.
    :param born_ms: start of this lifetime, in Unix milliseconds.
    """

    running: int
    queued: int
    pace: float
    membership: Membership | None
    busy: bool
    sequence: int
    born_ms: int


class UpstreamControl(ABC):
    """Gives orders to upstreams and asks for their reports."""

    @abstractmethod
    async def send_order(self, addressed: AddressedOrder) -> OrderOutcome:
        """Give one order; the upstream checks the number of orders that it expects."""

    @abstractmethod
    async def fetch_report(self, upstream: Upstream, timeout: float) -> UpstreamReport | None:
        """Ask an upstream how it is.

        :param timeout: seconds to wait for the answer.
        :return: None when no sound answer came in time.
        """
