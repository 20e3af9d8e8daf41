"""Stops of instances whose model servers form groups that fail, drain and pause meanwhile.

``python -m tests.soak.groups_stops --seeds 5`` runs instances as processes, and the servers as one
more. Each request is judged by the rule on losses around a stop, from what its caller and the
servers saw.
"""

import asyncio
import itertools
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path

import fire

from tests.soak import fleet
from tests.soak.fleet import InstanceProcess
from tests.soak.group_servers import (
    LONG_PREFIX,
    PLAIN_TIMEOUT_MS,
    SIZES_BY_MODEL,
    STREAM_TIMEOUTS_MS,
    Arrival,
    FaultSet,
    InjectedFault,
    Run,
    WorkPlan,
)
from tests.soak.proxy import Proxy
from tests.soak.run import free_ports

INSTANCES = 3
GRACE_SECONDS = 8.0
JUDGED_SECONDS = GRACE_SECONDS + 1.0  # after SIGTERM
# A stop excuses the end of an answer whose server works on in the last sixth of the grace time.
EXCUSED_SHARE_OF_GRACE = 5 / 6
LAST_EXCUSED_SENT_SECONDS = 3.0
RELOAD_SECONDS = 2.0  # requests sent so long after SIGHUP are judged
FAULT_BEFORE_SECONDS = 3.0  # an unplanned fault so long before a request excuses its loss
UNREAD_SECONDS = 0.2  # a channel may be closed so soon after a request that no server got
DEADLINE_MARGIN_SECONDS = 0.05
ANSWER_MARGIN_SECONDS = 3.0  # after the time limit
LAST_OPENED_SECONDS = 2.4  # after SIGTERM; before the end of the notice to the load balancer
LAST_SENT_RANGE_SECONDS = (2.7, 3.4)
LINGER_RANGE_SECONDS = (0.0, 0.5)
RETRY_SECONDS = 0.25  # after a connection that was refused
STOP_INTERVAL_RANGE_SECONDS = (0.5, 9.0)
RELOAD_SHARE = 0.25  # of stops that are a SIGHUP in place of a SIGTERM
READY_TIMEOUT_SECONDS = 30.0
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ROUTES = ("question", "question", "question", "report", "loan", "lookup")


@dataclass(slots=True)
class Stop:
    """A signal to an instance, with the time of day for a comparison with its log.

    :param ended_after: seconds from a SIGTERM to the end of the process; None until then.
    """

    signal_number: signal.Signals
    at: float
    time_of_day: float
    ended_after: float | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A request and what its caller got.

    :param status: None if no head of an answer was received.
    :param is_whole: whether the answer was complete.
    :param problem: what is wrong with a complete answer; empty if nothing is.
    """

    request_id: str
    instance: str
    route: str
    sent_at: float
    ended_at: float
    status: int | None
    is_whole: bool
    problem: str = ""

    @property
    def limit_seconds(self) -> float:
        """The time limit, which is also the route's."""
        return STREAM_TIMEOUTS_MS.get(self.route, PLAIN_TIMEOUT_MS) / 1000


@dataclass
class Record:
    """What callers, servers and the one that stopped the instances saw."""

    calls: list[Call] = field(default_factory=list)
    stops_by_instance: defaultdict[str, list[Stop]] = field(
        default_factory=lambda: defaultdict(list)
    )
    arrivals_by_id: defaultdict[str, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )
    runs_by_id: defaultdict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    faults: list[InjectedFault] = field(default_factory=list)
    kills: int = 0

    def write(self, file: Path) -> None:
        """Write what the callers saw and which signals were sent, as lines of JSON."""
        rows: list[dict[str, object]] = [asdict(call) for call in self.calls]
        for name, stops in self.stops_by_instance.items():
            rows += [{"instance": name, **asdict(stop)} for stop in stops]
        text = "".join(json.dumps(row) + "\n" for row in rows)
        file.write_text(text, encoding="utf-8")

    def read_servers(self, log: Path) -> None:
        """Add what the servers have recorded."""
        for line in log.read_text(encoding="utf-8").splitlines():
            row = json.loads(line)
            match row.pop("record"):
                case "Arrival":
                    self.arrivals_by_id[row["request_id"]].append(Arrival(**row))
                case "Run":
                    self.runs_by_id[row["request_id"]].append(Run(**row))
                case _:
                    self.faults.append(InjectedFault(**row))


