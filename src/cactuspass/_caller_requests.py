"""Parses callers' HTTP requests into typed requests."""

import hashlib
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cactuspass._requests import CallerRequest, Header
from cactuspass.exceptions import CactuspassError
from cactuspass.models import CustomerId, Priority, RequestId

CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
PREFIX_BLOCK_CHARACTERS = 64
MAX_PREFIX_BLOCKS = 32
PREFIX_HASH_DIGITS = 16
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
DEADLINE_HEADER = "X-Deadline-Seconds"
PRIORITY_HEADER = "X-Request-Priority"
RETRY_COUNT_HEADERS = ("X-Retry-Count", "X-Stainless-Retry-Count")
SERVICE_TOKENS = 1


class MalformedRequest(CactuspassError):
    """A caller's request is malformed; the message names the field or header."""


class _Completion(BaseModel):
    """The fields of a model request that routing needs; the engine validates the others."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    prompt: str | list[str] | None = None
    messages: list[dict[str, Any]] | None = None
    priority: Literal[0, 1, 2] | None = None


@dataclass(frozen=True, slots=True)
class RequestDefaults:
    """Deadlines of requests.

    :param deadline_seconds: time to the first byte if the caller sets no deadline.
    :param max_deadline_seconds: longest deadline that a caller may set.
    """

    deadline_seconds: float = 30.0
    max_deadline_seconds: float = 600.0


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A caller's HTTP request before it is parsed."""

    request_id: RequestId
    customer: CustomerId
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header field, or None if the field is missing."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


class RequestReader:
    """Parses HTTP requests into instances of :class:`CallerRequest`.

    :param clock: returns the monotonic time in seconds.
    :param priorities_by_customer: default priority of each customer.
    """

    def __init__(
        self,
        defaults: RequestDefaults,
        clock: Callable[[], float],
        priorities_by_customer: Mapping[CustomerId, Priority],
    ) -> None:
        self._defaults = defaults
        self._clock = clock
        self._priorities_by_customer = priorities_by_customer

    def read_completion(self, raw: RawRequest) -> CallerRequest:
        """Parse a request to a model.

        :raises MalformedRequest: if the body or a header is invalid; names every invalid field.
        """
        try:
            fields = _Completion.model_validate(json.loads(raw.body))
        except ValidationError as error:
            raise MalformedRequest(_describe_errors(error)) from error
        except (ValueError, RecursionError) as error:
            raise MalformedRequest(f"the body is not JSON: {error}") from error
        prompt = _prompt_text(fields)
        output_tokens = fields.max_completion_tokens or fields.max_tokens or DEFAULT_OUTPUT_TOKENS
        tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1 + output_tokens
        priority = None if fields.priority is None else Priority(fields.priority)
        return self._build(raw, fields.model, tokens, True, priority, prefix_hashes(prompt))

    def read_service(self, raw: RawRequest, model: str) -> CallerRequest:
        """Parse a request to a plain service, which is repeatable if its method is idempotent.

        :param model: name of the service with the prefix ``service:``.
        :raises MalformedRequest: if a header is invalid.
        """
        repeatable = raw.method in IDEMPOTENT_METHODS
        return self._build(raw, model, SERVICE_TOKENS, repeatable, None, ())

    def _build(
        self,
        raw: RawRequest,
        model: str,
        tokens: int,
        repeatable: bool,
        priority: Priority | None,
        prefixes: tuple[str, ...],
    ) -> CallerRequest:
        return CallerRequest(
            request_id=raw.request_id,
            customer=raw.customer,
            model=model,
            method=raw.method,
            path=raw.path,
            headers=raw.headers,
            body=raw.body,
            tokens=tokens,
            priority=self._priority(raw) if priority is None else priority,
            deadline=self._clock() + self._deadline_seconds(raw),
            repeatable=repeatable,
            prefixes=prefixes,
            returning=any(raw.header(name) not in (None, "0") for name in RETRY_COUNT_HEADERS),
        )

    def _priority(self, raw: RawRequest) -> Priority:
        text = raw.header(PRIORITY_HEADER)
        if text is None:
            return self._priorities_by_customer.get(raw.customer, Priority.NORMAL)
        try:
            return Priority[text.upper()]
        except KeyError:
            raise MalformedRequest(
                f"header {PRIORITY_HEADER}: {text!r} is not one of high, normal, low"
            ) from None

    def _deadline_seconds(self, raw: RawRequest) -> float:
        text = raw.header(DEADLINE_HEADER)
        if text is None:
            return self._defaults.deadline_seconds
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= self._defaults.max_deadline_seconds:
            limit = self._defaults.max_deadline_seconds
            raise MalformedRequest(
                f"header {DEADLINE_HEADER}: {text!r} is not a number above 0 and up to {limit:g}"
            )
        return seconds


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return a hash of each leading part of the prompt, in whole blocks, longest part last."""
    blocks = min(len(prompt) // PREFIX_BLOCK_CHARACTERS, MAX_PREFIX_BLOCKS)
    digest = hashlib.sha256()
    hashes = []
    for block in range(blocks):
        start = block * PREFIX_BLOCK_CHARACTERS
        digest.update(prompt[start : start + PREFIX_BLOCK_CHARACTERS].encode())
        hashes.append(digest.copy().hexdigest()[:PREFIX_HASH_DIGITS])
    return tuple(hashes)


def _prompt_text(fields: _Completion) -> str:
    prompt = fields.prompt
    if prompt is not None:
        return prompt if isinstance(prompt, str) else "".join(prompt)
    contents = (message.get("content") for message in fields.messages or ())
    return "\n".join(chain.from_iterable(_texts(content) for content in contents))


def _texts(content: Any) -> list[str]:
    """Return the texts in the content of a chat message."""
    if isinstance(content, str):
        return [content]
    if isinstance(content, list):
        return [str(part.get("text", "")) for part in content if isinstance(part, dict)]
    return []


def _describe_errors(error: ValidationError) -> str:
    messages = (
        ".".join(str(part) for part in mistake["loc"]) + ": " + mistake["msg"]
        for mistake in error.errors()
    )
    return "; ".join(messages)
