"""Runs the main job from end to end and says for each step whether it held."""

import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable

import openai

from cactuspass._output import as_table
from cactuspass.exceptions import CactuspassError
from trial.calls import send_booking, stream_completion, unary_completion
from trial.fleet import MODEL, Fleet, FleetPlan
from trial.processes import TrialError, wait_until

GROUP_SECONDS = 20.0
GROUPS_PER_DATA_CENTRE = 2
LIGHT_TRAFFIC_SECONDS = 0.05
OUT_SECONDS = 7.0
STEP_MARK = "ok"


class Trial:
    """The steps of the trial, in order."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._first = next(iter(fleet.entries_by_name))
        self._started = time.monotonic()

    def run(self) -> None:
        """Run every step.

        :raises TrialError: at the first step that does not hold.
        """
        self._step("six daemons are ready", self.check_daemons)
        self._step("groups are declared, formed and serve", self.declare_groups)
        self._step("each entry streams and answers the openai client", self.ask_model)
        self._step("a booking sent twice through two entries ran once", self.book_twice)
        self._step("an operator asks what waits and where", self.ask_waiting)
        self._step("a data centre goes out and back under traffic", self.move_data_centre)
        self._step("an entry leaves without cutting its stream", self.drain_entry)

    def _step(self, name: str, action: Callable[[], str]) -> None:
        detail = action()
        elapsed = time.monotonic() - self._started
        print(f"{elapsed:6.1f} s  {STEP_MARK}  {name}: {detail}", flush=True)

    def check_daemons(self) -> str:
        """Check that every daemon is a process of its own."""
        children = [entry.child for entry in self._fleet.entries_by_name.values()]
        pids = {child.pid for child in children if child is not None and child.is_running}
        _check(len(pids) == len(children), "each entry has a running process")
        return f"processes {', '.join(str(pid) for pid in sorted(pids))}"

    def declare_groups(self) -> str:
        """Declare groups in each data centre and wait until all serve."""
        operator = self._fleet.operator(self._first)
        for data_centre in self._fleet.plan.data_centres:
            operator.order(
                f"declare group {data_centre}-assistant model {MODEL} in {data_centre} "
                f"kind assistant-llm size 2 count {GROUPS_PER_DATA_CENTRE} spares 0",
                wait_seconds=OUT_SECONDS,
            )
        wanted = GROUPS_PER_DATA_CENTRE * len(self._fleet.plan.data_centres)
        seconds = wait_until(
            lambda: (
                len(self._fleet.rows(f"groups where model = {MODEL} and serving = true")) == wanted
            ),
            f"{wanted} groups serve",
            GROUP_SECONDS,
        )
        return f"{wanted} groups of 2 instances serve {seconds:.1f} s after the last order"

    def ask_model(self) -> str:
        """Send a streamed and an unstreamed request through every entry."""
        for entry in self._fleet.entries_by_name.values():
            stream_completion(entry.callers, f"condition report of toy {entry.name}")
            unary_completion(entry.callers, f"summary of donations at {entry.name}")
        return f"{2 * len(self._fleet.entries_by_name)} whole answers to their own prompts"

    def book_twice(self) -> str:
        """Send one booking with the same key through entries of two data centres."""
        key = uuid.uuid4().hex
        entries = list(self._fleet.entries_by_name.values())
        first = send_booking(entries[0].callers, key, "loan of the balance bike")
        second = send_booking(entries[-1].callers, key, "loan of the balance bike")
        _check(first.body == second.body, f"both answers are the same: {first} {second}")
        runs = sum(
            (
                Counter(found)
                for found in self._fleet.counts("", "runs_by_idempotency_key")
                if found
            ),
            Counter(),
        )
        _check(runs[key] == 1, f"the booking ran once, not {runs[key]} times")
        return f"status {first.status}, then {second.status} with the recorded answer"

    def ask_waiting(self) -> str:
        """Print the operators' views."""
        for query in ("waiting by customer, model", f"groups where model = {MODEL}", "in force"):
            answer = self._fleet.operator(self._first).ask(query)
            print(f"\n> {query}\n{as_table(answer.found)}\n")
            _check(not answer.unreachable, f"every entry answered {query}")
        return "each entry answered"

    def move_data_centre(self) -> str:
        """Take a data centre out and back while requests go through every entry."""
        target = self._fleet.plan.data_centres[1]
        traffic = Traffic(self._fleet)
        traffic.start()
        operator = self._fleet.operator(self._first)
        try:
            out = operator.order(f"take out data centre {target}", wait_seconds=OUT_SECONDS)
            _check(not out.not_confirmed, f"every entry confirms the take-out: {out}")
            before = self._arrivals(target)
            traffic.wait_for_more(30)
            after = self._arrivals(target)
            _check(before == after, f"{target} got {after - before} requests while out")
            back = operator.order(f"return data centre {target}", wait_seconds=OUT_SECONDS)
            _check(not back.not_confirmed, f"every entry confirms the return: {back}")
            wait_until(
                lambda: self._arrivals(target) > after, f"{target} gets work again", GROUP_SECONDS
            )
        finally:
            traffic.stop()
        fell = sum(self._numbers("fell_over"))
        _check(not traffic.failures, f"no request failed: {traffic.failures[:3]}")
        _check(fell == 0, "no upstream got more than it bears")
        return (
            f"{traffic.complete_count} requests answered whole, none failed, "
            f"none sent to {target} while out"
        )

    def drain_entry(self) -> str:
        """Stop one entry while it passes on a stream."""
        entry = list(self._fleet.entries_by_name.values())[-1]
        assert entry.child is not None
        results: list[str] = []
        caller = threading.Thread(
            target=lambda: results.append(
                stream_completion(entry.callers, "a long warranty file", max_tokens=150)
            )
        )
        caller.start()
        wait_until(
            lambda: any(row["requests"] for row in self._fleet.rows("groups")),
            "the stream runs",
            GROUP_SECONDS,
        )
        code = entry.child.terminate()
        caller.join()
        _check(bool(results), "the stream was whole")
        _check(code == 0, f"the daemon exits with 0, not {code}")
        return f"{len(results[0].split())} tokens arrived, exit code {code}"

    def _arrivals(self, data_centre: str) -> int:
        return sum(self._numbers("arrived", f"{data_centre}-"))

    def _numbers(self, counter: str, prefix: str = "") -> list[int]:
        return [found for found in self._fleet.counts(prefix, counter) if isinstance(found, int)]


