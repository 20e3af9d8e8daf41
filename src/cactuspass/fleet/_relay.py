"""What runs of requests have in common: one attempt after the other until the answer is whole."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import TypeVar

from cactuspass.exceptions import (
    AnswerCut,
    AnswerOversize,
    RunOutcomeUnknown,
    SendWithdrawn,
    UpstreamNotReached,
)
from cactuspass.fleet._attempts import (
    ActiveAttempt,
    AttemptFailed,
    Attempts,
    DeadlinePassed,
    Failure,
    within,
)
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._selection import Selection

T = TypeVar("T")


class Relay(ABC):
    """Brings the answer of one request to its caller."""

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        self._attempts = attempts
        self._delivery = delivery

    @abstractmethod
    async def run(self) -> None:
        """Deliver the answer.

        :raises NoUpstreamAvailable: when no upstream can take the request.
        :raises DeadlinePassed: when the time has passed.
        :raises AttemptFailed: when the last attempt failed and no other may be made.
        """

    async def _send(self, chosen: Selection, last_event_id: str | None = None) -> ActiveAttempt:
        """Send the request to an upstream.

        :raises AttemptFailed: when it was not reached.
        """
        try:
            return await self._attempts.send(chosen, last_event_id)
        except SendWithdrawn:
            failure = Failure.WITHDRAWN
        except UpstreamNotReached:
            failure = Failure.NOT_REACHED
        self._attempts.note_failure(failure, chosen.upstream, was_sent=False)
        raise AttemptFailed(failure)

    async def _conclude(self, sent: ActiveAttempt, receive: Callable[[], Awaitable[T]]) -> T:
        """Take the answer of an attempt, and draw the conclusions if that fails.

        :param receive: takes the answer; fails as the methods of an exchange do.
        :raises AttemptFailed: when it isn't one that the caller can have, or not whole.
        """
        try:
            return await receive()
        except AttemptFailed as error:
            self._attempts.note_failure(error.failure, sent.upstream, was_sent=True)
            raise
        except (RunOutcomeUnknown, AnswerCut) as error:
            self._note_oversize(sent, error)
            self._attempts.note_failure(Failure.CONNECTION_BROKEN, sent.upstream, was_sent=True)
            raise AttemptFailed(Failure.CONNECTION_BROKEN) from None

    def _note_oversize(self, sent: ActiveAttempt, error: RunOutcomeUnknown | AnswerCut) -> None:
        """Log that an answer was given up because the upstream sent too much."""
        cause = error if isinstance(error, AnswerOversize) else error.__cause__
        if isinstance(cause, AnswerOversize):
            self._attempts.dependencies.log.request(
                "answer-oversize",
                self._attempts.request.request_id,
                upstream=sent.upstream.upstream_id,
                reason=str(cause),
            )

    async def _wait(
        self, sent: ActiveAttempt, call: Callable[[], Awaitable[T]], patience: float
    ) -> T:
        """Wait for a part of the answer; a silence ends the attempt if it can be made elsewhere.

        :param patience: seconds after which the upstream counts as silent.
        :raises AttemptFailed: when the upstream is silent and another could take the request.
        :raises DeadlinePassed: when the time of the request has passed.
        """
        while True:
            left = self._attempts.seconds_left
            if left <= 0:
                raise DeadlinePassed
            try:
                return await within(min(left, patience), call)
            except TimeoutError:
                if self._attempts.could_retry_elsewhere(sent.upstream):
                    raise AttemptFailed(Failure.STALLED) from None
                self._attempts.note_unresponsive(sent.upstream)

    async def _within_deadline(self, call: Callable[[], Awaitable[T]]) -> T:
        """Wait for a part of the answer as long as anybody does.

        :raises DeadlinePassed: when the time of the request has passed.
        """
        try:
            return await within(self._attempts.seconds_left, call)
        except TimeoutError:
            raise DeadlinePassed from None
