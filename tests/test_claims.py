"""Claims: at most one run for each idempotency key, through any entry and despite faults."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._claim_store import CLAIM_WAIT_SECONDS, ClaimStore
from cactuspass._claims import (
    MAX_RECORDED_BODY_BYTES,
    Claimed,
    ClaimOutcome,
    ClaimRecord,
    ClaimState,
    DifferentRequest,
    DoneWithoutAnswer,
    Header,
    InProgress,
    OutcomeUnknownEarlier,
    Owner,
    Recorded,
    RecordedAnswer,
    Refused,
    claim_key,
    decode_record,
    encode_record,
    fingerprint_of,
)
from cactuspass._platform import LeaseId
from cactuspass.models import CustomerId, EntryId, Incarnation
from tests.fakes import Fault, MemoryPlatform
from tests.virtual_time import virtual_time

CUSTOMER = CustomerId("counters")
ANSWER = RecordedAnswer(201, (Header("Location", "/loans/1"),), b"\xff loan")
CALL_INTERVAL_SECONDS = 0.02
DRAIN_SECONDS = 30.0

TEXT = st.text(max_size=4)
ANSWERS = st.none() | st.builds(
    RecordedAnswer,
    st.integers(100, 599),
    st.lists(st.builds(Header, TEXT, TEXT), max_size=2).map(tuple),
    st.binary(max_size=9),
)
OWNERS = st.builds(Owner, TEXT, TEXT, st.integers(0, 2**62))


class ClaimRecordTest(unittest.TestCase):
    """Keys and fingerprints of requests, and the encoding of records."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.builds(ClaimRecord, st.sampled_from(ClaimState), TEXT, OWNERS, ANSWERS))
    def test_record_round_trip(self, record: ClaimRecord) -> None:
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_part_boundaries_change_keys_and_fingerprints(self) -> None:
        self.assertNotEqual(claim_key(CustomerId("a"), "bc"), claim_key(CustomerId("ab"), "c"))
        self.assertNotEqual(fingerprint_of("P", "/a", b"b"), fingerprint_of("P", "/ab", b""))


