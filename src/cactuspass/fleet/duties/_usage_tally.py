"""Counts of all instances, as far as this instance has received them."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from cactuspass.fleet.duties._usage_messages import UsageAnswer
from cactuspass.fleet.duties._windows import Windows
from cactuspass.models import CustomerId, EntryId

# An answer that states a later window comes from a clock that is wrong.
MAX_WINDOWS_AHEAD = 2

Source = tuple[EntryId, int]


class UsageTally:
    """Adds up the cumulative counts of the runs of all instances.

    Messages may arrive twice or in any order, since counts of one run only rise. The counts of a
    run that has ended are kept.
    """

    def __init__(self, windows: Windows) -> None:
        self._windows = windows
        self._counts_by_window: defaultdict[int, dict[tuple[Source, CustomerId], int]] = (
            defaultdict(dict)
        )
        self._fences_by_source: dict[Source, int] = {}

    def add(self, answer: UsageAnswer, at: float) -> None:
        """Add the counts of a message; windows that no report needs any more are left out.

        :param at: current time in Unix seconds.
        """
        first, last = self._windows.first_kept(at), self._windows.at(at) + MAX_WINDOWS_AHEAD
        self._remove_before(first)
        source = (answer.instance, answer.lifetime)
        self._fences_by_source[source] = max(answer.fence, self._fences_by_source.get(source, 0))
        for window, counts in answer.counts:
            if not first <= window <= last:
                continue
            known = self._counts_by_window[window]
            for customer, count in counts.items():
                key = (source, customer)
                known[key] = max(count, known.get(key, 0))

    def total(self, window: int) -> dict[CustomerId, int]:
        """Return the counts of all instances in a window, by customer."""
        totals: Counter[CustomerId] = Counter()
        for (_, customer), count in self._counts_by_window.get(window, {}).items():
            totals[customer] += count
        return dict(totals)

    def ended_runs(self, fence: int) -> list[Source]:
        """Return the runs that have answered an earlier holder, but not the present one."""
        return [source for source, known in self._fences_by_source.items() if known < fence]

    def counts_of(self, source: Source, first_window: int) -> dict[int, dict[CustomerId, int]]:
        """Return the counts of one run, from a window on."""
        return {
            window: counts
            for window, known in self._counts_by_window.items()
            if window >= first_window
            and (counts := {customer: n for (run, customer), n in known.items() if run == source})
        }

    def _remove_before(self, first_window: int) -> None:
        old = [window for window in self._counts_by_window if window < first_window]
        for window in old:
            del self._counts_by_window[window]
        if old:
            left = {run for known in self._counts_by_window.values() for run, _ in known}
            for source in self._fences_by_source.keys() - left:
                del self._fences_by_source[source]


class AnswerProgress:
    """Which instances have answered the holder's queries completely, and until when.

    :param fence: fence number of the queries.
    """

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.rounds = 0
        self._asked_at_by_number: dict[int, float] = {}
        self._parts_by_source: dict[tuple[Source, int], set[int]] = {}
        self._answered_until: dict[EntryId, float] = {}

    def begin_round(self, true_time: float, max_open: int) -> int:
        """Return the number of a new query.

        :param true_time: time that the query states.
        :param max_open: number of queries for which answers are still accepted.
        """
        self.rounds += 1
        self._asked_at_by_number[self.rounds] = true_time
        oldest = self.rounds - max_open
        self._asked_at_by_number.pop(oldest, None)
        for key in [key for key in self._parts_by_source if key[1] <= oldest]:
            del self._parts_by_source[key]
        return self.rounds

    def note(self, answer: UsageAnswer) -> None:
        """Record a part of an answer."""
        asked_at = self._asked_at_by_number.get(answer.number)
        if answer.fence != self.fence or asked_at is None:
            return
        key = ((answer.instance, answer.lifetime), answer.number)
        parts = self._parts_by_source.setdefault(key, set())
        parts.add(answer.part)
        if len(parts) >= answer.parts:
            self.note_complete(answer.instance, asked_at)

    def note_complete(self, instance: EntryId, until: float) -> None:
        """Record that the counts of an instance are complete until a time.

        :param until: Unix seconds.
        """
        known = self._answered_until.get(instance, until)
        self._answered_until[instance] = max(until, known)

    def lacking(self, instances: Iterable[EntryId], since: float) -> list[EntryId]:
        """Return the instances that have not answered a query sent after a time completely.

        :param since: Unix seconds.
        """
        return [
            instance
            for instance in instances
            if self._answered_until.get(instance, float("-inf")) < since
        ]
