"""The rows that queries return, and functions that apply a query's clauses to them."""

import operator
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, fields
from enum import Enum
from itertools import chain, groupby
from typing import Any

from cactuspass._statements import Cell, Comparison, Condition, Ordering, Query
from cactuspass.exceptions import CommandError

# Columns whose names begin with these are combined by their maximum; all others are summed.
MAXIMUM_PREFIXES = ("oldest", "age", "peak")
ROWS_COLUMN = "rows"

_OPERATORS: dict[Comparison, Callable[[Any, Any], bool]] = {
    Comparison.EQUAL: operator.eq,
    Comparison.NOT_EQUAL: operator.ne,
    Comparison.LESS: operator.lt,
    Comparison.LESS_OR_EQUAL: operator.le,
    Comparison.GREATER: operator.gt,
    Comparison.GREATER_OR_EQUAL: operator.ge,
}


@dataclass(frozen=True, slots=True)
class RowSet:
    """Rows with named columns."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...] = ()

    def column_index(self, name: str) -> int:
        """Return the position of a column.

        :raises CommandError: when there is none; the message lists the columns that exist.
        """
        if name not in self.columns:
            known = ", ".join(self.columns)
            raise CommandError(f"no column {name!r}; the columns are {known}")
        return self.columns.index(name)


def row_set(row_type: type[Any], items: Iterable[Any]) -> RowSet:
    """Return instances of a data class as rows, with its fields as columns."""
    names = tuple(field.name for field in fields(row_type))
    rows = (tuple(_cell(getattr(item, name)) for name in names) for item in items)
    return RowSet(names, tuple(rows))


def merge(parts: Sequence[RowSet]) -> RowSet:
    """Return the rows of several sets with the same columns."""
    rows = chain.from_iterable(part.rows for part in parts)
    return RowSet(parts[0].columns, tuple(rows)) if parts else RowSet(())


def select(query: Query, found: RowSet) -> RowSet:
    """Apply the clauses of a query to the rows of its view.

    :raises CommandError: for a column that the view does not have.
    """
    result = _filter(found, query.conditions)
    if query.by:
        result = _summarize(result, query.by)
    if query.ordering is not None:
        result = _order(result, query.ordering)
    if query.limit is not None:
        result = RowSet(result.columns, result.rows[: query.limit])
    return result


def _cell(value: Any) -> Cell:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, float):
        return round(value, 3)
    if value is None or isinstance(value, str | int | bool):
        return value
    if isinstance(value, Iterable):
        return " ".join(str(part) for part in value)
    return str(value)


def _filter(found: RowSet, conditions: Sequence[Condition]) -> RowSet:
    checks = [(found.column_index(condition.column), condition) for condition in conditions]
    rows = (row for row in found.rows if all(_matches(row[at], check) for at, check in checks))
    return RowSet(found.columns, tuple(rows))


def _matches(cell: Cell, condition: Condition) -> bool:
    compare = _OPERATORS[condition.comparison]
    value = condition.value
    if isinstance(cell, str) != isinstance(value, str):
        cell, value = str(cell), str(value)
    try:
        return compare(cell, value)
    except TypeError:
        return False


def _summarize(found: RowSet, by: Sequence[str]) -> RowSet:
    keys = [found.column_index(name) for name in by]
    measures = [at for at, name in enumerate(found.columns) if _is_measure(found, at, name, by)]
    columns = (*by, ROWS_COLUMN, *(found.columns[at] for at in measures))

    def key(row: tuple[Cell, ...]) -> tuple[str, ...]:
        return tuple(str(row[at]) for at in keys)

    rows = []
    for _, grouped in groupby(sorted(found.rows, key=key), key=key):
        members = list(grouped)
        sums = (_combine(found.columns[at], [row[at] for row in members]) for at in measures)
        rows.append((*(members[0][at] for at in keys), len(members), *sums))
    return RowSet(columns, tuple(rows))


def _is_measure(found: RowSet, at: int, name: str, by: Sequence[str]) -> bool:
    cells = [row[at] for row in found.rows]
    numbers = [cell for cell in cells if isinstance(cell, int | float)]
    return name not in by and bool(numbers) and not any(isinstance(cell, bool) for cell in cells)


def _combine(name: str, cells: Sequence[Cell]) -> Cell:
    numbers = [cell for cell in cells if isinstance(cell, int | float)]
    if name.startswith(MAXIMUM_PREFIXES):
        return max(numbers, default=None)
    return round(sum(numbers), 3)


def _order(found: RowSet, ordering: Ordering) -> RowSet:
    at = found.column_index(ordering.column)

    def key(row: tuple[Cell, ...]) -> tuple[bool, float, str]:
        cell = row[at]
        if isinstance(cell, int | float):
            return (False, cell, "")
        return (True, 0.0, str(cell))

    return RowSet(found.columns, tuple(sorted(found.rows, key=key, reverse=ordering.descending)))
