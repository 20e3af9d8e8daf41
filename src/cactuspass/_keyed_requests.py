"""Runs each request with an idempotency key at most once."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cactuspass._byte_queue import ByteQueue
from cactuspass._claim_store import ClaimStore
from cactuspass._claims import (
    Claim,
    Claimed,
    DifferentRequest,
    DoneWithoutAnswer,
    Header,
    InProgress,
    OutcomeUnknownEarlier,
    Recorded,
    RecordedAnswer,
    Refused,
    fingerprint_of,
)
from cactuspass._component import Component
from cactuspass._gateway import Gateway
from cactuspass._messages import RefusalReason
from cactuspass._requests import Answer, CallerRequest
from cactuspass._tables import Tables
from cactuspass.exceptions import (
    CactuspassError,
    KeyReused,
    RequestInProgress,
    RequestRefused,
    RunOutcomeUnknown,
)
from cactuspass.models import EntryId, Incarnation, InstanceId

REPLAYED_HEADER = ("Idempotency-Replayed", "true")
MAX_KEYED_ANSWER_BYTES = 8 * 1024 * 1024
DRAIN_SECONDS = 5.0


def is_owner_gone(tables: Tables, entry_id: EntryId, incarnation: Incarnation) -> bool:
    """Return whether an entry process has certainly ended, according to this entry's tables."""
    local = tables.local
    if entry_id == local.entry_id:
        return incarnation != local.incarnation
    row = tables.entries_by_id.get(entry_id)
    if row is not None and row.connected:
        return row.incarnation != incarnation
    return bool(tables.records_by_id) and InstanceId(entry_id) not in tables.records_by_id


class KeyedRequests(Component):
    """Claims the idempotency key of a request before it runs, and records its answer."""

    def __init__(self, claims: ClaimStore, gateway: Gateway, count: Callable[[str], None]) -> None:
        self._claims = claims
        self._gateway = gateway
        self._count = count
        self._running: set[asyncio.Task[RecordedAnswer]] = set()

    async def start(self) -> None:
        """Start writing claims."""
        self._claims.start()

    async def drain(self) -> None:
        """Wait until running requests have ended and their outcomes are recorded."""
        if self._running:
            await asyncio.wait(self._running)
        await self._claims.drain(DRAIN_SECONDS)

    async def stop(self) -> None:
        """Cancel the running requests and close the claim store."""
        for task in tuple(self._running):
            task.cancel()
        await self._claims.close()

    async def serve(self, request: CallerRequest, key: str) -> Answer:
        """Run the request if its key is new, otherwise return the recorded answer.

        The request runs to its end even if its caller disconnects, so that a retry gets the answer.

        :raises RequestError: if there is no answer; its type states whether the request ran.
        """
        fingerprint = fingerprint_of(request.method, request.model + request.path, request.body)
        outcome = await self._claims.claim(request.customer, key, fingerprint)
        self._count(f"claims.{type(outcome).__name__}")
        match outcome:
            case Claimed(claim):
                task = asyncio.create_task(self._run(claim, request))
                self._running.add(task)
                task.add_done_callback(self._remove_task)
                return _build_answer(await asyncio.shield(task))
            case Recorded(answer):
                return _build_answer(answer, REPLAYED_HEADER)
            case InProgress(retry_after):
                raise RequestInProgress(retry_after)
            case DifferentRequest():
                raise KeyReused("the key was used for a request with other contents")
            case Refused(retry_after):
                raise RequestRefused(
                    RefusalReason.NOT_CLAIMED, retry_after, "the key could not be claimed"
                )
            case DoneWithoutAnswer():
                raise RunOutcomeUnknown("the request has run; its answer was too large to keep")
            case OutcomeUnknownEarlier():
                raise RunOutcomeUnknown("an earlier try may have run; its outcome was lost")

    def _remove_task(self, task: asyncio.Task[RecordedAnswer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            task.exception()

    async def _run(self, claim: Claim, request: CallerRequest) -> RecordedAnswer:
        try:
            answer = await self._gateway.serve(replace(request, repeatable=False))
            recorded = await _read_answer(answer)
        except RequestRefused:
            self._claims.release(claim)
            raise
        except CactuspassError as error:
            self._claims.mark_unknown(claim)
            raise RunOutcomeUnknown(str(error)) from error
        except BaseException:
            self._claims.mark_unknown(claim)
            raise
        self._claims.finish(claim, recorded)
        return recorded


async def _read_answer(answer: Answer) -> RecordedAnswer:
    parts: list[bytes] = []
    size = 0
    async for chunk in answer.body.chunks():
        size += len(chunk)
        if size > MAX_KEYED_ANSWER_BYTES:
            answer.body.cancel(RunOutcomeUnknown("the answer is too large"))
            raise RunOutcomeUnknown("the request has run; its answer is too large to pass on")
        parts.append(chunk)
    headers = tuple(Header(name, value) for name, value in answer.headers)
    return RecordedAnswer(answer.status, headers, b"".join(parts))


def _build_answer(recorded: RecordedAnswer, *extra: tuple[str, str]) -> Answer:
    queue = ByteQueue(max(1, len(recorded.body)))
    queue.put_nowait(recorded.body)
    queue.finish()
    headers = tuple((header.name, header.value) for header in recorded.headers)
    return Answer(recorded.status, headers + extra, queue)
