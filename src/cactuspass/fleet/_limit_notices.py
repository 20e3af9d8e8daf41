"""Applies the limits that upstreams state, to this instance or to others that pass it on."""

from collections.abc import Callable

from cactuspass._clock import now
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._inbound import AnswerNotes, StatedLimit
from cactuspass.fleet._limit_messages import LimitMessage
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._orders import UpstreamReport
from cactuspass.fleet._request_limits import LimitChange, RequestLimits
from cactuspass.fleet._upstreams import Lifetime, Upstream, UpstreamId
from cactuspass.models import RequestId

ANSWER_SOURCE = "answer"
REPORT_SOURCE = "report"
HINT_SOURCE = "hint"
MAX_UNREADABLE_TEXTS = 1024


class LimitNotices:
    """Keeps the limits by what upstreams state, and tells the other instances what changes.

    :param send: sends a message to all other instances.
    """

    def __init__(
        self,
        limits: RequestLimits,
        cluster_state: ClusterState,
        log: DecisionLog,
        metrics: Metrics,
        send: Callable[[LimitMessage], None],
    ) -> None:
        self._limits = limits
        self._cluster_state = cluster_state
        self._log = log
        self._metrics = metrics
        self._send = send
        self._unreadable_text_by_id: dict[UpstreamId, str] = {}

    def apply_answer(
        self, upstream: Upstream, notes: AnswerNotes, request: RequestId, sent_at: float
    ) -> None:
        """Apply the limit, or that there is none, in the response to a request.

        A response that is not the upstream's own says nothing about it.

        :param sent_at: clock value at which the request was sent.
        """
        if not notes.from_another and (notes.from_application or notes.not_run):
            self._apply(upstream, notes.limit, sent_at, ANSWER_SOURCE, request)

    def apply_report(self, upstream: Upstream, report: UpstreamReport, asked_at: float) -> None:
        """Apply the limit, or that there is none, in a report.

        :param asked_at: clock value at which the report was asked for.
        """
        if report.born_ms == upstream.born_ms:
            self._apply(upstream, report.limit, asked_at, REPORT_SOURCE)

    def apply_hint(self, message: LimitMessage) -> None:
        """Apply what another instance has learned."""
        sent_at = now() - message.sent_ago
        self._record(message.lifetime, message.rate, sent_at, HINT_SOURCE)

    def _apply(
        self,
        upstream: Upstream,
        stated: StatedLimit | None,
        sent_at: float,
        source: str,
        request: RequestId | None = None,
    ) -> None:
        if stated is not None and stated.rate is None:
            self._note_unreadable(upstream, stated, source, request)
            return
        rate = stated.rate if stated is not None else None
        if self._record(upstream.lifetime, rate, sent_at, source, request):
            self._send(LimitMessage(upstream.lifetime, rate, max(0.0, now() - sent_at)))

    def _record(
        self,
        lifetime: Lifetime,
        rate: float | None,
        sent_at: float,
        source: str,
        request: RequestId | None = None,
    ) -> bool:
        """Record a statement, and log what it changes; return whether it changes anything."""
        at = now()
        known = self._limits.find(lifetime)
        before = known.rate if known is not None else None
        change = self._limits.record(lifetime, rate, sent_at, at)
        if change is LimitChange.NONE:
            return False
        limit = self._limits.find(lifetime)
        listed = self._cluster_state.registered_by_id.get(lifetime.upstream_id)
        self._metrics.stated_limits.labels(change.value, source).inc()
        self._log.state_change(
            "upstream-limit",
            upstream=lifetime.upstream_id,
            service=listed.service if listed is not None else None,
            born_ms=lifetime.born_ms,
            change=change.value,
            limit=rate,
            before=before,
            share=limit.allowance.rate if limit is not None else None,
            by=source,
            request=request,
            since=known.since if known is not None else at,
            sent=known.sent if known is not None else None,
            passed_over=known.passed_over if known is not None else None,
        )
        return True

    def _note_unreadable(
        self, upstream: Upstream, stated: StatedLimit, source: str, request: RequestId | None
    ) -> None:
        """Log a value that cannot be parsed, unless it was the last such one of the upstream."""
        if self._unreadable_text_by_id.get(upstream.upstream_id) == stated.text:
            return
        if len(self._unreadable_text_by_id) >= MAX_UNREADABLE_TEXTS:
            self._unreadable_text_by_id.clear()
        self._unreadable_text_by_id[upstream.upstream_id] = stated.text
        self._metrics.stated_limits.labels("unreadable", source).inc()
        self._log.state_change(
            "upstream-limit-unreadable",
            upstream=upstream.upstream_id,
            service=upstream.service,
            stated=stated.text,
            by=source,
            request=request,
        )
