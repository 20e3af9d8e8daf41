"""On real processes: answers are complete and not mixed up, and refused requests have not run."""

import asyncio
import signal

from cactuspass_standins._client_load import ChatWorkload, LoadGenerator, LoadSettings
from tests.fleet_case import FleetCase
from tests.invariants import no_double_send, no_over_admission, no_partial_group
from tests.raw_calls import ConcurrentCalls, Reply, open_stream, post, post_completion, post_loan
from trial.fleet import API_KEY, MODEL, FleetPlan

LONG_ANSWER_TOKENS = 400


class AnswersTest(FleetCase):
    plan = FleetPlan(
        data_centres=("a", "b"),
        entries=2,
        engines=2,
        has_relays=True,
        service_settings={"latency": 0.02},
    )

    def setUp(self) -> None:
        self.entries = self.fleet.entries_by_name
        self.callers = {name: entry.callers for name, entry in self.entries.items()}

    def tearDown(self) -> None:
        self.fleet.heal()
        for name, entry in self.entries.items():
            assert entry.child is not None
            entry.child.send(signal.SIGCONT)
            if not entry.child.is_running:
                self.fleet.start_entry(name)
        for name in self.entries:
            self.fleet.wait_ready(name)
            self.fleet.wait_seated(name)
        if self.fleet.rows("take outs", "b-0"):
            self.order("return data centre a", "b-0")
        self.wait(
            lambda: all(len(self.serving(name)) == 2 for name in self.entries),
            "all entries report both groups as serving",
        )

    def serve_from_b_only(self) -> None:
        """Take out data centre a, so that its entries forward every request."""
        self.order("take out data centre a", "b-0")

    def holder_in_b(self) -> str:
        return str(next(row["holder"] for row in self.serving("b-0") if row["data_centre"] == "b"))

    def test_many_answers_at_once_are_whole_and_own(self) -> None:
        load = LoadGenerator(
            [f"http://{address}" for address in self.callers.values()],
            ChatWorkload(model=MODEL, streamed_share=0.5),
            LoadSettings(rate=60, count=60, customers=(API_KEY,)),
        )
        report = asyncio.run(load.run())
        self.assertEqual(
            (report.complete_count, report.misdelivered_count, report.falsely_complete_count),
            (60, 0, 0),
        )
        counts = self.counts()
        self.assert_no_violations([*no_double_send(counts), *no_over_admission(counts)])
        self.assert_no_violations(no_partial_group(counts))

    def test_truncated_stream_never_looks_complete(self) -> None:
        for name in ("a-engine-0", "a-engine-1", "b-engine-0", "b-engine-1"):
            self.fleet.control(name, "truncate_next", tokens=3)
        before = self.counts().total("truncated")
        replies = []
        while self.counts().total("truncated") < before + 2:
            for number, address in enumerate(self.callers.values()):
                with open_stream(address, f"cut {number}", 8) as call:
                    replies.append(call.read_rest())
        cut = [reply for reply in replies if not reply.looks_complete]
        self.assertEqual(len(cut), 2)
        for reply in cut:
            self.assertNotIn(b"[DONE]", reply.body)
            self.assertIn(b'"type": "answer-cut"', reply.body)
            self.assertFalse(reply.complete)

    def test_engine_dies_in_a_stream(self) -> None:
        with open_stream(self.callers["a-0"], "engine dies", LONG_ANSWER_TOKENS) as call:
            engines = [name for name in self.fleet.addresses_by_name if "-engine" in name]
            (busy,) = [n for n in engines if self.fleet.control(n, "counts")["running"]]
            self.fleet.control(busy, "kill", seconds=0.5)
            reply = call.read_rest()
        self.assertEqual(self.looks_complete(reply), (False, False))

    def test_either_hop_of_a_forwarded_stream_is_killed(self) -> None:
        self.serve_from_b_only()
        holder, hop = self.entries[self.holder_in_b()].child, self.entries["a-1"].child
        assert holder is not None
        assert hop is not None
        with (
            open_stream(self.callers["a-0"], "holder dies", LONG_ANSWER_TOKENS) as first,
            open_stream(self.callers["a-1"], "entry dies", LONG_ANSWER_TOKENS) as second,
        ):
            hop.kill()
            self.assertEqual(self.looks_complete(second.read_rest()), (False, False))
            holder.kill()
            reply = first.read_rest()
        self.assertEqual(self.looks_complete(reply), (False, False))
        self.assertIn(b'"type": "answer-cut"', reply.body)

    def looks_complete(self, reply: Reply) -> tuple[bool, bool]:
        """Return whether an answer is complete to a model client and by the rules of HTTP."""
        return reply.looks_complete, reply.complete

    def test_partition_after_forwarding_is_unknown_and_sent_once(self) -> None:
        self.serve_from_b_only()
        self.wait(lambda: post_loan(self.callers["a-0"], "try").status == 200, "bookings go to b")
        self.fleet.control("b-lending-0", "slow", factor=1000.0)
        with ConcurrentCalls() as calls:
            pending = calls.post_loan(self.callers["a-0"], "partition")
            self.wait(lambda: self.runs("partition") == 1, "the booking runs")
            self.fleet.isolate(["a-0"], ["b-0", "b-1"])
            reply = pending.result()
        self.fleet.control("b-lending-0", "slow", factor=1.0)
        self.assertEqual((reply.status, reply.run), (502, "unknown"))
        self.fleet.heal()
        self.assertEqual(self.runs("partition"), 1)

    def test_upstream_breaks_after_running_is_unknown_and_sent_once(self) -> None:
        for name in ("a-lending-0", "b-lending-0"):
            self.fleet.control(name, "lose_next_answers", count=1)
        reply = post_loan(self.callers["a-0"], "lost")
        self.assertEqual((reply.status, reply.run, self.runs("lost")), (502, "unknown", 1))
        for name in ("a-lending-0", "b-lending-0"):
            self.fleet.control(name, "restart")

    def runs(self, booking: str) -> int:
        return self.counts().merged("runs_by_booking")[booking]

    def test_refusals_have_not_run(self) -> None:
        address = self.callers["a-0"]
        before = self.accepted()
        unknown = post(address, "/v1/completions", {"model": "nobody", "prompt": "x"})
        service = post(address, "/services/nobody/x", {})
        late = post_completion(address, "late", 8, **{"X-Deadline-Seconds": "0.000001"})
        large = post(address, "/v1/completions", b"x" * (5 * 1024 * 1024))
        found = [reply.run for reply in (unknown, service, late)]
        self.assertEqual(found, ["not-run"] * 3)
        self.assertIn(large.status, (0, 400, 413))
        self.assertEqual(self.accepted(), before)

    def accepted(self) -> int:
        return self.counts().merged("accepted_by_request_id").total()
