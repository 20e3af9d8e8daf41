"""Changes of claim records that wait to be written to the platform's store."""

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
MAX_BACKGROUND_RETRY_SECONDS = 3600.0

ReleaseClaim = Callable[[Claim, int], None]
OnFinished = Callable[[], None]


class Failure(Enum):
    """Why a batch of writes failed."""

    UNREACHABLE = auto()
    REFUSED = auto()
    UNKNOWN = auto()


class NextTry(Enum):
    """When a write is to be repeated."""

    NOW = auto()
    LATER = auto()
    NEVER = auto()


class PendingWrite(ABC):
    """A change of one claim's record.

    :param expected_revision: the store's revision of the record that the change replaces.
    """

    def __init__(self, key: ClaimKey, record: ClaimRecord, expected_revision: int) -> None:
        self.key = key
        self.value = encode_record(record)
        self.expected_revision = expected_revision

    def to_write(self, lease: LeaseId) -> Write:
        """Return the change as a conditional write."""
        return Write(self.key, self.value, self.expected_revision, lease)

    @abstractmethod
    def on_accepted(self, revision: int) -> None:
        """Handle a change that took effect at the given revision of the store."""

    @abstractmethod
    def on_rejected(self, current: KeyValue) -> NextTry:
        """Handle a change that had no effect because the key has changed.

        :param current: the key as stored.
        """

    @abstractmethod
    def on_failed(self, failure: Failure) -> NextTry:
        """Handle the failure of the call; the change may have taken effect if it is UNKNOWN."""


class ClaimWrite(PendingWrite):
    """A new claim, whose outcome the caller awaits until it abandons the claim.

    :param release: called with the claim and its expected or stored revision if the claim may
        be stored although its request will not run.
    :ivar may_be_stored: whether a call with unknown outcome contained the claim.
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

    def on_accepted(self, revision: int) -> None:
        """Let the caller run the request, or release the claim if the caller abandoned it."""
        if self._is_abandoned:
            self._release(self.claim, revision)
            return
        self._table.record_start(self.claim, revision)
        self.outcome.set_result(Claimed(self.claim))

    def on_rejected(self, current: KeyValue) -> NextTry:
        """Handle a key that has changed.

        If it holds this claim, an earlier call took effect and the claim is accepted. Unless the
        caller abandoned the claim, it is repeated if the key may be claimed, and otherwise the
        stored record gives its outcome.
        """
        if _owner_of(current) == self.claim.owner:
            self.on_accepted(current.mod_revision)
            return NextTry.NEVER
        if self._is_abandoned:
            return NextTry.NEVER
        outcome = self._table.stored_outcome(current, self.claim)
        if outcome is None:
            self.expected_revision = current.mod_revision
            return NextTry.NOW
        self._table.remove(self.claim)
        self.outcome.set_result(outcome)
        return NextTry.NEVER

    def on_failed(self, failure: Failure) -> NextTry:
        """Repeat the claim once, unless the platform could not be reached."""
        self.may_be_stored = self.may_be_stored or failure is Failure.UNKNOWN
        self._failures += 1
        if self._is_abandoned:
            self._release_if_stored()
            return NextTry.NEVER
        if failure is not Failure.UNREACHABLE and self._failures < MAX_CLAIM_FAILURES:
            return NextTry.NOW
        self._table.remove(self.claim)
        self._release_if_stored()
        self.outcome.set_result(Refused(REFUSED_RETRY_SECONDS))
        return NextTry.NEVER

    def abandon(self) -> None:
        """Abandon the claim because the caller disconnected or waited too long."""
        self._is_abandoned = True
        self._table.remove(self.claim)
        self._release_if_stored()

    def _release_if_stored(self) -> None:
        if self.may_be_stored:
            self._release(self.claim, self.expected_revision)


class ReleaseWrite(PendingWrite):
    """A record that the request of a claim did not run, so that a retry may run.

    The record is also written if the key is missing or already released. Otherwise a delayed
    write of the claim could still reach the store and take effect there.
    """

    def __init__(
        self, claim: Claim, expected_revision: int, table: ClaimTable, on_finished: OnFinished
    ) -> None:
        super().__init__(claim.key, _record(claim, ClaimState.NOT_RUN), expected_revision)
        self._table = table
        self._on_finished = on_finished
        self._retry_until = asyncio.get_running_loop().time() + MAX_BACKGROUND_RETRY_SECONDS

    def on_accepted(self, revision: int) -> None:
        """End the release: other entries may claim the key."""
        self._end()

    def on_rejected(self, current: KeyValue) -> NextTry:
        """Repeat the release over a NOT_RUN record or a claim of this process that did not run.

        Anything else in the key ends the claim as well, so there is nothing left to release.
        """
        record = _decode(current)
        is_free = record is not None and (
            record.state is ClaimState.NOT_RUN or self._table.has_not_run(self.key, record)
        )
        if not is_free:
            self._end()
            return NextTry.NEVER
        self.expected_revision = current.mod_revision
        return NextTry.NOW

    def on_failed(self, failure: Failure) -> NextTry:
        """Repeat the write later, for a limited time."""
        if asyncio.get_running_loop().time() < self._retry_until:
            return NextTry.LATER
        self._end()
        return NextTry.NEVER

    def _end(self) -> None:
        self._table.remove_not_run(self.key)
        self._on_finished()


class FinishWrite(PendingWrite):
    """The record of a request that ended."""

    def __init__(
        self, claim: Claim, record: ClaimRecord, expected_revision: int, on_finished: OnFinished
    ) -> None:
        super().__init__(claim.key, record, expected_revision)
        self._on_finished = on_finished
        self._retry_until = asyncio.get_running_loop().time() + MAX_BACKGROUND_RETRY_SECONDS

    def on_accepted(self, revision: int) -> None:
        """Report that the outcome is recorded."""
        self._on_finished()

    def on_rejected(self, current: KeyValue) -> NextTry:
        """Repeat the write if the store lost the claim; otherwise it already holds the record."""
        if current.value is None:
            self.expected_revision = current.mod_revision
            return NextTry.NOW
        self._on_finished()
        return NextTry.NEVER

    def on_failed(self, failure: Failure) -> NextTry:
        """Repeat the write later, for a limited time."""
        if asyncio.get_running_loop().time() < self._retry_until:
            return NextTry.LATER
        self._on_finished()
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
