"""System under soak: instances as processes; servers and store as stand-ins behind proxies."""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import cast

from tests.metadata_store import MetadataStoreStandIn
from tests.model_servers import BookingServerStandIn, ModelServerStandIn
from tests.soak.proxy import Proxy

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "src" / "cactuspass_on_platform.py"
MODEL = "m0"
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "stream",
            "host": "a.example",
            "prefix": "/stream/",
            "kind": "stream",
            "timeout_ms": 8000,
            "goal_ms": 4000,
            "service": "llm",
            "attempts": 2,
            "resumable": True,
        },
        {
            "name": "booking",
            "host": "a.example",
            "prefix": "/booking/",
            "kind": "non_idempotent",
            "timeout_ms": 4000,
            "goal_ms": 2000,
            "service": "app",
        },
    ],
    "services": [
        {
            "name": "llm",
            "engine": {
                "slots": 8,
                "models": [{"name": MODEL, "size": 2, "share": 1.0, "load_s": 0.1, "warm_s": 0.1}],
                "loads_per_s": 20,
                "loads_at_once": 20,
            },
        },
        {"name": "app"},
    ],
    "tenants": [{"name": "t1", "api_keys": ["key-1"]}],
}


class InstanceProcess:
    """One instance in its own process, with a proxy between it and the store.

    :param folder: folder of the settings file and the log file.
    :param store: proxy in front of the store.
    :param port: port for callers.
    :param peer_port: port for other instances.
    """

    def __init__(self, name: str, folder: Path, store: Proxy, port: int, peer_port: int) -> None:
        self.name = name
        self.store = store
        self.port = port
        self._peer_port = peer_port
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._restart_lock = asyncio.Lock()

    async def start(self) -> None:
        """Write the settings file and start the process."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            f'[instance]\nname = "{self.name}"\ndata_centre = "here"\n'
            f'[listeners]\ncallers = "127.0.0.1:{self.port}"\nreadiness = "127.0.0.1:0"\n'
            f'peers = "127.0.0.1:{self._peer_port}"\n[store]\naddress = "{self.store.address}"\n',
            encoding="utf-8",
        )
        environment = {**os.environ, "CACTUSPASS_SETTINGS": str(settings)}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, str(PROGRAM), stdout=log, stderr=log, env=environment
            )

    def peak_memory_kib(self) -> int:
        """Return the peak resident memory of the process in KiB; 0 when it has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        return next(int(line.split()[1]) for line in status.splitlines() if "VmHWM" in line)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def restart(self) -> None:
        """Wait until the process has ended and start it again; concurrent calls start it once."""
        ended = self._process
        await self.wait()
        async with self._restart_lock:
            if self._process is ended:
                await self.start()

    async def wait(self) -> None:
        """Wait until the process has ended."""
        if self._process is not None:
            await self._process.wait()


class SoakFleet:
    """Three instances, six model servers, two booking servers and one store.

    :param folder: folder of the settings and log files.
    :param ports: two ports for each instance, for callers and for peers.
    """

    def __init__(self, folder: Path, ports: list[int]) -> None:
        self._folder = folder
        self._ports = ports
        self.store = MetadataStoreStandIn()
        self.instances: list[InstanceProcess] = []
        self.models: list[ModelServerStandIn] = []
        self.bookings: list[BookingServerStandIn] = []
        self.server_proxies: list[Proxy] = []

    async def start(self) -> None:
        """Start the store, the servers and the instances, in this order."""
        self.store.start()
        await self.store.put("op/config", MANIFEST)
        for number in range(6):
            model = ModelServerStandIn(f"m-{number}", self.store, "llm")
            self.models.append(model)
            await model.start([MODEL], self._proxy)
        for number in range(2):
            booking = BookingServerStandIn(f"b-{number}", self.store, "app")
            self.bookings.append(booking)
            await booking.start([], self._proxy)
        pairs = zip(self._ports[::2], self._ports[1::2], strict=True)
        for number, (port, peer_port) in enumerate(pairs):
            proxy = Proxy(self.store.address)
            await proxy.start()
            instance = InstanceProcess(f"e-{number}", self._folder, proxy, port, peer_port)
            self.instances.append(instance)
            await instance.start()

    async def stop(self) -> None:
        """Kill the instances and stop the servers, the proxies and the store."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            await instance.wait()
            await instance.store.stop()
        for server in (*self.models, *self.bookings):
            server.stop()
        for proxy in self.server_proxies:
            await proxy.stop()
        self.store.stop()

    async def configure(self, version: int, objective_factor: float) -> None:
        """Write a new configuration to the store.

        :param objective_factor: factor by which the objectives of the routes are multiplied.
        """
        routes = [
            {**route, "goal_ms": int(route["goal_ms"] * objective_factor)}  # type: ignore[operator]
            for route in cast(list[dict[str, object]], MANIFEST["routes"])
        ]
        await self.store.put("op/config", {**MANIFEST, "version": version, "routes": routes})

    async def _proxy(self, address: str) -> str:
        proxy = Proxy(address)
        await proxy.start()
        self.server_proxies.append(proxy)
        return proxy.address
