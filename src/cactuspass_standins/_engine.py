"""A model engine that warms up, crashes on overload, joins groups and streams completions.

The completion is derived from the prompt, so that clients can check it.
"""

import asyncio
import itertools
import time
from dataclasses import asdict, dataclass
from functools import partial

from cactuspass._messages import LoadState
from cactuspass_standins._assignment import Assignment, GroupMonitor, StaleFence
from cactuspass_standins._batch import Batch, EngineRequest, RequestState
from cactuspass_standins._engine_http import ENGINE_ROUTES
from cactuspass_standins._prefix_cache import PrefixCache
from cactuspass_standins._registry import EngineRegistry
from cactuspass_standins._stand_in import Json, Route
from cactuspass_standins._upstream import (
    Upstream,
    UpstreamCounts,
    UpstreamCrashed,
    UpstreamSettings,
)

RESUME_WINDOW_SECONDS = 5.0
MIN_STEP_SECONDS = 0.005
MAX_STEP_SECONDS = 0.1


@dataclass(slots=True, kw_only=True)
class EngineSettings(UpstreamSettings):
    """Settings of one engine.

    :param memory_tokens: prompt and output tokens that fit into its memory; 0 for no limit.
    :param batch: maximum number of requests that get tokens in one step.
    :param seconds_per_token: time to generate one token of every request in the batch.
    :param prompt_seconds: time before the first token when no block of the prompt is cached.
    :param load_seconds: duration of loading a model.
    :param checks_fence: whether it refuses an order with an old fencing number.
    :param cache_blocks: capacity of the prefix cache, in blocks.
    :param cache_lag: delay of cache events, in seconds.
    :param cache_gap_every: drop every n-th cache event; 0 drops none.
    """

    memory_tokens: int = 0
    batch: int = 64
    seconds_per_token: float = 0.01
    prompt_seconds: float = 0.0
    load_seconds: float = 0.1
    checks_fence: bool = False
    cache_blocks: int = 256
    cache_lag: float = 0.0
    cache_gap_every: int = 0


@dataclass(slots=True)
class EngineCounts(UpstreamCounts):
    """Counters of an engine.

    :param partial_served: requests that started while a member of the group was not ready.
    :param partial_completed: those of them that were completed.
    :param kept_weights: load orders for which the loaded weights were reused.
    """

    partial_served: int = 0
    partial_completed: int = 0
    refused_generation: int = 0
    refused_not_ready: int = 0
    refused_orders: int = 0
    loads: int = 0
    kept_weights: int = 0
    resumed: int = 0
    truncated: int = 0
    tokens: int = 0


