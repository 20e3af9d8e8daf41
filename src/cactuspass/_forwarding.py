"""Forwards requests to peers and serves the requests that peers forward.

Answers between peers are flow-controlled by credit, so that a slow caller holds back the sender.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from cactuspass._byte_queue import ByteQueue, BytesAccount
from cactuspass._gateway import Forwarder, Gateway
from cactuspass._messages import RefusalReason
from cactuspass._peer_link import PeerLink
from cactuspass._peer_messages import (
    AnswerChunk,
    AnswerCredit,
    AnswerEnd,
    AnswerFailed,
    AnswerHead,
    AnswerRefused,
    CancelForward,
    ForwardRequest,
    PeerMessage,
)
from cactuspass._requests import Answer, CallerRequest
from cactuspass.exceptions import (
    AnswerCut,
    CactuspassError,
    RequestRefused,
    RunOutcomeUnknown,
)
from cactuspass.models import EntryId, RequestId

WINDOW_BYTES = 64 * 1024
NO_LINK_RETRY_SECONDS = 1.0


class _CreditAccount(BytesAccount):
    """Grants the answering peer credit for the bytes that the caller has read."""

    def __init__(self, link: PeerLink, request_id: RequestId, inner: BytesAccount) -> None:
        self._link = link
        self._request_id = request_id
        self._inner = inner

    def open(self, cut: Callable[[str], None]) -> None:
        self._inner.open(cut)

    def close(self) -> None:
        self._inner.close()

    async def reserve(self, count: int) -> None:
        await self._inner.reserve(count)

    def try_reserve(self, count: int) -> bool:
        return self._inner.try_reserve(count)

    async def wait_while_paused(self) -> None:
        await self._inner.wait_while_paused()

    def release(self, count: int) -> None:
        self._inner.release(count)
        if count:
            self._link.send(AnswerCredit(self._request_id, count))


@dataclass(slots=True)
class _PendingAnswer:
    """An answer that this entry expects from a peer."""

    link: PeerLink
    head: asyncio.Future[AnswerHead]
    queue: ByteQueue


@dataclass(slots=True)
class _Credit:
    """Flow-control credit of the peer that forwarded a request.

    :param left: bytes that may still be sent.
    :param more: set when credit is added or the answer is cancelled.
    """

    left: int
    more: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _ServedRequest:
    """A request that this entry serves for a peer."""

    link: PeerLink
    task: asyncio.Task[None]
    credit: _Credit


class Forwarding(Forwarder):
    """Both ends of request forwarding: sending to peers and serving peers.

    :param clock: returns the monotonic time in seconds.
    :param account_for: returns the memory account that a request's buffered answer counts against.
    """

    def __init__(
        self,
        gateway: Gateway,
        links_by_entry: dict[EntryId, PeerLink],
        clock: Callable[[], float],
        account_for: Callable[[CallerRequest], BytesAccount],
    ) -> None:
        self._gateway = gateway
        self._links_by_entry = links_by_entry
        self._clock = clock
        self._account_for = account_for
        self._pending_by_request: dict[RequestId, _PendingAnswer] = {}
        self._served_by_key: dict[tuple[EntryId, RequestId], _ServedRequest] = {}

    # Requests of this entry's callers, forwarded to peers

    async def forward(self, entry_id: EntryId, request: CallerRequest) -> Answer:
        """Forward the request to a peer and return its answer once the head has arrived."""
        link = self._links_by_entry.get(entry_id)
        if link is None:
            raise RequestRefused(
                RefusalReason.NO_CAPACITY, NO_LINK_RETRY_SECONDS, f"no connection to {entry_id}"
            )
        request_id = request.request_id
        account = _CreditAccount(link, request_id, self._account_for(request))
        queue = ByteQueue(WINDOW_BYTES, account)
        head: asyncio.Future[AnswerHead] = asyncio.get_running_loop().create_future()
        self._pending_by_request[request_id] = _PendingAnswer(link, head, queue)
        queue.on_end(lambda complete: self._remove_pending(request_id, queue))
        queue.on_cancel(lambda: link.send(CancelForward(request_id)))
        link.send(self._build_message(request))
        try:
            answer_head = await head
        except BaseException:
            queue.cancel(RunOutcomeUnknown("the caller disconnected"))
            raise
        return Answer(answer_head.status, answer_head.headers, queue)

    def _build_message(self, request: CallerRequest) -> ForwardRequest:
        return ForwardRequest(
            request_id=request.request_id,
            customer=request.customer,
            model=request.model,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            tokens=request.tokens,
            priority=request.priority,
            seconds_left=request.deadline - self._clock(),
            repeatable=request.repeatable,
            prefixes=request.prefixes,
            window=WINDOW_BYTES,
            returning=request.returning,
        )

    def _remove_pending(self, request_id: RequestId, queue: ByteQueue) -> None:
        pending = self._pending_by_request.get(request_id)
        if pending is not None and pending.queue is queue:
            del self._pending_by_request[request_id]

    # Messages from peers

    def receive(self, link: PeerLink, message: PeerMessage) -> bool:
        """Process a peer message if it belongs to a forwarded request.

        :return: whether it does.
        """
        match message:
            case ForwardRequest():
                self._start_serving(link, message)
            case AnswerCredit():
                self._add_credit(link, message)
            case CancelForward():
                self._cancel(link, message.request_id)
            case AnswerHead() | AnswerChunk() | AnswerEnd() | AnswerRefused() | AnswerFailed():
                self._receive_answer(link, message)
            case _:
                return False
        return True

    def handle_link_loss(self, link: PeerLink) -> None:
        """Fail the forwarded requests and cancel the served ones of a lost connection."""
        lost = [row for row in self._pending_by_request.values() if row.link is link]
        for pending in lost:
            self._fail(pending, f"the connection to {link.hello.entry_id} broke")
        served = [row for row in self._served_by_key.values() if row.link is link]
        for row in served:
            row.task.cancel()

    def _receive_answer(
        self,
        link: PeerLink,
        message: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefused | AnswerFailed,
    ) -> None:
        pending = self._pending_by_request.get(message.request_id)
        if pending is None or pending.link is not link:
            return
        match message:
            case AnswerHead():
                if not pending.head.done():
                    pending.head.set_result(message)
            case AnswerChunk():
                pending.queue.put_nowait(message.data)
            case AnswerEnd():
                pending.queue.finish()
            case AnswerRefused():
                refusal = RequestRefused(message.reason, message.retry_after, message.detail)
                self._end(pending, refusal)
            case AnswerFailed():
                self._fail(pending, message.detail)

    def _fail(self, pending: _PendingAnswer, detail: str) -> None:
        has_head = pending.head.done()
        self._end(pending, AnswerCut(detail) if has_head else RunOutcomeUnknown(detail))

    def _end(self, pending: _PendingAnswer, error: Exception) -> None:
        if not pending.head.done():
            pending.head.set_exception(error)
        pending.queue.fail(error)

    # Requests served for peers

    def _start_serving(self, link: PeerLink, message: ForwardRequest) -> None:
        key = (link.hello.entry_id, message.request_id)
        credit = _Credit(message.window)
        task = asyncio.create_task(self._serve(link, message, credit))
        served = _ServedRequest(link, task, credit)
        self._served_by_key[key] = served
        task.add_done_callback(lambda done: self._remove_served(key, served))

    def _remove_served(self, key: tuple[EntryId, RequestId], served: _ServedRequest) -> None:
        if self._served_by_key.get(key) is served:
            del self._served_by_key[key]

    def _add_credit(self, link: PeerLink, message: AnswerCredit) -> None:
        served = self._served_by_key.get((link.hello.entry_id, message.request_id))
        if served is not None:
            served.credit.left += message.count
            served.credit.more.set()

    def _cancel(self, link: PeerLink, request_id: RequestId) -> None:
        served = self._served_by_key.get((link.hello.entry_id, request_id))
        if served is not None:
            served.task.cancel()

    async def _serve(self, link: PeerLink, message: ForwardRequest, credit: _Credit) -> None:
        request_id = message.request_id
        request = self._build_request(message)
        answer: Answer | None = None
        try:
            answer = await self._gateway.serve(request, forwarded_by=link.hello.entry_id)
            link.send(AnswerHead(request_id, answer.status, answer.headers))
            await self._send_body(link, request_id, answer, credit)
            link.send(AnswerEnd(request_id))
        except RequestRefused as error:
            link.send(AnswerRefused(request_id, error.reason, error.retry_after, str(error)))
        except CactuspassError as error:
            link.send(AnswerFailed(request_id, str(error)))
        except asyncio.CancelledError:
            if answer is not None:
                answer.body.cancel(AnswerCut("the caller disconnected"))
            with contextlib.suppress(Exception):
                link.send(AnswerFailed(request_id, "the request was cancelled"))

    async def _send_body(
        self, link: PeerLink, request_id: RequestId, answer: Answer, credit: _Credit
    ) -> None:
        answer.body.on_cancel(credit.more.set)
        async for data in answer.body.chunks():
            rest = data
            while rest:
                while credit.left <= 0:
                    if answer.body.cancelled:
                        raise AnswerCut("the answer was given up")
                    credit.more.clear()
                    await credit.more.wait()
                part, rest = rest[: credit.left], rest[credit.left :]
                credit.left -= len(part)
                link.send(AnswerChunk(request_id, part))

    def _build_request(self, message: ForwardRequest) -> CallerRequest:
        return CallerRequest(
            request_id=message.request_id,
            customer=message.customer,
            model=message.model,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=message.body,
            tokens=message.tokens,
            priority=message.priority,
            deadline=self._clock() + message.seconds_left,
            repeatable=message.repeatable,
            prefixes=message.prefixes,
            returning=message.returning,
        )
