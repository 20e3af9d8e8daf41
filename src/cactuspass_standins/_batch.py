"""Continuous batching of a stand-in engine."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cactuspass_standins._prompt import Prompt


class Outcome(Enum):
    """How far a request has come."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@dataclass(slots=True, eq=False, kw_only=True)
class EngineRequest:
    """One request that an engine runs.

    :param prompt_seconds_left: work left before the first token.
    :param resumable: whether it goes on for a while after its connection broke.
    :param truncate_at: number of tokens after which its first connection is broken.
    :param began_partial: whether a member of the group was missing when it began.
    """

    request_id: str
    model: str
    is_chat: bool
    prompt: Prompt
    max_tokens: int
    priority: int = 1
    prompt_seconds_left: float = 0.0
    resumable: bool = False
    truncate_at: int | None = None
    began_partial: bool = False
    produced: int = 0
    readers: int = 0
    outcome: Outcome = Outcome.RUNNING
    progress: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that it may come to hold."""
        return self.prompt.tokens + self.max_tokens

    def end(self, outcome: Outcome) -> None:
        """End it and wake its reader."""
        self.outcome = outcome
        self.progress.set()


class Batch:
    """Requests held, of which the most urgent get tokens at each step.

    :param size: requests that get tokens at once.
    """

    def __init__(self, size: int, seconds_per_token: float) -> None:
        self.size = size
        self.seconds_per_token = seconds_per_token
        self.requests: list[EngineRequest] = []
        self._token_credit = 0.0

    def step(self, seconds: float) -> list[EngineRequest]:
        """Advance by this much work and return the requests that it completed."""
        tokens = self._earn_tokens(seconds)
        urgent = sorted(self.requests, key=lambda request: request.priority)
        for request in urgent[: self.size]:
            self._advance(request, seconds, tokens)
        completed = [item for item in self.requests if item.produced >= item.max_tokens]
        self.remove(completed)
        for request in completed:
            request.end(Outcome.COMPLETED)
        return completed

    def remove(self, requests: Iterable[EngineRequest]) -> None:
        """Forget requests and free their memory."""
        gone = set(requests)
        self.requests = [request for request in self.requests if request not in gone]

    def _earn_tokens(self, seconds: float) -> int:
        if self.seconds_per_token == 0:
            return max((request.max_tokens for request in self.requests), default=0)
        self._token_credit += seconds / self.seconds_per_token
        tokens = int(self._token_credit)
        self._token_credit -= tokens
        return tokens

    @staticmethod
    def _advance(request: EngineRequest, seconds: float, tokens: int) -> None:
        if request.prompt_seconds_left > 0:
            request.prompt_seconds_left -= seconds
            return
        request.produced = min(request.max_tokens, request.produced + tokens)
        request.progress.set()
