"""Simulated requests with shared parts at upstreams that crash or are lost."""

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum

from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._guarded_request import GuardedRequest
from cactuspass.fleet.prompt_parts._holds import UnansweredRequest
from cactuspass.fleet.prompt_parts._parts import BrokenAttempt, PromptIdentity
from cactuspass.models import RequestId
from tests.part_world import PartWorld, prompt

MAX_SENDS = 4
MAX_SENDS_OF_BEGUN = 8
DOWN_SECONDS = 3.0
CLOSE_SECONDS = 0.004
POLL_SECONDS = 0.02
LATE_HEAD_SHARE_OF_TIME = 0.6
LATE_CRASH_SECONDS = 0.05
EARLY_HEAD_SECONDS = 0.02


class Heads(Enum):
    """When upstreams send the head of an answer before its body."""

    BEFORE_CRASH = "before a crash"
    NEVER = "never"
    AT_ONCE = "as soon as a request arrives"


@dataclass(slots=True, eq=False)
class Request:
    """One request, and its attempt that is under way.

    :param upstream: the upstream of the attempt; None if there is none.
    :param number: number of the attempt, which tells a late event of an earlier one.
    :param begun_number: number of the attempt that has begun to answer; None if none has.
    :param is_resumed: whether the attempt goes on with an answer that another one has begun.
    """

    instance: int
    guarded: GuardedRequest
    upstream: str | None = None
    number: int = 0
    sent_at: float = 0.0
    head_at: float | None = None
    unanswered: UnansweredRequest | None = None
    begun_number: int | None = None
    is_resumed: bool = False

    @property
    def prompt(self) -> PromptIdentity:
        """The prompt of the request."""
        return self.guarded.prompt

    @property
    def request_id(self) -> RequestId:
        """The id of the request."""
        return self.guarded.request_id

    @property
    def has_begun(self) -> bool:
        """Whether an answer has begun in any attempt."""
        return self.guarded.has_begun

    def end_attempt(self, guard: PartGuard) -> None:
        """Forget the attempt, which can no longer be recalled."""
        if self.unanswered is not None:
            guard.holds.remove_unanswered(self.unanswered)
            self.unanswered = None