@dataclass
class Verdict:
    """Judgement of all requests of a run.

    :param lost: requests without a whole answer around a planned stop that nothing excuses.
    :param beside_fault: the same, but with an unplanned fault, which excuses them.
    :param ended_by_order: requests without a whole answer whose work an order has ended; by the
        rule's words their server broke off.
    :param elsewhere: requests without a whole answer away from stops that nothing excuses.
    :param violations: other broken guarantees.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    beside_fault: list[str] = field(default_factory=list)
    ended_by_order: list[str] = field(default_factory=list)
    elsewhere: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class Judge:
    """Judges the requests of a record."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._verdict = Verdict()

    def judge(self) -> Verdict:
        """Return the judgement of all requests."""
        for call in self._record.calls:
            self._judge_execution(call)
            if call.is_whole:
                self._verdict.outcomes["whole" if call.status == 200 else str(call.status)] += 1
            else:
                self._judge_cut(call)
        return self._verdict

    def _judge_execution(self, call: Call) -> None:
        runs = self._record.runs_by_id[call.request_id]
        if call.problem:
            self._verdict.violations.append(f"{call.request_id}: {call.problem}")
        if call.route != "loan":
            return
        if len(runs) > 1:
            self._verdict.violations.append(f"{call.request_id} ran {len(runs)} times")
        if runs and call.status in NOT_RUN_STATUSES:
            self._verdict.violations.append(f"{call.request_id} ran, but got {call.status}")

    def _judge_cut(self, call: Call) -> None:
        excuse = self._excuse(call)
        if excuse:
            self._verdict.outcomes[excuse] += 1
            return
        text = self._describe(call)
        is_around_stop = any(self._covers(stop, call) for stop in self._stops(call))
        if any(self._is_beside(fault, call) for fault in self._record.faults):
            self._verdict.beside_fault.append(text)
        elif any(run.end == "ordered" for run in self._record.runs_by_id[call.request_id]):
            self._verdict.ended_by_order.append(text)
        elif is_around_stop:
            self._verdict.lost.append(text)
        else:
            self._verdict.elsewhere.append(text)

    def _excuse(self, call: Call) -> str:
        """Return why a request needs no whole answer; empty if it needs one."""
        runs = self._record.runs_by_id[call.request_id]
        seconds = call.ended_at - call.sent_at
        arrived = bool(self._record.arrivals_by_id[call.request_id])
        if not arrived and call.status is None and seconds <= UNREAD_SECONDS:
            return "crossed the close"
        if seconds >= call.limit_seconds - DEADLINE_MARGIN_SECONDS:
            return "time limit"
        last_end = max(runs, key=lambda run: run.ended_at).end if runs else ""
        if last_end == "broke off":
            return "server broke off"
        if any(self._was_late_in_grace(stop, call) for stop in self._stops(call)):
            return "end of the grace time"
        return ""

    def _was_late_in_grace(self, stop: Stop, call: Call) -> bool:
        if stop.signal_number is not signal.SIGTERM or not self._covers(stop, call):
            return False
        if call.sent_at > stop.at + LAST_EXCUSED_SENT_SECONDS:
            return False
        late = stop.at + GRACE_SECONDS * EXCUSED_SHARE_OF_GRACE
        return any(run.ended_at >= late for run in self._record.runs_by_id[call.request_id])

    def _stops(self, call: Call) -> Iterable[Stop]:
        return self._record.stops_by_instance[call.instance]

    def _covers(self, stop: Stop, call: Call) -> bool:
        if stop.signal_number is signal.SIGTERM:
            return stop.at <= call.ended_at <= stop.at + JUDGED_SECONDS
        return call.sent_at <= stop.at + RELOAD_SECONDS and call.ended_at >= stop.at

    def _is_beside(self, fault: InjectedFault, call: Call) -> bool:
        if fault.is_planned:
            return False
        began_in_time = fault.began_at <= call.ended_at
        return began_in_time and fault.ended_at >= call.sent_at - FAULT_BEFORE_SECONDS

    def _describe(self, call: Call) -> str:
        runs = self._record.runs_by_id[call.request_id]
        seconds = call.ended_at - call.sent_at
        stops = [
            f"{stop.signal_number.name} at {stop.time_of_day:.3f}: "
            f"sent {call.sent_at - stop.at:+.3f}, ended {call.ended_at - stop.at:+.3f}"
            for stop in self._stops(call)
            if abs(call.ended_at - stop.at) < 2 * GRACE_SECONDS
        ]
        ends = [
            f"{run.server} {_span(run.began_at, run.ended_at, call.sent_at)} {run.end}"
            for run in runs
        ]
        faults = [
            f"{fault.kind} {_span(fault.began_at, fault.ended_at, call.sent_at)}"
            for fault in self._record.faults
            if fault.began_at <= call.ended_at
            and fault.ended_at >= call.sent_at - FAULT_BEFORE_SECONDS
        ]
        return (
            f"{call.request_id} {call.route} at {call.instance} status {call.status} "
            f"after {seconds:.3f} s; {stops}; "
            f"{len(self._record.arrivals_by_id[call.request_id])} arrivals; {ends}; {faults}"
        )


