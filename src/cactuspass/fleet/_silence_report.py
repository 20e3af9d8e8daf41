"""Reports how many upstreams of a service are silent at the same time."""

from collections import defaultdict

from cactuspass.fleet._decision_log import DecisionLog
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import Upstream, UpstreamId
from cactuspass.models import ServiceId

SILENT_SECONDS = 0.4
REPORT_INTERVAL_SECONDS = 1.0


class SilenceReport:
    """Logs the share of upstreams that are silent, at most once a second for each service.

    Many of them at once are a sign of a cause outside of the upstreams.
    """

    def __init__(self, loads: LoadTable, log: DecisionLog) -> None:
        self._loads = loads
        self._log = log
        self._used_by_service: defaultdict[ServiceId, set[UpstreamId]] = defaultdict(set)
        self._reported_at_by_service: dict[ServiceId, float] = {}

    def note_sent(self, upstream: Upstream) -> None:
        """Record that a request was sent to an upstream."""
        self._used_by_service[upstream.service].add(upstream.upstream_id)

    def report(self, service: ServiceId, at: float) -> None:
        """Log how many of the upstreams at which requests run are silent, if any is."""
        last = self._reported_at_by_service.get(service, float("-inf"))
        if at - last < REPORT_INTERVAL_SECONDS:
            return
        used = {each for each in self._used_by_service[service] if self._loads.is_used(each)}
        silent = sum(self._loads.silence(each, at) > SILENT_SECONDS for each in used)
        if not silent:
            return
        self._reported_at_by_service[service] = at
        self._log.state_change(
            "upstreams-silent", service=service, silent=silent, of=len(used), over=SILENT_SECONDS
        )

    def remove_unused(self) -> None:
        """Forget the upstreams at which no request runs any more."""
        for service, used in self._used_by_service.items():
            self._used_by_service[service] = set(filter(self._loads.is_used, used))
