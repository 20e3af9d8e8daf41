"""The evidence on parts of prompts: its bounds, and what is forgotten first."""

import unittest
from dataclasses import replace

from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._crash_evidence import (
    CLEARED_SECONDS,
    EVIDENCE_SECONDS,
    MAX_ACCUSED_PARTS,
    MAX_CLEARED_PARTS,
    MAX_CRASHES,
    MAX_CRASHES_PER_PART,
    MAX_REPORTED_PARTS,
    MAX_REPORTS_PER_CRASH,
    Cause,
    CrashEvidence,
    Doubt,
)
from cactuspass.fleet.prompt_parts._parts import AnswerStage, CrashReport
from cactuspass.fleet.prompt_parts._recent_breaks import BREAK_WINDOW_SECONDS, MAX_BREAKS
from cactuspass.models import CustomerId, EntryId, RequestId
from tests.part_world import CUSTOMER, part_key

AT = 1000.0


def report(
    upstream: str,
    at: float,
    *parts: str,
    sent_ago: float = 0.1,
    was_writing: bool = True,
    born_ms: int = 1,
    customer: str = CUSTOMER,
    request: str = "q1",
) -> CrashReport:
    """Return a report on a crash."""
    return CrashReport(
        tuple(map(part_key, parts)),
        CustomerId(customer),
        Lifetime(UpstreamId(upstream), born_ms),
        at - sent_ago,
        at,
        was_writing,
        EntryId("i1"),
        RequestId(request),
    )


class RoundsTest(unittest.TestCase):
    """What counts as a crash of its own."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def rounds_after(self, *reports: CrashReport) -> int:
        """Return the rounds of the part after some reports."""
        for each in reports:
            self.evidence.accuse(each)
        return self.evidence.rounds(part_key("bb"), reports[-1].broke_at)

    # Guards against one crash that counts as several because several requests were under way.
    def test_reports_on_one_crash_count_once(self) -> None:
        reports = [report("u1", AT + number / 1000, "bb") for number in range(5)]
        self.assertEqual(self.rounds_after(*reports), 1)

    # Guards against hedges and simultaneous requests that count as a second crash.
    def test_request_sent_before_the_last_crash_adds_no_round(self) -> None:
        later = report("u2", AT + 0.2, "bb", sent_ago=0.3)
        self.assertEqual(self.rounds_after(report("u1", AT, "bb"), later), 1)

    # Guards against an upstream that crashes again and again and counts as one.
    def test_two_lives_of_one_upstream_are_two_crashes(self) -> None:
        later = report("u1", AT + 5, "bb", born_ms=2)
        self.assertEqual(self.rounds_after(report("u1", AT, "bb"), later), 2)

    # Guards against evidence that is added to what happened long ago.
    def test_old_evidence_is_not_counted(self) -> None:
        later = report("u2", AT + EVIDENCE_SECONDS + 1, "bb")
        self.assertEqual(self.rounds_after(report("u1", AT, "bb"), later), 1)

    # Guards against an answer that clears a part for ever.
    def test_clearance_ends_after_some_time(self) -> None:
        self.evidence.clear([part_key("bb")], AT)
        early = report("u1", AT + CLEARED_SECONDS - 1, "bb")
        self.assertEqual(self.rounds_after(early), 0)
        late = report("u2", AT + CLEARED_SECONDS + 1, "bb")
        self.assertEqual(self.rounds_after(late), 1)

    # Guards against a block while many upstreams break, and against none long afterwards.
    def test_other_broken_upstreams_prevent_a_verdict_for_a_while(self) -> None:
        for number in range(6):
            self.evidence._breaks.note(UpstreamId(f"other-{number}"), AT)
        for number in (1, 2):
            last = report(f"u{number}", AT + number, "bb")
            self.evidence.accuse(last)
        found = self.evidence.find_cause(last, AT + 2.1)
        self.assertIs(found, Doubt.OTHER_UPSTREAMS)
        later = self.evidence.find_cause(last, AT + BREAK_WINDOW_SECONDS + 0.1)
        assert isinstance(later, Cause)
        self.assertEqual((later.keys, later.crashes), ((part_key("bb"),), 2))


class OneRequestTest(unittest.TestCase):
    """Crashes at which no head of an answer had arrived, all of one request."""

    def crash(self, count: int) -> tuple[CrashEvidence, CrashReport]:
        """Return the evidence after some crashes one after another, and the last report."""
        evidence = CrashEvidence()
        for number in range(count):
            last = report(f"u{number}", AT + number, "bb", was_writing=False)
            evidence.accuse(last)
        return evidence, last

    # Guards against a block on a part whose only request was at three upstreams of a lost rack.
    def test_three_crashes_of_one_request_are_not_enough(self) -> None:
        evidence, last = self.crash(3)
        self.assertIs(evidence.find_cause(last, last.broke_at), Doubt.ONE_REQUEST)

    # Guards against a part whose crashes have no head and are never blamed.
    def test_next_request_or_next_crash_is_enough(self) -> None:
        evidence, last = self.crash(4)
        self.assertIsInstance(evidence.find_cause(last, last.broke_at), Cause)
        evidence, last = self.crash(2)
        other = report("u9", last.broke_at + 1, "bb", was_writing=False, request="q2")
        evidence.accuse(other)
        self.assertIsInstance(evidence.find_cause(other, other.broke_at), Cause)


class LaterCrashTest(unittest.TestCase):
    """Crashes behind the beginning of an answer, at which all streams of an upstream break."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence(AnswerStage.WHOLE)

    def crash(self, *requests: str) -> Cause | Doubt:
        """Return the verdict after one crash for each request."""
        for number, request in enumerate(requests):
            last = report(f"u{number}", AT + number, "bb", request=request)
            self.evidence.accuse(replace(last, stage=AnswerStage.WHOLE))
        return self.evidence.find_cause(last, last.broke_at)

    # Guards against a part that was at two crashes by chance and is blamed.
    def test_two_crashes_are_not_enough(self) -> None:
        self.assertIs(self.crash("q1", "q2"), Doubt.TOO_FEW_CRASHES)

    # Guards against a stream that was resumed at two upstreams that were lost after the first.
    def test_three_crashes_of_one_request_are_not_enough(self) -> None:
        self.assertIs(self.crash("q1", "q1", "q1"), Doubt.ONE_REQUEST)

    # Guards against a part that is never blamed, since a request crashes two upstreams at most.
    def test_three_crashes_of_two_requests_are_enough(self) -> None:
        self.assertIsInstance(self.crash("q1", "q1", "q2"), Cause)

    # Guards against a block for streams that broke when a rack or a data centre was lost.
    def test_other_broken_upstreams_prevent_the_verdict(self) -> None:
        for number in range(6):
            self.evidence._breaks.note(UpstreamId(f"other-{number}"), AT + 2.0)
        self.assertIs(self.crash("q1", "q1", "q2"), Doubt.OTHER_UPSTREAMS)


