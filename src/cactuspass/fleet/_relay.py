"""The base of relays, which make attempts until the caller has a complete response."""

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
from cactuspass.fleet._active_attempt import ActiveAttempt
from cactuspass.fleet._attempts import Attempts
from cactuspass.fleet._choices import Selection
from cactuspass.fleet._connections import ConnectionClosed
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._failures import AttemptFailed, DeadlinePassed, Failure
from cactuspass.fleet._timeouts import call_within

T = TypeVar("T")


def is_connection_closed(error: BaseException) -> bool:
    """Return whether an attempt has failed because its upstream closed the connection."""
    is_lost = isinstance(error, RunOutcomeUnknown | AnswerCut)
    return is_lost and isinstance(error.__cause__, ConnectionClosed)


class Relay(ABC):
    """Relays the response to one request from an upstream to the caller."""

    def __init__(self, attempts: Attempts, delivery: Delivery) -> None:
        self._attempts = attempts
        self._delivery = delivery

    @abstractmethod
    async def run(self) -> None:
        """Deliver the response.

        :raises NoUpstreamAvailable: if no upstream can accept the request.
        :raises DeadlinePassed: if the deadline of the request has passed.
        :raises AttemptFailed: if the last attempt failed and no other one may be made.
        """

    async def _send(self, selection: Selection, last_event_id: str | None = None) -> ActiveAttempt:
        """Send the request to an upstream.

        :raises AttemptFailed: if the request was not sent.
        """
        try:
            return await self._attempts.send(selection, last_event_id)
        except SendWithdrawn:
            failure = Failure.WITHDRAWN
        except UpstreamNotReached:
            failure = Failure.NOT_REACHED
        self._attempts.record_failure(failure, selection.upstream, None)
        raise AttemptFailed(failure)

    async def _receive_or_record_failure(
        self, active: ActiveAttempt, receive: Callable[[], Awaitable[T]]
    ) -> T:
        """Receive the response of an attempt, and record the failure if there is one.

        :param receive: receives the response; raises the errors of an exchange.
        :raises AttemptFailed: if the response is incomplete or must not be sent to the caller.
        """
        try:
            return await receive()
        except AttemptFailed as error:
            self._attempts.record_failure(error.failure, active.upstream, active)
            raise
        except (RunOutcomeUnknown, AnswerCut) as error:
            self._attempts.guarded.note_attempt_ended()
            if active.is_recalled:
                self._attempts.record_failure(Failure.RECALLED, active.upstream, active)
                raise AttemptFailed(Failure.RECALLED) from None
            if is_connection_closed(error):
                failure = Failure.CONNECTION_BROKEN
                self._attempts.note_crash(active)
            else:
                failure = Failure.INVALID_ANSWER
                self._log_invalid(active, error)
            self._attempts.record_failure(failure, active.upstream, active)
            raise AttemptFailed(failure) from None

    def _log_invalid(self, active: ActiveAttempt, error: RunOutcomeUnknown | AnswerCut) -> None:
        """Log why a response was aborted because of what the upstream sent."""
        cause = error.__cause__ or error
        self._attempts.dependencies.log.request(
            "answer-oversize" if isinstance(cause, AnswerOversize) else "answer-invalid",
            self._attempts.request.request_id,
            upstream=active.upstream.upstream_id,
            reason=str(cause),
        )

    async def _receive_unless_stalled(
        self,
        active: ActiveAttempt,
        call: Callable[[], Awaitable[T]],
        stall_timeout: float,
        again_after: float | None = None,
    ) -> T:
        """Receive a part of the response; fail on a stall if the request can be sent elsewhere.

        Without another upstream, only mark this one as unresponsive and continue to wait.

        :param stall_timeout: seconds without data after which the upstream counts as unresponsive.
        :param again_after: seconds after which it counts as such again; None for the same time.
        :raises AttemptFailed: if the upstream stalls and another one can accept the request.
        :raises DeadlinePassed: if the deadline of the request has passed.
        """
        while True:
            try:
                return await self._call_within(stall_timeout, call)
            except TimeoutError:
                if self._attempts.could_retry_elsewhere(active.upstream):
                    self._attempts.note_silence(active)
                    raise AttemptFailed(Failure.STALLED) from None
                self._attempts.note_unresponsive(active)
                stall_timeout = again_after or stall_timeout

    async def _receive_within_deadline(self, call: Callable[[], Awaitable[T]]) -> T:
        """Receive a part of the response before the deadline of the request.

        :raises DeadlinePassed: if the deadline has passed.
        """
        try:
            return await self._call_within(float("inf"), call)
        except TimeoutError:
            raise DeadlinePassed from None

    async def _call_within(self, seconds: float, call: Callable[[], Awaitable[T]]) -> T:
        """Return the result of a call, with a timeout in seconds that ends at the deadline.

        The deadline is checked first: what has arrived already would be read without a turn for
        the timeout.

        :raises TimeoutError: if the call does not finish in time.
        :raises DeadlinePassed: if the deadline has passed before the call.
        """
        left = self._attempts.seconds_left
        if left <= 0:
            raise DeadlinePassed
        return await call_within(min(seconds, left), call, lambda: self._attempts.seconds_left)
