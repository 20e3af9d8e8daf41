"""Upstreams that asked for quiet: when they may get requests again, and how many at once."""

from dataclasses import dataclass

from cactuspass.fleet._inbound import RequestedBackoff
from cactuspass.fleet._upstreams import Lifetime

UNREADABLE_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 60.0
FIRST_ROOM = 1
FULL_ROOM = 8
TRIAL_SECONDS = 0.2
FORGET_SECONDS = 300.0


def clamp_backoff(asked: RequestedBackoff) -> float:
    """Return for how many seconds an upstream is left alone."""
    if asked.seconds is None:
        return UNREADABLE_SECONDS
    return min(asked.seconds, MAX_BACKOFF_SECONDS)


@dataclass(slots=True)
class _Pause:
    """A time of quiet, and the requests that came after it.

    :param until: clock value before which nothing goes to the upstream.
    :param room: requests that may wait there for the head of their answer.
    :param unanswered: requests that do.
    """

    until: float
    room: int = FIRST_ROOM
    unanswered: int = 0


class TrialRequest:
    """A request that went to an upstream after its quiet, and shows how it bears that."""

    def __init__(self, pause: _Pause) -> None:
        self._pause = pause
        self._open = True
        pause.unanswered += 1

    def succeed(self) -> None:
        """Note that the upstream has taken the request; it may get more."""
        if self._open:
            self._pause.room += 1
        self.end()

    def end(self) -> None:
        """Note that nothing more will be known of the request; once is enough."""
        if self._open:
            self._pause.unanswered -= 1
        self._open = False


class BackoffTable:
    """Times of quiet by lifetime of the upstream; this instance's own, as upstreams ask for it."""

    def __init__(self) -> None:
        self._pauses: dict[Lifetime, _Pause] = {}

    def extend(self, lifetime: Lifetime, seconds: float, at: float) -> float:
        """Send nothing to an upstream for a time; return by how much that is longer than before.

        A time that was asked for earlier and is not over is never shortened.
        """
        until = at + seconds
        known = self._pauses.get(lifetime)
        before = max(at, known.until) if known is not None else at
        self._pauses[lifetime] = _Pause(max(until, before))
        return max(0.0, until - before)

    def is_backing_off(self, lifetime: Lifetime, at: float) -> bool:
        """Return whether nothing may be sent to an upstream."""
        pause = self._pauses.get(lifetime)
        return pause is not None and at < pause.until

    def delay(self, lifetime: Lifetime, at: float) -> float:
        """Return the seconds until a request may be sent to an upstream; 0 when it may be now."""
        pause = self._pauses.get(lifetime)
        if pause is None:
            return 0.0
        if at < pause.until:
            return pause.until - at
        if pause.room > FULL_ROOM:
            del self._pauses[lifetime]
            return 0.0
        return TRIAL_SECONDS if pause.unanswered >= pause.room else 0.0

    def begin_trial(self, lifetime: Lifetime) -> TrialRequest | None:
        """Count a request that goes to an upstream; None when it has not asked for quiet."""
        pause = self._pauses.get(lifetime)
        return TrialRequest(pause) if pause is not None else None

    def remove_expired(self, at: float) -> None:
        """Drop what ended long ago."""
        old = [
            lifetime
            for lifetime, pause in self._pauses.items()
            if pause.unanswered == 0 and at - pause.until > FORGET_SECONDS
        ]
        for lifetime in old:
            del self._pauses[lifetime]
