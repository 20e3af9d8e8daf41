"""One soak run: callers send requests while overlapping series of faults are injected."""

import asyncio
import random
import signal
import tempfile
from pathlib import Path

from tests.soak.callers import Caller, CallerResults
from tests.soak.fleet import InstanceProcess, SoakFleet
from tests.soak.proxy import Fault, Proxy
from trial.fleet import pick_free_address

CALLER_COUNT = 6
RECOVERY_TIMEOUT_SECONDS = 60.0
FAULT_DURATION_RANGE_SECONDS = (0.3, 3.0)
FAULT_INTERVAL_RANGE_SECONDS = (0.2, 1.5)
SERIES_LENGTHS = (1, 1, 1, 2, 3)
OBJECTIVE_FACTORS = (0.5, 1.0, 2.0)


def free_ports(count: int) -> list[int]:
    """Return ports that are free and that no connection or other listener is given by chance."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(int(pick_free_address().rpartition(":")[2]))
    return list(ports)


class Soak:
    """One soak run of a fleet, with its callers and faults.

    :param seed: seed of the random choices of faults and requests.
    :param seconds: period in which faults are started.
    :param folder: folder of the settings and log files.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.fleet = SoakFleet(folder, free_ports(6))
        self.results = CallerResults()
        self.faults: list[str] = []
        self.peak_memory_kib = 0
        self._configuration_version = 1

    async def run(self) -> list[str]:
        """Run the soak and return the violations that were found."""
        await self.fleet.start()
        try:
            await self._wait_until_serving()
            stop = asyncio.Event()
            callers = [
                Caller(self._port(n), f"c{n}", self.results, random.Random(self._rng.random()))
                for n in range(CALLER_COUNT)
            ]
            caller_tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
            await self._inject_faults()
            stop.set()
            await asyncio.gather(*caller_tasks)
            await self._wait_until_serving()
            self.results.check_executions(self.fleet)
            self.peak_memory_kib = max(each.peak_memory_kib() for each in self.fleet.instances)
        finally:
            await self.fleet.stop()
        return self.results.violations

    def _port(self, number: int) -> int:
        return self.fleet.instances[number % len(self.fleet.instances)].port

    async def _inject_faults(self) -> None:
        """Start series of faults one after the other, which may overlap."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        running: list[asyncio.Task[None]] = []
        while loop.time() < end:
            running.append(asyncio.create_task(self._inject_fault_series()))
            await asyncio.sleep(self._rng.uniform(*FAULT_INTERVAL_RANGE_SECONDS))
        await asyncio.gather(*running)

    async def _inject_fault_series(self) -> None:
        """Inject one to three faults of one kind, each started before the previous one ends."""
        kinds = (
            self._pause_instance,
            self._restart_instance,
            self._inject_store_fault,
            self._inject_server_fault,
            self._change_configuration,
        )
        kind = self._rng.choice(kinds)
        series: list[asyncio.Task[None]] = []
        for _ in range(self._rng.choice(SERIES_LENGTHS)):
            duration = self._rng.uniform(*FAULT_DURATION_RANGE_SECONDS)
            series.append(asyncio.create_task(kind(duration)))
            await asyncio.sleep(duration * self._rng.random())
        await asyncio.gather(*series)

    async def _change_configuration(self, duration: float) -> None:
        """Write a new configuration and wait for the duration of the fault."""
        self._configuration_version += 1
        self.faults.append(f"configuration {self._configuration_version}")
        await self.fleet.configure(self._configuration_version, self._rng.choice(OBJECTIVE_FACTORS))
        await asyncio.sleep(duration)

    async def _pause_instance(self, duration: float) -> None:
        instance = self._choose_instance("pause", duration)
        instance.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        instance.send_signal(signal.SIGCONT)

    async def _restart_instance(self, duration: float) -> None:
        signal_number = self._rng.choice((signal.SIGKILL, signal.SIGTERM))
        instance = self._choose_instance(f"restart by {signal_number.name}", duration)
        instance.send_signal(signal.SIGCONT)
        instance.send_signal(signal_number)
        await instance.restart()

    async def _inject_store_fault(self, duration: float) -> None:
        instance = self._choose_instance("store", duration)
        await self._inject_proxy_fault(instance.store, duration)

    async def _inject_server_fault(self, duration: float) -> None:
        await self._inject_proxy_fault(self._rng.choice(self.fleet.server_proxies), duration)

    async def _inject_proxy_fault(self, proxy: Proxy, duration: float) -> None:
        fault = self._rng.choice([each for each in Fault if each is not Fault.NONE])
        self.faults.append(f"{fault.value} at {proxy.address} for {duration:.1f} s")
        proxy.set_fault(fault, self._rng.uniform(0.05, 0.5))
        await asyncio.sleep(duration)
        proxy.set_fault(Fault.NONE)

    def _choose_instance(self, fault: str, duration: float) -> InstanceProcess:
        instance = self._rng.choice(self.fleet.instances)
        self.faults.append(f"{fault} {instance.name} for {duration:.1f} s")
        return instance

    async def _wait_until_serving(self) -> None:
        """Wait until every instance serves a stream, else record a violation."""
        for number in range(len(self.fleet.instances)):
            caller = Caller(self._port(number), f"r{number}", CallerResults(), self._rng)
            try:
                async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
                    while not await caller.send_request("probe", booking=False):
                        await asyncio.sleep(0.1)
            except TimeoutError:
                name = self.fleet.instances[number].name
                self.results.violations.append(
                    f"{name} served no stream within {RECOVERY_TIMEOUT_SECONDS:.0f} s"
                )
            caller.close()


async def soak(seed: int, seconds: float) -> Soak:
    """Run one soak and return it with its results."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak_run = Soak(seed, seconds, Path(folder))
        await soak_run.run()
        return soak_run
