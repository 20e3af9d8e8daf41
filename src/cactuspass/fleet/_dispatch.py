"""Serves one request: admits it, runs it, and sends the response or the problem."""

import asyncio
import contextlib
import random

from tornado.iostream import StreamClosedError

from cactuspass._clock import now
from cactuspass._problems import Problem
from cactuspass._running_requests import RunningRequests, ShutdownReached
from cactuspass.exceptions import RequestError
from cactuspass.fleet._admission import Admission, AdmittedRequest, NotAdmitted
from cactuspass.fleet._attempts import Attempts
from cactuspass.fleet._catalog import Customer, RouteKind, ServiceShare
from cactuspass.fleet._choices import NoUpstream, NoUpstreamReason, Selection
from cactuspass.fleet._cluster_state import ClusterState
from cactuspass.fleet._delivery import Delivery
from cactuspass.fleet._failures import AttemptFailed, DeadlinePassed, Failure, NoUpstreamAvailable
from cactuspass.fleet._inbound import InboundRequest
from cactuspass.fleet._plain_relay import PlainRelay
from cactuspass.fleet._request_dependencies import RequestDependencies
from cactuspass.fleet._request_problems import (
    RETRY_AFTER_SECONDS,
    TOO_LATE_PROBLEM,
    blocked_problem,
    not_run_problem,
    unknown_outcome_problem,
)
from cactuspass.fleet._return_schedule import ReturnSchedule
from cactuspass.fleet._room_returns import RoomReturns
from cactuspass.fleet._stop_progress import StopPhase, StopProgress
from cactuspass.fleet._stream_relay import StreamRelay
from cactuspass.fleet.prompt_parts import (
    ANONYMOUS,
    Block,
    GuardedRequest,
    PromptIdentity,
    guard_request,
)
from cactuspass.models import ModelId, ServiceId

MAX_RETRY_DEADLINE_SHARE = 0.3
# Time from the first request after a start in which requests wait for a first catalog.
MAX_CATALOG_WAIT_SECONDS = 1.0
MAX_CATALOG_WAIT_SHARE = 0.25  # of the caller's timeout
RETRY_JITTER = 0.3
# Most requests are finished in this time.
USUAL_SECONDS = 2.0


class RequestActivity:
    """Records whether this instance has admitted any request."""

    def __init__(self) -> None:
        self.any_admitted = False


