"""Hints between instances that an upstream is silent."""

import asyncio
import unittest

import cbor2

from cactuspass.fleet._hints import Hints, decode_unresponsive, encode_unresponsive
from cactuspass.fleet._loads import LoadTable
from cactuspass.fleet._upstreams import UpstreamId
from tests.fleet_path import recording_log

HEAD = UpstreamId("i-1")


class DatagramTest(unittest.TestCase):
    """What stands in a datagram."""

    def test_hint_is_read_as_written(self) -> None:
        self.assertEqual(decode_unresponsive(encode_unresponsive(HEAD)), HEAD)

    def test_other_bytes_are_no_hint(self) -> None:
        for datagram in (b"", b"\xff", b"x" * 600, cbor2.dumps([1]), cbor2.dumps({"kind": "x"})):
            with self.subTest(datagram=datagram):
                self.assertIsNone(decode_unresponsive(datagram))


class DoubtTest(unittest.TestCase):
    """What a hint changes."""

    def test_head_that_was_heard_just_now_is_not_doubted(self) -> None:
        loads = LoadTable()
        loads.note_response(HEAD, 10.0)
        self.assertFalse(loads.suspect_by_hint(HEAD, 10.1))
        self.assertFalse(loads.load(HEAD).is_suspect(10.1))

    def test_head_that_was_not_heard_gets_nothing_for_a_while(self) -> None:
        loads = LoadTable()
        self.assertTrue(loads.suspect_by_hint(HEAD, 10.0))
        self.assertTrue(loads.load(HEAD).is_suspect(10.5))
        self.assertFalse(loads.load(HEAD).is_suspect(11.5))


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams on loopback."""

    async def test_the_other_instances_hear_of_a_silent_upstream(self) -> None:
        log, _ = recording_log()
        heard: asyncio.Queue[UpstreamId] = asyncio.Queue()
        listener = Hints("127.0.0.1:0", lambda: (), heard.put_nowait, log)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        while listener.port is None:
            await asyncio.sleep(0)
        teller = Hints("127.0.0.1:0", lambda: [f"127.0.0.1:{listener.port}"], print, log)
        await teller.start()
        self.addAsyncCleanup(teller.stop)
        while teller.port is None:
            await asyncio.sleep(0)
        teller.send_unresponsive(HEAD)
        teller.send_unresponsive(HEAD)
        self.assertEqual(await heard.get(), HEAD)
        self.assertTrue(heard.empty())


if __name__ == "__main__":
    unittest.main()
