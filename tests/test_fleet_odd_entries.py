"""Entries that another writer has left in the store, and numbers that no one can use."""

import asyncio
import json
import unittest
from itertools import product
from typing import Any

from cactuspass._platform import KeyValue
from cactuspass.exceptions import DocumentError, PlatformError, UpstreamNotReached
from cactuspass.fleet import ConnectionPool, MalformedRequest, Metrics, OutgoingRequest
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._presence import Presence
from cactuspass.fleet._sync import MAX_SEEN_FINDINGS, log_findings
from cactuspass.fleet.prompt_parts._block_store import decode_block, encode_block
from cactuspass.models import EntryId
from cactuspass.platform._directory import MetadataDirectory
from cactuspass.platform._requests import PlatformRequests
from cactuspass.platform._server_entry import decode_entry, decode_report
from cactuspass.platform._store import MetadataStore, _parse_response
from tests.fleet_path import (
    PathCase,
    PreferredOrderCase,
    ScriptedUpstream,
    answer,
    recording_log,
    route,
)
from tests.metadata_store import MetadataStoreStandIn
from tests.part_world import block_of
from tests.test_fleet_instance import InstanceCase, until
from tests.test_fleet_presence import MemoryStore

HUGE = "9" * 400
NESTED = "[" * 200_000 + "]" * 200_000
ENTRY: dict[str, str] = {
    "service": '"llm"',
    "address": '"127.0.0.1:80"',
    "zone": '"here"',
    "version": '"v1"',
    "slots": "4",
    "state": '"ready"',
    "cold_ms": "0",
    "seq": "1",
    "born": "1",
}
ODD_FIELDS = [
    ("address", '"127.0.0.1:99999"'),
    ("address", '"127.0.0.1:0"'),
    ("address", '"127.0.0.1:\u0663"'),
    ("address", f'"127.0.0.1:{HUGE}"'),
    ("address", '"999.1.1.1:80"'),
    ("address", '"...:80"'),
    ("address", '"0.0.0.0:80"'),
    ("address", '"localhost:80"'),
    ("slots", HUGE),
    ("slots", "-1"),
    ("born", HUGE),
    ("seq", HUGE),
    ("cold_ms", "1e999"),
    ("cold_ms", "NaN"),
    ("cold_ms", "1e300"),
    ("group", f'{{"name": "g", "epoch": {HUGE}, "rank": 0, "state": "open"}}'),
    ("group", f'{{"name": "g", "epoch": 1, "rank": {HUGE}, "state": "open"}}'),
    ("staged", NESTED),
    ("models", NESTED),
]
REPORT = {"running": "1", "queued": "0", "pace": "1.0", "seq": "3", "born": "1"}
ODD_REPORT_FIELDS = [
    ("running", HUGE),
    ("queued", "-1"),
    ("pace", "1e999"),
    ("pace", "-1"),
    ("seq", HUGE),
    ("born", HUGE),
    ("group", NESTED),
]
TEXT_FIELDS = ("service", "address", "zone", "version", "state")
NUMBER_FIELDS = ("slots", "cold_ms", "seq", "born")
NO_TEXTS = ("null", "true", "1", "[]", "{}")
NO_NUMBERS = ("null", "true", '"1"', '"text"', "[1]", "{}")


def document(fields: dict[str, str], **changes: str) -> bytes:
    """Return a JSON object whose values are given as JSON."""
    values = {**fields, **changes}
    return ("{" + ", ".join(f'"{name}": {value}' for name, value in values.items()) + "}").encode()


