"""Routes a request to a group or a peer, sends it, and retries it where that is safe."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cactuspass._byte_queue import BytesAccount
from cactuspass._http_exchange import UpstreamClient
from cactuspass._messages import (
    Dispatch,
    Forward,
    RefusalReason,
    Refuse,
    RequestArrived,
    RequestFinished,
    RequestWithdrawn,
)
from cactuspass._requests import Answer, CallerRequest, Header
from cactuspass._runner import CoreRunner
from cactuspass.exceptions import (
    NoDestinationLeft,
    RequestRefused,
    RunOutcomeUnknown,
    UpstreamNotReached,
)
from cactuspass.models import BootId, EntryId, GroupId, RequestId

RoutingDecision = Dispatch | Forward | Refuse

MAX_ATTEMPTS = 4
RETRY_AFTER_SECONDS = 1.0
# Delays before a request that every destination has rejected unrun is sent again.
UNRUN_RETRY_DELAYS_SECONDS = (0.1, 0.3, 0.6)
# Reasons for which a peer rejects a request that it may accept a moment later.
PASSING_REASONS = frozenset(
    {RefusalReason.NO_CAPACITY, RefusalReason.NOT_HOLDER, RefusalReason.DRAINING}
)
ENGINE_NOT_RUN_STATUSES = frozenset({409, 503})

GROUP_HEADER = "X-Group"
GENERATION_HEADER = "X-Generation"
REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
BOOT_ID_HEADER = "X-Boot-Id"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
INTERNAL_HEADERS = frozenset({"authorization", "x-group", "x-generation", "x-priority"})


class Forwarder(ABC):
    """Forwards requests to peers that hold groups of the requested model."""

    @abstractmethod
    async def forward(self, entry_id: EntryId, request: CallerRequest) -> Answer:
        """Forward the request to a peer and return its answer.

        :raises RequestRefused: if the peer reports that the request has not run.
        :raises RunOutcomeUnknown: if the connection broke after the request was sent.
        """


class RetryPolicy(ABC):
    """Decides whether a failed request may be sent again."""

    @abstractmethod
    def count_request(self) -> None:
        """Record a new request, which adds a fraction of a retry to the budget."""

    @abstractmethod
    def may_retry(self, repeatable: bool) -> bool:
        """Return whether a request that may have run may be retried; spend budget if so.

        :param repeatable: whether running the request twice is harmless.
        """


class SendGuard(ABC):
    """Checks immediately before a send whether the group may still receive requests."""

    @abstractmethod
    def may_send(self, group_id: GroupId) -> bool:
        """Return whether this entry holds the group and every member is confirmed."""

    @abstractmethod
    def generation(self, group_id: GroupId) -> str | None:
        """Return the group's generation as ``major.minor``, or None for a plain service."""


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits of one answer.

    :param stream_bytes: bytes of the body that may be buffered in this process.
    """

    stream_bytes: int


class Gateway:
    """Serves requests from callers and requests forwarded by peers.

    :param account_for: returns the memory account that a request's buffered answer counts against.
    """

    def __init__(
        self,
        runner: CoreRunner,
        upstreams: UpstreamClient,
        guard: SendGuard,
        retries: RetryPolicy,
        limits: AnswerLimits,
        account_for: Callable[[CallerRequest], BytesAccount],
    ) -> None:
        self._runner = runner
        self._upstreams = upstreams
        self._guard = guard
        self._retries = retries
        self._limits = limits
        self._account_for = account_for
        self._forwarder: Forwarder | None = None
        self._decisions_by_request: dict[RequestId, asyncio.Future[RoutingDecision]] = {}
        self.running_requests = 0
        for order_type in (Dispatch, Forward, Refuse):
            runner.register(order_type, self._apply_decision)

    def set_forwarder(self, forwarder: Forwarder) -> None:
        """Set the forwarder, which is created after the gateway because it depends on it."""
        self._forwarder = forwarder

    async def serve(self, request: CallerRequest, forwarded_by: EntryId | None = None) -> Answer:
        """Serve a request and return its answer, whose body may still be arriving.

        :param forwarded_by: peer that forwarded the request; it is not forwarded a second time.
        :raises RequestRefused: if the request has not run.
        :raises RunOutcomeUnknown: if the request may have run and its answer is lost.
        """
        self.running_requests += 1
        try:
            answer = await self._serve(request, forwarded_by)
        except BaseException:
            self.running_requests -= 1
            raise
        answer.body.on_end(self._count_completion)
        return answer

    def _count_completion(self, complete: bool) -> None:
        self.running_requests -= 1

    async def _serve(self, request: CallerRequest, forwarded_by: EntryId | None) -> Answer:
        """Try the destinations again for a short time if all of them reject the request unrun.

        A forwarded request is rejected at once, as its peer may know another destination.
        """
        if forwarded_by is not None:
            return await self._try_destinations(request, forwarded_by)
        self._retries.count_request()
        for delay in UNRUN_RETRY_DELAYS_SECONDS:
            try:
                return await self._try_destinations(request)
            except NoDestinationLeft:
                if not self._may_try_again(request, delay):
                    raise
            await asyncio.sleep(delay)
        return await self._try_destinations(request)

    def _may_try_again(self, request: CallerRequest, delay: float) -> bool:
        """Return whether a request that has not run may be sent again after a delay.

        It is as harmless to send again as a repeatable one.
        """
        is_in_time = self._runner.clock() + delay < request.deadline
        return is_in_time and self._retries.may_retry(repeatable=True)

    async def _try_destinations(
        self, request: CallerRequest, forwarded_by: EntryId | None = None
    ) -> Answer:
        """Send the request to one destination after another until one accepts it.

        :raises NoDestinationLeft: if all of them rejected it, and one may accept it soon.
        """
        excluded: list[str] = []
        refusal: RequestRefused | None = None
        unknown: RunOutcomeUnknown | None = None
        for _ in range(MAX_ATTEMPTS):
            order = await self._route(request, forwarded_by, tuple(excluded))
            if isinstance(order, Refuse):
                raise unknown or _refusal_error(order, refusal)
            try:
                if isinstance(order, Forward):
                    return await self._forward(order, request)
                return await self._dispatch(order, request)
            except RequestRefused as error:
                refusal = error
            except UpstreamNotReached as error:
                refusal = RequestRefused(
                    RefusalReason.NO_CAPACITY, RETRY_AFTER_SECONDS, detail=str(error)
                )
            except RunOutcomeUnknown as error:
                if forwarded_by or not self._retries.may_retry(request.repeatable):
                    raise
                unknown = error
            excluded.append(order.entry_id if isinstance(order, Forward) else str(order.group_id))
        raise unknown or refusal or RequestRefused(RefusalReason.NO_CAPACITY, RETRY_AFTER_SECONDS)

    def _apply_decision(self, order: RoutingDecision) -> None:
        decision = self._decisions_by_request.pop(order.request_id, None)
        if decision is not None and not decision.done():
            decision.set_result(order)
        elif isinstance(order, Dispatch):
            self._finish(order.request_id, succeeded=False, started=False)

    async def _route(
        self, request: CallerRequest, forwarded_by: EntryId | None, excluded: tuple[str, ...]
    ) -> RoutingDecision:
        decision: asyncio.Future[RoutingDecision] = asyncio.get_running_loop().create_future()
        self._decisions_by_request[request.request_id] = decision
        self._runner.accept(
            RequestArrived(
                request_id=request.request_id,
                customer=request.customer,
                model=request.model,
                tokens=request.tokens,
                priority=request.priority,
                deadline=request.deadline,
                forwarded_by=forwarded_by,
                prefixes=request.prefixes,
                excluded=excluded,
                returning=request.returning,
            )
        )
        try:
            return await decision
        except asyncio.CancelledError:
            self._withdraw(request.request_id, decision)
            raise

    def _withdraw(self, request_id: RequestId, decision: asyncio.Future[RoutingDecision]) -> None:
        if self._decisions_by_request.pop(request_id, None) is not None:
            self._runner.accept(RequestWithdrawn(request_id))
        elif (
            decision.done() and not decision.cancelled() and isinstance(decision.result(), Dispatch)
        ):
            self._finish(request_id, succeeded=False, started=False)

    def _finish(
        self, request_id: RequestId, succeeded: bool, started: bool = True, boot_id: str = ""
    ) -> None:
        self._runner.accept(RequestFinished(request_id, succeeded, started, BootId(boot_id)))

    async def _forward(self, order: Forward, request: CallerRequest) -> Answer:
        if self._forwarder is None:
            raise RequestRefused(RefusalReason.NO_CAPACITY, RETRY_AFTER_SECONDS)
        return await self._forwarder.forward(order.entry_id, request)

    async def _dispatch(self, order: Dispatch, request: CallerRequest) -> Answer:
        generation = self._guard.generation(order.group_id)
        try:
            answer = await self._upstreams.send(
                order.address,
                request.method,
                request.path,
                upstream_headers(request, order.group_id, generation),
                request.body,
                repeatable=request.repeatable and not request.is_service,
                queue_limit=self._limits.stream_bytes,
                account=self._account_for(request),
                may_send=lambda: self._guard.may_send(order.group_id),
                expect_done_event=not request.is_service,
            )
        except UpstreamNotReached:
            self._finish(request.request_id, succeeded=False, started=False)
            raise
        except BaseException:
            self._finish(request.request_id, succeeded=False)
            raise
        if not request.is_service:
            self._check_engine_answer(answer, request)
        boot_id = answer.header(BOOT_ID_HEADER) or ""
        answer.body.on_end(
            lambda complete: self._finish(
                request.request_id, succeeded=complete and answer.status < 500, boot_id=boot_id
            )
        )
        return answer

    def _check_engine_answer(self, answer: Answer, request: CallerRequest) -> None:
        """Raise an error if an engine's answer cannot be relayed.

        :raises RunOutcomeUnknown: if the answer names another request.
        :raises UpstreamNotReached: if its status means that the engine did not run the request.
        """
        echoed = [value for name, value in answer.headers if name == REQUEST_ID_HEADER]
        if echoed and echoed != [str(request.request_id)]:
            error = RunOutcomeUnknown("the upstream answered another request")
            self._reject_answer(answer, request, error, started=True)
            raise error
        if answer.status in ENGINE_NOT_RUN_STATUSES:
            refusal = UpstreamNotReached(f"the engine answered {answer.status}")
            self._reject_answer(answer, request, refusal, started=False)
            raise refusal

    def _reject_answer(
        self, answer: Answer, request: CallerRequest, error: Exception, started: bool
    ) -> None:
        answer.body.cancel(error)
        self._finish(request.request_id, succeeded=False, started=started)


def _refusal_error(order: Refuse, earlier: RequestRefused | None) -> RequestRefused:
    """Return the error for a refused request, with the detail of an earlier refusal if any."""
    if earlier is None:
        return RequestRefused(order.reason, order.retry_after, order.detail)
    detail = "; ".join(filter(None, (order.detail, str(earlier))))
    is_passing = earlier.reason in PASSING_REASONS and order.reason in PASSING_REASONS
    error_type = NoDestinationLeft if is_passing else RequestRefused
    return error_type(order.reason, order.retry_after, detail)


def upstream_headers(
    request: CallerRequest, group_id: GroupId, generation: str | None
) -> tuple[Header, ...]:
    """Return the headers for the upstream.

    These are the caller's headers without the hop-by-hop and internal ones, followed by the
    headers that this process adds.
    """
    forwarded = tuple(
        (name, value)
        for name, value in request.headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in INTERNAL_HEADERS
        and name.lower() != REQUEST_ID_HEADER.lower()
    )
    added: tuple[Header, ...] = (
        (REQUEST_ID_HEADER, str(request.request_id)),
        (PRIORITY_HEADER, str(int(request.priority))),
    )
    if generation is not None:
        added += ((GROUP_HEADER, str(group_id)), (GENERATION_HEADER, generation))
    return forwarded + added
