"""Records the limits that upstreams state, and logs what changes."""

from cactuspass._clock import now
from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._inbound import AnswerNotes, StatedLimit
from cactuspass.fleet._metrics import Metrics
from cactuspass.fleet._request_limits import LimitChange, RequestLimits
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import RequestId

ANSWER_SOURCE = "answer"
MAX_UNREADABLE_TEXTS = 1024


class LimitNotices:
    """Keeps the limits by what upstreams state in their responses."""

    def __init__(self, limits: RequestLimits, log: DecisionLog, metrics: Metrics) -> None:
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._unreadable_text_by_id: dict[UpstreamId, str] = {}

    def apply_answer(
        self, upstream: Upstream, notes: AnswerNotes, request: RequestId, sent_at: float
    ) -> None:
        """Record the limit, or that there is none, in the response to a request.

        A response that is not the upstream's own says nothing about it.

        :param sent_at: clock value at which the request was sent.
        """
        if notes.from_another or not (notes.from_application or notes.not_run):
            return
        if notes.limit is not None and notes.limit.rate is None:
            self._note_unreadable(upstream, notes.limit, request)
            return
        rate = notes.limit.rate if notes.limit is not None else None
        self._record(upstream, rate, sent_at, ANSWER_SOURCE, request)

    def _record(
        self,
        upstream: Upstream,
        rate: float | None,
        sent_at: float,
        source: str,
        request: RequestId | None = None,
    ) -> None:
        at = now()
        known = self._limits.find(upstream.lifetime)
        before = known.rate if known is not None else None
        change = self._limits.record(upstream.lifetime, rate, sent_at, at)
        if change is LimitChange.NONE:
            return
        self._metrics.stated_limits.labels(change.value, source).inc()
        self._log.state_change(
            "upstream-limit",
            upstream=upstream.upstream_id,
            service=upstream.service,
            born_ms=upstream.born_ms,
            change=change.value,
            limit=rate,
            before=before,
            by=source,
            request=request,
            since=known.since if known is not None else at,
            sent=known.sent if known is not None else None,
        )

    def _note_unreadable(self, upstream: Upstream, stated: StatedLimit, request: RequestId) -> None:
        """Log a value that cannot be parsed, unless it was the last such one of the upstream."""
        if self._unreadable_text_by_id.get(upstream.upstream_id) == stated.text:
            return
        if len(self._unreadable_text_by_id) >= MAX_UNREADABLE_TEXTS:
            self._unreadable_text_by_id.clear()
        self._unreadable_text_by_id[upstream.upstream_id] = stated.text
        self._metrics.stated_limits.labels("unreadable", ANSWER_SOURCE).inc()
        self._log.state_change(
            "upstream-limit-unreadable",
            upstream=upstream.upstream_id,
            service=upstream.service,
            stated=stated.text,
            request=request,
        )
