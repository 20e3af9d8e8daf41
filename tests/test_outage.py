"""Tests of a long platform outage, in which models are served and claims are refused."""

import json

from tests.fleet_case import FleetCase
from tests.invariants import no_over_admission, no_partial_group, not_run
from trial.calls import send_booking, unary_completion
from trial.fleet import FleetPlan


class OutageTest(FleetCase):
    plan = FleetPlan(has_relays=True, engines=2)

    def tearDown(self) -> None:
        self.fleet.heal()

    def test_models_are_served_and_claims_refused_as_not_run(self) -> None:
        entries = self.fleet.entries_by_name
        self.fleet.isolate(list(entries), ["platform"])
        address = entries["fukuoka-0"].callers
        self.wait(
            lambda: send_booking(address, "outage", "toy").status == 503, "claims are refused"
        )
        refusal = json.loads(send_booking(address, "outage", "toy").body)
        self.assertEqual(refusal["run"], "not-run")
        for entry in entries.values():
            unary_completion(entry.callers, f"question at {entry.name}")
        counts = self.counts()
        self.assert_no_violations([*not_run(counts, ["outage"]), *no_over_admission(counts)])
        self.assert_no_violations(no_partial_group(counts))
        self.fleet.heal()
        self.wait(lambda: send_booking(address, "outage", "toy").status == 200, "the retry runs")
        self.assertEqual(self.counts().merged("runs_by_idempotency_key")["outage"], 1)

    def test_take_out_during_outage_is_in_force_and_committed_later(self) -> None:
        entries = self.fleet.entries_by_name
        self.fleet.isolate(list(entries), ["platform"])
        answer = self.order("take out data centre kumamoto")
        self.assertEqual((answer.revision, answer.not_confirmed), (0, ()))
        before = self.counts().total("arrived", "kumamoto-")
        for entry in entries.values():
            unary_completion(entry.callers, f"question at {entry.name}")
        self.assertEqual(self.counts().total("arrived", "kumamoto-"), before)
        self.fleet.heal()
        self.wait(
            lambda: [row["committed"] for row in self.fleet.rows("take outs")] == [True],
            "the platform has the take-out",
        )
        self.order("return data centre kumamoto")
