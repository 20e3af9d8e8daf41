"""A small world of entries and callers over a faulty platform, and what must hold in it."""

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
SETTLE_STEPS = 8
SPACING_SECONDS = 0.01
SETTLE_SECONDS = 20.0


@dataclass
class Call:
    """One write of the platform that has not been answered."""

    caller: int
    writes: tuple[Write, ...]
    answer: asyncio.Future[WriteResult]


class GatedPlatform(MemoryPlatform):
    """A platform whose writes wait until the test says how they end."""

    def __init__(self) -> None:
        super().__init__()
        self.live_leases.add(LeaseId(1))
        self.calls: list[Call] = []
        self.is_open = False

    def end_call(self, call: Call, fault: Fault) -> None:
        """Let one call take effect, or not, and answer it, or not."""
        self.calls.remove(call)
        if call.answer.done():
            return
        if fault is Fault.UNAVAILABLE:
            call.answer.set_exception(PlatformUnavailable("outage"))
        elif fault is Fault.NONE:
            call.answer.set_result(self.apply(call.writes))
        else:
            self.lose(call.writes, fault)
            call.answer.set_exception(OutcomeUnknown("lost"))

    def lose(self, writes: tuple[Write, ...], fault: Fault) -> None:
        """Lose the answer or the request, or keep the request for later."""
        if fault is Fault.ANSWER_LOST:
            self.apply(writes)
        elif fault is Fault.DELAYED:
            self.delayed.append(writes)


class CallerPlatform(MemoryPlatform):
    """The gated platform as one entry process sees it."""

    def __init__(self, caller: int, gate: GatedPlatform) -> None:
        super().__init__()
        self.caller = caller
        self.gate = gate

    async def write(self, writes: Sequence[Write]) -> WriteResult:
        """Wait for the end of a write, or make it at once when the gate is open."""
        assert len({write.key for write in writes}) == len(writes)
        call = Call(self.caller, tuple(writes), asyncio.get_running_loop().create_future())
        self.gate.calls.append(call)
        if self.gate.is_open:
            self.gate.end_call(call, Fault.NONE)
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
        """Return the unique name of the process."""
        return Incarnation(str(self.number))


@dataclass(eq=False)
class Attempt:
    """One request that a caller sent to an entry."""

    process: Process
    key: str
    body: bytes
    task: asyncio.Task[ClaimOutcome]


@dataclass
class KeyHistory:
    """What truly happened to one key."""

    runs: int = 0
    bodies: set[bytes] = field(default_factory=set)
    first_answer: RecordedAnswer | None = None
    finished_by: Process | None = None
    may_be_orphaned: bool = False
    asked: list[Process] = field(default_factory=list)


