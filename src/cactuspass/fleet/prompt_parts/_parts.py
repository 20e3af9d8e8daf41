"""Shared parts of prompts, and the blocks on those that make upstreams crash."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, NewType

from pydantic import FailFast

from cactuspass.fleet._upstreams import Lifetime
from cactuspass.models import CustomerId, EntryId, ModelId, RequestId, ServiceId

PromptPartId = NewType("PromptPartId", str)

ANONYMOUS = CustomerId("")  # the customer of requests without a key
EVERYONE: tuple[CustomerId, ...] = ()


class AnswerStage(Enum):
    """How far an answer has come, or has to come to clear the parts of its prompt.

    An answer that has begun clears them of crashes before any part of an answer, but not of those
    that come later.
    """

    BEGUN = "begun"
    WHOLE = "whole"


@dataclass(frozen=True, slots=True, order=True)
class PartKey:
    """A shared part of the prompts for one model.

    :param model: empty for a service without models.
    """

    service: ServiceId
    model: ModelId
    part: PromptPartId


@dataclass(frozen=True, slots=True)
class PromptIdentity:
    """What a request has in common with others whose prompts have the same parts.

    :param parts: shared parts of the prompt, in order; the last part of a prompt belongs to one
        request or session and is not included.
    """

    service: ServiceId
    model: ModelId
    customer: CustomerId
    parts: tuple[PromptPartId, ...]

    @property
    def keys(self) -> tuple[PartKey, ...]:
        """The keys of the shared parts."""
        return tuple(PartKey(self.service, self.model, part) for part in self.parts)


@dataclass(frozen=True, slots=True)
class BrokenAttempt:
    """An attempt whose upstream closed the connection before the answer was complete.

    :param sent_at: clock value at which the request was sent.
    :param has_head: whether the head of the answer had arrived.
    :param has_begun: whether a part of its body had arrived.
    """

    lifetime: Lifetime
    sent_at: float
    has_head: bool
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A request whose upstream closed the connection before its answer was complete.

    :param keys: shared parts on which no answer is known to have come so far recently.
    :param lifetime: the upstream that closed the connection.
    :param sent_at: clock value at which the request was sent.
    :param broke_at: clock value at which the connection was closed.
    :param was_writing: whether the upstream had begun to write the answer, by its head.
    :param instance: instance that had sent the request.
    :param is_complete: whether these are all such parts of the prompt; if not, the part that is to
        blame may be missing.
    :param stage: how far an answer has to come to contradict the report: a crash before the answer
        had begun is contradicted by answers that begin, a later one by whole answers.
    """

    keys: tuple[PartKey, ...]
    customer: CustomerId
    lifetime: Lifetime
    sent_at: float
    broke_at: float
    was_writing: bool
    instance: EntryId
    request: RequestId
    is_complete: bool = True
    stage: AnswerStage = AnswerStage.BEGUN


@dataclass(frozen=True, slots=True, order=True)
class BlockKey:
    """The parts of a prompt that a block names; a request must have all of them to match."""

    service: ServiceId
    model: ModelId
    parts: Annotated[tuple[PromptPartId, ...], FailFast()]

    def __str__(self) -> str:
        return f"{self.service}/{self.model}/{'+'.join(self.parts)}"


@dataclass(frozen=True, slots=True)
class Block:
    """Whether requests with certain parts of a prompt are refused.

    Every change of a block raises its version, so that of two states the later one is known.

    :param customers: customers whose requests are refused; empty for all.
    :param is_active: False once the block has ended.
    :param since: Unix time in seconds of the last change.
    :param seconds: time in seconds after which one request may be sent to try the parts again;
        None if only an operator ends the block.
    :param crashes: crashes that are known to have been caused by these parts.
    :param instances: instances that reported them.
    :param reason: why the block began or ended, for operators.
    :param stage: how far an answer on the parts has to come to end the block.
    """

    key: BlockKey
    version: int
    customers: Annotated[tuple[CustomerId, ...], FailFast()]
    is_active: bool
    since: float
    seconds: float | None
    crashes: int
    instances: Annotated[tuple[EntryId, ...], FailFast()]
    reason: str
    stage: AnswerStage = AnswerStage.BEGUN

    @property
    def customer_names(self) -> tuple[str, ...]:
        """The customers as operators see them."""
        return tuple(name or "(no key)" for name in self.customers)

    @property
    def is_held(self) -> bool:
        """Whether the block stays in force until an operator ends it."""
        return self.is_active and self.seconds is None

    @property
    def next_trial_at(self) -> float | None:
        """Unix time from which one request may try the parts again; None if none may."""
        return None if self.seconds is None or not self.is_active else self.since + self.seconds

    @property
    def trial_order(self) -> tuple[float, BlockKey]:
        """Sort key by the time of the next trial; blocks without one are last."""
        due = self.next_trial_at
        return (float("inf") if due is None else due, self.key)

    def matches(self, prompt: PromptIdentity, has_begun: bool = False) -> bool:
        """Return whether a request is refused by this block.

        :param has_begun: whether an answer to the request has begun.
        """
        if not self.is_active or (self.customers and prompt.customer not in self.customers):
            return False
        if has_begun and self.stage is AnswerStage.BEGUN:
            return False
        return set(self.key.parts) <= set(prompt.parts)

    def supersedes(self, other: "Block | None") -> bool:
        """Return whether this is the later of two states of a block.

        Of two changes that were made at the same time, the one that refuses more is used.
        """
        return other is None or self._order > other._order

    @property
    def _order(self) -> tuple[object, ...]:
        refuses_all = self.is_active and not self.customers
        return (
            self.version,
            self.is_active,
            refuses_all,
            self.customers,
            self.since,
            self.crashes,
            self.seconds is None,
            self.seconds or 0.0,
            self.instances,
            self.reason,
            self.stage.value,
        )


def all_customers(
    first: tuple[CustomerId, ...], second: tuple[CustomerId, ...]
) -> tuple[CustomerId, ...]:
    """Return the customers of two blocks together; empty means everyone."""
    return tuple(sorted({*first, *second})) if first and second else EVERYONE
