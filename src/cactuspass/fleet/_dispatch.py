"""Serves one request: checks that it is allowed, runs it, and tells the caller how it ended."""

import random
from dataclasses import dataclass

from cactuspass._clock import now
from cactuspass._problems import Problem, RunState
from cactuspass.exceptions import RequestError
from cactuspass.fleet._attempts import (
    AttemptFailed,
    Attempts,
    DeadlinePassed,
    Failure,
    NoUpstreamAvailable,
    RequestDependencies,
)
from cactuspass.fleet._catalog import Customer, Route, RouteKind, ServiceShare
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._inbound import InboundRequest
from cactuspass.fleet._plain_relay import PlainRelay
from cactuspass.fleet._selection import NoUpstream, NoUpstreamReason, Selection
from cactuspass.fleet._stream_relay import StreamRelay
from cactuspass.models import ServiceId

CERTAIN_SECONDS = 2.5
RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_SHARE = 0.3
RETRY_SPREAD = 0.3


class RequestActivity:
    """Remembers whether any request has been admitted by this instance."""

    def __init__(self) -> None:
        self.any_admitted = False


class NotAdmitted(RequestError):
    """A request that is not passed on; it has not run.

    :param problem: what the caller gets.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be passed on."""

    route: Route
    customer: Customer | None


def not_run(code: str, detail: str, retry_after: float | None, status: int = 503) -> Problem:
    """Return the problem of a request that has not run."""
    title = "The request was refused and has not run"
    return Problem(status, code, title, detail, RunState.NOT_RUN, retry_after)


def unknown_outcome(code: str, detail: str, status: int) -> Problem:
    """Return the problem of a request that may have run."""
    return Problem(status, code, "The outcome is unknown", detail, RunState.UNKNOWN)


class Admission:
    """Decides by the newest documents whether a request may be passed on.

    :param key_seconds: age of the last sure read beyond which no key is trusted.
    """

    def __init__(self, cluster_state: ClusterState, key_seconds: float) -> None:
        self._cluster_state = cluster_state
        self._key_seconds = key_seconds

    def admit(self, request: InboundRequest) -> Admitted:
        """Return the route and the customer of a request.

        :raises NotAdmitted: when it is not allowed, or when that cannot be told.
        """
        index = self._cluster_state.catalog_index
        if index is None:
            raise NotAdmitted(not_run("no-catalog", "no catalog is known yet", RETRY_AFTER_SECONDS))
        route = index.find_route(request.host, request.target)
        if route is None:
            raise NotAdmitted(self._denial(404, "no-route", "no route matches the request"))
        if route.public or not index.requires_keys:
            return Admitted(route, index.find_customer(request.key) if request.key else None)
        if self._cluster_state.operators_age() >= self._key_seconds:
            detail = "keys cannot be checked while the store is away"
            raise NotAdmitted(not_run("keys-unverified", detail, RETRY_AFTER_SECONDS))
        customer = index.find_customer(request.key) if request.key else None
        if customer is None:
            raise NotAdmitted(self._denial(401, "unknown-key", "the key is not known"))
        return Admitted(route, customer)

    def _denial(self, status: int, code: str, detail: str) -> Problem:
        if self._cluster_state.operators_age() > CERTAIN_SECONDS:
            return not_run("catalog-old", f"{detail}, by an old catalog", RETRY_AFTER_SECONDS)
        return not_run(code, detail, None, status)


