"""Shows what an instance knows of the duties of one instance at a time."""

from collections.abc import Iterable
from dataclasses import dataclass

from cactuspass._output import as_table
from cactuspass._rows import row_set
from cactuspass.fleet.duties._count_orders import SentOrder, Subject, WantedCount

DUTIES_PATH = "/duties"


@dataclass(frozen=True, slots=True)
class HolderRow:
    """The state of the holder.

    :param state: ``holder``, ``waiting`` at the start of a term, or ``none`` on other instances.
    :param since_seconds: seconds since the start of the term.
    """

    state: str
    fence: int | None
    since_seconds: float | None


@dataclass(frozen=True, slots=True)
class UsageRow:
    """The reports of windows.

    :param window: last window that this instance has sent.
    :param outcome: outcome of the call.
    :param age_seconds: seconds since then.
    :param current_window: window that the current time is in.
    :param next_window: first window whose content is not fixed yet.
    :param unsent: fixed windows that the platform has not accepted.
    :param lacking: registered instances that did not answer the last queries.
    """

    window: int | None
    outcome: str | None
    age_seconds: float | None
    current_window: int
    next_window: int
    unsent: int
    lacking: int


@dataclass(frozen=True, slots=True)
class CountRow:
    """The number of upstreams that is wanted, and the last order.

    :param ordered: number in the last order of this instance.
    :param age_seconds: seconds since the last order.
    """

    service: str
    data_centre: str
    wanted: int | None
    reason: str
    ordered: int | None
    outcome: str | None
    age_seconds: float | None


def count_rows(
    wanted_by_subject: dict[Subject, WantedCount],
    sent_by_subject: dict[Subject, SentOrder],
    at: float,
) -> list[CountRow]:
    """Return the wanted and ordered numbers, ordered by service and data centre.

    :param at: current clock value.
    """
    return [
        _count_row(subject, wanted_by_subject.get(subject), sent_by_subject.get(subject), at)
        for subject in sorted(wanted_by_subject.keys() | sent_by_subject.keys())
    ]


def _count_row(
    subject: Subject, wanted: WantedCount | None, sent: SentOrder | None, at: float
) -> CountRow:
    shown = wanted or (sent.wanted if sent is not None else None)
    return CountRow(
        *subject,
        wanted.count if wanted is not None else None,
        shown.reason if shown is not None else "",
        sent.wanted.count if sent is not None else None,
        sent.outcome.value if sent is not None else None,
        round(at - sent.at, 1) if sent is not None else None,
    )


def duties_page(holder: HolderRow, usage: UsageRow | None, counts: Iterable[CountRow]) -> bytes:
    """Return the page of an instance that shows the duties.

    :param usage: None if usage is not reported.
    """
    tables = [row_set(HolderRow, (holder,))]
    if usage is not None:
        tables.append(row_set(UsageRow, (usage,)))
    tables.append(row_set(CountRow, counts))
    return "\n\n".join(map(as_table, tables)).encode() + b"\n"
