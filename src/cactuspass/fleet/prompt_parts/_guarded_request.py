"""One request whose prompt may have a part that makes upstreams crash."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cactuspass._clock import now
from cactuspass.fleet._upstreams import Lifetime
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._holds import UnansweredRequest
from cactuspass.fleet.prompt_parts._parts import Block, BrokenAttempt, PromptIdentity
from cactuspass.models import RequestId

# Upstreams that may crash under one request, first sends, hedges and resumptions together.
MAX_CRASHES = 2
# The same if the request may only have met the crashes: other upstreams crash as well, or whole
# answers are known on all its shared parts.
MAX_CRASHES_BY_BAD_LUCK = 3


@dataclass(slots=True)
class GuardedRequest:
    """The parts of one request, the upstreams that crashed under it, and whether it may be sent.

    :param tried_block: a block that this request tries again; None if there is none.
    :param has_begun: whether an answer has begun.
    """

    guard: PartGuard
    request_id: RequestId
    prompt: PromptIdentity
    tried_block: Block | None = None
    has_begun: bool = False
    _has_waited_long: bool = False
    _unanswered: UnansweredRequest | None = None
    _crashed: set[Lifetime] = field(default_factory=set)

    def find_block(self) -> Block | None:
        """Return the block that refuses this request now; None if there is none."""
        block = self.guard.find_block(self.prompt, self.has_begun)
        return None if block == self.tried_block else block

    @property
    def may_hedge(self) -> bool:
        """Whether a second upstream may get the request before the first has begun an answer."""
        return self.tried_block is None and self.guard.is_known_harmless(self.prompt)

    @property
    def may_hedge_begun(self) -> bool:
        """Whether a second upstream may get the request after the first has begun an answer."""
        return not self._crashed or self.guard.is_known_whole(self.prompt)

    @property
    def has_crashed_too_many(self) -> bool:
        """Whether so many upstreams have crashed under this request that no other may get it."""
        if len(self._crashed) < MAX_CRASHES:
            return False
        guard = self.guard
        is_doubtful = guard.have_others_broken(self._crashed) or guard.is_known_whole(self.prompt)
        return len(self._crashed) >= (MAX_CRASHES_BY_BAD_LUCK if is_doubtful else MAX_CRASHES)

    @property
    def is_held(self) -> bool:
        """Whether another request tries one of the parts now."""
        keys = self.prompt.keys
        if self.has_begun or self._has_waited_long:
            return False
        return self.guard.holds.is_held(self.request_id, keys, now())

    async def wait_for_verdict(self, max_seconds: float) -> None:
        """Wait until it is decided whether a part that was present at crashes is blamed.

        While another request tries an accused part, wait for the outcome.

        :param max_seconds: time after which the request goes on without a verdict.
        """
        if not self.prompt.parts and not self.has_crashed_too_many:
            return
        try:
            async with asyncio.timeout(max(0.0, max_seconds)):
                await self._forget_running()
                if self.prompt.parts:
                    await self._wait_for_guard()
        except TimeoutError:
            self._has_waited_long = True

    async def _forget_running(self) -> None:
        """Forget the upstreams that have only closed a connection, once that matters."""
        if self.has_crashed_too_many:
            self._crashed &= await self.guard.find_gone(self._crashed)

    async def _wait_for_guard(self) -> None:
        remaining = self.guard.verdict_remaining(self.prompt, self.has_begun)
        if remaining > 0:
            await asyncio.sleep(remaining)
        if not self.has_begun:
            await self.guard.holds.wait(self.request_id, self.prompt.keys)

    def note_sent(self, recall: Callable[[], None] | None) -> None:
        """Record that the request was sent.

        :param recall: cancels the attempt; None if the request may not be repeated.
        """
        self.note_attempt_ended()
        if self.prompt.parts:
            self._unanswered = UnansweredRequest(self.request_id, self.prompt.keys, recall)
            self.guard.holds.add_unanswered(self._unanswered)

    def note_begun(self, head_seconds: float) -> None:
        """Record that an answer has begun.

        :param head_seconds: time in seconds from the head to the first part of the body.
        """
        self.has_begun = True
        self.note_attempt_ended()
        self.guard.note_begun(self.prompt, self.request_id, head_seconds)

    def note_whole(self) -> None:
        """Record that one upstream has written the whole answer."""
        self.guard.note_whole(self.prompt, self.request_id)

    def note_crash(self, attempt: BrokenAttempt) -> None:
        """Record that an upstream closed the connection before the answer was complete."""
        self._crashed.add(attempt.lifetime)
        self.guard.note_crash(self.request_id, self.prompt, self.tried_block, attempt)

    def note_silence(self, attempt: BrokenAttempt, silent_since: float) -> None:
        """Record that an upstream is silent, which may have ended under the request.

        :param silent_since: clock value at which it was last heard.
        """
        self.guard.note_silence(self.request_id, self.prompt, attempt, silent_since)

    def note_attempt_ended(self) -> None:
        """Record that nothing more is expected from the last attempt, or that its answer came."""
        if self._unanswered is not None:
            self.guard.holds.remove_unanswered(self._unanswered)
            self._unanswered = None

    def end(self) -> None:
        """End the request, whatever its outcome."""
        self.note_attempt_ended()
        self.guard.holds.release_all_of(self.request_id)
        if self.tried_block is not None:
            self.guard.end_trial(self.tried_block)


def guard_request(
    guard: PartGuard, request_id: RequestId, prompt: PromptIdentity
) -> GuardedRequest:
    """Return a new request; it is a trial if its parts may be tried again now."""
    return GuardedRequest(guard, request_id, prompt, guard.begin_trial(request_id, prompt))