@dataclass
class PartTraffic:
    """Requests that arrive at random instances and are sent to random upstreams.

    With a part that begins with "bad", an upstream crashes when it begins to write an answer, and
    with one that begins with "late", a moment after that. Answers go on for some time, and are
    resumed at another upstream when theirs is lost.

    :param stream_seconds: longest time that an answer goes on after it has begun.
    :ivar crashed_at_by_part: when each crashing part crashed an upstream.
    :ivar sent_at_by_part: when requests with each crashing part were sent.
    :ivar outcomes_by_customer: how many requests of each customer have begun, failed or were
        refused for a block.
    """

    world: PartWorld
    upstream_count: int
    heads: Heads = Heads.BEFORE_CRASH
    stream_seconds: float = 0.0
    crashed_at_by_part: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    sent_at_by_part: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    outcomes_by_customer: defaultdict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    _back_at: dict[str, float] = field(default_factory=dict)
    _births: Counter[str] = field(default_factory=Counter)
    _running: dict[str, dict[Request, None]] = field(default_factory=dict)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def count_sent_after(self, part: str, crash: int, seconds: float) -> int:
        """Return how many requests with a crashing part were sent some time after a crash."""
        crashed_at = self.crashed_at_by_part[part]
        if len(crashed_at) < crash:
            return 0
        until = crashed_at[crash - 1] + seconds
        return sum(sent_at > until for sent_at in self.sent_at_by_part[part])

    def send(self, *parts: str, customer: str = "customer-1") -> None:
        """Let a request arrive now."""
        instance = self.world.rng.randrange(len(self.world.guards))
        request_id = RequestId(f"r{next(self._numbers)}")
        guard = self.world.guards[instance]
        guarded = GuardedRequest(guard, request_id, prompt(*parts, customer=customer))
        self._attempt(Request(instance, guarded))

    def lose(self, upstream: str) -> None:
        """Let an upstream close all connections now; it is back after some seconds."""
        self._back_at[upstream] = self.world.at + DOWN_SECONDS
        lifetime = Lifetime(UpstreamId(upstream), self._births[upstream])
        self._births[upstream] += 1
        for request in self._running.pop(upstream, {}):
            number = request.number
            request.number += 1
            request.end_attempt(self.world.guards[request.instance])
            delay = self.world.rng.uniform(0.0, CLOSE_SECONDS)
            self.world.call_later(delay, lambda r=request, n=number: self._break(r, n, lifetime))  # type: ignore[misc]

    def _attempt(self, request: Request) -> None:
        guard = self.world.guards[request.instance]
        request.end_attempt(guard)
        wait = guard.verdict_remaining(request.prompt, request.has_begun)
        if not request.has_begun:
            wait = wait or self._hold_remaining(request)
        if wait > 0:
            self.world.call_later(min(wait, POLL_SECONDS), lambda: self._attempt(request))
            return
        if request.guarded.find_block() is not None:
            self.outcomes_by_customer[request.prompt.customer]["blocked"] += 1
            return
        alive = [
            upstream
            for upstream in map("u{}".format, range(self.upstream_count))
            if self._back_at.get(upstream, 0.0) <= self.world.at
        ]
        sends_left = MAX_SENDS_OF_BEGUN if request.has_begun else MAX_SENDS
        is_over = request.number >= sends_left or request.guarded.has_crashed_too_many
        if is_over or not alive:
            self.outcomes_by_customer[request.prompt.customer]["failed"] += 1
            return
        request.upstream = self.world.rng.choice(alive)
        request.sent_at, request.head_at = self.world.at, None
        self._running.setdefault(request.upstream, {})[request] = None
        seconds = self.world.rng.uniform(0.1, 0.6)
        number = request.number
        request.unanswered = UnansweredRequest(
            request.request_id, request.prompt.keys, lambda: self._recall(request)
        )
        guard.holds.add_unanswered(request.unanswered)
        head_after = self._head_seconds(request, seconds)
        if head_after is not None:
            self.world.call_later(head_after, lambda: self._receive_head(request, number))
        self.world.call_later(seconds, lambda: self._begin(request, number))
        for part in _bad_parts(request):
            self.sent_at_by_part[part].append(self.world.at)

    def _head_seconds(self, request: Request, seconds: float) -> float | None:
        """Return the seconds from sending to the head of the answer; None if none comes early."""
        if self.heads is Heads.AT_ONCE:
            return EARLY_HEAD_SECONDS
        if self.heads is Heads.BEFORE_CRASH and _bad_parts(request):
            return seconds * LATE_HEAD_SHARE_OF_TIME
        return None

    def _hold_remaining(self, request: Request) -> float:
        """Return the seconds for which another request still tries a part."""
        holds = self.world.guards[request.instance].holds._holds_by_part
        found = (holds.get(key) for key in request.prompt.keys)
        others = (hold.until for hold in found if hold and hold.request_id != request.request_id)
        return max(0.0, max(others, default=0.0) - self.world.at)

    def _recall(self, request: Request) -> None:
        if request.number + 1 >= MAX_SENDS:
            return
        assert request.upstream is not None
        self._running[request.upstream].pop(request, None)
        request.number += 1
        self.world.call_later(0.0, lambda: self._attempt(request))

    def _receive_head(self, request: Request, number: int) -> None:
        if request.number == number:
            request.head_at = self.world.at

    def _begin(self, request: Request, number: int) -> None:
        if request.number != number or request.upstream is None:
            return
        if _parts_with("bad", request):
            self._crash(request, number)
            return
        if not request.has_begun:
            self.outcomes_by_customer[request.prompt.customer]["begun"] += 1
        request.is_resumed = request.has_begun
        request.begun_number = number
        request.end_attempt(self.world.guards[request.instance])
        head_seconds = self.world.at - request.head_at if request.head_at else 0.0
        request.guarded.note_begun(head_seconds)
        if _parts_with("late", request):
            self.world.call_later(LATE_CRASH_SECONDS, lambda: self._crash(request, number))
        elif self.stream_seconds:
            seconds = self.world.rng.uniform(0.0, self.stream_seconds)
            self.world.call_later(seconds, lambda: self._finish(request, number))
        else:
            self._finish(request, number)

    def _crash(self, request: Request, number: int) -> None:
        """Let a crashing part of a request end its upstream."""
        if request.number != number or request.upstream is None:
            return
        for part in _bad_parts(request):
            self.crashed_at_by_part[part].append(self.world.at)
        self.lose(request.upstream)

    def _finish(self, request: Request, number: int) -> None:
        """Let an answer be whole."""
        if request.number != number or request.upstream is None:
            return
        self._running[request.upstream].pop(request, None)
        if not request.is_resumed:
            request.guarded.note_whole()

    def _break(self, request: Request, number: int, lifetime: Lifetime) -> None:
        guard = self.world.guards[request.instance]
        guard.note_own_break(lifetime.upstream_id)
        has_begun = request.begun_number == number
        had_head = request.head_at is not None or has_begun
        request.guarded.note_crash(BrokenAttempt(lifetime, request.sent_at, had_head, has_begun))
        self._attempt(request)


def _bad_parts(request: Request) -> list[str]:
    return [part for part in request.prompt.parts if part.startswith(("bad", "late"))]


def _parts_with(prefix: str, request: Request) -> list[str]:
    return [part for part in request.prompt.parts if part.startswith(prefix)]
