"""Documents of another writer that are as large as the store allows, and wrong throughout."""

import asyncio
import json
import time
import unittest
from collections.abc import Callable
from typing import Any

from cactuspass._findings import MAX_FINDINGS_OF_DOCUMENT, MAX_MESSAGE_LENGTH, Finding
from cactuspass._platform import KeyValue
from cactuspass.exceptions import DocumentError
from cactuspass.fleet import ConnectionPool, Metrics
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._presence import Presence
from cactuspass.fleet._sync import MAX_LOGGED_FINDINGS, log_findings
from cactuspass.fleet.prompt_parts._block_store import decode_block, encode_block
from cactuspass.models import EntryId
from cactuspass.platform._config_document import decode_catalog
from cactuspass.platform._directory import MetadataDirectory
from cactuspass.platform._server_entry import MAX_MODELS, MAX_NAME_LENGTH, decode_entry
from cactuspass.platform._store import MetadataStore
from tests.fleet_path import recording_log
from tests.loop_hold import MAX_HOLD_SECONDS, LoopHold
from tests.metadata_store import MetadataStoreStandIn
from tests.part_world import block_of
from tests.test_fleet_instance import InstanceCase, until
from tests.test_fleet_presence import MemoryStore

ITEMS = 350_000
ENTRIES = 3000
LONG = "9" * 700_000
ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "127.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_ms": 0,
    "seq": 1,
    "born": 1,
}
WRONG_VALUES: dict[str, Any] = {
    "numbers": [0] * ITEMS,
    "objects": [{}] * ITEMS,
    "lists": [[]] * ITEMS,
    "names": ["a"] * (ITEMS // 2),
    "long name": LONG,
}
# Polls of the operators' documents and of the registry, and one full listing of it.
WATCHED_SECONDS = 5.0


def mistakes(decode: Callable[[], object]) -> int:
    """Return the number of findings of a document that must be invalid; check their length."""
    try:
        decode()
    except DocumentError as error:
        longest = max(len(finding.message) for finding in error.findings)
        assert longest <= MAX_MESSAGE_LENGTH, longest
        return len(error.findings)
    raise AssertionError("the document is valid")


class CostTest(unittest.TestCase):
    """What one document costs, however many mistakes it has."""

    # Guards against one odd entry of the registry that stops an instance: each of its wrong items
    # was a finding and a line of the log.
    def test_wrong_entry_has_few_findings_and_takes_little_time(self) -> None:
        for field in ("staged", "models", "service", "address", "zone", "domain", "group"):
            for name, wrong in WRONG_VALUES.items():
                value = json.dumps({**ENTRY, field: wrong}).encode()
                with self.subTest(field=field, value=name):
                    began = time.thread_time()
                    count = mistakes(lambda value=value: decode_entry("a", value, 0.0))
                    self.assertLess(time.thread_time() - began, MAX_HOLD_SECONDS)
                    self.assertLessEqual(count, 4)

    def test_many_names_and_long_names_within_the_limits_are_valid(self) -> None:
        names = [f"m{number}" for number in range(MAX_MODELS)]
        names[0] = "m" * MAX_NAME_LENGTH
        found = decode_entry("a", json.dumps({**ENTRY, "staged": names}).encode(), 0.0)
        self.assertEqual(list(found.staged), names)

    # Guards against the same of the manifest and of a stored block.
    def test_other_wrong_documents_have_few_findings(self) -> None:
        block = json.loads(encode_block(block_of("a1")))
        for name, wrong in WRONG_VALUES.items():
            for field in ("routes", "services", "tenants"):
                value = json.dumps({"version": 1, field: wrong}).encode()
                with self.subTest(field=field, value=name):
                    began = time.thread_time()
                    found = mistakes(lambda value=value: decode_catalog(value))
                    self.assertLess(time.thread_time() - began, MAX_HOLD_SECONDS)
                    self.assertLessEqual(found, MAX_FINDINGS_OF_DOCUMENT + 1)
        for field in ("customers", "instances"):
            value = json.dumps({**block, field: [0] * ITEMS}).encode()
            with self.subTest(field=field):
                self.assertEqual(mistakes(lambda value=value: decode_block("k", value)), 1)


class RepeatedReadTest(unittest.IsolatedAsyncioTestCase):
    """Documents that are read again and again."""

    async def start_directory(self) -> tuple[MetadataStoreStandIn, MetadataDirectory]:
        standin = MetadataStoreStandIn()
        standin.start()
        self.addCleanup(standin.stop)
        store = MetadataStore(standin.address, ConnectionPool(), Metrics())
        self.addAsyncCleanup(store.close)
        return standin, MetadataDirectory(store)

    # Guards against an odd entry that each listing decodes and reports anew.
    async def test_unchanged_wrong_entry_is_reported_once(self) -> None:
        standin, directory = await self.start_directory()
        await standin.put("servers/odd", {**ENTRY, "staged": [0]})
        counts = [len((await directory.read_upstreams()).findings) for _ in range(3)]
        await standin.put("servers/odd", {**ENTRY, "staged": [0, 0]})
        counts.append(len((await directory.read_upstreams()).findings))
        self.assertEqual(counts, [1, 0, 0, 1])
        await standin.put("servers/odd", ENTRY)
        listing = await directory.read_upstreams()
        self.assertEqual([u.upstream_id for u in listing.upstreams], ["odd"])

    async def test_wrong_manifest_is_wrong_until_it_is_replaced(self) -> None:
        standin, directory = await self.start_directory()
        await standin.put("op/config", {"version": "one"})
        for _ in range(2):
            found = await directory.read_operators()
            self.assertEqual((len(found.findings), found.catalog), (1, None))
        await standin.put("op/config", {"version": 2})
        found = await directory.read_operators()
        assert found.catalog is not None
        self.assertEqual((len(found.findings), found.catalog.version), (0, 2))

    # Guards against a key of an instance that raises an alarm at each read.
    async def test_unchanged_wrong_key_of_an_instance_is_reported_once(self) -> None:
        log, handler = recording_log()
        presence = Presence(MemoryStore(), EntryId("e0"), ClusterState(log), log)
        key = "cactuspass/instances/e1"
        for revision in (1, 1, 2, 2):
            presence._keys = {key: KeyValue(key, json.dumps([0] * ITEMS).encode(), revision)}
            presence._update_instances()
        self.assertEqual(sum("instance-unreadable" in line for line in handler.lines), 2)

    # Guards against a log without bound, when another writer writes wrong entries all the time.
    async def test_number_of_lines_of_one_read_is_bounded(self) -> None:
        log, handler = recording_log()
        findings = tuple(Finding(f"servers/{number}", "", "odd") for number in range(ENTRIES))
        log_findings(log, findings, set())
        self.assertEqual(len(handler.lines), MAX_LOGGED_FINDINGS + 1)
        self.assertIn(f'"further": {ENTRIES - MAX_LOGGED_FINDINGS}', handler.lines[-1])


class InstanceHoldTest(InstanceCase):
    """A whole instance beside which another writer leaves a large wrong entry."""

    # Guards against an instance that answers nobody while it judges one entry of the registry.
    async def test_large_wrong_entry_does_not_hold_the_event_loop(self) -> None:
        instance = await self.start_instance("e0")
        await until(lambda: len(instance.serving_groups()) == 2)
        async with LoopHold() as hold:
            await self.store.put("servers/odd", {**ENTRY, "staged": [0] * ITEMS})
            await asyncio.sleep(WATCHED_SECONDS)
        self.assertEqual((await self.send_request(instance)).code, 200)
        self.assertLess(hold.seconds, MAX_HOLD_SECONDS)
        lines = [line for line in self.log_handlers[0].lines if "document-unreadable" in line]
        self.assertEqual(len(lines), 1)


if __name__ == "__main__":
    unittest.main()