class ClaimStoreTest(unittest.TestCase):
    """Entries over one platform with faults, in virtual time."""

    def setUp(self) -> None:
        self.platform = MemoryPlatform()
        self.ended_entries: set[EntryId] = set()

    def entry(
        self, name: str = "e1", incarnation: str = "i1", max_batch_writes: int = 64
    ) -> ClaimStore:
        store = ClaimStore(
            self.platform,
            EntryId(name),
            Incarnation(incarnation),
            CALL_INTERVAL_SECONDS,
            lambda entry_id, _: entry_id in self.ended_entries,
            max_batch_writes,
        )
        store.start()
        return store

    async def claim(self, entry: ClaimStore, key: str = "k", body: bytes = b"b") -> ClaimOutcome:
        return await entry.claim(CUSTOMER, key, fingerprint_of("POST", "/loans", body))

    async def claimed(self, entry: ClaimStore, key: str = "k") -> Claimed:
        outcome = await self.claim(entry, key)
        assert isinstance(outcome, Claimed), outcome
        return outcome

    def assert_refused(self, outcome: ClaimOutcome) -> None:
        self.assertIsInstance(outcome, Refused)

    @virtual_time
    async def test_retry_gets_the_recorded_answer_through_any_entry(self) -> None:
        first, second = self.entry(), self.entry("e2")
        claimed = await self.claimed(first)
        self.assertEqual(await self.claim(first), InProgress())
        self.assertEqual(await self.claim(second), InProgress())
        first.finish(claimed.claim, ANSWER)
        first.finish(claimed.claim, RecordedAnswer(500))
        self.assertEqual(await self.claim(first), Recorded(ANSWER))
        self.assertTrue(await first.drain(DRAIN_SECONDS))
        self.assertEqual(await self.claim(second), Recorded(ANSWER))

    @virtual_time
    async def test_same_key_with_another_request_is_rejected(self) -> None:
        first, second = self.entry(), self.entry("e2")
        await self.claimed(first)
        self.assertEqual(await self.claim(first, body=b"other"), DifferentRequest())
        self.assertEqual(await self.claim(second, body=b"other"), DifferentRequest())

    @virtual_time
    async def test_large_answer_is_recorded_as_done(self) -> None:
        first, second = self.entry(), self.entry("e2")
        claimed = await self.claimed(first)
        first.finish(claimed.claim, RecordedAnswer(200, (), b"x" * (MAX_RECORDED_BODY_BYTES + 1)))
        await first.drain(DRAIN_SECONDS)
        self.assertEqual(await self.claim(first), DoneWithoutAnswer())
        self.assertEqual(await self.claim(second), DoneWithoutAnswer())

    @virtual_time
    async def test_claim_whose_answer_was_lost_is_recognised(self) -> None:
        self.platform.faults.extend([Fault.NONE, Fault.ANSWER_LOST])
        await self.claimed(self.entry())

    @virtual_time
    async def test_claim_is_refused_at_once_while_the_platform_is_unavailable(self) -> None:
        entry = self.entry()
        self.platform.default_fault = Fault.UNAVAILABLE
        self.assert_refused(await self.claim(entry))
        leases = self.platform.counts.leases
        self.assert_refused(await self.claim(entry, "other"))
        self.assertEqual(self.platform.counts.leases, leases)
        self.platform.default_fault = Fault.NONE
        entry.set_platform_available(is_available=True)
        await self.claimed(entry)

    @virtual_time
    async def test_outage_reported_by_another_part_refuses_waiting_claims(self) -> None:
        entry = self.entry()
        await self.claimed(entry, "first")
        waiting = asyncio.create_task(self.claim(entry))
        await asyncio.sleep(0)
        entry.set_platform_available(is_available=False)
        self.assert_refused(await waiting)
        self.assertEqual(self.platform.counts.writes, 1)

    @virtual_time
    async def test_claim_that_times_out_is_refused_and_released(self) -> None:
        first, second = self.entry(), self.entry("e2")
        await self.claimed(first, "lease")
        self.platform.latency = 2 * CLAIM_WAIT_SECONDS
        self.assert_refused(await self.claim(first))
        self.platform.latency = 0.0
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_claim_applied_after_its_refusal_does_not_block_the_key(self) -> None:
        first, second = self.entry(), self.entry("e2")
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED, Fault.DELAYED])
        self.assert_refused(await self.claim(first))
        self.platform.apply_delayed()
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)
        self.platform.apply_delayed()
        self.assertEqual(await self.claim(first), InProgress())

    @virtual_time
    async def test_claim_cannot_take_effect_after_its_release(self) -> None:
        first, second = self.entry(), self.entry("e2")
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED, Fault.DELAYED])
        self.assert_refused(await self.claim(first))
        await first.drain(DRAIN_SECONDS)
        self.platform.apply_delayed()
        await self.claimed(second)

    @virtual_time
    async def test_release_over_another_entrys_release_stops_a_delayed_claim(self) -> None:
        first, second = self.entry(), self.entry("e2")
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED, Fault.DELAYED])
        self.assert_refused(await self.claim(first))
        second.release((await self.claimed(second)).claim)
        await second.drain(DRAIN_SECONDS)
        first.set_platform_available(is_available=True)
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED, Fault.DELAYED])
        self.assert_refused(await self.claim(first))
        await first.drain(DRAIN_SECONDS)
        for _ in range(4):
            self.platform.apply_delayed()
        await self.claimed(second)

    @virtual_time
    async def test_earlier_claim_is_still_released_after_a_later_one_was_abandoned(self) -> None:
        first, second = self.entry(), self.entry("e2")
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED, Fault.DELAYED])
        self.assert_refused(await self.claim(first))
        first.set_platform_available(is_available=True)
        self.platform.latency = 0.2
        self.platform.faults.append(Fault.UNAVAILABLE)
        cancelled_call = asyncio.create_task(self.claim(first))
        await asyncio.sleep(0.1)
        cancelled_call.cancel()
        await asyncio.sleep(0.2)
        self.platform.apply_delayed()
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_retry_at_the_same_entry_does_not_wait_for_the_release(self) -> None:
        entry = self.entry()
        self.platform.faults.extend([Fault.NONE, Fault.ANSWER_LOST, Fault.UNAVAILABLE])
        self.assert_refused(await self.claim(entry))
        entry.set_platform_available(is_available=True)
        await self.claimed(entry)
        await entry.drain(DRAIN_SECONDS)
        self.assertEqual(await self.claim(self.entry("e2")), InProgress())

    @virtual_time
    async def test_caller_that_disconnects_before_the_second_try_releases_the_first(self) -> None:
        first, second = self.entry(), self.entry("e2")
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED])
        cancelled_call = asyncio.create_task(self.claim(first))
        await asyncio.sleep(1.5 * CALL_INTERVAL_SECONDS)
        cancelled_call.cancel()
        await asyncio.wait([cancelled_call])
        self.platform.apply_delayed()
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_caller_that_disconnects_as_its_claim_is_accepted_releases_it(self) -> None:
        first, second = self.entry(), self.entry("e2")
        loop = asyncio.get_running_loop()
        cancelled_call = asyncio.create_task(self.claim(first))
        self.platform.before_write = lambda: loop.call_soon(cancelled_call.cancel)
        await asyncio.wait([cancelled_call])
        self.assertTrue(cancelled_call.cancelled())
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_outcome_is_recorded_although_the_store_lost_the_claim(self) -> None:
        first, second = self.entry(), self.entry("e2")
        claimed = await self.claimed(first)
        self.platform.stored_by_key.clear()
        first.finish(claimed.claim, ANSWER)
        await first.drain(DRAIN_SECONDS)
        self.assertEqual(await self.claim(second), Recorded(ANSWER))

    @virtual_time
    async def test_caller_that_disconnects_releases_its_claim(self) -> None:
        first, second = self.entry(), self.entry("e2")
        await self.claimed(first, "lease")
        self.platform.latency = 0.5
        cancelled_call = asyncio.create_task(self.claim(first))
        await asyncio.sleep(0.1)
        cancelled_call.cancel()
        await asyncio.wait([cancelled_call])
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_released_key_may_be_claimed_at_any_entry(self) -> None:
        first, second = self.entry(), self.entry("e2")
        released = (await self.claimed(first)).claim
        first.release(released)
        active = (await self.claimed(first)).claim
        first.release(released)
        first.finish(released, ANSWER)
        self.assertEqual(await self.claim(first), InProgress())
        first.release(active)
        await first.drain(DRAIN_SECONDS)
        await self.claimed(second)

    @virtual_time
    async def test_claim_of_an_owner_that_has_ended_never_runs_again(self) -> None:
        first, second = self.entry(), self.entry("e2")
        await self.claimed(first)
        await first.close()
        self.assertEqual(await self.claim(second), InProgress())
        self.assertEqual(await self.claim(self.entry("e1", "i2")), OutcomeUnknownEarlier())
        self.ended_entries.add(EntryId("e1"))
        self.assertEqual(await self.claim(second), OutcomeUnknownEarlier())

    @virtual_time
    async def test_unknown_outcome_is_recorded(self) -> None:
        first, second = self.entry(), self.entry("e2")
        first.mark_unknown((await self.claimed(first)).claim)
        await first.drain(DRAIN_SECONDS)
        self.assertEqual(await self.claim(second), OutcomeUnknownEarlier())

    @virtual_time
    async def test_outcome_is_recorded_after_an_outage(self) -> None:
        first, second = self.entry(), self.entry("e2")
        claimed = await self.claimed(first)
        self.platform.default_fault = Fault.UNAVAILABLE
        first.finish(claimed.claim, ANSWER)
        self.assertFalse(await first.drain(DRAIN_SECONDS))
        self.assertEqual(await self.claim(first), Recorded(ANSWER))
        self.platform.default_fault = Fault.NONE
        self.assertTrue(await first.drain(DRAIN_SECONDS))
        self.assertEqual(await self.claim(second), Recorded(ANSWER))

    @virtual_time
    async def test_key_with_a_malformed_record_is_never_claimed(self) -> None:
        entry = self.entry()
        await self.platform.compare_and_swap(claim_key(CUSTOMER, "k"), b"?", 0)
        self.assertEqual(await self.claim(entry), OutcomeUnknownEarlier())

    @virtual_time
    async def test_waiting_claims_share_one_call(self) -> None:
        first, second = self.entry(), self.entry("e2")
        await self.claimed(first, "7")
        before = self.platform.counts.writes
        keys = [str(number) for number in range(40)]
        outcomes = await asyncio.gather(*(self.claim(second, key) for key in keys))
        in_progress = [
            key for key, outcome in zip(keys, outcomes, strict=True) if outcome == InProgress()
        ]
        self.assertEqual(in_progress, ["7"])
        self.assertEqual(self.platform.counts.writes - before, 2)

    @virtual_time
    async def test_new_claims_do_not_delay_a_repeated_batch(self) -> None:
        first, second = self.entry(), self.entry("e2")
        for key in ("a", "b", "lease"):
            await self.claimed(second if key == "lease" else first, key)
        self.platform.latency = 0.1
        early = asyncio.gather(self.claim(second, "a"), self.claim(second, "c"))
        await asyncio.sleep(0.05)
        late = asyncio.create_task(self.claim(second, "b"))
        await early
        self.assertFalse(late.done())
        self.assertEqual(await late, InProgress())

    @virtual_time
    async def test_claim_that_cannot_be_written_in_time_is_refused_at_once(self) -> None:
        entry, loop = self.entry(max_batch_writes=1), asyncio.get_running_loop()
        await self.claimed(entry, "lease")
        started_at = loop.time()
        claims = [asyncio.create_task(self.claim(entry, str(number))) for number in range(200)]
        await asyncio.sleep(0)
        refused = [claim for claim in claims if claim.done()]
        self.assertEqual(loop.time(), started_at)
        self.assertGreater(len(refused), 200 - CLAIM_WAIT_SECONDS / CALL_INTERVAL_SECONDS - 2)
        for outcome in await asyncio.gather(*claims):
            self.assertIsInstance(outcome, Claimed | Refused)

    @virtual_time
    async def test_calls_stay_within_the_budget(self) -> None:
        entry = self.entry()
        loop = asyncio.get_running_loop()
        for number in range(50):
            entry.finish((await self.claimed(entry, str(number))).claim, ANSWER)
        await entry.drain(DRAIN_SECONDS)
        calls = self.platform.counts.writes + self.platform.counts.leases
        self.assertEqual(entry.writer.counts.calls, calls)
        self.assertGreaterEqual(loop.time(), (calls - 1) * CALL_INTERVAL_SECONDS - 1e-6)

    @virtual_time
    async def test_records_have_a_lease_that_is_replaced_when_it_is_lost(self) -> None:
        entry = self.entry()
        await self.claimed(entry, "a")
        self.assertEqual(set(self.platform.leases_by_key.values()), {LeaseId(1)})
        await self.platform.revoke_lease(LeaseId(1))
        await self.claimed(entry, "b")
        self.assertEqual(self.platform.leases_by_key[claim_key(CUSTOMER, "b")], LeaseId(2))
