"""Datagrams on parts of prompts."""

import unittest
from dataclasses import replace

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import TypeAdapter

from cactuspass.fleet._hints import decode_leaving, decode_unresponsive
from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._messages import (
    MAX_BLOCK_MESSAGE_BYTES,
    MAX_MESSAGE_BYTES,
    BlockMessage,
    BreakMessage,
    Clearance,
    ClearanceMessage,
    PartMessage,
    decode_part_message,
    encode_part_message,
    message_of,
)
from cactuspass.fleet.prompt_parts._parts import AnswerStage, CrashReport
from cactuspass.models import EntryId, RequestId
from tests.part_world import CUSTOMER, block_of, part_key

REPORT = CrashReport(
    (part_key("aa"), part_key("bb")),
    CUSTOMER,
    Lifetime(UpstreamId("i-1"), 17),
    100.0,
    100.5,
    True,
    EntryId("i1"),
    RequestId("q1"),
)
MESSAGES: tuple[PartMessage, ...] = (
    message_of(REPORT, 100.6),
    message_of(replace(REPORT, stage=AnswerStage.WHOLE), 100.6),
    ClearanceMessage((Clearance(part_key("aa"), 0.25),), AnswerStage.BEGUN),
    ClearanceMessage((Clearance(part_key("aa"), 0.25),), AnswerStage.WHOLE),
    BreakMessage(UpstreamId("i-1")),
    BlockMessage(block_of("aa", "bb", instances=(EntryId("i1"),), reason="two crashes")),
)


class DatagramTest(unittest.TestCase):
    """Encoding and decoding of datagrams."""

    # Guards against instances that do not understand each other.
    def test_message_is_decoded_as_it_was_encoded(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                datagram = encode_part_message(message)
                assert datagram is not None
                self.assertEqual(decode_part_message(datagram), message)
                self.assertIsNone(decode_unresponsive(datagram))
                self.assertIsNone(decode_leaving(datagram))

    # Guards against evidence whose times are those of another machine's clock.
    def test_report_is_converted_to_the_clock_of_the_receiver(self) -> None:
        found = message_of(REPORT, 100.6).to_report(7.0)
        self.assertAlmostEqual(found.sent_at, 6.4)
        self.assertAlmostEqual(found.broke_at, 6.9)

    # Guards against a datagram that stops the receiver.
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=80) | st.sampled_from(MESSAGES), st.integers(0, 400))
    def test_damaged_datagrams_are_ignored(self, source: object, length: int) -> None:
        datagram = source if isinstance(source, bytes) else encode_part_message(source)  # type: ignore[arg-type]
        assert datagram is not None
        if length < len(datagram):
            self.assertIsNone(decode_part_message(datagram[:length]))

    # Guards against a datagram of another version that stops the receiver.
    def test_other_contents_are_no_message(self) -> None:
        for body in ([], {}, {"kind": "part-block"}, {"kind": "part-block", "block": {}}, 5):
            with self.subTest(body=body):
                self.assertIsNone(decode_part_message(cbor2.dumps(body)))

    # Guards against datagrams that networks do not carry in one piece.
    def test_large_message_is_not_sent_nor_accepted(self) -> None:
        block = BlockMessage(block_of("aa", reason="x" * MAX_BLOCK_MESSAGE_BYTES))
        self.assertIsNone(encode_part_message(block))
        self.assertIsNone(decode_part_message(b"x" * (MAX_BLOCK_MESSAGE_BYTES + 1)))
        crash = message_of(replace(REPORT, instance=EntryId("x" * MAX_MESSAGE_BYTES)), 100.6)
        self.assertIsNone(encode_part_message(crash))
        body = TypeAdapter(PartMessage).dump_python(crash, mode="json")
        self.assertIsNone(decode_part_message(cbor2.dumps(body)))


if __name__ == "__main__":
    unittest.main()
