"""Requests that go one hop to a peer, and their answers, with credit against slow readers."""

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
    """Gives the sender credit for bytes that the caller has taken."""

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
class _Awaited:
    """An answer that a peer owes us."""

    link: PeerLink
    head: asyncio.Future[AnswerHead]
    queue: ByteQueue


@dataclass(slots=True)
class _Credit:
    """Bytes that may still be sent to the peer that forwarded a request."""

    left: int
    more: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _Served:
    """A request that we serve for a peer."""

    link: PeerLink
    task: asyncio.Task[None]
    credit: _Credit


class Forwarding(Forwarder):
    """Both ends of forwarded requests.

    :param clock: monotonic time in seconds.
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
        self._awaited_by_request: dict[RequestId, _Awaited] = {}
        self._served_by_key: dict[tuple[EntryId, RequestId], _Served] = {}

    # Our own callers' requests

    async def forward(self, entry_id: EntryId, request: CallerRequest) -> Answer:
        """Forward the request to a peer and return its answer when the head has arrived."""
        link = self._links_by_entry.get(entry_id)
        if link is None:
            raise RequestRefused(
                RefusalReason.NO_CAPACITY, NO_LINK_RETRY_SECONDS, f"no connection to {entry_id}"
            )
        request_id = request.request_id
        account = _CreditAccount(link, request_id, self._account_for(request))
        queue = ByteQueue(WINDOW_BYTES, account)
        head: asyncio.Future[AnswerHead] = asyncio.get_running_loop().create_future()
        self._awaited_by_request[request_id] = _Awaited(link, head, queue)
        queue.on_end(lambda whole: self._forget(request_id, queue))
        queue.on_cancel(lambda: link.send(CancelForward(request_id)))
        link.send(self._message(request))
        try:
            answer_head = await head
        except BaseException:
            queue.cancel(RunOutcomeUnknown("the caller left"))
            raise
        return Answer(answer_head.status, answer_head.headers, queue)

    def _message(self, request: CallerRequest) -> ForwardRequest:
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

    def _forget(self, request_id: RequestId, queue: ByteQueue) -> None:
        awaited = self._awaited_by_request.get(request_id)
        if awaited is not None and awaited.queue is queue:
            del self._awaited_by_request[request_id]

    # What arrives from peers

    def receive(self, link: PeerLink, message: PeerMessage) -> bool:
        """Take a message of a forwarded request.

        :return: whether the message was one.
        """
        match message:
            case ForwardRequest():
                self._begin(link, message)
            case AnswerCredit():
                self._add_credit(link, message)
            case CancelForward():
                self._cancel(link, message.request_id)
            case AnswerHead() | AnswerChunk() | AnswerEnd() | AnswerRefused() | AnswerFailed():
                self._receive_answer(link, message)
            case _:
                return False
        return True

    def lose_link(self, link: PeerLink) -> None:
        """End everything that went over a connection that broke."""
        lost = [row for row in self._awaited_by_request.values() if row.link is link]
        for awaited in lost:
            self._fail(awaited, f"the connection to {link.hello.entry_id} broke")
        served = [row for row in self._served_by_key.values() if row.link is link]
        for row in served:
            row.task.cancel()

    def _receive_answer(
        self,
        link: PeerLink,
        message: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefused | AnswerFailed,
    ) -> None:
        awaited = self._awaited_by_request.get(message.request_id)
        if awaited is None or awaited.link is not link:
            return
        match message:
            case AnswerHead():
                if not awaited.head.done():
                    awaited.head.set_result(message)
            case AnswerChunk():
                awaited.queue.put_nowait(message.data)
            case AnswerEnd():
                awaited.queue.finish()
            case AnswerRefused():
                refusal = RequestRefused(message.reason, message.retry_after, message.detail)
                self._end(awaited, refusal)
            case AnswerFailed():
                self._fail(awaited, message.detail)

    def _fail(self, awaited: _Awaited, detail: str) -> None:
        begun = awaited.head.done()
        self._end(awaited, AnswerCut(detail) if begun else RunOutcomeUnknown(detail))

    def _end(self, awaited: _Awaited, error: Exception) -> None:
        if not awaited.head.done():
            awaited.head.set_exception(error)
        awaited.queue.fail(error)

    # Requests that we serve for peers

    def _begin(self, link: PeerLink, message: ForwardRequest) -> None:
        key = (link.hello.entry_id, message.request_id)
        credit = _Credit(message.window)
        task = asyncio.create_task(self._serve(link, message, credit))
        served = _Served(link, task, credit)
        self._served_by_key[key] = served
        task.add_done_callback(lambda done: self._end_served(key, served))

    def _end_served(self, key: tuple[EntryId, RequestId], served: _Served) -> None:
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
        request = self._request(message)
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
                answer.body.cancel(AnswerCut("the caller left"))
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

    def _request(self, message: ForwardRequest) -> CallerRequest:
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