class Dispatcher:
    """Serves requests, and logs those that end without a complete response.

    :ivar stop_progress: how far the stop of the instance has come.
    """

    def __init__(
        self,
        dependencies: RequestDependencies,
        cluster_state: ClusterState,
        admission: Admission,
        rng: random.Random,
        request_activity: RequestActivity,
    ) -> None:
        self._request_activity = request_activity
        self._running_requests = RunningRequests()
        self.stop_progress = StopProgress()
        self._dependencies = dependencies
        self._cluster_state = cluster_state
        self._admission = admission
        self._rng = rng
        self._returns = ReturnSchedule()
        self._room_returns = RoomReturns(rng)
        self._first_request_at: float | None = None
        self._ends_at = float("inf")

    async def serve(self, request: InboundRequest, delivery: Delivery) -> None:
        """Serve a request: send its response, or a problem that states whether it may have run."""
        if self._cluster_state.catalog_index is None:
            await self._wait_for_catalog(request)
        try:
            admitted = self._admission.admit(request)
        except NotAdmitted as error:
            await self._refuse(request, delivery, error.problem, "none")
            return
        self._request_activity.any_admitted = True
        attempts = self._create_attempts(request, admitted)
        try:
            if self._is_too_late(attempts):
                await self._refuse(request, delivery, TOO_LATE_PROBLEM, "none")
            else:
                await self._serve_admitted(attempts, delivery)
        finally:
            attempts.guarded.end()

    async def _wait_for_catalog(self, request: InboundRequest) -> None:
        """Wait for the first catalog after a start, unless earlier requests have done so in vain.

        When a stop ends the wait, the request is refused as one without a catalog.
        """
        if self._first_request_at is None:
            self._first_request_at = now()
        until = self._first_request_at + MAX_CATALOG_WAIT_SECONDS
        if request.caller_timeout is not None:
            share = MAX_CATALOG_WAIT_SHARE * request.caller_timeout
            until = min(until, request.arrived_at + share)
        with contextlib.suppress(ShutdownReached):
            async with self._running_requests.until_shutdown():
                await self._cluster_state.wait_for_catalog(until)

    async def _serve_admitted(self, attempts: Attempts, delivery: Delivery) -> None:
        kind = attempts.route.kind
        run = StreamRelay if kind is RouteKind.STREAM else PlainRelay
        try:
            async with self._running_requests.until_shutdown():
                await self._check_parts(attempts)
                self._dependencies.retry_budget(attempts.service).count_request(now())
                self._dependencies.meter.note_arrival(attempts.model_key)
                await run(attempts, delivery).run()
        except NotAdmitted as error:
            await self._refuse(attempts.request, delivery, error.problem, "none", error.block)
            return
        except RequestError as error:
            await self._report_failure(attempts, delivery, error)
            return
        except (asyncio.CancelledError, StreamClosedError) as error:
            if self.stop_progress.has_begun:
                self._log_ending("connection-closed", attempts, error)
            raise
        except Exception as error:
            self._log_ending("internal-error", attempts, error)
            raise
        self._dependencies.metrics.requests.labels(kind.value, "served").inc()

    async def _check_parts(self, attempts: Attempts) -> None:
        """Wait for the verdict on parts of the prompt that are accused.

        :raises NotAdmitted: when a part of the prompt is blocked.
        """
        await attempts.wait_for_verdict()
        block = attempts.guarded.find_block()
        if block is not None:
            raise NotAdmitted(blocked_problem(block), block)

    def begin_stop(self, ends_at: float, signalled_at: float | None = None) -> None:
        """Refuse requests from now on that may not be finished when the requests are ended.

        :param ends_at: clock value at which ``end_requests`` will be called.
        :param signalled_at: clock value at which the signal came; None for now.
        """
        self.stop_progress.begin(signalled_at)
        self._ends_at = ends_at

    def _is_too_late(self, attempts: Attempts) -> bool:
        """Return whether a request may still run when the requests are ended.

        A plain one that may run only once is served only if there is all the time it may take.
        """
        longest = max(0.0, attempts.seconds_left)
        runs_once = attempts.route.kind is RouteKind.NON_IDEMPOTENT
        needed = longest if runs_once else min(longest, USUAL_SECONDS)
        return now() + needed > self._ends_at

    def end_requests(self) -> None:
        """End the running requests with a problem, or visibly cut if the response has begun."""
        self.stop_progress.enter(StopPhase.ENDING)
        self._running_requests.end()

    def _create_attempts(self, request: InboundRequest, admitted: AdmittedRequest) -> Attempts:
        route = admitted.route
        timeout = route.timeout if request.caller_timeout is None else request.caller_timeout
        deadline = request.arrived_at + min(route.timeout, timeout)
        service = self._choose_service(route.shares)
        guarded = self._guard(request, service, admitted.customer)
        return Attempts(
            self._dependencies, request, route, service, admitted.customer, deadline, guarded
        )

    def _guard(
        self, request: InboundRequest, service: ServiceId, customer: Customer | None
    ) -> GuardedRequest:
        index = self._cluster_state.catalog_index
        known = index.catalog.services_by_id.get(service) if index is not None else None
        has_models = known is not None and known.engine is not None
        model = request.model if has_models else None
        prompt = PromptIdentity(
            service,
            model or ModelId(""),
            customer.customer if customer is not None else ANONYMOUS,
            request.shared_parts,
        )
        return guard_request(self._dependencies.part_guard, request.request_id, prompt)

    def _choose_service(self, shares: tuple[ServiceShare, ...]) -> ServiceId:
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._rng.choices(shares, weights)[0].service

    async def _report_failure(
        self, attempts: Attempts, delivery: Delivery, error: RequestError
    ) -> None:
        kind = attempts.route.kind.value
        if delivery.head_sent:
            self._dependencies.metrics.requests.labels(kind, "cut").inc()
            self._log_ending("cut", attempts, error)
            delivery.abort()
            return
        if (
            isinstance(error, AttemptFailed)
            and error.head is not None
            and (error.failure is Failure.SERVER_ERROR)
        ):
            self._dependencies.metrics.requests.labels(kind, "upstream-error").inc()
            self._log_outcome("upstream-error", attempts, error)
            headers = self._dependencies.request_format.answer_headers(error.head)
            await delivery.send_response(error.head.status, headers, error.body)
            return
        problem = self._build_problem(attempts, error)
        if not attempts.may_have_run:
            self._dependencies.meter.note_refused(attempts.model_key)
        self._log_outcome("refused" if problem.status == 503 else "failed", attempts, error)
        await self._refuse(attempts.request, delivery, problem, kind)

    def _build_problem(self, attempts: Attempts, error: RequestError) -> Problem:
        block = attempts.guarded.find_block()
        if block is not None and not attempts.may_have_run:
            return blocked_problem(block)
        if attempts.may_have_run:
            status = 504 if isinstance(error, DeadlinePassed) else 502
            return unknown_outcome_problem(
                "outcome-unknown", str(error) or "no answer in time", status
            )
        found = error.no_upstream if isinstance(error, NoUpstreamAvailable) else attempts.choose()
        if isinstance(found, NoUpstream) and found.reason is NoUpstreamReason.ALL_BACKING_OFF:
            return not_run_problem(
                found.reason.value, str(error), self._add_jitter(found.retry_after)
            )
        if isinstance(found, NoUpstream) and found.reason is NoUpstreamReason.ALL_AT_LIMIT:
            after = self._book_return(attempts, found)
            return not_run_problem(found.reason.value, str(error), after)
        if isinstance(error, NoUpstreamAvailable):
            if error.no_upstream.room is not None:
                after = self._book_room(attempts, error.no_upstream)
                return not_run_problem(error.no_upstream.reason.value, str(error), after)
            after = self._retry_after(attempts, error.no_upstream.retry_after)
            return not_run_problem(error.no_upstream.reason.value, str(error), after)
        after = self._retry_after(attempts, _retry_estimate(found))
        return not_run_problem("not-reached", str(error) or "no upstream in time", after)

    def _retry_after(self, attempts: Attempts, estimate: float) -> float:
        """Return the retry delay in seconds, short enough for a retry before the deadline."""
        return max(
            0.05, min(self._add_jitter(estimate), attempts.seconds_left * MAX_RETRY_DEADLINE_SHARE)
        )

    def _book_return(self, attempts: Attempts, found: NoUpstream) -> float:
        """Return the retry delay in seconds of a caller whom only upstreams at limits could serve.

        Callers come back one after the other, at the rate of these limits.
        """
        return self._returns.book(
            attempts.schedule_key,
            found.retry_after,
            self._dependencies.instance_count() / found.limit_rate,
            attempts.seconds_left * MAX_RETRY_DEADLINE_SHARE,
            now(),
        )

    def _book_room(self, attempts: Attempts, found: NoUpstream) -> float:
        """Return the retry delay in seconds of a caller for whom there is no room now.

        Callers come back one after the other, at the rate at which there is room for them, or at
        once where another instance probably has room.
        """
        room = found.room
        assert room is not None
        latest = attempts.seconds_left * MAX_RETRY_DEADLINE_SHARE
        return self._room_returns.book(attempts.schedule_key, room, latest, now())

    def _add_jitter(self, estimate: float) -> float:
        """Return a retry delay with random jitter, so that callers do not retry all at once."""
        return estimate * (1 + RETRY_JITTER * self._rng.random())

    def _log_outcome(self, event: str, attempts: Attempts, error: RequestError) -> None:
        fields = self._outcome_fields(attempts, error)
        self._dependencies.log.request(event, attempts.request.request_id, **fields)

    def _log_ending(self, event: str, attempts: Attempts, error: BaseException) -> None:
        """Log the end of a request whose caller has got a part of an answer at most."""
        fields = self._outcome_fields(attempts, error)
        self._dependencies.log.ending(event, attempts.request.request_id, **fields)
        self._dependencies.silences.report(attempts.service, now())

    def _outcome_fields(self, attempts: Attempts, error: BaseException) -> dict[str, object]:
        failure = attempts.last_failure
        found = error.no_upstream if isinstance(error, NoUpstreamAvailable) else None
        index = self._cluster_state.catalog_index
        room = found.room if found is not None else None
        return {
            "route": attempts.route.name,
            "service": attempts.service,
            "model": attempts.request.model,
            "reason": str(error) or type(error).__name__,
            "last_failure": failure.value if failure is not None else None,
            "offers": found.serving_count if found is not None else None,
            "wait": found.wait if found is not None else None,
            "acceptable_wait": attempts.max_wait if found is not None else None,
            "lent_share": room.lent_share if room is not None else None,
            "over_share": room.is_thinned or None if room is not None else None,
            "customer": attempts.customer_id or None if room is not None else None,
            "priority": attempts.priority if room is not None else None,
            "sends": attempts.sends,
            "may_have_run": attempts.may_have_run,
            "waited": now() - attempts.request.arrived_at,
            "seconds_left": attempts.seconds_left,
            "catalog": index.catalog.version if index is not None else None,
            "operators_age": self._cluster_state.operators_age(),
            **attempts.progress.log_fields(),
            **self.stop_progress.log_fields(),
            **_block_fields(attempts.guarded.find_block()),
        }

    async def _refuse(
        self,
        request: InboundRequest,
        delivery: Delivery,
        problem: Problem,
        kind: str,
        block: Block | None = None,
    ) -> None:
        self._dependencies.metrics.refusals.labels(problem.code).inc()
        self._dependencies.metrics.requests.labels(kind, f"answered-{problem.status}").inc()
        if kind == "none":
            self._dependencies.log.request(
                "not-admitted",
                request.request_id,
                reason=problem.code,
                operators_age=self._cluster_state.operators_age(),
                service=block.key.service if block is not None else None,
                model=block.key.model or None if block is not None else None,
                **_block_fields(block),
            )
        headers = self._dependencies.request_format.problem_headers(problem, request.request_id)
        await delivery.send_response(problem.status, headers, problem.body())


def _block_fields(block: Block | None) -> dict[str, object]:
    """Return the fields of a log line that name the block which refuses a request."""
    if block is None:
        return {}
    return {"parts": ",".join(block.key.parts), "block_version": block.version}


def _retry_estimate(found: Selection | NoUpstream) -> float:
    """Return the retry delay in seconds for a request that failed before it ran."""
    if isinstance(found, Selection):
        return RETRY_AFTER_SECONDS
    return min(RETRY_AFTER_SECONDS, found.backoff_remaining)
