"""How far the stop of an instance has come, for the log."""

from enum import Enum

from cactuspass._clock import now


class StopPhase(Enum):
    """Steps of a stop, in order."""

    NOTICE = "notice"
    DRAINING = "draining"
    ENDING = "ending"
    CLOSING = "closing"


class StopProgress:
    """The phase of the stop, and the time since its signal.

    :ivar phase: current step; None while the instance is not stopping.
    """

    def __init__(self) -> None:
        self.phase: StopPhase | None = None
        self._signalled_at = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the instance is stopping."""
        return self.phase is not None

    def begin(self, signalled_at: float | None = None) -> None:
        """Record that the stop has begun.

        :param signalled_at: clock value at which the signal came; None for now.
        """
        self.phase = StopPhase.NOTICE
        self._signalled_at = now() if signalled_at is None else signalled_at

    def enter(self, phase: StopPhase) -> None:
        """Record the next step, unless no stop has begun."""
        if self.has_begun:
            self.phase = phase

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line; none while the instance is not stopping."""
        if self.phase is None:
            return {}
        return {"stop_phase": self.phase.value, "since_signal": now() - self._signalled_at}