class ClaimWorld:
    """Several entries, callers that retry, and a platform with every fault."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.gate = GatedPlatform()
        self.dead: set[Incarnation] = set()
        self.known_dead: set[Incarnation] = set()
        self.started = 0
        self.processes = [self.start(entry) for entry in ENTRIES]
        self.waiting: list[Attempt] = []
        self.claimed: list[Attempt] = []
        self.running: list[Attempt] = []
        self.histories = {key: KeyHistory() for key in KEYS}
        self.trace: list[str] = []
        self.outcomes: Counter[str] = Counter()

    def start(self, entry: str) -> Process:
        """Start an entry process."""
        self.started += 1
        number = self.started
        store = ClaimStore(
            CallerPlatform(number, self.gate),
            EntryId(entry),
            Incarnation(str(number)),
            SPACING_SECONDS,
            lambda _, incarnation: incarnation in self.known_dead,
        )
        self.loop.run_until_complete(self.call(store.start))
        return Process(number, entry, store)

    async def call(self, function: Callable[[], None]) -> None:
        """Call a function within the loop."""
        function()

    async def pass_time(self, seconds: float) -> None:
        """Let some time pass, then everything that is ready."""
        await asyncio.sleep(seconds)
        for _ in range(SETTLE_STEPS):
            await asyncio.sleep(0)

    def settle(self, seconds: float = SPACING_SECONDS) -> None:
        """Run the loop for some time, then until nothing is ready, and look at the outcomes."""
        self.loop.run_until_complete(self.pass_time(seconds))
        done = [attempt for attempt in self.waiting if attempt.task.done()]
        self.waiting = [attempt for attempt in self.waiting if not attempt.task.done()]
        for attempt in done:
            self.check(attempt, attempt.task.result())

    def check(self, attempt: Attempt, outcome: ClaimOutcome) -> None:
        """Hold one outcome against what truly happened."""
        history = self.histories[attempt.key]
        self.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Claimed):
            assert history.runs == 0, "claimed a key that has run"
            rivals = [other for other in self.claimed if other.key == attempt.key]
            assert not rivals, "two requests hold one key"
            history.bodies.add(attempt.body)
            self.claimed.append(attempt)
        elif isinstance(outcome, Recorded):
            assert outcome.answer == history.first_answer, "not the first answer"
            assert attempt.body in history.bodies
        elif isinstance(outcome, OutcomeUnknownEarlier):
            assert history.may_be_orphaned, "outcome is known"
        else:
            assert isinstance(outcome, Refused | InProgress | DifferentRequest)

    def note(self, step: str) -> None:
        """Remember a step, to count the interleavings."""
        self.trace.append(step)

    def request(self, process: int, key: str, body: int) -> None:
        """A caller sends a request to an entry."""
        self.note(f"request {process} {key} {body}")
        chosen, content = self.processes[process], BODIES[body]
        claim = chosen.store.claim(CUSTOMER, key, fingerprint_of("POST", "/", content))
        task = self.loop.create_task(claim)
        self.histories[key].asked.append(chosen)
        self.waiting.append(Attempt(chosen, key, content, task))
        self.settle()

    def end_call(self, index: int, fault: Fault) -> None:
        """The platform ends a call."""
        if not self.gate.calls:
            return
        call = self.gate.calls[index % len(self.gate.calls)]
        self.note(f"end {call.caller} {fault.name}")
        self.gate.end_call(call, fault)
        self.settle()

    def end_all_calls(self) -> None:
        """The platform answers whatever is open."""
        self.note("end all")
        for call in list(self.gate.calls):
            self.gate.end_call(call, Fault.NONE)
        self.settle()

    def land(self, index: int) -> None:
        """A delayed write reaches the store."""
        if not self.gate.delayed:
            return
        self.note(f"land {index}")
        self.gate.apply(self.gate.delayed.pop(index % len(self.gate.delayed)))

    def advance(self, seconds: float) -> None:
        """Time passes."""
        self.note(f"advance {seconds}")
        self.settle(seconds)

    def hear_of_platform(self, process: int, answers: bool) -> None:
        """Another part of the process learns whether the platform answers."""
        self.note(f"hear {process} {answers}")
        store = self.processes[process].store
        self.loop.run_until_complete(self.call(lambda: store.set_platform_available(answers)))
        self.settle()

    def run_request(self, index: int) -> None:
        """A claimed request is sent to the upstream."""
        if not self.claimed:
            return
        self.note(f"run {index}")
        attempt = self.claimed.pop(index % len(self.claimed))
        history = self.histories[attempt.key]
        history.runs += 1
        assert history.runs == 1, "ran twice"
        self.running.append(attempt)

    def release(self, index: int) -> None:
        """A claimed request is given up before it runs."""
        if not self.claimed:
            return
        self.note(f"release {index}")
        attempt = self.claimed.pop(index % len(self.claimed))
        self.report(attempt, attempt.process.store.release)

    def finish(self, index: int, is_known: bool) -> None:
        """The upstream answers, or the connection to it breaks."""
        if not self.running:
            return
        self.note(f"finish {index} {is_known}")
        attempt = self.running.pop(index % len(self.running))
        history, store = self.histories[attempt.key], attempt.process.store
        if not is_known:
            history.may_be_orphaned = True
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
        self.loop.run_until_complete(self.call(lambda: function(outcome.claim)))
        self.settle()

    def leave(self, index: int) -> None:
        """A caller leaves before its request was claimed."""
        if not self.waiting:
            return
        self.note(f"leave {index}")
        attempt = self.waiting.pop(index % len(self.waiting))
        attempt.task.cancel()
        self.settle()

    def kill(self, process: int, lands: bool) -> None:
        """An entry process dies, maybe with calls under way, and another one starts."""
        self.note(f"kill {process} {lands}")
        killed = self.processes[process]
        for call in [call for call in self.gate.calls if call.caller == killed.number]:
            self.gate.end_call(call, Fault.DELAYED if lands else Fault.REQUEST_LOST)
        self.loop.run_until_complete(killed.store.close())
        for attempt in [*self.waiting, *self.claimed, *self.running]:
            if attempt.process is killed:
                attempt.task.cancel()
        for history in self.histories.values():
            history.may_be_orphaned |= killed in history.asked
        self.waiting = [item for item in self.waiting if item.process is not killed]
        self.claimed = [item for item in self.claimed if item.process is not killed]
        self.running = [item for item in self.running if item.process is not killed]
        self.dead.add(killed.incarnation)
        self.processes[process] = self.start(killed.entry)
        self.settle()

    def learn_of_deaths(self) -> None:
        """The list of instances catches up."""
        self.note("learn")
        self.known_dead |= self.dead

    def end(self) -> None:
        """Mend everything, then ask for each key once more."""
        self.gate.is_open = True
        while self.gate.delayed:
            self.gate.apply_delayed()
        for call in list(self.gate.calls):
            self.gate.end_call(call, Fault.NONE)
        self.settle(SETTLE_SECONDS)
        for attempt in list(self.claimed):
            self.claimed.remove(attempt)
            self.report(attempt, attempt.process.store.release)
        self.settle(SETTLE_SECONDS)
        self.known_dead |= self.dead
        for key in KEYS:
            for process in self.processes:
                self.ask_once_more(key, process)
        self.loop.run_until_complete(self.stop())
        self.loop.close()

    async def stop(self) -> None:
        """Stop all processes."""
        for process in self.processes:
            await process.store.close()

    def ask_once_more(self, key: str, process: Process) -> None:
        """Check that a mended system gives the best answer that is true."""
        history = self.histories[key]
        body = min(history.bodies, default=b"book") if history.runs else b"book"
        claim = process.store.claim(CUSTOMER, key, fingerprint_of("POST", "/", body))
        outcome = self.loop.run_until_complete(claim)
        if history.runs:
            assert not isinstance(outcome, Claimed), "would run twice"
            if history.finished_by in self.processes and len(history.bodies) == 1:
                assert outcome == Recorded(history.first_answer), outcome
        elif not history.may_be_orphaned:
            assert isinstance(outcome, Claimed), f"key is blocked: {outcome}"
            self.loop.run_until_complete(self.call(lambda: process.store.release(outcome.claim)))
            self.settle(1.0)
