"""Validated models of the sections of the settings file."""

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
    """An IP address and a port; with port 0 the system chooses a free port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``, where host is an IPv4 address or an IPv6 address in brackets.

    :raises ValueError: if the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be IP:port, with a port from 0 to 65535")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ip_address(host)
    except ValueError:
        raise ValueError("host must be an IP address") from None
    return Address(host, int(port))


def _validate_address(value: Any) -> Any:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("must be text of the form IP:port")
    return parse_address(value)


def _validate_priority(value: Any) -> Any:
    if isinstance(value, Priority):
        return value
    names = {priority.name.lower(): priority for priority in Priority}
    if not isinstance(value, str) or value not in names:
        raise ValueError(f"must be one of {', '.join(names)}")
    return names[value]


AddressText = Annotated[Address, BeforeValidator(_validate_address)]
PriorityName = Annotated[Priority, BeforeValidator(_validate_priority)]
Name = Annotated[str, Field(min_length=1, max_length=128)]
Seconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1)]


class Section(BaseModel):
    """Base class of all sections: immutable; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogFormat(Enum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Lowest level of the log lines that are written."""

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
    """Addresses of the platform's services and limits on their use."""

    addresses: tuple[AddressText, ...] = Field(
        min_length=1, description="Addresses of the key-value service, tried in turn."
    )
    instance_list: AddressText = Field(description="Address of the list of instances.")
    timeout_seconds: Seconds = Field(default=1.0, description="Timeout of one call.")
    write_budget_per_second: Seconds = Field(
        default=200.0, description="Claim writes per second allowed for the whole fleet."
    )
    fleet_entries: Count = Field(
        default=6,
        description="Number of entry instances in the whole fleet, which share the write budget.",
    )


class PeerSettings(Section):
    """Authentication between entries."""

    token: Name = Field(repr=False, description="Secret shared by all entries.")


class OperatorSettings(Section):
    """Authentication of operators."""

    token: Name = Field(repr=False, description="Secret that operators send.")


class LimitSettings(Section):
    """Limits of one entry instance."""

    body_bytes: Count = Field(default=4 * MEBIBYTE, description="Maximum size of a request body.")
    header_bytes: Count = Field(
        default=64 * KIBIBYTE, description="Maximum size of the header section of a request."
    )
    node_memory_bytes: Count = Field(
        default=128 * MEBIBYTE,
        description="Maximum number of answer bytes that the entry buffers.",
    )
    stream_memory_bytes: Count = Field(
        default=256 * KIBIBYTE,
        description="Maximum number of bytes of one answer buffered for a slow reader.",
    )
    caller_memory_bytes: int = Field(
        default=96 * MEBIBYTE,
        ge=16 * MEBIBYTE,
        le=65_536 * MEBIBYTE,
        description="Maximum number of bytes that callers' requests and connections hold together.",
    )
    caller_connections: int = Field(
        default=16_384,
        ge=16,
        le=1_000_000,
        description="Maximum number of open connections of callers.",
    )
    caller_stall_seconds: float = Field(
        default=3.0,
        ge=0.1,
        le=60.0,
        description="Time without progress after which a request is the first to lose its place.",
    )
    caller_min_bytes_per_second: float = Field(
        default=65_536.0,
        ge=0,
        le=1_000_000_000,
        description="Mean rate below which an unfinished request counts as stalled.",
    )
    queued_requests: Count = Field(
        default=512, description="Maximum number of queued requests per model."
    )
    queued_requests_per_customer: Count = Field(
        default=256, description="Maximum number of queued requests per model and customer."
    )
    default_deadline_seconds: Seconds = Field(
        default=30.0, description="Deadline for the first byte if the caller sets none."
    )
    max_deadline_seconds: Seconds = Field(
        default=300.0, description="Longest deadline for the first byte that a caller may set."
    )
    drain_seconds: Seconds = Field(
        default=600.0, description="Maximum time to wait for running requests at shutdown."
    )


class LoggingSettings(Section):
    """Format and destination of the log lines."""

    format: LogFormat = Field(default=LogFormat.TEXT, description="Format of the log lines.")
    level: LogLevel = Field(
        default=LogLevel.INFO, description="Lowest level of the log lines that are written."
    )
    file: Name | None = Field(
        default=None, description="File to append the log to; standard error if absent."
    )


class StatsdSettings(Section):
    """Address and prefix of the metrics sent to statsd."""

    host: Name = Field(default="127.0.0.1", description="IP address of the statsd server.")
    port: int = Field(default=8125, ge=1, le=MAX_PORT, description="UDP port of the statsd server.")
    prefix: str = Field(default="cactuspass", description="Prefix of all metric names.")


class UpstreamKindSettings(Section):
    """One kind of upstream."""

    kind: KindId = Field(min_length=1, description="Name of the kind in the instance list.")
    cold_requests: Count = Field(
        default=1, description="Concurrent requests that a freshly started upstream can run."
    )
    full_requests: Count = Field(
        default=8, description="Concurrent requests that a warm upstream can run."
    )
    warm_step: Seconds = Field(
        default=1.0, description="Increase of the concurrency limit with each completed request."
    )
    memory_tokens: int = Field(
        default=0,
        ge=0,
        description="Prompt and output tokens that fit into its memory; 0 means no limit.",
    )
    checks_fence: bool = Field(
        default=False, description="Whether it refuses an order with an outdated fencing number."
    )
    is_engine: bool = Field(
        default=True, description="False for a plain service, whose instances serve independently."
    )

    def to_kind(self) -> UpstreamKind:
        """Return the kind in the form that the decision core uses."""
        return UpstreamKind(**self.model_dump())


class ServiceSettings(Section):
    """One plain service."""

    name: ServiceId = Field(
        min_length=1, pattern=r"^[A-Za-z0-9._-]+$", description="Name in the request path."
    )
    kind: KindId = Field(
        description="Kind of its instances; it must be declared with `is_engine = false`."
    )


class CustomerSettings(Section):
    """One customer."""

    id: CustomerId = Field(min_length=1, description="Unique id.")
    api_key: Name = Field(repr=False, description="Secret in the `Authorization` header.")
    weight: Seconds = Field(
        default=1.0, description="Relative share of the capacity under contention."
    )
    priority: PriorityName = Field(
        default=Priority.NORMAL,
        description="Priority of requests that set none: high, normal or low.",
    )


class ObjectiveSettings(Section):
    """One service-level objective."""

    customer: CustomerId = Field(
        default=CustomerId("*"), description="Customer, or `*` for every customer."
    )
    model: ModelId = Field(default=ModelId("*"), description="Model, or `*` for every model.")
    first_token_seconds: Seconds = Field(description="Time within which the first token is due.")
    share: float = Field(
        default=0.95, gt=0, lt=1, description="Share of requests whose first token must be in time."
    )
    window_seconds: Seconds = Field(
        default=2_592_000.0, description="Period over which the objective is evaluated."
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
        """Upstream kinds by their id."""
        return {kind.kind: kind.to_kind() for kind in self.upstream_kinds}

    @property
    def customers_by_id(self) -> dict[CustomerId, CustomerSettings]:
        """Customers by their id."""
        return {customer.id: customer for customer in self.customers}
