"""Tests of the encoding of documents, and of polling and changing them in the store."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._codec import (
    decode_configuration,
    decode_placement,
    encode_configuration,
    encode_placement,
)
from cactuspass._documents import (
    CONFIGURATION_KEY,
    PLACEMENT_PREFIX,
    ConfigurationChange,
    DocumentStore,
)
from cactuspass._messages import (
    ConfigurationRead,
    PlacementConfirmed,
    PlacementRead,
    PlatformFailed,
    WritePlacement,
)
from cactuspass._platform import Snapshot, Write
from cactuspass.exceptions import (
    ConfigurationConflict,
    DocumentError,
    OutcomeUnknown,
    PlatformUnavailable,
    StoreReverted,
)
from cactuspass.models import (
    Configuration,
    DataCentreId,
    Generation,
    GroupDeclaration,
    OperationId,
    PlacedGroup,
    Placement,
    Seat,
    TakeOut,
    TakeOutKind,
    TakeOutTag,
)
from tests.fakes import Fault, MemoryPlatform

TEXT = st.text(max_size=4)
NUMBER = st.integers(0, 2**62)
TAKE_OUT = st.builds(
    TakeOut, TEXT, st.sampled_from(TakeOutKind), TEXT, TEXT, st.floats(0, allow_infinity=False)
)
DECLARATION = st.builds(
    GroupDeclaration, *[TEXT] * 4, *[NUMBER] * 3, TEXT, st.lists(TEXT, max_size=2).map(tuple)
)
NAMES = st.lists(TEXT, max_size=2).map(tuple)
CONFIGURATION = st.builds(
    Configuration,
    NUMBER,
    st.dictionaries(TEXT, DECLARATION, max_size=2),
    st.dictionaries(TEXT, TAKE_OUT, max_size=2),
    NAMES,
    NAMES,
)
GENERATION = st.builds(Generation, NUMBER, NUMBER)
GROUP = st.builds(PlacedGroup, TEXT, DECLARATION, TEXT, NAMES, NAMES, GENERATION)
PLACEMENT = st.builds(
    Placement,
    TEXT,
    NUMBER,
    NUMBER,
    st.dictionaries(TEXT, st.builds(Seat, TEXT, TEXT, TEXT), max_size=2),
    st.dictionaries(TEXT, GROUP, max_size=2),
    TEXT,
)
DATA_CENTRE = DataCentreId("sapa-a")
PLACEMENT_KEY = PLACEMENT_PREFIX + DATA_CENTRE


class InterruptedPlatform(MemoryPlatform):
    """Platform that runs an interruption once, between a full read and its answer."""

    after_full_read: Callable[[], Awaitable[None]] | None = None

    async def read(self, keys: Sequence[str], keys_only: bool = False) -> Snapshot:
        """Read keys; before a full read returns, run the interruption if one is set."""
        snapshot = await super().read(keys, keys_only)
        if keys_only or self.after_full_read is None:
            return snapshot
        interruption, self.after_full_read = self.after_full_read, None
        await interruption()
        return snapshot


class AddTakeOut(ConfigurationChange):
    """Change that takes one upstream out."""

    def __init__(self, name: str) -> None:
        self.take_out = TakeOut(TakeOutTag(name), TakeOutKind.UPSTREAM, name)

    def apply(self, configuration: Configuration) -> Configuration:
        """Add the take-out."""
        added = {**configuration.take_outs_by_tag, self.take_out.tag: self.take_out}
        return replace(configuration, take_outs_by_tag=added)

    def depends_on(self, configuration: Configuration) -> object:
        """Return the take-out with the same tag, so that the change depends on nothing else."""
        return configuration.take_outs_by_tag.get(self.take_out.tag)


class CodecTest(unittest.TestCase):
    """Documents are unchanged after they are encoded and decoded."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(CONFIGURATION)
    def test_configuration_round_trip(self, configuration: Configuration) -> None:
        data = encode_configuration(configuration)
        self.assertEqual(decode_configuration(data), configuration)
        self.assertEqual(encode_configuration(decode_configuration(data)), data)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(PLACEMENT)
    def test_placement_round_trip(self, placement: Placement) -> None:
        self.assertEqual(decode_placement(encode_placement(placement)), placement)

    def test_document_that_could_not_be_decoded_is_not_encoded(self) -> None:
        take_out = TakeOut(TakeOutTag("t"), TakeOutKind.GROUP, "g", at=float("nan"))
        with self.assertRaises(DocumentError):
            encode_configuration(Configuration(1, take_outs_by_tag={take_out.tag: take_out}))

    def test_findings_name_the_place_of_the_mistake(self) -> None:
        good = encode_configuration(Configuration(3))
        cases = {
            b"{": "",
            good.replace(b'"revision":3', b'"revision":"x"'): "document.revision",
            good.replace(b'"revision"', b'"reversion":1,"revision"'): "document.reversion",
            good.replace(b'"format":1', b'"format":2'): "format",
        }
        for data, place in cases.items():
            with self.subTest(data), self.assertRaises(DocumentError) as caught:
                decode_configuration(data)
            self.assertEqual(caught.exception.findings[0].place, place)


class DocumentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Polling and changing documents on a platform with faults."""

    def setUp(self) -> None:
        self.platform = InterruptedPlatform()
        self.now = 10.0
        self.store = DocumentStore(self.platform, DATA_CENTRE, lambda: self.now)

    async def commit(self, name: str, seen_revision: int | None = None) -> Configuration:
        operation = OperationId(f"operation-{name}")
        return await self.store.commit_configuration(AddTakeOut(name), operation, seen_revision)

    def write_order(self, write_id: str, version: int = 1, expected: int = 0) -> WritePlacement:
        placement = Placement(DATA_CENTRE, version, write_id=OperationId(write_id))
        return WritePlacement(placement, expected)

    def store_value(self, key: str, value: bytes) -> int:
        expected = self.platform.snapshot([key]).values_by_key[key].mod_revision
        self.platform.apply([Write(key, value, expected)])
        return self.platform.revision

    async def test_poll_reads_what_changed_and_confirms_the_rest(self) -> None:
        first = await self.store.poll()
        self.assertEqual(
            first.inputs,
            (
                ConfigurationRead(Configuration(), from_platform=True),
                PlacementRead(Placement(DATA_CENTRE), 0, 10.0),
            ),
        )
        self.now = 11.0
        self.assertEqual((await self.store.poll()).inputs, (PlacementConfirmed(0, 11.0),))
        configuration = await self.commit("a")
        self.assertEqual(
            (await self.store.poll()).inputs,
            (ConfigurationRead(configuration, from_platform=True), PlacementConfirmed(0, 11.0)),
        )

    async def test_poll_reports_an_outage(self) -> None:
        self.platform.faults.append(Fault.UNAVAILABLE)
        self.assertEqual((await self.store.poll()).inputs, (PlatformFailed("fake outage"),))

    async def test_placement_is_read_despite_a_malformed_configuration(self) -> None:
        self.store_value(CONFIGURATION_KEY, b"not json")
        result = await self.store.poll()
        self.assertEqual(result.inputs, (PlacementRead(Placement(DATA_CENTRE), 0, 10.0),))
        self.assertEqual(result.findings[0].source, "configuration")

    async def test_placement_is_read_again_after_each_write(self) -> None:
        await self.store.poll()
        self.platform.faults.append(Fault.UNAVAILABLE)
        written = await self.store.write_placement(self.write_order("w1"))
        self.assertIs(written.accepted, False)
        self.assertIsInstance((await self.store.poll()).inputs[0], PlacementRead)

    async def test_placement_written_during_a_poll_is_read_by_the_next_poll(self) -> None:
        async def write_meanwhile() -> None:
            self.platform.faults.append(Fault.UNAVAILABLE)
            await self.store.write_placement(self.write_order("w1"))

        self.platform.after_full_read = write_meanwhile
        await self.store.poll()
        self.assertIsInstance((await self.store.poll()).inputs[-1], PlacementRead)

    async def test_placement_write_whose_answer_was_lost_is_recognised(self) -> None:
        self.platform.faults.append(Fault.ANSWER_LOST)
        self.assertIs((await self.store.write_placement(self.write_order("w1"))).accepted, True)

    async def test_placement_write_whose_request_was_lost_is_repeated(self) -> None:
        self.platform.faults.append(Fault.REQUEST_LOST)
        self.assertIs((await self.store.write_placement(self.write_order("w1"))).accepted, True)

    async def test_outcome_of_a_delayed_placement_write_is_unknown(self) -> None:
        self.platform.faults.extend([Fault.DELAYED, Fault.UNAVAILABLE])
        self.assertIs((await self.store.write_placement(self.write_order("w1"))).accepted, None)
        self.platform.apply_delayed()
        placement = (await self.store.poll()).inputs[-1]
        self.assertIsInstance(placement, PlacementRead)
        self.assertEqual(placement.placement.write_id, "w1")  # type: ignore[attr-defined]

    async def test_write_outcome_is_unknown_when_replaced_after_a_lost_answer(self) -> None:
        self.platform.faults.append(Fault.ANSWER_LOST)
        first = self.write_order("w1")
        other = encode_placement(self.write_order("w2", 2).placement)
        calls = iter((lambda: None, lambda: self._replace_placement(other)))
        self.platform.before_write = lambda: next(calls)()
        self.assertIs((await self.store.write_placement(first)).accepted, None)

    def _replace_placement(self, value: bytes) -> None:
        self.platform.before_write = lambda: None
        self.store_value(PLACEMENT_KEY, value)

    async def test_placement_write_with_an_outdated_revision_is_refused(self) -> None:
        await self.store.write_placement(self.write_order("w1"))
        self.assertIs((await self.store.write_placement(self.write_order("w2"))).accepted, False)

    async def test_commit_whose_answer_was_lost_applies_once(self) -> None:
        self.platform.faults.extend([Fault.NONE, Fault.ANSWER_LOST])
        committed = await self.commit("a")
        self.assertEqual(committed.revision, 1)
        self.assertEqual((await self.commit("a")).revision, 1)

    async def test_delayed_commit_applies_once(self) -> None:
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED])
        await self.commit("a")
        self.platform.apply_delayed()
        stored = await self.store.read_configuration()
        self.assertEqual(stored.configuration.revision, 1)

    async def test_commit_outcome_is_unknown_when_the_store_stays_unavailable(self) -> None:
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED])
        self.platform.default_fault = Fault.UNAVAILABLE
        with self.assertRaises(OutcomeUnknown):
            await self.commit("a")

    async def test_commit_outcome_is_unknown_when_the_store_is_reverted_meanwhile(self) -> None:
        await self.commit("a")
        old = encode_configuration(Configuration(0))
        self.platform.faults.extend([Fault.NONE, Fault.DELAYED])
        self.platform.before_timeout = lambda: self.store_value(CONFIGURATION_KEY, old)
        with self.assertRaises(OutcomeUnknown):
            await self.commit("b")

    async def test_commit_without_the_platform_changes_nothing(self) -> None:
        self.platform.default_fault = Fault.UNAVAILABLE
        with self.assertRaises(PlatformUnavailable):
            await self.commit("a")
        self.assertEqual(self.platform.stored_by_key, {})

    async def test_racing_commits_both_take_effect(self) -> None:
        other = DocumentStore(self.platform, DATA_CENTRE, lambda: self.now)
        await asyncio.gather(
            self.commit("a"), other.commit_configuration(AddTakeOut("b"), OperationId("b"))
        )
        stored = (await self.store.read_configuration()).configuration
        self.assertEqual(set(stored.take_outs_by_tag), {"a", "b"})
        self.assertEqual(stored.revision, 2)

    async def test_commit_conflicts_when_what_it_depends_on_has_changed(self) -> None:
        seen = await self.commit("a")
        await self.commit("b")
        await self.commit("c", seen_revision=seen.revision)
        with self.assertRaises(ConfigurationConflict):
            await self.store.commit_configuration(
                AddTakeOut("b"), OperationId("again"), seen.revision
            )

    async def test_commit_to_a_reverted_store_is_refused(self) -> None:
        await self.commit("a")
        await self.commit("b")
        self.store_value(CONFIGURATION_KEY, encode_configuration(Configuration(1)))
        with self.assertRaises(StoreReverted):
            await self.commit("c")

    async def test_configuration_is_read_until_it_is_as_new_as_a_peers(self) -> None:
        self.store_value(CONFIGURATION_KEY, encode_configuration(Configuration(1)))
        await self.store.poll()
        self.store.record_configuration(Configuration(2))
        found = (await self.store.poll()).inputs
        self.assertIn(ConfigurationRead(Configuration(1), from_platform=True), found)
        self.store_value(CONFIGURATION_KEY, encode_configuration(Configuration(2)))
        await self.store.poll()
        found = (await self.store.poll()).inputs
        self.assertFalse(any(isinstance(item, ConfigurationRead) for item in found))
