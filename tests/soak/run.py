"""One soak with a seed: callers go on while faults come in series and overlap."""

import asyncio
import random
import signal
import socket
import tempfile
from pathlib import Path

from tests.soak.callers import Caller, Ledger
from tests.soak.fleet import InstanceProcess, SoakFleet
from tests.soak.proxy import Proxy, Trouble

CALLERS = 6
RECOVERY_SECONDS = 60.0
FAULT_SECONDS = (0.3, 3.0)
PAUSE_SECONDS = (0.2, 1.5)
SERIES = (1, 1, 1, 2, 3)
GOAL_FACTORS = (0.5, 1.0, 2.0)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Soak:
    """A fleet, its callers, and the faults that a seed draws."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self.fleet = SoakFleet(folder, free_ports(6))
        self.ledger = Ledger()
        self.faults: list[str] = []
        self.peak_memory = 0
        self._version = 1

    async def run(self) -> list[str]:
        """Run the soak; return the promises that were broken."""
        await self.fleet.start()
        try:
            await self._recover()
            done = asyncio.Event()
            callers = [
                Caller(self._port(n), f"c{n}", self.ledger, random.Random(self._rng.random()))
                for n in range(CALLERS)
            ]
            calling = [asyncio.create_task(caller.run(done)) for caller in callers]
            await self._strike()
            done.set()
            await asyncio.gather(*calling)
            await self._recover()
            self.ledger.check_runs(self.fleet)
            self.peak_memory = max(each.peak_memory() for each in self.fleet.instances)
        finally:
            await self.fleet.stop()
        return self.ledger.violations

    def _port(self, number: int) -> int:
        return self.fleet.instances[number % len(self.fleet.instances)].port

    async def _strike(self) -> None:
        """Begin faults one after the other; they overlap."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        running: list[asyncio.Task[None]] = []
        while loop.time() < end:
            running.append(asyncio.create_task(self._fault()))
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        await asyncio.gather(*running)

    async def _fault(self) -> None:
        """Make one fault, or a series of one kind, each beginning before the last has ended."""
        kinds = (
            self._pause,
            self._restart,
            self._trouble_store,
            self._trouble_server,
            self._change,
        )
        kind = self._rng.choice(kinds)
        series: list[asyncio.Task[None]] = []
        for _ in range(self._rng.choice(SERIES)):
            lasts = self._rng.uniform(*FAULT_SECONDS)
            series.append(asyncio.create_task(kind(lasts)))
            await asyncio.sleep(lasts * self._rng.random())
        await asyncio.gather(*series)

    async def _change(self, lasts: float) -> None:
        """Put another configuration in force, and let it be for a while."""
        self._version += 1
        self.faults.append(f"configuration {self._version}")
        await self.fleet.configure(self._version, self._rng.choice(GOAL_FACTORS))
        await asyncio.sleep(lasts)

    async def _pause(self, lasts: float) -> None:
        instance = self._instance("pause", lasts)
        instance.send(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        instance.send(signal.SIGCONT)

    async def _restart(self, lasts: float) -> None:
        number = self._rng.choice((signal.SIGKILL, signal.SIGTERM))
        instance = self._instance(f"restart by {number.name}", lasts)
        instance.send(signal.SIGCONT)
        instance.send(number)
        await instance.restart()

    async def _trouble_store(self, lasts: float) -> None:
        instance = self._instance("store", lasts)
        await self._trouble(instance.store, lasts)

    async def _trouble_server(self, lasts: float) -> None:
        await self._trouble(self._rng.choice(self.fleet.server_proxies), lasts)

    async def _trouble(self, proxy: Proxy, lasts: float) -> None:
        trouble = self._rng.choice([each for each in Trouble if each is not Trouble.NONE])
        self.faults.append(f"{trouble.value} at {proxy.address} for {lasts:.1f} s")
        proxy.set(trouble, self._rng.uniform(0.05, 0.5))
        await asyncio.sleep(lasts)
        proxy.set(Trouble.NONE)

    def _instance(self, what: str, lasts: float) -> InstanceProcess:
        instance = self._rng.choice(self.fleet.instances)
        self.faults.append(f"{what} {instance.name} for {lasts:.1f} s")
        return instance

    async def _recover(self) -> None:
        """Wait until every instance serves a stream and a booking."""
        for number in range(len(self.fleet.instances)):
            caller = Caller(self._port(number), f"r{number}", Ledger(), self._rng)
            try:
                async with asyncio.timeout(RECOVERY_SECONDS):
                    while not await caller.ask("probe", booking=False):
                        await asyncio.sleep(0.1)
            except TimeoutError:
                name = self.fleet.instances[number].name
                self.ledger.violations.append(f"{name} serves nothing after the faults")
            caller.close()


async def soak(seed: int, seconds: float) -> Soak:
    """Run one soak and return it, with what it found."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        run = Soak(seed, seconds, Path(folder))
        await run.run()
        return run
