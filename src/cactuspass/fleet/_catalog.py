"""What the operators declare: routes, services, models and customers."""

from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from cactuspass.models import CustomerId, DataCentreId, ModelId, ServiceId


class RouteKind(Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    :param max_upstreams: upstreams that one request may be sent to.
    :param timeout: seconds that a caller may be kept waiting.
    :param objective: seconds within which an answer, or its first event, is on time.
    :param gap_objective: longest pause in seconds between the events of a stream.
    :param public: whether requests need no key.
    :param resumable: whether a broken stream may go on at another upstream.
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
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that is served by groups of upstreams.

    :param size: members of a group.
    :param pace: factor on all times of a group; below 1 is faster.
    :param demand_share: declared part of the work, between 0 and 1.
    :param load_seconds: time to load the weights from the weight store.
    :param warm_seconds: time to join a group when the weights are on the host.
    """

    model: ModelId
    size: int
    pace: float = 1.0
    demand_share: float = 0.0
    load_seconds: float = 0.0
    warm_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """How the engines of a service work.

    :param slots: requests that one group runs at once.
    :param step_seconds: time of one step that makes a token for each running request.
    :param step_seconds_per_request: added to a step by each running request.
    :param loads_per_second: loads from the weight store that may begin in a second.
    :param loads_at_once: loads that run together without slowing each other.
    :param steps_per_event: steps that are made before their tokens go out as one event.
    :param prompt_tokens_per_step: most prompt tokens that are read beside one event's steps.
    :param prompt_tokens_per_second: speed of reading prompts.
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

    def max_event_gap(self, pace: float) -> float:
        """Return seconds between two events of a stream at a full group that works.

        :param pace: factor on the group's times.
        """
        step = self.step_seconds + self.slots * self.step_seconds_per_request
        reading = self.prompt_tokens_per_step / self.prompt_tokens_per_second
        return pace * (self.steps_per_event * step + reading)


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable upstreams.

    :param max_connections: connections that one upstream accepts from all callers.
    :param cold_requests_per_second: rate that an upstream bears while it is cold; 0 is no limit.
    :param engine: None for a plain service.
    """

    service: ServiceId
    health_path: str = "/health"
    max_connections: int = 64
    cold_requests_per_second: float = 0.0
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and the keys that its requests carry."""

    customer: CustomerId
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param header_seconds: time within which a head must have arrived.
    :param idle_seconds: time after which an idle connection may be closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Catalog:
    """All that the operators declare, as one version; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_id: dict[ServiceId, Service] = field(default_factory=dict)
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = CallerLimits()


class CatalogIndex:
    """Finds the route and the customer of a request.

    :param catalog: the version in force.
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
        """Return the route with the longest prefix that begins the path.

        :param host: value of the Host header, with or without a port.
        :param path: target of the request; its query is not compared.
        """
        routes = self._routes_by_host.get(host) or self._routes_by_host.get(host.split(":")[0], ())
        path = path.partition("?")[0]
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that holds a key."""
        return self._customers_by_key.get(key)


@dataclass(frozen=True, slots=True)
class Evacuations:
    """Data centres whose upstreams get no new work until operators take that back."""

    data_centres: frozenset[DataCentreId] = frozenset()
