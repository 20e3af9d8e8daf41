"""Changes of claims that wait to be written to the platform's store."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum, auto

from cactuspass._claim_table import ClaimTable
from cactuspass._claims import (
    Claim,
    Claimed,
    ClaimKey,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    Owner,
    Refused,
    decode_record,
    encode_record,
)
from cactuspass._platform import KeyValue, LeaseId, Write
from cactuspass.exceptions import DocumentError

REFUSED_RETRY_SECONDS = 2.0
MAX_CLAIM_FAILURES = 2
MAX_BACKGROUND_SECONDS = 3600.0

ReleaseClaim = Callable[[Claim, int], None]
Finished = Callable[[], None]


class Failure(Enum):
    """Why a batch of writes was not answered."""

    UNREACHABLE = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class NextTry(Enum):
    """When a write is to be tried again."""

    NOW = auto()
    LATER = auto()
    NEVER = auto()


class PendingWrite(ABC):
    """A change of one claim's record.

    :param expected_revision: the store's revision of the key that the change replaces.
    """

    def __init__(self, key: ClaimKey, record: ClaimRecord, expected_revision: int) -> None:
        self.key = key
        self.value = encode_record(record)
        self.expected_revision = expected_revision

    def to_write(self, lease: LeaseId) -> Write:
        """Return the change as a conditional write."""
        return Write(self.key, self.value, self.expected_revision, lease)

    @abstractmethod
    def accepted(self, revision: int) -> None:
        """Note that the change took effect at a revision of the store."""

    @abstractmethod
    def rejected(self, current: KeyValue) -> NextTry:
        """Note that the change did not take effect since the key has changed."""

    @abstractmethod
    def failed(self, failure: Failure) -> NextTry:
        """Note that the change was not answered."""


class ClaimWrite(PendingWrite):
    """A new claim; its outcome is awaited by the caller until that abandons it.

    :param release: called with the claim and its expected or stored revision, when the claim
        may be stored although its request will not run.
    """

    def __init__(self, claim: Claim, table: ClaimTable, release: ReleaseClaim) -> None:
        super().__init__(claim.key, _record(claim, ClaimState.CLAIMED), 0)
        self.claim = claim
        self.outcome: asyncio.Future[ClaimOutcome] = asyncio.get_running_loop().create_future()
        self.may_be_stored = False
        self._table = table
        self._release = release
        self._failures = 0
        self._is_abandoned = False

    def accepted(self, revision: int) -> None:
        """Let the caller run the request, or release the claim when the caller has left."""
        if self._is_abandoned:
            self._release(self.claim, revision)
            return
        self._table.start(self.claim, revision)
        self.outcome.set_result(Claimed(self.claim))

    def rejected(self, current: KeyValue) -> NextTry:
        """Recognise the own claim, claim a key that is free, or tell what the key holds."""
        if _owner_of(current) == self.claim.owner:
            self.accepted(current.mod_revision)
            return NextTry.NEVER
        if self._is_abandoned:
            return NextTry.NEVER
        outcome = self._table.judge(current, self.claim)
        if outcome is None:
            self.expected_revision = current.mod_revision
            return NextTry.NOW
        self._table.remove(self.claim)
        self.outcome.set_result(outcome)
        return NextTry.NEVER

    def failed(self, failure: Failure) -> NextTry:
        """Try again once, unless the platform is surely away."""
        self.may_be_stored = self.may_be_stored or failure is Failure.UNKNOWN
        self._failures += 1
        if self._is_abandoned:
            self._settle()
            return NextTry.NEVER
        if failure is not Failure.UNREACHABLE and self._failures < MAX_CLAIM_FAILURES:
            return NextTry.NOW
        self._table.remove(self.claim)
        self._settle()
        self.outcome.set_result(Refused(REFUSED_RETRY_SECONDS))
        return NextTry.NEVER

    def abandon(self) -> None:
        """Give the claim up, since the caller has left or waited too long."""
        self._is_abandoned = True
        self._table.remove(self.claim)
        self._settle()

    def _settle(self) -> None:
        if self.may_be_stored:
            self._release(self.claim, self.expected_revision)


class ReleaseWrite(PendingWrite):
    """A mark that the request of a claim did not run, so that a retry may run.

    The mark is also written where the key is missing or free, since a claim that is still on
    its way to the store would otherwise take effect there.
    """

    def __init__(
        self, claim: Claim, expected_revision: int, table: ClaimTable, finished: Finished
    ) -> None:
        super().__init__(claim.key, _record(claim, ClaimState.NOT_RUN), expected_revision)
        self._table = table
        self._finished = finished
        self._give_up_at = asyncio.get_running_loop().time() + MAX_BACKGROUND_SECONDS

    def accepted(self, revision: int) -> None:
        """Note that the key is free for other entries."""
        self._end()

    def rejected(self, current: KeyValue) -> NextTry:
        """Replace a mark, or an own claim that did not run; anything else ends the claim too."""
        record = _decode(current)
        is_free = record is not None and (
            record.state is ClaimState.NOT_RUN or self._table.has_not_run(self.key, record)
        )
        if not is_free:
            self._end()
            return NextTry.NEVER
        self.expected_revision = current.mod_revision
        return NextTry.NOW

    def failed(self, failure: Failure) -> NextTry:
        """Try again later, for a limited time."""
        if asyncio.get_running_loop().time() < self._give_up_at:
            return NextTry.LATER
        self._end()
        return NextTry.NEVER

    def _end(self) -> None:
        self._table.forget_not_run(self.key)
        self._finished()


class FinishWrite(PendingWrite):
    """The record of how a request ended."""

    def __init__(
        self, claim: Claim, record: ClaimRecord, expected_revision: int, finished: Finished
    ) -> None:
        super().__init__(claim.key, record, expected_revision)
        self._finished = finished
        self._give_up_at = asyncio.get_running_loop().time() + MAX_BACKGROUND_SECONDS

    def accepted(self, revision: int) -> None:
        """Note that the outcome is recorded."""
        self._finished()

    def rejected(self, current: KeyValue) -> NextTry:
        """Write again when the store has lost the claim; else it has this record already."""
        if current.value is None:
            self.expected_revision = current.mod_revision
            return NextTry.NOW
        self._finished()
        return NextTry.NEVER

    def failed(self, failure: Failure) -> NextTry:
        """Try again later, for a limited time."""
        if asyncio.get_running_loop().time() < self._give_up_at:
            return NextTry.LATER
        self._finished()
        return NextTry.NEVER


def _record(claim: Claim, state: ClaimState) -> ClaimRecord:
    return ClaimRecord(state, claim.fingerprint, claim.owner)


def _decode(current: KeyValue) -> ClaimRecord | None:
    if current.value is None:
        return None
    try:
        return decode_record(current.value)
    except DocumentError:
        return None


def _owner_of(current: KeyValue) -> Owner | None:
    record = _decode(current)
    return None if record is None else record.owner
