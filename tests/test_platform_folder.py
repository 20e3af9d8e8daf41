"""Tests of the platform adapter: documents, headers, and the scope of the platform's names."""

import json
import re
import unittest
from collections.abc import Collection
from pathlib import Path

from cactuspass.exceptions import DocumentError
from cactuspass.fleet import (
    AnswerHead,
    MalformedRequest,
    MemberState,
    SendDetails,
    UpstreamState,
    parse_instance_settings,
)
from cactuspass.fleet._catalog import RouteKind, ScalingLimits
from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId
from cactuspass.platform._config_document import decode_catalog
from cactuspass.platform._requests import PlatformRequests
from cactuspass.platform._server_entry import decode_entry, decode_report
from tests.fleet_world import host

ROOT = Path(__file__).resolve().parent.parent
WIRE_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|Cactuspass-|op/config|op/evacuate|allow_stale|close_mode"
)
ENTRY = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "cold_ms": 500,
    "born": 1700000000000,
    "domain": "z1-d0",
    "staged": ["m0"],
    "models": [{"name": "m0", "version": 1, "adapters": []}],
    "group": {"name": "g7", "epoch": 12, "rank": 0, "state": "open"},
    "seq": 4,
}
REPORT = {"running": 3, "queued": 1, "pace": 2.5, "seq": 9, "born": 1_700_000_000_000}
MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 8000,
            "goal_ms": 300,
            "priority": 1,
            "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
            "attempts": 2,
            "resumable": True,
            "gap_aim_ms": 300,
        }
    ],
    "services": [
        {
            "name": "s1",
            "max_conns": 334,
            "cold_per_s": 26.0,
            "engine": {
                "slots": 13,
                "models": [{"name": "m0", "size": 4, "share": 0.57, "load_s": 16, "warm_s": 1.6}],
                "loads_per_s": 4.5,
                "loads_at_once": 6,
            },
        }
    ],
    "limits": {"header_bytes": 16384, "body_bytes": 4096, "header_ms": 3000, "idle_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def encode(document: object) -> bytes:
    """Return a document as JSON bytes."""
    return json.dumps(document).encode()


class ManifestTest(unittest.TestCase):
    """Decoding of the operators' manifest."""

    def test_all_sections_are_decoded(self) -> None:
        catalog = decode_catalog(encode(MANIFEST))
        [route] = catalog.routes
        self.assertEqual((catalog.version, route.kind, route.objective), (7, RouteKind.STREAM, 0.3))
        self.assertEqual([share.weight for share in route.shares], [90, 10])
        self.assertTrue(route.repeatable)
        engine = catalog.services_by_id[ServiceId("s1")].engine
        assert engine is not None
        self.assertEqual(engine.models_by_id[ModelId("m0")].size, 4)
        self.assertEqual(catalog.customers[0].keys, ("k1", "k2"))
        self.assertEqual(catalog.limits.idle_seconds, 15)

    def test_error_names_the_position_of_the_mistake(self) -> None:
        broken = {**MANIFEST, "routes": [{**MANIFEST["routes"][0], "kind": "odd"}]}  # type: ignore[index,dict-item]
        with self.assertRaises(DocumentError) as caught:
            decode_catalog(encode(broken))
        self.assertIn("routes.1.kind", str(caught.exception))

    def test_scaling_limits_and_delays_are_decoded(self) -> None:
        engine = {
            "slots": 13,
            "usual": {"prompt": 841, "answer": 111},
            "delays": [{"from": "z1", "target": "z2", "delay_ms": 1.4}],
        }
        scaled = {"name": "s1", "autoscale": {"min": 26, "max": 60, "boot_s": 8.0}}
        document = {**MANIFEST, "services": [{**scaled, "engine": engine}]}
        service = decode_catalog(encode(document)).services_by_id[ServiceId("s1")]
        assert service.engine is not None
        self.assertEqual(service.scaling, ScalingLimits(26, 60, 8.0))
        self.assertEqual(service.engine.usual_output_tokens, 111)
        z1, z2 = DataCentreId("z1"), DataCentreId("z2")
        self.assertEqual(service.engine.delay_between(z2, z1), 0.0014)
        self.assertEqual(service.engine.delay_between(z1, z1), 0.0)

    # Guards against an order for fewer upstreams than the service may have.
    def test_limits_in_the_wrong_order_are_a_finding(self) -> None:
        scaled = {"name": "s1", "autoscale": {"min": 60, "max": 26}}
        with self.assertRaises(DocumentError) as caught:
            decode_catalog(encode({**MANIFEST, "services": [scaled]}))
        self.assertIn("services.1.autoscale", str(caught.exception))

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertEqual(decode_catalog(encode({**MANIFEST, "new": 1})).version, 7)


class ServerEntryTest(unittest.TestCase):
    """Decoding of registry entries, which other programs may also write, and of reports."""

    def test_entry_is_decoded(self) -> None:
        upstream = decode_entry("i-1", encode(ENTRY), 100.0)
        assert upstream.membership is not None
        self.assertEqual(upstream.state, UpstreamState.READY)
        self.assertEqual(upstream.membership.state, MemberState.OPEN)
        self.assertEqual(upstream.cold_until, 100.5)
        self.assertEqual((upstream.loaded, upstream.born_ms), (ModelId("m0"), 1700000000000))

    def test_invalid_entries_are_rejected(self) -> None:
        for change in (
            {"address": 5},
            {"state": "odd"},
            {"slots": "13"},
            {"address": "nowhere"},
            {"group": {"name": "g"}},
        ):
            with self.subTest(change=change), self.assertRaises(DocumentError):
                decode_entry("i-1", encode({**ENTRY, **change}), 0.0)
        for value in (b"\xff\xfe", b"[]", b""):
            with self.subTest(value=value), self.assertRaises(DocumentError):
                decode_entry("i-1", value, 0.0)

    def test_report_is_decoded(self) -> None:
        report = decode_report(encode(REPORT))
        self.assertEqual((report.running, report.queued, report.pace), (3, 1, 2.5))
        self.assertEqual((report.sequence, report.born_ms), (9, 1_700_000_000_000))

    def test_report_without_sequence_or_start_time_is_rejected(self) -> None:
        for name in ("seq", "born"):
            with self.subTest(missing=name), self.assertRaises(DocumentError):
                decode_report(encode({key: REPORT[key] for key in REPORT if key != name}))


class HeaderTest(unittest.TestCase):
    """Headers of callers' requests and servers' responses."""

    def setUp(self) -> None:
        self.format = PlatformRequests()
        self.headers = (
            ("Host", "a.example"),
            ("Cactuspass-Request-Id", "q1"),
            ("Cactuspass-Deadline-Ms", "1500"),
            ("Cactuspass-Tokens", "1460,80"),
            ("Cactuspass-Model", "m0"),
            ("Cactuspass-Tenant", "forged"),
            ("Api-Key", "k1"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("X-Other", "2"),
        )

    def read(self, **changes: str) -> object:
        """Read the request with changed header values, by names with underscores."""
        headers = tuple((k, changes.get(k.replace("-", "_"), v)) for k, v in self.headers)
        return self.format.read_request("POST", "/a/x?y=1", headers, b"{}", 5.0)

    # A wrong hint must not have a request refused.
    def test_length_hint_is_read_or_ignored(self) -> None:
        for text, expected in (("120", 120), (" 7 ", 7), ("", None), ("many", None), ("-1", None)):
            headers = (*self.headers, ("Cactuspass-Length-Hint", text))
            got = self.format.read_request("POST", "/a", headers, b"", 0.0)
            self.assertEqual(got.expected_output_tokens, expected)

    def test_request_is_read(self) -> None:
        request = self.format.read_request("POST", "/a/x?y=1", self.headers, b"{}", 5.0)
        self.assertEqual((request.caller_timeout, request.key, request.model), (1.5, "k1", "m0"))
        self.assertEqual((request.prompt_tokens, request.output_tokens), (1460, 80))

    def test_invalid_headers_are_rejected(self) -> None:
        for change in (
            {"Cactuspass_Request_Id": ""},
            {"Cactuspass_Deadline_Ms": "soon"},
            {"Cactuspass_Tokens": "many"},
        ):
            with self.subTest(change=change), self.assertRaises(MalformedRequest):
                self.read(**change)

    def test_server_receives_the_remaining_time_and_no_key(self) -> None:
        request = self.format.read_request("POST", "/a/x?y=1", self.headers, b"{}", 5.0)
        details = SendDetails(host("i-1"), 0.7, 1, CustomerId("t1"), "12")
        sent = self.format.write_request(request, details)
        value_by_name = dict(sent.headers)
        self.assertEqual(value_by_name["Cactuspass-Deadline-Ms"], "700")
        self.assertEqual(value_by_name["Cactuspass-Tenant"], "t1")
        self.assertEqual(value_by_name["Cactuspass-Expect-Instance"], "i-1")
        self.assertEqual(value_by_name["Last-Event-Id"], "12")
        self.assertEqual(value_by_name["X-Other"], "2")
        for removed in ("Api-Key", "X-Hop", "Connection"):
            self.assertNotIn(removed, value_by_name)

    def test_response_states_that_the_request_has_not_run(self) -> None:
        not_run = AnswerHead(503, (("cactuspass-not-run", "1"),))
        self.assertTrue(self.format.read_answer(not_run).not_run)
        self.assertTrue(self.format.read_answer(AnswerHead(421, ())).not_run)
        self.assertFalse(self.format.read_answer(AnswerHead(503, ())).not_run)

    def test_load_header_is_decoded(self) -> None:
        notes = self.format.read_answer(AnswerHead(200, (("cactuspass-server-load", "3,1,8"),)))
        assert notes.load is not None
        self.assertEqual((notes.load.running, notes.load.waiting, notes.load.slots), (3, 1, 8))


class SettingsTest(unittest.TestCase):
    """The settings template that the platform fills in."""

    def fill_template(self, present: Collection[str]) -> str:
        """Return the settings for a platform whose own settings have the named fields."""
        template = (ROOT / "deploy" / "settings.toml.template").read_text()
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", '"z1","z2"', template)
        text = re.sub(
            r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}",
            lambda section: section[2] if section[1] in present else "",
            text,
            flags=re.DOTALL,
        )
        text = re.sub(r"\{\{(bounds|limits)\.[a-z_]+\}\}|\{\{cloud\.duty_per_s\}\}", "5", text)
        text = text.replace("{{cloud.duties|json}}", '["usage","scale"]')
        text = re.sub(r"\{\{[a-z_.]+\|json\}\}", '"10.0.0.1:80"', text)
        text = re.sub(r"\{\{ip\}\}", "10.0.0.1", text)
        return re.sub(r"\{\{port_range\.0\}\}", "7340", text)

    def test_filled_template_is_accepted(self) -> None:
        settings = parse_instance_settings(self.fill_template(()), "settings.toml")
        self.assertEqual(settings.bounds.key_seconds, 0.005)
        self.assertIsNone(settings.duties)
        self.assertIsNone(settings.machine.memory_megabytes)

    def test_filled_template_has_the_duties_and_the_machine(self) -> None:
        present = ("cloud.address", "limits.memory_mb", "limits.max_fds")
        settings = parse_instance_settings(self.fill_template(present), "settings.toml")
        assert settings.duties is not None
        self.assertEqual(settings.duties.names, ("usage", "scale"))
        self.assertEqual(settings.duties.lease_seconds, 0.005)
        self.assertEqual(settings.machine.descriptors, 5)


class FolderTest(unittest.TestCase):
    """Only the platform folder contains the platform's names."""

    def test_no_other_module_contains_the_platforms_names(self) -> None:
        source = ROOT / "src"
        folder = source / "cactuspass" / "platform"
        found = [
            str(path.relative_to(ROOT))
            for path in source.rglob("*.py")
            if folder not in path.parents and WIRE_NAMES.search(path.read_text())
        ]
        self.assertEqual(found, [])


if __name__ == "__main__":
    unittest.main()
