"""Starts an instance on the users' platform."""

import asyncio
import os
import sys

from cactuspass._allocator import return_large_blocks
from cactuspass.exceptions import SettingsError
from cactuspass.fleet import (
    Adapter,
    ConnectionPool,
    DecisionLog,
    Instance,
    InstanceSettings,
    Metrics,
    load_instance_settings,
)
from cactuspass.platform._cloud import CloudDuties
from cactuspass.platform._control import ServerControl
from cactuspass.platform._directory import MetadataDirectory
from cactuspass.platform._requests import PlatformRequests
from cactuspass.platform._store import MetadataStore

SETTINGS_VARIABLE = "CACTUSPASS_SETTINGS"
EXIT_USAGE = 2
CLOUD_CONNECT_SECONDS = 0.5
# Within the wait of a new holder, also if the process of the earlier one is paused.
CLOUD_DISCARD_SECONDS = 1.0


def build_adapter(settings: InstanceSettings, metrics: Metrics) -> Adapter:
    """Return the parts of an instance that depend on the platform."""
    store = MetadataStore(settings.store.address, ConnectionPool(), metrics)
    control = ServerControl(ConnectionPool())
    duties = None
    if settings.duties is not None:
        pool = ConnectionPool(CLOUD_CONNECT_SECONDS, CLOUD_DISCARD_SECONDS)
        duties = CloudDuties(settings.duties.address, settings.instance.name, pool)
    return Adapter(store, MetadataDirectory(store), control, PlatformRequests(), duties)


def build_instance(path: str) -> Instance:
    """Return an instance with the settings in a file.

    :param path: path of the settings file.
    :raises SettingsError: when the file cannot be read or is invalid.
    """
    settings = load_instance_settings(path)
    metrics = Metrics()
    adapter = build_adapter(settings, metrics)
    log = DecisionLog(settings.instance.name)
    return Instance(settings, adapter, log, metrics, ConnectionPool(), path)


def main() -> int:
    """Run one instance until it receives a stop signal; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"{SETTINGS_VARIABLE} is not set; it must name the settings file", file=sys.stderr)
        return EXIT_USAGE
    try:
        instance = build_instance(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    return_large_blocks()
    asyncio.run(instance.run())
    return 0
