"""Prometheus metrics of an instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class Metrics:
    """Metrics of one instance, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by route kind and outcome", "kind", "outcome"
        )
        self.refusals = self._counter("refusals", "Refused requests by reason", "reason")
        self.retries = self._counter("repeats", "Retried requests by cause", "cause")
        self.resumed_streams = self._counter(
            "streams_resumed", "Streams resumed on another upstream, by cause", "cause"
        )
        self.hedges = self._counter(
            "hedges",
            "Requests also sent to a second upstream because the first was late",
            "outcome",
        )
        self.leaving_upstreams = self._counter(
            "upstreams_leaving", "Upstreams that announced their shutdown, by source", "source"
        )
        self.requested_backoffs = self._counter(
            "upstreams_quiet",
            "Backoffs requested by upstreams, by how they were applied",
            "taken",
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store by call and outcome", "call", "outcome"
        )
        self.orders = self._counter(
            "orders", "Orders to upstreams by order and outcome", "order", "outcome"
        )
        self.first_byte = Histogram(
            "cactuspass_first_byte_seconds",
            "Time from the arrival of a request to the first byte of its response",
            ["kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.groups = self._gauge("groups", "Groups by model and state", "model", "state")
        self.in_flight = self._gauge("requests_in_flight", "Requests in progress")
        self.catalog_version = self._gauge("catalog_version", "Version of the catalog in use")
        self.operators_age = self._gauge(
            "operators_age_seconds", "Age of the last confirmed read of the operators' documents"
        )
        self.upstreams_age = self._gauge(
            "upstreams_age_seconds", "Age of the last list of upstreams"
        )
        self.retries_left = self._gauge("retries_left", "Retries that may be sent now", "service")
        self.connections_opened = self._gauge(
            "connections_opened", "Connections opened to upstreams since the start"
        )
        self.lines_dropped = self._gauge("log_lines_dropped", "Dropped log lines")
        self.leads = self._gauge("leads", "1 while this instance sends orders to upstreams")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"cactuspass_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"cactuspass_{name}", text, labels, registry=self.registry)
