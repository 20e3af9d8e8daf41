"""Takes a request from its arrival to its answer: placing, sending, forwarding, retrying."""

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
    RequestRefused,
    RunOutcomeUnknown,
    UpstreamNotReached,
)
from cactuspass.models import BootId, EntryId, GroupId, RequestId

Placed = Dispatch | Forward | Refuse

MAX_TRIES = 4
RETRY_AFTER_SECONDS = 1.0
ENGINE_NOT_RUN_STATUSES = frozenset({409, 503})

GROUP_HEADER = "X-Group"
GENERATION_HEADER = "X-Generation"
REQUEST_ID_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
BOOT_ID_HEADER = "X-Boot-Id"
HOP_HEADERS = frozenset(
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
PRIVATE_HEADERS = frozenset({"authorization", "x-group", "x-generation", "x-priority"})


class Forwarder(ABC):
    """Sends a request to a peer that holds groups of its model."""

    @abstractmethod
    async def forward(self, entry_id: EntryId, request: CallerRequest) -> Answer:
        """Forward the request one hop.

        :raises RequestRefused: when the peer says that the request has not run.
        :raises RunOutcomeUnknown: when the connection broke after the request was sent.
        """


class RetryPolicy(ABC):
    """Decides whether a request that failed on its way may be sent again."""

    @abstractmethod
    def count_request(self) -> None:
        """Count a new request, which earns a part of a retry."""

    @abstractmethod
    def may_retry(self, repeatable: bool) -> bool:
        """Return whether a request that may have run may be sent again, and spend the budget.

        :param repeatable: whether running the request twice does no harm.
        """


class SendGuard(ABC):
    """Judges at the last moment whether a group may still be sent to."""

    @abstractmethod
    def may_send(self, group_id: GroupId) -> bool:
        """Return whether this entry holds the group and every member is confirmed."""

    @abstractmethod
    def generation(self, group_id: GroupId) -> str | None:
        """Return the group's generation as ``major.minor``; None for a plain service."""


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Bytes of one answer that may wait in this process."""

    stream_bytes: int


class Gateway:
    """Serves requests of callers and of forwarding peers."""

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
        self._placed_by_request: dict[RequestId, asyncio.Future[Placed]] = {}
        self.running_requests = 0
        for order_type in (Dispatch, Forward, Refuse):
            runner.register(order_type, self._resolve)

    def set_forwarder(self, forwarder: Forwarder) -> None:
        """Set the way to the peers."""
        self._forwarder = forwarder

    async def serve(self, request: CallerRequest, forwarded_by: EntryId | None = None) -> Answer:
        """Return the answer to a request, whose body may still be arriving.

        :param forwarded_by: the peer that forwarded it; such a request is not forwarded again.
        :raises RequestRefused: when the request has not run.
        :raises RunOutcomeUnknown: when it may have run and its answer is lost.
        """
        self.running_requests += 1
        try:
            answer = await self._serve(request, forwarded_by)
        except BaseException:
            self.running_requests -= 1
            raise
        answer.body.on_end(self._count_end)
        return answer

    def _count_end(self, whole: bool) -> None:
        self.running_requests -= 1

    async def _serve(self, request: CallerRequest, forwarded_by: EntryId | None) -> Answer:
        excluded: list[str] = []
        refusal: RequestRefused | None = None
        unknown: RunOutcomeUnknown | None = None
        if forwarded_by is None:
            self._retries.count_request()
        for _ in range(MAX_TRIES):
            order = await self._place(request, forwarded_by, tuple(excluded))
            if isinstance(order, Refuse):
                raise unknown or _refused(order, refusal)
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

    def _resolve(self, order: Placed) -> None:
        placed = self._placed_by_request.pop(order.request_id, None)
        if placed is not None and not placed.done():
            placed.set_result(order)
        elif isinstance(order, Dispatch):
            self._finish(order.request_id, succeeded=False, started=False)

    async def _place(
        self, request: CallerRequest, forwarded_by: EntryId | None, excluded: tuple[str, ...]
    ) -> Placed:
        placed: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()
        self._placed_by_request[request.request_id] = placed
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
            return await placed
        except asyncio.CancelledError:
            self._withdraw(request.request_id, placed)
            raise

    def _withdraw(self, request_id: RequestId, placed: asyncio.Future[Placed]) -> None:
        if self._placed_by_request.pop(request_id, None) is not None:
            self._runner.accept(RequestWithdrawn(request_id))
        elif placed.done() and not placed.cancelled() and isinstance(placed.result(), Dispatch):
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
            lambda whole: self._finish(
                request.request_id, succeeded=whole and answer.status < 500, boot_id=boot_id
            )
        )
        return answer

    def _check_engine_answer(self, answer: Answer, request: CallerRequest) -> None:
        """Refuse an answer that is another request's, or that says the engine did not run."""
        echoed = [value for name, value in answer.headers if name == REQUEST_ID_HEADER]
        if echoed and echoed != [str(request.request_id)]:
            error = RunOutcomeUnknown("the upstream answered another request")
            self._give_up(answer, request, error, started=True)
            raise error
        if answer.status in ENGINE_NOT_RUN_STATUSES:
            refusal = UpstreamNotReached(f"the engine answered {answer.status}")
            self._give_up(answer, request, refusal, started=False)
            raise refusal

    def _give_up(
        self, answer: Answer, request: CallerRequest, error: Exception, started: bool
    ) -> None:
        answer.body.cancel(error)
        self._finish(request.request_id, succeeded=False, started=started)


def _refused(order: Refuse, earlier: RequestRefused | None) -> RequestRefused:
    """Return the refusal of an order, with the reason why an earlier place did not take it."""
    details = (order.detail, str(earlier) if earlier is not None else "")
    detail = "; ".join(filter(None, details))
    return RequestRefused(order.reason, order.retry_after, detail)


def upstream_headers(
    request: CallerRequest, group_id: GroupId, generation: str | None
) -> tuple[Header, ...]:
    """Return the headers to send on: the caller's without hop-by-hop and private ones, and ours."""
    passed = tuple(
        (name, value)
        for name, value in request.headers
        if name.lower() not in HOP_HEADERS
        and name.lower() not in PRIVATE_HEADERS
        and name.lower() != REQUEST_ID_HEADER.lower()
    )
    own: tuple[Header, ...] = (
        (REQUEST_ID_HEADER, str(request.request_id)),
        (PRIORITY_HEADER, str(int(request.priority))),
    )
    if generation is not None:
        own += ((GROUP_HEADER, str(group_id)), (GENERATION_HEADER, generation))
    return passed + own
