"""Raises and clears alarms, and returns an order for each change."""

from cactuspass._messages import AlarmChanged, AlarmKind
from cactuspass._tables import AlarmRow, Tables


def raise_alarm(
    tables: Tables, kind: AlarmKind, subject: str, detail: str, now: float
) -> list[AlarmChanged]:
    """Raise an alarm.

    :return: the order that reports the change; empty if the alarm is already raised.
    """
    if (kind, subject) in tables.alarms_by_key:
        return []
    tables.alarms_by_key[kind, subject] = AlarmRow(kind, subject, now, detail)
    return [AlarmChanged(kind, subject, raised=True, detail=detail)]


def clear_alarm(tables: Tables, kind: AlarmKind, subject: str) -> list[AlarmChanged]:
    """Clear an alarm.

    :return: the order that reports the change; empty if the alarm is not raised.
    """
    if tables.alarms_by_key.pop((kind, subject), None) is None:
        return []
    return [AlarmChanged(kind, subject, raised=False)]


def set_alarm(
    tables: Tables, kind: AlarmKind, subject: str, detail: str, now: float
) -> list[AlarmChanged]:
    """Raise an alarm or update its detail; clear it if the detail is empty."""
    if not detail:
        return clear_alarm(tables, kind, subject)
    row = tables.alarms_by_key.get((kind, subject))
    if row is not None:
        row.detail = detail
    return raise_alarm(tables, kind, subject, detail, now)
