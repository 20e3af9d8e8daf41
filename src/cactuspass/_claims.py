"""Claims of idempotency keys, their stored records, and the outcome that a record gives a retry."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from typing import NewType

from cactuspass._codec import DocumentCodec
from cactuspass.models import CustomerId, EntryId, Incarnation

CLAIM_PREFIX = "/cactuspass/claims/"
CLAIM_RETENTION_SECONDS = 86_400
MAX_RECORDED_BODY_BYTES = 64 * 1024
IN_PROGRESS_RETRY_SECONDS = 1.0
PART_LENGTH_BYTES = 8

ClaimKey = NewType("ClaimKey", str)
Fingerprint = NewType("Fingerprint", str)
OwnerHasEnded = Callable[[EntryId, Incarnation], bool]


class ClaimState(Enum):
    """State of the request of an idempotency key, as stored."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class Owner:
    """The attempt that owns a claim.

    :param incarnation: process of the entry that made the attempt.
    :param sequence: number of the attempt within the entry process.
    """

    entry_id: EntryId
    incarnation: Incarnation
    sequence: int


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to run the request of an idempotency key once."""

    key: ClaimKey
    fingerprint: Fingerprint
    owner: Owner


@dataclass(frozen=True, slots=True)
class Header:
    """One header field of a recorded answer."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """A complete answer of an upstream."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The record of a claim in the platform's store.

    :param answer: None unless the state is DONE, or if the answer was too large to record.
    """

    state: ClaimState
    fingerprint: Fingerprint
    owner: Owner
    answer: RecordedAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The key was claimed: the caller may run the request and must report how it ended."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class InProgress:
    """The request of this key may still be running.

    :param retry_after: seconds after which the caller should retry.
    """

    retry_after: float = IN_PROGRESS_RETRY_SECONDS


@dataclass(frozen=True, slots=True)
class Recorded:
    """The request of this key has run and its answer is recorded."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class DoneWithoutAnswer:
    """The request of this key has run; its answer was too large to record."""


@dataclass(frozen=True, slots=True)
class DifferentRequest:
    """The key was used before for a request with another method, path or body."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknownEarlier:
    """The request of this key may have run, and its outcome will never be known."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The key could not be claimed; this request has not run and will not run.

    :param retry_after: seconds after which a retry is likely to succeed.
    """

    retry_after: float


ClaimOutcome = (
    Claimed
    | InProgress
    | Recorded
    | DoneWithoutAnswer
    | DifferentRequest
    | OutcomeUnknownEarlier
    | Refused
)

_RECORD = DocumentCodec("claim", ClaimRecord)

encode_record = _RECORD.encode
decode_record = _RECORD.decode


def claim_key(customer: CustomerId, idempotency_key: str) -> ClaimKey:
    """Return the store's key for one customer's idempotency key."""
    return ClaimKey(CLAIM_PREFIX + _digest(customer.encode(), idempotency_key.encode()))


def fingerprint_of(method: str, target: str, body: bytes) -> Fingerprint:
    """Return a digest that differs between requests with different contents.

    :param target: path and query.
    """
    return Fingerprint(_digest(method.encode(), target.encode(), body))


def finished_record(claim: Claim, answer: RecordedAnswer) -> ClaimRecord:
    """Return the record of a request that ran, leaving out an answer that is too large."""
    kept = answer if len(answer.body) <= MAX_RECORDED_BODY_BYTES else None
    return ClaimRecord(ClaimState.DONE, claim.fingerprint, claim.owner, kept)


def outcome_of(
    record: ClaimRecord, fingerprint: Fingerprint, owner_has_ended: bool
) -> ClaimOutcome | None:
    """Return the outcome that a record gives a new request with the same key.

    :param owner_has_ended: whether the process that owns the claim has certainly ended.
    :return: None if the key may be claimed.
    """
    if record.state is ClaimState.NOT_RUN:
        return None
    if record.fingerprint != fingerprint:
        return DifferentRequest()
    if record.state is ClaimState.DONE:
        return Recorded(record.answer) if record.answer is not None else DoneWithoutAnswer()
    if record.state is ClaimState.UNKNOWN or owner_has_ended:
        return OutcomeUnknownEarlier()
    return InProgress()


def _digest(*parts: bytes) -> str:
    digest = sha256()
    for part in parts:
        digest.update(len(part).to_bytes(PART_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