class Dispatcher:
    """Runs requests and logs how those ended that did not go well."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        cluster_state: ClusterState,
        admission: Admission,
        rng: random.Random,
        request_activity: RequestActivity,
    ) -> None:
        self._request_activity = request_activity
        self._dependencies = dependencies
        self._cluster_state = cluster_state
        self._admission = admission
        self._rng = rng

    async def serve(self, request: InboundRequest, delivery: Delivery) -> None:
        """Bring a request's answer, or a truthful problem, to its caller."""
        try:
            admitted = self._admission.admit(request)
        except NotAdmitted as error:
            await self._refuse(request, delivery, error.problem, "none")
            return
        self._request_activity.any_admitted = True
        attempts = self._attempts(request, admitted)
        self._dependencies.retry_budget(attempts.service).count_request(now())
        kind = admitted.route.kind
        run = StreamRelay if kind is RouteKind.STREAM else PlainRelay
        try:
            await run(attempts, delivery).run()
        except RequestError as error:
            await self._fail(attempts, delivery, error)
            return
        self._dependencies.metrics.requests.labels(kind.value, "served").inc()

    def _attempts(self, request: InboundRequest, admitted: Admitted) -> Attempts:
        route = admitted.route
        patience = route.timeout if request.caller_timeout is None else request.caller_timeout
        deadline = request.arrived_at + min(route.timeout, patience)
        service = self._draw_service(route.shares)
        return Attempts(self._dependencies, request, route, service, admitted.customer, deadline)

    def _draw_service(self, shares: tuple[ServiceShare, ...]) -> ServiceId:
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._rng.choices(shares, weights)[0].service

    async def _fail(self, attempts: Attempts, delivery: Delivery, error: RequestError) -> None:
        kind = attempts.route.kind.value
        if delivery.head_sent:
            self._dependencies.metrics.requests.labels(kind, "cut").inc()
            self._log_end("cut", attempts, error)
            delivery.abort()
            return
        if (
            isinstance(error, AttemptFailed)
            and error.head is not None
            and (error.failure is Failure.SERVER_ERROR)
        ):
            self._dependencies.metrics.requests.labels(kind, "upstream-error").inc()
            self._log_end("upstream-error", attempts, error)
            headers = self._dependencies.request_format.answer_headers(error.head)
            await delivery.send_response(error.head.status, headers, error.body)
            return
        problem = self._problem(attempts, error)
        self._log_end("refused" if problem.status == 503 else "failed", attempts, error)
        await self._refuse(attempts.request, delivery, problem, kind)

    def _problem(self, attempts: Attempts, error: RequestError) -> Problem:
        if attempts.may_have_run:
            status = 504 if isinstance(error, DeadlinePassed) else 502
            return unknown_outcome("outcome-unknown", str(error) or "no answer in time", status)
        found = error.no_upstream if isinstance(error, NoUpstreamAvailable) else attempts.choose()
        if isinstance(found, NoUpstream) and found.reason is NoUpstreamReason.ALL_BACKING_OFF:
            return not_run(found.reason.value, str(error), self._spread(found.retry_after))
        if isinstance(error, NoUpstreamAvailable):
            after = self._retry_after(attempts, error.no_upstream.retry_after)
            return not_run(error.no_upstream.reason.value, str(error), after)
        after = self._retry_after(attempts, _seconds_until_room(found))
        return not_run("not-reached", str(error) or "no upstream in time", after)

    def _retry_after(self, attempts: Attempts, estimate: float) -> float:
        """Return when to come back; no later than the caller can still be served."""
        return max(0.05, min(self._spread(estimate), attempts.seconds_left * MAX_RETRY_SHARE))

    def _spread(self, estimate: float) -> float:
        """Return a time to come back that differs between callers."""
        return estimate * (1 + RETRY_SPREAD * self._rng.random())

    def _log_end(self, event: str, attempts: Attempts, error: RequestError) -> None:
        failure = attempts.last_failure
        found = error.no_upstream if isinstance(error, NoUpstreamAvailable) else None
        self._dependencies.log.request(
            event,
            attempts.request.request_id,
            route=attempts.route.name,
            service=attempts.service,
            model=attempts.request.model,
            reason=str(error) or type(error).__name__,
            last_failure=failure.value if failure is not None else None,
            offers=found.serving_count if found is not None else None,
            wait=found.wait if found is not None else None,
            acceptable_wait=attempts.max_wait if found is not None else None,
            sends=attempts.sends,
            may_have_run=attempts.may_have_run,
            waited=now() - attempts.request.arrived_at,
            catalog=self._cluster_state.catalog_index.catalog.version
            if self._cluster_state.catalog_index
            else None,
            operators_age=self._cluster_state.operators_age(),
        )

    async def _refuse(
        self, request: InboundRequest, delivery: Delivery, problem: Problem, kind: str
    ) -> None:
        self._dependencies.metrics.refusals.labels(problem.code).inc()
        self._dependencies.metrics.requests.labels(kind, f"answered-{problem.status}").inc()
        if kind == "none":
            self._dependencies.log.request(
                "not-admitted",
                request.request_id,
                reason=problem.code,
                operators_age=self._cluster_state.operators_age(),
            )
        headers = self._dependencies.request_format.problem_headers(problem, request.request_id)
        await delivery.send_response(problem.status, headers, problem.body())


def _seconds_until_room(found: Selection | NoUpstream) -> float:
    """Return when a request that failed before it ran had better come back."""
    if isinstance(found, Selection):
        return RETRY_AFTER_SECONDS
    return min(RETRY_AFTER_SECONDS, found.backoff_remaining)


def malformed(detail: str, status: int) -> Problem:
    """Return the problem of a request that cannot be understood."""
    return not_run("malformed", detail, None, status)
