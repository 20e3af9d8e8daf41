"""Hints between instances that an upstream is unresponsive."""

import asyncio
import unittest

import cbor2

from cactuspass.fleet._hints import Hints, decode_unresponsive, encode_unresponsive
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import UpstreamId
from cactuspass.fleet.prompt_parts._messages import BreakMessage, encode_part_message
from tests.fleet_path import recording_log

HEAD = UpstreamId("i-1")


class DatagramTest(unittest.TestCase):
    """Encoding and decoding of datagrams."""

    def test_hint_is_decoded_as_it_was_encoded(self) -> None:
        self.assertEqual(decode_unresponsive(encode_unresponsive(HEAD)), HEAD)

    def test_other_bytes_are_no_hint(self) -> None:
        for datagram in (b"", b"\xff", b"x" * 600, cbor2.dumps([1]), cbor2.dumps({"kind": "x"})):
            with self.subTest(datagram=datagram):
                self.assertIsNone(decode_unresponsive(datagram))


class SuspicionTest(unittest.TestCase):
    """The effect of a hint on the load table."""

    def test_head_with_a_recent_response_is_not_suspected(self) -> None:
        loads = LoadTable()
        loads.note_response(HEAD, 10.0)
        self.assertFalse(loads.suspect_by_hint(HEAD, 10.1))
        self.assertFalse(loads.load(HEAD).is_suspect(10.1))

    def test_head_without_a_recent_response_is_suspected_for_a_while(self) -> None:
        loads = LoadTable()
        self.assertTrue(loads.suspect_by_hint(HEAD, 10.0))
        self.assertTrue(loads.load(HEAD).is_suspect(10.5))
        self.assertFalse(loads.load(HEAD).is_suspect(11.5))


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams on loopback."""

    async def test_hint_reaches_the_other_instances_once(self) -> None:
        log, _ = recording_log()
        received: asyncio.Queue[UpstreamId] = asyncio.Queue()
        receiver = Hints("127.0.0.1:0", lambda: (), received.put_nowait, log)
        await receiver.start()
        self.addAsyncCleanup(receiver.stop)
        while receiver.port is None:
            await asyncio.sleep(0)
        sender = Hints("127.0.0.1:0", lambda: [f"127.0.0.1:{receiver.port}"], print, log)
        await sender.start()
        self.addAsyncCleanup(sender.stop)
        while sender.port is None:
            await asyncio.sleep(0)
        sender.send_unresponsive(HEAD)
        sender.send_unresponsive(HEAD)
        self.assertEqual(await received.get(), HEAD)
        self.assertTrue(received.empty())

    # Guards against a host that is no instance and has parts refused, or ends blocks.
    async def test_message_on_parts_is_accepted_from_registered_instances_only(self) -> None:
        log, handler = recording_log()
        received: list[object] = []
        peers = ["127.0.0.2:7"]
        hints = Hints("127.0.0.1:0", lambda: peers, print, log, on_part_message=received.append)
        datagram = encode_part_message(BreakMessage(HEAD))
        assert datagram is not None
        hints.datagram_received(datagram, ("127.0.0.3", 7))
        self.assertEqual(received, [])
        self.assertIn("hint-from-stranger", handler.lines[-1])
        hints.datagram_received(datagram, ("127.0.0.2", 7))
        self.assertEqual(received, [BreakMessage(HEAD)])


if __name__ == "__main__":
    unittest.main()
