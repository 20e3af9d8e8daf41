"""A model engine that warms up, falls over, forms groups and streams checkable answers."""

import asyncio
import itertools
import time
from dataclasses import asdict, dataclass
from functools import partial

from cactuspass._messages import LoadState
from cactuspass_standins._assignment import Assignment, GroupWatch, StaleFence
from cactuspass_standins._batch import Batch, EngineRequest, Outcome
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

RESUME_SECONDS = 5.0
SHORTEST_STEP_SECONDS = 0.005
LONGEST_STEP_SECONDS = 0.1


@dataclass(slots=True, kw_only=True)
class EngineSettings(UpstreamSettings):
    """Settings of one engine.

    :param memory_tokens: prompt and output tokens that fit its memory; 0 for no limit.
    :param batch: requests that get tokens at once.
    :param prompt_seconds: work before the first token when nothing of the prompt is cached.
    :param load_seconds: time that loading a model takes.
    :param checks_fence: whether it refuses an order with an old fencing number.
    :param cache_blocks: size of the prefix cache.
    :param cache_lag: delay of cache events, in seconds.
    :param cache_gap_every: each so many cache events one is lost; 0 loses none.
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

    :param partial_served: requests that began while a member of the group was not ready.
    :param partial_completed: those of them that got a whole answer.
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

    :param registry: the engines of this process, for the check of partial groups.
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
        self._watch: GroupWatch | None = None
        self._load_task: asyncio.Task[None] | None = None
        self._step_task: asyncio.Task[None] | None = None
        self._truncations: list[int] = []
        self.controls_by_name["truncate_next"] = self.truncate_next

    @property
    def running(self) -> int:
        """Return the number of requests held."""
        return len(self.batch.requests)

    @property
    def memory_tokens(self) -> int:
        """Return the number of tokens held or promised."""
        return sum(request.memory_tokens for request in self.batch.requests)

    @property
    def is_serving(self) -> bool:
        """Tell whether it is rank 0 of a group that it believes whole."""
        is_whole = self._watch is not None and self._watch.is_whole
        return self.state is LoadState.READY and is_whole

    def routes(self) -> list[Route]:
        """Return path patterns with their handlers."""
        return ENGINE_ROUTES

    def counts(self) -> Json:
        """Return all counters by name."""
        return asdict(self.counters) | {"running": self.running, "boot_id": self.boot_id}

    def start(self, port: int = 0) -> None:
        """Listen, cold and without a model."""
        super().start(port)
        self.registry.add(self)

    def boot(self) -> None:
        """Begin a new life with an empty memory."""
        super().boot()
        self.fence = 0
        self.cache = PrefixCache(self.settings.cache_blocks)
        self._cache_numbers = itertools.count(1)

    def drop_requests(self) -> None:
        """Drop the model and everything that runs."""
        self._leave_group()
        self.assignment = None
        self.state = LoadState.IDLE
        self.requests_by_id.clear()

    def status(self) -> Json:
        """Return the present status event."""
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
        """Tell whether it is ready in the other's generation of the other's group."""
        if self.assignment is None or other.assignment is None:
            return False
        is_ready = self.is_listening and self.state is LoadState.READY
        return is_ready and self.assignment.is_same_group(other.assignment)

    # Orders

    def load_model(self, assignment: Assignment, fence: int) -> None:
        """Become a member of a generation of a group.

        :raises StaleFence: when the engine checks and has seen a higher fencing number.
        :raises ValueError: when the members don't name this engine at its rank.
        """
        if assignment.members[assignment.rank : assignment.rank + 1] != (self.address,):
            raise ValueError(f"{self.address} is not member {assignment.rank}")
        self._check_fence(fence)
        previous = self.assignment
        if assignment == previous:
            return
        keeps = previous is not None and assignment.keeps_weights_of(previous)
        self._leave_group(keeps_load=keeps)
        self.assignment = assignment
        if assignment.rank == 0:
            self._watch = GroupWatch(assignment, self._check_group)
        if keeps:
            self.counters.kept_weights += 1
        else:
            self._begin_load()
        self.publish_status()

    def unload(self, fence: int) -> None:
        """Leave the group and drop the model.

        :raises StaleFence: when the engine checks and has seen a higher fencing number.
        """
        self._check_fence(fence)
        self.drop_requests()
        self.publish_status()

    # Requests

    def accept(self, request: EngineRequest) -> None:
        """Run a request.

        :raises UpstreamCrashed: when that is more than the engine bears.
        """
        use = self.cache.use(request.prompt.prefix_hashes)
        request.prompt_seconds_left = self.settings.prompt_seconds * (1 - use.cached_share)
        request.truncate_at = self._truncations.pop(0) if self._truncations else None
        request.began_partial = not self.registry.group_is_whole(self)
        self.counters.partial_served += request.began_partial
        self.count_accepted(request.request_id)
        self.batch.requests.append(request)
        self.requests_by_id[request.request_id] = request
        self.check_capacity()
        self._announce_cache(use.added, use.removed)
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    def cancel(self, request: EngineRequest) -> None:
        """Stop a request and free its memory."""
        if request.outcome is not Outcome.RUNNING:
            return
        request.end(Outcome.CANCELLED)
        self.batch.remove([request])
        self._forget(request)
        self.counters.cancelled += 1
        self.record_load()

    def detach(self, request: EngineRequest) -> None:
        """Note that a reader of the request's answer has gone."""
        request.readers -= 1
        if request.resumable:
            self._call_later(RESUME_SECONDS, partial(self._expire, request))
        else:
            self._expire(request)

    def truncate_next(self, tokens: int, count: int = 1) -> None:
        """Break the connections of the next requests after this many tokens."""
        self._truncations.extend([tokens] * count)

    def take_truncation(self, request: EngineRequest) -> int | None:
        """Return the token at which the request's connection is to be broken, once only."""
        truncate_at, request.truncate_at = request.truncate_at, None
        self.counters.truncated += truncate_at is not None
        return truncate_at

    def _check_fence(self, fence: int) -> None:
        if self.settings.checks_fence and fence < self.fence:
            self.counters.refused_orders += 1
            raise StaleFence(f"fencing number {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)

    def _begin_load(self) -> None:
        self.state = LoadState.LOADING
        self.counters.loads += 1
        self._load_task = asyncio.get_running_loop().create_task(self._finish_load())

    async def _finish_load(self) -> None:
        await asyncio.sleep(self.settings.load_seconds * self.slow_factor)
        await self.wait_until_thawed()
        self.state = LoadState.READY
        self.publish_status()

    def _leave_group(self, keeps_load: bool = False) -> None:
        if self._watch is not None:
            self._watch.stop()
            self._watch = None
        if self._load_task is not None and not keeps_load:
            self._load_task.cancel()
        self._break_requests()

    def _check_group(self) -> None:
        if not self.is_serving:
            self._break_requests()

    def _break_requests(self) -> None:
        broken = list(self.batch.requests)
        self.batch.remove(broken)
        for request in broken:
            request.end(Outcome.BROKEN)
            self._forget(request)
        if broken:
            self.record_load()

    def _expire(self, request: EngineRequest) -> None:
        if request.readers == 0:
            self.cancel(request)

    def _forget(self, request: EngineRequest) -> None:
        if self.requests_by_id.get(request.request_id) is request:
            del self.requests_by_id[request.request_id]

    def _announce_cache(self, added: tuple[str, ...], removed: tuple[str, ...]) -> None:
        if not added and not removed:
            return
        number = next(self._cache_numbers)
        gap_every = self.settings.cache_gap_every
        if gap_every and number % gap_every == 0:
            return
        event = {"event": "cache", "seq": number, "added": list(added), "removed": list(removed)}
        self._call_later(self.settings.cache_lag, partial(self.events.publish, event))

    async def _run_steps(self) -> None:
        while self.batch.requests:
            began_at = time.monotonic()
            await asyncio.sleep(max(self.settings.seconds_per_token, SHORTEST_STEP_SECONDS))
            seconds = min(time.monotonic() - began_at, LONGEST_STEP_SECONDS)
            await self.wait_until_thawed()
            if self.registry.group_is_stalled(self):
                continue
            for request in self.batch.step(seconds / self.slow_factor):
                self._complete(request)

    def _complete(self, request: EngineRequest) -> None:
        self.warmup.completions += 1
        self.counters.completed += 1
        self.counters.tokens += request.max_tokens
        self.counters.partial_completed += request.began_partial
        self.record_load()
        if request.resumable:
            self._call_later(RESUME_SECONDS, partial(self._forget, request))
        else:
            self._forget(request)


__all__ = ["Engine", "EngineCounts", "EngineSettings", "UpstreamCrashed", "StaleFence"]
