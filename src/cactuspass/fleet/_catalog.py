"""The operators' declarations: routes, services, models and customers."""

from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId

# Of the time of a usual request at a full group; the requests of a model may be longer than usual.
MAX_TIME_FACTOR = 1.5


class RouteKind(Enum):
    """Kind of a route, which decides how far its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to one service."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Declaration for the requests to one host whose path starts with a prefix.

    :param timeout: longest time in seconds that a request may take.
    :param objective: time in seconds within which a response, or the first event of a stream,
        should arrive.
    :param max_upstreams: number of upstreams that one request may be sent to.
    :param public: whether requests need no key.
    :param resumable: whether a broken stream may be resumed at another upstream.
    :param gap_objective: longest acceptable time in seconds between two events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_upstreams: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False
    gap_objective: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that is served by groups of upstreams.

    :param size: number of members of a group.
    :param pace: factor applied to all times of a group; below 1 is faster.
    :param demand_share: declared share of the requests, between 0 and 1.
    :param load_seconds: time to load the weights from the weight store.
    :param warm_seconds: time to join a group when the weights are already on the host.
    """

    model: ModelId
    size: int
    pace: float = 1.0
    demand_share: float = 0.0
    load_seconds: float = 0.0
    warm_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class DataCentreDelay:
    """Seconds of one way between two data centres, in either direction."""

    source: DataCentreId
    target: DataCentreId
    seconds: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Timing and capacity of the engines of a service.

    :param slots: number of requests that one group runs concurrently.
    :param step_seconds: time of one step, which generates a token for each running request.
    :param step_seconds_per_request: time that each running request adds to a step.
    :param loads_per_second: loads from the weight store that may start per second.
    :param loads_at_once: loads that can run concurrently without slowing each other.
    :param steps_per_event: steps whose tokens are sent together as one event.
    :param prompt_tokens_per_step: largest number of prompt tokens that are processed between two
        events.
    :param prompt_tokens_per_second: speed of prompt processing.
    :param usual_prompt_tokens: mean number of prompt tokens of a request; 0 when not declared.
    :param usual_output_tokens: mean number of output tokens of a request; 0 when not declared.
    :param delays: delays between data centres.
    """

    slots: int
    models_by_id: dict[ModelId, ModelSpec]
    step_seconds: float = 0.006
    step_seconds_per_request: float = 0.0
    loads_per_second: float = 1.0
    loads_at_once: int = 1
    steps_per_event: int = 1
    prompt_tokens_per_step: int = 2048
    prompt_tokens_per_second: float = 20_000.0
    usual_prompt_tokens: float = 0.0
    usual_output_tokens: float = 0.0
    delays: tuple[DataCentreDelay, ...] = ()

    def declares(self, model: ModelId | None) -> bool:
        """Return whether a model is declared."""
        return model in self.models_by_id

    def model_spec(self, model: ModelId | None) -> ModelSpec:
        """Return the declaration of a model; an undeclared one has groups of one member."""
        model = model or ModelId("")
        return self.models_by_id.get(model) or ModelSpec(model, size=1)

    def step_seconds_with(self, running: float) -> float:
        """Return the time of a step of a group that runs so many requests."""
        return self.step_seconds + running * self.step_seconds_per_request

    def longest_mean_seconds(self, model: ModelId) -> float:
        """Return the longest mean time of requests that run; what is above is time in a queue."""
        if not self.usual_output_tokens:
            return float("inf")
        step = self.step_seconds_with(self.slots)
        prompt = self.usual_prompt_tokens / self.prompt_tokens_per_second
        usual = self.model_spec(model).pace * (self.usual_output_tokens * step + prompt)
        return MAX_TIME_FACTOR * usual

    def delay_between(self, first: DataCentreId, second: DataCentreId) -> float:
        """Return the seconds of one way between two data centres; 0 when not declared."""
        pair = {first, second}
        return next((d.seconds for d in self.delays if {d.source, d.target} == pair), 0.0)

    def max_event_gap(self, pace: float) -> float:
        """Return the longest expected seconds between two events of a stream at a full group.

        :param pace: factor applied to the group's times.
        """
        step = self.step_seconds_with(self.slots)
        prompt_seconds = self.prompt_tokens_per_step / self.prompt_tokens_per_second
        return pace * (self.steps_per_event * step + prompt_seconds)


@dataclass(frozen=True, slots=True)
class ScalingLimits:
    """Limits of the number of upstreams that can be ordered, for each data centre.

    :param boot_seconds: time until an ordered upstream serves.
    """

    min_count: int
    max_count: int
    boot_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    :param max_connections: connections that one upstream accepts in total.
    :param cold_requests_per_second: rate that an upstream can handle while it is cold; 0 means no
        limit.
    :param engine: None for a plain service.
    :param scaling: None when the number of upstreams cannot be ordered.
    """

    service: ServiceId
    health_path: str = "/health"
    max_connections: int = 64
    cold_requests_per_second: float = 0.0
    engine: EngineSpec | None = None
    scaling: ScalingLimits | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its API keys.

    :param priority: priority of its requests, where 0 is the most urgent; None for the route's.
    """

    customer: CustomerId
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests.

    :param header_bytes: largest size of a request head.
    :param body_bytes: largest size of a request body.
    :param header_seconds: time within which a request head must arrive.
    :param idle_seconds: time after which an idle connection may be closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """All declarations of the operators; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_id: dict[ServiceId, Service] = field(default_factory=dict)
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = CallerLimits()


class CatalogIndex:
    """Finds the route and the customer of a request.

    :param catalog: the catalog in force.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._customers_by_key = {
            key: customer for customer in catalog.customers for key in customer.keys
        }
        self._routes_by_host = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in groupby(
                sorted(catalog.routes, key=lambda route: route.host), lambda route: route.host
            )
        }

    @property
    def requires_keys(self) -> bool:
        """Whether requests of routes that are not public need a key."""
        return bool(self.catalog.customers)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        :param host: value of the Host header, with or without a port.
        :param path: target of the request; its query is ignored.
        """
        routes = self._routes_by_host.get(host) or self._routes_by_host.get(host.split(":")[0], ())
        path = path.partition("?")[0]
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that a key belongs to."""
        return self._customers_by_key.get(key)


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Data centres whose upstreams get no new requests until operators revoke the evacuation."""

    data_centres: frozenset[DataCentreId] = frozenset()