def _span(began_at: float, ended_at: float, origin: float) -> str:
    return f"{began_at - origin:.3f}..{ended_at - origin:.3f}"


class GroupCaller:
    """Sends requests to one instance on connections of three kinds, and records the answers.

    The kept connection is used until the instance closes it; others are used once, some of them
    a while after they were opened.
    """

    def __init__(self, instance: InstanceProcess, record: Record) -> None:
        self._instance = instance
        self._record = record

    async def call_repeatedly(self, name: str, ended: asyncio.Event) -> None:
        """Send requests one after the other on a kept connection."""
        rng = random.Random(name)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        for number in itertools.count():
            if ended.is_set():
                break
            try:
                connection = connection or await self._connect()
            except OSError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            call = await self._exchange(f"{name}-{number}", rng, *connection)
            if not call.is_whole:
                connection[1].close()
                connection = None
            await asyncio.sleep(0.0 if call.status == 200 else RETRY_SECONDS)
        if connection is not None:
            connection[1].close()

    async def call_once(self, request_id: str) -> Call | None:
        """Send one request on a new connection; return None when it was refused."""
        rng = random.Random(request_id)
        try:
            reader, writer = await self._connect()
        except OSError:
            return None
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(*LINGER_RANGE_SECONDS))
        try:
            return await self._exchange(request_id, rng, reader, writer)
        finally:
            writer.close()

    async def call_at(self, request_id: str, at: float) -> None:
        """Open a connection now, and send one request on it at a moment of the loop's clock."""
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        await self._exchange(request_id, random.Random(request_id), reader, writer)
        writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._instance.port)

    async def _exchange(
        self,
        request_id: str,
        rng: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Call:
        route = rng.choice(ROUTES)
        model = rng.choice(list(SIZES_BY_MODEL))
        limit_ms = STREAM_TIMEOUTS_MS.get(route, PLAIN_TIMEOUT_MS)
        headers = (
            f"Cactuspass-Model: {model}\r\nCactuspass-Tokens: 460,80\r\n"
            if route in STREAM_TIMEOUTS_MS
            else ""
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        writer.write(
            f"POST /{route}/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n"
            f"Content-Length: 2\r\nCactuspass-Request-Id: {request_id}\r\n"
            f"Cactuspass-Deadline-Ms: {limit_ms}\r\n"
            f"{headers}\r\n{{}}".encode()
        )
        answer = AnswerReader(reader)
        is_whole = False
        try:
            async with asyncio.timeout(limit_ms / 1000 + ANSWER_MARGIN_SECONDS):
                await answer.read()
                is_whole = True
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        plan = WorkPlan.of(request_id, route)
        problem = answer.problem(plan) if is_whole and answer.status == 200 else ""
        call = Call(
            request_id,
            self._instance.name,
            route,
            sent_at,
            loop.time(),
            answer.status,
            is_whole,
            problem,
        )
        self._record.calls.append(call)
        return call


class AnswerReader:
    """Reads one answer.

    :ivar status: None until the head has been read.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._body = b""
        self.status: int | None = None

    async def read(self) -> None:
        """Read the whole answer."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        self.status = int(head.split(b" ", 2)[1])
        if b"transfer-encoding: chunked" in head:
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                self._body += (await self._reader.readexactly(size + 2))[:-2]
            await self._reader.readexactly(2)
        else:
            length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
            self._body = await self._reader.readexactly(length)

    def problem(self, plan: WorkPlan) -> str:
        """Return what is wrong with the body of a complete answer; empty if nothing is."""
        numbers = range(1, plan.events + 1)
        expected = b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers) or b"done"
        return (
            "" if self._body == expected else f"body of {len(self._body)} bytes is not the one due"
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Load of a run and the order of its stops.

    :param seconds: time in which signals are sent.
    :param kept: callers on kept connections of each instance.
    :param rate: requests a second on new connections at each instance.
    :param late_seconds: longest time by which an instance is held up just before a SIGTERM, so
        that it handles the signal late; 0 for none. Such a run is no planned stop in the rule's
        words.
    :param faults: which faults of servers are injected.
    :param last: requests for long streams around the last moment after each SIGTERM at which a
        stop has an excuse for cutting them.
    """

    seconds: float
    kept: int
    rate: float
    late_seconds: float = 0.0
    faults: FaultSet = FaultSet.ALL
    last: int = 0


class GroupStopSoak:
    """Three instances, and a process with the store and the servers.

    :param folder: folder of the settings and of all logs.
    """

    def __init__(self, seed: int, load: Load, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._load = load
        self._folder = folder
        self._instances: list[InstanceProcess] = []
        self._servers: asyncio.subprocess.Process | None = None
        self._proxies: list[Proxy] = []
        self.record = Record()

    async def run(self) -> Verdict:
        """Run the soak and return the judgement."""
        log = self._folder / "servers.jsonl"
        try:
            await self._start(log)
            await self._wait_until_serving()
            await self._call_and_stop()
        finally:
            await self._end()
        self.record.write(self._folder / "callers.jsonl")
        self.record.read_servers(log)
        return Judge(self.record).judge()

    async def _start(self, log: Path) -> None:
        self._servers = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.soak.group_servers"),
            *("--seed", str(self._seed), "--log", str(log)),
            *("--faults", self._load.faults.value),
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._servers.stdout is not None
        store_address = (await self._servers.stdout.readline()).decode().strip()
        ports = free_ports(2 * INSTANCES)
        for number, (port, peer_port) in enumerate(zip(ports[::2], ports[1::2], strict=True)):
            proxy = Proxy(store_address)
            await proxy.start()
            self._proxies.append(proxy)
            instance = InstanceProcess(f"e-{number}", self._folder, proxy, port, peer_port)
            self._instances.append(instance)
            await instance.start()

    async def _end(self) -> None:
        for instance in self._instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            await instance.wait()
        if self._servers is not None:
            self._servers.kill()
            await self._servers.wait()
        for proxy in self._proxies:
            await proxy.stop()

    async def _wait_until_serving(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for instance in self._instances:
                caller = GroupCaller(instance, Record())
                for number in itertools.count():
                    call = await caller.call_once(f"probe-{number}")
                    if call and call.status == 200 and call.route in STREAM_TIMEOUTS_MS:
                        break
                    await asyncio.sleep(0.1)

    async def _call_and_stop(self) -> None:
        ended = asyncio.Event()
        tasks = [asyncio.create_task(self._call_in_open_loop(i, ended)) for i in self._instances]
        for instance in self._instances:
            caller = GroupCaller(instance, self.record)
            tasks += [
                asyncio.create_task(
                    caller.call_repeatedly(f"k{self._seed}-{instance.name}-{number}", ended)
                )
                for number in range(self._load.kept)
            ]
        series = [asyncio.create_task(self._signal_repeatedly(each)) for each in self._instances]
        await asyncio.gather(*series)
        ended.set()
        await asyncio.gather(*tasks)

    async def _call_in_open_loop(self, instance: InstanceProcess, ended: asyncio.Event) -> None:
        caller = GroupCaller(instance, self.record)
        rng = random.Random(f"{self._seed}-{instance.name}")
        calls: set[asyncio.Task[Call | None]] = set()
        for number in itertools.count():
            if ended.is_set():
                break
            task = asyncio.create_task(caller.call_once(f"n{self._seed}-{instance.name}-{number}"))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(rng.expovariate(self._load.rate))
        await asyncio.gather(*calls)

    async def _signal_repeatedly(self, instance: InstanceProcess) -> None:
        """Stop one instance time and again, or have it read its settings."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._load.seconds
        rng = random.Random(f"{self._seed}-{instance.name}-stops")
        while True:
            await asyncio.sleep(rng.uniform(*STOP_INTERVAL_RANGE_SECONDS))
            if loop.time() >= end:
                return
            if rng.random() < RELOAD_SHARE:
                self._send(instance, signal.SIGHUP)
            else:
                await self._stop(instance, rng)

    async def _stop(self, instance: InstanceProcess, rng: random.Random) -> None:
        late_seconds = rng.uniform(0.0, self._load.late_seconds)
        if late_seconds:
            instance.send_signal(signal.SIGSTOP)
        stop = self._send(instance, signal.SIGTERM)
        if late_seconds:
            await asyncio.sleep(late_seconds)
            instance.send_signal(signal.SIGCONT)
        loop = asyncio.get_running_loop()
        last = asyncio.create_task(self._call_last(instance, stop, rng))
        try:
            async with asyncio.timeout_at(stop.at + GRACE_SECONDS):
                await instance.wait()
        except TimeoutError:
            self.record.kills += 1
            instance.send_signal(signal.SIGKILL)
            await instance.wait()
        stop.ended_after = loop.time() - stop.at
        await last
        await asyncio.sleep(max(0.0, stop.at + JUDGED_SECONDS - loop.time()))
        await instance.start()

    async def _call_last(self, instance: InstanceProcess, stop: Stop, rng: random.Random) -> None:
        """Send the requests around the last moment at which cutting them has an excuse."""
        if not self._load.last:
            return
        await asyncio.sleep(stop.at + LAST_OPENED_SECONDS - asyncio.get_running_loop().time())
        caller = GroupCaller(instance, self.record)
        calls = [
            caller.call_at(
                f"{LONG_PREFIX}{self._seed}-{instance.name}-{stop.at:.1f}-{number}",
                stop.at + rng.uniform(*LAST_SENT_RANGE_SECONDS),
            )
            for number in range(self._load.last)
        ]
        await asyncio.gather(*calls)

    def _send(self, instance: InstanceProcess, signal_number: signal.Signals) -> Stop:
        stop = Stop(signal_number, asyncio.get_running_loop().time(), time.time())
        instance.send_signal(signal_number)
        self.record.stops_by_instance[instance.name].append(stop)
        return stop


async def soak_groups(seed: int, load: Load, keep: Path | None = None) -> tuple[Verdict, Record]:
    """Run one soak and return its judgement and its record.

    :param keep: folder for all logs; None for one that is deleted.
    """
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        soak = GroupStopSoak(seed, load, keep)
        return await soak.run(), soak.record
    with tempfile.TemporaryDirectory(prefix="groups-") as folder:
        soak = GroupStopSoak(seed, load, Path(folder))
        return await soak.run(), soak.record


def run(
    first: int = 1,
    seeds: int = 1,
    seconds: float = 40.0,
    kept: int = 12,
    rate: float = 6.0,
    late_seconds: float = 0.0,
    faults: str = FaultSet.ALL.value,
    last: int = 0,
    keep: str = "",
    program: str = "",
) -> None:
    """Run one soak per seed, one after the other; exit with 1 when a guarantee was broken.

    :param faults: all, planned or none.
    :param keep: folder for all logs; empty to delete them.
    :param program: program of the instances; empty for that of this working copy.
    """
    if program:
        fleet.PROGRAM = Path(program)
    broken = 0
    for seed in range(first, first + seeds):
        folder = Path(keep) / str(seed) if keep else None
        load = Load(seconds, kept, rate, late_seconds, FaultSet(faults), last)
        verdict, record = asyncio.run(soak_groups(seed, load, folder))
        broken += len(verdict.lost) + len(verdict.violations)
        _print(seed, verdict, record)
    sys.exit(1 if broken else 0)


def _print(seed: int, verdict: Verdict, record: Record) -> None:
    stops = itertools.chain.from_iterable(record.stops_by_instance.values())
    signals = Counter(stop.signal_number.name for stop in stops)
    faults = Counter(fault.kind for fault in record.faults)
    print(
        f"seed {seed}: lost {len(verdict.lost)}; cut beside a fault {len(verdict.beside_fault)}; "
        f"ended by order {len(verdict.ended_by_order)}; "
        f"cut elsewhere {len(verdict.elsewhere)}; violations {len(verdict.violations)}; "
        f"{dict(verdict.outcomes)}; {dict(signals)}, {record.kills} killed; {dict(faults)}",
        flush=True,
    )
    groups = {
        "lost": verdict.lost,
        "broken": verdict.violations,
        "beside a fault": verdict.beside_fault,
        "ended by order": verdict.ended_by_order,
        "elsewhere": verdict.elsewhere,
    }
    for name, texts in groups.items():
        for text in texts:
            print(f"  {name}: {text}", flush=True)


if __name__ == "__main__":
    fire.Fire(run)
