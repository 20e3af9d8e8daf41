"""Evidence on which shared part of a prompt makes upstreams crash.

A part is accused when an upstream closes the connection of a request with it, and cleared when an
answer on it comes far enough. There are two kinds of such evidence, which one class holds:

- Crashes before an answer has begun are contradicted by any answer that begins.
- Crashes behind that are contradicted by whole answers only. Every stream at the upstream breaks at
  the same moment, so such a crash says less about each of them, and one more is needed.

One crash accuses the parts of all requests that were under way, so a part is blamed only after it
has been present at several crashes one after another, each of a request that was sent after the
crash before, and more often than the others. Upstreams that are lost together look the same to a
request that is repeated from one to the next, so crashes at which no head of an answer had arrived
count less, and still less if all are of one request.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from operator import itemgetter

from cactuspass.fleet._upstreams import Lifetime
from cactuspass.fleet.prompt_parts._parts import AnswerStage, CrashReport, PartKey
from cactuspass.fleet.prompt_parts._recent_breaks import RecentBreaks
from cactuspass.models import EntryId

MIN_ROUNDS_BY_STAGE = {AnswerStage.BEGUN: 2, AnswerStage.WHOLE: 3}
# A part on which an answer came far enough so recently is not accused.
CLEARED_SECONDS = 10.0
EVIDENCE_SECONDS = 600.0
MAX_CLEARED_PARTS = 4096
MAX_CLEARED_PER_PROMPT = 64
MAX_ACCUSED_PARTS = 4096
MAX_CRASHES = 128
MAX_REPORTED_PARTS = 32_768  # in the reports on all crashes
MAX_CRASHES_PER_PART = 16
MAX_REPORTS_PER_CRASH = 64
MAX_NAMED_INSTANCES = 8  # a block has to fit into a datagram


@dataclass(slots=True)
class Tally:
    """The crashes at which a part was present since it was last cleared.

    :param rounds: crashes one after another; those of requests under way at once count as one.
    :param accused_at: clock value of the last report.
    :param was_writing: whether the head of an answer had arrived at any of the crashes.
    :param spans_by_lifetime: clock values at which a request was sent to each crashed upstream, and
        at which that crashed.
    """

    rounds: int = 0
    accused_at: float = float("-inf")
    was_writing: bool = False
    spans_by_lifetime: dict[Lifetime, tuple[float, float]] = field(default_factory=dict)
    instances: set[EntryId] = field(default_factory=set)

    @property
    def lifetimes(self) -> set[Lifetime]:
        """The upstreams that crashed."""
        return set(self.spans_by_lifetime)

    def add(self, report: CrashReport) -> None:
        """Add a crash."""
        self.accused_at = max(self.accused_at, report.broke_at)
        self.was_writing = self.was_writing or report.was_writing
        is_known = report.lifetime in self.spans_by_lifetime
        if not is_known and len(self.spans_by_lifetime) < MAX_CRASHES_PER_PART:
            self.spans_by_lifetime[report.lifetime] = (report.sent_at, report.broke_at)
            self._count_rounds()
        if len(self.instances) < MAX_NAMED_INSTANCES:
            self.instances.add(report.instance)

    def remove(self, lifetime: Lifetime) -> bool:
        """Remove a crash that was none; return whether none is left."""
        if self.spans_by_lifetime.pop(lifetime, None) is not None:
            self._count_rounds()
        return not self.spans_by_lifetime

    def _count_rounds(self) -> None:
        """Count the crashes one after another, whatever the order in which they became known."""
        self.rounds, last_broke_at = 0, float("-inf")
        for sent_at, broke_at in sorted(self.spans_by_lifetime.values(), key=itemgetter(1)):
            if sent_at >= last_broke_at:
                self.rounds += 1
                last_broke_at = broke_at


@dataclass(frozen=True, slots=True)
class Cause:
    """Parts that are blamed for crashes.

    :param keys: usually one part; several if all requests had them together.
    :param instances: the first of the instances that reported the crashes.
    """

    keys: tuple[PartKey, ...]
    crashes: int
    instances: tuple[EntryId, ...]


class Doubt(Enum):
    """Why no part is blamed for a crash."""

    TOO_FEW_CRASHES = "too-few-crashes"
    ONE_REQUEST = "all-crashes-of-one-request"
    TOO_MANY_PARTS = "too-many-parts-without-an-answer"
    OTHER_PROMPT = "another-prompt-explains-it"
    OTHER_UPSTREAMS = "other-upstreams-broke-too"
    STILL_RUNNING = "upstream-still-running"


class CrashEvidence:
    """Accusations and clearances of parts, bounded in number; the oldest are forgotten.

    :param stage: how far an answer has to come to clear its parts.
    :param breaks: which upstreams have broken connections lately.
    """

    def __init__(
        self,
        stage: AnswerStage = AnswerStage.BEGUN,
        breaks: RecentBreaks | None = None,
    ) -> None:
        self._stage = stage
        self._breaks = breaks if breaks is not None else RecentBreaks()
        self._cleared_at_by_part: OrderedDict[PartKey, float] = OrderedDict()
        self._tallies_by_part: OrderedDict[PartKey, Tally] = OrderedDict()
        self._reports_by_lifetime: OrderedDict[Lifetime, list[CrashReport]] = OrderedDict()
        self._reported_part_count = 0

    @property
    def min_rounds(self) -> int:
        """Crashes one after another that are needed to blame a part."""
        return MIN_ROUNDS_BY_STAGE[self._stage]

    def clear(self, keys: Iterable[PartKey], at: float) -> list[PartKey]:
        """Record that an answer on some parts came far enough; return those that were accused.

        :param at: clock value at which it did, which may be some seconds ago.
        """
        accused = []
        for key in self._choose_cleared(tuple(keys)):
            if at < self.cleared_at(key):
                continue
            self._cleared_at_by_part[key] = at
            self._cleared_at_by_part.move_to_end(key)
            tally = self._tallies_by_part.get(key)
            if tally is not None and tally.accused_at - at <= CLEARED_SECONDS:
                del self._tallies_by_part[key]
                accused.append(key)
        while len(self._cleared_at_by_part) > MAX_CLEARED_PARTS:
            self._cleared_at_by_part.popitem(last=False)
        return accused

    def _choose_cleared(self, keys: tuple[PartKey, ...]) -> tuple[PartKey, ...]:
        """Return the parts to keep as cleared; of very many, those that are accused and some more.

        Otherwise one prompt could displace what is known of all others.
        """
        if len(keys) <= MAX_CLEARED_PER_PROMPT:
            return keys
        accused = {key for key in keys if key in self._tallies_by_part}
        return tuple(accused | set(random.sample(keys, MAX_CLEARED_PER_PROMPT)))

    def is_known_harmless(self, keys: Iterable[PartKey], at: float) -> bool:
        """Return whether all parts were cleared recently and none was accused since."""
        known = tuple(keys)
        is_accused = any(key in self._tallies_by_part for key in known)
        return not is_accused and not self.without_cleared(known, at)

    def find_doubtful(self, keys: Iterable[PartKey], at: float) -> tuple[PartKey, ...]:
        """Return the parts that could be blamed for the next crash."""
        return tuple(key for key in keys if self.rounds(key, at) >= self.min_rounds - 1)

    def cleared_at(self, key: PartKey) -> float:
        """Return the clock value at which a part was last cleared."""
        return self._cleared_at_by_part.get(key, float("-inf"))

    def without_cleared(self, keys: Iterable[PartKey], at: float) -> tuple[PartKey, ...]:
        """Return the parts that were not cleared recently."""
        since = at - CLEARED_SECONDS
        return tuple(key for key in keys if self.cleared_at(key) < since)

    def rounds(self, key: PartKey, at: float) -> int:
        """Return at how many crashes one after another a part was present."""
        tally = self._tallies_by_part.get(key)
        if tally is None or at - tally.accused_at > EVIDENCE_SECONDS:
            return 0
        return tally.rounds

    def accused_at(self, key: PartKey) -> float:
        """Return the clock value at which a part was last accused."""
        tally = self._tallies_by_part.get(key)
        return tally.accused_at if tally is not None else float("-inf")

    def accuse(self, report: CrashReport) -> list[PartKey]:
        """Add a report; return the parts that were not accused before.

        A report without some of the parts accuses none: those that it names could be blamed for
        one that it does not name.
        """
        self._breaks.note(report.lifetime.upstream_id, report.broke_at)
        self._add_report(report)
        if not report.is_complete:
            return []
        new = []
        for key in self.without_cleared(report.keys, report.broke_at):
            if not self.rounds(key, report.broke_at):
                self._tallies_by_part[key] = Tally()
                new.append(key)
            self._tallies_by_part[key].add(report)
            self._tallies_by_part.move_to_end(key)
        while len(self._tallies_by_part) > MAX_ACCUSED_PARTS:
            self._tallies_by_part.popitem(last=False)
        return new

    def _add_report(self, report: CrashReport) -> None:
        reports = self._reports_by_lifetime.setdefault(report.lifetime, [])
        self._reports_by_lifetime.move_to_end(report.lifetime)
        if len(reports) < MAX_REPORTS_PER_CRASH:
            reports.append(report)
            self._reported_part_count += len(report.keys)
        while (
            len(self._reports_by_lifetime) > MAX_CRASHES
            or self._reported_part_count > MAX_REPORTED_PARTS
        ):
            self._forget_reports(next(iter(self._reports_by_lifetime)))

    def _forget_reports(self, lifetime: Lifetime) -> list[CrashReport]:
        """Remove and return the reports on a crash."""
        reports = self._reports_by_lifetime.pop(lifetime, [])
        self._reported_part_count -= sum(len(report.keys) for report in reports)
        return reports

    def withdraw(self, lifetime: Lifetime) -> None:
        """Forget what was reported of an upstream that has not crashed."""
        for report in self._forget_reports(lifetime):
            for key in report.keys:
                tally = self._tallies_by_part.get(key)
                if tally is not None and tally.remove(lifetime):
                    del self._tallies_by_part[key]

    def find_cause(
        self, report: CrashReport, at: float, is_known_elsewhere: bool = False
    ) -> Cause | Doubt:
        """Return the parts of a request that are to blame for its crash, or why none is.

        :param report: a crash all reports of which have arrived.
        :param is_known_elsewhere: whether a part is blocked for another model, so that one crash
            less is needed.

        One crash more is needed if the head of an answer had arrived at none of them, and two more
        if these are of one request.
        """
        min_rounds = self.min_rounds - is_known_elsewhere
        if not report.is_complete:
            return Doubt.TOO_MANY_PARTS
        rounds_by_key = {key: self.rounds(key, at) for key in report.keys}
        most = max(rounds_by_key.values(), default=0)
        if most < min_rounds:
            return Doubt.TOO_FEW_CRASHES
        blamed = tuple(sorted(key for key, rounds in rounds_by_key.items() if rounds == most))
        tallies = [self._tallies_by_part[key] for key in blamed]
        lifetimes = set.union(*(tally.lifetimes for tally in tallies))
        weight = most if all(tally.was_writing for tally in tallies) else most - 1
        if weight < min_rounds:
            return Doubt.TOO_FEW_CRASHES
        is_weak = weight < most or self._stage is AnswerStage.WHOLE
        if is_weak and self._is_of_one_request(blamed, lifetimes):
            weight -= 1
        if weight < min_rounds:
            return Doubt.ONE_REQUEST
        if self._has_rival(report, blamed, most, at):
            return Doubt.OTHER_PROMPT
        upstream_ids = {lifetime.upstream_id for lifetime in lifetimes}
        is_singled_out = report.was_writing and self._stage is AnswerStage.BEGUN
        if self._breaks.count_others(upstream_ids, at) > _max_other_breaks(weight, is_singled_out):
            return Doubt.OTHER_UPSTREAMS
        return Cause(
            blamed,
            len(lifetimes),
            tuple(sorted(set.union(*(tally.instances for tally in tallies))))[:MAX_NAMED_INSTANCES],
        )

    def _is_of_one_request(self, blamed: tuple[PartKey, ...], lifetimes: set[Lifetime]) -> bool:
        """Return whether only one request with the blamed parts was at some crashes."""
        reports = chain.from_iterable(
            self._reports_by_lifetime.get(lifetime, ()) for lifetime in lifetimes
        )
        requests = {report.request for report in reports if set(blamed) <= set(report.keys)}
        return len(requests) < 2

    def _has_rival(
        self, report: CrashReport, blamed: tuple[PartKey, ...], most: int, at: float
    ) -> bool:
        """Return whether a request without the blamed parts explains the crash as well."""
        accused = [
            other
            for other in self._reports_by_lifetime.get(report.lifetime, ())
            if other.request != report.request and any(self.rounds(key, at) for key in other.keys)
        ]
        if not report.was_writing and any(other.was_writing for other in accused):
            return True
        others = [other for other in accused if not set(blamed) & set(other.keys)]
        if report.was_writing:
            others = [other for other in others if other.was_writing]
        return any(self.rounds(key, at) >= most for other in others for key in other.keys)


def _max_other_breaks(weight: int, is_singled_out: bool) -> int:
    """Return how many upstreams may have broken connections besides those of a blamed part.

    When a rack or a data centre is lost, or an instance loses its network, many break at once and
    a part is present at few of them. More are allowed with each crash.

    :param is_singled_out: whether the upstream had begun to answer just the blamed request.
    """
    return max(0, int(2 ** (weight + is_singled_out)) - 3)
