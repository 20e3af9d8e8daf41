"""Common part of engine and service stand-ins: capacity, overload crashes and status events."""

import asyncio
import itertools
from abc import abstractmethod
from dataclasses import dataclass, field

from cactuspass.models import BootId
from cactuspass_standins._capacity import LoadHistory, Warmup
from cactuspass_standins._events import EventSource
from cactuspass_standins._stand_in import Json, StandIn


class UpstreamCrashed(Exception):
    """The upstream was overloaded, restarted and lost all its requests."""


@dataclass(slots=True, kw_only=True)
class UpstreamSettings:
    """Capacity and reporting settings of an upstream.

    :param cold_requests: concurrent requests that it can handle directly after boot.
    :param full_requests: concurrent requests that it can handle after warm-up.
    :param warm_step: growth of the concurrency limit with each completion since boot.
    :param load_lag: age of the load in status events, in seconds.
    :param status_seconds: maximum time between two status events.
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
    """Counters common to all upstreams.

    :param fell_over: crashes because of overload.
    :param peak_over_bearable: highest ratio of running requests to the concurrency limit,
        measured at each arrival.
    :param arrived_while_leaving: requests that arrived after the upstream announced its leaving.
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
    """An upstream instance that starts cold and crashes when it is overloaded.

    :param memory_limit: tokens that fit into its memory; 0 for no limit.
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
        """Return the number of running requests."""

    @property
    @abstractmethod
    def memory_tokens(self) -> int:
        """Return the number of tokens in memory."""

    @abstractmethod
    def status(self) -> Json:
        """Return the current status event."""

    @abstractmethod
    def drop_requests(self) -> None:
        """Drop all running requests and loaded state, as when the process ends."""

    def start(self, port: int = 0) -> None:
        """Boot cold and start listening."""
        self.boot()
        super().start(port)
        self._status_task = asyncio.get_running_loop().create_task(self._publish_statuses())

    def boot(self) -> None:
        """Start a new boot with an empty memory and a new boot id."""
        number = next(self._boot_numbers)
        self.boot_id = BootId(f"{self.name}-boot-{number}")
        self.counters.boots = number
        settings = self.upstream_settings
        self.warmup = Warmup(settings.cold_requests, settings.full_requests, settings.warm_step)
        self.load = LoadHistory(settings.load_lag)

    def restart(self) -> None:
        """Abort all connections and boot again, cold."""
        self.drop_requests()
        self.abort_connections()
        self.thaw()
        self.boot()

    def slow(self, factor: float) -> None:
        """Multiply the duration of all work by a factor."""
        self.slow_factor = factor

    def set_leaving(self, leaving: bool = True) -> None:
        """Announce that the instance is leaving, or withdraw the announcement."""
        self.leaving = leaving
        self.publish_status()

    def warm(self, completions: int = 1_000_000) -> None:
        """Set the number of completions since boot, to skip the warm-up."""
        self.warmup.completions = completions

    def publish_status(self) -> None:
        """Send the current status on all event connections."""
        self.events.publish(self.status())

    def record_load(self) -> None:
        """Record the current load for later status events."""
        self.load.record(self.running, self.memory_tokens)

    def check_capacity(self) -> None:
        """Update the load counters after an arrival, and restart if the upstream is overloaded.

        :raises UpstreamCrashed: when the load exceeded the concurrency limit or the memory.
        """
        counters, limit = self.counters, self.warmup.concurrency_limit
        counters.arrived += 1
        counters.arrived_while_leaving += self.leaving
        counters.peak_running = max(counters.peak_running, self.running)
        counters.peak_memory_tokens = max(counters.peak_memory_tokens, self.memory_tokens)
        counters.peak_over_bearable = max(counters.peak_over_bearable, self.running / limit)
        self.record_load()
        if self.running > limit or 0 < self.memory_limit < self.memory_tokens:
            counters.fell_over += 1
            self.restart()
            raise UpstreamCrashed(self.name)

    def count_accepted(self, request_id: str) -> None:
        """Count an accepted request under its id."""
        increment(self.counters.accepted_by_request_id, request_id)

    def _close(self) -> None:
        if self._status_task is not None:
            self._status_task.cancel()
        self.drop_requests()
        super()._close()

    async def _publish_statuses(self) -> None:
        while True:
            await asyncio.sleep(self.upstream_settings.status_seconds)
            await self.wait_until_thawed()
            self.publish_status()


def increment(counts_by_key: dict[str, int], key: str) -> int:
    """Increment the count of a key and return the new count."""
    counts_by_key[key] = counts_by_key.get(key, 0) + 1
    return counts_by_key[key]
