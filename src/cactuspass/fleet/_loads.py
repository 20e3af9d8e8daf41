"""Load and health of each upstream, derived from its responses to this instance."""

from dataclasses import dataclass

from cactuspass.fleet._inbound import LoadReport
from cactuspass.fleet._upstreams import UpstreamId

REPORT_VALID_SECONDS = 1.5
SUSPECT_SECONDS = 1.0
MAX_SUSPECT_SECONDS = 4.0
SMOOTHING_FACTOR = 0.2
INITIAL_LATENCY_SECONDS = 0.05
IDLE_EXPIRY_SECONDS = 30.0
RECENT_RESPONSE_SECONDS = 0.25
FULL_SECONDS = 0.5
MIN_SILENCE_SECONDS = 0.25
MIN_SILENT_STREAMS = 2


@dataclass(slots=True)
class UpstreamLoad:
    """Load and health of one upstream.

    :param in_flight: requests of this instance at the upstream.
    :param reported: requests at the upstream by its last report, adjusted by the requests that this
        instance sent or ended since then.
    :param consecutive_failures: failures since the last success.
    :param latency: smoothed time in seconds to the first byte of a response body.
    :param failure_share: smoothed share of failed responses, between 0 and 1.
    :param last_response_at: clock value at which a part of a stream last arrived.
    :param heard_at: clock value at which a part of any response last arrived, or the first of the
        requests that run was sent.
    :param full_until: clock value until which the upstream counts as full, since it has rejected a
        request.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = float("-inf")
    suspect_until: float = float("-inf")
    consecutive_failures: int = 0
    latency: float = INITIAL_LATENCY_SECONDS
    failure_share: float = 0.0
    last_used_at: float = 0.0
    last_response_at: float = float("-inf")
    heard_at: float = float("-inf")
    full_until: float = float("-inf")

    def estimate(self, at: float, assumed: float = 0.0) -> float:
        """Return the estimated number of requests at the upstream, from all instances.

        :param assumed: number of requests to assume without a recent report, if this instance has
            fewer there.
        """
        return max(self.reported if self.is_known(at) else assumed, float(self.in_flight))

    def is_known(self, at: float) -> bool:
        """Return whether the upstream has reported its load recently."""
        return at - self.reported_at <= REPORT_VALID_SECONDS

    def is_full(self, at: float) -> bool:
        """Return whether the upstream has rejected a request a moment ago."""
        return at < self.full_until

    def is_silent(self, at: float) -> bool:
        """Return whether several streams of this instance run there and none has gone on lately.

        An upstream that is only full goes on with the streams that it runs.
        """
        has_several = self.in_flight >= MIN_SILENT_STREAMS
        return has_several and at - self.last_response_at > MIN_SILENCE_SECONDS

    def is_suspect(self, at: float) -> bool:
        """Return whether the upstream failed recently, so that it should get no new requests."""
        return at < self.suspect_until


class LoadTable:
    """Loads by upstream; an unknown upstream counts as idle and healthy."""

    def __init__(self) -> None:
        self.loads_by_id: dict[UpstreamId, UpstreamLoad] = {}

    def load(self, upstream_id: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream."""
        load = self.loads_by_id.get(upstream_id)
        if load is None:
            load = self.loads_by_id[upstream_id] = UpstreamLoad()
        return load

    def record_send(self, upstream_id: UpstreamId, at: float) -> None:
        """Count a request sent to an upstream."""
        load = self.load(upstream_id)
        if load.in_flight == 0:
            load.heard_at = at
        load.in_flight += 1
        load.reported += 1
        load.last_used_at = at

    def record_end(self, upstream_id: UpstreamId) -> None:
        """Count a request that has ended at an upstream."""
        load = self.load(upstream_id)
        load.in_flight -= 1
        load.reported = max(0.0, load.reported - 1)

    def record_report(self, upstream_id: UpstreamId, report: LoadReport, at: float) -> None:
        """Record the load that an upstream reported."""
        load = self.load(upstream_id)
        load.reported = float(report.running + report.waiting)
        load.reported_at = at

    def record_success(self, upstream_id: UpstreamId, latency: float) -> None:
        """Record a successful response.

        :param latency: seconds to the first byte of the body.
        """
        load = self.load(upstream_id)
        load.consecutive_failures = 0
        load.suspect_until = float("-inf")
        load.latency += SMOOTHING_FACTOR * (latency - load.latency)
        load.failure_share -= SMOOTHING_FACTOR * load.failure_share

    def record_failure(self, upstream_id: UpstreamId) -> None:
        """Record a failure caused by an upstream that is reachable."""
        load = self.load(upstream_id)
        load.failure_share += SMOOTHING_FACTOR * (1.0 - load.failure_share)

    def record_full(self, upstream_id: UpstreamId, at: float) -> None:
        """Record that an upstream has rejected a request because it was full."""
        self.load(upstream_id).full_until = at + FULL_SECONDS

    def note_response(self, upstream_id: UpstreamId, at: float) -> None:
        """Record that a part of a response has arrived from an upstream."""
        self.load(upstream_id).last_response_at = at

    def note_heard(self, upstream_id: UpstreamId, at: float) -> None:
        """Record that a part of any response has arrived, for reports of silence only."""
        self.load(upstream_id).heard_at = at

    def is_used(self, upstream_id: UpstreamId) -> bool:
        """Return whether requests of this instance run at an upstream."""
        load = self.loads_by_id.get(upstream_id)
        return load is not None and load.in_flight > 0

    def silence(self, upstream_id: UpstreamId, at: float) -> float:
        """Return the seconds since an upstream at which requests run last sent anything."""
        return at - self.load(upstream_id).heard_at

    def suspect_by_hint(self, upstream_id: UpstreamId, at: float) -> bool:
        """Mark an upstream as suspect that another instance reports as unresponsive.

        :return: False if it is suspect already or has sent a part of a response just now.
        """
        load = self.load(upstream_id)
        if at - load.last_response_at < RECENT_RESPONSE_SECONDS or load.is_suspect(at):
            return False
        load.suspect_until = max(load.suspect_until, at + SUSPECT_SECONDS)
        return True

    def mark_suspect(self, upstream_id: UpstreamId, at: float) -> float:
        """Mark an upstream as suspect; return for how many seconds.

        The time doubles with each consecutive failure, up to ``MAX_SUSPECT_SECONDS``.
        """
        load = self.load(upstream_id)
        load.consecutive_failures += 1
        seconds = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2.0 ** (load.consecutive_failures - 1))
        load.suspect_until = at + seconds
        return seconds

    def remove_idle(self, at: float) -> None:
        """Remove the upstreams that have been idle for ``IDLE_EXPIRY_SECONDS``."""
        idle = [
            upstream_id
            for upstream_id, load in self.loads_by_id.items()
            if load.in_flight == 0 and at - load.last_used_at > IDLE_EXPIRY_SECONDS
        ]
        for upstream_id in idle:
            del self.loads_by_id[upstream_id]
