"""Runs many stand-ins in one process, from a TOML file or within a test."""

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

CLOSE_DELAY_SECONDS = 0.01
PLACEMENT_FIELDS = ("data_centre", "fabric_domain", "accelerators", "port", "count")

AnyStandIn = TypeVar("AnyStandIn", bound=StandIn)


class StandInHost:
    """Runs stand-ins in one process, all on the same event loop.

    Upstreams are added to the instance list if the host has one.
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
        """Add the key-value service of the platform."""
        self.platform = self._add(Platform("platform", store), port)
        return self.platform

    def add_instances(self, lag: float = 0.0, port: int = 0) -> InstanceList:
        """Add the instance list."""
        self.instances = self._add(InstanceList("instances", lag), port)
        return self.instances

    def add_network(self, viewers: list[str]) -> None:
        """Give each viewer its own instance list and platform address, both behind relays.

        :param viewers: names of the processes.
        :raises ValueError: when the platform or the instance list has not been added.
        """
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
        record = _record(InstanceRole.ENGINE, settings, data_centre)
        fabric = FabricDomainId(fabric_domain)
        self._records.append(replace(record, fabric_domain=fabric, accelerators=accelerators))
        return engine

    def add_service(
        self, settings: ServiceSettings, data_centre: str = "", port: int = 0
    ) -> Service:
        """Add an instance of a plain service."""
        service = self._add(Service(settings), port)
        self._records.append(_record(InstanceRole.SERVICE, settings, data_centre))
        return service

    def list_instance(self, record: InstanceRecord) -> None:
        """Add an instance that runs outside this host to the instance list."""
        self._records.append(record)

    async def start(self) -> None:
        """Start all stand-ins, the instance list last so that it contains all addresses."""
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
        await asyncio.sleep(CLOSE_DELAY_SECONDS)

    def _platform_relays(self) -> dict[str, str]:
        """Return the relay address of the platform for each viewer, under ``platform-VIEWER``."""
        network, platform = self.network, self.platform
        if network is None or platform is None:
            return {}
        return {
            f"platform-{viewer}": network.relay(viewer, platform.name, platform.address)
            for viewer in self._viewers
        }

    def _add(self, stand_in: AnyStandIn, port: int) -> AnyStandIn:
        if stand_in.name in self.stand_ins_by_name:
            raise ValueError(f"duplicate stand-in name: {stand_in.name}")
        self.stand_ins_by_name[stand_in.name] = stand_in
        self._ports_by_name[stand_in.name] = port
        return stand_in

    def _with_address(self, record: InstanceRecord) -> InstanceRecord:
        address = self.addresses_by_name.get(record.instance_id)
        return replace(record, address=address) if address else record


def host_from_settings(settings: Json) -> StandInHost:
    """Return a host with the stand-ins that the settings define.

    The settings have the tables ``platform``, ``instances`` and ``network``, and the lists
    ``engines``, ``services`` and ``listed``.
    An engine or service with ``count`` defines that many instances, called ``NAME-0``,
    ``NAME-1``, ...

    :raises TypeError: when a setting is unknown.
    """
    host = StandInHost()
    if "platform" in settings:
        host.add_platform(**settings["platform"])
    if "instances" in settings:
        host.add_instances(**settings["instances"])
    if "network" in settings:
        host.add_network(**settings["network"])
    for fields in _expand_counts(settings.get("engines", [])):
        placement = _pop_placement(fields)
        host.add_engine(EngineSettings(**fields), **placement)
    for fields in _expand_counts(settings.get("services", [])):
        placement = _pop_placement(fields)
        host.add_service(ServiceSettings(**fields), **placement)
    for fields in settings.get("listed", []):
        host.list_instance(record_from_json(fields))
    return host


async def run_host(settings: Json) -> None:
    """Run the stand-ins until SIGTERM or SIGINT.

    Their addresses are printed as one JSON line once all of them listen.
    """
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
    """Run the stand-ins defined in a TOML file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path, help="TOML file that names the stand-ins")
    settings = tomllib.loads(parser.parse_args().file.read_text(encoding="utf-8"))
    asyncio.run(run_host(settings))


def _record(role: InstanceRole, settings: UpstreamSettings, data_centre: str) -> InstanceRecord:
    instance_id, kind = InstanceId(settings.instance_id), KindId(settings.kind)
    return InstanceRecord(instance_id, role, "", DataCentreId(data_centre), kind=kind)


def _expand_counts(tables: list[Json]) -> list[Json]:
    single = [table for table in tables if "count" not in table]
    many = [
        table | {"instance_id": f"{table['instance_id']}-{number}"}
        for table in tables
        for number in range(table.get("count", 0))
    ]
    return single + many


def _pop_placement(fields: Json) -> dict[str, Any]:
    placement = {name: fields.pop(name) for name in PLACEMENT_FIELDS if name in fields}
    placement.pop("count", None)
    return placement


if __name__ == "__main__":
    main()
