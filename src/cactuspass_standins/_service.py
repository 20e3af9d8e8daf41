"""A plain service that counts how often it ran each request."""

import asyncio
import hashlib
import json
from dataclasses import asdict, dataclass, field

from cactuspass_standins._events import EVENTS_PATH, EventsHandler
from cactuspass_standins._stand_in import Json, Route, StandInHandler, abort_connection
from cactuspass_standins._upstream import (
    FellOver,
    Upstream,
    UpstreamCounts,
    UpstreamSettings,
    count_up,
)


@dataclass(slots=True, kw_only=True)
class ServiceSettings(UpstreamSettings):
    """Settings of one instance of a plain service.

    :param service: name of the service, echoed in its answers.
    :param latency: seconds that a call takes.
    """

    service: str = "service"
    latency: float = 0.0


@dataclass(slots=True)
class ServiceCounts(UpstreamCounts):
    """Counters of a service.

    :param runs: calls whose body was read and whose effect was made.
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
        self._answers_to_lose = 0
        self.controls_by_name["lose_next_answers"] = self.lose_next_answers

    @property
    def running(self) -> int:
        """Return the number of calls held."""
        return len(self._running)

    @property
    def memory_tokens(self) -> int:
        """Return 0; a service holds no tokens."""
        return 0

    def routes(self) -> list[Route]:
        """Return path patterns with their handlers."""
        return [(EVENTS_PATH, EventsHandler), (r"/.*", CallHandler)]

    def counts(self) -> Json:
        """Return all counters by name."""
        return asdict(self.counters) | {"running": self.running, "boot_id": self.boot_id}

    def status(self) -> Json:
        """Return the present status event."""
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

    def lose_requests(self) -> None:
        """Forget the calls that run; what they did stays done."""
        self._running.clear()

    def lose_next_answers(self, count: int = 1) -> None:
        """Run the next calls but break their connections before the answer."""
        self._answers_to_lose += count

    def accept(self, call: StandInHandler) -> int:
        """Make the effect of a call and return how often it was made by now.

        :raises FellOver: when the call is more than the service bears; it has no effect.
        """
        self._running.add(call)
        self.check_capacity()
        headers, counters = call.request.headers, self.counters
        if request_id := headers.get("X-Request-Id"):
            self.note_accepted(request_id)
        counters.runs += 1
        key, booking = headers.get("Idempotency-Key"), find_booking(call.request.body)
        booking_runs = count_up(counters.runs_by_booking, booking) if booking else counters.runs
        return count_up(counters.runs_by_idempotency_key, key) if key else booking_runs

    def take_lost_answer(self) -> bool:
        """Tell whether the present call's answer is to be lost."""
        is_lost = self._answers_to_lose > 0
        self._answers_to_lose -= is_lost
        self.counters.answers_lost += is_lost
        return is_lost

    def release(self, call: StandInHandler, completed: bool) -> bool:
        """Forget a call that ended; False when it was lost before."""
        if call not in self._running:
            return False
        self._running.discard(call)
        self.counters.completed += completed
        self.counters.cancelled += not completed
        self.warmup.completions += completed
        self.note_load()
        return True


class CallHandler(StandInHandler):
    """Runs any call and echoes it."""

    stand_in: Service

    async def handle(self) -> None:
        """Make the call's effect and answer what was received."""
        service = self.stand_in
        if self.is_closed:
            return
        try:
            run = service.accept(self)
        except FellOver:
            abort_connection(self)
            return
        if service.take_lost_answer():
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
        """Return the answer to the call."""
        return {
            "service": self.stand_in.settings.service,
            "method": self.request.method,
            "path": self.request.path,
            "body_sha256": hashlib.sha256(self.request.body).hexdigest(),
            "run": run,
        }

    def leave(self) -> None:
        """Forget the call; its effect stays."""
        self.stand_in.release(self, completed=False)


def find_booking(body: bytes) -> str:
    """Return the ``booking`` field of a JSON body, empty when there is none."""
    try:
        fields = json.loads(body)
    except ValueError:
        return ""
    return str(fields.get("booking", "")) if isinstance(fields, dict) else ""
