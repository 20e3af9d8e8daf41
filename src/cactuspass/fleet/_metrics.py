"""Prometheus metrics of an instance."""

from collections import Counter as Counts

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class Metrics:
    """Metrics of one instance, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by route kind and how they ended", "kind", "outcome"
        )
        self.refusals = self._counter("refusals", "Refused requests by reason", "reason")
        self.retries = self._counter("repeats", "Requests sent once more, by cause", "cause")
        self.resumed_streams = self._counter(
            "streams_resumed", "Streams that went on elsewhere", "cause"
        )
        self.hedges = self._counter(
            "hedges",
            "Requests sent to a second upstream while the first was late",
            "outcome",
        )
        self.prediction_errors = Histogram(
            "cactuspass_prediction_error_seconds",
            "Difference between a predicted time of a request and the measured one",
            ["time"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.lent_share = self._gauge(
            "room_lent_share",
            "Share of the requests without a slot of their instance that are sent",
            "service",
            "model",
        )
        self.room_waits = self._counter(
            "room_waits", "Requests that waited for a slot of this instance, by outcome", "outcome"
        )
        self.leaving_upstreams = self._counter(
            "upstreams_leaving", "Upstreams that leave by their own word, by who heard it", "source"
        )
        self.requested_backoffs = self._counter(
            "upstreams_quiet",
            "Times of quiet that upstreams asked for, by how they were taken",
            "taken",
        )
        self.stated_limits = self._counter(
            "upstream_limits",
            "Changes of the limits that upstreams state, by what changed and who heard it",
            "change",
            "source",
        )
        self.limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that state a limit for the requests of all instances"
        )
        self.limit_loans = self._counter(
            "limit_loans",
            "Tokens for upstreams with limits that were asked for, granted or lent",
            "outcome",
        )
        self.load_messages = self._gauge(
            "load_messages",
            "Messages of the load exchange since the start, by kind or why they were dropped",
            "outcome",
            "kind",
        )
        self.load_age = self._gauge(
            "load_age_seconds", "Age of the sums of a data centre's loads", "data_centre"
        )
        self.coordinates_loads = self._gauge(
            "coordinates_loads", "1 while this instance sums up the loads of its data centre"
        )
        self.rejections = Counter(
            "cactuspass_upstream_rejections",
            "Backoffs from upstreams that rejected a request",
            registry=self.registry,
        )
        self.prompt_parts = self._counter(
            "prompt_parts",
            "Shared parts of prompts that were suspected of crashes, blocked or no longer blocked,"
            " and messages on them that were not sent",
            "event",
        )
        self.blocks = Gauge(
            "cactuspass_blocked_prompt_parts",
            "Blocks on parts of prompts that are in force",
            registry=self.registry,
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store by kind and outcome", "call", "outcome"
        )
        self.store_era = self._gauge(
            "store_era", "How often the platform's store had been restored, by its last answer"
        )
        self.orders = self._counter("orders", "Orders to upstreams", "order", "outcome")
        self.duty_calls = self._counter(
            "duty_calls",
            "Calls to the platform that one instance at a time makes, by duty and outcome",
            "duty",
            "outcome",
        )
        self.usage_windows = self._counter(
            "usage_windows",
            "Windows of the usage report whose content this instance has fixed, or that it missed",
            "content",
        )
        self.holds_duties = self._gauge(
            "holds_duties", "1 while this instance makes the calls of one instance at a time"
        )
        self.first_byte = Histogram(
            "cactuspass_first_byte_seconds",
            "Time from the request's arrival to the first byte of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.removed_callers = self._counter(
            "callers_removed",
            "Callers that lost their place, by limit and outcome",
            "limit",
            "outcome",
        )
        self.held_bytes = self._gauge(
            "held_bytes",
            "Bytes held for callers: requests, with their connections, and answers",
            "by",
        )
        self.groups = self._gauge("groups", "Groups by model and state", "model", "state")
        self.in_flight = self._gauge("requests_in_flight", "Requests being served")
        self.catalog_version = self._gauge("catalog_version", "Version of the catalog in force")
        self.operators_age = self._gauge(
            "operators_age_seconds", "Age of the last sure read of the operators' documents"
        )
        self.upstreams_age = self._gauge(
            "upstreams_age_seconds", "Age of the last listing of the upstreams"
        )
        self.retries_left = self._gauge("retries_left", "Repeats that may be sent now", "service")
        self.connections_opened = self._gauge(
            "connections_opened", "Connections opened to upstreams since the start"
        )
        self.lines_dropped = self._gauge("log_lines_dropped", "Log lines that were dropped")
        self.wanted_upstreams = self._gauge(
            "wanted_upstreams", "Upstreams that this instance orders", "service", "data_centre"
        )
        self.offered_groups = self._gauge(
            "offered_groups",
            "Groups that the offered requests would fill at the peak of the last wave",
            "service",
            "model",
        )
        self.leads = self._gauge("leads", "1 while this instance gives orders to upstreams")

    def store_calls_by_kind(self) -> Counts[str]:
        """Return the number of calls to the store since the start, by kind."""
        counts: Counts[str] = Counts()
        for metric in self.store_calls.collect():
            for sample in metric.samples:
                if sample.name.endswith("_total"):
                    counts[sample.labels["call"]] += int(sample.value)
        return counts

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"cactuspass_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"cactuspass_{name}", text, labels, registry=self.registry)