class BoundsTest(unittest.TestCase):
    """Callers choose the parts, so memory must not depend on their number."""

    # Guards against memory that grows with each new part.
    def test_thousands_of_parts_and_crashes_are_forgotten_the_oldest_first(self) -> None:
        evidence = CrashEvidence()
        count = 2 * MAX_CLEARED_PARTS
        for number in range(count):
            at = AT + number / 100
            evidence.clear([part_key(f"good-{number}")], at)
            evidence.accuse(report(f"u{number}", at, f"bad-{number}"))
        lengths = (
            len(evidence._cleared_at_by_part),
            len(evidence._tallies_by_part),
            len(evidence._reports_by_lifetime),
            len(evidence._breaks),
        )
        self.assertEqual(lengths, (MAX_CLEARED_PARTS, MAX_ACCUSED_PARTS, MAX_CRASHES, MAX_BREAKS))
        at = AT + count / 100
        self.assertEqual(evidence.rounds(part_key(f"bad-{count - 1}"), at), 1)
        self.assertEqual(evidence.rounds(part_key("bad-0"), at), 0)
        self.assertTrue(evidence.is_known_harmless([part_key(f"good-{count - 1}")], at))
        self.assertFalse(evidence.is_known_harmless([part_key("good-0")], at))

    # Guards against memory that grows with the crashes of one part, or with one crash's reports.
    def test_evidence_on_one_part_is_bounded(self) -> None:
        evidence = CrashEvidence()
        for number in range(3000):
            at = AT + number / 100
            evidence.accuse(report(f"u{number}", at, "bb", customer=f"c{number}"))
            evidence.accuse(report("u", AT, f"p{number}", customer=f"c{number}"))
        tally = evidence._tallies_by_part[part_key("bb")]
        sizes = (len(tally.lifetimes), len(tally.instances))
        self.assertLessEqual(max(sizes), MAX_CRASHES_PER_PART)
        reports = evidence._reports_by_lifetime[Lifetime(UpstreamId("u"), 1)]
        self.assertEqual(len(reports), MAX_REPORTS_PER_CRASH)

    # Guards against memory that grows with the number of parts in the prompts of crashed requests.
    def test_parts_of_all_reports_together_are_bounded(self) -> None:
        evidence = CrashEvidence()
        for number in range(100):
            parts = [f"{number}-{part}" for part in range(1000)]
            evidence.accuse(report(f"u{number}", AT + number, *parts))
            if number % 7 == 0:
                evidence.withdraw(Lifetime(UpstreamId(f"u{number}"), 1))
        kept = sum(
            len(each.keys) for some in evidence._reports_by_lifetime.values() for each in some
        )
        self.assertEqual(kept, evidence._reported_part_count)
        self.assertLessEqual(kept, MAX_REPORTED_PARTS)
        self.assertIn(Lifetime(UpstreamId("u99"), 1), evidence._reports_by_lifetime)


if __name__ == "__main__":
    unittest.main()
