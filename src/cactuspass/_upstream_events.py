"""Receives status and cache events from upstream instances, and sends orders to engines."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from pydantic import BaseModel

from cactuspass._component import Component
from cactuspass._http_exchange import UpstreamClient
from cactuspass._messages import (
    CacheReported,
    Input,
    InstanceDisconnected,
    InstanceReported,
    LoadState,
    OrderLoad,
    OrderUnload,
    UnwatchInstance,
    WatchInstance,
)
from cactuspass._requests import Answer
from cactuspass.exceptions import AnswerCut, CactuspassError
from cactuspass.models import BootId, Generation, GroupId, InstanceId

EVENTS_PATH = "/cactuspass/events"
ORDERS_PATH = "/cactuspass/orders"
EVENT_QUEUE_BYTES = 65_536
MAX_EVENT_BYTES = 65_536
# Longest time until the response head arrives, and between the ends of two lines of the stream.
EVENT_TIMEOUT_SECONDS = 3.0
RECONNECT_DELAY_SECONDS = 0.25
JSON_HEADERS = (("Content-Type", "application/json"),)


class _StatusEvent(BaseModel):
    """Status event in the form that the instance sends."""

    boot_id: str
    group: str = ""
    generation: tuple[int, int] = (0, 0)
    rank: int = -1
    size: int = 0
    state: LoadState = LoadState.READY
    model: str = ""
    version: str = ""
    fence: int = 0
    running: int = 0
    memory_tokens: int = 0
    lag: float = 0.0
    leaving: bool = False


class _CacheEvent(BaseModel):
    """Change of an engine's prefix cache, in the form that the instance sends."""

    seq: int
    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class UpstreamEvents(Component):
    """Keeps an event connection to each watched instance and sends orders to engines."""

    def __init__(self, client: UpstreamClient, accept_input: Callable[[Input], None]) -> None:
        self._client = client
        self._accept_input = accept_input
        self._watches_by_instance: dict[InstanceId, asyncio.Task[None]] = {}
        self._orders: set[asyncio.Task[None]] = set()
        self._streams_by_instance: dict[InstanceId, Answer] = {}

    async def stop(self) -> None:
        """Close all event connections."""
        for task in (*self._watches_by_instance.values(), *self._orders):
            task.cancel()
        self._watches_by_instance.clear()
        self._client.close()

    def is_open(self, instance_id: InstanceId) -> bool:
        """Return whether the event connection to an instance is open now.

        When an instance restarts, its old process closes the connection before the new one starts
        to listen. So a restart is detected before a request is sent to the new process.
        """
        answer = self._streams_by_instance.get(instance_id)
        return answer is not None and not answer.body.ended and answer.is_open()

    def watch(self, order: WatchInstance) -> None:
        """Start to watch an instance, in place of an earlier watch."""
        running = self._watches_by_instance.pop(order.instance_id, None)
        if running is not None:
            running.cancel()
        self._watches_by_instance[order.instance_id] = asyncio.create_task(
            self._watch_forever(order)
        )

    def unwatch(self, order: UnwatchInstance) -> None:
        """Stop watching an instance and close its event connection."""
        task = self._watches_by_instance.pop(order.instance_id, None)
        if task is not None:
            task.cancel()

    def load(self, order: OrderLoad) -> None:
        """Send an order to load in the background."""
        body = {
            "order": "load",
            "group": order.group_id,
            "generation": [order.generation.major, order.generation.minor],
            "rank": order.rank,
            "members": list(order.addresses),
            "model": order.model,
            "version": order.version,
            "adapters": list(order.adapters),
            "fence": order.fence,
            "lifetime": order.lifetime,
        }
        self._start_order(order.address, body, order.lifetime)

    def unload(self, order: OrderUnload) -> None:
        """Send an order to unload in the background."""
        body = {"order": "unload", "fence": order.fence, "lifetime": order.lifetime}
        self._start_order(order.address, body, order.lifetime)

    def _start_order(self, address: str, body: dict[str, Any], lifetime: float) -> None:
        task = asyncio.create_task(self._send_order(address, body, lifetime))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _send_order(self, address: str, body: dict[str, Any], lifetime: float) -> None:
        """Send one order and ignore failures.

        The instance's status events show whether it carried out the order.
        """
        with contextlib.suppress(CactuspassError, TimeoutError):
            async with asyncio.timeout(lifetime):
                answer = await self._client.send(
                    address,
                    "POST",
                    ORDERS_PATH,
                    JSON_HEADERS,
                    json.dumps(body).encode(),
                    repeatable=False,
                    queue_limit=EVENT_QUEUE_BYTES,
                )
                async for _ in answer.body.chunks():
                    pass

    async def _watch_forever(self, order: WatchInstance) -> None:
        """Watch an instance, and report and reopen each broken connection, until cancelled."""
        while True:
            reason = await self._watch_once(order)
            self._accept_input(InstanceDisconnected(order.instance_id, reason))
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _watch_once(self, order: WatchInstance) -> str:
        """Receive events over one connection until it breaks.

        :return: why the connection broke.
        """
        answer: Answer | None = None
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_SECONDS):
                answer = await self._client.send(
                    order.address,
                    "GET",
                    EVENTS_PATH,
                    (("Accept", "text/event-stream"),),
                    b"",
                    repeatable=False,
                    queue_limit=EVENT_QUEUE_BYTES,
                    is_watch=True,
                )
            self._streams_by_instance[order.instance_id] = answer
            async for event in _events(answer):
                self._accept_event(order.instance_id, event)
        except (CactuspassError, TimeoutError, ValueError) as error:
            return f"{type(error).__name__}: {error}"
        finally:
            if answer is not None:
                self._remove_stream(order.instance_id, answer)
                answer.body.cancel(AnswerCut("event connection was closed"))
        return "the event stream ended"

    def _remove_stream(self, instance_id: InstanceId, answer: Answer) -> None:
        if self._streams_by_instance.get(instance_id) is answer:
            del self._streams_by_instance[instance_id]

    def _accept_event(self, instance_id: InstanceId, event: dict[str, Any]) -> None:
        """Pass a status or cache event to the core; ignore other events.

        :raises ValueError: if the event is malformed.
        """
        if event.get("event") == "cache":
            cache = _CacheEvent.model_validate(event)
            self._accept_input(CacheReported(instance_id, cache.seq, cache.added, cache.removed))
        if event.get("event") != "status":
            return
        status = _StatusEvent.model_validate(event)
        self._accept_input(
            InstanceReported(
                instance_id=instance_id,
                boot_id=BootId(status.boot_id),
                group_id=GroupId(status.group),
                generation=Generation(*status.generation),
                rank=status.rank,
                size=status.size,
                state=status.state,
                fence=status.fence,
                running=status.running,
                memory_tokens=status.memory_tokens,
                lag=status.lag,
                leaving=status.leaving,
                model=status.model,
                version=status.version,
            )
        )


def _check_length(pending: bytes) -> None:
    """Check the length of the last, incomplete line.

    :raises ValueError: if it is longer than ``MAX_EVENT_BYTES``.
    """
    if len(pending) - pending.rfind(b"\n") > MAX_EVENT_BYTES:
        raise ValueError(f"event is too long: one line exceeds {MAX_EVENT_BYTES} bytes")


async def _events(answer: Answer) -> AsyncIterator[dict[str, Any]]:
    """Yield the JSON objects of a stream of server-sent events.

    :raises TimeoutError: if no line ends within ``EVENT_TIMEOUT_SECONDS``.
    :raises ValueError: if an event is malformed or too long.
    """
    pending = b""
    chunks = aiter(answer.body.chunks())
    while True:
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_SECONDS):
                while b"\n" not in pending:
                    pending += await anext(chunks)
                    _check_length(pending)
        except StopAsyncIteration:
            return
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line.startswith(b"data:"):
                event = json.loads(line[5:])
                if isinstance(event, dict):
                    yield event
