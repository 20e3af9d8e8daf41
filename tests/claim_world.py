"""Simulation of entries that claim keys over a faulty platform, with checks of the outcomes."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cactuspass._claim_store import ClaimStore
from cactuspass._claims import (
    Claim,
    Claimed,
    ClaimOutcome,
    DifferentRequest,
    InProgress,
    OutcomeUnknownEarlier,
    Recorded,
    RecordedAnswer,
    Refused,
    fingerprint_of,
)
from cactuspass._platform import LeaseId, Write, WriteResult
from cactuspass.exceptions import OutcomeUnknown, PlatformUnavailable
from cactuspass.models import CustomerId, EntryId, Incarnation
from tests.fakes import Fault, MemoryPlatform
from tests.virtual_time import VirtualLoop

CUSTOMER = CustomerId("crews")
ENTRIES = ("e1", "e2", "e3")
KEYS = ("k1", "k2")
BODIES = (b"book", b"book", b"book", b"other")
READY_ITERATIONS = 8
CALL_INTERVAL_SECONDS = 0.01
RECOVERY_SECONDS = 20.0


@dataclass
class Call:
    """One write call that the platform has not answered yet."""

    process_number: int
    writes: tuple[Write, ...]
    answer: asyncio.Future[WriteResult]


class ManualPlatform(MemoryPlatform):
    """A platform whose write calls wait until the test ends them."""

    def __init__(self) -> None:
        super().__init__()
        self.live_leases.add(LeaseId(1))
        self.calls: list[Call] = []
        self.answers_at_once = False

    def end_call(self, call: Call, fault: Fault) -> None:
        """End one call with a fault, or answer it if the fault is NONE."""
        self.calls.remove(call)
        if call.answer.done():
            return
        if fault is Fault.UNAVAILABLE:
            call.answer.set_exception(PlatformUnavailable("outage"))
        elif fault is Fault.NONE:
            call.answer.set_result(self.apply(call.writes))
        else:
            self.apply_fault(call.writes, fault)
            call.answer.set_exception(OutcomeUnknown("lost"))

    def apply_fault(self, writes: tuple[Write, ...], fault: Fault) -> None:
        """Apply, drop or delay the writes of a call whose answer is lost."""
        if fault is Fault.ANSWER_LOST:
            self.apply(writes)
        elif fault is Fault.DELAYED:
            self.delayed.append(writes)


class EntryPlatform(MemoryPlatform):
    """Connection of one entry process to the shared platform."""

    def __init__(self, process_number: int, platform: ManualPlatform) -> None:
        super().__init__()
        self.process_number = process_number
        self.platform = platform

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Wait until the test ends the call, or answer it at once after the recovery."""
        assert len({write.key for write in writes}) == len(writes)
        call = Call(self.process_number, tuple(writes), asyncio.get_running_loop().create_future())
        self.platform.calls.append(call)
        if self.platform.answers_at_once:
            self.platform.end_call(call, Fault.NONE)
        return await call.answer

    async def grant_lease(self, seconds: int) -> LeaseId:
        """Return a lease at once."""
        return LeaseId(1)


@dataclass
class Process:
    """One entry process."""

    number: int
    entry: str
    store: ClaimStore

    @property
    def incarnation(self) -> Incarnation:
        """Unique name of the process."""
        return Incarnation(str(self.number))


@dataclass(eq=False)
class Attempt:
    """One request that a caller sent to an entry process."""

    process: Process
    key: str
    body: bytes
    task: asyncio.Task[ClaimOutcome]


@dataclass
class KeyHistory:
    """What actually happened to the requests of one key.

    :param bodies: bodies of the requests that claimed the key.
    :param outcome_may_be_lost: whether a process that received a request was killed, or an
        upstream's answer was lost.
    """

    runs: int = 0
    bodies: set[bytes] = field(default_factory=set)
    first_answer: RecordedAnswer | None = None
    finished_by: Process | None = None
    outcome_may_be_lost: bool = False
    received_by: list[Process] = field(default_factory=list)


