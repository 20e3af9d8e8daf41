"""How much of an answer its caller has, and why it could not go on elsewhere, for the log."""

from dataclasses import dataclass
from enum import Enum

from cactuspass._clock import now
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._choices import NoUpstreamReason


class RetryObstacle(Enum):
    """Why a request may not be sent again."""

    PART_BLOCKED = "part-blocked"
    CRASHED_UPSTREAMS = "crashed-upstreams"
    NO_SENDS_LEFT = "no-sends-left"
    NO_TIME_LEFT = "no-time-left"
    UPSTREAM_COUNT = "upstream-count"
    MAY_RUN_ONCE = "may-run-once"
    NO_BUDGET_LEFT = "no-budget-left"
    NO_EVENT_IDS = "no-event-ids"


@dataclass(slots=True)
class AnswerProgress:
    """What the caller of a request has got.

    :param attempt: the attempt whose answer is passed on; None before the first.
    :param passed_bytes: bytes of the body that were passed on.
    :param last_event: id of the last event that was passed on.
    :param obstacle: why the request was not sent again when that was last tried.
    """

    attempt: ActiveAttempt | None = None
    passed_bytes: int = 0
    last_event: str | None = None
    obstacle: RetryObstacle | NoUpstreamReason | None = None

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        attempt = self.attempt
        return {
            "upstream": attempt.upstream.upstream_id if attempt is not None else None,
            "silent": now() - attempt.heard_at if attempt is not None else None,
            "passed_bytes": self.passed_bytes,
            "last_event": self.last_event,
            "not_repeated": self.obstacle.value if self.obstacle is not None else None,
        }
