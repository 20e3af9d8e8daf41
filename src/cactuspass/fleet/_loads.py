"""How busy and how sound each upstream is, from what this instance sees of its answers."""

from dataclasses import dataclass

from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._upstreams import UpstreamId

REPORT_VALID_SECONDS = 1.5
SUSPECT_SECONDS = 1.0
MAX_SUSPECT_SECONDS = 4.0
SMOOTHING = 0.2
FIRST_LATENCY_SECONDS = 0.05
IDLE_FORGET_SECONDS = 30.0
HEARD_SECONDS = 0.25


@dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one upstream.

    :param in_flight: requests of this instance that are at the upstream.
    :param reported: requests there by its last report, plus what was sent since.
    :param last_response_at: clock value at which a part of an answer last came.
    :param consecutive_failures: failures in a row.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = float("-inf")
    suspect_until: float = float("-inf")
    consecutive_failures: int = 0
    latency: float = FIRST_LATENCY_SECONDS
    failure_share: float = 0.0
    last_used_at: float = 0.0
    last_response_at: float = float("-inf")

    def estimate(self, at: float) -> float:
        """Return the requests at the upstream, of all instances as far as is known."""
        if at - self.reported_at > REPORT_VALID_SECONDS:
            return float(self.in_flight)
        return max(self.reported, float(self.in_flight))

    def is_suspect(self, at: float) -> bool:
        """Return whether it failed so lately that nothing new should go there."""
        return at < self.suspect_until


class LoadTable:
    """Loads by upstream; unknown upstreams are idle and sound."""

    def __init__(self) -> None:
        self.loads_by_id: dict[UpstreamId, UpstreamLoad] = {}

    def load(self, upstream_id: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        return self.loads_by_id.setdefault(upstream_id, UpstreamLoad())

    def record_send(self, upstream_id: UpstreamId, at: float) -> None:
        """Count a request that goes to an upstream."""
        load = self.load(upstream_id)
        load.in_flight += 1
        load.reported += 1
        load.last_used_at = at

    def record_end(self, upstream_id: UpstreamId) -> None:
        """Count a request that is no longer at an upstream."""
        load = self.load(upstream_id)
        load.in_flight -= 1
        load.reported = max(0.0, load.reported - 1)

    def record_report(self, upstream_id: UpstreamId, report: LoadReport, at: float) -> None:
        """Take an upstream's own word for its load."""
        load = self.load(upstream_id)
        load.reported = float(report.running + report.waiting)
        load.reported_at = at

    def record_success(self, upstream_id: UpstreamId, latency: float) -> None:
        """Note a sound answer.

        :param latency: seconds to the first byte of the body.
        """
        load = self.load(upstream_id)
        load.consecutive_failures = 0
        load.suspect_until = float("-inf")
        load.latency += SMOOTHING * (latency - load.latency)
        load.failure_share -= SMOOTHING * load.failure_share

    def record_failure(self, upstream_id: UpstreamId) -> None:
        """Note an answer that failed by the upstream's own fault, though it is reachable."""
        load = self.load(upstream_id)
        load.failure_share += SMOOTHING * (1.0 - load.failure_share)

    def note_response(self, upstream_id: UpstreamId, at: float) -> None:
        """Note that an upstream has sent a part of an answer."""
        self.load(upstream_id).last_response_at = at

    def suspect_by_hint(self, upstream_id: UpstreamId, at: float) -> bool:
        """Doubt an upstream that another instance finds silent, unless it was heard just now."""
        load = self.load(upstream_id)
        if at - load.last_response_at < HEARD_SECONDS or load.is_suspect(at):
            return False
        load.suspect_until = max(load.suspect_until, at + SUSPECT_SECONDS)
        return True

    def mark_suspect(self, upstream_id: UpstreamId, at: float) -> float:
        """Keep new work away from an upstream for a while; return the seconds."""
        load = self.load(upstream_id)
        load.consecutive_failures += 1
        pause = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2.0 ** (load.consecutive_failures - 1))
        load.suspect_until = at + pause
        return pause

    def remove_idle(self, at: float) -> None:
        """Drop upstreams that have not been used for long."""
        old = [
            upstream_id
            for upstream_id, load in self.loads_by_id.items()
            if load.in_flight == 0 and at - load.last_used_at > IDLE_FORGET_SECONDS
        ]
        for upstream_id in old:
            del self.loads_by_id[upstream_id]