class ClaimWorld:
    """Several entries, callers that retry, and a platform with every kind of fault.

    Each outcome is compared with what actually happened to its key.

    :ivar unlisted_incarnations: killed processes that the list of instances no longer contains.
    """

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.platform = ManualPlatform()
        self.killed_incarnations: set[Incarnation] = set()
        self.unlisted_incarnations: set[Incarnation] = set()
        self.started_count = 0
        self.processes = [self.start(entry) for entry in ENTRIES]
        self.waiting: list[Attempt] = []
        self.claimed: list[Attempt] = []
        self.running: list[Attempt] = []
        self.histories = {key: KeyHistory() for key in KEYS}
        self.trace: list[str] = []
        self.outcomes: Counter[str] = Counter()

    def start(self, entry: str) -> Process:
        """Start an entry process."""
        self.started_count += 1
        number = self.started_count
        store = ClaimStore(
            EntryPlatform(number, self.platform),
            EntryId(entry),
            Incarnation(str(number)),
            CALL_INTERVAL_SECONDS,
            lambda _, incarnation: incarnation in self.unlisted_incarnations,
        )
        self.loop.run_until_complete(self.call_in_loop(store.start))
        return Process(number, entry, store)

    async def call_in_loop(self, function: Callable[[], None]) -> None:
        """Call a function inside the event loop."""
        function()

    async def advance_loop(self, seconds: float) -> None:
        """Sleep, then let every task that is ready run."""
        await asyncio.sleep(seconds)
        for _ in range(READY_ITERATIONS):
            await asyncio.sleep(0)

    def run_loop(self, seconds: float = CALL_INTERVAL_SECONDS) -> None:
        """Run the event loop for some time, then check the outcomes that have arrived."""
        self.loop.run_until_complete(self.advance_loop(seconds))
        done = [attempt for attempt in self.waiting if attempt.task.done()]
        self.waiting = [attempt for attempt in self.waiting if not attempt.task.done()]
        for attempt in done:
            self.check_outcome(attempt, attempt.task.result())

    def check_outcome(self, attempt: Attempt, outcome: ClaimOutcome) -> None:
        """Check that one outcome agrees with what actually happened."""
        history = self.histories[attempt.key]
        self.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Claimed):
            assert history.runs == 0, "claimed a key whose request has run"
            rivals = [other for other in self.claimed if other.key == attempt.key]
            assert not rivals, "two requests have claimed one key"
            history.bodies.add(attempt.body)
            self.claimed.append(attempt)
        elif isinstance(outcome, Recorded):
            assert outcome.answer == history.first_answer, "the answer is not the first one"
            assert attempt.body in history.bodies
        elif isinstance(outcome, OutcomeUnknownEarlier):
            assert history.outcome_may_be_lost, (
                "reported an unknown outcome although no outcome was lost"
            )
        else:
            assert isinstance(outcome, Refused | InProgress | DifferentRequest)

    def record_step(self, step: str) -> None:
        """Record a step, so that different interleavings can be counted."""
        self.trace.append(step)

    def request(self, process: int, key: str, body: int) -> None:
        """Send a request to an entry."""
        self.record_step(f"request {process} {key} {body}")
        chosen, content = self.processes[process], BODIES[body]
        claim = chosen.store.claim(CUSTOMER, key, fingerprint_of("POST", "/", content))
        task = self.loop.create_task(claim)
        self.histories[key].received_by.append(chosen)
        self.waiting.append(Attempt(chosen, key, content, task))
        self.run_loop()

    def end_call(self, index: int, fault: Fault) -> None:
        """End one call of the platform."""
        if not self.platform.calls:
            return
        call = self.platform.calls[index % len(self.platform.calls)]
        self.record_step(f"end {call.process_number} {fault.name}")
        self.platform.end_call(call, fault)
        self.run_loop()

    def end_all_calls(self) -> None:
        """Answer all calls of the platform."""
        self.record_step("end all")
        for call in list(self.platform.calls):
            self.platform.end_call(call, Fault.NONE)
        self.run_loop()

    def apply_delayed_write(self, index: int) -> None:
        """Apply one delayed write to the store."""
        if not self.platform.delayed:
            return
        self.record_step(f"apply delayed {index}")
        self.platform.apply(self.platform.delayed.pop(index % len(self.platform.delayed)))

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.record_step(f"advance {seconds}")
        self.run_loop(seconds)

    def set_platform_available(self, process: int, is_available: bool) -> None:
        """Report to a process whether the platform answered another part of it."""
        self.record_step(f"set available {process} {is_available}")
        store = self.processes[process].store
        self.loop.run_until_complete(
            self.call_in_loop(lambda: store.set_platform_available(is_available))
        )
        self.run_loop()

    def run_request(self, index: int) -> None:
        """Run a claimed request on the upstream."""
        if not self.claimed:
            return
        self.record_step(f"run {index}")
        attempt = self.claimed.pop(index % len(self.claimed))
        history = self.histories[attempt.key]
        history.runs += 1
        assert history.runs == 1, "the request ran twice"
        self.running.append(attempt)

    def release(self, index: int) -> None:
        """Release a claimed request before it runs."""
        if not self.claimed:
            return
        self.record_step(f"release {index}")
        attempt = self.claimed.pop(index % len(self.claimed))
        self.report(attempt, attempt.process.store.release)

    def finish(self, index: int, is_known: bool) -> None:
        """End a running request, with an answer or, if not is_known, with a lost answer."""
        if not self.running:
            return
        self.record_step(f"finish {index} {is_known}")
        attempt = self.running.pop(index % len(self.running))
        history, store = self.histories[attempt.key], attempt.process.store
        if not is_known:
            history.outcome_may_be_lost = True
            self.report(attempt, store.mark_unknown)
            return
        answer = RecordedAnswer(200, (), str(len(self.trace)).encode())
        history.first_answer = answer
        history.finished_by = attempt.process
        self.report(attempt, lambda claim: store.finish(claim, answer))

    def report(self, attempt: Attempt, function: Callable[[Claim], None]) -> None:
        """Report how a claimed request ended."""
        outcome = attempt.task.result()
        assert isinstance(outcome, Claimed)
        self.loop.run_until_complete(self.call_in_loop(lambda: function(outcome.claim)))
        self.run_loop()

    def disconnect_caller(self, index: int) -> None:
        """Disconnect a caller before its request was claimed."""
        if not self.waiting:
            return
        self.record_step(f"disconnect {index}")
        attempt = self.waiting.pop(index % len(self.waiting))
        attempt.task.cancel()
        self.run_loop()

    def kill_process(self, process: int, is_delayed: bool) -> None:
        """Kill an entry process and start another one.

        :param is_delayed: delay the writes of its calls under way; otherwise they are lost.
        """
        self.record_step(f"kill {process} {is_delayed}")
        killed = self.processes[process]
        for call in [call for call in self.platform.calls if call.process_number == killed.number]:
            self.platform.end_call(call, Fault.DELAYED if is_delayed else Fault.REQUEST_LOST)
        self.loop.run_until_complete(killed.store.close())
        for attempt in [*self.waiting, *self.claimed, *self.running]:
            if attempt.process is killed:
                attempt.task.cancel()
        for history in self.histories.values():
            history.outcome_may_be_lost |= killed in history.received_by
        self.waiting = [item for item in self.waiting if item.process is not killed]
        self.claimed = [item for item in self.claimed if item.process is not killed]
        self.running = [item for item in self.running if item.process is not killed]
        self.killed_incarnations.add(killed.incarnation)
        self.processes[process] = self.start(killed.entry)
        self.run_loop()

    def update_instance_list(self) -> None:
        """Remove the killed processes from the list of instances."""
        self.record_step("update list")
        self.unlisted_incarnations |= self.killed_incarnations

    def check_recovery(self) -> None:
        """End all faults, then check one more request for each key at each entry."""
        self.platform.answers_at_once = True
        while self.platform.delayed:
            self.platform.apply_delayed()
        for call in list(self.platform.calls):
            self.platform.end_call(call, Fault.NONE)
        self.run_loop(RECOVERY_SECONDS)
        for attempt in list(self.claimed):
            self.claimed.remove(attempt)
            self.report(attempt, attempt.process.store.release)
        self.run_loop(RECOVERY_SECONDS)
        self.unlisted_incarnations |= self.killed_incarnations
        for key in KEYS:
            for process in self.processes:
                self.check_retry(key, process)
        self.loop.run_until_complete(self.stop())
        self.loop.close()

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self.processes:
            await process.store.close()

    def check_retry(self, key: str, process: Process) -> None:
        """Check that a retry after the recovery gets the most exact outcome that is possible.

        A key whose request did not run must be free unless an outcome may be lost. The process
        that recorded an answer must return it.
        """
        history = self.histories[key]
        body = min(history.bodies, default=b"book") if history.runs else b"book"
        claim = process.store.claim(CUSTOMER, key, fingerprint_of("POST", "/", body))
        outcome = self.loop.run_until_complete(claim)
        if history.runs:
            assert not isinstance(outcome, Claimed), "the request would run twice"
            if history.finished_by in self.processes and len(history.bodies) == 1:
                assert outcome == Recorded(history.first_answer), outcome
        elif not history.outcome_may_be_lost:
            assert isinstance(outcome, Claimed), f"the key is blocked: {outcome}"
            self.loop.run_until_complete(
                self.call_in_loop(lambda: process.store.release(outcome.claim))
            )
            self.run_loop(1.0)
