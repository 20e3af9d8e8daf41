"""Claiming of idempotency keys, so that the request of each key runs at most once."""

import asyncio
from collections import Counter
from itertools import count

from cactuspass._claim_table import ClaimTable
from cactuspass._claim_writer import MAX_BATCH_WRITES, ClaimWriter
from cactuspass._claim_writes import ClaimWrite, FinishWrite, ReleaseWrite
from cactuspass._claims import (
    Claim,
    Claimed,
    ClaimKey,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    Fingerprint,
    Owner,
    OwnerHasEnded,
    RecordedAnswer,
    Refused,
    claim_key,
    finished_record,
)
from cactuspass._platform import Platform
from cactuspass.models import CustomerId, EntryId, Incarnation
from cactuspass.settings import PlatformSettings

CLAIM_WAIT_SECONDS = 2.5
MAX_WAITING_WRITES = 2048
MAX_UNRECORDED_BYTES = 8 * 1024 * 1024
BUSY_RETRY_SECONDS = 1.0


def min_call_interval(settings: PlatformSettings) -> float:
    """Return the shortest time between two calls of the store by one entry, in seconds.

    The entries of the fleet share the write budget equally.
    """
    return settings.fleet_entries / settings.write_budget_per_second


class ClaimStore:
    """Claims of one entry process, recorded in the platform's store.

    :param min_call_interval: shortest time between two calls of the store, in seconds.
    :param owner_has_ended: return whether an entry's incarnation has certainly ended.
    :param max_batch_writes: maximum number of writes in one call.
    :ivar outcomes: number of claims by the class name of their outcome.
    """

    def __init__(
        self,
        platform: Platform,
        entry_id: EntryId,
        incarnation: Incarnation,
        min_call_interval: float,
        owner_has_ended: OwnerHasEnded,
        max_batch_writes: int = MAX_BATCH_WRITES,
    ) -> None:
        self.outcomes: Counter[str] = Counter()
        self.writer = ClaimWriter(platform, min_call_interval, max_batch_writes)
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._sequence_numbers = count(1)
        self._table = ClaimTable(Owner(entry_id, incarnation, 0), owner_has_ended)
        self._releases_by_key: dict[ClaimKey, ReleaseWrite] = {}
        self._unrecorded_bytes = 0

    def start(self) -> None:
        """Start writing claims."""
        self.writer.start()

    async def drain(self, seconds: float) -> bool:
        """Wait until all outcomes are recorded.

        :return: False if that took longer than the given time.
        """
        return await self.writer.drain(seconds)

    async def close(self) -> None:
        """Stop at once; outcomes that are not recorded yet are not available to retries."""
        await self.writer.close()

    def set_platform_available(self, is_available: bool) -> None:
        """Record whether the store answered the last call of another part of the process."""
        self.writer.set_platform_available(is_available)

    async def claim(
        self,
        customer: CustomerId,
        idempotency_key: str,
        fingerprint: Fingerprint,
        wait_seconds: float = CLAIM_WAIT_SECONDS,
    ) -> ClaimOutcome:
        """Claim the right to run the request of a key.

        After :class:`Claimed` the caller must call one of :meth:`finish`, :meth:`release` and
        :meth:`mark_unknown`. If this call is cancelled, the claim is released.

        :param wait_seconds: time after which the claim is abandoned and refused.
        """
        outcome = await self._claim(claim_key(customer, idempotency_key), fingerprint, wait_seconds)
        self.outcomes[type(outcome).__name__] += 1
        return outcome

    def finish(self, claim: Claim, answer: RecordedAnswer) -> None:
        """Record the answer of a request in the background; later calls have no effect.

        An answer that is too large is recorded as done without the answer, and so is one that
        would take the unrecorded answers above ``MAX_UNRECORDED_BYTES``.
        """
        record = finished_record(claim, answer)
        size = len(answer.body)
        if self._unrecorded_bytes + size > MAX_UNRECORDED_BYTES:
            record = ClaimRecord(ClaimState.DONE, claim.fingerprint, claim.owner)
        self._record(claim, record)

    def mark_unknown(self, claim: Claim) -> None:
        """Record in the background that the request may have run and its outcome is unknown."""
        self._record(claim, ClaimRecord(ClaimState.UNKNOWN, claim.fingerprint, claim.owner))

    def release(self, claim: Claim) -> None:
        """Release the key for a retry; only allowed if the request did not run."""
        local = self._table.remove(claim)
        if local is not None:
            self._submit_release(claim, local.revision)

    async def _claim(
        self, key: ClaimKey, fingerprint: Fingerprint, wait_seconds: float
    ) -> ClaimOutcome:
        local_outcome = self._table.local_outcome(
            key, fingerprint, asyncio.get_running_loop().time()
        )
        if local_outcome is not None:
            return local_outcome
        if self.writer.unavailable_seconds > 0.0:
            return Refused(max(BUSY_RETRY_SECONDS, self.writer.unavailable_seconds))
        delay = self.writer.expected_send_delay
        if delay > wait_seconds or self.writer.waiting_count >= MAX_WAITING_WRITES:
            return Refused(max(BUSY_RETRY_SECONDS, delay))
        owner = Owner(self._entry_id, self._incarnation, next(self._sequence_numbers))
        claim = Claim(key, fingerprint, owner)
        write = ClaimWrite(claim, self._table, self._submit_release)
        self._table.add(claim)
        self.writer.submit(write)
        return await self._wait_for_outcome(write, wait_seconds)

    async def _wait_for_outcome(self, write: ClaimWrite, seconds: float) -> ClaimOutcome:
        try:
            await asyncio.wait([write.outcome], timeout=seconds)
        except asyncio.CancelledError:
            self._abandon(write)
            raise
        if write.outcome.done():
            return write.outcome.result()
        self._abandon(write)
        return Refused(BUSY_RETRY_SECONDS)

    def _abandon(self, write: ClaimWrite) -> None:
        if not write.outcome.done():
            self.writer.remove(write)
            write.abandon()
        elif isinstance(write.outcome.result(), Claimed):
            self.release(write.claim)

    def _submit_release(self, claim: Claim, expected_revision: int) -> None:
        self._table.add_not_run(claim)
        if claim.key in self._releases_by_key:
            return
        write = ReleaseWrite(
            claim, expected_revision, self._table, lambda: self._remove_release(claim.key)
        )
        self._releases_by_key[claim.key] = write
        self.writer.submit(write)

    def _remove_release(self, key: ClaimKey) -> None:
        del self._releases_by_key[key]

    def _record(self, claim: Claim, record: ClaimRecord) -> None:
        local = self._table.record_end(claim, record, asyncio.get_running_loop().time())
        if local is None:
            return
        size = len(record.answer.body) if record.answer is not None else 0
        self._unrecorded_bytes += size
        self.writer.submit(
            FinishWrite(claim, record, local.revision, lambda: self._subtract_unrecorded(size))
        )

    def _subtract_unrecorded(self, size: int) -> None:
        self._unrecorded_bytes -= size
