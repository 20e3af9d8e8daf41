"""The evidence on parts of prompts at each stage of an answer."""

from collections.abc import Iterable

from cactuspass.fleet._upstreams import Lifetime, UpstreamId
from cactuspass.fleet.prompt_parts._crash_evidence import CrashEvidence
from cactuspass.fleet.prompt_parts._parts import AnswerStage, CrashReport, PartKey
from cactuspass.fleet.prompt_parts._recent_breaks import RecentBreaks


class StagedEvidence:
    """Two kinds of evidence: contradicted by answers that begin, or by whole answers only."""

    def __init__(self) -> None:
        self.breaks = RecentBreaks()
        self._evidence_by_stage = {
            stage: CrashEvidence(stage, self.breaks) for stage in AnswerStage
        }

    def at_stage(self, stage: AnswerStage) -> CrashEvidence:
        """Return the evidence that is contradicted by answers which come as far as a stage."""
        return self._evidence_by_stage[stage]

    def accuse(self, report: CrashReport) -> list[PartKey]:
        """Add a report; return the parts that were not accused before.

        A crash before the answer had begun also counts among those at any time.
        """
        new = self.at_stage(report.stage).accuse(report)
        if report.stage is AnswerStage.BEGUN:
            self.at_stage(AnswerStage.WHOLE).accuse(report)
        return new

    def withdraw(self, lifetime: Lifetime) -> None:
        """Forget what was reported of an upstream that has not crashed."""
        for evidence in self._evidence_by_stage.values():
            evidence.withdraw(lifetime)

    def is_known_harmless(self, keys: Iterable[PartKey], at: float) -> bool:
        """Return whether answers have begun on all parts recently, and none is in doubt."""
        known = tuple(keys)
        if self.at_stage(AnswerStage.WHOLE).find_doubtful(known, at):
            return False
        return self.at_stage(AnswerStage.BEGUN).is_known_harmless(known, at)

    def rounds(self, key: PartKey, at: float) -> int:
        """Return at how many crashes one after another a part was present, at most."""
        return max(evidence.rounds(key, at) for evidence in self._evidence_by_stage.values())

    def have_others_broken(self, upstream_ids: Iterable[UpstreamId], at: float) -> bool:
        """Return whether other upstreams than some have broken connections lately."""
        return self.breaks.count_others(set(upstream_ids), at) > 0
