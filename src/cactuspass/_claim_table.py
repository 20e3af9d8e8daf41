"""The claims that one entry process has made, held in memory."""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass
from enum import Enum, auto

from cactuspass._claims import (
    CLAIM_KEEP_SECONDS,
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
    OwnerIsGone,
    decode_record,
    outcome_of,
)
from cactuspass._platform import KeyValue
from cactuspass.exceptions import DocumentError

MAX_ENDED_BYTES = 8 * 1024 * 1024
ENDED_OVERHEAD_BYTES = 1024


class LocalState(Enum):
    """How far an own claim has come."""

    WAITING = auto()
    RUNNING = auto()
    ENDED = auto()


@dataclass(slots=True)
class LocalClaim:
    """One own claim.

    :param revision: the store's revision of the claim; 0 while it is waiting.
    :param record: how the request ended.
    """

    claim: Claim
    state: LocalState = LocalState.WAITING
    revision: int = 0
    record: ClaimRecord | None = None
    ended_at: float = 0.0

    @property
    def ended_bytes(self) -> int:
        """Return the memory that an ended claim takes, about."""
        answer = self.record.answer if self.record is not None else None
        return ENDED_OVERHEAD_BYTES + (len(answer.body) if answer is not None else 0)


class ClaimTable:
    """Own claims by key; the oldest ended ones are dropped when they take too much memory.

    :param owner: the entry process itself.
    :param is_gone: tells whether another owner's process surely no longer runs.
    """

    def __init__(self, owner: Owner, is_gone: OwnerIsGone) -> None:
        self._owner = owner
        self._is_gone = is_gone
        self._active_by_key: dict[ClaimKey, LocalClaim] = {}
        self._ended_by_key: OrderedDict[ClaimKey, LocalClaim] = OrderedDict()
        self._ended_bytes = 0
        self._not_run_by_key: defaultdict[ClaimKey, set[Owner]] = defaultdict(set)

    def outcome(self, key: ClaimKey, fingerprint: Fingerprint, now: float) -> ClaimOutcome | None:
        """Return what own claims say of a request; None when there is no own claim."""
        self._expire(now)
        local = self._active_by_key.get(key) or self._ended_by_key.get(key)
        if local is None:
            return None
        if local.record is not None:
            return outcome_of(local.record, fingerprint, is_gone=False)
        if local.claim.fingerprint != fingerprint:
            return DifferentRequest()
        return InProgress()

    def judge(self, current: KeyValue, claim: Claim) -> ClaimOutcome | None:
        """Return what the stored key says of a waiting claim; None when it may be claimed."""
        if current.value is None:
            return None
        try:
            record = decode_record(current.value)
        except DocumentError:
            return OutcomeUnknownEarlier()
        if self.has_not_run(claim.key, record):
            return None
        return outcome_of(record, claim.fingerprint, self._is_owner_gone(record.owner))

    def has_not_run(self, key: ClaimKey, record: ClaimRecord) -> bool:
        """Tell whether the record is an own claim whose request surely did not run."""
        is_claimed = record.state is ClaimState.CLAIMED
        return is_claimed and record.owner in self._not_run_by_key.get(key, ())

    def add(self, claim: Claim) -> None:
        """Add a claim that waits to be written."""
        self._active_by_key[claim.key] = LocalClaim(claim)

    def start(self, claim: Claim, revision: int) -> None:
        """Note that a waiting claim was written and its request may run."""
        local = self._active_by_key[claim.key]
        local.state = LocalState.RUNNING
        local.revision = revision

    def remove(self, claim: Claim) -> LocalClaim | None:
        """Remove an active claim; None when it is no longer active."""
        local = self._active_by_key.get(claim.key)
        if local is None or local.claim != claim:
            return None
        return self._active_by_key.pop(claim.key)

    def end(self, claim: Claim, record: ClaimRecord, now: float) -> LocalClaim | None:
        """Note how a running request ended; None when that was noted before."""
        local = self.remove(claim)
        if local is None:
            return None
        local.state = LocalState.ENDED
        local.record = record
        local.ended_at = now
        self._ended_by_key[claim.key] = local
        self._ended_bytes += local.ended_bytes
        self._expire(now)
        return local

    def add_not_run(self, claim: Claim) -> None:
        """Note that a claim's request surely did not run, though the claim may be stored."""
        self._not_run_by_key[claim.key].add(claim.owner)

    def forget_not_run(self, key: ClaimKey) -> None:
        """Note that no claim whose request did not run can be stored any more."""
        self._not_run_by_key.pop(key, None)

    def _is_owner_gone(self, owner: Owner) -> bool:
        if owner.entry_id == self._owner.entry_id:
            return owner.incarnation != self._owner.incarnation
        return self._is_gone(owner.entry_id, owner.incarnation)

    def _expire(self, now: float) -> None:
        while self._ended_by_key:
            oldest = next(iter(self._ended_by_key.values()))
            is_old = oldest.ended_at + CLAIM_KEEP_SECONDS <= now
            if not is_old and self._ended_bytes <= MAX_ENDED_BYTES:
                return
            self._ended_bytes -= oldest.ended_bytes
            del self._ended_by_key[oldest.claim.key]
