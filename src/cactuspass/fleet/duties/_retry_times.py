"""When a call to the platform is repeated."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from cactuspass.fleet.duties._calls import CallOutcome

NOT_SENT_SECONDS = 0.25
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 2.0
# A refusal is not expected to change soon, but may be due to a platform that is impaired.
REFUSED_SECONDS = 5.0

S = TypeVar("S", bound=Hashable)


class RetryTimes(Generic[S]):
    """The next time at which each subject of a call may be sent again."""

    def __init__(self) -> None:
        self._failures_by_subject: dict[S, int] = {}
        self._next_by_subject: dict[S, float] = {}
        self._refused: set[S] = set()

    def is_due(self, subject: S, at: float) -> bool:
        """Return whether a subject may be sent at a clock value."""
        return at >= self._next_by_subject.get(subject, float("-inf"))

    def record(self, subject: S, outcome: CallOutcome, at: float) -> None:
        """Record the outcome of a call; failures that follow each other double the pause."""
        self._refused.discard(subject)
        if outcome is CallOutcome.ACCEPTED:
            self._failures_by_subject.pop(subject, None)
            self._next_by_subject.pop(subject, None)
        elif outcome is CallOutcome.NOT_SENT:
            self._next_by_subject[subject] = at + NOT_SENT_SECONDS
        elif outcome is CallOutcome.REFUSED:
            self._refused.add(subject)
            self._next_by_subject[subject] = at + REFUSED_SECONDS
        else:
            failures = self._failures_by_subject.get(subject, 0)
            self._failures_by_subject[subject] = failures + 1
            pause = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 10))
            self._next_by_subject[subject] = at + pause

    def forget_refusal(self, subject: S) -> None:
        """Let a subject whose last call was refused be sent at once, since its content changes."""
        if subject in self._refused:
            self._refused.discard(subject)
            self._next_by_subject.pop(subject, None)

    def clear(self) -> None:
        """Forget the failures of all subjects."""
        self._failures_by_subject.clear()
        self._next_by_subject.clear()
        self._refused.clear()
