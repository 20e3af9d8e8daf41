"""Decodes the operators' manifest into a catalog."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, FailFast, Field, ValidationError, model_validator

from cactuspass._findings import findings_from_error
from cactuspass.exceptions import DocumentError
from cactuspass.fleet import (
    CallerLimits,
    Catalog,
    Customer,
    DataCentreDelay,
    EngineSpec,
    ModelSpec,
    Route,
    RouteKind,
    ScalingLimits,
    Service,
    ServiceShare,
)
from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId
from cactuspass.platform._names import CONFIG_KEY

KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}
Count = Annotated[int, Field(ge=0)]


class _Document(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class _Split(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "stream"]
    timeout_ms: float
    goal_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: Annotated[tuple[_Split, ...], FailFast()] = ()
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    def decode(self) -> Route:
        """Return the route; ``service`` is short for a split with a single service."""
        shares = tuple(ServiceShare(ServiceId(s.service), s.weight) for s in self.split)
        if self.service is not None:
            shares = (ServiceShare(ServiceId(self.service), 1.0),)
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            kind=KIND_BY_NAME[self.kind],
            shares=shares,
            timeout=self.timeout_ms / 1000,
            objective=self.goal_ms / 1000,
            max_upstreams=max(1, self.attempts),
            priority=self.priority,
            public=self.public,
            resumable=self.resumable,
            gap_objective=self.gap_aim_ms / 1000,
        )


class _Model(_Document):
    name: str
    size: Annotated[int, Field(ge=1)]
    share: float = 0.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0

    def decode(self) -> ModelSpec:
        """Return the model; ``pace`` is a factor on all times, so lower is faster."""
        return ModelSpec(
            ModelId(self.name), self.size, self.pace, self.share, self.load_s, self.warm_s
        )


class _Delay(_Document):
    source: Annotated[str, Field(alias="from")]
    target: str
    delay_ms: Annotated[float, Field(ge=0)]

    def decode(self) -> DataCentreDelay:
        """Return the delay."""
        return DataCentreDelay(
            DataCentreId(self.source), DataCentreId(self.target), self.delay_ms / 1000
        )


class _Usual(_Document):
    prompt: Annotated[float, Field(ge=0)] = 0.0
    answer: Annotated[float, Field(ge=0)] = 0.0


class _Engine(_Document):
    slots: Annotated[int, Field(ge=1)]
    step_ms: float = 6.0
    per_seq_ms: float = 0.0
    loads_per_s: float = 1.0
    loads_at_once: Annotated[int, Field(ge=1)] = 1
    stride: Annotated[int, Field(ge=1)] = 1
    chunk: Annotated[int, Field(ge=1)] = 2048
    read_per_s: Annotated[float, Field(gt=0)] = 20_000.0
    models: Annotated[tuple[_Model, ...], FailFast()] = ()
    usual: _Usual = _Usual()
    delays: Annotated[tuple[_Delay, ...], FailFast()] = ()

    def decode(self) -> EngineSpec:
        """Return the engine; all numbers apply to a whole group, not to one server.

        ``stride`` is a number of steps, ``chunk`` a number of prompt tokens, and ``read_per_s`` a
        number of prompt tokens per second.
        """
        models = [model.decode() for model in self.models]
        return EngineSpec(
            slots=self.slots,
            models_by_id={model.model: model for model in models},
            step_seconds=self.step_ms / 1000,
            step_seconds_per_request=self.per_seq_ms / 1000,
            loads_per_second=self.loads_per_s,
            loads_at_once=self.loads_at_once,
            steps_per_event=self.stride,
            prompt_tokens_per_step=self.chunk,
            prompt_tokens_per_second=self.read_per_s,
            usual_prompt_tokens=self.usual.prompt,
            usual_output_tokens=self.usual.answer,
            delays=tuple(delay.decode() for delay in self.delays),
        )


class _Autoscale(_Document):
    min: Count
    max: Count
    boot_s: Annotated[float, Field(ge=0)] = 0.0

    @model_validator(mode="after")
    def _check_order(self) -> "_Autoscale":
        if self.min > self.max:
            raise ValueError("min is over max")
        return self

    def decode(self) -> ScalingLimits:
        """Return the limits."""
        return ScalingLimits(self.min, self.max, self.boot_s)


class _Service(_Document):
    name: str
    health_path: str = "/health"
    max_conns: Count = 64
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    autoscale: _Autoscale | None = None

    def decode(self) -> Service:
        """Return the service."""
        return Service(
            ServiceId(self.name),
            self.health_path,
            self.max_conns,
            self.cold_per_s,
            self.engine.decode() if self.engine is not None else None,
            self.autoscale.decode() if self.autoscale is not None else None,
        )


class _Tenant(_Document):
    name: str
    api_keys: Annotated[tuple[str, ...], FailFast()] = ()
    priority: int | None = None


class _Limits(_Document):
    header_bytes: Count = 16_384
    body_bytes: Count = 4_194_304
    header_ms: float = 3000.0
    idle_ms: float = 15_000.0


class _Manifest(_Document):
    version: int
    routes: Annotated[tuple[_Route, ...], FailFast()] = ()
    services: Annotated[tuple[_Service, ...], FailFast()] = ()
    tenants: Annotated[tuple[_Tenant, ...], FailFast()] = ()
    limits: _Limits = _Limits()


def decode_catalog(value: bytes) -> Catalog:
    """Return the catalog that a manifest declares.

    :param value: the manifest as JSON.
    :raises DocumentError: when the manifest is invalid; has each mistake with its position, but of
        a list only those of its first invalid item.
    """
    try:
        manifest = _Manifest.model_validate_json(value)
    except ValidationError as error:
        raise DocumentError(findings_from_error(CONFIG_KEY, error)) from error
    limits = manifest.limits
    return Catalog(
        version=manifest.version,
        routes=tuple(route.decode() for route in manifest.routes),
        services_by_id={ServiceId(s.name): s.decode() for s in manifest.services},
        customers=tuple(
            Customer(CustomerId(tenant.name), tenant.api_keys, tenant.priority)
            for tenant in manifest.tenants
        ),
        limits=CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms / 1000,
            limits.idle_ms / 1000,
        ),
    )
