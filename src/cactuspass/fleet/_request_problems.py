"""Problems that callers get for requests that an instance does not serve."""

from cactuspass._problems import Problem, RunState
from cactuspass.fleet.prompt_parts import Block

RETRY_AFTER_SECONDS = 0.5
# Other instances can take the request now.
RETRY_ELSEWHERE_SECONDS = 0.05


def not_run_problem(
    code: str, detail: str, retry_after: float | None, status: int = 503
) -> Problem:
    """Return the problem for a request that has not run."""
    title = "The request was refused and has not run"
    return Problem(status, code, title, detail, RunState.NOT_RUN, retry_after)


def unknown_outcome_problem(code: str, detail: str, status: int) -> Problem:
    """Return the problem for a request that may have run."""
    return Problem(status, code, "The outcome is unknown", detail, RunState.UNKNOWN)


TOO_LATE_PROBLEM = not_run_problem(
    "stopping",
    "the instance is stopping, and the request may not be finished in time",
    RETRY_ELSEWHERE_SECONDS,
)


def blocked_problem(block: Block) -> Problem:
    """Return the problem for a request with a blocked part; no time to retry is known."""
    detail = f"part {'+'.join(block.key.parts)} of the prompt has made upstreams crash"
    return not_run_problem("prompt-part-blocked", detail, None)


def malformed_problem(detail: str, status: int) -> Problem:
    """Return the problem for a request that cannot be parsed."""
    return not_run_problem("malformed", detail, None, status)
