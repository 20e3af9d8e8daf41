"""Stops of instances whose model servers form groups that fail, drain and pause meanwhile.

``python -m tests.soak.groups_stops --seeds 5`` runs instances as processes, and the servers as one
more. Each request is judged by the rule on losses around a stop, from what its caller and the
servers saw.
"""

import asyncio
import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import fire

from tests.soak import fleet
from tests.soak.fleet import InstanceProcess
from tests.soak.group_callers import (
    GroupCaller,
)
from tests.soak.group_servers import (
    LONG_PREFIX,
    STREAM_TIMEOUTS_MS,
    FaultSet,
)
from tests.soak.proxy import Proxy
from tests.soak.run import free_ports
from tests.soak.stop_verdicts import (
    GRACE_SECONDS,
    JUDGED_SECONDS,
    Call,
    Judge,
    Record,
    Stop,
    Verdict,
)

INSTANCES = 3
LAST_OPENED_SECONDS = 2.4  # after SIGTERM; before the end of the notice to the load balancer
LAST_SENT_RANGE_SECONDS = (2.7, 3.4)
STOP_INTERVAL_RANGE_SECONDS = (0.5, 9.0)
RELOAD_SHARE = 0.25  # of stops that are a SIGHUP in place of a SIGTERM
READY_TIMEOUT_SECONDS = 30.0


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
