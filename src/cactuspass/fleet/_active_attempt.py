"""An attempt of a request that is in progress at one upstream."""

from dataclasses import dataclass, field

from cactuspass._clock import now
from cactuspass.fleet._backoff import TrialRequest
from cactuspass.fleet._pool import PooledExchange
from cactuspass.fleet._upstreams import Upstream
from cactuspass.fleet.prompt_parts import BrokenAttempt


@dataclass(slots=True)
class ActiveAttempt:
    """An attempt in progress at one upstream.

    :param head_at: clock value at which the head of an answer arrived; None if none has.
    :param has_begun: whether a part of the body has arrived.
    :param heard_at: clock value at which the request was sent or a part of its answer last arrived.
    :param is_recalled: whether this instance has cancelled the attempt.
    :param is_crash_noted: whether its upstream was recorded to have closed the connection.
    :param is_silence_noted: whether its upstream was recorded to be silent.
    """

    upstream: Upstream
    exchange: PooledExchange
    sent_at: float
    trial: TrialRequest | None = None
    head_at: float | None = None
    has_begun: bool = False
    heard_at: float = field(default_factory=now)
    is_recalled: bool = False
    is_crash_noted: bool = False
    is_silence_noted: bool = False
    is_closed: bool = False

    def recall(self) -> None:
        """Cancel the attempt, which has not begun to answer; the request may be sent again.

        An attempt that has ended by itself is left, so that its failure is recorded.
        """
        if not self.exchange.may_be_recalled:
            return
        self.is_recalled = True
        self.exchange.abort()

    @property
    def progress(self) -> str:
        """How much of the answer has arrived, for the log."""
        if self.has_begun:
            return "begun"
        return "none" if self.head_at is None else "head"

    def as_broken(self) -> BrokenAttempt:
        """Return what is reported of the attempt if its upstream has ended."""
        has_head = self.head_at is not None
        return BrokenAttempt(self.upstream.lifetime, self.sent_at, has_head, self.has_begun)

    def end_trial(self, is_answered: bool = False) -> None:
        """Record the outcome if this was a trial request after the upstream's backoff period."""
        if self.trial is None:
            return
        if is_answered:
            self.trial.succeed()
        else:
            self.trial.end()
