"""Run the system end to end and print each step that succeeds; stop at the first failure."""

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

GROUP_TIMEOUT_SECONDS = 20.0
GROUPS_PER_DATA_CENTRE = 2
REQUEST_INTERVAL_SECONDS = 0.05
ORDER_TIMEOUT_SECONDS = 7.0
SUCCESS_MARK = "ok"


class Trial:
    """The steps of the trial, in order."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._first = next(iter(fleet.entries_by_name))
        self._started = time.monotonic()

    def run(self) -> None:
        """Run every step.

        :raises TrialError: at the first step that fails.
        """
        self._step("six daemons are ready", self.check_daemons)
        self._step("groups are declared, formed and serve", self.declare_groups)
        self._step("each entry streams and answers the openai client", self.request_completions)
        self._step("a booking sent twice through two entries ran once", self.book_twice)
        self._step("an operator asks what waits and where", self.query_views)
        self._step("a data centre goes out and back under traffic", self.move_data_centre)
        self._step("an entry leaves without cutting its stream", self.drain_entry)

    def _step(self, name: str, action: Callable[[], str]) -> None:
        detail = action()
        elapsed = time.monotonic() - self._started
        print(f"{elapsed:6.1f} s  {SUCCESS_MARK}  {name}: {detail}", flush=True)

    def check_daemons(self) -> str:
        """Check that every daemon runs as a separate process."""
        children = [entry.child for entry in self._fleet.entries_by_name.values()]
        pids = {child.pid for child in children if child is not None and child.is_running}
        _check(len(pids) == len(children), "each entry has its own running process")
        return f"processes {', '.join(str(pid) for pid in sorted(pids))}"

    def declare_groups(self) -> str:
        """Declare groups in each data centre and wait until all of them serve."""
        operator = self._fleet.operator(self._first)
        for data_centre in self._fleet.plan.data_centres:
            operator.order(
                f"declare group {data_centre}-assistant model {MODEL} in {data_centre} "
                f"kind assistant-llm size 2 count {GROUPS_PER_DATA_CENTRE} spares 0",
                wait_seconds=ORDER_TIMEOUT_SECONDS,
            )
        expected = GROUPS_PER_DATA_CENTRE * len(self._fleet.plan.data_centres)
        seconds = wait_until(
            lambda: (
                len(self._fleet.rows(f"groups where model = {MODEL} and serving = true"))
                == expected
            ),
            f"{expected} groups serve",
            GROUP_TIMEOUT_SECONDS,
        )
        return f"{expected} groups of 2 instances serve {seconds:.1f} s after the last order"

    def request_completions(self) -> str:
        """Send one streamed and one unstreamed request to every entry."""
        for entry in self._fleet.entries_by_name.values():
            stream_completion(entry.callers, f"condition report of toy {entry.name}")
            unary_completion(entry.callers, f"summary of donations at {entry.name}")
        return f"{2 * len(self._fleet.entries_by_name)} whole answers to their own prompts"

    def book_twice(self) -> str:
        """Send a booking twice under one idempotency key, to entries of two data centres."""
        key = uuid.uuid4().hex
        entries = list(self._fleet.entries_by_name.values())
        first = send_booking(entries[0].callers, key, "loan of the balance bike")
        second = send_booking(entries[-1].callers, key, "loan of the balance bike")
        _check(first.body == second.body, f"both answers are the same: {first} {second}")
        runs = sum(
            (
                Counter(found)
                for found in self._fleet.read_counters("", "runs_by_idempotency_key")
                if found
            ),
            Counter(),
        )
        _check(runs[key] == 1, f"the booking ran once, not {runs[key]} times")
        return f"status {first.status}, then {second.status} with the recorded answer"

    def query_views(self) -> str:
        """Query three operator views and print them."""
        for query in ("waiting by customer, model", f"groups where model = {MODEL}", "in force"):
            answer = self._fleet.operator(self._first).ask(query)
            print(f"\n> {query}\n{as_table(answer.found)}\n")
            _check(not answer.unreachable, f"every entry answers the query: {query}")
        return "each entry answered"

    def move_data_centre(self) -> str:
        """Take a data centre out and return it while every entry receives requests."""
        target = self._fleet.plan.data_centres[1]
        traffic = Traffic(self._fleet)
        traffic.start()
        operator = self._fleet.operator(self._first)
        try:
            out = operator.order(
                f"take out data centre {target}", wait_seconds=ORDER_TIMEOUT_SECONDS
            )
            _check(not out.not_confirmed, f"every entry confirms the take-out: {out}")
            before = self._count_arrivals(target)
            traffic.wait_for_more(30)
            after = self._count_arrivals(target)
            _check(before == after, f"{target} got {after - before} requests while out")
            back = operator.order(
                f"return data centre {target}", wait_seconds=ORDER_TIMEOUT_SECONDS
            )
            _check(not back.not_confirmed, f"every entry confirms the return: {back}")
            wait_until(
                lambda: self._count_arrivals(target) > after,
                f"{target} receives requests again",
                GROUP_TIMEOUT_SECONDS,
            )
        finally:
            traffic.stop()
        overload_count = sum(self._read_numbers("fell_over"))
        _check(not traffic.failures, f"no request failed: {traffic.failures[:3]}")
        _check(overload_count == 0, "no upstream got more requests than its concurrency limit")
        return (
            f"{traffic.complete_count} requests answered whole, none failed, "
            f"none sent to {target} while out"
        )

    def drain_entry(self) -> str:
        """Terminate an entry while it forwards a stream."""
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
            "the stream has started",
            GROUP_TIMEOUT_SECONDS,
        )
        code = entry.child.terminate()
        caller.join()
        _check(bool(results), "the stream is complete")
        _check(code == 0, f"the daemon exits with 0, not {code}")
        return f"{len(results[0].split())} tokens arrived, exit code {code}"

    def _count_arrivals(self, data_centre: str) -> int:
        return sum(self._read_numbers("arrived", f"{data_centre}-"))

    def _read_numbers(self, counter: str, prefix: str = "") -> list[int]:
        return [
            found for found in self._fleet.read_counters(prefix, counter) if isinstance(found, int)
        ]


class Traffic:
    """Sends requests to all entries in turn at a low rate, from one thread.

    :ivar complete_count: requests that got a complete answer.
    :ivar failures: address and error of each failed request.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._addresses = [entry.callers for entry in fleet.entries_by_name.values()]
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.complete_count = 0
        self.failures: list[str] = []

    def start(self) -> None:
        """Start the sending thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the pending answer."""
        self._stopping.set()
        self._thread.join()

    def wait_for_more(self, count: int) -> None:
        """Wait until this many more complete answers have arrived."""
        target = self.complete_count + count
        wait_until(
            lambda: self.complete_count >= target, f"{count} more answers", GROUP_TIMEOUT_SECONDS
        )

    def _run(self) -> None:
        number = 0
        while not self._stopping.wait(REQUEST_INTERVAL_SECONDS):
            address = self._addresses[number % len(self._addresses)]
            number += 1
            try:
                unary_completion(address, f"question {number}", max_tokens=4)
                self.complete_count += 1
            except (openai.OpenAIError, TrialError) as error:
                self.failures.append(f"{address}: {error}")


def _check(condition: bool, expectation: str) -> None:
    if not condition:
        raise TrialError(f"check failed: {expectation}")


def main() -> int:
    """Run the trial; return 0 if every step succeeded, else 1."""
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
