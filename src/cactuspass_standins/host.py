"""Hosts many stand-ins in one process, from a TOML file or within a test."""

import argparse
import asyncio
import json
import signal
import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

from cactuspass.models import (
    DataCentreId,
    FabricDomainId,
    InstanceId,
    InstanceRecord,
    InstanceRole,
    KindId,
)
from cactuspass_standins._engine import Engine, EngineSettings
from cactuspass_standins._instances import InstanceList, record_from_json
from cactuspass_standins._key_value_store import KeyValueStore
from cactuspass_standins._network import ListView, Network
from cactuspass_standins._platform import Platform
from cactuspass_standins._registry import EngineRegistry
from cactuspass_standins._service import Service, ServiceSettings
from cactuspass_standins._stand_in import Json, StandIn
from cactuspass_standins._upstream import UpstreamSettings

CLOSE_SECONDS = 0.01
PLACE_FIELDS = ("data_centre", "fabric_domain", "accelerators", "port", "count")

AnyStandIn = TypeVar("AnyStandIn", bound=StandIn)


class StandInHost:
    """Stand-ins of one process, all on its event loop.

    Upstreams are put on the instance list when the host has one.
    """

    def __init__(self) -> None:
        self.stand_ins_by_name: dict[str, StandIn] = {}
        self.registry = EngineRegistry()
        self.instances: InstanceList | None = None
        self.platform: Platform | None = None
        self.network: Network | None = None
        self._viewers: tuple[str, ...] = ()
        self._ports_by_name: dict[str, int] = {}
        self._records: list[InstanceRecord] = []

    @property
    def addresses_by_name(self) -> dict[str, str]:
        """Return ``host:port`` of each stand-in."""
        addresses = {name: item.address for name, item in self.stand_ins_by_name.items()}
        return addresses | self._platform_relays()

    def add_platform(self, store: KeyValueStore | None = None, port: int = 0) -> Platform:
        """Add the key-value service."""
        self.platform = self._add(Platform("platform", store), port)
        return self.platform

    def add_instances(self, lag: float = 0.0, port: int = 0) -> InstanceList:
        """Add the instance list."""
        self.instances = self._add(InstanceList("instances", lag), port)
        return self.instances

    def add_network(self, viewers: list[str]) -> None:
        """Give each viewer a list and a platform address of its own, behind relays."""
        if self.instances is None or self.platform is None:
            raise ValueError("a network needs the platform and the instance list")
        self.network = self._add(Network(), 0)
        self._viewers = tuple(viewers)
        for viewer in viewers:
            self._add(ListView(viewer, self.instances, self.network), 0)

    def add_engine(
        self,
        settings: EngineSettings,
        data_centre: str = "",
        fabric_domain: str = "",
        accelerators: int = 1,
        port: int = 0,
    ) -> Engine:
        """Add an engine."""
        engine = self._add(Engine(settings, self.registry), port)
        place = _record(InstanceRole.ENGINE, settings, data_centre)
        fabric = FabricDomainId(fabric_domain)
        self._records.append(replace(place, fabric_domain=fabric, accelerators=accelerators))
        return engine

    def add_service(
        self, settings: ServiceSettings, data_centre: str = "", port: int = 0
    ) -> Service:
        """Add an instance of a plain service."""
        service = self._add(Service(settings), port)
        self._records.append(_record(InstanceRole.SERVICE, settings, data_centre))
        return service

    def list_instance(self, record: InstanceRecord) -> None:
        """Put an instance that runs elsewhere on the instance list."""
        self._records.append(record)

    async def start(self) -> None:
        """Listen everywhere, the instance list last so that it knows all addresses."""
        for name, stand_in in self.stand_ins_by_name.items():
            if stand_in is not self.instances:
                stand_in.start(self._ports_by_name[name])
        if self.instances is not None:
            for record in self._records:
                self.instances.add(self._with_address(record))
            self.instances.start(self._ports_by_name[self.instances.name])

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for stand_in in self.stand_ins_by_name.values():
            stand_in.stop()
        await asyncio.sleep(CLOSE_SECONDS)

    def _platform_relays(self) -> dict[str, str]:
        """Return the platform's address of each viewer, called ``platform-VIEWER``."""
        network, platform = self.network, self.platform
        if network is None or platform is None:
            return {}
        return {
            f"platform-{viewer}": network.relay(viewer, platform.name, platform.address)
            for viewer in self._viewers
        }

    def _add(self, stand_in: AnyStandIn, port: int) -> AnyStandIn:
        if stand_in.name in self.stand_ins_by_name:
            raise ValueError(f"two stand-ins are called {stand_in.name}")
        self.stand_ins_by_name[stand_in.name] = stand_in
        self._ports_by_name[stand_in.name] = port
        return stand_in

    def _with_address(self, record: InstanceRecord) -> InstanceRecord:
        address = self.addresses_by_name.get(record.instance_id)
        return replace(record, address=address) if address else record


def host_from_settings(settings: Json) -> StandInHost:
    """Return a host with the stand-ins that the settings name.

    Tables: ``platform``, ``instances``, ``network``, and lists ``engines``, ``services`` and
    ``listed``.
    An engine or service with ``count`` stands for instances called ``NAME-0``, ``NAME-1``, ...

    :raises TypeError: when a setting is unknown.
    """
    host = StandInHost()
    if "platform" in settings:
        host.add_platform(**settings["platform"])
    if "instances" in settings:
        host.add_instances(**settings["instances"])
    if "network" in settings:
        host.add_network(**settings["network"])
    for fields in _numbered(settings.get("engines", [])):
        place = _take_place(fields)
        host.add_engine(EngineSettings(**fields), **place)
    for fields in _numbered(settings.get("services", [])):
        place = _take_place(fields)
        host.add_service(ServiceSettings(**fields), **place)
    for fields in settings.get("listed", []):
        host.list_instance(record_from_json(fields))
    return host


async def run_host(settings: Json) -> None:
    """Run the stand-ins until SIGTERM or SIGINT; print their addresses as one JSON line."""
    host = host_from_settings(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await host.start()
    print(json.dumps(host.addresses_by_name), flush=True)
    await stopped.wait()
    await host.stop()


def main() -> None:
    """Run the stand-ins of the named TOML file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path, help="TOML file that names the stand-ins")
    settings = tomllib.loads(parser.parse_args().file.read_text(encoding="utf-8"))
    asyncio.run(run_host(settings))


def _record(role: InstanceRole, settings: UpstreamSettings, data_centre: str) -> InstanceRecord:
    instance_id, kind = InstanceId(settings.instance_id), KindId(settings.kind)
    return InstanceRecord(instance_id, role, "", DataCentreId(data_centre), kind=kind)


def _numbered(tables: list[Json]) -> list[Json]:
    single = [table for table in tables if "count" not in table]
    many = [
        table | {"instance_id": f"{table['instance_id']}-{number}"}
        for table in tables
        for number in range(table.get("count", 0))
    ]
    return single + many


def _take_place(fields: Json) -> dict[str, Any]:
    place = {name: fields.pop(name) for name in PLACE_FIELDS if name in fields}
    place.pop("count", None)
    return place


if __name__ == "__main__":
    main()