class Engine(Upstream):
    """One engine instance.

    :param registry: the engines of this process, used to detect partial groups.
    """

    def __init__(self, settings: EngineSettings, registry: EngineRegistry | None = None) -> None:
        super().__init__(settings, settings.memory_tokens)
        self.settings = settings
        self.registry = registry or EngineRegistry()
        self.counters: EngineCounts = EngineCounts()
        self.batch = Batch(settings.batch, settings.seconds_per_token)
        self.assignment: Assignment | None = None
        self.state = LoadState.IDLE
        self.requests_by_id: dict[str, EngineRequest] = {}
        self._monitor: GroupMonitor | None = None
        self._load_task: asyncio.Task[None] | None = None
        self._step_task: asyncio.Task[None] | None = None
        self._truncations: list[int] = []
        self.controls_by_name["truncate_next"] = self.truncate_next

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self.batch.requests)

    @property
    def memory_tokens(self) -> int:
        """Return the number of tokens occupied in memory or reserved for output."""
        return sum(request.memory_tokens for request in self.batch.requests)

    @property
    def is_serving(self) -> bool:
        """Return whether it is rank 0 of a group whose members all reported to be ready."""
        all_ready = self._monitor is not None and self._monitor.all_members_ready
        return self.state is LoadState.READY and all_ready

    def routes(self) -> list[Route]:
        """Return the path patterns and their handlers."""
        return ENGINE_ROUTES

    def counts(self) -> Json:
        """Return all counters by name."""
        return asdict(self.counters) | {"running": self.running, "boot_id": self.boot_id}

    def start(self, port: int = 0) -> None:
        """Start listening, cold and without a model."""
        super().start(port)
        self.registry.add(self)

    def boot(self) -> None:
        """Start a new boot with an empty memory, an empty cache and no fencing number."""
        super().boot()
        self.fence = 0
        self.cache = PrefixCache(self.settings.cache_blocks)
        self._cache_sequence = itertools.count(1)

    def drop_requests(self) -> None:
        """Drop the model and abort all running requests."""
        self._leave_group()
        self.assignment = None
        self.state = LoadState.IDLE
        self.requests_by_id.clear()

    def status(self) -> Json:
        """Return the current status event."""
        load, assignment = self.load.lagged(), self.assignment
        return {
            "event": "status",
            "boot_id": self.boot_id,
            "group": assignment.group if assignment else "",
            "generation": list(assignment.generation) if assignment else [0, 0],
            "rank": assignment.rank if assignment else 0,
            "size": len(assignment.members) if assignment else 0,
            "state": self.state.value,
            "fence": self.fence,
            "model": assignment.model if assignment else "",
            "version": assignment.version if assignment else "",
            "adapters": list(assignment.adapters) if assignment else [],
            "running": load.running,
            "memory_tokens": load.memory_tokens,
            "lag": self.settings.load_lag,
            "leaving": self.leaving,
        }

    def is_ready_with(self, other: "Engine") -> bool:
        """Return whether it is ready in the other engine's generation of that engine's group."""
        if self.assignment is None or other.assignment is None:
            return False
        is_ready = self.is_listening and self.state is LoadState.READY
        return is_ready and self.assignment.is_same_group(other.assignment)

    # Orders

    def load_model(self, assignment: Assignment, fence: int) -> None:
        """Join a generation of a group and load its model.

        :raises StaleFence: when the engine checks fencing numbers and has seen a higher one.
        :raises ValueError: when this engine's address is not listed at its rank.
        """
        if assignment.members[assignment.rank : assignment.rank + 1] != (self.address,):
            raise ValueError(f"{self.address} is not listed at rank {assignment.rank}")
        self._check_fence(fence)
        previous = self.assignment
        if assignment == previous:
            return
        reuses_weights = previous is not None and assignment.can_reuse_weights_of(previous)
        self._leave_group(keep_loading=reuses_weights)
        self.assignment = assignment
        if assignment.rank == 0:
            self._monitor = GroupMonitor(assignment, self._on_group_change)
        if reuses_weights:
            self.counters.kept_weights += 1
        else:
            self._start_load()
        self.publish_status()

    def unload(self, fence: int) -> None:
        """Leave the group and drop the model.

        :raises StaleFence: when the engine checks fencing numbers and has seen a higher one.
        """
        self._check_fence(fence)
        self.drop_requests()
        self.publish_status()

    # Requests

    def accept(self, request: EngineRequest) -> None:
        """Add a request to the batch.

        :raises UpstreamCrashed: when the request overloads the engine.
        """
        lookup = self.cache.access(request.prompt.prefix_hashes)
        request.prompt_seconds_left = self.settings.prompt_seconds * (1 - lookup.cached_share)
        request.truncate_at = self._truncations.pop(0) if self._truncations else None
        request.started_in_partial_group = not self.registry.is_group_ready(self)
        self.counters.partial_served += request.started_in_partial_group
        self.count_accepted(request.request_id)
        self.batch.requests.append(request)
        self.requests_by_id[request.request_id] = request
        self.check_capacity()
        self._publish_cache_event(lookup.added, lookup.removed)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    def cancel(self, request: EngineRequest) -> None:
        """Stop a request and free its memory."""
        if request.state is not RequestState.RUNNING:
            return
        request.end(RequestState.CANCELLED)
        self.batch.remove([request])
        self._remove_request(request)
        self.counters.cancelled += 1
        self.record_load()

    def detach(self, request: EngineRequest) -> None:
        """Record that a reader of the completion has disconnected.

        The request is cancelled without readers: a resumable one after RESUME_WINDOW_SECONDS,
        any other at once.
        """
        request.reader_count -= 1
        if request.resumable:
            self._call_later(RESUME_WINDOW_SECONDS, partial(self._cancel_if_unread, request))
        else:
            self._cancel_if_unread(request)

    def truncate_next(self, tokens: int, count: int = 1) -> None:
        """Abort the connections of the next requests after the given number of tokens.

        :param count: number of requests.
        """
        self._truncations.extend([tokens] * count)

    def pop_truncation(self, request: EngineRequest) -> int | None:
        """Return and clear the token position at which to abort the request's connection."""
        truncate_at, request.truncate_at = request.truncate_at, None
        self.counters.truncated += truncate_at is not None
        return truncate_at

    def _check_fence(self, fence: int) -> None:
        if self.settings.checks_fence and fence < self.fence:
            self.counters.refused_orders += 1
            raise StaleFence(f"fencing number {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)

    def _start_load(self) -> None:
        self.state = LoadState.LOADING
        self.counters.loads += 1
        self._load_task = asyncio.get_running_loop().create_task(self._finish_load())

    async def _finish_load(self) -> None:
        await asyncio.sleep(self.settings.load_seconds * self.slow_factor)
        await self.wait_until_thawed()
        self.state = LoadState.READY
        self.publish_status()

    def _leave_group(self, keep_loading: bool = False) -> None:
        if self._monitor is not None:
            self._monitor.stop()
            self._monitor = None
        if self._load_task is not None and not keep_loading:
            self._load_task.cancel()
        self._abort_requests()

    def _on_group_change(self) -> None:
        if not self.is_serving:
            self._abort_requests()

    def _abort_requests(self) -> None:
        aborted = list(self.batch.requests)
        self.batch.remove(aborted)
        for request in aborted:
            request.end(RequestState.BROKEN)
            self._remove_request(request)
        if aborted:
            self.record_load()

    def _cancel_if_unread(self, request: EngineRequest) -> None:
        if request.reader_count == 0:
            self.cancel(request)

    def _remove_request(self, request: EngineRequest) -> None:
        if self.requests_by_id.get(request.request_id) is request:
            del self.requests_by_id[request.request_id]

    def _publish_cache_event(self, added: tuple[str, ...], removed: tuple[str, ...]) -> None:
        if not added and not removed:
            return
        number = next(self._cache_sequence)
        gap_every = self.settings.cache_gap_every
        if gap_every and number % gap_every == 0:
            return
        event = {"event": "cache", "seq": number, "added": list(added), "removed": list(removed)}
        self._call_later(self.settings.cache_lag, partial(self.events.publish, event))

    async def _run_steps(self) -> None:
        while self.batch.requests:
            started_at = time.monotonic()
            await asyncio.sleep(max(self.settings.seconds_per_token, MIN_STEP_SECONDS))
            seconds = min(time.monotonic() - started_at, MAX_STEP_SECONDS)
            await self.wait_until_thawed()
            if self.registry.has_frozen_member(self):
                continue
            for request in self.batch.step(seconds / self.slow_factor):
                self._complete(request)

    def _complete(self, request: EngineRequest) -> None:
        self.warmup.completions += 1
        self.counters.completed += 1
        self.counters.tokens += request.max_tokens
        self.counters.partial_completed += request.started_in_partial_group
        self.record_load()
        if request.resumable:
            self._call_later(RESUME_WINDOW_SECONDS, partial(self._remove_request, request))
        else:
            self._remove_request(request)


__all__ = ["Engine", "EngineCounts", "EngineSettings", "UpstreamCrashed", "StaleFence"]
