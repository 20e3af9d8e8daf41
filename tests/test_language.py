"""Tests of the operators' language: parsing, query clauses and output formats."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactuspass._output import as_json, as_table
from cactuspass._parser import parse, parse_many
from cactuspass._rows import RowSet, select
from cactuspass._statements import (
    DeclareCommand,
    Query,
    ReturnCommand,
    TakeOutCommand,
    ViewName,
)
from cactuspass.exceptions import CommandError
from cactuspass.models import TakeOutKind

ROWS = RowSet(
    ("customer", "requests", "oldest_seconds"),
    (("library", 3, 1.5), ("nursery", 1, 9.0), ("library", 4, 0.5)),
)


class ParserTest(unittest.TestCase):
    def test_commands(self) -> None:
        self.assertEqual(
            parse("take out data centre sapa-a"),
            TakeOutCommand(TakeOutKind.DATA_CENTRE, "sapa-a"),
        )
        self.assertEqual(
            parse("RETURN upstream 10.0.0.1:80"),
            ReturnCommand(TakeOutKind.UPSTREAM, "10.0.0.1:80"),
        )
        declared = parse("declare group draft model roof in sapa-a kind big size 2 spares 1")
        assert isinstance(declared, DeclareCommand)
        self.assertEqual((declared.declaration.size, declared.declaration.spares), (2, 1))

    def test_mistakes_name_line_column_and_what_was_expected(self) -> None:
        cases = {
            "waitin": (1, 1, "expected alarms"),
            "waiting by": (1, 11, "found the end, expected a name"),
            "groups limit x": (1, 14, "expected a number"),
            "take out data\ncentre": (2, 7, "found the end"),
            "declare group x model m": (1, 1, "missing: in, kind, size"),
            "declare group x size 0": (1, 22, "at least 1"),
        }
        for text, (line, column, words) in cases.items():
            with self.subTest(text), self.assertRaises(CommandError) as caught:
                parse(text)
            self.assertEqual((caught.exception.line, caught.exception.column), (line, column))
            self.assertIn(words, str(caught.exception))

    def test_every_wrong_line_of_a_file_is_reported(self) -> None:
        with self.assertRaises(ExceptionGroup) as caught:
            parse_many("waiting\n\n# note\ngroop\ntake out\n")
        lines = [error.line for error in caught.exception.exceptions]  # type: ignore[attr-defined]
        self.assertEqual(lines, [4, 5])

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.text(alphabet="waitngroups takeoubyhl=<>\"'#\n,.1-", max_size=40))
    def test_any_text_gives_a_statement_or_a_command_error(self, text: str) -> None:
        try:
            parse(text)
        except CommandError as error:
            self.assertGreaterEqual(error.line, 1)
            self.assertGreaterEqual(error.column, 1)


class RowsTest(unittest.TestCase):
    def run_query(self, text: str) -> RowSet:
        query = parse(text)
        assert isinstance(query, Query)
        return select(query, ROWS)

    def test_by_sums_numbers_and_keeps_the_oldest(self) -> None:
        found = self.run_query("waiting by customer order by requests descending")
        self.assertEqual(found.columns, ("customer", "rows", "requests", "oldest_seconds"))
        self.assertEqual(found.rows[0], ("library", 2, 7, 1.5))

    def test_where_and_limit(self) -> None:
        found = self.run_query("waiting where customer = library and requests > 3 limit 1")
        self.assertEqual(found.rows, (("library", 4, 0.5),))

    def test_unknown_column_names_the_known_ones(self) -> None:
        with self.assertRaisesRegex(CommandError, "customer, requests, oldest_seconds"):
            self.run_query("waiting where colour = red")

    def test_output(self) -> None:
        self.assertEqual(parse("waiting"), Query(ViewName.WAITING))
        lines = as_table(ROWS).splitlines()
        self.assertEqual(lines[2], "library          3             1.5")
        self.assertIn('"requests": 3', as_json(ROWS))
        self.assertEqual(as_table(RowSet(("a",))), "(no rows)")
