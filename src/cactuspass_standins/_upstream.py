"""Common part of engine and service stand-ins: capacity, falling over and status events."""

import asyncio
import itertools
from abc import abstractmethod
from dataclasses import dataclass, field

from cactuspass.models import BootId
from cactuspass_standins._capacity import LoadHistory, Warmup
from cactuspass_standins._events import EventSource
from cactuspass_standins._stand_in import Json, StandIn


class FellOver(Exception):
    """The upstream got more than it bears and lost everything it held."""


@dataclass(slots=True, kw_only=True)
class UpstreamSettings:
    """What an upstream bears and how it reports.

    :param warm_step: growth of the bearable requests with each completion since boot.
    :param load_lag: age of the load in status events, in seconds.
    :param status_seconds: longest time between two status events.
    """

    instance_id: str
    kind: str = ""
    cold_requests: int = 1
    full_requests: int = 8
    warm_step: float = 1.0
    load_lag: float = 0.0
    status_seconds: float = 0.5


@dataclass(slots=True)
class UpstreamCounts:
    """Counters that every upstream has.

    :param peak_over_bearable: highest ratio of requests held to requests bearable, at arrivals.
    """

    arrived: int = 0
    completed: int = 0
    cancelled: int = 0
    fell_over: int = 0
    boots: int = 0
    peak_running: int = 0
    peak_memory_tokens: int = 0
    peak_over_bearable: float = 0.0
    arrived_while_leaving: int = 0
    accepted_by_request_id: dict[str, int] = field(default_factory=dict)


class Upstream(StandIn):
    """An upstream instance that starts cold and falls over under too much load.

    :param memory_limit: tokens that fit its memory; 0 for no limit.
    """

    counters: UpstreamCounts

    def __init__(self, settings: UpstreamSettings, memory_limit: int = 0) -> None:
        super().__init__(settings.instance_id)
        self.upstream_settings = settings
        self.memory_limit = memory_limit
        self.leaving = False
        self.slow_factor = 1.0
        self.events = EventSource()
        self.boot_id = BootId("")
        self._boot_numbers = itertools.count(1)
        self._status_task: asyncio.Task[None] | None = None
        self.controls_by_name |= {
            "restart": self.restart,
            "slow": self.slow,
            "set_leaving": self.set_leaving,
            "warm": self.warm,
        }

    @property
    @abstractmethod
    def running(self) -> int:
        """Return the number of requests held."""

    @property
    @abstractmethod
    def memory_tokens(self) -> int:
        """Return the number of tokens held."""

    @abstractmethod
    def status(self) -> Json:
        """Return the present status event."""

    @abstractmethod
    def lose_requests(self) -> None:
        """Drop everything that is held, as when the process ends."""

    def start(self, port: int = 0) -> None:
        """Listen, cold."""
        self.boot()
        super().start(port)
        self._status_task = asyncio.get_running_loop().create_task(self._publish_statuses())

    def boot(self) -> None:
        """Begin a new life with an empty memory."""
        number = next(self._boot_numbers)
        self.boot_id = BootId(f"{self.name}-boot-{number}")
        self.counters.boots = number
        settings = self.upstream_settings
        self.warmup = Warmup(settings.cold_requests, settings.full_requests, settings.warm_step)
        self.load = LoadHistory(settings.load_lag)

    def restart(self) -> None:
        """Break all connections and begin a new life, cold."""
        self.lose_requests()
        self.abort_connections()
        self.thaw()
        self.boot()

    def slow(self, factor: float) -> None:
        """Take this many times as long for everything."""
        self.slow_factor = factor

    def set_leaving(self, leaving: bool = True) -> None:
        """Announce that the instance leaves."""
        self.leaving = leaving
        self.publish_status()

    def warm(self, completions: int = 1_000_000) -> None:
        """Count this many completions as done since boot."""
        self.warmup.completions = completions

    def publish_status(self) -> None:
        """Send the present status to all readers."""
        self.events.publish(self.status())

    def note_load(self) -> None:
        """Record the present load for later reports."""
        self.load.record(self.running, self.memory_tokens)

    def check_capacity(self) -> None:
        """Judge the load just after an arrival.

        :raises FellOver: when it is more than the upstream bears.
        """
        counters, bearable = self.counters, self.warmup.bearable
        counters.arrived += 1
        counters.arrived_while_leaving += self.leaving
        counters.peak_running = max(counters.peak_running, self.running)
        counters.peak_memory_tokens = max(counters.peak_memory_tokens, self.memory_tokens)
        counters.peak_over_bearable = max(counters.peak_over_bearable, self.running / bearable)
        self.note_load()
        if self.running > bearable or 0 < self.memory_limit < self.memory_tokens:
            counters.fell_over += 1
            self.restart()
            raise FellOver(self.name)

    def note_accepted(self, request_id: str) -> None:
        """Count a request by its id."""
        count_up(self.counters.accepted_by_request_id, request_id)

    def _close(self) -> None:
        if self._status_task is not None:
            self._status_task.cancel()
        self.lose_requests()
        super()._close()

    async def _publish_statuses(self) -> None:
        while True:
            await asyncio.sleep(self.upstream_settings.status_seconds)
            await self.wait_until_thawed()
            self.publish_status()


def count_up(counts_by_key: dict[str, int], key: str) -> int:
    """Add 1 to the count of a key and return it."""
    counts_by_key[key] = counts_by_key.get(key, 0) + 1
    return counts_by_key[key]
