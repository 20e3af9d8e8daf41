"""Calls to the platform that one instance at a time makes, and their outcomes."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from cactuspass.models import CustomerId, DataCentreId, ServiceId

MayCall = Callable[[], bool]


class CallOutcome(Enum):
    """Outcome of a call to the platform.

    :cvar ACCEPTED: the platform has accepted the call.
    :cvar RATE_LIMITED: the calls of all instances together are above the rate limit.
    :cvar REFUSED: the platform refuses the content of the call or the sender.
    :cvar NOT_SENT: no byte of the call was sent.
    :cvar UNKNOWN: no valid answer has arrived, so the call may or may not have taken effect.
    """

    ACCEPTED = "accepted"
    RATE_LIMITED = "rate-limited"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The requests that upstreams began in one window.

    :param window: number of the window since the start of 1970.
    """

    window: int
    counts_by_customer: Mapping[CustomerId, int]


@dataclass(frozen=True, slots=True)
class UpstreamCountOrder:
    """The number of upstreams that a service is to have in a data centre."""

    service: ServiceId
    data_centre: DataCentreId
    count: int


class PlatformDuties(ABC):
    """Sends the calls that are the duty of one instance at a time.

    The caller limits the duration of a call by cancelling it. Nothing of a cancelled call may reach
    the platform later.
    """

    @abstractmethod
    async def report_usage(self, report: UsageReport, fence: int, may_send: MayCall) -> CallOutcome:
        """Send the report of a window; equal reports are sent as the same bytes.

        :param fence: number of the sender's term.
        :param may_send: called just before the call is written to an open connection; returns
            whether the sender still has the right to call.
        :return: ``NOT_SENT`` also when it may not be sent any more.
        """

    @abstractmethod
    async def order_upstream_count(
        self, order: UpstreamCountOrder, fence: int, may_send: MayCall
    ) -> CallOutcome:
        """Order a number of upstreams; the parameters are those of :meth:`report_usage`."""
