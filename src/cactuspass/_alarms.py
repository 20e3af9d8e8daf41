"""Raises and clears alarms, with one order for each change."""

from collections.abc import Iterator

from cactuspass._messages import AlarmChanged, AlarmKind
from cactuspass._tables import AlarmRow, Tables


def set_alarm(
    tables: Tables, kind: AlarmKind, subject: str, detail: str, now: float
) -> Iterator[AlarmChanged]:
    """Raise an alarm unless it is raised already; an empty detail clears it."""
    row = tables.alarms_by_key.get((kind, subject))
    if detail and row is None:
        tables.alarms_by_key[kind, subject] = AlarmRow(kind, subject, now, detail)
        yield AlarmChanged(kind, subject, True, detail)
    elif detail and row is not None:
        row.detail = detail
    elif row is not None:
        del tables.alarms_by_key[kind, subject]
        yield AlarmChanged(kind, subject, False)
