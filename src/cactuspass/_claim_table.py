"""In-memory table of the claims that one entry process has made."""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from enum import Enum, auto

from cactuspass._claims import (
    CLAIM_RETENTION_SECONDS,
    Claim,
    ClaimKey,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    DifferentRequest,
    Fingerprint,
    InProgress,
    OutcomeUnknownEarlier,
    Owner,
    OwnerHasEnded,
    decode_record,
    outcome_of,
)
from cactuspass._platform import KeyValue
from cactuspass.exceptions import DocumentError

MAX_ENDED_CLAIM_BYTES = 8 * 1024 * 1024
ENDED_CLAIM_OVERHEAD_BYTES = 1024


class LocalState(Enum):
    """Progress of a local claim.

    A WAITING claim is not written yet; the request of a RUNNING claim may run.
    """

    WAITING = auto()
    RUNNING = auto()
    ENDED = auto()


@dataclass(slots=True)
class LocalClaim:
    """One claim made by this process.

    :param revision: the store's revision of the claim; 0 while it is waiting.
    :param record: outcome of the request; None until it has ended.
    :param ended_at: time of the event loop, in seconds.
    """

    claim: Claim
    state: LocalState = LocalState.WAITING
    revision: int = 0
    record: ClaimRecord | None = None
    ended_at: float = 0.0

    @property
    def ended_bytes(self) -> int:
        """Approximate memory of an ended claim, in bytes."""
        answer = self.record.answer if self.record is not None else None
        return ENDED_CLAIM_OVERHEAD_BYTES + (len(answer.body) if answer is not None else 0)


class ClaimTable:
    """Claims of this process by key.

    Ended claims are removed after ``CLAIM_RETENTION_SECONDS``, the oldest ones earlier when all
    of them take more than ``MAX_ENDED_CLAIM_BYTES``.

    :param owner: this entry process.
    :param owner_has_ended: return whether another owner's process has certainly ended.
    """

    def __init__(self, owner: Owner, owner_has_ended: OwnerHasEnded) -> None:
        self._owner = owner
        self._owner_has_ended = owner_has_ended
        self._active_by_key: dict[ClaimKey, LocalClaim] = {}
        self._ended_by_key: OrderedDict[ClaimKey, LocalClaim] = OrderedDict()
        self._ended_bytes = 0
        self._not_run_by_key: defaultdict[ClaimKey, set[Owner]] = defaultdict(set)

    def local_outcome(
        self, key: ClaimKey, fingerprint: Fingerprint, now: float
    ) -> ClaimOutcome | None:
        """Return a request's outcome according to the local claims; None if the key has none."""
        self._remove_expired(now)
        local = self._active_by_key.get(key) or self._ended_by_key.get(key)
        if local is None:
            return None
        if local.record is not None:
            return outcome_of(local.record, fingerprint, owner_has_ended=False)
        if local.claim.fingerprint != fingerprint:
            return DifferentRequest()
        return InProgress()

    def stored_outcome(self, current: KeyValue, claim: Claim) -> ClaimOutcome | None:
        """Return a waiting claim's outcome according to the store; None if it may be claimed.

        A record that cannot be decoded may hide a request that ran, so its outcome is unknown.
        """
        if current.value is None:
            return None
        try:
            record = decode_record(current.value)
        except DocumentError:
            return OutcomeUnknownEarlier()
        if self.has_not_run(claim.key, record):
            return None
        return outcome_of(record, claim.fingerprint, self._has_owner_ended(record.owner))

    def has_not_run(self, key: ClaimKey, record: ClaimRecord) -> bool:
        """Return whether the record is a claim of this process whose request did not run."""
        is_claimed = record.state is ClaimState.CLAIMED
        return is_claimed and record.owner in self._not_run_by_key.get(key, ())

    def add(self, claim: Claim) -> None:
        """Add a claim that is waiting to be written."""
        self._active_by_key[claim.key] = LocalClaim(claim)

    def record_start(self, claim: Claim, revision: int) -> None:
        """Record that a waiting claim was written, so that its request may run."""
        local = self._active_by_key[claim.key]
        local.state = LocalState.RUNNING
        local.revision = revision

    def remove(self, claim: Claim) -> LocalClaim | None:
        """Remove and return an active claim; None if it is no longer active."""
        local = self._active_by_key.get(claim.key)
        if local is None or local.claim != claim:
            return None
        return self._active_by_key.pop(claim.key)

    def record_end(self, claim: Claim, record: ClaimRecord, now: float) -> LocalClaim | None:
        """Record the outcome of a running request; None if the claim is no longer active."""
        local = self.remove(claim)
        if local is None:
            return None
        local.state = LocalState.ENDED
        local.record = record
        local.ended_at = now
        self._ended_by_key[claim.key] = local
        self._ended_bytes += local.ended_bytes
        self._remove_expired(now)
        return local

    def add_not_run(self, claim: Claim) -> None:
        """Record that a claim's request did not run, although the claim may be stored."""
        self._not_run_by_key[claim.key].add(claim.owner)

    def remove_not_run(self, key: ClaimKey) -> None:
        """Remove the key's marks: no claim whose request did not run can be stored any more."""
        self._not_run_by_key.pop(key, None)

    def _has_owner_ended(self, owner: Owner) -> bool:
        if owner.entry_id == self._owner.entry_id:
            return owner.incarnation != self._owner.incarnation
        return self._owner_has_ended(owner.entry_id, owner.incarnation)

    def _remove_expired(self, now: float) -> None:
        while self._ended_by_key:
            oldest = next(iter(self._ended_by_key.values()))
            is_old = oldest.ended_at + CLAIM_RETENTION_SECONDS <= now
            if not is_old and self._ended_bytes <= MAX_ENDED_CLAIM_BYTES:
                return
            self._ended_bytes -= oldest.ended_bytes
            del self._ended_by_key[oldest.claim.key]