class DecodingTest(unittest.TestCase):
    """Documents with values out of range."""

    # Guards against an entry whose numbers fail only where they are used: by a connection to port
    # 99999, or by a product of 400 digits with a fraction.
    def test_entries_with_odd_values_are_invalid(self) -> None:
        self.assertEqual(decode_entry("a", document(ENTRY), 0.0).address, "127.0.0.1:80")
        for name, value in ODD_FIELDS:
            with self.subTest(field=name, value=value[:40]), self.assertRaises(DocumentError):
                decode_entry("a", document(ENTRY, **{name: value}), 0.0)

    # Guards against requests that are sent where the entry of another writer leads.
    def test_entries_with_a_field_missing_are_invalid(self) -> None:
        for name in ENTRY:
            rest = {key: value for key, value in ENTRY.items() if key != name}
            with self.subTest(field=name), self.assertRaises(DocumentError):
                decode_entry("a", document(rest), 0.0)

    # Guards against an entry whose numbers are texts, or the other way round.
    def test_entries_with_a_field_of_another_type_are_invalid(self) -> None:
        odd = [*product(TEXT_FIELDS, NO_TEXTS), *product(NUMBER_FIELDS, NO_NUMBERS)]
        for name, value in odd:
            with self.subTest(field=name, value=value), self.assertRaises(DocumentError):
                decode_entry("a", document(ENTRY, **{name: value}), 0.0)

    # Guards against a report whose numbers are texts.
    def test_reports_with_a_field_of_another_type_are_invalid(self) -> None:
        for name, value in product(REPORT, NO_NUMBERS):
            with self.subTest(field=name, value=value), self.assertRaises(DocumentError):
                decode_report(document(REPORT, **{name: value}))

    def test_entries_that_are_no_object_are_invalid(self) -> None:
        for value in (b"", b"\xff", b"[]", b"null", b"1", NESTED.encode(), HUGE.encode()):
            with self.subTest(value=value[:40]), self.assertRaises(DocumentError):
                decode_entry("a", value, 0.0)

    def test_reports_with_odd_values_are_invalid(self) -> None:
        self.assertEqual(decode_report(document(REPORT)).running, 1)
        for name, value in ODD_REPORT_FIELDS:
            with self.subTest(field=name, value=value[:40]), self.assertRaises(DocumentError):
                decode_report(document(REPORT, **{name: value}))

    def test_blocks_with_odd_times_are_invalid(self) -> None:
        value = json.loads(encode_block(block_of("a1")))
        decode_block("k", json.dumps(value).encode())
        for changes in ({"since": 1e300}, {"since": -1.0}, {"seconds": -1.0}):
            with self.subTest(changes=changes), self.assertRaises(DocumentError):
                decode_block("k", json.dumps({**value, **changes}).encode())
        text = json.dumps(value).replace("600.0", "1e999")
        with self.assertRaises(DocumentError):
            decode_block("k", text.encode())

    def test_nested_response_of_the_store_is_an_error_of_the_platform(self) -> None:
        with self.assertRaises(PlatformError):
            _parse_response(200, NESTED.encode())

    def test_number_of_remembered_findings_is_bounded(self) -> None:
        log, _ = recording_log()
        seen: set[str] = set()
        for number in range(MAX_SEEN_FINDINGS + 10):
            try:
                decode_entry(f"odd-{number}", b"{}", 0.0)
            except DocumentError as error:
                log_findings(log, error.findings, seen)
        self.assertLessEqual(len(seen), MAX_SEEN_FINDINGS + 10)


class PeerTest(unittest.TestCase):
    """Keys of instances that this project has not written in this form."""

    def peer_address(self, value: Any) -> str | None:
        log, _ = recording_log()
        presence = Presence(MemoryStore(), EntryId("e0"), ClusterState(log), log)
        encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
        return presence._peer(KeyValue("cactuspass/instances/e1", encoded, 1)).address

    # Guards against an instance that stops following the others because of one key.
    def test_instance_with_an_odd_key_has_no_address(self) -> None:
        self.assertEqual(self.peer_address({"peers": "127.0.0.1:80"}), "127.0.0.1:80")
        for value in (
            NESTED.encode(),
            HUGE.encode(),
            b"\xff",
            [],
            {"peers": "127.0.0.1:99999"},
            {"peers": f"127.0.0.1:{HUGE}"},
            {"peers": "nowhere"},
            {"peers": {"host": "127.0.0.1"}},
            {"peers": 7},
        ):
            with self.subTest(value=str(value)[:40]):
                self.assertIsNone(self.peer_address(value))


