"""Continuous batching of a stand-in engine."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from cactuspass_standins._prompt import Prompt


class RequestState(Enum):
    """State of a request; BROKEN when it was aborted because its engine left or lost its group."""

    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@dataclass(slots=True, eq=False, kw_only=True)
class EngineRequest:
    """One request that an engine runs.

    :param prompt_seconds_left: processing time of the prompt left before the first token.
    :param resumable: whether it keeps running for a while after its connection was lost.
    :param truncate_at: number of tokens after which its first connection is aborted.
    :param started_in_partial_group: whether a member of the group was not ready at its start.
    :param produced_tokens: tokens generated so far.
    :param reader_count: open connections that read its completion.
    :param progress: set when tokens were generated or the state changed.
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
    started_in_partial_group: bool = False
    produced_tokens: int = 0
    reader_count: int = 0
    state: RequestState = RequestState.RUNNING
    progress: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def memory_tokens(self) -> int:
        """Return the maximum number of tokens that it can occupy in memory."""
        return self.prompt.tokens + self.max_tokens

    def end(self, state: RequestState) -> None:
        """Set the final state and wake the readers."""
        self.state = state
        self.progress.set()


class Batch:
    """Accepted requests, of which the most urgent get tokens in each step.

    :param size: maximum number of requests that get tokens in one step.
    :param seconds_per_token: time to generate one token; 0 generates all tokens at once.
    """

    def __init__(self, size: int, seconds_per_token: float) -> None:
        self.size = size
        self.seconds_per_token = seconds_per_token
        self.requests: list[EngineRequest] = []
        self._token_credit = 0.0

    def step(self, seconds: float) -> list[EngineRequest]:
        """Process the batch for a period.

        :param seconds: length of the period.
        :return: the requests completed in it.
        """
        tokens = self._accrue_tokens(seconds)
        urgent = sorted(self.requests, key=lambda request: request.priority)
        for request in urgent[: self.size]:
            self._advance(request, seconds, tokens)
        completed = [item for item in self.requests if item.produced_tokens >= item.max_tokens]
        self.remove(completed)
        for request in completed:
            request.end(RequestState.COMPLETED)
        return completed

    def remove(self, requests: Iterable[EngineRequest]) -> None:
        """Remove requests from the batch and thereby free their memory."""
        gone = set(requests)
        self.requests = [request for request in self.requests if request not in gone]

    def _accrue_tokens(self, seconds: float) -> int:
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
        request.produced_tokens = min(request.max_tokens, request.produced_tokens + tokens)
        request.progress.set()
