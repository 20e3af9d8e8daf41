"""Components of an instance that serve requests together."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cactuspass.fleet._answer_buffers import AnswerBuffers
from cactuspass.fleet._budgets import RetryBudget
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._inbound import RequestFormat
from cactuspass.fleet._limit_waits import LimitWaits
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._selection import Selector
from cactuspass.fleet._silence_report import SilenceReport
from cactuspass.fleet._upstream_notices import UpstreamNotices
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.choice import RoomWaits
from cactuspass.fleet.load_exchange import RequestMeter
from cactuspass.fleet.prompt_parts import PartGuard
from cactuspass.models import CustomerId, ServiceId


@dataclass(slots=True)
class RequestDependencies:
    """Components of the instance that are needed to serve a request.

    :param count_begun: counts a request of a customer that an upstream has begun; None where usage
        is not reported.
    """

    request_format: RequestFormat
    selector: Selector
    loads: LoadTable
    pool: ConnectionPool
    log: DecisionLog
    metrics: Metrics
    retry_budget: Callable[[ServiceId], RetryBudget]
    instance_count: Callable[[], int]
    report_unresponsive: Callable[[UpstreamId], None]
    notices: UpstreamNotices
    part_guard: PartGuard
    limit_waits: LimitWaits
    count_begun: Callable[[CustomerId], None] | None = None
    answer_buffers: AnswerBuffers = field(default_factory=AnswerBuffers)
    meter: RequestMeter = field(default_factory=RequestMeter)
    room_waits: RoomWaits = field(default_factory=RoomWaits)
    silences: SilenceReport = field(init=False)

    def __post_init__(self) -> None:
        """Create what is built from the other components."""
        self.silences = SilenceReport(self.loads, self.log)
