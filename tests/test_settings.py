"""Settings: all mistakes are reported, each with its place."""

import unittest

from cactuspass.models import CustomerId, KindId, Priority
from cactuspass.settings import (
    Address,
    SettingsError,
    example_settings,
    load_settings,
    parse_address,
    parse_settings,
    settings_reference,
)


def messages_by_place(text: str) -> dict[str, str]:
    """Return the messages of all findings by place."""
    try:
        parse_settings(text, "entry.toml")
    except SettingsError as error:
        return {finding.place: finding.message for finding in error.findings}
    return {}


class SettingsTest(unittest.TestCase):
    """Parsing, validation and reference of the settings file."""

    def test_example_is_valid(self) -> None:
        settings = parse_settings(example_settings())
        self.assertEqual(settings.listeners.peers, Address("127.0.0.1", 8082))
        self.assertEqual(settings.customers_by_id[CustomerId("counters")].priority, Priority.HIGH)
        self.assertTrue(settings.kinds_by_id[KindId("assistant")].checks_fence)

    def test_all_mistakes_are_reported_together(self) -> None:
        text = example_settings()
        text = text.replace('callers = "127.0.0.1:8080"', 'callers = "localhost:8080"')
        text = text.replace("timeout_seconds = 1.0", "time_out = 1.0")
        text = text.replace("weight = 4.0", "weight = -1")
        text = text.replace('kind = "lending"\n\n[[customers', 'kind = "loan"\n\n[[customers')
        text += '\n[[customers]]\nid = "counters"\napi_key = "other"\n'
        found = messages_by_place(text)
        self.assertEqual(found["listeners.callers"], "host must be an IP address")
        self.assertEqual(found["platform.time_out"], "unknown key")
        self.assertIn("greater than 0", found["customers.1.weight"])
        self.assertEqual(found["services.1.kind"], "kind 'loan' is not declared")
        self.assertNotIn("objectives.1.customer", found)

    def test_checks_between_entries(self) -> None:
        text = example_settings().replace("cold_requests = 1", "cold_requests = 9")
        text = text.replace("is_engine = false", "is_engine = true")
        text = text.replace('customer = "counters"', 'customer = "nobody"')
        text = text.replace("default_deadline_seconds = 30.0", "default_deadline_seconds = 900.0")
        text += '\n[[customers]]\nid = "counters"\napi_key = "b"\n'
        text += '\n[[customers]]\nid = "twin"\napi_key = "key-of-the-counters"\n'
        self.assertEqual(
            messages_by_place(text),
            {
                "upstream_kinds.1.cold_requests": "must not exceed full_requests",
                "services.1.kind": "kind 'lending' is not a plain service",
                "objectives.1.customer": "customer 'nobody' is not declared",
                "customers.2.id": "customer 'counters' is declared twice",
                "customers.3.api_key": "same key as customer 'counters'",
                "limits.default_deadline_seconds": "must not exceed max_deadline_seconds",
            },
        )

    def test_syntax_error_has_line_and_column(self) -> None:
        self.assertEqual(list(messages_by_place("a = 1\nb == 2\n")), ["line 2, column 4"])

    def test_missing_file_is_a_finding(self) -> None:
        with self.assertRaises(SettingsError) as caught:
            load_settings("/nonexistent/entry.toml")
        self.assertEqual(caught.exception.findings[0].source, "/nonexistent/entry.toml")

    def test_secrets_are_not_shown(self) -> None:
        text = example_settings()
        self.assertNotIn("replace-this-secret", repr(parse_settings(text)))
        text = text.replace('api_key = "key-of-the-counters"', 'api_keys = "key-of-the-counters"')
        self.assertNotIn("key-of-the-counters", "".join(messages_by_place(text).values()))

    def test_reference_names_every_key_of_the_example(self) -> None:
        reference = settings_reference()
        for place in ("entry_id", "platform.addresses", "customers.weight", "statsd.port"):
            self.assertIn(f"| `{place}` |", reference)

    def test_addresses(self) -> None:
        self.assertEqual(str(parse_address("[::1]:0")), "[::1]:0")
        for text in ("127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:1", "::1:x", ":80"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_address(text)
