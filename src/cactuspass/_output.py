"""Formats rows as a table or as JSON."""

import json

from cactuspass._rows import RowSet
from cactuspass._statements import Cell

COLUMN_GAP = "  "
EMPTY_TEXT = "(no rows)"


def as_json(found: RowSet) -> str:
    """Return the rows as a JSON array of objects."""
    objects = [dict(zip(found.columns, row, strict=True)) for row in found.rows]
    return json.dumps(objects, indent=2)


def as_table(found: RowSet) -> str:
    """Return the rows as a text table, with columns of numbers aligned to the right."""
    if not found.rows:
        return EMPTY_TEXT
    cells = [[_text(cell) for cell in row] for row in found.rows]
    widths = [
        max(len(name), *(len(row[at]) for row in cells)) for at, name in enumerate(found.columns)
    ]
    align_right = [
        all(isinstance(row[at], int | float) for row in found.rows)
        for at in range(len(found.columns))
    ]
    lines = [list(found.columns), ["-" * width for width in widths], *cells]
    return "\n".join(_line(line, widths, align_right) for line in lines)


def _text(cell: Cell) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)


def _line(texts: list[str], widths: list[int], align_right: list[bool]) -> str:
    padded = (
        text.rjust(width) if is_right else text.ljust(width)
        for text, width, is_right in zip(texts, widths, align_right, strict=True)
    )
    return COLUMN_GAP.join(padded).rstrip()
