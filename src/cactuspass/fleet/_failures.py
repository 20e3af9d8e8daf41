"""Why an attempt, or a whole request, produced no response for the caller."""

from enum import Enum
from http import HTTPStatus

from cactuspass.exceptions import RequestError
from cactuspass.fleet._answer_head import AnswerHead
from cactuspass.fleet._choices import NoUpstream

# To callers these mean that the request has not run.
REFUSAL_STATUSES = frozenset(
    {HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)


class Failure(Enum):
    """Why an attempt produced no response that can be sent to the caller."""

    NOT_REACHED = "not-reached"
    WITHDRAWN = "withdrawn"
    NOT_RUN = "not-run"
    RECALLED = "recalled"
    CONNECTION_BROKEN = "connection-broken"
    INVALID_ANSWER = "invalid-answer"
    STALLED = "stalled"
    NOT_FROM_APPLICATION = "not-genuine"
    SERVER_ERROR = "server-error"
    UNCONFIRMED_REFUSAL = "unconfirmed-refusal"

    @property
    def is_known_not_run(self) -> bool:
        """Whether it is certain that the upstream has not run the request."""
        return self in (Failure.NOT_REACHED, Failure.WITHDRAWN, Failure.NOT_RUN)

    @property
    def is_unsent(self) -> bool:
        """Whether no byte was sent, so that another attempt does not count as a retry."""
        return self in (Failure.NOT_REACHED, Failure.WITHDRAWN)


# The upstream itself answered, so it can be reached.
FAILURES_OF_APPLICATION = frozenset(
    {Failure.SERVER_ERROR, Failure.NOT_FROM_APPLICATION, Failure.UNCONFIRMED_REFUSAL}
)


class AttemptFailed(RequestError):
    """An attempt ended without a complete response.

    :param head: head of the upstream's error response, which is sent to the caller if no other
        attempt succeeds.
    :param body: body of that response.
    """

    def __init__(self, failure: Failure, head: AnswerHead | None = None, body: bytes = b"") -> None:
        super().__init__(failure.value)
        self.failure = failure
        self.head = head
        self.body = body


class NoUpstreamAvailable(RequestError):
    """No upstream can accept the request now.

    :param no_upstream: the reason, and the time after which to retry.
    """

    def __init__(self, no_upstream: NoUpstream) -> None:
        super().__init__(no_upstream.reason.value)
        self.no_upstream = no_upstream


class DeadlinePassed(RequestError):
    """The time limit of the caller or of the route has passed."""
