"""Tests that links, settings, commands, figures and test names in the documentation are valid."""

import importlib
import re
import unittest
from pathlib import Path

from bench import capacity
from cactuspass._parser import parse
from cactuspass.settings import example_settings, parse_settings, settings_reference

ROOT = Path(__file__).resolve().parent.parent
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").glob("**/*.md")))
OPERATING = ROOT / "docs" / "OPERATING.md"
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
TEST_ID = re.compile(r"\b(test_\w+\.\w+Test\.test_\w+)")
COMMAND = re.compile(r'cactuspass (?:ask|do|watch) "([^"]+)"')


def generated_section(text: str, name: str) -> str:
    """Return the text between the begin and end marks of a generated section."""
    return text.split(f"<!-- {name}: begin -->\n")[1].split(f"<!-- {name}: end -->")[0]


def promised_test_ids() -> list[str]:
    """Return the test ids that the pages in docs/promises name."""
    pages = sorted((ROOT / "docs" / "promises").glob("*.md"))
    found = (TEST_ID.findall(page.read_text(encoding="utf-8")) for page in pages)
    return sorted({f"tests.{name}" for names in found for name in names})


def exists(test_id: str) -> bool:
    """Return whether a test id names a test."""
    module, case, name = test_id.rsplit(".", 2)
    return hasattr(getattr(importlib.import_module(module), case, None), name)


class DocsTest(unittest.TestCase):
    def test_links_lead_somewhere(self) -> None:
        broken = [
            f"{page.name}: {target}"
            for page in PAGES
            for target in LINK.findall(page.read_text(encoding="utf-8"))
            if "://" not in target and not (page.parent / target).exists()
        ]
        self.assertEqual(broken, [])

    def test_settings_reference_is_current(self) -> None:
        text = OPERATING.read_text(encoding="utf-8")
        self.assertEqual(
            generated_section(text, "settings reference").strip(), settings_reference().strip()
        )

    def test_capacity_shows_what_was_measured(self) -> None:
        slopes, path_figures = capacity.load()
        tables = capacity.table(capacity.roles(slopes, path_figures))
        shown = generated_section(
            (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8"), "capacity"
        )
        self.assertEqual(shown.strip(), f"{tables}\n\n{capacity.breaking_sizes(slopes)}")

    def test_shown_settings_load(self) -> None:
        shown = generated_section(OPERATING.read_text(encoding="utf-8"), "settings example")
        example = shown.strip().removeprefix("```toml").removesuffix("```")
        self.assertEqual(example.strip(), example_settings().strip())
        parse_settings(example)

    def test_shown_commands_parse(self) -> None:
        commands = [
            command
            for page in PAGES
            for command in COMMAND.findall(page.read_text(encoding="utf-8"))
        ]
        self.assertGreater(len(commands), 10)
        for command in commands:
            with self.subTest(command):
                parse(command)

    def test_promised_tests_exist(self) -> None:
        names = promised_test_ids()
        self.assertGreater(len(names), 40)
        self.assertEqual([name for name in names if not exists(name)], [])
