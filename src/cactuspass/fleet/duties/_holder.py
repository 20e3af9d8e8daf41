"""The right of the leader to make the calls that one instance at a time makes."""

from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._presence import Term


class DutyHolder:
    """Derives the right to act from the term in which this instance leads.

    An earlier holder's calls end before its lease does. A new holder waits longer than a call of a
    paused or disconnected earlier holder can still be under way.

    :param term: returns the current term of this instance; None while it does not lead.
    :param term_seconds_left: returns the seconds until the term ends unless it is renewed.
    :param wait_seconds: time between the start of a term and the first call in it.
    """

    def __init__(
        self,
        term: Callable[[], Term | None],
        term_seconds_left: Callable[[], float],
        wait_seconds: float,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._read_term = term
        self._read_seconds_left = term_seconds_left
        self._wait_seconds = wait_seconds
        self._log = log
        self._metrics = metrics
        self._term: Term | None = None
        self._since = 0.0
        self._has_waited = False

    @property
    def term_fence(self) -> int | None:
        """Fence number of the current term, also while its holder still waits; None without one."""
        term = self._read_term()
        if term != self._term:
            self._change_term(term)
        return term.revision if term is not None else None

    @property
    def fence(self) -> int | None:
        """Fence number for a call now; None if this instance may not call.

        It must be read again before each call.
        """
        fence = self.term_fence
        if fence is None or now() - self._since < self._wait_seconds:
            return None
        if not self._has_waited:
            self._has_waited = True
            self._metrics.holds_duties.set(1)
            self._log.state_change("duties-held", fence=fence, waited=self._wait_seconds)
        return fence

    @property
    def seconds_left(self) -> float:
        """Seconds within which a call that begins now must end."""
        return self._read_seconds_left() if self.term_fence is not None else 0.0

    @property
    def held_seconds(self) -> float:
        """Seconds since the start of the current term."""
        return now() - self._since

    def _change_term(self, term: Term | None) -> None:
        if self._has_waited and self._term is not None:
            self._log.state_change(
                "duties-given-up", fence=self._term.revision, held=self.held_seconds
            )
        self._metrics.holds_duties.set(0)
        self._term = term
        self._since = now()
        self._has_waited = False
