"""Problem details (RFC 9457) that are sent to callers and operators in place of an answer."""

import json
import math
from dataclasses import dataclass
from enum import Enum

from cactuspass._messages import RefusalReason
from cactuspass.exceptions import (
    AnswerCut,
    KeyReused,
    RequestError,
    RequestInProgress,
    RequestRefused,
)

CONTENT_TYPE = "application/problem+json"


class RunState(Enum):
    """Whether a failed request has run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """One refusal or failure of a request.

    :param code: last part of the problem type.
    :param run: whether the request may have run.
    :param retry_after: seconds after which to retry; None if a retry cannot help.
    """

    status: int
    code: str
    title: str
    detail: str
    run: RunState
    retry_after: float | None = None

    def body(self) -> bytes:
        """Return the JSON body; its member ``error`` has the format that OpenAI clients read."""
        members = {
            "type": f"urn:cactuspass:problem:{self.code}",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "run": self.run.value,
            "error": {"message": f"{self.title}: {self.detail}", "type": self.code},
        }
        return json.dumps(members).encode()

    def headers(self) -> dict[str, str]:
        """Return the header fields of the response."""
        fields = {"Content-Type": CONTENT_TYPE}
        if self.retry_after is not None:
            fields["Retry-After"] = str(max(1, math.ceil(self.retry_after)))
        return fields


STATUS_BY_REASON = {
    RefusalReason.NO_CAPACITY: 503,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.DEADLINE: 503,
    RefusalReason.NOT_SERVED: 404,
    RefusalReason.DRAINING: 503,
    RefusalReason.MEMORY: 503,
    RefusalReason.NOT_HOLDER: 503,
    RefusalReason.NOT_CLAIMED: 503,
}


def bad_request(detail: str, status: int = 400, code: str = "bad-request") -> Problem:
    """Return the problem of an invalid request."""
    return Problem(status, code, "The request cannot be served", detail, RunState.NOT_RUN)


def problem_from_error(error: RequestError) -> Problem:
    """Return the problem that describes an error to the caller."""
    if isinstance(error, RequestRefused):
        retry = error.retry_after if error.retry_after > 0 else None
        return Problem(
            STATUS_BY_REASON[error.reason],
            error.reason.value,
            "The request was refused and has not run",
            str(error),
            RunState.NOT_RUN,
            retry,
        )
    if isinstance(error, RequestInProgress):
        title = "An earlier try is still running"
        return Problem(409, "in-progress", title, str(error), RunState.UNKNOWN, error.retry_after)
    if isinstance(error, KeyReused):
        title = "The idempotency key belongs to another request"
        return Problem(422, "key-reused", title, str(error), RunState.NOT_RUN)
    title = "The answer broke off" if isinstance(error, AnswerCut) else "The outcome is unknown"
    code = "answer-cut" if isinstance(error, AnswerCut) else "outcome-unknown"
    return Problem(502, code, title, str(error), RunState.UNKNOWN)
