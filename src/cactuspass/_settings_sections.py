"""The sections of the settings file as validated models."""

from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from cactuspass.models import (
    CustomerId,
    DataCentreId,
    EntryId,
    KindId,
    ModelId,
    Priority,
    ServiceId,
    UpstreamKind,
)

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port; port 0 lets the system choose a free one."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``, where host is an IPv4 number or an IPv6 number in brackets.

    :raises ValueError: when the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be IP:port, with a port from 0 to 65535")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ip_address(host)
    except ValueError:
        raise ValueError("must name the host by its IP number") from None
    return Address(host, int(port))


def _address(value: Any) -> Any:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("must be text of the form IP:port")
    return parse_address(value)


def _priority(value: Any) -> Any:
    if isinstance(value, Priority):
        return value
    names = {priority.name.lower(): priority for priority in Priority}
    if not isinstance(value, str) or value not in names:
        raise ValueError(f"must be one of {', '.join(names)}")
    return names[value]


AddressText = Annotated[Address, BeforeValidator(_address)]
PriorityName = Annotated[Priority, BeforeValidator(_priority)]
Name = Annotated[str, Field(min_length=1, max_length=128)]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1)]


class Section(BaseModel):
    """Base of all sections: frozen, and unknown keys are mistakes."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogFormat(Enum):
    """Form of a log line."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Lowest level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ListenerSettings(Section):
    """Listeners of one entry instance."""

    callers: AddressText = Field(description="Listener for callers.")
    operators: AddressText = Field(description="Listener for operators.")
    peers: AddressText = Field(description="Listener for other entries.")
    advertised_peers: AddressText | None = Field(
        default=None, description="Address that other entries use, when it differs from `peers`."
    )


class PlatformSettings(Section):
    """How to reach the platform and how much to ask of it."""

    addresses: tuple[AddressText, ...] = Field(
        min_length=1, description="Addresses of the key-value service, tried in turn."
    )
    instance_list: AddressText = Field(description="Address of the list of instances.")
    timeout_seconds: Seconds = Field(default=1.0, description="Longest wait for one call.")
    write_budget_per_second: Seconds = Field(
        default=200.0, description="Claim writes per second that the whole fleet may make."
    )
    fleet_entries: Count = Field(
        default=6, description="Entry instances of the whole fleet, which share the write budget."
    )


class PeerSettings(Section):
    """What entries need to trust each other."""

    token: Name = Field(repr=False, description="Secret shared by all entries.")


class OperatorSettings(Section):
    """What operators need to be trusted."""

    token: Name = Field(repr=False, description="Secret that operators send.")


class LimitSettings(Section):
    """Bounds on what one entry instance takes on."""

    body_bytes: Count = Field(default=4 * MEBIBYTE, description="Largest body of a request.")
    header_bytes: Count = Field(default=64 * KIBIBYTE, description="Largest header of a request.")
    node_memory_bytes: Count = Field(
        default=128 * MEBIBYTE,
        description="Bytes of answers that the entry holds at most.",
    )
    stream_memory_bytes: Count = Field(
        default=256 * KIBIBYTE, description="Bytes of one answer held for a slow reader at most."
    )
    queued_requests: Count = Field(
        default=512, description="Requests that wait for one model at most."
    )
    queued_requests_per_customer: Count = Field(
        default=256, description="Requests of one customer that wait for one model at most."
    )
    default_deadline_seconds: Seconds = Field(
        default=30.0, description="Time to the first byte when the caller names none."
    )
    max_deadline_seconds: Seconds = Field(
        default=300.0, description="Longest time to the first byte that a caller may ask for."
    )
    drain_seconds: Seconds = Field(
        default=600.0, description="Longest wait for running requests at shutdown."
    )


class LoggingSettings(Section):
    """Form and destination of log lines."""

    format: LogFormat = Field(default=LogFormat.TEXT, description="Form of a log line.")
    level: LogLevel = Field(default=LogLevel.INFO, description="Lowest level that is written.")
    file: Name | None = Field(
        default=None, description="File to append to; standard error when absent."
    )


class StatsdSettings(Section):
    """Where counters are sent."""

    host: Name = Field(default="127.0.0.1", description="IP number of the statsd server.")
    port: int = Field(default=8125, ge=1, le=MAX_PORT, description="UDP port of the statsd server.")
    prefix: str = Field(default="cactuspass", description="Prefix of all names.")


class UpstreamKindSettings(Section):
    """One kind of upstream."""

    kind: KindId = Field(min_length=1, description="Name of the kind in the instance list.")
    cold_requests: Count = Field(
        default=1, description="Requests that a fresh upstream bears at once."
    )
    full_requests: Count = Field(
        default=8, description="Requests that a warm upstream bears at once."
    )
    warm_step: Seconds = Field(
        default=1.0, description="Requests the bearable load grows by with each completed request."
    )
    memory_tokens: int = Field(
        default=0,
        ge=0,
        description="Prompt and output tokens that fit its memory; 0 means no limit.",
    )
    checks_fence: bool = Field(
        default=False, description="Whether it refuses an order with an old fencing number."
    )
    is_engine: bool = Field(default=True, description="False for a plain service.")

    def to_kind(self) -> UpstreamKind:
        """Return the entity that the decision layer uses."""
        return UpstreamKind(**self.model_dump())


class ServiceSettings(Section):
    """One plain service."""

    name: ServiceId = Field(min_length=1, pattern=r"^[A-Za-z0-9._-]+$", description="Path name.")
    kind: KindId = Field(description="Kind of its instances; must be a plain service.")


class CustomerSettings(Section):
    """One customer."""

    id: CustomerId = Field(min_length=1, description="Unique id.")
    api_key: Name = Field(repr=False, description="Secret in the `Authorization` header.")
    weight: Seconds = Field(default=1.0, description="Share of capacity under contention.")
    priority: PriorityName = Field(
        default=Priority.NORMAL,
        description="Priority of requests that name none: high, normal or low.",
    )


class ObjectiveSettings(Section):
    """One service-level objective."""

    customer: CustomerId = Field(
        default=CustomerId("*"), description="Customer, or `*` for each one."
    )
    model: ModelId = Field(default=ModelId("*"), description="Model, or `*` for each one.")
    first_token_seconds: Seconds = Field(description="Time within which the first token is due.")
    share: float = Field(
        default=0.95, gt=0, lt=1, description="Share of requests that must be in time."
    )
    window_seconds: Seconds = Field(
        default=2_592_000.0, description="Period over which the objective is kept."
    )


class Settings(Section):
    """All settings of one entry instance."""

    entry_id: EntryId = Field(min_length=1, description="Unique id of the entry instance.")
    data_centre: DataCentreId = Field(min_length=1, description="Data centre of the entry.")
    listeners: ListenerSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings
    limits: LimitSettings = LimitSettings()
    logging: LoggingSettings = LoggingSettings()
    statsd: StatsdSettings | None = None
    upstream_kinds: tuple[UpstreamKindSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
    customers: tuple[CustomerSettings, ...] = ()
    objectives: tuple[ObjectiveSettings, ...] = ()

    @property
    def kinds_by_id(self) -> dict[KindId, UpstreamKind]:
        """Return the kinds of upstream by their id."""
        return {kind.kind: kind.to_kind() for kind in self.upstream_kinds}

    @property
    def customers_by_id(self) -> dict[CustomerId, CustomerSettings]:
        """Return the customers by their id."""
        return {customer.id: customer for customer in self.customers}
