"""When the steps of an instance's stop are due, from its signal and the platform's grace time."""

from dataclasses import dataclass

from cactuspass._stop_signal import SignalTime

# Time for the load balancer to notice that the instance is no longer ready.
DRAIN_NOTICE_SECONDS = 2.6
MAX_NOTICE_SHARE_OF_GRACE = 1 / 3
# Part of the grace time that is kept for closing after the wait for running requests.
STOP_MARGIN_SECONDS = 0.6
MAX_STOP_MARGIN_SHARE_OF_GRACE = 1 / 4
# Share of the grace time after the signal for which no running request is ended.
MIN_WORK_SHARE_OF_GRACE = 5 / 6


@dataclass(frozen=True, slots=True)
class StopBounds:
    """Clock values at which the steps of a stop are due.

    :param notice_end: callers' connections are closed from here on.
    :param earliest_notice_end: the same, if the signal was sent at the earliest possible moment.
    :param ends_at: all requests that still run are ended.
    """

    notice_end: float
    earliest_notice_end: float
    ends_at: float

    @classmethod
    def of(cls, signal_time: SignalTime, grace_seconds: float) -> "StopBounds":
        """Return the bounds of a stop.

        The requests are ended by the earliest moment at which the signal may have been sent, since
        the platform's grace time runs from there; but none is ended before its share of the grace
        time since the receipt.

        :param grace_seconds: seconds after the signal in which the platform kills the process.
        """
        margin = min(STOP_MARGIN_SECONDS, grace_seconds * MAX_STOP_MARGIN_SHARE_OF_GRACE)
        notice_seconds = min(DRAIN_NOTICE_SECONDS, grace_seconds * MAX_NOTICE_SHARE_OF_GRACE)
        longest = grace_seconds - margin
        shortest = min(longest, grace_seconds * MIN_WORK_SHARE_OF_GRACE)
        return cls(
            notice_end=signal_time.received + notice_seconds,
            earliest_notice_end=signal_time.earliest + notice_seconds,
            ends_at=max(signal_time.earliest + longest, signal_time.received + shortest),
        )
