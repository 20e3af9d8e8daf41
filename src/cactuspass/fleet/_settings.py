"""Settings of an instance, read from a TOML file."""

import tomllib
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from cactuspass._findings import Finding, findings_from_error
from cactuspass.exceptions import SettingsError


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("must be host:port")
    return address


def _check_peer_address(address: str) -> str:
    host = _check_address(address).rpartition(":")[0]
    try:
        is_reachable = not IPv4Address(host).is_unspecified
    except ValueError:
        is_reachable = False
    if not is_reachable:
        raise ValueError("must be an IPv4 address and port that other instances reach")
    return address


Address = Annotated[str, AfterValidator(_check_address)]
# Messages of other instances are accepted by their IP address.
PeerAddress = Annotated[str, AfterValidator(_check_peer_address)]
Seconds = Annotated[float, Field(ge=0)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSection(_Section):
    """Identity of this instance.

    :param name: unique name of this instance.
    :param data_centre: data centre in which this instance runs.
    :param data_centres: names of all data centres.
    """

    name: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    data_centres: tuple[str, ...] = ()


class ListenerSection(_Section):
    """Addresses at which this instance listens.

    :param callers: address for the requests of callers.
    :param readiness: address of the readiness page, which the load balancer polls.
    :param metrics: address of the metrics page; None disables the page.
    :param peers: address for the hints and feed connections of other instances; None disables it.
    """

    callers: Address
    readiness: Address
    metrics: Address | None = None
    peers: PeerAddress | None = None


class StoreSection(_Section):
    """Address of the platform's metadata store."""

    address: Address


class BoundSection(_Section):
    """Limits that the operators guarantee to callers and upstreams.

    :param key_seconds: seconds after which a revoked API key must no longer be accepted.
    :param propagation_seconds: seconds after which a change of the operators must be in force.
    :param retry_ratio: retries per request that all instances together may send.
    :param retry_slack: retries per window allowed in addition to the ratio.
    :param retry_window: length of the retry window in seconds.
    :param cold_factor: factor on the request rate that a cold upstream declares.
    :param cold_slack: requests per second allowed in addition to that rate.
    :param grace_seconds: seconds between the stop signal and the forced termination.
    """

    key_seconds: Seconds = 5.0
    propagation_seconds: Seconds = 2.0
    retry_ratio: float = Field(default=0.1, ge=0)
    retry_slack: float = Field(default=20.0, ge=0)
    retry_window: Seconds = 10.0
    cold_factor: float = Field(default=1.0, ge=0)
    cold_slack: float = Field(default=0.0, ge=0)
    grace_seconds: Seconds = 8.0


class DutySection(_Section):
    """Calls to the platform that one instance at a time makes.

    :param address: address of the platform for these calls.
    :param names: the duties; others than ``usage`` and ``scale`` are ignored.
    :param calls_per_second: calls that the platform accepts from all instances together.
    :param lease_seconds: time within which holders must not act in the order A, B, A.
    :param thaw_seconds: time after a pause in which a call of the paused holder may still arrive.
    :param window_seconds: length of a window of the usage report.
    :param late_seconds: time after the end of a window in which its report is due.
    """

    address: Address
    names: tuple[str, ...] = ()
    calls_per_second: float = Field(default=10.0, gt=0)
    lease_seconds: Seconds = 3.0
    thaw_seconds: Seconds = 0.3
    window_seconds: float = Field(default=5.0, gt=0)
    late_seconds: Seconds = 10.0


class LoadExchangeSection(_Section):
    """Exchange of loads between instances.

    :param min_instances: number of registered instances below which nothing is exchanged, since
        each of them learns the loads from the answers of the upstreams.
    """

    min_instances: int = Field(default=24, ge=2)


class MachineSection(_Section):
    """Limits of the machine for this process.

    :param memory_megabytes: memory at which the process is ended; None when it is not known.
    :param descriptors: file descriptors that it may open; None when it is not known.
    """

    memory_megabytes: float | None = Field(default=None, gt=0)
    descriptors: int | None = Field(default=None, gt=0)


class CallerSection(_Section):
    """Bounds on what all callers of this instance hold together.

    :param held_megabytes: bytes of requests and of answers in progress, in units of 1,000,000; None
        for a share of the machine's memory.
    :param connections: open connections; None for a share of the machine's descriptors.
    :param stall_seconds: time without progress after which a request is the first to lose its place
        when there is no room.
    :param min_bytes_per_second: mean rate below which an unfinished request counts as stalled.
    """

    held_megabytes: float | None = Field(default=None, ge=16, le=65_536)
    connections: int | None = Field(default=None, ge=16, le=1_000_000)
    stall_seconds: float = Field(default=3.0, ge=0.1, le=60)
    min_bytes_per_second: float = Field(default=65_536.0, ge=0, le=1_000_000_000)


class InstanceSettings(_Section):
    """All settings of an instance.

    :param duties: None where the platform has no such calls.
    :param load_exchange: None to exchange nothing.
    """

    instance: InstanceSection
    listeners: ListenerSection
    store: StoreSection
    bounds: BoundSection = BoundSection()
    machine: MachineSection = MachineSection()
    callers: CallerSection = CallerSection()
    duties: DutySection | None = None
    load_exchange: LoadExchangeSection | None = None

    @model_validator(mode="after")
    def _check_callers(self) -> Self:
        """Check that callers leave something of the machine to everything else."""
        held, memory = self.callers.held_megabytes, self.machine.memory_megabytes
        if held is not None and memory is not None and held > memory / 2:
            raise ValueError(
                "callers.held_megabytes must be half of machine.memory_megabytes at most"
            )
        connections, descriptors = self.callers.connections, self.machine.descriptors
        if connections is not None and descriptors is not None and connections >= descriptors:
            raise ValueError("callers.connections must be below machine.descriptors")
        return self


def parse_instance_settings(text: str, source: str) -> InstanceSettings:
    """Return the settings in a TOML text.

    :param source: name of the file, for messages.
    :raises SettingsError: when the text is not TOML or has invalid values; lists each mistake with
        its position.
    """
    try:
        return InstanceSettings.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise SettingsError((Finding(source, "", str(error)),)) from error
    except ValidationError as error:
        raise SettingsError(findings_from_error(source, error)) from error


def load_instance_settings(path: str) -> InstanceSettings:
    """Return the settings in a TOML file.

    :raises SettingsError: when the file cannot be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((Finding(path, "", str(error)),)) from error
    return parse_instance_settings(text, path)
