"""Judges requests by the rule on losses around a stop, from what callers and servers saw."""

import json
import signal
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from tests.soak.callers import NOT_RUN_STATUSES
from tests.soak.group_servers import (
    PLAIN_TIMEOUT_MS,
    STREAM_TIMEOUTS_MS,
    Arrival,
    InjectedFault,
    Run,
)

GRACE_SECONDS = 8.0
JUDGED_SECONDS = GRACE_SECONDS + 1.0  # after SIGTERM
# A stop excuses the end of an answer whose server works on in the last sixth of the grace time.
EXCUSED_SHARE_OF_GRACE = 5 / 6
LAST_EXCUSED_SENT_SECONDS = 3.0
RELOAD_SECONDS = 2.0  # requests sent so long after SIGHUP are judged
FAULT_BEFORE_SECONDS = 3.0  # an unplanned fault so long before a request excuses its loss
UNREAD_SECONDS = 0.2  # a channel may be closed so soon after a request that no server got
DEADLINE_MARGIN_SECONDS = 0.05


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
