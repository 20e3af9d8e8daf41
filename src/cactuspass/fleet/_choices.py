"""What the choice of an upstream for a request asks for, and what it returns."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from cactuspass.fleet._allowance import LEAST_URGENT_PRIORITY
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.fleet.load_shedding import Prediction, RequestSize, Urgency
from cactuspass.fleet.prompt_parts import ANONYMOUS
from cactuspass.models import CustomerId, ModelId, ServiceId

NO_BACKOFF_SECONDS = float("inf")


class NoUpstreamReason(Enum):
    """Reason why no upstream can take a request now."""

    NONE_SERVES = "no-upstream-serves"
    ALL_BUSY = "all-upstreams-busy"
    ALL_COLD = "all-upstreams-cold"
    ALL_BACKING_OFF = "all-upstreams-quiet"
    ALL_AT_LIMIT = "all-upstreams-at-limit"


class ChoiceStage(Enum):
    """How far a request has come when an upstream is chosen for it.

    A hedge before the first event is sent because the first upstream is late.
    """

    NEW = "new"
    WAITING = "waiting"
    ADMITTED = "admitted"
    HEDGE = "hedge"


@dataclass(frozen=True, slots=True)
class Selection:
    """The upstream that a request should go to.

    :param wait: estimated seconds until it starts the request.
    :param max_event_gap: longest expected time in seconds between two events of a stream while the
        upstream works normally; None when unknown.
    :param prediction: times that are predicted; None when the load of all upstreams is not known.
    """

    upstream: Upstream
    wait: float
    max_event_gap: float | None = None
    prediction: Prediction | None = None


@dataclass(frozen=True, slots=True)
class RoomOutlook:
    """When there is room for a request for which there is none now.

    :param return_interval: seconds between two slots that become free, for each instance.
    :param slot_interval: seconds between two slots of this instance that become free; None if it
        has none or the request must not wait for one.
    :param max_wait: seconds that the request may wait for its first event to be in time.
    :param lent_share: share of the requests without a free slot of their instance that are sent.
    :param is_thinned: whether it was refused for the share of its customer or for its size.
    :param may_try_elsewhere: whether another instance probably has room for it at once.
    """

    return_interval: float
    slot_interval: float | None = None
    max_wait: float = 0.0
    lent_share: float = 0.0
    is_thinned: bool = False
    may_try_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """The result when no upstream can take a request now.

    :param retry_after: estimated seconds until an upstream can take it.
    :param serving_count: number of upstreams that could serve the request, busy and cold included.
    :param wait: estimated wait in seconds at the best of them.
    :param backoff_remaining: seconds until the first upstream that is backing off accepts requests
        again; infinite when none is.
    :param at_limit: upstreams that state a limit and for which this instance has no token left.
    :param token_delay: seconds until this instance has the next token for one of them; infinite if
        it has no share of their limits.
    :param token_interval: seconds between two such tokens; infinite without a share.
    :param limit_rate: requests per second that all instances together may send to them.
    :param room: when there is room for it; None when room is not the reason.
    """

    reason: NoUpstreamReason
    retry_after: float
    serving_count: int = 0
    wait: float | None = None
    backoff_remaining: float = NO_BACKOFF_SECONDS
    at_limit: tuple[Lifetime, ...] = ()
    token_delay: float = float("inf")
    token_interval: float = float("inf")
    limit_rate: float = 0.0
    room: RoomOutlook | None = None


@dataclass(frozen=True, slots=True)
class SelectionRequest:
    """The requirements of a request.

    :param excluded: upstreams at which the request has already failed.
    :param max_wait: longest acceptable wait in seconds.
    :param only: the only upstreams that may take the request; None for no restriction.
    :param full: upstreams that rejected the request a moment ago.
    :param priority: priority of the request, where 0 is the most urgent.
    :param stage: how far the request has come.
    :param is_resumed: whether the caller has a part of the stream already.
    :param customer: customer whose request it is.
    :param route: name of its route.
    :param size: what the caller states about it.
    :param objective: seconds from its arrival within which its first event should come.
    :param objective_left: seconds until its first event is late.
    """

    service: ServiceId
    model: ModelId | None
    excluded: Collection[UpstreamId]
    max_wait: float
    only: Collection[UpstreamId] | None = None
    full: Collection[UpstreamId] = frozenset()
    priority: int = LEAST_URGENT_PRIORITY
    stage: ChoiceStage = ChoiceStage.NEW
    is_resumed: bool = False
    customer: CustomerId = ANONYMOUS
    route: str = ""
    size: RequestSize = RequestSize()
    objective: float = 0.0
    objective_left: float = 0.0

    @property
    def urgency(self) -> Urgency:
        """How urgent the request is."""
        return Urgency(self.priority, self.objective)

    def allows(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream may take the request."""
        if self.only is not None and upstream_id not in self.only:
            return False
        return upstream_id not in self.excluded
