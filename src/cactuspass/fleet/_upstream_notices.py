"""Applies what upstreams state in their responses: departures, backoffs and rejections."""

from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._backoff import BackoffTable, clamp_backoff
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._inbound import AnswerNotes, RequestedBackoff
from cactuspass.fleet._limit_notices import LimitNotices
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._pool import ConnectionPool
from cactuspass.fleet._upstreams import Lifetime, Upstream
from cactuspass.models import RequestId

ANSWER_SOURCE = "answer"
HINT_SOURCE = "hint"
LOGGED_EXTENSION_SECONDS = 0.5


class UpstreamNotices:
    """Applies notices of upstreams, received in a response or forwarded by another instance.

    :param send_leaving: informs the other instances that an upstream is leaving.
    :param on_change: called after an upstream has been marked as leaving.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        backoff: BackoffTable,
        limit_notices: LimitNotices,
        pool: ConnectionPool,
        log: DecisionLog,
        metrics: Metrics,
        send_leaving: Callable[[Lifetime], None],
        on_change: Callable[[], None],
    ) -> None:
        self._cluster_state = cluster_state
        self._backoff = backoff
        self._limit_notices = limit_notices
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._send_leaving = send_leaving
        self._on_change = on_change

    def apply(
        self, upstream: Upstream, notes: AnswerNotes, request: RequestId, sent_at: float
    ) -> None:
        """Apply the notices in the response head of an upstream.

        :param request: id of the request that the response belongs to.
        :param sent_at: clock value at which the request was sent.
        """
        self._limit_notices.apply_answer(upstream, notes, request, sent_at)
        if notes.leaving:
            self._send_leaving(upstream.lifetime)
            self._apply_leaving(upstream.lifetime, ANSWER_SOURCE, request, upstream.address)
        if notes.backoff is not None:
            self._apply_backoff(upstream, notes.backoff, request)
        elif notes.not_run:
            self._apply_rejection(upstream, notes, request)

    def apply_leaving_hint(self, lifetime: Lifetime) -> None:
        """Apply another instance's hint that an upstream is leaving."""
        self._apply_leaving(lifetime, HINT_SOURCE, None, None)

    def _apply_leaving(
        self, lifetime: Lifetime, source: str, request: RequestId | None, address: str | None
    ) -> None:
        if not self._cluster_state.mark_leaving(lifetime):
            return
        listed = self._cluster_state.registered_by_id.get(lifetime.upstream_id)
        is_listed = listed is not None and listed.lifetime == lifetime
        if address is None and listed is not None and is_listed:
            address = listed.address
        if address is not None:
            self._pool.close_address(address)
        self._metrics.leaving_upstreams.labels(source).inc()
        self._log.state_change(
            "upstream-leaving",
            upstream=lifetime.upstream_id,
            service=listed.service if listed is not None else None,
            born_ms=lifetime.born_ms,
            by=source,
            request=request,
            since=self._cluster_state.departures.since(lifetime),
        )
        self._on_change()

    def _apply_backoff(
        self, upstream: Upstream, asked: RequestedBackoff, request: RequestId
    ) -> None:
        """Back off from an upstream, and log it unless it hardly extends a backoff in progress.

        Many responses in a row may request nearly the same backoff.
        """
        at = now()
        was_backing_off = self._backoff.is_backing_off(upstream.lifetime, at)
        seconds = clamp_backoff(asked)
        extension = self._backoff.extend(upstream.lifetime, seconds, at)
        if was_backing_off and extension < LOGGED_EXTENSION_SECONDS:
            return
        is_as_asked = seconds == asked.seconds
        taken = "as-asked" if is_as_asked else "unreadable" if asked.seconds is None else "bounded"
        self._metrics.requested_backoffs.labels(taken).inc()
        self._log.state_change(
            "upstream-quiet",
            upstream=upstream.upstream_id,
            service=upstream.service,
            born_ms=upstream.born_ms,
            seconds=seconds,
            asked=None if is_as_asked else asked.text,
            request=request,
            since=at,
        )

    def _apply_rejection(self, upstream: Upstream, notes: AnswerNotes, request: RequestId) -> None:
        """Back off from an upstream that has rejected a request, and log each longer backoff."""
        seconds = self._backoff.record_rejection(upstream.lifetime, now())
        if not seconds:
            return
        self._metrics.rejections.inc()
        self._log.state_change(
            "upstream-rejects",
            upstream=upstream.upstream_id,
            service=upstream.service,
            seconds=seconds,
            running=notes.load.running if notes.load is not None else None,
            waiting=notes.load.waiting if notes.load is not None else None,
            request=request,
        )
