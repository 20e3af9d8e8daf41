"""Admission of requests by the operators' documents."""

from dataclasses import dataclass

from cactuspass._problems import Problem
from cactuspass.exceptions import RequestError
from cactuspass.fleet._catalog import Customer, Route
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._inbound import InboundRequest
from cactuspass.fleet._request_problems import RETRY_AFTER_SECONDS, not_run_problem
from cactuspass.fleet.prompt_parts import Block


class NotAdmitted(RequestError):
    """A request that is not forwarded to an upstream; it has not run.

    :param problem: the problem sent to the caller.
    :param block: the block on parts of the prompt that refuses the request, if any.
    """

    def __init__(self, problem: Problem, block: Block | None = None) -> None:
        super().__init__(problem.detail)
        self.problem = problem
        self.block = block


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """The route and the customer of a request that may be forwarded."""

    route: Route
    customer: Customer | None


class Admission:
    """Decides by the newest operator documents whether a request may be forwarded.

    :param key_seconds: age of the operator documents from which on no key is accepted, since it may
        have been revoked meanwhile.
    :param propagation_seconds: age of the operator documents from which on no request is denied,
        since later ones must be in force by then.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        key_seconds: float,
        propagation_seconds: float,
    ) -> None:
        self._cluster_state = cluster_state
        self._key_seconds = key_seconds
        self._propagation_seconds = propagation_seconds

    def admit(self, request: InboundRequest) -> AdmittedRequest:
        """Return the route and the customer of a request.

        :raises NotAdmitted: when the request is not allowed, or when this cannot be determined.
        """
        index = self._cluster_state.catalog_index
        if index is None:
            raise NotAdmitted(
                not_run_problem("no-catalog", "no catalog is known yet", RETRY_AFTER_SECONDS)
            )
        route = index.find_route(request.host, request.target)
        if route is None:
            raise NotAdmitted(self._denial_problem(404, "no-route", "no route matches the request"))
        if route.public or not index.requires_keys:
            return AdmittedRequest(route, index.find_customer(request.key) if request.key else None)
        if self._cluster_state.operators_age() >= self._key_seconds:
            detail = "keys cannot be checked while the store is away"
            raise NotAdmitted(not_run_problem("keys-unverified", detail, RETRY_AFTER_SECONDS))
        customer = index.find_customer(request.key) if request.key else None
        if customer is None:
            raise NotAdmitted(self._denial_problem(401, "unknown-key", "the key is not known"))
        return AdmittedRequest(route, customer)

    def _denial_problem(self, status: int, code: str, detail: str) -> Problem:
        """Return the problem for a denied request; by an old catalog, the caller may retry."""
        if self._cluster_state.operators_age() > self._propagation_seconds:
            return not_run_problem(
                "catalog-old", f"{detail}, by an old catalog", RETRY_AFTER_SECONDS
            )
        return not_run_problem(code, detail, None, status)
