"""One request whose prompt may have a part that makes upstreams crash."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass.fleet.prompt_parts._guard import PartGuard
from cactuspass.fleet.prompt_parts._holds import UnansweredRequest
from cactuspass.fleet.prompt_parts._parts import Block, BrokenAttempt, PromptIdentity
from cactuspass.models import RequestId


@dataclass(slots=True)
class GuardedRequest:
    """The parts of one request, and whether it may be sent.

    :param tried_block: a block that this request tries again; None if there is none.
    :param has_begun: whether an answer has begun, so that its own parts are known to be harmless.
    """

    guard: PartGuard
    request_id: RequestId
    prompt: PromptIdentity
    tried_block: Block | None = None
    has_begun: bool = False
    _has_waited_long: bool = False
    _unanswered: UnansweredRequest | None = None

    def find_block(self) -> Block | None:
        """Return the block that refuses this request now; None if there is none."""
        if self.has_begun:
            return None
        block = self.guard.find_block(self.prompt)
        return None if block == self.tried_block else block

    @property
    def may_hedge(self) -> bool:
        """Whether a second upstream may get the request before the first has begun an answer."""
        return self.tried_block is None and self.guard.is_known_harmless(self.prompt)

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
        if not self.prompt.parts or self.has_begun:
            return
        try:
            async with asyncio.timeout(max(0.0, max_seconds)):
                remaining = self.guard.verdict_remaining(self.prompt)
                if remaining > 0:
                    await asyncio.sleep(remaining)
                await self.guard.holds.wait(self.request_id, self.prompt.keys)
        except TimeoutError:
            self._has_waited_long = True

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

    def note_crash(self, attempt: BrokenAttempt) -> None:
        """Record that an upstream closed the connection before any part of the answer had come."""
        self.guard.note_crash(self.request_id, self.prompt, self.tried_block, attempt)

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
