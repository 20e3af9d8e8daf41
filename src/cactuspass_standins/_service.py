"""A plain HTTP service that counts how often it ran each request."""

import asyncio
import hashlib
import json
from dataclasses import asdict, dataclass, field

from cactuspass_standins._events import EVENTS_PATH, EventsHandler
from cactuspass_standins._stand_in import Json, Route, StandInHandler, abort_connection
from cactuspass_standins._upstream import (
    Upstream,
    UpstreamCounts,
    UpstreamCrashed,
    UpstreamSettings,
    increment,
)


@dataclass(slots=True, kw_only=True)
class ServiceSettings(UpstreamSettings):
    """Settings of one instance of a plain service.

    :param service: name of the service, echoed in its responses.
    :param latency: duration of a call, in seconds.
    """

    service: str = "service"
    latency: float = 0.0


@dataclass(slots=True)
class ServiceCounts(UpstreamCounts):
    """Counters of a service.

    :param runs: calls whose body was read and whose effect took place.
    :param answers_lost: calls that ran but whose connection was aborted before the response.
    """

    runs: int = 0
    answers_lost: int = 0
    runs_by_idempotency_key: dict[str, int] = field(default_factory=dict)
    runs_by_booking: dict[str, int] = field(default_factory=dict)


class Service(Upstream):
    """One instance of a plain service."""

    def __init__(self, settings: ServiceSettings) -> None:
        super().__init__(settings)
        self.settings = settings
        self.counters: ServiceCounts = ServiceCounts()
        self._running: set[StandInHandler] = set()
        self._responses_to_drop = 0
        self.controls_by_name["lose_next_answers"] = self.lose_next_answers

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def memory_tokens(self) -> int:
        """Return 0, as a plain service keeps no tokens."""
        return 0

    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""
        return [(EVENTS_PATH, EventsHandler), (r"/.*", CallHandler)]

    def counts(self) -> Json:
        """Return all counters by name."""
        return asdict(self.counters) | {"running": self.running, "boot_id": self.boot_id}

    def status(self) -> Json:
        """Return the current status event."""
        load = self.load.lagged()
        return {
            "event": "status",
            "boot_id": self.boot_id,
            "group": "",
            "generation": [0, 0],
            "rank": 0,
            "size": 1,
            "state": "ready",
            "fence": 0,
            "model": "",
            "version": "",
            "adapters": [],
            "running": load.running,
            "memory_tokens": 0,
            "lag": self.settings.load_lag,
            "leaving": self.leaving,
        }

    def drop_requests(self) -> None:
        """Drop the running calls; their effects are kept."""
        self._running.clear()

    def lose_next_answers(self, count: int = 1) -> None:
        """Run the next calls but abort their connections before the response."""
        self._responses_to_drop += count

    def accept(self, call: StandInHandler) -> int:
        """Apply the effect of a call.

        :return: how often the effect was applied so far, counted by idempotency key, else by
            booking, else over all calls.
        :raises UpstreamCrashed: when the call overloads the service; it then has no effect.
        """
        self._running.add(call)
        self.check_capacity()
        headers, counters = call.request.headers, self.counters
        if request_id := headers.get("X-Request-Id"):
            self.count_accepted(request_id)
        counters.runs += 1
        key, booking = headers.get("Idempotency-Key"), find_booking(call.request.body)
        booking_runs = increment(counters.runs_by_booking, booking) if booking else counters.runs
        return increment(counters.runs_by_idempotency_key, key) if key else booking_runs

    def consume_response_loss(self) -> bool:
        """Return whether to drop the current call's response, and count it if so."""
        is_dropped = self._responses_to_drop > 0
        self._responses_to_drop -= is_dropped
        self.counters.answers_lost += is_dropped
        return is_dropped

    def release(self, call: StandInHandler, completed: bool) -> bool:
        """Remove a call that has ended.

        :return: False when the call had already been dropped.
        """
        if call not in self._running:
            return False
        self._running.discard(call)
        self.counters.completed += completed
        self.counters.cancelled += not completed
        self.warmup.completions += completed
        self.record_load()
        return True


class CallHandler(StandInHandler):
    """Runs any call and echoes it in the response."""

    stand_in: Service

    async def handle(self) -> None:
        """Apply the call's effect and respond with an echo of the request."""
        service = self.stand_in
        if self.is_closed:
            return
        try:
            run = service.accept(self)
        except UpstreamCrashed:
            abort_connection(self)
            return
        if service.consume_response_loss():
            abort_connection(self)
            return
        await asyncio.sleep(service.settings.latency * service.slow_factor)
        await service.wait_until_thawed()
        if not service.release(self, completed=True):
            return
        self.set_header("X-Boot-Id", service.boot_id)
        self.finish(self.echo(run))

    get = head = post = put = patch = delete = options = handle

    def echo(self, run: int) -> Json:
        """Return the body of the response.

        :param run: how often the effect was applied so far.
        """
        return {
            "service": self.stand_in.settings.service,
            "method": self.request.method,
            "path": self.request.path,
            "body_sha256": hashlib.sha256(self.request.body).hexdigest(),
            "run": run,
        }

    def release_resources(self) -> None:
        """Remove the call; its effect is kept."""
        self.stand_in.release(self, completed=False)


def find_booking(body: bytes) -> str:
    """Return the ``booking`` field of a JSON body, or an empty string if there is none."""
    try:
        fields = json.loads(body)
    except ValueError:
        return ""
    return str(fields.get("booking", "")) if isinstance(fields, dict) else ""