class Traffic:
    """Light traffic through every entry in turn, from one thread."""

    def __init__(self, fleet: Fleet) -> None:
        self._addresses = [entry.callers for entry in fleet.entries_by_name.values()]
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.complete_count = 0
        self.failures: list[str] = []

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the last answer."""
        self._stopping.set()
        self._thread.join()

    def wait_for_more(self, count: int) -> None:
        """Wait until so many more answers have come."""
        wanted = self.complete_count + count
        wait_until(lambda: self.complete_count >= wanted, f"{count} more answers", GROUP_SECONDS)

    def _run(self) -> None:
        number = 0
        while not self._stopping.wait(LIGHT_TRAFFIC_SECONDS):
            address = self._addresses[number % len(self._addresses)]
            number += 1
            try:
                unary_completion(address, f"question {number}", max_tokens=4)
                self.complete_count += 1
            except (openai.OpenAIError, TrialError) as error:
                self.failures.append(f"{address}: {error}")


def _check(holds: bool, what: str) -> None:
    if not holds:
        raise TrialError(f"does not hold: {what}")


def main() -> int:
    """Run the trial; return 0 when every step held."""
    try:
        with Fleet(FleetPlan()) as fleet:
            Trial(fleet).run()
    except (TrialError, CactuspassError, openai.OpenAIError) as error:
        print(f"failed: {error}", file=sys.stderr)
        return 1
    print("every step held; everything that was started has ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
