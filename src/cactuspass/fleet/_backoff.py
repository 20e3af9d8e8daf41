"""Backoffs after rejections: when each upstream accepts requests again, and how many at once.

An upstream may request a backoff. One that rejects a request without a backoff gets one that grows
with each further rejection: a head whose group is closed or broken rejects at once and reports no
load, so that without a backoff it would look like the best choice for every request.
"""

from dataclasses import dataclass

from cactuspass.fleet._inbound import RequestedBackoff
from cactuspass.fleet._upstreams import Lifetime

UNREADABLE_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
FIRST_TRIAL_LIMIT = 1
MAX_TRIAL_LIMIT = 8
TRIAL_RETRY_SECONDS = 0.2
EXPIRY_SECONDS = 300.0
FIRST_REJECTION_BACKOFF_SECONDS = 0.15
MAX_REJECTION_BACKOFF_SECONDS = 2.4


def clamp_backoff(requested: RequestedBackoff) -> float:
    """Return the backoff in seconds that is applied to a requested one."""
    if requested.seconds is None:
        return UNREADABLE_BACKOFF_SECONDS
    return min(requested.seconds, MAX_BACKOFF_SECONDS)


@dataclass(slots=True)
class _Backoff:
    """A backoff, and the trial requests that follow it.

    :param until: clock value before which no request is sent to the upstream.
    :param limit: number of trial requests that may wait for their response head at once.
    :param unanswered: number of trial requests that wait for it now.
    :param rejections: rejected trial requests since the last one that succeeded.
    """

    until: float
    limit: int = FIRST_TRIAL_LIMIT
    unanswered: int = 0
    rejections: int = 0


class TrialRequest:
    """A request sent after a backoff; its outcome shows whether the upstream accepts more."""

    def __init__(self, backoff: _Backoff) -> None:
        self._backoff = backoff
        self._open = True
        backoff.unanswered += 1

    def succeed(self) -> None:
        """Record that the upstream accepted the request, and raise the limit by one."""
        if self._open:
            self._backoff.limit += 1
            self._backoff.rejections = 0
        self.end()

    def end(self) -> None:
        """Stop counting the request as unanswered; further calls have no effect."""
        if self._open:
            self._backoff.unanswered -= 1
        self._open = False


class BackoffTable:
    """Backoffs by lifetime of the upstream, from its responses to this instance."""

    def __init__(self) -> None:
        self._backoffs_by_lifetime: dict[Lifetime, _Backoff] = {}

    def __len__(self) -> int:
        """Return the number of backoffs on record."""
        return len(self._backoffs_by_lifetime)

    def extend(self, lifetime: Lifetime, seconds: float, at: float) -> float:
        """Back off from an upstream; return the seconds added to its current backoff.

        A backoff in progress is never shortened.
        """
        until = at + seconds
        known = self._backoffs_by_lifetime.get(lifetime)
        before = max(at, known.until) if known is not None else at
        rejections = known.rejections if known is not None else 0
        self._backoffs_by_lifetime[lifetime] = _Backoff(max(until, before), rejections=rejections)
        return max(0.0, until - before)

    def record_rejection(self, lifetime: Lifetime, at: float) -> float:
        """Back off from an upstream that has rejected a request; return for how many seconds.

        Rejections of requests that were sent before a backoff in progress return 0 and change
        nothing.
        """
        if self.is_backing_off(lifetime, at):
            return 0.0
        known = self._backoffs_by_lifetime.get(lifetime)
        rejections = known.rejections if known is not None else 0
        seconds = min(
            MAX_REJECTION_BACKOFF_SECONDS, FIRST_REJECTION_BACKOFF_SECONDS * 2.0**rejections
        )
        self._backoffs_by_lifetime[lifetime] = _Backoff(at + seconds, rejections=rejections + 1)
        return seconds

    def is_backing_off(self, lifetime: Lifetime, at: float) -> bool:
        """Return whether an upstream must not be sent any request."""
        backoff = self._backoffs_by_lifetime.get(lifetime)
        return backoff is not None and at < backoff.until

    def delay(self, lifetime: Lifetime, at: float) -> float:
        """Return the seconds until a request may be sent to an upstream; 0 if it may be now."""
        backoff = self._backoffs_by_lifetime.get(lifetime)
        if backoff is None:
            return 0.0
        if at < backoff.until:
            return backoff.until - at
        if backoff.limit > MAX_TRIAL_LIMIT:
            del self._backoffs_by_lifetime[lifetime]
            return 0.0
        return TRIAL_RETRY_SECONDS if backoff.unanswered >= backoff.limit else 0.0

    def begin_trial(self, lifetime: Lifetime) -> TrialRequest | None:
        """Count a request sent to an upstream; return None if no backoff of it is on record."""
        backoff = self._backoffs_by_lifetime.get(lifetime)
        return TrialRequest(backoff) if backoff is not None else None

    def remove_expired(self, at: float) -> None:
        """Remove the backoffs that ended long ago and have no unanswered trial request."""
        expired = [
            lifetime
            for lifetime, backoff in self._backoffs_by_lifetime.items()
            if backoff.unanswered == 0 and at - backoff.until > EXPIRY_SECONDS
        ]
        for lifetime in expired:
            del self._backoffs_by_lifetime[lifetime]