class ListingTest(unittest.IsolatedAsyncioTestCase):
    """The registry with odd entries among sound ones."""

    async def test_one_odd_entry_costs_that_entry_only(self) -> None:
        standin = MetadataStoreStandIn()
        standin.start()
        self.addCleanup(standin.stop)
        store = MetadataStore(standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(store.close)
        directory = MetadataDirectory(store)
        sound = {name: json.loads(value) for name, value in ENTRY.items()}
        await standin.put("servers/sound-0", sound)
        odd = {**sound, "address": "127.0.0.1:99999"}
        before = (await directory.read_upstreams()).revision
        for number in range(4):
            await standin.put(f"servers/odd-{number}", {**odd, "slots": 10**number * 10**400})
        await standin.put("servers/sound-1", sound)
        listing = await directory.read_upstreams()
        self.assertEqual([u.upstream_id for u in listing.upstreams], ["sound-0", "sound-1"])
        changes = await directory.watch_upstreams(before, 0.2)
        self.assertEqual([u.upstream_id for u in changes.changed], ["sound-1"])
        self.assertEqual(len(changes.removed), 4)


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests that meet an upstream with an address that cannot be connected to."""

    # Guards against callers who get no answer, since a connection fails in a way of its own.
    async def test_address_out_of_range_is_one_that_is_not_reached(self) -> None:
        pool = ConnectionPool()
        for address in ("127.0.0.1:99999", f"127.0.0.1:{HUGE}", "127.0.0.1:-1"):
            with self.subTest(address=address[:30]), self.assertRaises(UpstreamNotReached):
                await pool.send_request(address, OutgoingRequest("GET", "/", ()))

    async def test_request_goes_to_another_upstream(self) -> None:
        sound = ScriptedUpstream([answer("200 OK", b"body", "Cactuspass-Server-Stamp: s1")])
        await sound.start()
        self.addAsyncCleanup(sound.stop)
        odd = ScriptedUpstream([], address="127.0.0.1:99999")
        case = PathCase(route(), [odd, sound])
        self.addCleanup(case.pool.close)
        case.loads.load(list(case.cluster_state.view.upstreams_by_id)[1]).failure_share = 0.9
        got = await case.serve()
        self.assertEqual((got.status, got.body), (200, b"body"))


class InstanceOddEntryTest(InstanceCase):
    """A whole instance beside which another writer leaves odd entries."""

    async def test_instance_serves_and_follows_the_registry(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        sound = {name: json.loads(value) for name, value in ENTRY.items()}
        await self.store.put("servers/odd-0", {**sound, "address": "127.0.0.1:99999"})
        await self.store.put("servers/odd-1", {**sound, "slots": 10**400})
        nested: list[Any] = []
        for _ in range(900):
            nested = [nested]
        await self.store.put("servers/odd-2", {**sound, "staged": nested})
        await self.store.put("cactuspass/instances/odd", {"peers": "127.0.0.1:99999"})
        await self.store.put("cactuspass/blocked-parts/odd", {"since": 1e300, "key": nested})
        self.servers[3].stop()
        await self.store.delete("servers/i-3")
        view = instance.cluster_state
        await until(lambda: "i-3" not in view.view.upstreams_by_id)
        await asyncio.sleep(0.5)
        self.assertEqual((await self.send_request(instance)).code, 200)
        self.assertNotIn("odd-0", view.view.upstreams_by_id)
        lines = "".join(self.log_handlers[0].lines)
        self.assertNotIn("task-failed", lines)
        self.assertIn("servers/odd-1", lines)


class HeaderTest(PreferredOrderCase):
    """Numbers in headers that look like digits and are none, or are too long."""

    ODD_NUMBERS = ("\u00b2", "\u00b9,0,1", "9" * 5000, "1,1," + "9" * 5000, "-1", "1e3", "")

    # Guards against a caller without an answer, since a header of the upstream cannot be read.
    async def test_answer_with_an_odd_load_or_timeout_is_passed_on(self) -> None:
        for text in self.ODD_NUMBERS:
            with self.subTest(text=text[:20]):
                odd = answer(
                    "200 OK",
                    b"body",
                    "Cactuspass-Server-Stamp: s1",
                    f"Cactuspass-Server-Load: {text}",
                    f"Keep-Alive: timeout={text}",
                )
                case = await self.start(route(), [odd])
                got = await case.serve()
                self.assertEqual((got.status, got.body), (200, b"body"))

    def test_request_with_odd_token_counts_is_malformed(self) -> None:
        headers = [("Host", "a.example"), ("Cactuspass-Request-Id", "q1")]
        for text in (*self.ODD_NUMBERS, "\u00b2,1", "1," + "9" * 5000):
            with self.subTest(text=text[:20]), self.assertRaises(MalformedRequest):
                PlatformRequests().read_request(
                    "GET", "/", (*headers, ("Cactuspass-Tokens", text)), b"", 0.0
                )
